package ingress

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/lifecycle"
)

// leaving returns a timing in which responses close their sessions once the time closes has passed
// since the call, and idle sessions are closed once the time from has passed.
func leaving(closes, from time.Duration) lifecycle.Timing {
	leave := lifecycle.DrainSchedule{CloseIdleFrom: from, CloseIdleUntil: from + 1, CloseSessionsFrom: closes}
	return lifecycle.Timing{Drain: leave, Stop: leave}
}

// stop begins the stop phase of the lifecycle.
func stop(s *Server) error {
	return s.changeLifecycle(func(now time.Time) error { s.lifecycle.Stop(now); return nil })
}

// Without a ResponseTimeout the time of a response decides whether it closes its session, even if its
// request arrived before the stop. Before the time that the lifecycle sets none does, and all
// requests are accepted.
func TestTimeOfResponseDecidesWhetherSessionCloses(t *testing.T) {
	for name, tt := range map[string]struct {
		closes time.Duration
		closed bool
	}{"immediately": {0, true}, "later": {never, false}} {
		t.Run(name, func(t *testing.T) {
			for _, write := range []handler{
				hello,
				func(http.ResponseWriter, *http.Request, *Conn) {},
				func(w http.ResponseWriter, _ *http.Request, _ *Conn) { http.NewResponseController(w).Flush() },
				func(w http.ResponseWriter, _ *http.Request, _ *Conn) { w.WriteHeader(http.StatusTeapot) },
			} {
				arrived := make(chan bool)
				proceed := make(chan bool)
				s, addr := startServer(t, Options{Lifecycle: leaving(tt.closes, never)}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
					arrived <- true
					<-proceed
					write(w, r, c)
				})
				c := connect(t, addr)
				c.send(plainRequest)
				await(t, arrived, "the request")
				assert.NilError(t, stop(s))
				assert.Equal(t, s.Phase(), lifecycle.Stopping)
				assert.Assert(t, s.Leaving() && s.AcceptsRequests())
				proceed <- true
				res, _ := c.readResponse()
				assert.Equal(t, res.Close, tt.closed)
			}
		})
	}
}

// With a ResponseTimeout the time of the request decides whether its response closes the session.
func TestTimeOfRequestDecidesWithResponseTimeout(t *testing.T) {
	arrived := make(chan bool)
	proceed := make(chan bool)
	s, addr := startServer(t, Options{ResponseTimeout: testTimeout, Lifecycle: leaving(0, never)}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
		arrived <- true
		<-proceed
		hello(w, r, c)
	})
	c := connect(t, addr)
	c.send(plainRequest)
	await(t, arrived, "the request")
	assert.NilError(t, s.Drain())
	proceed <- true
	res, _ := c.readResponse()
	assert.Assert(t, !res.Close)
	c.send(plainRequest)
	await(t, arrived, "the request after the drain")
	proceed <- true
	res, _ = c.readResponse()
	assert.Assert(t, res.Close)
}

// During a shutdown the server still accepts new connections for a while and closes idle sessions. It
// completes when open requests are answered, long before its timeout.
func TestShutdown(t *testing.T) {
	timing := leaving(0, 0)
	timing.ListenFor = time.Second
	arrived := make(chan bool)
	proceed := make(chan bool)
	s, addr := startServer(t, Options{Lifecycle: timing}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
		if r.URL.Path == "/open" {
			arrived <- true
			<-proceed
		}
		hello(w, r, c)
	})
	idle, open := connect(t, addr), connect(t, addr)
	idle.send(plainRequest)
	idle.readResponse()
	open.send("GET /open HTTP/1.1\r\nHost: x\r\n\r\n")
	await(t, arrived, "the open request")
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(never) }()
	idle.readEnd()
	idle.Close()
	late := connect(t, addr)
	late.send(plainRequest)
	res, _ := late.readResponse()
	assert.Assert(t, res.Close)
	late.Close()
	await(t, s.closed, "the listener to close")
	select {
	case <-ended:
		t.Fatal("the shutdown completed while a request was open")
	default:
	}
	proceed <- true
	_, body := open.readResponse()
	assert.Equal(t, body, "hello")
	open.Close()
	assert.NilError(t, await(t, ended, "the shutdown to complete"))
}

// A request that stays open must not delay the shutdown beyond its timeout, and its handler must be
// notified before.
func TestShutdownTimeout(t *testing.T) {
	arrived := make(chan bool)
	notified := make(chan bool, 1)
	var s *Server
	s, addr := startServer(t, Options{RespondNowMargin: never, Lifecycle: leaving(0, 0)}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
		arrived <- true
		<-s.RespondNow()
		notified <- true
		<-r.Context().Done()
	})
	c := connect(t, addr)
	c.send(plainRequest)
	await(t, arrived, "the request")
	assert.ErrorContains(t, s.Shutdown(time.Second/10), "deadline")
	assert.Assert(t, await(t, notified, "the notification of the handler"))
}
