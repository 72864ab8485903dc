package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"oakseam/internal/core"
	"oakseam/internal/fakes"
	"oakseam/internal/message"
	"oakseam/logic"
)

// ask makes one attempt at an instance and returns its end. It checks that there is only one.
func ask(t *testing.T, p *Pool, instance core.Instance, path string) core.AttemptResult {
	t.Helper()
	ends := make(chan core.AttemptResult, 2)
	call := &message.Call{Method: "GET", Target: path, Host: "h", ID: "i"}
	p.Start(core.Attempt{Call: call, Instance: instance, Deadline: time.Now().Add(testTimeout)}, func(e core.AttemptResult) { ends <- e })
	e := wait(t, ends)
	assert.Equal(t, len(ends), 0)
	return e
}

// Up to two responses to other requests are discarded, and their connection is not used again.
func TestMisroutedResponses(t *testing.T) {
	for misrouted, want := range []logic.Result{logic.OK, logic.OK, logic.OK, logic.Reset} {
		t.Run(fmt.Sprint(misrouted), func(t *testing.T) {
			b, err := fakes.NewBackend(func(c *net.TCPConn, _ fakes.Request) bool {
				text := ""
				for i := range misrouted {
					chunkOverheadFactor := "Content-Length: 5\r\n\r\nother"
					if i == 1 {
						chunkOverheadFactor = "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n"
					}
					text += "HTTP/1.1 500 x\r\nFor: j\r\n" + chunkOverheadFactor
				}
				fmt.Fprint(c, text+"HTTP/1.1 200 x\r\nFor: i\r\nContent-Length: 3\r\n\r\nown")
				return true
			})
			assert.NilError(t, err)
			defer b.Close()
			p, instance := poolOf(2), core.Instance{ID: "b", Endpoint: b.Addr}
			p.reuseDelay = 0
			for round := range 2 {
				e := ask(t, p, instance, "/")
				assert.Equal(t, e.Result, want)
				if want == logic.OK {
					assert.Equal(t, string(e.Reply.(*message.Reply).Body), "own")
				}
				opened := 1
				if misrouted > 0 {
					opened = round + 1
				}
				assert.Equal(t, int(b.Opened.Load()), opened)
			}
		})
	}
}

// A server's own error response is passed on with its status, header and body if the codec says so,
// and only then.
func TestErrorResponseIsPassedThrough(t *testing.T) {
	b, err := fakes.NewBackend(func(c *net.TCPConn, r fakes.Request) bool {
		header := "Content-Type: text/plain\r\nHint: full\r\n"
		if r.URL.Path == "/pass" {
			header += "Pass: 1\r\n"
		}
		return fakes.WriteResponse(c, 507, header, "no room")
	})
	assert.NilError(t, err)
	defer b.Close()
	p, instance := poolOf(2), core.Instance{ID: "b", Endpoint: b.Addr}
	for _, omitHeader := range []bool{false, true} {
		p.opt.OmitHeader = omitHeader
		e := ask(t, p, instance, "/pass")
		assert.Equal(t, e.Result, logic.Failed)
		assert.Check(t, e.PassThrough)
		r := e.Reply.(*message.Reply)
		assert.Equal(t, string(r.Body), "no room")
		assert.Equal(t, r.ContentType, "text/plain")
		if omitHeader {
			assert.Equal(t, r.Status, 0)
			assert.Check(t, r.Header == nil)
		} else {
			assert.Equal(t, r.Status, http.StatusInsufficientStorage)
			assert.Equal(t, r.Header.Get("Hint"), "full")
		}
		e = ask(t, p, instance, "/drop")
		assert.Equal(t, e.Result, logic.Failed)
		assert.Check(t, !e.PassThrough && e.Reply == nil)
	}
}

// An instance at its connection limit gets no further connection while all are in use. An idle
// connection is closed to make room. The limit does not affect other instances.
func TestConnectionLimitOfAnInstance(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	script := func(c *net.TCPConn, r fakes.Request) bool {
		if r.URL.Path == "/wait" {
			arrived <- struct{}{}
			<-release
		}
		return fakes.WriteResponse(c, 200, "", "done")
	}
	one, err := fakes.NewBackend(script)
	assert.NilError(t, err)
	defer one.Close()
	two, err := fakes.NewBackend(script)
	assert.NilError(t, err)
	defer two.Close()
	first, other := core.Instance{ID: "1", Endpoint: one.Addr}, core.Instance{ID: "2", Endpoint: two.Addr}
	p := poolOf(10)
	p.reuseDelay = time.Hour // long, so that no idle connection is used again
	p.opt.MaxConnsPerInstance = func(instance core.Instance) int {
		if instance == first {
			return 1
		}
		return 0
	}
	busy := make(chan core.AttemptResult, 1)
	p.Start(core.Attempt{Call: &message.Call{Method: "GET", Target: "/wait", Host: "h", ID: "j"}, Instance: first, Deadline: time.Now().Add(testTimeout)},
		func(e core.AttemptResult) { busy <- e })
	wait(t, arrived)
	assert.Equal(t, ask(t, p, first, "/").Result, logic.ConnectFailed)
	assert.Equal(t, ask(t, p, other, "/").Result, logic.OK)
	assert.Equal(t, ask(t, p, other, "/").Result, logic.OK)
	close(release)
	assert.Equal(t, wait(t, busy).Result, logic.OK)
	assert.Equal(t, ask(t, p, first, "/").Result, logic.OK)
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, p.connCounts[first], 1)
	assert.Equal(t, p.connCounts[other], 2)
	assert.Equal(t, p.open, 3)
}

// TCP_USER_TIMEOUT is set on connections if the options have one, and Nagle's algorithm is off on
// all connections.
func TestSocketOptions(t *testing.T) {
	b, err := fakes.NewBackend(fakes.OK)
	assert.NilError(t, err)
	defer b.Close()
	for _, timeout := range []time.Duration{0, 3 * time.Second} {
		p := New(testCodec{}, Options{ConnectTimeout: testTimeout, MaxConns: 1, TCPUserTimeout: timeout}, nil, nil)
		c, err := p.dial(t.Context(), "tcp", b.Addr)
		assert.NilError(t, err)
		defer c.Close()
		assert.Equal(t, option(t, c, unix.TCP_USER_TIMEOUT), int(timeout.Milliseconds()))
		assert.Equal(t, option(t, c, unix.TCP_NODELAY) != 0, true)
	}
}

// option returns the value of a TCP socket option.
func option(t *testing.T, c net.Conn, name int) (value int) {
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var getErr error
	assert.NilError(t, raw.Control(func(fd uintptr) { value, getErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
	assert.NilError(t, getErr)
	return value
}

// deadlineRecorder is a connection that records its last write deadline.
type deadlineRecorder struct {
	*net.TCPConn
	deadline atomic.Pointer[time.Time]
}

func (w *deadlineRecorder) SetDeadline(t time.Time) error {
	w.deadline.Store(&t)
	return w.TCPConn.SetDeadline(t)
}
func (w *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	w.deadline.Store(&t)
	return w.TCPConn.SetWriteDeadline(t)
}

// The write deadline of a long body must not remain on the connection for the next request.
func TestLongBodyLeavesNoDeadline(t *testing.T) {
	b, err := fakes.NewBackend(fakes.OK)
	assert.NilError(t, err)
	defer b.Close()
	p, c := poolOf(1), &deadlineRecorder{}
	dial := p.dial
	p.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err == nil {
			c.TCPConn = nc.(*net.TCPConn)
		}
		return c, err
	}
	ends := make(chan core.AttemptResult, 1)
	call := &message.Call{Method: "POST", Target: "/", Host: "h", ID: "i", Body: []byte("be"), Length: 5,
		Rest: message.NewStream(strings.NewReader("gun"), func() {})}
	p.Start(core.Attempt{Call: call, Instance: core.Instance{ID: "b", Endpoint: b.Addr}, Timeout: testTimeout}, func(e core.AttemptResult) { ends <- e })
	assert.Equal(t, wait(t, ends).Result, logic.OK)
	assert.Equal(t, (<-b.Requests).Body, "begun")
	assert.Check(t, c.deadline.Load().IsZero())
}
