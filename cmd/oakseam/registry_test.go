package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"pipitmux/internal/standin"
)

// TestDrainWhileConnecting: the list tells that a backend leaves while a request waits for its
// connection to come up. Nothing of the request goes there, not even where it does come up; the
// request is decided anew.
func TestDrainWhileConnecting(t *testing.T) {
	for _, class := range []string{"topup", "reading"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			sent := make(chan string, 10)
			slow, err := standin.NewMachine("127.0.0.1", func(c net.Conn) {
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
			receive(t, d.Calls, "the first watch")
			lines := receive(t, d.Watch, "the first watch")
			slow.Vanish()
			got := make(chan *answer, 1)
			go func() { got <- n.ask(class) }()
			n.counts("attempt.sent", "1")
			lines <- line(t, list(8, false, target("s-0", slow.Addr, "terminating", 0), target("s-1", other.Addr, "in_service", 0)))
			n.counts("list.changes", "2") // with the empty first reply
			require.NoError(t, slow.Up())
			a := receive(t, got, "the answer")
			require.NotNil(t, a)
			assert.Equal(t, 200, a.status)
			n.counts("attempt.withdrawn", "1")
			n.counts("outcome.moot", "1")
			assert.Len(t, other.Seen, 1)
			assert.Empty(t, sent, "nothing to a backend that leaves")
		})
	}
}

// TestIdleClientsFillTheDescriptors: while the registry is down, clients that say nothing
// connect by the hundred to a node that may hold 128 descriptors. It is ready within 10 s of
// its start all the same, reaches the registry at its return, and serves.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	one, two := newBackend(t, ok), newBackend(t, ok)
	registry := freeAddr(t)
	config := configure(t, freeAddr(t), registry, list(7, true, target("s-0", one.Addr, "in_service", 0)), settings())
	config["limits"].(object)["sockets"] = 128
	began := time.Now()
	n := start(t, config)
	var most unix.Rlimit
	most.Cur, most.Max = 128, 128
	require.NoError(t, unix.Prlimit(n.cmd.Process.Pid, unix.RLIMIT_NOFILE, &most, nil))
	n.until("ready", func() bool { a := n.try("GET", "/ready", "", nil); return a != nil && a.status == 200 })
	assert.Less(t, time.Since(began), 10*time.Second)
	n.until("calls fail", func() bool { return n.counter("list.failed") > "1" })

	// Some have asked once and stay; they and the silent ones come again whenever they are ended.
	over, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var held []net.Conn
		for i := 0; ; i++ {
			select {
			case <-over:
				for _, c := range held {
					c.Close()
				}
				return
			default:
			}
			c, err := net.DialTimeout("tcp", n.addr, patience)
			if err != nil {
				continue
			}
			if i%3 == 0 {
				io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"[:20+i%8]) // some only begin
			}
			if held = append(held, c); len(held) > 400 {
				held[0].Close()
				held = held[1:]
			}
		}
	}()
	defer func() { close(over); <-done }()
	n.until("the places are taken", func() bool { return n.counter("session.shed") != "0" })
	for range 4 {
		assert.Equal(t, 200, n.ask("topup").status)
	}
	d, err := standin.NewScriptedRegistryAt(registry)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	back := time.Now()
	receive(t, d.Calls, "a call at its return")
	receive(t, d.Watch, "the watch") <- line(t, list(8, true, target("s-1", two.Addr, "in_service", 0)))
	n.until("the list is told", func() bool { return n.counter("list.full") != "0" })
	assert.Less(t, time.Since(back), 6*time.Second)
	for range 4 {
		assert.Equal(t, 200, n.ask("topup").status)
	}
	assert.Len(t, two.Seen, 4)
	a := n.try("GET", "/ready", "", nil)
	require.NotNil(t, a)
	assert.Equal(t, 200, a.status)
}

// TestReadyThoughCallsAreTurnedAway: ten processes start without a list while the registry
// turns every call away for 6 s. All are ready within 10 s of their start.
func TestReadyThoughCallsAreTurnedAway(t *testing.T) {
	t.Parallel()
	b := newBackend(t, ok)
	whole := line(t, list(8, true, target("s-0", b.Addr, "in_service", 0)))
	began := time.Now()
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if time.Since(began) < 6*time.Second {
			http.Error(w, "not now", http.StatusServiceUnavailable)
			return
		}
		for text := whole; r.Context().Err() == nil; text = "\n" {
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
		n.until("ready", func() bool { a := n.try("GET", "/ready", "", nil); return a != nil && a.status == 200 })
	}
	assert.Less(t, time.Since(began), 10*time.Second)
}
