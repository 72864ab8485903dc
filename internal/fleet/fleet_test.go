package fleet

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pipitmux/internal/audit"
	"pipitmux/internal/emulator"
	"pipitmux/internal/standin"
	"pipitmux/logic"
)

// A client whose kept connection ends with no answer sends its request once more where the node
// lives on, and not where it was killed: that one may have read it.
func TestCloseUnderARequest(t *testing.T) {
	for name, killed := range map[string]bool{"killed": true, "lives on": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc, err := emulator.Read("../../deploy/lab/loopback.yaml")
			require.NoError(t, err)
			front, err := standin.NewFrontend("127.0.0.1")
			require.NoError(t, err)
			defer front.Close()
			n := &node{run: &standin.Node{}}
			came := make(chan string, 10)
			m, err := standin.NewMachine("127.0.0.1", func(c net.Conn) {
				in := bufio.NewReader(c)
				for first := true; ; first = false {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					id := r.Header.Get("X-Correlation-Id")
					came <- id
					if !first {
						if killed {
							n.drop()
						}
						return
					}
					c.Write(answer(id, logic.OK, nil, nil))
				}
			})
			require.NoError(t, err)
			defer m.Close()
			n.held = &standin.ReservedAddress{Addr: m.Addr}
			f := &fleet{day: emulator.NewLiveRun(sc, 1), front: front, nodes: []*node{n}, quit: make(chan struct{})}
			try := emulator.ClientRequest{ID: "1", Class: logic.Class{Effect: logic.Unsafe}, Timeout: 10 * time.Second}
			assert.Equal(t, emulator.RequestOutcome{Answer: audit.Served}, f.client(try))
			try.ID = "2"
			v := f.client(try)
			var ids []string
			for len(came) > 0 { // each was put there before the client had its answer or end
				ids = append(ids, <-came)
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
