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

	"oakseam/internal/counters"
	"oakseam/internal/lifecycle"
)

// testTimeout limits every wait.
const testTimeout = 20 * time.Second

// never is a duration that no test reaches.
const never = time.Hour

// handler is an Options.Handler.
type handler = func(w http.ResponseWriter, r *http.Request, c *Conn)

// startServer serves h on loopback until the test ends.
func startServer(t *testing.T, opt Options, h handler) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opt.Handler = h
	opt.RejectAmbiguous = func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadRequest) }
	opt.MaxSessions = 100
	if opt.WriteTimeout == 0 {
		opt.WriteTimeout = testTimeout
	}
	if opt.BodyTimeout == 0 {
		opt.BodyTimeout = testTimeout
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

// client is the connection of a test client.
type client struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

// connect connects a client.
func connect(t *testing.T, addr string) client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	return client{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

// send writes text to the server.
func (c client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// readResponse reads one response and its body.
func (c client) readResponse() (*http.Response, string) {
	c.t.Helper()
	res, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(c.t, err)
	return res, string(body)
}

// readEnd checks that the server closes the session without sending more.
func (c client) readEnd() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	assert.NilError(c.t, err, "the session must end without a reset and before the test times out")
	assert.Equal(c.t, string(rest), "")
}

// await receives from a channel.
func await[T any](t *testing.T, from <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + what)
	}
	return v
}

// plainRequest is a request without a body.
const plainRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// hello is a handler that responds with "hello".
func hello(w http.ResponseWriter, _ *http.Request, _ *Conn) { io.WriteString(w, "hello") }

// The context of a request with a complete body must end when the client closes, even if the bytes of
// another request precede the close.
func TestContextEndsWhenClientCloses(t *testing.T) {
	for _, extra := range []string{"", plainRequest} {
		began, ended := make(chan bool, 1), make(chan bool, 1)
		_, addr := startServer(t, Options{}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
			body := NewBody(w, r, limits(1<<20))
			defer body.Close()
			read, _, err := body.ReadPrefix(r.ContentLength)
			began <- err == nil && string(read) == "abc" && !c.ClientClosed() && r.Context().Err() == nil
			<-r.Context().Done()
			ended <- c.ClientClosed()
			panic(http.ErrAbortHandler)
		})
		c := connect(t, addr)
		c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc" + extra)
		assert.Assert(t, await(t, began, "the request"))
		c.Close()
		assert.Assert(t, await(t, ended, "the end of the context"))
	}
}

// The body timeout must not end a request without a body, however long its response takes.
func TestBodyTimeoutDoesNotApplyWithoutBody(t *testing.T) {
	arrived := make(chan bool)
	proceed := make(chan bool)
	_, addr := startServer(t, Options{BodyTimeout: 1}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
		if r.URL.Path == "/long" {
			arrived <- true
			<-proceed
			assert.Check(t, r.Context().Err())
		}
		hello(w, r, c)
	})
	long, others := connect(t, addr), connect(t, addr)
	long.send("GET /long HTTP/1.1\r\nHost: x\r\n\r\n")
	await(t, arrived, "the request")
	for range 100 { // give a wrong timeout the time to take effect
		others.send(plainRequest)
		others.readResponse()
	}
	proceed <- true
	_, body := long.readResponse()
	assert.Equal(t, body, "hello")
}

// failingReader is the rest of a response whose source fails.
type failingReader struct{ err error }

func (b failingReader) Read([]byte) (int, error) { return 0, b.err }

// A relayed response that breaks off must not look complete to the client, and a complete one must.
func TestRelay(t *testing.T) {
	failure := errors.New("the source failed")
	var s *Server
	s, addr := startServer(t, Options{}, func(w http.ResponseWriter, r *http.Request, _ *Conn) {
		rest := io.Reader(strings.NewReader("rest"))
		if r.URL.Path == "/broken" {
			rest = io.MultiReader(rest, failingReader{failure})
		}
		clientErr, sourceErr := s.Relay(w, []byte("first "), rest)
		if clientErr != nil || sourceErr != nil {
			assert.Check(t, errors.Is(sourceErr, failure))
			panic(http.ErrAbortHandler)
		}
	})
	c := connect(t, addr)
	c.send(plainRequest)
	_, body := c.readResponse()
	assert.Equal(t, body, "first rest")
	c.send("GET /broken HTTP/1.1\r\nHost: x\r\n\r\n")
	res, err := http.ReadResponse(c.reader, nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(res.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(got), "first rest")
}

// A client that accepts nothing of a response must block its handler for no longer than WriteTimeout,
// however long the handler has waited before.
func TestWriteTimeout(t *testing.T) {
	failed := make(chan error, 1)
	_, addr := startServer(t, Options{WriteTimeout: 50 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request, _ *Conn) {
		piece := make([]byte, 1<<20)
		for {
			if _, err := w.Write(piece); err != nil {
				failed <- err
				panic(http.ErrAbortHandler)
			}
		}
	})
	c := connect(t, addr)
	c.send(plainRequest)
	assert.ErrorIs(t, await(t, failed, "the write to fail"), os.ErrDeadlineExceeded)
}

// A request that two parsers may end at different bytes must not reach the handler, and neither may
// what follows it, even if RejectAmbiguous does not close the session.
func TestAmbiguousFraming(t *testing.T) {
	s, addr := startServer(t, Options{}, func(http.ResponseWriter, *http.Request, *Conn) { t.Error("the request reached the handler") })
	c := connect(t, addr)
	c.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + plainRequest)
	res, _ := c.readResponse()
	assert.Equal(t, res.StatusCode, http.StatusBadRequest)
	assert.Assert(t, res.Close)
	c.readEnd()
	assert.Equal(t, s.Phase(), lifecycle.Serving)
}

// Timeouts that are changed while the server serves apply to the next head and the next idle session.
func TestSetTimeouts(t *testing.T) {
	s, addr := startServer(t, Options{HeaderTimeout: never, IdleTimeout: never}, hello)
	idle := connect(t, addr)
	s.SetTimeouts(never, time.Millisecond)
	idle.send(plainRequest)
	idle.readResponse()
	idle.readEnd()
	s.SetTimeouts(time.Millisecond, never)
	half := connect(t, addr)
	half.send("GET / HTTP/1.1\r\n")
	half.readEnd()
}

// Only deadlines set from a marker are replaced by the present timeouts.
func TestResolveDeadline(t *testing.T) {
	s := &Server{}
	s.SetTimeouts(time.Second, time.Minute)
	checkNear := func(got time.Time, want time.Duration) {
		t.Helper()
		off := time.Until(got) - want
		assert.Assert(t, off <= 0 && off > -testTimeout, off)
	}
	now := time.Now()
	assert.Assert(t, s.resolveDeadline(time.Time{}).IsZero())
	assert.Assert(t, s.resolveDeadline(now.Add(never)).Equal(now.Add(never)), "the deadline of a body stays")
	assert.Assert(t, s.resolveDeadline(now.Add(-never)).Equal(now.Add(-never)))
	checkNear(s.resolveDeadline(time.Now().Add(headerTimeoutMarker)), time.Second)
	checkNear(s.resolveDeadline(time.Now().Add(idleTimeoutMarker)), time.Minute)
	s.SetTimeouts(0, 0)
	assert.Assert(t, s.resolveDeadline(time.Now().Add(headerTimeoutMarker)).IsZero(), "no limit")
	assert.Assert(t, s.resolveDeadline(time.Now().Add(idleTimeoutMarker)).IsZero(), "no limit")
}

// A changed head limit applies to the next request.
func TestSetMaxHeaderBytes(t *testing.T) {
	s, addr := startServer(t, Options{}, hello)
	long := plainRequest[:len(plainRequest)-2] + "Pad: " + strings.Repeat("p", 1000) + "\r\n\r\n"
	c := connect(t, addr)
	c.send(long)
	res, body := c.readResponse()
	assert.Equal(t, res.StatusCode, http.StatusOK)
	assert.Equal(t, body, "hello")
	s.SetMaxHeaderBytes(len(long))
	c.send(long)
	res, _ = c.readResponse()
	assert.Equal(t, res.StatusCode, http.StatusOK, "the head is exactly as long as allowed")
	s.SetMaxHeaderBytes(len(long) - 1)
	c.send(long)
	res, _ = c.readResponse()
	assert.Equal(t, res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Assert(t, res.Close)
	c.readEnd()
}
