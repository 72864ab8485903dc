package adminapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Errors of reading a body.
var (
	errTooLarge   = errors.New("body is too large")
	errIncomplete = errors.New("body did not come whole") // what arrived may be valid
	errMalformed  = errors.New("body is malformed")
	errBusy       = errors.New("too many bodies are being read")
)

// maxDiscarded bounds how much of a too large body is read and discarded. A client reads the
// error only after it has sent its body.
const maxDiscarded = 64 << 20

// expectContinue is the Expect header of a client that waits before it sends its body.
const expectContinue = "100-continue"

// readBody reads the body of a call, up to maxBytes.
func readBody(request *http.Request, maxBytes int64) ([]byte, error) {
	if request.ContentLength > maxBytes {
		discardBody(request)
		return nil, errTooLarge
	}
	var body bytes.Buffer
	// ReadFrom needs spare capacity even at the end.
	body.Grow(int(max(request.ContentLength, 0)) + bytes.MinRead)
	_, err := body.ReadFrom(io.LimitReader(request.Body, maxBytes+1))
	if err != nil {
		return nil, bodyError(err)
	}
	if int64(body.Len()) > maxBytes {
		discardBody(request)
		return nil, errTooLarge
	}
	return body.Bytes(), nil
}

// bodyError distinguishes a malformed body from a broken connection. Only the former is the
// caller's fault.
func bodyError(err error) error {
	timed, ok := errors.Into[interface {
		error
		Timeout() bool
	}](err)
	if ok && timed.Timeout() || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled) {
		return errors.Wrap(errIncomplete, err.Error())
	}
	return errors.Wrap(errMalformed, err.Error())
}

// discardBody reads the rest of a body, unless the client waits for permission to send it.
func discardBody(request *http.Request) {
	if request.Header.Get("Expect") == expectContinue && request.ContentLength > 0 {
		return
	}
	// An error can be ignored: the connection is closed afterwards.
	_, _ = io.CopyN(io.Discard, request.Body, maxDiscarded)
}

// reserveMemory reserves memory for a body from the server's limit. It waits for at most the
// time of a decision. A body that is too large is not stored and needs none.
func (s *Server) reserveMemory(request *http.Request) (release func(), err error) {
	size := request.ContentLength
	switch {
	case size < 0:
		size = s.options.MaxBodyBytes
	case size > s.options.MaxBodyBytes:
		size = 0
	}
	ctx, cancel := context.WithTimeout(request.Context(), s.options.DecisionTimeout)
	defer cancel()
	if err := s.bodies.Acquire(ctx, size); err != nil {
		return nil, errBusy
	}
	return func() { s.bodies.Release(size) }, nil
}

// decisionContext returns the context of an Authority's decision. The connection's read
// deadline is extended to cover it. The context does not end when the operator closes its half
// of the connection.
func (s *Server) decisionContext(response http.ResponseWriter, request *http.Request) (context.Context, context.CancelFunc) {
	s.extendReadDeadline(response)
	return context.WithTimeout(context.WithoutCancel(request.Context()), s.options.DecisionTimeout)
}

// extendReadDeadline extends the connection's read deadline to cover a decision and its response.
func (s *Server) extendReadDeadline(response http.ResponseWriter) {
	until := time.Now().Add(s.options.DecisionTimeout + s.options.ResponseTimeout)
	// A connection that does not support deadlines, as in tests, needs none.
	_ = http.NewResponseController(response).SetReadDeadline(until)
}
