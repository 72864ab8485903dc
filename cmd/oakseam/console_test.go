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

	"pipitmux/internal/cli"
)

// operate starts a node with a console, which knows the backends.
func operate(t *testing.T, addrs ...string) *node {
	c := knowing(t, newRegistry(t), addrs...)
	c["console"] = freeAddr(t)
	return start(t, c)
}

// call makes a call at the console and returns the answer.
// It is empty where nobody listens there.
func (n *node) call(text string) string {
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

// figure reads one figure.
func (n *node) figure(name string) string {
	for l := range strings.Lines(n.call("show-stat\n")) {
		if v, ok := strings.CutPrefix(l, "svc."+name+"="); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

func (n *node) shows(name, want string) {
	n.t.Helper()
	n.until(name+" is "+want, func() bool { return n.figure(name) == want })
}

func TestConsoleCalls(t *testing.T) {
	n := operate(t, newBackend(t, ok).Addr)
	for range 40 { // who says nothing, or half a call, holds up nobody
		c, err := net.Dial("tcp", n.console)
		require.NoError(t, err)
		defer c.Close()
		io.WriteString(c, "rea")
	}
	n.until("ready", func() bool { return n.call("ready\n") == "OK ready\n" })
	for call, want := range map[string]string{
		"ready\r\n": "OK", "  ready \n": "OK", "ready\nready\n": "OK", "bogus\n": "ERR unknown call", "\n": "ERR",
		strings.Repeat("x", 4000) + "\n": "ERR the call is too long", "resume\n": "OK",
	} {
		assert.Regexp(t, "^"+want, n.call(call), "%.20q", call)
	}
	c, err := net.Dial("tcp", n.console)
	require.NoError(t, err)
	defer c.Close()
	io.WriteString(c, "ready")
	c.(*net.TCPConn).CloseWrite()
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Equal(t, "OK ready\n", string(got), "the end of sending ends a call")
	stat := n.call("show-stat\n")
	assert.True(t, strings.HasPrefix(stat, "OK\n") && strings.HasSuffix(stat, "\nEND\n"), stat)
	assert.Contains(t, stat, "svc.faulted.brief=0\n", "each class from the start")
}

func TestConsoleAddress(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	c := configure(t, freeAddr(t), "127.0.0.1:1", list(7, true), settings())
	for _, addr := range []string{"nowhere", taken.Addr().String(), c["listen"].(string)} {
		c["console"] = addr
		cmd := command(t, c)
		out, _ := cmd.CombinedOutput()
		assert.Equal(t, cli.Misuse, cmd.ProcessState.ExitCode(), addr)
		assert.Contains(t, string(out), "console:", addr)
	}
}

// TestFigures compares the figures with what the stand-ins counted.
func TestFigures(t *testing.T) {
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
	n := operate(t, b.Addr)
	n.shows("registry_entries", "1")
	for range 5 {
		assert.Equal(t, 200, n.ask("topup").status)
	}
	assert.Equal(t, 502, n.try("POST", "/api?fail", "", headers("topup")).status)
	waits := make(chan *answer, 1)
	held := headers("lookup")
	go func() { waits <- n.try("GET", "/api?wait", "", held) }()
	n.shows("open_requests", "1")
	n.shows("relayed", "7")
	assert.Equal(t, 409, n.try("GET", "/api", "", held).status, "a duplicate")
	gone, err := net.Dial("tcp", n.addr)
	require.NoError(t, err)
	fmt.Fprintf(gone, "GET /api?wait HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: gone\r\nX-Service-Class: lookup\r\n\r\n")
	n.shows("open_requests", "2")
	gone.Close()
	n.shows("open_requests", "1")
	close(release)
	assert.Equal(t, 200, receive(t, waits, "the held answer").status)
	n.shows("open_requests", "0")
	for name, want := range map[string]string{"fulfilled.topup": "5", "faulted.topup": "1", "throttled.topup": "0",
		"fulfilled.lookup": "1", "faulted.lookup": "1", "fulfilled.brief": "0", "out_of_rotation": "0"} {
		assert.Equal(t, want, n.figure(name), name)
	}
	assert.EqualValues(t, len(b.Seen), 8, "one of them for the client that left")
	n.shows("relayed", "8")

	empty := operate(t)
	assert.Equal(t, 503, empty.ask("topup").status)
	assert.Equal(t, "1", empty.figure("throttled.topup"))
	assert.Contains(t, empty.call("ready\n"), "ERR not ready")
}

// TestDrain: /ready says no, answers end their sessions, idle ones end, a long request
// stays, and resume takes all back. SIGTERM ends a node that drains.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	b := newBackend(t, func(c *net.TCPConn, r request) bool {
		if r.URL.RawQuery == "wait" {
			<-release
		}
		return ok(c, r)
	})
	n := operate(t, b.Addr)
	idle, err := net.Dial("tcp", n.addr)
	require.NoError(t, err)
	defer idle.Close()
	waits := make(chan *answer, 1)
	go func() { waits <- n.try("POST", "/api?wait", "", headers("topup")) }()
	receive(t, b.Seen, "the request before the drain")

	assert.Equal(t, "OK draining\n", n.call("drain\n"))
	assert.Equal(t, 503, n.try("GET", "/ready", "", nil).status, "no at once")
	assert.Contains(t, n.call("ready\n"), "ERR not ready: draining")
	late, err := net.Dial("tcp", n.addr) // dealt out before the front heard
	require.NoError(t, err)
	defer late.Close()
	io.WriteString(late, strings.Replace(hidden, "hidden", "late", 1))
	res, err := http.ReadResponse(bufio.NewReader(late), nil)
	require.NoError(t, err)
	assert.Equal(t, 200, res.StatusCode)
	assert.True(t, res.Close)
	assert.Equal(t, "OK draining\n", n.call("drain\n"), "twice is as once")
	idle.SetReadDeadline(time.Now().Add(patience))
	_, err = idle.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "an idle session ends cleanly")

	assert.Equal(t, "OK serving\n", n.call("resume\n"))
	assert.Equal(t, 200, n.try("GET", "/ready", "", nil).status)
	close(release)
	assert.Equal(t, 200, receive(t, waits, "the answer of the long request").status)
	assert.Equal(t, 200, n.ask("topup").status)

	assert.Equal(t, "OK draining\n", n.call("drain\n"))
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, receive(t, n.end, "the exit"), "exit code 0")
}
