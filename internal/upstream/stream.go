package upstream

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pipitmux/internal/core"
	"pipitmux/internal/message"
	"pipitmux/logic"
)

// errClosed is what Read returns once the reader has closed a stream.
var errClosed = errors.New("the stream is closed")

// stream is the body of a streamed answer. Read gives its bytes as they come, and io.EOF
// for a whole body only; past the attempt's time it fails with context.DeadlineExceeded.
// Close may come from any goroutine, also while another reads, and more than once: a body
// that was not read whole has its connection closed at once, so that the server stops.
type stream struct {
	pool   *Pool
	up     *upload
	ctx    context.Context
	body   io.Reader
	unhook func() bool
	again  bool          // its connection may be used again
	over   chan struct{} // closed by Close

	mu     sync.Mutex
	came   int64
	err    error // with which every further Read ends, io.EOF: the body was whole
	closed bool
	result logic.Result // set by Close
}

// stream takes over the connection of an answer whose head was read.
func (p *Pool) stream(ctx context.Context, up *upload, res *http.Response, unhook func() bool, again bool) *stream {
	up.c.left = maxHead + framing*message.MaxBodyBytes
	return &stream{pool: p, up: up, ctx: ctx, body: res.Body, unhook: unhook, again: again, over: make(chan struct{})}
}

// Read is io.Reader.
func (s *stream) Read(b []byte) (int, error) {
	if err := s.ended(); err != nil {
		return 0, err
	}
	n, err := s.body.Read(b)
	return n, s.took(n, err)
}

// ended returns the error with which the stream has ended, nil while it goes on. What came
// before its time was over is not handed out after it.
func (s *stream) ended() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && s.ctx.Err() != nil {
		s.err = &Error{ResponseBegun, context.Cause(s.ctx)}
	}
	return s.err
}

// took notes what a read brought.
func (s *stream) took(n int, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.came += int64(n)
	switch {
	case s.err != nil: // closed meanwhile
	case s.came > message.MaxBodyBytes:
		s.err = &Error{ResponseBegun, errTooMuch}
	case err == io.EOF:
		s.err = io.EOF
	case err != nil:
		s.err = &Error{ResponseBegun, because(s.ctx, s.up.cause(err))}
	}
	return s.err
}

// Close is io.Closer. It gives the connection back.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	s.result = s.outcome()
	whole := s.err == io.EOF
	if s.err == nil {
		s.err = errClosed
	}
	quiet := s.unhook() // its time can't end the connection any more
	c := s.up.c
	reusable := quiet && whole && s.again && c.in.Buffered() == 0
	s.pool.give(c, reusable)
	close(s.over)
	return nil
}

// outcome is what the stream's end means; s.mu is held.
func (s *stream) outcome() logic.Result {
	var broken *Error
	switch {
	case s.err == io.EOF:
		return logic.OK
	case errors.As(s.err, &broken):
		return s.pool.counted(broken)
	case errors.Is(context.Cause(s.ctx), context.DeadlineExceeded):
		return logic.TimedOut
	}
	return logic.Canceled
}

// wait returns the end of the stream once it is closed. Where its time is over sooner, the
// connection is closed then, so that the server stops.
func (s *stream) wait() core.AttemptResult {
	select {
	case <-s.over:
	case <-s.ctx.Done():
		s.cut()
		<-s.over
	}
	return core.AttemptResult{Result: s.result, At: time.Now()}
}

// cut closes the connection under a reader that has not closed the stream.
func (s *stream) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && s.err != io.EOF {
		s.up.c.Close()
	}
}
