package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/core"
	"oakseam/internal/fakes"
	"oakseam/internal/message"
	"oakseam/logic"
)

const (
	firstEvent = "data: 1\n\n"
	lastEvent  = "data: 2\n\n"
	// testTimeout is far longer than any step takes.
	testTimeout = 20 * time.Second
)

// eventFraming is a way to frame a streamed response of two events: the header field and what is
// written before, between and after the events.
type eventFraming struct{ head, before, between, after string }

var framings = map[string]eventFraming{
	"chunks": {"Transfer-Encoding: chunked\r\n", "9\r\n", "\r\n9\r\n", "\r\n0\r\n\r\n"},
	"length": {fmt.Sprintf("Content-Length: %d\r\n", len(firstEvent+lastEvent)), "", "", ""},
	"close":  {"", "", "", ""},
}

// streamingServer is a server that streams a response step by step.
type streamingServer struct {
	instance core.Instance
	steps    chan func(c *net.TCPConn) bool // the response goes on while a step returns true
	closed   chan error                     // the error with which the connection ended
	server   *fakes.Backend
}

func newStreamingServer(t *testing.T) *streamingServer {
	s := &streamingServer{steps: make(chan func(c *net.TCPConn) bool), closed: make(chan error, 1)}
	b, err := fakes.NewBackend(func(c *net.TCPConn, _ fakes.Request) bool {
		for step := range s.steps {
			if !step(c) {
				break
			}
		}
		return false
	})
	assert.NilError(t, err)
	t.Cleanup(func() { close(s.steps); b.Close() })
	s.server, s.instance = b, core.Instance{ID: "b", Endpoint: b.Addr}
	return s
}

// write writes a part of the response.
func (s *streamingServer) write(text string) {
	s.steps <- func(c *net.TCPConn) bool { _, err := io.WriteString(c, text); return err == nil }
}

// awaitClose lets the server read until the pool closes the connection.
func (s *streamingServer) awaitClose() {
	s.steps <- func(c *net.TCPConn) bool {
		_, err := c.Read(make([]byte, 1))
		s.closed <- err
		return false
	}
}

// end closes the connection, or resets it.
func (s *streamingServer) end(reset bool) {
	s.steps <- func(c *net.TCPConn) bool {
		if reset {
			c.SetLinger(0)
		}
		return false
	}
}

// start begins an attempt, lets the server write the head and the first event, and reads them.
func (s *streamingServer) start(t *testing.T, p *Pool, f eventFraming, until time.Time) (io.ReadCloser, chan core.AttemptResult, func()) {
	t.Helper()
	ends := make(chan core.AttemptResult, 3)
	call := &message.Call{Method: "GET", Target: "/", Host: "h", ID: "i"}
	cancel := p.Start(core.Attempt{Call: call, Instance: s.instance, Deadline: until}, func(e core.AttemptResult) { ends <- e })
	s.write("HTTP/1.1 200 OK\r\nStream: 1\r\nContent-Type: text/event-stream\r\n" + f.head + "\r\n")
	e := wait(t, ends) // before any byte of the body is written
	assert.Check(t, e.Streaming)
	assert.Equal(t, e.Result, logic.OK)
	reply := e.Reply.(*message.Reply)
	assert.Equal(t, reply.ContentType, "text/event-stream")
	assert.Equal(t, len(reply.Body), 0)
	s.write(f.before + firstEvent)
	read(t, reply.Rest, firstEvent) // before any byte of the next event is written
	return reply.Rest, ends, cancel
}

// read reads and checks the next bytes.
func read(t *testing.T, from io.Reader, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(from, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

// wait receives from a channel.
func wait[T any](t *testing.T, from chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a value")
	}
	return got
}

// closeTwice closes a stream twice and returns its result. It checks that there is only one.
func closeTwice(t *testing.T, replyRest io.Closer, ends chan core.AttemptResult) logic.Result {
	t.Helper()
	replyRest.Close()
	replyRest.Close()
	e := wait(t, ends)
	assert.Check(t, !e.Streaming)
	assert.Equal(t, len(ends), 0)
	return e.Result
}

// openConns returns the number of open connections.
func (p *Pool) openConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Each event must be delivered before the server writes the next one, with every framing. A complete
// response leaves a reusable connection if its framing marks its end.
func TestStreamDeliversEachEventAtOnce(t *testing.T) {
	for name, f := range framings {
		t.Run(name, func(t *testing.T) {
			s, p := newStreamingServer(t), poolOf(2)
			replyRest, ends, _ := s.start(t, p, f, time.Now().Add(testTimeout))
			s.write(f.between + lastEvent)
			read(t, replyRest, lastEvent)
			kept := 1
			if f.after != "" {
				s.write(f.after)
			}
			if name == "close" {
				s.end(false)
				kept = 0
			}
			remainder, err := io.ReadAll(replyRest)
			assert.NilError(t, err)
			assert.Equal(t, len(remainder), 0)
			assert.Equal(t, closeTwice(t, replyRest, ends), logic.OK)
			assert.Equal(t, p.openConns(), kept)
			_, err = replyRest.Read(make([]byte, 1))
			assert.Equal(t, err, io.EOF)
		})
	}
}

// Only a complete body may end with io.EOF. A closed connection completes a body only if the close is
// its framing. A reset never completes a body.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	for name, f := range framings {
		for how, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+" "+how, func(t *testing.T) {
				s, p := newStreamingServer(t), poolOf(2)
				replyRest, ends, _ := s.start(t, p, f, time.Now().Add(testTimeout))
				s.end(reset)
				_, err := io.ReadAll(replyRest)
				want := logic.Reset
				if name == "close" && !reset {
					want = logic.OK
				}
				assert.Equal(t, err == nil, want == logic.OK, "%v", err)
				assert.Equal(t, closeTwice(t, replyRest, ends), want)
				assert.Equal(t, p.openConns(), 0)
			})
		}
	}
}

// A reader that closes the stream must release the server at once, also while a Read waits for the
// next event.
func TestCloseReleasesTheServer(t *testing.T) {
	s, p := newStreamingServer(t), poolOf(2)
	replyRest, ends, _ := s.start(t, p, framings["chunks"], time.Now().Add(testTimeout))
	s.awaitClose()
	broken := make(chan error, 1)
	go func() {
		_, err := replyRest.Read(make([]byte, 1))
		broken <- err
	}()
	assert.Equal(t, closeTwice(t, replyRest, ends), logic.Canceled)
	assert.Check(t, wait(t, s.closed) != nil)
	err := wait(t, broken)
	assert.Check(t, err != nil && err != io.EOF, "%v", err)
	assert.Equal(t, p.openConns(), 0)
}

// The deadline of an attempt bounds its whole response: after it Read fails, and the server is
// released although the stream has not been closed.
func TestStreamDeadline(t *testing.T) {
	s, p := newStreamingServer(t), poolOf(2)
	replyRest, ends, _ := s.start(t, p, framings["chunks"], time.Now().Add(time.Second))
	s.awaitClose()
	_, err := replyRest.Read(make([]byte, 1))
	assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Check(t, wait(t, s.closed) != nil)
	assert.Equal(t, closeTwice(t, replyRest, ends), logic.TimedOut)
	assert.Equal(t, p.openConns(), 0)
}

// The deadline also applies while nobody reads, and bytes that arrived before it are not returned
// after it.
func TestStreamDeadlineWithoutReader(t *testing.T) {
	s, p := newStreamingServer(t), poolOf(2)
	both := eventFraming{head: framings["length"].head, before: firstEvent} // the second event arrives together with the first
	replyRest, ends, _ := s.start(t, p, both, time.Now().Add(time.Second))
	s.awaitClose()
	assert.Check(t, wait(t, s.closed) != nil)
	n, err := replyRest.Read(make([]byte, len(firstEvent)))
	assert.Equal(t, n, 0)
	assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Equal(t, closeTwice(t, replyRest, ends), logic.TimedOut)
}

// Canceling an attempt must end its stream and release the server.
func TestCanceledStream(t *testing.T) {
	s, p := newStreamingServer(t), poolOf(2)
	replyRest, ends, cancel := s.start(t, p, framings["length"], time.Now().Add(testTimeout))
	s.awaitClose()
	cancel()
	_, err := replyRest.Read(make([]byte, 1))
	assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Check(t, wait(t, s.closed) != nil)
	assert.Equal(t, closeTwice(t, replyRest, ends), logic.Canceled)
}
