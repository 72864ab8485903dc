package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/dataplane/dispatch"
	"oakseam/internal/ingress"
	"oakseam/internal/message"
	"oakseam/internal/tier/routing"
)

// HTTP header names of programs and prompts.
const (
	programHeader  = "Program"
	sessionHeader  = "Session"
	previousHeader = "Previous"
	budgetHeader   = "Budget"
	tokensHeader   = "Oakseam-Token-Count"
	finishHeader   = "Finish-Ms"
)

// connectionHeaders concern one connection only. They are not forwarded in either direction.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true, "Expect": true,
}

// RequestError describes a malformed request and the HTTP status that answers it.
type RequestError struct {
	Status int
	Reason string
}

func (e *RequestError) Error() string { return e.Reason }

// read parses the head of the request and reads its whole body.
func (x *exchange) read() *RequestError {
	h := x.request.Header
	x.attempt = h.Get(dispatch.AttemptHeader)
	if x.attempt == "" || len(x.attempt) > maxAttemptIDBytes || len(h[dispatch.AttemptHeader]) > 1 {
		return &RequestError{http.StatusBadRequest, dispatch.AttemptHeader + ": missing, too long or given more than once"}
	}
	timeout := x.route.Timeout
	if text := h.Get(dispatch.TimeBudgetHeader); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms > 0) {
			return &RequestError{http.StatusBadRequest, dispatch.TimeBudgetHeader + ": no time above 0 in milliseconds"}
		}
		timeout = min(timeout, time.Duration(min(ms, 1e9)*float64(time.Millisecond)))
	}
	x.deadline = x.arrived.Add(timeout)
	return x.readBody()
}

func (x *exchange) readBody() *RequestError {
	maxBytes := int64(x.active.configuration.Limits.MaxBodyBytes)
	if x.request.ContentLength > maxBytes {
		return &RequestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	}
	body := ingress.NewBody(x.writer, x.request, ingress.BodyLimits{
		Timeout: bodyTimeout, TimeoutPerByte: bodyTimePerByte, MaxBuffered: maxBytes, MaxBytes: maxBytes, Budget: x.gateway.opt.Budget,
	})
	text, tooLong, err := body.ReadPrefix(x.request.ContentLength)
	if tooLong || err != nil {
		defer body.Close()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge) || tooLong:
		return &RequestError{http.StatusRequestEntityTooLarge, "the body is too long"}
	case errors.Is(err, ingress.ErrBudgetExhausted):
		return &RequestError{http.StatusServiceUnavailable, "no room for the body"}
	case err != nil:
		return &RequestError{http.StatusBadRequest, "the body did not come whole"}
	}
	x.body, x.releaseBody = text, body.Close
	return nil
}

// forwardedHeader returns the headers of the request that are forwarded to a server.
func (x *exchange) forwardedHeader() http.Header {
	forwarded := make(http.Header, len(x.request.Header))
	connectionOptions := x.request.Header.Values("Connection")
	for name, values := range x.request.Header {
		switch {
		case connectionHeaders[name], listsHeader(connectionOptions, name):
		case name == dispatch.AttemptHeader, name == dispatch.TimeBudgetHeader, name == dispatch.TargetHeader:
		default:
			forwarded[name] = values
		}
	}
	if x.route.Class == routing.Streaming && forwarded.Get(dispatch.PriorityHeader) == "" {
		forwarded.Set(dispatch.PriorityHeader, strconv.Itoa(min(max(x.route.Priority, 0), 9)))
	}
	return forwarded
}

// listsHeader reports whether Connection header values list a header name.
func listsHeader(connectionOptions []string, name string) bool {
	for _, option := range connectionOptions {
		for part := range strings.SplitSeq(option, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}

// upstreamCall returns the request as a server receives it, with body instead of the client's body.
func (x *exchange) upstreamCall(body []byte) *message.Call {
	target := x.request.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = x.request.URL.RequestURI()
	}
	return &message.Call{
		Method: x.request.Method, Target: target, Host: x.request.Host, ID: x.attempt,
		Header: x.forwardedHeader(), Body: body, Length: int64(len(body)), ClientGone: x.conn.ClientClosed,
	}
}

// tokens returns the token count of the prompt and the maximum number of output tokens.
func (x *exchange) tokens() (in, out uint64) {
	first, second, _ := strings.Cut(x.request.Header.Get(tokensHeader), ",")
	in, _ = strconv.ParseUint(strings.TrimSpace(first), 10, 40)
	out, _ = strconv.ParseUint(strings.TrimSpace(second), 10, 40)
	return in, out
}

func seconds(d time.Duration) string {
	return strconv.FormatFloat(d.Seconds(), 'f', -1, 64)
}
