package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/cli"
)

// startWithConsole starts a node with a console, whose list has backends at the given addresses.
func startWithConsole(t *testing.T, addrs ...string) *node {
	c := configWith(t, newRegistry(t), addrs...)
	c["console"] = freeAddr(t)
	return start(t, c)
}

// consoleCall sends a command to the console and returns the reply, empty if nobody
// listens there.
func (n *node) consoleCall(text string) string {
	c, err := net.Dial("tcp", n.console)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, text)
	got, err := io.ReadAll(c)
	assert.NoError(n.t, err)
	return string(got)
}

// metric returns the value of one metric.
func (n *node) metric(name string) string {
	for l := range strings.Lines(n.consoleCall("show-stat\n")) {
		if v, ok := strings.CutPrefix(l, "svc."+name+"="); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// waitMetric waits until a metric has a value.
func (n *node) waitMetric(name, want string) {
	n.t.Helper()
	n.waitUntil(name+" is "+want, func() bool { return n.metric(name) == want })
}

// Console commands must be answered whatever their spacing, and silent or partial connections
// must block nobody.
func TestConsoleCommands(t *testing.T) {
	n := startWithConsole(t, newBackend(t, ok).Addr)
	for range 40 { // partial commands, which must block nobody
		c, err := net.Dial("tcp", n.console)
		require.NoError(t, err)
		defer c.Close()
		io.WriteString(c, "rea")
	}
	n.waitUntil("ready", func() bool { return n.consoleCall("ready\n") == "OK ready\n" })
	for consoleCall, want := range map[string]string{
		"ready\r\n": "OK", "  ready \n": "OK", "ready\nready\n": "OK", "bogus\n": "ERR unknown call", "\n": "ERR",
		strings.Repeat("x", 4000) + "\n": "ERR the call is too long", "resume\n": "OK",
	} {
		assert.Regexp(t, "^"+want, n.consoleCall(consoleCall), "%.20q", consoleCall)
	}
	c, err := net.Dial("tcp", n.console)
	require.NoError(t, err)
	defer c.Close()
	io.WriteString(c, "ready")
	c.(*net.TCPConn).CloseWrite()
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "OK ready\n", string(got), "the end of input ends a command")
	stat := n.consoleCall("show-stat\n")
	assert.True(t, strings.HasPrefix(stat, "OK\n") && strings.HasSuffix(stat, "\nEND\n"), stat)
	assert.Contains(t, stat, "svc.faulted.brief=0\n", "each class is listed from the start")
}

// A console address that is malformed, taken or that of the clients must be rejected at the start.
func TestBadConsoleAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	c := configure(t, freeAddr(t), "127.0.0.1:1", list(7, true), settings())
	for _, addr := range []string{"nowhere", taken.Addr().String(), c["listen"].(string)} {
		c["console"] = addr
		cmd := command(t, c)
		out, _ := cmd.CombinedOutput()
		assert.Equal(t, cli.ExitUsage, cmd.ProcessState.ExitCode(), addr)
		assert.Contains(t, string(out), "console:", addr)
	}
}

// The metrics must agree with what the fake backends counted.
func TestMetricsMatchBackends(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c *net.TCPConn, r request) bool {
		switch r.URL.RawQuery {
		case "wait":
			<-release
		case "fail":
			return say(c, 500, "", "no")
		}
		return ok(c, r)
	})
	n := startWithConsole(t, b.Addr)
	n.waitMetric("registry_entries", "1")
	for range 5 {
		assert.Equal(t, 200, n.ask("topup").status)
	}
	assert.Equal(t, 502, n.send("POST", "/api?fail", "", headers("topup")).status)
	pending := make(chan *answer, 1)
	pendingHeaders := headers("lookup")
	go func() { pending <- n.send("GET", "/api?wait", "", pendingHeaders) }()
	n.waitMetric("open_requests", "1")
	n.waitMetric("relayed", "7")
	assert.Equal(t, 409, n.send("GET", "/api", "", pendingHeaders).status, "a duplicate is rejected")
	gone, err := net.Dial("tcp", n.addr)
	require.NoError(t, err)
	fmt.Fprintf(gone, "GET /api?wait HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: gone\r\nX-Service-Class: lookup\r\n\r\n")
	n.waitMetric("open_requests", "2")
	gone.Close()
	n.waitMetric("open_requests", "1")
	close(release)
	assert.Equal(t, 200, receive(t, pending, "the pending answer").status)
	n.waitMetric("open_requests", "0")
	for name, want := range map[string]string{"fulfilled.topup": "5", "faulted.topup": "1", "throttled.topup": "0",
		"fulfilled.lookup": "1", "faulted.lookup": "1", "fulfilled.brief": "0", "out_of_rotation": "0"} {
		assert.Equal(t, want, n.metric(name), name)
	}
	assert.EqualValues(t, len(b.Requests), 8, "one of them for the client that has left")
	n.waitMetric("relayed", "8")

	empty := startWithConsole(t)
	assert.Equal(t, 503, empty.ask("topup").status)
	assert.Equal(t, "1", empty.metric("throttled.topup"))
	assert.Contains(t, empty.consoleCall("ready\n"), "ERR not ready")
}

// While a node drains, /ready must fail, answers and idleness must end sessions, and a long
// request must be kept. Resume must undo the drain, and SIGTERM must end a draining node.
func TestDrainAndResume(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c *net.TCPConn, r request) bool {
		if r.URL.RawQuery == "wait" {
			<-release
		}
		return ok(c, r)
	})
	n := startWithConsole(t, b.Addr)
	idle, err := net.Dial("tcp", n.addr)
	require.NoError(t, err)
	defer idle.Close()
	pending := make(chan *answer, 1)
	go func() { pending <- n.send("POST", "/api?wait", "", headers("topup")) }()
	receive(t, b.Requests, "the request before the drain")

	assert.Equal(t, "OK draining\n", n.consoleCall("drain\n"))
	assert.Equal(t, 503, n.send("GET", "/ready", "", nil).status, "/ready fails at once")
	assert.Contains(t, n.consoleCall("ready\n"), "ERR not ready: draining")
	late, err := net.Dial("tcp", n.addr) // assigned to this node before the load balancer in front saw the drain
	require.NoError(t, err)
	defer late.Close()
	io.WriteString(late, strings.Replace(postRequest, "hidden", "late", 1))
	res, err := http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.True(t, res.Close)
	assert.Equal(t, "OK draining\n", n.consoleCall("drain\n"), "a second drain changes nothing")
	idle.SetReadDeadline(time.Now().Add(patience))
	_, err = idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "an idle session must end cleanly")

	assert.Equal(t, "OK serving\n", n.consoleCall("resume\n"))
	assert.Equal(t, 200, n.send("GET", "/ready", "", nil).status)
	close(release)
	assert.Equal(t, 200, receive(t, pending, "the answer of the long request").status)
	assert.Equal(t, 200, n.ask("topup").status)

	assert.Equal(t, "OK draining\n", n.consoleCall("drain\n"))
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, receive(t, n.exit, "the exit"), "exit code 0")
}
