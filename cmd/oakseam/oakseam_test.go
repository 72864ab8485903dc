package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/cli"
	"oakseam/internal/fakes"
)

// Bodies, targets and the headers of the protocol must be passed on byte for byte.
func TestBytesArriveUnchanged(t *testing.T) {
	b := newBackend(t, func(c *net.TCPConn, _ request) bool { return say(c, 200, "Content-Type: a/b\r\n", "\x00an swer\r\n") })
	n, _ := serve(t, b.Addr)
	h := headers("reading")
	a := n.send("POST", "/api/x%2Fy?key=4%20&z=%c3", "bo\x00dy\r\n", h)
	require.NotNil(t, a)
	assert.Equal(t, 200, a.status)
	assert.Equal(t, "\x00an swer\r\n", a.body)
	assert.Equal(t, "a/b", a.header.Get("Content-Type"))
	r := receive(t, b.Requests, "the request")
	assert.Equal(t, "POST /api/x%2Fy?key=4%20&z=%c3", r.Method+" "+r.RequestURI)
	assert.Equal(t, "bo\x00dy\r\n", r.Body)
	assert.Equal(t, h["X-Correlation-Id"], r.Header.Get("X-Correlation-Id"))
	assert.Equal(t, "k1", r.Header.Get("Idempotency-Key"))
	assert.Regexp(t, `^\d+[mu]$`, r.Header.Get("X-Time-Left"))
	assert.Equal(t, 200, n.ask("lookup").status)
	assert.Equal(t, "GET", receive(t, b.Requests, "the safe request").Method)
}

// A malformed request must get its 4xx status and reach no backend.
func TestMalformedRequestsGet4xx(t *testing.T) {
	b := newBackend(t, ok)
	n, _ := serve(t, b.Addr)
	for _, tt := range []struct {
		name   string
		method string
		path   string
		key    string
		value  string
		body   int
		want   int
	}{
		{"no id", "POST", "/api", "X-Correlation-Id", "", 0, 400},
		{"long id", "POST", "/api", "X-Correlation-Id", strings.Repeat("i", 300), 0, 400},
		{"unknown class", "POST", "/api", "X-Service-Class", "nonesuch", 0, 400},
		{"no unit", "POST", "/api", "X-Time-Left", "480", 0, 400},
		{"no number", "POST", "/api", "X-Time-Left", "m", 0, 400},
		{"keyed without key", "POST", "/api", "X-Service-Class", "reading", 0, 400},
		{"method of another class", "GET", "/api", "X-Repeat", "0", 0, 405},
		{"other path", "POST", "/apix", "X-Repeat", "0", 0, 404},
		{"largest body", "POST", "/api", "X-Repeat", "0", 64 << 10, 200},
	} {
		h := headers("topup")
		h[tt.key] = tt.value
		a := n.send(tt.method, tt.path, strings.Repeat("b", tt.body), h)
		if assert.NotNil(t, a, tt.name) {
			assert.Equal(t, tt.want, a.status, tt.name)
		}
	}
	assert.Len(t, b.Requests, 1, "only the last one may reach a backend")
	assert.Regexp(t, "^HTTP/1.1 413 ", n.raw(strings.Replace(postRequest, ": 0", ": 33554433", 1)), "a body over 32 MiB")
}

// The way the first attempt ends must decide, together with the class, whether there is a second
// attempt: a request that may have run must be repeated only where that is harmless.
func TestAttemptOutcomeDecidesRetry(t *testing.T) {
	status := func(code int, header string) func(*net.TCPConn, request) bool {
		return func(c *net.TCPConn, _ request) bool { return say(c, code, header, "no") }
	}
	partial := func(text string) func(*net.TCPConn, request) bool {
		return func(c *net.TCPConn, _ request) bool { io.WriteString(c, text); return false }
	}
	const unprocessed = "X-Unprocessed: 1\r\n"
	for _, tt := range []struct {
		name    string
		class   string
		first   func(*net.TCPConn, request) bool
		want    int
		sends   int
		outcome string
	}{
		{"rejected", "topup", status(503, unprocessed), 200, 2, "queue-full"},
		{"rejected late", "topup", status(504, unprocessed), 200, 2, "queue-full"},
		{"upstream 503 is not passed on", "topup", status(503, ""), 502, 1, "error"},
		{"500 marked unprocessed may have run", "topup", status(500, unprocessed), 502, 1, "error"},
		{"429 is not passed on", "topup", status(429, ""), 502, 1, "error"},
		{"redirect counts as an error", "topup", status(302, "Location: /\r\n"), 502, 1, "error"},
		{"error of a keyed request", "reading", status(500, ""), 200, 2, "error"},
		{"reset after the request", "topup", broken, 502, 1, "reset"},
		{"reset of a keyed request", "reading", broken, 200, 2, "reset"},
		{"closed without a response", "topup", partial(""), 502, 1, "reset"},
		{"response cut in its head", "topup", partial("HTTP/1.1 200 OK\r\nContent-"), 502, 1, "reset"},
		{"response cut in its body", "topup", partial("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), 502, 1, "reset"},
		{"not HTTP", "topup", partial("what?\r\n\r\n"), 502, 1, "reset"},
		{"response over 32 MiB", "topup", partial("HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nhalf"), 502, 1, "reset"},
		{"endless head", "topup", fakes.EndlessResponse("HTTP/1.1 200 OK\r\n", "X-Pad: more\r\n"), 502, 1, "reset"},
		{"endless line", "topup", fakes.EndlessResponse("HTTP/1.1 200 OK\r\nX-Pad: ", "more"), 502, 1, "reset"},
		{"endless interim responses", "topup", fakes.EndlessResponse("", "HTTP/1.1 103 x\r\n\r\n"), 502, 1, "reset"},
		{"endless trailer", "topup", fakes.EndlessResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Pad: more\r\n"), 502, 1, "reset"},
		{"3 GB body", "topup", fakes.EndlessResponse("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", "more"), 502, 1, "reset"},
		{"body without a length, reset", "topup", func(c *net.TCPConn, _ request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nhalf of it")
			c.SetLinger(0)
			return false
		}, 502, 1, "reset"},
		{"negative length", "topup", partial("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhalf"), 502, 1, "reset"},
		{"two lengths", "topup", partial("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nhalf"), 502, 1, "reset"},
		{"broken response to a keyed request", "reading", fakes.EndlessResponse("HTTP/1.1 200 OK\r\n", "X-Pad: more\r\n"), 200, 2, "reset"},
		{"interim response first", "topup", func(c *net.TCPConn, r request) bool { io.WriteString(c, "HTTP/1.1 103 x\r\n\r\n"); return ok(c, r) }, 200, 1, "ok"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sends := make(chan struct{}, 10)
			script := func(c *net.TCPConn, r request) bool {
				sends <- struct{}{}
				if len(sends) == 1 {
					return tt.first(c, r)
				}
				return ok(c, r)
			}
			n, _ := serve(t, newBackend(t, script).Addr, newBackend(t, script).Addr)
			assert.Equal(t, tt.want, n.ask(tt.class).status)
			assert.Len(t, sends, tt.sends)
			n.waitCounter("outcome."+tt.outcome, "1")
		})
	}
}

// A request must be served by another backend if the first one refuses the connection.
func TestRefusedConnectionIsRetried(t *testing.T) {
	b := newBackend(t, ok)
	s := settings()
	s["charges"].(object)["handshake"] = 0.0 // else the module prefers the backend that it has a connection to
	n := start(t, configure(t, freeAddr(t), newRegistry(t).Addr, list(7, true, target("s-0", freeAddr(t), "in_service", 0),
		target("s-1", b.Addr, "in_service", 0)), s))
	n.waitUntil("the closed address was tried", func() bool {
		assert.Equal(t, 200, n.ask("topup").status)
		return n.counter("outcome.connect-failed") != "0"
	})
}

// After a timeout the attempt's connection must be closed, the request must fail in time, and
// nobody may get the late response.
func TestTimeoutClosesConnection(t *testing.T) {
	late := make(chan struct{})
	b := newBackend(t, func(c *net.TCPConn, r request) bool {
		if r.URL.RawQuery == "late" {
			<-late
		}
		return ok(c, r)
	})
	n, _ := serve(t, b.Addr)
	began := time.Now()
	a := n.send("POST", "/api?late", "", headers("brief"))
	require.NotNil(t, a)
	assert.Equal(t, 502, a.status)
	assert.GreaterOrEqual(t, time.Since(began), 250*time.Millisecond, "must be the module's timeout, not an earlier one")
	n.waitCounter("outcome.timed-out", "1")
	close(late)
	n.waitUntil("the node has ended the connection", func() bool { return b.Closed.Load() == 1 })
	// The module may avoid its only backend for a while.
	n.waitUntil("another request is served", func() bool { return n.ask("topup").status == 200 })
	assert.EqualValues(t, 2, b.Opened.Load(), "a connection with an outstanding response must not be reused")
	n.waitCounter("answer.failed", "1")
	n.waitCounter("answer.served", "1")
}

// When its client leaves, a request's attempt must be canceled.
func TestClientGoneCancelsAttempt(t *testing.T) {
	b := newBackend(t, silent)
	n, _ := serve(t, b.Addr)
	c, err := net.Dial("tcp", n.addr)
	require.NoError(t, err)
	fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: g\r\nX-Service-Class: topup\r\nX-Time-Left: 9000m\r\nContent-Length: 2\r\n\r\nab")
	receive(t, b.Requests, "the request")
	c.Close()
	n.waitCounter("client.gone", "1")
	n.waitCounter("outcome.canceled", "1")
	n.waitUntil("the attempt was canceled", func() bool { return b.Closed.Load() == 1 })
}

// A second request with the same ID must be rejected without any effect on the first.
func TestDuplicateIDIsRejected(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c *net.TCPConn, r request) bool { <-release; return ok(c, r) })
	n, _ := serve(t, b.Addr)
	h := headers("topup")
	first := make(chan *answer, 1)
	go func() { first <- n.send("POST", "/api", "", h) }()
	receive(t, b.Requests, "the first request")
	second := n.send("POST", "/api", "", h)
	require.NotNil(t, second)
	assert.Equal(t, 409, second.status)
	close(release)
	a := receive(t, first, "the first answer")
	require.NotNil(t, a)
	assert.Equal(t, 200, a.status)
}

// Consecutive requests must use one connection to a backend.
func TestConnectionsAreReused(t *testing.T) {
	b := newBackend(t, ok)
	n, _ := serve(t, b.Addr)
	for range 5 {
		require.Equal(t, 200, n.ask("topup").status)
		answered := time.Now() // a backend that responds twice would do so within some milliseconds
		n.waitUntil("the connection was idle for 20 ms", func() bool { return time.Since(answered) > 20*time.Millisecond })
	}
	assert.EqualValues(t, 1, b.Opened.Load())
}

// An unsafe request must never be written to a stale connection, on which it would end as a
// reset.
func TestStaleConnectionsAreNotUsed(t *testing.T) {
	for name, script := range map[string]func(*net.TCPConn, request) bool{
		"closed after the answer":          func(c *net.TCPConn, r request) bool { ok(c, r); return false },
		"announced with Connection: close": func(c *net.TCPConn, _ request) bool { return say(c, 200, "Connection: close\r\n", "done") },
		"stray bytes after the answer":     func(c *net.TCPConn, _ request) bool { return say(c, 200, "", "done") && say(c, 200, "", "stray") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, script)
			n, _ := serve(t, b.Addr)
			for i := range 3 {
				a := n.ask("topup")
				assert.Equal(t, 200, a.status)
				assert.Equal(t, "done", a.body)
				n.waitUntil("its connection ended", func() bool { return name == "closed after the answer" || b.Closed.Load() >= int64(i) })
			}
			assert.EqualValues(t, 3, b.Opened.Load())
			n.waitCounter("outcome.reset", "0")
		})
	}
}

// The node must close idle connections itself, before backends do after conn-idle-us.
func TestIdleConnectionsAreClosedEarly(t *testing.T) {
	b := newBackend(t, ok)
	s := settings()
	s["limits"].(object)["conn-idle-us"] = 400000
	d := newRegistry(t)
	n := start(t, configure(t, freeAddr(t), d.Addr, list(7, true, target("s-0", b.Addr, "in_service", 0)), s))
	require.Equal(t, 200, n.ask("topup").status)
	n.waitUntil("the idle connection ended", func() bool { return b.Closed.Load() == 1 })
	require.Equal(t, 200, n.ask("topup").status)
	assert.EqualValues(t, 2, b.Opened.Load())
}

// Restarts, moves, drains and full lists of the registry must take effect.
func TestRegistryChangesTakeEffect(t *testing.T) {
	one, two := newBackend(t, ok), newBackend(t, ok)
	n, d := serve(t, one.Addr)
	assert.Equal(t, "stream=1&index=7", receive(t, d.Queries, "the first watch"))
	lines := receive(t, d.Watches, "the first watch")
	require.Equal(t, 200, n.ask("topup").status)

	now := time.Now().UnixMilli() - 60000
	lines <- line(t, list(8, false, target("s-0", one.Addr, "in_service", now)))
	n.waitUntil("a restart closes the old connections", func() bool { return one.Closed.Load() == 1 })
	require.Equal(t, 200, n.ask("topup").status)
	lines <- line(t, list(9, false, target("s-0", two.Addr, "in_service", now)))
	n.waitUntil("a new endpoint closes the old connections", func() bool { return one.Closed.Load() == 2 })
	require.Equal(t, 200, n.ask("topup").status)
	assert.Len(t, two.Requests, 1)

	lines <- line(t, list(10, false, target("s-0", two.Addr, "terminating", now)))
	n.waitCounter("list.changes", "4") // with the empty first reply
	a := n.ask("topup")
	assert.Equal(t, 503, a.status, "a draining backend must get no new request")
	assert.Equal(t, "2.5", a.header.Get("Retry-After"))
	assert.Equal(t, 503, n.send("GET", "/ready", "", nil).status)
	assert.Len(t, two.Requests, 1)

	lines <- indented(t, list(11, true, target("s-1", one.Addr, "in_service", 0)))
	n.waitCounter("list.full", "1")
	assert.Equal(t, 200, n.send("GET", "/ready", "", nil).status)
	assert.Equal(t, 200, n.ask("topup").status)
	close(lines)
	assert.Equal(t, "stream=1&index=11", receive(t, d.Queries, "a watch after the broken one"))
	n.waitCounter("list.failed", "1")
}

// A silent or faulty watch must be replaced, since it would hide every further drain.
func TestFaultyWatchIsReplaced(t *testing.T) {
	for name, text := range map[string]string{
		"silent": fakes.FallSilent, "endless list": fakes.Trickle, "not JSON": "no list\n", "unknown state": `{"rev":8,"targets":[{"uid":"s-0","endpoint":"a:1","state":"odd"}]}` + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBackend(t, ok)
			n, d := serve(t, b.Addr)
			receive(t, d.Queries, "the first watch")
			receive(t, d.Watches, "the first watch") <- text
			assert.Equal(t, "stream=1&index=7", receive(t, d.Queries, "another watch"))
			if name == "silent" || name == "endless list" { // nothing counts as failed while a call is in flight
				n.waitCounter("list.changes", "2")
				n.waitUntil("the silent watch ended", func() bool { return d.WatchesEnded.Load() == 1 })
				n.waitCounter("list.failed", "0")
			} else {
				n.waitCounter("list.failed", "1")
			}
			assert.Equal(t, 200, n.ask("topup").status, "the last list must stay in use")
		})
	}
}

// Without a reachable registry the node must serve from its known list.
func TestUnreachableRegistry(t *testing.T) {
	b := newBackend(t, ok)
	n := start(t, configure(t, freeAddr(t), freeAddr(t), list(7, true, target("s-0", b.Addr, "in_service", 0)), settings()))
	n.waitUntil("calls fail repeatedly", func() bool { return n.counter("list.failed") > "1" })
	assert.Equal(t, 200, n.ask("topup").status)
}

// If the module does not subscribe, the node must watch the registry on its own, and report
// no failure to the module.
func TestAutomaticRegistryWatch(t *testing.T) {
	b, d, s := newBackend(t, ok), newRegistry(t), settings()
	s["registry-mode"] = "automatic"
	n := start(t, configure(t, freeAddr(t), d.Addr, list(7, true), s))
	receive(t, d.Queries, "the first watch")
	close(receive(t, d.Watches, "the first watch"))
	receive(t, d.Queries, "a watch after the broken one")
	receive(t, d.Watches, "the second watch") <- line(t, list(8, true, target("s-0", b.Addr, "in_service", 0)))
	n.waitUntil("ready", func() bool { return n.send("GET", "/ready", "", nil).status == 200 })
	assert.Equal(t, 200, n.ask("topup").status)

	d.Close()
	n.waitUntil("the outage is logged", func() bool { return strings.Count(n.log.String(), "watch failed") >= 3 })
	back, err := fakes.NewScriptedRegistryAt(d.Addr)
	require.NoError(t, err)
	t.Cleanup(back.Close)
	assert.Equal(t, "stream=1&index=8", receive(t, back.Queries, "a watch after the outage"))
	receive(t, back.Watches, "the watch after the outage") <- indented(t, list(9, true, target("s-0", b.Addr, "terminating", 0)))
	n.waitUntil("the drain takes effect", func() bool { return n.ask("topup").status == 503 })
	n.waitCounter("list.failed", "0")
}

// Without backends the node must not be ready, and must reject requests.
func TestNoBackends(t *testing.T) {
	n, _ := serve(t)
	assert.Equal(t, 503, n.send("GET", "/ready", "", nil).status)
	assert.Equal(t, 503, n.ask("topup").status)
}

// After SIGTERM the node must answer open and late requests, end idle sessions cleanly and exit
// with code 0.
func TestTerminationAnswersOpenRequests(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c *net.TCPConn, r request) bool { <-release; return ok(c, r) })
	n, _ := serve(t, b.Addr)
	idle, err := net.Dial("tcp", n.addr)
	require.NoError(t, err)
	defer idle.Close()
	fmt.Fprintf(idle, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err = idle.Read(make([]byte, 1000))
	require.NoError(t, err)

	unused, err := net.Dial("tcp", n.addr)
	require.NoError(t, err)
	defer unused.Close()
	first := make(chan *answer, 1)
	go func() { first <- n.send("POST", "/api", "", headers("topup")) }()
	receive(t, b.Requests, "the request before the signal")
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	n.waitUntil("the node is ending", func() bool {
		a := n.send("GET", "/ready", "", nil)
		return a != nil && a.status == 503
	})
	late, err := net.Dial("tcp", n.addr) // the load balancer in front still assigns new connections
	require.NoError(t, err)
	defer late.Close()
	io.WriteString(late, "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: l\r\nX-Service-Class: topup\r\nContent-Length: 0\r\n\r\n")
	receive(t, b.Requests, "the request after the signal")
	_, err = idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "an idle client session must end cleanly")
	unused.SetReadDeadline(time.Now().Add(patience))
	_, err = unused.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "so must one that was never used")
	close(release)
	a := receive(t, first, "the first answer")
	require.NotNil(t, a)
	assert.Equal(t, 200, a.status)
	res, err := http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.True(t, res.Close, "the answer must end its client session")
	assert.NoError(t, receive(t, n.exit, "the exit"), "exit code 0")
	assert.Contains(t, n.log.String(), "counter answer.served 2\n")
}

// A faulty configuration must be rejected with one line that names the key.
func TestFaultyConfiguration(t *testing.T) {
	for key, change := range map[string]func(c, s object){
		"listen":                             func(c, _ object) { c["listen"] = "nowhere" },
		"discovery":                          func(c, _ object) { c["discovery"] = "" },
		"seed":                               func(c, _ object) { c["seed"] = "xyz" },
		"limits.sockets":                     func(c, _ object) { c["limits"].(object)["sockets"] = 12 },
		"limits.memory_mb":                   func(c, _ object) { c["limits"].(object)["memory_mb"] = "much" },
		"known.targets.0.state":              func(c, _ object) { c["known"] = list(1, true, target("s", "a:1", "odd", 0)) },
		"settings":                           func(c, _ object) { delete(c, "settings") },
		"classes.1.effect":                   func(_, s object) { s["classes"].([]any)[1].(object)["effect"] = "odd" },
		"settings.limits.connect-timeout-us": func(_, s object) { s["limits"].(object)["connect-timeout-us"] = "x" },
	} {
		s := settings()
		c := configure(t, "127.0.0.1:0", "127.0.0.1:1", list(7, true), s)
		c["settings"] = s
		change(c, s)
		out, err := command(t, c).CombinedOutput()
		var exit *exec.ExitError
		if assert.ErrorAs(t, err, &exit, key) {
			assert.Equal(t, cli.ExitUsage, exit.ExitCode(), key)
		}
		assert.Contains(t, string(out), key+":", key)
		assert.Equal(t, 1, strings.Count(string(out), "\n"), "one line: %s", out)
	}
}

func TestUnsetConfiguration(t *testing.T) {
	cmd := exec.Command(program)
	cmd.Env = []string{}
	out, err := cmd.CombinedOutput()
	assert.Error(t, err)
	assert.Equal(t, "oakseam: config: PROXY_CONFIG: not set\n", string(out))
}

// A kept client session must serve several requests.
func TestSessionServesSeveralRequests(t *testing.T) {
	b := newBackend(t, ok)
	n, _ := serve(t, b.Addr)
	kept := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: patience}
	before := n.counter("session.opened")
	require.NotEqual(t, "", before)
	for range 3 {
		r, err := http.NewRequest("POST", "http://"+n.addr+"/api", strings.NewReader("b"))
		require.NoError(t, err)
		for k, v := range headers("topup") {
			r.Header.Set(k, v)
		}
		res, err := kept.Do(r)
		require.NoError(t, err)
		io.Copy(io.Discard, res.Body)
		res.Body.Close()
		assert.Equal(t, 200, res.StatusCode)
	}
	n.waitCounter("req.taken", "3")
	n.waitCounter("session.opened", "2") // one of the wait for the start, and this one
}

// postRequest is a complete request, which some tests smuggle in another.
const postRequest = "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: hidden\r\nX-Service-Class: topup\r\nContent-Length: 0\r\n\r\n"

// Request smuggling: a request with ambiguous framing must get an error and a close, and neither
// it nor the bytes after it may reach a backend.
func TestNoRequestSmuggling(t *testing.T) {
	b := newBackend(t, ok)
	n, _ := serve(t, b.Addr)
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(postRequest), postRequest)
	for name, framing := range map[string]string{
		"length first":     "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"encoding first":   "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
		"length 0":         "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
		"bare newlines":    "Content-Length: 4\nTransfer-Encoding: chunked\n",
		"unknown encoding": "Content-Length: 4\r\nTransfer-Encoding: xchunked\r\n",
		"two lengths":      "Content-Length: 4\r\nContent-Length: 5\r\n",
		"negative":         "Content-Length: -4\r\n",
		"no number":        "Content-Length: 0x4\r\n",
		"huge":             "Content-Length: 99999999999999999999\r\n",
		"folded":           "Content-Length:\r\n 4\r\n",
		"two ids":          "X-Correlation-Id: other\r\nContent-Length: 4\r\n",
		"id with a tab":    "X-Correlation-Id: a\tb\r\nContent-Length: 4\r\n",
		"NUL in the key":   "Idempotency-Key: a\x00b\r\nContent-Length: 4\r\n",
	} {
		for _, version := range []string{"1.1", "1.0\r\nConnection: keep-alive"} {
			got := n.raw("POST /api HTTP/" + version + "\r\nHost: x\r\nX-Correlation-Id: outer\r\nX-Service-Class: topup\r\n" + framing + "\r\n" + chunk)
			assert.Regexp(t, `^HTTP/1\.[01] (400|501) `, got, name)
			assert.Equal(t, 1, strings.Count(got, "HTTP/1."), "%s: one error, then a close: %s", name, got)
		}
	}
	chunked := strings.Replace(postRequest, "Content-Length: 0", "Transfer-Encoding: chunked", 1)
	last := strings.Replace(strings.Replace(postRequest, ": hidden", ": p0", 1), ": 0", ": 0\r\nConnection: close", 1)
	got := n.raw(chunked + "5;ext=\"\r\nhello\r\n0\r\nTrailer-Field: x\r\n\r\n" + last)
	assert.Equal(t, 2, strings.Count(got, "HTTP/1.1 200 "), "a chunked request and its successor are valid: %s", got)
	for _, chunks := range []string{"5\r\nhello!\r\n0\r\n\r\n", "x\r\n\r\n", "-1\r\n", "ffffffffffffffffff\r\n"} {
		got = n.raw(chunked + chunks + last)
		assert.Regexp(t, `^HTTP/1\.1 400 `, got, chunks)
		assert.Equal(t, 1, strings.Count(got, "HTTP/1."), "one error, then a close: %s", got)
	}
	got = n.raw(strings.Replace(postRequest, ": hidden", ": p1", 1) + strings.Replace(postRequest, ": 0", ": 0\r\nConnection: close", 1))
	assert.Equal(t, 2, strings.Count(got, "HTTP/1.1 200 "), "pipelined requests are served")
	assert.Len(t, b.Requests, 4)
}

// A client that sends an incomplete or far too large request must get an error or a close within
// 3 s.
func TestIncompleteRequestsEndSoon(t *testing.T) {
	b := newBackend(t, ok)
	n, _ := serve(t, b.Addr)
	const head = "POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: c\r\nX-Service-Class: topup\r\n"
	for name, text := range map[string]string{
		"silent":                  "",
		"half a head":             head,
		"half a body":             head + "Content-Length: 9\r\n\r\nhalf",
		"half a body, no class":   "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
		"half a body, other path": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
		"endless head":            head + strings.Repeat("X-More: and more\r\n", 10000),
		"large body":              head + "Content-Length: 60000000\r\n\r\n" + strings.Repeat("x", 8<<20),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before := time.Now()
			assert.NotContains(t, n.raw(text), " 200 ")
			assert.Less(t, time.Since(before), 3*time.Second, "an error or close is due within 3 s")
		})
	}
	t.Cleanup(func() { assert.Empty(t, b.Requests) })
}

// Silent sessions over the limit must be shed, the longest silent first, while one with an open
// request must be kept.
func TestSilentSessionsAreShed(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c *net.TCPConn, r request) bool { <-release; return ok(c, r) })
	config := configure(t, freeAddr(t), newRegistry(t).Addr, list(7, true, target("s-0", b.Addr, "in_service", 0)), settings())
	config["limits"].(object)["sockets"] = 128
	n := start(t, config)
	first := make(chan *answer, 1)
	go func() { first <- n.send("POST", "/api", "", headers("topup")) }()
	receive(t, b.Requests, "the open request")
	for range 300 {
		c, err := net.Dial("tcp", n.addr)
		require.NoError(t, err)
		defer c.Close()
	}
	close(release)
	for range 20 { // none may be rejected because of the silent ones
		assert.Equal(t, 200, n.ask("topup").status)
	}
	n.waitUntil("sessions were shed", func() bool { return n.counter("session.shed") != "0" })
	a := receive(t, first, "the answer of the open request")
	require.NotNil(t, a)
	assert.Equal(t, 200, a.status)
}

// A reload must move to the registry in the file, with one watch at a time and without losing a
// backend. A faulty file must change nothing.
func TestReloadMovesRegistry(t *testing.T) {
	one, two := newBackend(t, ok), newBackend(t, ok)
	before, after := newRegistry(t), newRegistry(t)
	config := configure(t, freeAddr(t), before.Addr, list(7, true, target("s-0", one.Addr, "in_service", 0)), settings())
	n := start(t, config)
	receive(t, before.Queries, "the first watch")
	receive(t, before.Watches, "the first watch") <- line(t, list(8, false))
	n.waitCounter("list.changes", "2")

	for key, text := range map[string]string{"PROXY_CONFIG": "{", "discovery": strings.ReplaceAll(line(t, config), before.Addr, "nowhere"), "seed": strings.Replace(line(t, config), "9392d72b", "zzzz", 1)} {
		n.reload(text)
		n.waitUntil("the log names "+key, func() bool { return regexp.MustCompile("reload: .*" + key + ":").MatchString(n.log.String()) })
	}
	assert.Equal(t, 200, n.ask("topup").status)
	assert.Empty(t, before.Queries)

	config["discovery"] = after.Addr
	n.reload(line(t, config))
	assert.Equal(t, "stream=1&index=8", receive(t, after.Queries, "a watch at the new registry"))
	lines := receive(t, after.Watches, "the watch at the new registry")
	n.waitUntil("the old watch ended", func() bool { return before.WatchesEnded.Load() == 1 })
	assert.Equal(t, 200, n.ask("topup").status)
	lines <- line(t, list(9, true, target("s-1", two.Addr, "in_service", 0)))
	n.waitCounter("list.full", "1")
	assert.Equal(t, 200, n.ask("topup").status)
	assert.Len(t, two.Requests, 1)
	n.waitCounter("list.failed", "0")
	assert.Empty(t, before.Queries)
	assert.Empty(t, after.Queries)
}

// Clients that send one request and stay must not exhaust the sessions: above half of the limit
// each answer must end its session, and a probe of /ready must always do so.
func TestAnswersEndSessionsAboveHalfLimit(t *testing.T) {
	b := newBackend(t, ok)
	config := configure(t, freeAddr(t), newRegistry(t).Addr, list(7, true, target("s-0", b.Addr, "in_service", 0)), settings())
	config["limits"].(object)["sockets"] = 128
	n := start(t, config)
	ask := func() *http.Response {
		c, err := net.Dial("tcp", n.addr)
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, strings.Replace(postRequest, "hidden", headers("topup")["X-Correlation-Id"], 1))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		assert.Equal(t, 200, res.StatusCode)
		return res
	}
	kept := 0
	for range (128 - reservedSockets) / 2 {
		if !ask().Close {
			kept++
		}
	}
	assert.Positive(t, kept, "sessions must be kept below half of the limit")
	assert.LessOrEqual(t, kept, (128-reservedSockets)/4, "no more than half of the limit may be kept")
	got := n.raw("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.Regexp(t, `^HTTP/1\.1 200 (?s).*Connection: close`, got)
}

// Each command line must print the expected text and end with its exit code.
func TestCommandLine(t *testing.T) {
	optionsFile := filepath.Join(t.TempDir(), "own.yaml")
	require.NoError(t, os.WriteFile(optionsFile, []byte("log: {level: debug, format: json}\nsession: {head_within: 1s}\n"), 0o600))
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	require.NoError(t, os.WriteFile(bad, []byte("log:\n  levle: debug\n"), 0o600))
	for _, tt := range []struct {
		args string
		code int
		want string
	}{
		{"bogus", 2, `unknown command "bogus"`},
		{"--bogus", 2, "unknown flag: --bogus"},
		{"node --config " + bad, 2, bad + ":2: log.levle: unknown key; allowed here: level, format"},
		{"node --config " + optionsFile, 2, "PROXY_CONFIG: not set"},
		{"config check", 2, "nothing to check"},
		{"config check --config " + optionsFile, 0, "sound"},
		{"config check --config " + bad, 2, bad + ":2: log.levle"},
		{"config show --config " + optionsFile, 0, optionsFile + ":2"},
		{"config show --json --config " + optionsFile, 0, `{"key":"session.head_within","value":"1s","from":"` + optionsFile + `:2"}`},
		{"config schema", 0, `"head_within"`},
		{"completion bash", 0, "__oakseam"},
		{"version", 0, "go1."},
		{"--help", 0, "PROXY_CONFIG"},
	} {
		cmd := exec.Command(program, strings.Fields(tt.args)...)
		cmd.Env = []string{}
		out, _ := cmd.CombinedOutput()
		assert.Equal(t, tt.code, cmd.ProcessState.ExitCode(), tt.args)
		assert.Contains(t, string(out), tt.want, tt.args)
		if tt.code != 0 {
			assert.Equal(t, 1, strings.Count(string(out), "\n"), "one line: %s", out)
		}
	}
	// A node with an options file in addition to PROXY_CONFIG.
	b := newBackend(t, ok)
	n := startWith(t, configure(t, freeAddr(t), "127.0.0.1:1", list(7, true, target("s-0", b.Addr, "in_service", 0)), settings()),
		"node", "--config", optionsFile)
	assert.Equal(t, 200, n.ask("topup").status)
	n.waitUntil("the attempt is logged", func() bool { return strings.Contains(n.log.String(), `"cause":"ok"`) })
}

// With work hints the node learns how many requests a backend can handle, two at first, and must
// reject at once what would be a third there.
func TestWorkHintLimitsConcurrency(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c *net.TCPConn, r request) bool {
		if r.Header.Get("X-Correlation-Id") != "first" {
			<-release
		}
		return ok(c, r)
	})
	n, _ := serve(t, b.Addr)
	ask := func(id, hint string) <-chan *answer {
		h := headers("topup")
		h["X-Correlation-Id"], h["X-Weight-Hint"] = id, hint
		got := make(chan *answer, 1)
		go func() { got <- n.send("POST", "/api", "", h) }()
		return got
	}
	status := func(c <-chan *answer) int {
		a := receive(t, c, "an answer")
		require.NotNil(t, a)
		return a.status
	}
	require.Equal(t, 200, status(ask("first", "900000")))
	receive(t, b.Requests, "the first request")
	var pending []<-chan *answer
	for _, id := range []string{"second", "third"} {
		pending = append(pending, ask(id, "9e5"))
		receive(t, b.Requests, id)
	}
	for _, hint := range []string{"900000", "-1", "NaN", "1e300", "soon"} { // an invalid hint must not make the request malformed
		assert.Equal(t, 503, status(ask("odd"+hint, hint)))
	}
	close(release)
	for _, c := range pending {
		assert.Equal(t, 200, status(c))
	}
	two := n.raw("POST /api HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: two\r\nX-Service-Class: topup\r\n" +
		"X-Account: a\r\nX-Account: b\r\nContent-Length: 0\r\n\r\n")
	assert.Contains(t, two, "400 Bad Request")
}
