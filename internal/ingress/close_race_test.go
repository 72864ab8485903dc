package ingress_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/ingress"
	"oakseam/internal/message"
	"oakseam/internal/metrics"
	"oakseam/internal/session"
	"oakseam/logic"
)

// testTimeout limits every wait for a condition.
const testTimeout = 20 * time.Second

// recordingOwner is an owner that passes requests to the test and records whose client has gone.
type recordingOwner struct {
	requests chan core.Request
	gone     chan string
}

func (o recordingOwner) Submit(r core.Request) error          { o.requests <- r; return nil }
func (o recordingOwner) BodyComplete(string, core.Session)    {}
func (o recordingOwner) ClientGone(id string, _ core.Session) { o.gone <- id }
func (o recordingOwner) Ready() bool                          { return true }

// front starts a front that serves on real sockets until the test ends.
func front(t *testing.T, sessions int) (*session.Frontend, recordingOwner, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o := recordingOwner{make(chan core.Request, 1000), make(chan string, 1000)}
	f := session.New(session.Options{Classes: []logic.Class{{Name: "lookup", Deadline: time.Minute}}, MaxSessions: sessions, MaxRequests: 1000,
		HeadTimeout: time.Minute, BodyTimeout: time.Minute, IdleTimeout: time.Minute,
		Metrics: metrics.New(nil), Budget: message.NewBudget(1 << 20)}, l, o, counters.New())
	f.SetLingerTime(testTimeout) // long, so that the test does not depend on the speed of the machine
	go f.Serve()
	t.Cleanup(func() { f.Close() })
	return f, o, l.Addr().String()
}

// dial connects a client.
func dial(t *testing.T, addr string) *net.TCPConn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c.(*net.TCPConn)
}

// get returns a GET request with an id.
func get(id string) string {
	return "GET /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: lookup\r\n\r\n"
}

// write sends text.
func write(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// wait receives from a channel.
func wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		require.Fail(t, "timed out waiting for "+what)
	}
	return v
}

// until waits until ok holds.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, testTimeout, time.Millisecond, what)
}

// served returns an answer with a body.
func served(body string) core.Answer {
	return core.Answer{Kind: core.Served, Reply: &message.Reply{Body: []byte(body), Length: int64(len(body))}}
}

// idleClient connects a client whose session is idle after its first response.
func idleClient(t *testing.T, f *session.Frontend, o recordingOwner, addr string) (*net.TCPConn, *ingress.Conn) {
	c := dial(t, addr)
	write(t, c, get("first"))
	wait(t, o.requests, "the first request").Session.Answer(served("one"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(res.Body)
	require.NoError(t, err)
	var s *ingress.Conn
	until(t, "the session to become idle", func() bool {
		f.EachIdle(func(k *ingress.Conn) {
			if k.RemoteAddr().String() == c.LocalAddr().String() {
				s = k
			}
		})
		return s != nil
	})
	return c, s
}

// Bytes after a request must not hide the close that follows them: the request must end. If the
// client stays, the bytes must be served as its next request.
func TestCloseAfterBytesIsDetected(t *testing.T) {
	for name, extra := range map[string]string{
		"nothing": "", "a byte": "G", "half a head": get("second")[:30], "a complete request": get("second"),
		"a flood": strings.Repeat("x", 1<<20),
	} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", later: ", later), func(t *testing.T) {
				f, o, addr := front(t, 100)
				c := dial(t, addr)
				text := get("first") + extra
				if later {
					text = get("first")
				}
				write(t, c, text)
				r := wait(t, o.requests, "the request")
				clientGone := r.Call.(*message.Call).ClientGone
				assert.False(t, clientGone())
				if later {
					write(t, c, extra)
				}
				c.Close()
				assert.Equal(t, "first", wait(t, o.gone, "the end of the request"))
				assert.True(t, clientGone(), "no attempt may begin")
				assert.Empty(t, o.requests)
				until(t, "its slot to be free", func() bool { return f.Sessions() == 0 })
			})
		}
	}
	t.Run("client stays", func(t *testing.T) {
		_, o, addr := front(t, 100)
		c := dial(t, addr)
		write(t, c, get("first")+get("second"))
		in := bufio.NewReader(c)
		for _, id := range []string{"first", "second"} {
			r := wait(t, o.requests, id)
			assert.Equal(t, id, r.ID)
			r.Session.Answer(served(id))
			res, err := http.ReadResponse(in, nil)
			require.NoError(t, err)
			body, err := io.ReadAll(res.Body)
			require.NoError(t, err)
			assert.Equal(t, id, string(body))
		}
		assert.Empty(t, o.gone)
	})
}

// Many clients close at the same time, some with bytes after their requests. After that no attempt
// may begin for any of them, even before the server has processed the closes.
func TestManyClientsCloseTogether(t *testing.T) {
	f, o, addr := front(t, 1000)
	const clients = 200
	var all []*net.TCPConn
	for i := range clients {
		c := dial(t, addr)
		write(t, c, get(fmt.Sprint("c", i))+strings.Repeat("x", i%2*100))
		all = append(all, c)
	}
	var calls []*message.Call
	for range clients {
		calls = append(calls, wait(t, o.requests, "a request").Call.(*message.Call))
	}
	for _, c := range all {
		c.Close()
	}
	mayBegin := 0
	until(t, "no attempt may begin", func() bool {
		mayBegin = 0
		for _, c := range calls {
			if !c.ClientGone() {
				mayBegin++
			}
		}
		return mayBegin == 0
	})
	for range clients {
		wait(t, o.gone, "the end of a request")
	}
	until(t, "all slots to be free", func() bool { return f.Sessions()+f.Lingering() == 0 })
}

// Bytes that cross the close of an idle session are neither answered nor forwarded, and the client
// can tell, because the session ends without a reset. Bytes that arrived before the close are served.
func TestBytesThatCrossTheClose(t *testing.T) {
	for name, text := range map[string]string{"a byte": "G", "half a head": get("late")[:30], "a complete request": get("late")} {
		t.Run("after the close: "+name, func(t *testing.T) {
			f, o, addr := front(t, 100)
			c, s := idleClient(t, f, o, addr)
			require.True(t, s.CloseIfIdle())
			write(t, c, text)
			rest, err := io.ReadAll(c)
			assert.NoError(t, err, "the session must end without a reset")
			assert.Empty(t, rest)
			assert.NoError(t, c.CloseWrite())
			until(t, "its slot to be free", func() bool { return f.Sessions()+f.Lingering() == 0 })
			assert.Empty(t, o.requests, "nothing may be forwarded")
		})
		t.Run("before the close: "+name, func(t *testing.T) {
			f, o, addr := front(t, 100)
			c, s := idleClient(t, f, o, addr)
			write(t, c, text)
			until(t, "the bytes to arrive", func() bool { return !s.Idle() })
			assert.False(t, s.CloseIfIdle())
			if name != "a complete request" {
				write(t, c, get("late")[len(text):])
			}
			wait(t, o.requests, "the request").Session.Answer(served("late"))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			assert.Equal(t, 200, res.StatusCode)
		})
	}
	t.Run("concurrently", func(t *testing.T) { // whichever comes first, a request is served or its client can tell
		f, o, addr := front(t, 100)
		var forwarded atomic.Int64
		var answered atomic.Int64
		go func() {
			for r := range o.requests {
				forwarded.Add(1)
				r.Session.Answer(served("x"))
			}
		}()
		defer close(o.requests)
		closeIfIdle := func(c net.Conn) {
			f.EachIdle(func(k *ingress.Conn) {
				if k.RemoteAddr().String() == c.LocalAddr().String() {
					k.CloseIfIdle()
				}
			})
		}
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				for i := range 100 {
					c, err := net.Dial("tcp", addr)
					if !assert.NoError(t, err) {
						return
					}
					c.SetDeadline(time.Now().Add(testTimeout))
					ask := func() error {
						io.WriteString(c, get("i"))
						res, err := http.ReadResponse(bufio.NewReader(c), nil)
						if err == nil {
							_, err = io.Copy(io.Discard, res.Body)
							answered.Add(1)
						}
						return err
					}
					assert.NoError(t, ask())
					var both sync.WaitGroup
					both.Go(func() { closeIfIdle(c) })
					if i%4 == 0 {
						both.Wait()
					}
					if err := ask(); err != nil {
						assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "the session must end without a response and without a reset")
					}
					both.Wait()
					c.Close()
				}
			})
		}
		all.Wait()
		assert.Equal(t, forwarded.Load(), answered.Load(), "every forwarded request must be answered")
		assert.Less(t, answered.Load(), int64(1600), "some sessions must have been closed first")
	})
}

// A response that closes its session must not be lost to a reset caused by bytes that the client has
// sent after its request, however late the client reads it.
func TestResponseIsNotLostToAReset(t *testing.T) {
	f, o, addr := front(t, 1) // the only slot, so that the response closes its session
	c := dial(t, addr)
	body := strings.Repeat("b", 30000)
	write(t, c, get("first"))
	r := wait(t, o.requests, "the request")
	r.Session.Answer(served(body))
	until(t, "the response to be written and the sending side to be shut down", func() bool { return f.Lingering() == 1 })
	_, err := io.WriteString(c, strings.Repeat("x", 100<<10)) // the client has not read the response yet
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	got, err := io.ReadAll(res.Body)
	assert.NoError(t, err)
	assert.True(t, bytes.Equal([]byte(body), got))
}

// A request of which half has arrived when the shutdown begins is answered once it is complete,
// although all idle sessions are closed by then.
func TestShutdownDuringAHead(t *testing.T) {
	f, o, addr := front(t, 100)
	c := dial(t, addr)
	write(t, c, get("half")[:30])
	other, _ := idleClient(t, f, o, addr)
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(testTimeout) }()
	_, err := other.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the idle session must be closed")
	other.Close()
	wait(t, f.Closed(), "the listener to close")
	until(t, "the server to stop forwarding requests", func() bool { return !f.AcceptsRequests() })
	write(t, c, get("half")[30:])
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode, "it is too late to forward the request before the process may be killed")
	assert.True(t, res.Close)
	c.Close()
	assert.NoError(t, wait(t, ended, "the shutdown to complete"))
	assert.Empty(t, o.requests)
}

// Connections in the accept queue when the shutdown begins must be accepted first, even if all slots
// are in use at that time.
func TestShutdownAcceptsTheQueueFirst(t *testing.T) {
	f, o, addr := front(t, 1)
	f.SetLimits(1, 0, 100)
	c := dial(t, addr)
	write(t, c, get("first"))
	first := wait(t, o.requests, "the first request")
	late := dial(t, addr) // connected, but not accepted
	write(t, late, get("late"))
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(testTimeout) }()
	until(t, "the listener to be closing", f.ListenerClosing)
	first.Session.Answer(served("one"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	c.Close()
	select { // it may arrive too late to be forwarded
	case r := <-o.requests:
		r.Session.Answer(served("late"))
	case <-ended:
	}
	res, err = http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err, "the client must get a response, not a reset")
	assert.Contains(t, []int{200, 503}, res.StatusCode)
	late.Close()
}

// Each open request must be answered before the process may be killed, also one that no server has
// answered. A request whose answer arrives at that moment gets it.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	f, o, addr := front(t, 100)
	hung, c := dial(t, addr), dial(t, addr)
	write(t, hung, get("hung"))
	assert.Equal(t, "hung", wait(t, o.requests, "the request").ID)
	write(t, c, get("other"))
	wait(t, o.requests, "the other").Session.Answer(served("in time"))
	const timeout = testTimeout / 2
	f.SetRespondNowMargin(timeout - 700*time.Millisecond)
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(timeout) }()
	res, err := http.ReadResponse(bufio.NewReader(hung), nil)
	require.NoError(t, err, "the client must get a response")
	assert.Equal(t, 502, res.StatusCode)
	assert.Less(t, time.Since(began), timeout)
	assert.Equal(t, "hung", wait(t, o.gone, "the cancellation of its attempts"))
	res, err = http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	hung.Close()
	c.Close()
	assert.NoError(t, wait(t, ended, "the shutdown to complete"))
}
