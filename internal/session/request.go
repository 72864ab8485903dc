package session

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/ingress"
	"oakseam/internal/message"
	"oakseam/logic"
)

const (
	// maxIDBytes is the longest id or key.
	maxIDBytes = 256
	// bodyTimePerByte is how long a client may take for each byte of a body, in addition to
	// BodyTimeout. Clients that send 64 kB/s or more must be waited for; 48 kB/s leaves a margin.
	bodyTimePerByte = time.Second / 48000
)

// readRequest reads a request and parses what the decisions need. All else is passed on as it
// arrived. A body up to message.MaxBuffered is read to its end; a longer one is streamed.
func (f *Frontend) readRequest(w http.ResponseWriter, r *http.Request, conn *ingress.Conn, p *pendingAnswer) (*core.Request, *ingress.Body, error) {
	for _, h := range [...]string{"X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key", "X-Repeat", "X-Account"} {
		if len(r.Header[h]) > 1 {
			return nil, nil, errors.New(h + ": given more than once") // ambiguous
		}
	}
	id, name, key := r.Header.Get("X-Correlation-Id"), r.Header.Get("X-Service-Class"), r.Header.Get("Idempotency-Key")
	if id == "" || !isToken(id) {
		return nil, nil, errors.New("X-Correlation-Id: missing, too long or not plain text")
	}
	if !isToken(key) {
		return nil, nil, errors.New("Idempotency-Key: too long or not plain text")
	}
	class, ok := f.classes[name]
	if !ok {
		return nil, nil, errors.New("X-Service-Class: unknown")
	}
	method := http.MethodPost
	if class.Effect == logic.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, nil, &clientError{http.StatusMethodNotAllowed, "the class takes " + method}
	}
	if class.Effect == logic.Keyed && key == "" {
		return nil, nil, errors.New("Idempotency-Key: missing")
	}
	timeout, err := parseTimeLeft(r.Header.Get("X-Time-Left"))
	if err != nil {
		return nil, nil, err
	}
	request := &core.Request{ID: id, Class: name, Retry: r.Header.Get("X-Repeat") == "1", Timeout: timeout,
		Tenant: r.Header.Get("X-Account"), WorkHint: parseWorkHint(r.Header.Get("X-Weight-Hint"))}
	in := ingress.NewBody(w, r, ingress.BodyLimits{Timeout: f.opt.BodyTimeout, TimeoutPerByte: bodyTimePerByte,
		MaxBuffered: message.MaxBuffered, MaxBytes: message.MaxBodyBytes, Budget: f.opt.Budget})
	body, long, err := in.ReadPrefix(r.ContentLength)
	if err != nil {
		in.Close()
		var large *http.MaxBytesError
		switch {
		case errors.Is(err, ingress.ErrBudgetExhausted):
			return request, in, err
		case errors.As(err, &large):
			return nil, nil, &clientError{http.StatusRequestEntityTooLarge, "the body is over 32 MiB"}
		}
		return nil, nil, fmt.Errorf("body: %w", err)
	}
	request.Arrived = time.Now() // a request's time starts at its last byte
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI() // without the absolute form, which backends are not sent
	}
	call := &message.Call{
		Method: r.Method, Target: target, Host: r.Host, ID: id, Key: key,
		ContentType: r.Header.Get("Content-Type"), Body: body, Length: int64(len(body)),
	}
	if !long {
		call.ClientGone = conn.ClientClosed
	}
	if long {
		http.NewResponseController(w).EnableFullDuplex()
		request.BodyPending, call.Length = true, r.ContentLength
		call.Rest = message.NewStream(in, func() {
			p.countOpen(f.opt.Metrics)
			f.loop.BodyComplete(id, p)
		})
	}
	request.Call = call
	return request, in, nil
}

// isToken reports whether a value can be written unescaped into a header and a log line.
func isToken(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return len(s) <= maxIDBytes
}

// parseTimeLeft parses a number and its unit, m for milliseconds or u for
// microseconds. It returns 0 if the client gives none.
func parseTimeLeft(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	unit := map[byte]time.Duration{'m': time.Millisecond, 'u': time.Microsecond}[text[len(text)-1]]
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 40)
	if err != nil || unit == 0 || n == 0 || n > uint64(24*time.Hour/unit) {
		return 0, errors.New("X-Time-Left: not a time above 0 in m or u")
	}
	return time.Duration(n) * unit, nil
}

// parseWorkHint parses an estimate of a request's work, in microseconds. An invalid value
// counts as not given: no request is rejected because of a hint.
func parseWorkHint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us > 0 && us <= float64(time.Hour/time.Microsecond)) {
		return 0
	}
	return time.Duration(us * float64(time.Microsecond))
}
