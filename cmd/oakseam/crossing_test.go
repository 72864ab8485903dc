package main

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pipitmux/internal/standin"
)

// TestDrainWhileConnecting: the list tells that a backend leaves while a req waits for its
// connection to come up. Nothing of the req goes there, not even where it does come up; the
// req is decided anew.
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
			d := newDirector(t)
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
