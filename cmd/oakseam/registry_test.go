package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"oakseam/internal/fakes"
)

// When a list reports a drain while a request waits for the connection to that backend, nothing
// of the request may be sent there, even if the connection is established later. The request
// must be decided again.
func TestDrainWhileConnecting(t *testing.T) {
	for _, class := range []string{"topup", "reading"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			sent := make(chan string, 10)
			slow, err := fakes.NewMachine("127.0.0.1", func(c net.Conn) {
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					sent <- r.URL.Path
				}
			})
			require.NoError(t, err)
			defer slow.Close()
			other := newBackend(t, ok)
			d := newRegistry(t)
			s := settings()
			s["limits"].(object)["connect-timeout-us"] = 8000000
			n := start(t, configure(t, freeAddr(t), d.Addr, list(7, true, target("s-0", slow.Addr, "in_service", 0)), s))
			receive(t, d.Queries, "the first watch")
			lines := receive(t, d.Watches, "the first watch")
			slow.Blackhole()
			got := make(chan *answer, 1)
			go func() { got <- n.ask(class) }()
			n.waitCounter("attempt.sent", "1")
			lines <- line(t, list(8, false, target("s-0", slow.Addr, "terminating", 0), target("s-1", other.Addr, "in_service", 0)))
			n.waitCounter("list.changes", "2") // with the empty first reply
			require.NoError(t, slow.Up())
			a := receive(t, got, "the answer")
			require.NotNil(t, a)
			assert.Equal(t, 200, a.status)
			n.waitCounter("attempt.withdrawn", "1")
			n.waitCounter("outcome.moot", "1")
			assert.Len(t, other.Requests, 1)
			assert.Empty(t, sent, "requests sent to a draining backend")
		})
	}
}

// Hundreds of silent clients connect to a node with a limit of 128 descriptors while the registry
// is down. The node must still be ready within 10 s of its start, reach the registry when it
// returns, and serve.
func TestSilentClientsExhaustNoDescriptors(t *testing.T) {
	one, two := newBackend(t, ok), newBackend(t, ok)
	registry := freeAddr(t)
	config := configure(t, freeAddr(t), registry, list(7, true, target("s-0", one.Addr, "in_service", 0)), settings())
	config["limits"].(object)["sockets"] = 128
	started := time.Now()
	n := start(t, config)
	var limit unix.Rlimit
	limit.Cur, limit.Max = 128, 128
	require.NoError(t, unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	n.waitUntil("ready", func() bool { a := n.send("GET", "/ready", "", nil); return a != nil && a.status == 200 })
	assert.Less(t, time.Since(started), 10*time.Second)
	n.waitUntil("calls fail", func() bool { return n.counter("list.failed") > "1" })

	// Some send a part of a request, the others are silent. Those that stay reconnect whenever their
	// session ends: they alone are more than the node has sessions for. The others come and go.
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	for i := range stayingClients {
		clients.Go(func() { n.stayConnected(stop, i) })
	}
	clients.Go(func() { n.comeAndGo(stop) })
	n.waitUntil("sessions are shed", func() bool { return n.counter("session.shed") != "0" })
	for range 4 {
		assert.Equal(t, 200, n.ask("topup").status)
	}
	d, err := fakes.NewScriptedRegistryAt(registry)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	returned := time.Now()
	receive(t, d.Queries, "a call after its return")
	receive(t, d.Watches, "the watch") <- line(t, list(8, true, target("s-1", two.Addr, "in_service", 0)))
	n.waitUntil("the list is delivered", func() bool { return n.counter("list.full") != "0" })
	assert.Less(t, time.Since(returned), 6*time.Second)
	for range 4 {
		assert.Equal(t, 200, n.ask("topup").status)
	}
	assert.Len(t, two.Requests, 4)
	a := n.send("GET", "/ready", "", nil)
	require.NotNil(t, a)
	assert.Equal(t, 200, a.status)
}

// stayingClients is the number of clients that stay. It exceeds the sockets of the node that they
// keep busy, so that some sessions must be shed however fast clients and node are.
const stayingClients = 160

// partOfRequest returns what client i sends: nothing, a part of a request, or seldom a whole one.
func partOfRequest(i int) string {
	if i%3 != 0 {
		return ""
	}
	return "GET / HTTP/1.1\r\nHost: x\r\n\r\n"[:20+i%8]
}

// stayConnected keeps a session open, and opens another one whenever it ends, until stop is closed.
func (n *node) stayConnected(stop <-chan struct{}, i int) {
	for !isClosed(stop) {
		c, err := net.DialTimeout("tcp", n.addr, patience)
		if err != nil {
			continue
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			io.WriteString(c, partOfRequest(i))
			io.Copy(io.Discard, c)
		}()
		select {
		case <-ended:
		case <-stop:
		}
		c.Close()
		<-ended
	}
}

// comeAndGo opens sessions as fast as it can, and closes the oldest of 400, until stop is closed.
func (n *node) comeAndGo(stop <-chan struct{}) {
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for i := 0; !isClosed(stop); i++ {
		c, err := net.DialTimeout("tcp", n.addr, patience)
		if err != nil {
			continue
		}
		io.WriteString(c, partOfRequest(i))
		if conns = append(conns, c); len(conns) > 400 {
			conns[0].Close()
			conns = conns[1:]
		}
	}
}

// isClosed reports whether a channel that carries nothing is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Ten processes start without a list while the registry refuses every call for 6 s. All must be
// ready within 10 s of their start.
func TestReadySoonAfterRegistryRefusals(t *testing.T) {
	t.Parallel()
	b := newBackend(t, ok)
	fullList := line(t, list(8, true, target("s-0", b.Addr, "in_service", 0)))
	started := time.Now()
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if time.Since(started) < 6*time.Second {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		for text := fullList; r.Context().Err() == nil; text = "\n" {
			io.WriteString(w, text)
			w.(http.Flusher).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
		}
	}))
	t.Cleanup(d.CloseClientConnections)
	t.Cleanup(func() { go d.Close() })
	const processes = 10
	var nodes []*node
	for range processes {
		nodes = append(nodes, start(t, configure(t, freeAddr(t), d.Listener.Addr().String(), list(0, true), settings())))
	}
	for _, n := range nodes {
		n.waitUntil("ready", func() bool { a := n.send("GET", "/ready", "", nil); return a != nil && a.status == 200 })
	}
	assert.Less(t, time.Since(started), 10*time.Second)
}
