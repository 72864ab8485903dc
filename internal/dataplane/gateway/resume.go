package gateway

import (
	"io"
	"net/http"
	"sync"

	"oakseam/internal/core"
	"oakseam/internal/dataplane/dispatch"
	"oakseam/internal/dataplane/events"
	"oakseam/internal/message"
)

// resumable returns the answer with a stream that is resumed at another server if its own breaks
// off. The status and headers stay those of the first server.
func (x *exchange) resumable(a core.Answer, s submission) core.Answer {
	reply, _ := a.Reply.(*message.Reply)
	if !x.route.SessionResume || a.Kind != core.Served || reply == nil || reply.Rest == nil ||
		len(reply.Body) > 0 || reply.Length != message.UnknownLength {
		return a
	}
	s.avoidedServer = a.Server
	reply.Rest = &resumedStream{exchange: x, submission: s, source: reply.Rest, attempts: a.Attempts}
	return a
}

// resumedStream is the body of a streamed response that several servers may provide one after the
// other. It returns whole events only, so that the next server continues after the last event.
type resumedStream struct {
	exchange   *exchange
	submission submission // that returned the current source
	attempts   int        // made so far
	events     events.Splitter
	complete   []byte // whole events that were not read yet
	err        error  // returned by Read once complete is empty
	buffer     [copySize]byte

	mu     sync.Mutex
	source io.ReadCloser
	closed bool
}

// Read implements io.Reader.
func (s *resumedStream) Read(b []byte) (int, error) {
	for len(s.complete) == 0 && s.err == nil {
		s.fill()
	}
	n := copy(b, s.complete)
	s.complete = s.complete[n:]
	if n == 0 {
		return 0, s.err
	}
	return n, nil
}

// fill reads from the current server and resumes at another one if the stream breaks off.
func (s *resumedStream) fill() {
	n, err := s.source.Read(s.buffer[:])
	s.complete = s.events.Write(s.buffer[:n])
	switch {
	case err == nil:
	case err == io.EOF:
		s.complete, s.err = append(s.complete, s.events.Partial()...), io.EOF
	case !s.resume():
		s.err = err
	}
}

// resume has another server continue after the last whole event. It returns false if none does.
func (s *resumedStream) resume() bool {
	attemptsLeft := s.exchange.route.RetryLimit - s.attempts
	if s.isClosed() || attemptsLeft <= 0 {
		return false
	}
	s.source.Close()
	s.events.DropPartial()
	s.submission.resumptions++
	s.submission.maxAttempts, s.submission.lastEventID = attemptsLeft, s.events.LastID()
	a := s.exchange.submit(s.submission)
	s.attempts += a.Attempts
	s.submission.avoidedServer = a.Server
	reply, _ := a.Reply.(*message.Reply)
	if reply == nil {
		return false
	}
	if a.Kind != core.Served || reply.Rest == nil || reply.Status != http.StatusOK || len(reply.Body) > 0 {
		reply.Close()
		return false
	}
	s.exchange.gateway.opt.Counters.Add("stream.resumed")
	return s.switchSource(reply.Rest)
}

func (s *resumedStream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// switchSource continues reading from another source. It returns false if the reader has closed the
// stream in the meantime.
func (s *resumedStream) switchSource(next io.ReadCloser) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		next.Close()
		return false
	}
	s.source = next
	return true
}

// Close implements io.Closer. It may be called while another goroutine reads.
func (s *resumedStream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.source.Close()
}

// withLastEvent tells a server after which event to continue. An empty id changes nothing.
func withLastEvent(call *message.Call, id string) *message.Call {
	if id != "" {
		call.Header.Set(dispatch.LastEventHeader, id)
	}
	return call
}
