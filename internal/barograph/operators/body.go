package operators

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// Failures of reading a body.
var (
	errTooLarge   = errors.New("body is too large")
	errIncomplete = errors.New("body did not come whole") // nothing is wrong with what came
	errMalformed  = errors.New("body is malformed")
	errBusy       = errors.New("too many bodies are being read")
)

// maxDrained bounds what is read of a body that is refused as too large. A client reads
// the refusal only once it has sent its body.
const maxDiscarded = 64 << 20

// expectContinue is the header value of a client that waits before it sends its body.
const expectContinue = "100-continue"

// readBody reads a call's body of at most a number of bytes.
func readBody(request *http.Request, most int64) ([]byte, error) {
	if request.ContentLength > most {
		discardBody(request)
		return nil, errTooLarge
	}
	var body bytes.Buffer
	// ReadFrom wants some room even at the end.
	body.Grow(int(max(request.ContentLength, 0)) + bytes.MinRead)
	_, err := body.ReadFrom(io.LimitReader(request.Body, most+1))
	if err != nil {
		return nil, bodyFailure(err)
	}
	if int64(body.Len()) > most {
		discardBody(request)
		return nil, errTooLarge
	}
	return body.Bytes(), nil
}

// bodyFailure tells a body that is broken from one whose connection is: only the first
// is the call's own fault.
func bodyFailure(err error) error {
	timed, ok := errors.Into[interface {
		error
		Timeout() bool
	}](err)
	if ok && timed.Timeout() || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled) {
		return errors.Wrap(errIncomplete, err.Error())
	}
	return errors.Wrap(errMalformed, err.Error())
}

// drain passes over the rest of a body, unless the client waits to be asked for it.
func discardBody(request *http.Request) {
	if request.Header.Get("Expect") == expectContinue && request.ContentLength > 0 {
		return
	}
	// What cannot be read need not be: the connection is closed then.
	_, _ = io.CopyN(io.Discard, request.Body, maxDiscarded)
}

// reserve takes memory for a body out of what all may have. It waits as long as a
// decision may take. What is too large will not be kept and needs none.
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

// deciding gives the Authority its time. The connection's time for reading does not run
// against it, and neither does an operator that has closed its half of the connection.
func (s *Server) decisionContext(response http.ResponseWriter, request *http.Request) (context.Context, context.CancelFunc) {
	until := time.Now().Add(s.options.DecisionTimeout + s.options.ResponseTimeout)
	// A connection without deadlines, such as a test's, needs none.
	_ = http.NewResponseController(response).SetReadDeadline(until)
	return context.WithTimeout(context.WithoutCancel(request.Context()), s.options.DecisionTimeout)
}
