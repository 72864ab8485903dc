package gateway

import (
	"io"
	"net/http"
	"sync"

	"pipitmux/internal/anemometer/dispatch"
	"pipitmux/internal/anemometer/events"
	"pipitmux/internal/core"
	"pipitmux/internal/message"
)

// resumable returns the answer with a stream that is taken up at another server where its
// own breaks. The answer keeps its head.
func (x *exchange) resumable(a core.Answer, s submission) core.Answer {
	reply, _ := a.Reply.(*message.Reply)
	if !x.route.SessionResume || a.Kind != core.Served || reply == nil || reply.Rest == nil ||
		len(reply.Body) > 0 || reply.Length != message.UnknownLength {
		return a
	}
	s.avoid = a.Server
	reply.Rest = &resumedStream{exchange: x, submission: s, source: reply.Rest, attempts: a.Attempts}
	return a
}

// resumedStream is the body of a streamed answer that several servers may give in turn. It
// gives whole events only: the next server goes on behind the last one.
type resumedStream struct {
	exchange   *exchange
	submission submission // that brought the present source
	attempts   int        // sent so far
	events     events.Cutter
	whole      []byte // events that were not read yet
	err        error  // with which reading ends once whole is empty
	buffer     [copySize]byte

	mu     sync.Mutex
	source io.ReadCloser
	closed bool
}

// Read implements io.Reader.
func (s *resumedStream) Read(b []byte) (int, error) {
	for len(s.whole) == 0 && s.err == nil {
		s.fill()
	}
	n := copy(b, s.whole)
	s.whole = s.whole[n:]
	if n == 0 {
		return 0, s.err
	}
	return n, nil
}

// fill reads from the present server, and goes on to another one where that breaks off.
func (s *resumedStream) fill() {
	n, err := s.source.Read(s.buffer[:])
	s.whole = s.events.Write(s.buffer[:n])
	switch {
	case err == nil:
	case err == io.EOF:
		s.whole, s.err = append(s.whole, s.events.Rest()...), io.EOF
	case !s.resume():
		s.err = err
	}
}

// resume has another server go on behind the last whole event. It is false where none does.
func (s *resumedStream) resume() bool {
	left := s.exchange.route.RetryLimit - s.attempts
	if s.isClosed() || left <= 0 {
		return false
	}
	s.source.Close()
	s.events.Drop()
	s.submission.again++
	s.submission.maxAttempts, s.submission.lastEvent = left, s.events.LastID()
	a := s.exchange.submit(s.submission)
	s.attempts += a.Attempts
	s.submission.avoid = a.Server
	reply, _ := a.Reply.(*message.Reply)
	if reply == nil {
		return false
	}
	if a.Kind != core.Served || reply.Rest == nil || reply.Status != http.StatusOK || len(reply.Body) > 0 {
		reply.Close()
		return false
	}
	s.exchange.gateway.opt.Count.Add("stream.resumed")
	return s.change(reply.Rest)
}

func (s *resumedStream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// change reads on from another source. It is false where the reader has left meanwhile.
func (s *resumedStream) change(to io.ReadCloser) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		to.Close()
		return false
	}
	s.source = to
	return true
}

// Close implements io.Closer. It may come while another goroutine reads.
func (s *resumedStream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.source.Close()
}

// withLastEvent names the event behind which a server is to go on.
func withLastEvent(call *message.Call, id string) *message.Call {
	if id != "" {
		call.Header.Set(dispatch.LastEventHeader, id)
	}
	return call
}
