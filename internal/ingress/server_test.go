package ingress

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/counters"
	"pipitmux/internal/lifecycle"
)

// patience bounds every wait for what has to come.
const patience = 20 * time.Second

// never is a time that no test reaches.
const never = time.Hour

// handler answers a request in a test.
type handler = func(w http.ResponseWriter, r *http.Request, c *Conn)

// serving serves h on loopback until the test ends.
func serving(t *testing.T, opt Options, h handler) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opt.Handler = h
	opt.RejectAmbiguous = func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }
	opt.MaxSessions = 100
	if opt.WriteTimeout == 0 {
		opt.WriteTimeout = patience
	}
	if opt.BodyTimeout == 0 {
		opt.BodyTimeout = patience
	}
	s := New(opt, l, counters.New())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		assert.NilError(t, s.Close())
		assert.NilError(t, <-ended)
	})
	return s, l.Addr().String()
}

// caller is a client's connection in a test.
type caller struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

func call(t *testing.T, addr string) caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	return caller{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func (c caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// answer reads one answer with its body.
func (c caller) answer() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.in, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	return res, string(body)
}

// ended reads the session's end.
func (c caller) ended() {
	c.t.Helper()
	rest, err := io.ReadAll(c.in)
	assert.NilError(c.t, err, "an end, not a reset and not the test's patience")
	assert.Equal(c.t, string(rest), "")
}

func await[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(patience):
		t.Fatal("waited in vain for " + what)
	}
	return v
}

const plain = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

func hello(w http.ResponseWriter, _ *http.Request, _ *Conn) { io.WriteString(w, "hello") }

// A request whose body has come whole ends with its client, though the bytes of one more
// request stand before the close.
func TestContextEndsWithTheClient(t *testing.T) {
	for _, behind := range []string{"", plain} {
		began, ended := make(chan bool, 1), make(chan bool, 1)
		_, addr := serving(t, Options{}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
			body := NewBody(w, r, limits(1<<20))
			defer body.Close()
			read, _, err := body.ReadPrefix(r.ContentLength)
			began <- err == nil && string(read) == "abc" && !c.ClientClosed() && r.Context().Err() == nil
			<-r.Context().Done()
			ended <- c.ClientClosed()
			panic(http.ErrAbortHandler)
		})
		c := call(t, addr)
		c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" + behind)
		assert.Assert(t, await(t, began, "the request"))
		c.Close()
		assert.Assert(t, await(t, ended, "the context's end"))
	}
}

// The time for a body ends no request that has none, however long its answer takes.
func TestLongAnswerWithoutABody(t *testing.T) {
	came, on := make(chan bool), make(chan bool)
	_, addr := serving(t, Options{BodyTimeout: 1}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
		if r.URL.Path == "/long" {
			came <- true
			<-on
			assert.Check(t, r.Context().Err())
		}
		hello(w, r, c)
	})
	long, others := call(t, addr), call(t, addr)
	long.send("GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	await(t, came, "the request")
	for range 100 { // what would end it has its turn
		others.send(plain)
		others.answer()
	}
	on <- true
	_, body := long.answer()
	assert.Equal(t, body, "hello")
}

// broken is the rest of an answer whose source fails.
type broken struct{ err error }

func (b broken) Read([]byte) (int, error) { return 0, b.err }

// An answer that breaks off does not look complete, and one that does not break does.
func TestPassedOnAnswers(t *testing.T) {
	failure := errors.New("the source broke")
	var s *Server
	s, addr := serving(t, Options{}, func(w http.ResponseWriter, r *http.Request, _ *Conn) {
		rest := io.Reader(strings.NewReader("rest"))
		if r.URL.Path == "/broken" {
			rest = io.MultiReader(rest, broken{failure})
		}
		toClient, fromSource := s.Relay(w, []byte("first "), rest)
		if toClient != nil || fromSource != nil {
			assert.Check(t, errors.Is(fromSource, failure))
			panic(http.ErrAbortHandler)
		}
	})
	c := call(t, addr)
	c.send(plain)
	_, body := c.answer()
	assert.Equal(t, body, "first rest")
	c.send("GET /broken HTTP/1.1\r\nHost: x\r\n\r\n")
	res, err := http.ReadResponse(c.in, nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(got), "first rest")
}

// A client that takes nothing of an answer holds its handler for WriteWithin only, however
// long the handler has waited before.
func TestWriteWithin(t *testing.T) {
	failed := make(chan error, 1)
	_, addr := serving(t, Options{WriteTimeout: 50 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request, _ *Conn) {
		piece := make([]byte, 1<<20)
		for {
			if _, err := w.Write(piece); err != nil {
				failed <- err
				panic(http.ErrAbortHandler)
			}
		}
	})
	c := call(t, addr)
	c.send(plain)
	assert.ErrorIs(t, await(t, failed, "the write's end"), os.ErrDeadlineExceeded)
}

// What two readers may take to end at different bytes reaches no handler, nor does what stands
// behind it, even where the caller's own answer forgets to end the session.
func TestDoubtfulFraming(t *testing.T) {
	s, addr := serving(t, Options{}, func(http.ResponseWriter, *http.Request, *Conn) { t.Error("handed on") })
	c := call(t, addr)
	c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + plain)
	res, _ := c.answer()
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
	assert.Assert(t, res.Close)
	c.ended()
	assert.Equal(t, s.Phase(), lifecycle.Serving)
}

// Times that are set while the server serves hold for the next head and the next idle session.
func TestSetTimes(t *testing.T) {
	s, addr := serving(t, Options{HeaderTimeout: never, IdleTimeout: never}, hello)
	idle := call(t, addr)
	s.SetTimeouts(never, time.Millisecond)
	idle.send(plain)
	idle.answer()
	idle.ended()
	s.SetTimeouts(time.Millisecond, never)
	half := call(t, addr)
	half.send("GET / HTTP/1.1\r\n")
	half.ended()
}

func TestUnmark(t *testing.T) {
	s := &Server{}
	s.SetTimeouts(time.Second, time.Minute)
	near := func(got time.Time, want time.Duration) {
		t.Helper()
		off := time.Until(got) - want
		assert.Assert(t, off <= 0 && off > -patience, off)
	}
	now := time.Now()
	assert.Assert(t, s.unmark(time.Time{}).IsZero())
	assert.Assert(t, s.unmark(now.Add(never)).Equal(now.Add(never)), "a body's own deadline stays")
	assert.Assert(t, s.unmark(now.Add(-never)).Equal(now.Add(-never)))
	near(s.unmark(time.Now().Add(headMark)), time.Second)
	near(s.unmark(time.Now().Add(idleMark)), time.Minute)
	s.SetTimeouts(0, 0)
	assert.Assert(t, s.unmark(time.Now().Add(headMark)).IsZero(), "no bound")
	assert.Assert(t, s.unmark(time.Now().Add(idleMark)).IsZero(), "no bound")
}

func TestSetMaxHeaderBytes(t *testing.T) {
	s, addr := serving(t, Options{}, hello)
	long := plain[:len(plain)-2] + "Pad: " + strings.Repeat("p", 1000) + "\r\n\r\n"
	c := call(t, addr)
	c.send(long)
	res, body := c.answer()
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, body, "hello")
	s.SetMaxHeaderBytes(len(long))
	c.send(long)
	res, _ = c.answer()
	assert.Equal(t, res.StatusCode, http.StatusOK, "as long as allowed")
	s.SetMaxHeaderBytes(len(long) - 1)
	c.send(long)
	res, _ = c.answer()
	assert.Equal(t, res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Assert(t, res.Close)
	c.ended()
}
