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

	"pipitmux/internal/core"
	"pipitmux/internal/message"
	"pipitmux/internal/standin"
	"pipitmux/logic"
)

const (
	event = "data: 1\n\n"
	last  = "data: 2\n\n"
	// patience is far beyond what any step takes.
	patience = 20 * time.Second
)

// framed is a way to frame a streamed answer of two events.
type framed struct{ head, before, between, after string }

var framings = map[string]framed{
	"chunks": {"Transfer-Encoding: chunked\r\n", "9\r\n", "\r\n9\r\n", "\r\n0\r\n\r\n"},
	"length": {fmt.Sprintf("Content-Length: %d\r\n", len(event+last)), "", "", ""},
	"close":  {"", "", "", ""},
}

// streaming is a backend that streams, a step each time that it is told to.
type streaming struct {
	at    core.Instance
	step  chan func(c *net.TCPConn) bool // the answer goes on while it returns true
	freed chan error                     // how the connection ended that it reads
	b     *standin.Backend
}

func newStreaming(t *testing.T) *streaming {
	s := &streaming{step: make(chan func(c *net.TCPConn) bool), freed: make(chan error, 1)}
	b, err := standin.NewBackend(func(c *net.TCPConn, _ standin.Request) bool {
		for f := range s.step {
			if !f(c) {
				break
			}
		}
		return false
	})
	assert.NilError(t, err)
	t.Cleanup(func() { close(s.step); b.Close() })
	s.b, s.at = b, core.Instance{ID: "b", Endpoint: b.Addr}
	return s
}

func (s *streaming) write(text string) {
	s.step <- func(c *net.TCPConn) bool { _, err := io.WriteString(c, text); return err == nil }
}

// free has the backend read until the node ends the connection.
func (s *streaming) free() {
	s.step <- func(c *net.TCPConn) bool {
		_, err := c.Read(make([]byte, 1))
		s.freed <- err
		return false
	}
}

// end closes the connection, or resets it.
func (s *streaming) end(reset bool) {
	s.step <- func(c *net.TCPConn) bool {
		if reset {
			c.SetLinger(0)
		}
		return false
	}
}

// start begins an attempt, has the head and the first event written, and reads that.
func (s *streaming) start(t *testing.T, p *Pool, f framed, until time.Time) (io.ReadCloser, chan core.AttemptResult, func()) {
	t.Helper()
	ends := make(chan core.AttemptResult, 3)
	call := &message.Call{Method: "GET", Target: "/", Host: "h", ID: "i"}
	cancel := p.Start(core.Attempt{Call: call, Instance: s.at, Deadline: until}, func(e core.AttemptResult) { ends <- e })
	s.write("HTTP/1.1 200 OK\r\nStream: 1\r\nContent-Type: text/event-stream\r\n" + f.head + "\r\n")
	e := wait(t, ends) // with no byte of the body written
	assert.Check(t, e.Streaming)
	assert.Equal(t, e.Result, logic.OK)
	reply := e.Reply.(*message.Reply)
	assert.Equal(t, reply.ContentType, "text/event-stream")
	assert.Equal(t, len(reply.Body), 0)
	s.write(f.before + event)
	read(t, reply.Rest, event) // with no byte of the next one written
	return reply.Rest, ends, cancel
}

func read(t *testing.T, from io.Reader, want string) {
	t.Helper()
	got := make([]byte, len(want))
	_, err := io.ReadFull(from, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), want)
}

func wait[T any](t *testing.T, from chan T) (got T) {
	t.Helper()
	select {
	case got = <-from:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return got
}

// ended closes a stream and returns its end, which is told once, however often it is closed.
func ended(t *testing.T, rest io.Closer, ends chan core.AttemptResult) logic.Result {
	t.Helper()
	rest.Close()
	rest.Close()
	e := wait(t, ends)
	assert.Check(t, !e.Streaming)
	assert.Equal(t, len(ends), 0)
	return e.Result
}

func (p *Pool) opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Each event of an answer is handed out before the next one is written, however it is framed,
// and a whole one leaves a connection that can be used again where its end is told.
func TestStreamEventByEvent(t *testing.T) {
	for name, f := range framings {
		t.Run(name, func(t *testing.T) {
			s, p := newStreaming(t), poolOf(2)
			rest, ends, _ := s.start(t, p, f, time.Now().Add(patience))
			s.write(f.between + last)
			read(t, rest, last)
			kept := 1
			if f.after != "" {
				s.write(f.after)
			}
			if name == "close" {
				s.end(false)
				kept = 0
			}
			left, err := io.ReadAll(rest)
			assert.NilError(t, err)
			assert.Equal(t, len(left), 0)
			assert.Equal(t, ended(t, rest, ends), logic.OK)
			assert.Equal(t, p.opened(), kept)
			_, err = rest.Read(make([]byte, 1))
			assert.Equal(t, err, io.EOF)
		})
	}
}

// Only a body that came whole ends in io.EOF: that of a closed connection is whole where the
// connection's end is the only framing, and a reset never ends a whole one.
func TestStreamBroken(t *testing.T) {
	for name, f := range framings {
		for how, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+" "+how, func(t *testing.T) {
				s, p := newStreaming(t), poolOf(2)
				rest, ends, _ := s.start(t, p, f, time.Now().Add(patience))
				s.end(reset)
				_, err := io.ReadAll(rest)
				want := logic.Reset
				if name == "close" && !reset {
					want = logic.OK
				}
				assert.Equal(t, err == nil, want == logic.OK, "%v", err)
				assert.Equal(t, ended(t, rest, ends), want)
				assert.Equal(t, p.opened(), 0)
			})
		}
	}
}

// A reader that leaves frees the server at once, also while a read waits for the next event.
func TestReaderLeavesStream(t *testing.T) {
	s, p := newStreaming(t), poolOf(2)
	rest, ends, _ := s.start(t, p, framings["chunks"], time.Now().Add(patience))
	s.free()
	broken := make(chan error, 1)
	go func() {
		_, err := rest.Read(make([]byte, 1))
		broken <- err
	}()
	assert.Equal(t, ended(t, rest, ends), logic.Canceled)
	assert.Check(t, wait(t, s.freed) != nil)
	err := wait(t, broken)
	assert.Check(t, err != nil && err != io.EOF, "%v", err)
	assert.Equal(t, p.opened(), 0)
}

// An attempt's time bounds its whole answer: past it the read fails, and the server is freed
// though nobody has closed the answer.
func TestStreamPastItsTime(t *testing.T) {
	s, p := newStreaming(t), poolOf(2)
	rest, ends, _ := s.start(t, p, framings["chunks"], time.Now().Add(time.Second))
	s.free()
	_, err := rest.Read(make([]byte, 1))
	assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Check(t, wait(t, s.freed) != nil)
	assert.Equal(t, ended(t, rest, ends), logic.TimedOut)
	assert.Equal(t, p.opened(), 0)
}

// The time counts also where nobody reads, and what had come before is not handed out after.
func TestStreamPastItsTimeUnread(t *testing.T) {
	s, p := newStreaming(t), poolOf(2)
	both := framed{head: framings["length"].head, before: event} // the second one comes with the first
	rest, ends, _ := s.start(t, p, both, time.Now().Add(time.Second))
	s.free()
	assert.Check(t, wait(t, s.freed) != nil)
	n, err := rest.Read(make([]byte, len(event)))
	assert.Equal(t, n, 0)
	assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Equal(t, ended(t, rest, ends), logic.TimedOut)
}

func TestStreamCalledOff(t *testing.T) {
	s, p := newStreaming(t), poolOf(2)
	rest, ends, cancel := s.start(t, p, framings["length"], time.Now().Add(patience))
	s.free()
	cancel()
	_, err := rest.Read(make([]byte, 1))
	assert.Check(t, errors.Is(err, context.Canceled), "%v", err)
	assert.Check(t, wait(t, s.freed) != nil)
	assert.Equal(t, ended(t, rest, ends), logic.Canceled)
}
