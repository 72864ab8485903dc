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

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/figures"
	"pipitmux/internal/ingress"
	"pipitmux/internal/message"
	"pipitmux/internal/session"
	"pipitmux/logic"
)

// patience bounds every wait for a condition.
const patience = 20 * time.Second

// noting is an owner that hands requests to the test and notes whose client has gone.
type noting struct {
	requests chan core.Request
	gone     chan string
}

func (o noting) Submit(r core.Request) error    { o.requests <- r; return nil }
func (o noting) Whole(string, core.Session)     {}
func (o noting) Gone(id string, _ core.Session) { o.gone <- id }
func (o noting) Ready() bool                    { return true }

// front serves on real sockets until the test ends.
func front(t *testing.T, sessions int) (*session.Front, noting, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o := noting{make(chan core.Request, 1000), make(chan string, 1000)}
	f := session.New(session.Options{Classes: []logic.Class{{Name: "lookup", Deadline: time.Minute}}, MaxSessions: sessions, MaxRequests: 1000,
		HeadWithin: time.Minute, BodyWithin: time.Minute, IdleFor: time.Minute,
		Figures: figures.New(nil), Budget: message.NewBudget(1 << 20)}, l, o, counters.New())
	f.SetLingerFor(patience) // no test hangs on how fast this machine is
	go f.Serve()
	t.Cleanup(func() { f.Close() })
	return f, o, l.Addr().String()
}

func dial(t *testing.T, addr string) *net.TCPConn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	return c.(*net.TCPConn)
}

func get(id string) string {
	return "GET /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: lookup\r\n\r\n"
}

func write(t *testing.T, c net.Conn, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

func wait[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		require.Fail(t, "waited in vain for "+what)
	}
	return v
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, patience, time.Millisecond, what)
}

func served(body string) core.Answer {
	return core.Answer{Kind: core.Served, Reply: &message.Reply{Body: []byte(body), Length: int64(len(body))}}
}

// resting is a session that has had its first answer.
func resting(t *testing.T, f *session.Front, o noting, addr string) (*net.TCPConn, *ingress.Conn) {
	c := dial(t, addr)
	write(t, c, get("first"))
	wait(t, o.requests, "the first request").Session.Answer(served("one"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	_, err = io.ReadAll(res.Body)
	require.NoError(t, err)
	var s *ingress.Conn
	until(t, "the session rests", func() bool {
		f.EachIdle(func(k *ingress.Conn) {
			if k.RemoteAddr().String() == c.LocalAddr().String() {
				s = k
			}
		})
		return s != nil
	})
	return c, s
}

// What comes behind a request hides the client's close from nobody: its request ends, and the bytes
// that it sent on are served where it stays.
func TestCloseBehindBytes(t *testing.T) {
	for name, behind := range map[string]string{
		"nothing": "", "a byte": "G", "half a head": get("second")[:30], "a whole request": get("second"),
		"a flood": strings.Repeat("x", 1<<20),
	} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", later: ", later), func(t *testing.T) {
				f, o, addr := front(t, 100)
				c := dial(t, addr)
				text := get("first") + behind
				if later {
					text = get("first")
				}
				write(t, c, text)
				r := wait(t, o.requests, "the request")
				left := r.Call.(*message.Call).ClientGone
				assert.False(t, left())
				if later {
					write(t, c, behind)
				}
				c.Close()
				assert.Equal(t, "first", wait(t, o.gone, "the end of the request"))
				assert.True(t, left(), "an attempt must not begin")
				assert.Empty(t, o.requests)
				until(t, "its place is free", func() bool { return f.Sessions() == 0 })
			})
		}
	}
	t.Run("one that stays", func(t *testing.T) {
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

// A burst of clients that leaves together, with bytes behind their requests or none: no attempt
// may begin for any of them from the moment they have closed, whoever has noted it by then.
func TestBurstThatLeaves(t *testing.T) {
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
	began := 0
	until(t, "each attempt would be stopped", func() bool {
		began = 0
		for _, c := range calls {
			if !c.ClientGone() {
				began++
			}
		}
		return began == 0
	})
	for range clients {
		wait(t, o.gone, "the end of a request")
	}
	until(t, "all places are free", func() bool { return f.Sessions()+f.Lingering() == 0 })
}

// What crosses the end of a resting session is neither answered nor sent on, and the client
// can tell: its session ends without a reset. What came before the end is served.
func TestBytesCrossTheEnd(t *testing.T) {
	for name, text := range map[string]string{"a byte": "G", "half a head": get("late")[:30], "a whole request": get("late")} {
		t.Run("after it: "+name, func(t *testing.T) {
			f, o, addr := front(t, 100)
			c, s := resting(t, f, o, addr)
			require.True(t, s.CloseIfIdle())
			write(t, c, text)
			rest, err := io.ReadAll(c)
			assert.NoError(t, err, "an end, not a reset")
			assert.Empty(t, rest)
			assert.NoError(t, c.CloseWrite())
			until(t, "its place is free", func() bool { return f.Sessions()+f.Lingering() == 0 })
			assert.Empty(t, o.requests, "nothing was sent on")
		})
		t.Run("before it: "+name, func(t *testing.T) {
			f, o, addr := front(t, 100)
			c, s := resting(t, f, o, addr)
			write(t, c, text)
			until(t, "it has come", func() bool { return !s.Idle() })
			assert.False(t, s.CloseIfIdle())
			if name != "a whole request" {
				write(t, c, get("late")[len(text):])
			}
			wait(t, o.requests, "the request").Session.Answer(served("late"))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			require.NoError(t, err)
			assert.Equal(t, 200, res.StatusCode)
		})
	}
	t.Run("by the thousand", func(t *testing.T) { // whichever comes first, a request is served or its client can tell
		f, o, addr := front(t, 100)
		var sentOn, answered atomic.Int64
		go func() {
			for r := range o.requests {
				sentOn.Add(1)
				r.Session.Answer(served("x"))
			}
		}()
		defer close(o.requests)
		end := func(c net.Conn) {
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
					c.SetDeadline(time.Now().Add(patience))
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
					both.Go(func() { end(c) })
					if i%4 == 0 {
						both.Wait()
					}
					if err := ask(); err != nil {
						assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "an end with no answer, no reset")
					}
					both.Wait()
					c.Close()
				}
			})
		}
		all.Wait()
		assert.Equal(t, sentOn.Load(), answered.Load(), "what was sent on was answered")
		assert.Less(t, answered.Load(), int64(1600), "some were ended first")
	})
}

// An answer that ends its session is not taken back by a reset for what the client has sent
// behind its request, however late the client reads it.
func TestAnswerOutlivesTheClose(t *testing.T) {
	f, o, addr := front(t, 1) // the only place: an answer ends its session
	c := dial(t, addr)
	body := strings.Repeat("b", 30000)
	write(t, c, get("first"))
	r := wait(t, o.requests, "the request")
	r.Session.Answer(served(body))
	until(t, "the answer is written and the sending side ended", func() bool { return f.Lingering() == 1 })
	_, err := io.WriteString(c, strings.Repeat("x", 100<<10)) // nobody has read the answer yet
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	got, err := io.ReadAll(res.Body)
	assert.NoError(t, err)
	assert.True(t, bytes.Equal([]byte(body), got))
}

// A request of which half has come when the node is told to end is answered once it is whole,
// though all that rests has ended by then.
func TestHalfAHeadAcrossTheEnd(t *testing.T) {
	f, o, addr := front(t, 100)
	c := dial(t, addr)
	write(t, c, get("half")[:30])
	other, _ := resting(t, f, o, addr)
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(patience) }()
	_, err := other.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "what rests ends")
	other.Close()
	wait(t, f.Closed(), "the listener's end")
	until(t, "nothing more is sent on", func() bool { return !f.AcceptsRequests() })
	write(t, c, get("half")[30:])
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 503, res.StatusCode, "too late to be sent on before the process may be killed")
	assert.True(t, res.Close)
	c.Close()
	assert.NoError(t, wait(t, ended, "the front's end"))
	assert.Empty(t, o.requests)
}

// Who waits in the listener's queue when the node is told to end is taken first, though every
// place is taken until then.
func TestQueueOfTheListenerAtTheEnd(t *testing.T) {
	f, o, addr := front(t, 1)
	f.Limit(1, 0, 100)
	c := dial(t, addr)
	write(t, c, get("first"))
	first := wait(t, o.requests, "the first request")
	late := dial(t, addr) // connected, and not accepted
	write(t, late, get("late"))
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(patience) }()
	until(t, "the listener is to close", f.ListenerClosing)
	first.Session.Answer(served("one"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	c.Close()
	select { // it may come too late to be sent on
	case r := <-o.requests:
		r.Session.Answer(served("late"))
	case <-ended:
	}
	res, err = http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err, "an answer, not a reset")
	assert.Contains(t, []int{200, 503}, res.StatusCode)
	late.Close()
}

// Each open request has its answer before the process may be killed, also one that no backend
// has answered, and one whose answer comes in that moment has that.
func TestOpenRequestsAreAnsweredAtTheEnd(t *testing.T) {
	f, o, addr := front(t, 100)
	hung, c := dial(t, addr), dial(t, addr)
	write(t, hung, get("hung"))
	assert.Equal(t, "hung", wait(t, o.requests, "the request").ID)
	write(t, c, get("other"))
	wait(t, o.requests, "the other").Session.Answer(served("in time"))
	const within = patience / 2
	f.SetRespondNowMargin(within - 700*time.Millisecond)
	began := time.Now()
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(within) }()
	res, err := http.ReadResponse(bufio.NewReader(hung), nil)
	require.NoError(t, err, "an answer")
	assert.Equal(t, 502, res.StatusCode)
	assert.Less(t, time.Since(began), within)
	assert.Equal(t, "hung", wait(t, o.gone, "the end of its attempts"))
	res, err = http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	hung.Close()
	c.Close()
	assert.NoError(t, wait(t, ended, "the front's end"))
}
