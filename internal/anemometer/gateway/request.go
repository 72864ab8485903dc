package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"pipitmux/internal/anemometer/dispatch"
	"pipitmux/internal/ingress"
	"pipitmux/internal/message"
	"pipitmux/internal/station/routing"
)

// Header names of programs and prompts.
const (
	programHeader  = "Program"
	sessionHeader  = "Session"
	previousHeader = "Previous"
	budgetHeader   = "Budget"
	tokensHeader   = "Oakseam-Token-Count"
)

// connectionHeaders concern one connection only and are not handed on, either way.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// RequestError is a request that can't be carried out as it came.
type RequestError struct {
	Status int
	Reason string
}

func (e *RequestError) Error() string { return e.Reason }

// read takes the request's head apart and reads its body whole.
func (x *exchange) read() *RequestError {
	h := x.request.Header
	x.attempt = h.Get(dispatch.AttemptHeader)
	if x.attempt == "" || len(x.attempt) > identifierMost || len(h[dispatch.AttemptHeader]) > 1 {
		return &RequestError{http.StatusBadRequest, dispatch.AttemptHeader + ": missing, too long or given more than once"}
	}
	within := x.route.Timeout
	if text := h.Get(dispatch.TimeBudgetHeader); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms > 0) {
			return &RequestError{http.StatusBadRequest, dispatch.TimeBudgetHeader + ": no time above 0 in milliseconds"}
		}
		within = min(within, time.Duration(min(ms, 1e9)*float64(time.Millisecond)))
	}
	x.deadline = x.arrived.Add(within)
	return x.readBody()
}

func (x *exchange) readBody() *RequestError {
	longest := int64(x.tables.configuration.Limits.MaxBodyBytes)
	if x.request.ContentLength > longest {
		return &RequestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	}
	body := ingress.NewBody(x.writer, x.request, ingress.BodyLimits{
		Timeout: bodyWithin, TimeoutPerByte: perByte, MaxBuffered: longest, MaxBytes: longest, Budget: x.gateway.opt.Budget,
	})
	defer body.Close()
	text, long, err := body.ReadPrefix(x.request.ContentLength)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large) || long:
		return &RequestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	case errors.Is(err, ingress.ErrBudgetExhausted):
		return &RequestError{http.StatusServiceUnavailable, "no room for the body"}
	case err != nil:
		return &RequestError{http.StatusBadRequest, "the body did not come whole"}
	}
	x.body = text
	return nil
}

// header is what is handed on to a server of the request's head.
func (x *exchange) header() http.Header {
	handed := make(http.Header, len(x.request.Header))
	listed := x.request.Header.Values("Connection")
	for name, values := range x.request.Header {
		switch {
		case connectionHeaders[name], named(listed, name):
		case name == dispatch.AttemptHeader, name == dispatch.TimeBudgetHeader, name == dispatch.TargetHeader:
		default:
			handed[name] = values
		}
	}
	if x.route.Class == routing.Streaming && handed.Get(dispatch.PriorityHeader) == "" {
		handed.Set(dispatch.PriorityHeader, strconv.Itoa(min(max(x.route.Priority, 0), 9)))
	}
	return handed
}

// named tells whether a Connection header names another one.
func named(listed []string, name string) bool {
	for _, l := range listed {
		for part := range strings.SplitSeq(l, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// call is the request as a server gets it, with another body in place of the client's.
func (x *exchange) call(body []byte) *message.Call {
	target := x.request.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = x.request.URL.RequestURI()
	}
	return &message.Call{
		Method: x.request.Method, Target: target, Host: x.request.Host, ID: x.attempt,
		Header: x.header(), Body: body, Length: int64(len(body)), ClientGone: x.conn.ClientClosed,
	}
}

// tokens reads the prompt's tokens and the most that may be put out.
func (x *exchange) tokens() (in, out uint64) {
	first, second, _ := strings.Cut(x.request.Header.Get(tokensHeader), ",")
	in, _ = strconv.ParseUint(strings.TrimSpace(first), 10, 40)
	out, _ = strconv.ParseUint(strings.TrimSpace(second), 10, 40)
	return in, out
}

func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
