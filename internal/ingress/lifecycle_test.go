package ingress

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/lifecycle"
)

// leaving is a timing whose answers end their sessions from so long after the call on, and
// whose idle sessions end at once or never.
func leaving(closes, from time.Duration) lifecycle.Timing {
	leave := lifecycle.Leave{From: from, Until: from + 1, Closes: closes}
	return lifecycle.Timing{Drain: leave, Stop: leave}
}

func stop(s *Server) error {
	return s.move(func(now time.Time) error { s.life.Stop(now); return nil })
}

// Where answers have no bound on their time, one ends its session by when it is given, though
// its request came before the stop. Before the time of that none does, and all is taken.
func TestAnswersEndTheirSessionByWhenTheyAreGiven(t *testing.T) {
	for name, tt := range map[string]struct {
		closes time.Duration
		ends   bool
	}{"from the stop on": {0, true}, "later": {never, false}} {
		t.Run(name, func(t *testing.T) {
			for _, write := range []handler{
				hello,
				func(http.ResponseWriter, *http.Request, *Conn) {},
				func(w http.ResponseWriter, _ *http.Request, _ *Conn) { http.NewResponseController(w).Flush() },
				func(w http.ResponseWriter, _ *http.Request, _ *Conn) { w.WriteHeader(http.StatusTeapot) },
			} {
				came, on := make(chan bool), make(chan bool)
				s, addr := serving(t, Options{Lifecycle: leaving(tt.closes, never)}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
					came <- true
					<-on
					write(w, r, c)
				})
				c := call(t, addr)
				c.send(plain)
				await(t, came, "the request")
				assert.NilError(t, stop(s))
				assert.Equal(t, s.Phase(), lifecycle.Stopping)
				assert.Assert(t, s.Leaving() && s.AcceptsRequests())
				on <- true
				res, _ := c.answer()
				assert.Equal(t, res.Close, tt.ends)
			}
		})
	}
}

// A bound on the time of answers keeps what was settled when the request came.
func TestAnswersInTimeKeepWhatWasSettled(t *testing.T) {
	came, on := make(chan bool), make(chan bool)
	s, addr := serving(t, Options{ResponseTimeout: patience, Lifecycle: leaving(0, never)}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
		came <- true
		<-on
		hello(w, r, c)
	})
	c := call(t, addr)
	c.send(plain)
	await(t, came, "the request")
	assert.NilError(t, s.Drain())
	on <- true
	res, _ := c.answer()
	assert.Assert(t, !res.Close)
	c.send(plain)
	await(t, came, "the request after the drain")
	on <- true
	res, _ = c.answer()
	assert.Assert(t, res.Close)
}

// A machine that is told to end still takes new connections, ends what rests, and is done when
// what is open has its answer, long before the time is over.
func TestEnd(t *testing.T) {
	timing := leaving(0, 0)
	timing.StayOpen = time.Second
	came, on := make(chan bool), make(chan bool)
	s, addr := serving(t, Options{Lifecycle: timing}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
		if r.URL.Path == "/open" {
			came <- true
			<-on
		}
		hello(w, r, c)
	})
	rests, open := call(t, addr), call(t, addr)
	rests.send(plain)
	rests.answer()
	open.send("GET /open HTTP/1.1\r\nHost: x\r\n\r\n")
	await(t, came, "the open request")
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(never) }()
	rests.ended()
	rests.Close()
	late := call(t, addr)
	late.send(plain)
	res, _ := late.answer()
	assert.Assert(t, res.Close)
	late.Close()
	await(t, s.closed, "the listener's end")
	select {
	case <-ended:
		t.Fatal("a request is open")
	default:
	}
	on <- true
	_, body := open.answer()
	assert.Equal(t, body, "hello")
	open.Close()
	assert.NilError(t, await(t, ended, "the end"))
}

// A request that stays open does not hold up the end beyond its time, and is told before.
func TestEndWithinItsTime(t *testing.T) {
	came, told := make(chan bool), make(chan bool, 1)
	var s *Server
	s, addr := serving(t, Options{RespondNowMargin: never, Lifecycle: leaving(0, 0)}, func(w http.ResponseWriter, r *http.Request, c *Conn) {
		came <- true
		<-s.RespondNow()
		told <- true
		<-r.Context().Done()
	})
	c := call(t, addr)
	c.send(plain)
	await(t, came, "the request")
	assert.ErrorContains(t, s.Shutdown(time.Second/10), "deadline")
	assert.Assert(t, await(t, told, "the word that it is over"))
}
