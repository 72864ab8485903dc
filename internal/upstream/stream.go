package upstream

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/core"
	"oakseam/internal/message"
	"oakseam/logic"
)

// errClosed is the error of Read after the reader has closed a stream.
var errClosed = errors.New("the stream is closed")

// stream is the body of a response that is passed on as it arrives, and the only owner of its
// connection. Read returns its bytes, and io.EOF only for a complete body. After the deadline of
// the attempt it fails with context.DeadlineExceeded. Close may be called from any goroutine, also
// during a Read, and more than once. If the body was not read completely, Close closes the
// connection at once, so that the server stops.
type stream struct {
	response
	pool         *Pool
	stallTimeout time.Duration // Read fails if nothing arrives for this long; 0: no limit
	done         chan struct{} // closed by Close

	mu       sync.Mutex
	received int64 // bytes of the body
	err      error // result of every further Read; io.EOF: the body is complete
	closed   bool
	result   logic.Result // set by Close
}

// response is a response whose head was read.
type response struct {
	ctx      context.Context // of the attempt
	upload   *upload         // of the request, on the same connection
	length   int64           // of the body, or message.UnknownLength
	body     io.Reader
	stopWake func() bool // removes the hook by which the end of ctx wakes the connection
	keepConn bool        // the connection may be used again after the body
}

// closeDelimitedBody is a body whose end is that of its connection. Only if the whole request was
// written without an error does the end of the connection prove that the body is whole: a write that
// fails by a reset takes the error of the connection, and reads then find its plain end.
type closeDelimitedBody struct {
	io.Reader
	upload *upload
}

// Read implements io.Reader.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF && !b.upload.sentWhole() {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// newStream takes over the connection of a response. A read of its body may be in progress.
func (p *Pool) newStream(r response) *stream {
	return &stream{pool: p, response: r, done: make(chan struct{})}
}

// Read implements io.Reader.
func (s *stream) Read(b []byte) (int, error) {
	s.limitStall()
	if err := s.endError(); err != nil {
		return 0, err
	}
	n, err := s.body.Read(b)
	return n, s.recordRead(n, err)
}

// limitStall sets the time until which the next read must end. The caller checks for the end of ctx
// afterwards: it may have been set instead of a deadline that woke the connection.
func (s *stream) limitStall() {
	if s.stallTimeout > 0 {
		s.upload.conn.SetReadDeadline(time.Now().Add(s.stallTimeout))
	}
}

// endError returns the error with which the stream has ended, and nil while it has not. Bytes that
// arrived before the deadline are not returned after it.
func (s *stream) endError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && s.ctx.Err() != nil {
		s.err = &Error{ResponseBegun, context.Cause(s.ctx)}
	}
	return s.err
}

// recordRead records the result of a read and returns the error of the stream.
func (s *stream) recordRead(n int, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received += int64(n)
	switch {
	case s.err != nil: // closed during the read
	case s.received > message.MaxBodyBytes:
		s.err = &Error{ResponseBegun, errResponseTooLong}
	case err == io.EOF:
		s.err = io.EOF
	case err != nil:
		s.err = &Error{ResponseBegun, withCause(s.ctx, s.upload.cause(err))}
	}
	return s.err
}

// Close implements io.Closer. It returns the connection to the pool.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.closed = true
	s.result = s.outcome()
	complete := s.err == io.EOF
	if s.err == nil {
		s.err = errClosed
	}
	stopped := s.stopWake() // the end of ctx has not touched the connection, and no longer can
	c := s.upload.conn
	reusable := stopped && complete && s.keepConn && c.reader.Buffered() == 0
	s.pool.put(c, reusable)
	close(s.done)
	return nil
}

// outcome returns the result of the attempt as the stream ended. The caller holds s.mu.
func (s *stream) outcome() logic.Result {
	var broken *Error
	switch {
	case s.err == io.EOF:
		return logic.OK
	case errors.As(s.err, &broken):
		return s.pool.countBroken(broken)
	case errors.Is(context.Cause(s.ctx), context.DeadlineExceeded):
		return logic.TimedOut
	}
	return logic.Canceled
}

// waitClosed returns the end of the attempt once the stream is closed. If the deadline passes or
// the attempt is canceled first, it closes the connection at once, so that the server stops.
func (s *stream) waitClosed() core.AttemptResult {
	select {
	case <-s.done:
	case <-s.ctx.Done():
		s.abort()
		<-s.done
	}
	return core.AttemptResult{Result: s.result, At: time.Now()}
}

// abort closes the connection of a stream that its reader has not closed yet, unless the body is
// complete.
func (s *stream) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed && s.err != io.EOF {
		s.upload.conn.Close()
	}
}
