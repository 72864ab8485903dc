package fleet

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/audit"
	"oakseam/internal/emulator"
	"oakseam/internal/fakes"
	"oakseam/logic"
)

// TestClientResendsOnlyIfNodeIsAlive guards against a client that sends a request twice to a node that
// may have read it. If an idle connection is closed without a response while the node is alive, the
// client sends the request once more. If the node was killed, it does not.
func TestClientResendsOnlyIfNodeIsAlive(t *testing.T) {
	for name, killed := range map[string]bool{"killed": true, "alive": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc, err := emulator.Read("../../deploy/lab/loopback.yaml")
			require.NoError(t, err)
			frontend, err := fakes.NewFrontend("127.0.0.1")
			require.NoError(t, err)
			defer frontend.Close()
			n := &node{process: &fakes.Node{}}
			received := make(chan string, 10)
			m, err := fakes.NewMachine("127.0.0.1", func(c net.Conn) {
				in := bufio.NewReader(c)
				for first := true; ; first = false {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					id := r.Header.Get("X-Correlation-Id")
					received <- id
					if !first {
						if killed {
							n.detach()
						}
						return
					}
					c.Write(response(id, logic.OK, nil, nil))
				}
			})
			require.NoError(t, err)
			defer m.Close()
			n.reservation = &fakes.ReservedAddress{Addr: m.Addr}
			f := &fleet{live: emulator.NewLiveRun(sc, 1), frontend: frontend, nodes: []*node{n}, quit: make(chan struct{})}
			request := emulator.ClientRequest{ID: "1", Class: logic.Class{Effect: logic.Unsafe}, Timeout: 10 * time.Second}
			assert.Equal(t, emulator.RequestOutcome{Answer: audit.Served}, f.send(request))
			request.ID = "2"
			v := f.send(request)
			var ids []string
			for len(received) > 0 { // each id was sent before the client got its response or the close
				ids = append(ids, <-received)
			}
			if killed {
				assert.Equal(t, emulator.RequestOutcome{Answer: audit.NoAnswer, FullySent: true}, v)
				assert.Equal(t, []string{"1", "2"}, ids)
			} else {
				assert.Equal(t, emulator.RequestOutcome{Answer: audit.Served}, v)
				assert.Equal(t, []string{"1", "2", "2"}, ids)
			}
		})
	}
}
