package upstream

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/message"
	"pipitmux/internal/standin"
	"pipitmux/logic"
)

// poolOf is a Pool of so many connections at most, none of which times out in a test.
func poolOf(most int) *Pool {
	return New(plain{}, Options{ConnectTimeout: 10 * time.Second, IdleTimeout: time.Hour, MaxConns: most, Budget: message.NewBudget(1 << 20), OmitHeader: true},
		counters.New(), slog.New(slog.DiscardHandler))
}

// What happens while an attempt's connection comes up holds before its first byte: none goes
// to a backend that leaves, for a client that has left, or beyond the time in which repeats
// are dropped. A connection that nothing was written on is used for the next one, unless its
// backend leaves.
func TestGateBeforeTheFirstByte(t *testing.T) {
	for name, tt := range map[string]struct {
		before time.Duration // until when the attempt may begin, from now
		event  func(p *Pool, at core.Place, cancel func(), left *atomic.Bool)
		want   logic.Result
		left   bool
		kept   bool
	}{
		"nothing":            {0, func(*Pool, core.Place, func(), *atomic.Bool) {}, logic.OK, false, true},
		"the backend leaves": {0, func(p *Pool, at core.Place, _ func(), _ *atomic.Bool) { p.Withdraw(at) }, logic.Moot, false, false},
		"another one does":   {0, func(p *Pool, at core.Place, _ func(), _ *atomic.Bool) { at.Born++; p.Withdraw(at) }, logic.OK, false, true},
		"the client leaves":  {0, func(_ *Pool, _ core.Place, _ func(), left *atomic.Bool) { left.Store(true) }, logic.Moot, true, true},
		"it is called off":   {0, func(_ *Pool, _ core.Place, cancel func(), _ *atomic.Bool) { cancel() }, logic.Canceled, false, true},
		"its window is over": {-1, func(*Pool, core.Place, func(), *atomic.Bool) {}, logic.Moot, false, true},
		"its window is open": {time.Hour, func(*Pool, core.Place, func(), *atomic.Bool) {}, logic.OK, false, true},
		"both leave":         {0, func(p *Pool, at core.Place, _ func(), left *atomic.Bool) { left.Store(true); p.Withdraw(at) }, logic.Moot, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := standin.NewBackend(standin.OK)
			require.NoError(t, err)
			defer b.Close()
			at := core.Place{ID: "b", Endpoint: b.Addr}
			p := poolOf(2)
			dialing, up := make(chan struct{}), make(chan struct{})
			dial := p.dial
			p.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
				close(dialing)
				<-up // it is up at last, whoever has given up waiting
				return dial(context.Background(), network, addr)
			}
			var left atomic.Bool
			call := &message.Call{Method: "GET", Target: "/", Host: "h", ID: "i", ClientGone: left.Load}
			a := core.Attempt{Call: call, Place: at, Until: time.Now().Add(20 * time.Second)}
			if tt.before != 0 {
				a.Before = time.Now().Add(tt.before)
			}
			ends := make(chan core.Ended, 2)
			cancel := p.Start(a, func(e core.Ended) { ends <- e })
			<-dialing
			tt.event(p, at, cancel, &left)
			close(up)
			end := <-ends
			assert.Equal(t, tt.want, end.Result)
			assert.Equal(t, tt.left, end.Left)
			sent := 0
			if tt.want == logic.OK {
				sent = 1
			}
			assert.Len(t, b.Seen, sent)
			assert.Empty(t, p.gates)

			p.mu.Lock()
			defer p.mu.Unlock()
			assert.Equal(t, tt.kept, len(p.idle[at]) == 1, "the first connection")
		})
	}
}

// Withdraw is asked for while attempts begin by the hundred: each one either was written
// before it, or never is.
func TestWithdrawAgainstBegin(t *testing.T) {
	for range 20 {
		b, err := standin.NewBackend(standin.OK)
		require.NoError(t, err)
		at := core.Place{ID: "b", Endpoint: b.Addr}
		p := poolOf(100)
		const attempts = 50
		ends := make(chan core.Ended, attempts)
		for range attempts {
			p.Start(core.Attempt{Call: &message.Call{Method: "GET", Target: "/", Host: "h", ID: "i"}, Place: at,
				Until: time.Now().Add(20 * time.Second)}, func(e core.Ended) { ends <- e })
		}
		p.Withdraw(at)
		p.gatesMu.Lock()
		assert.Empty(t, p.gates[at], "whoever has not begun by now never does")
		p.gatesMu.Unlock()
		served := 0
		for range attempts {
			switch e := <-ends; e.Result {
			case logic.OK:
				served++
			case logic.Moot:
			default:
				assert.Fail(t, "neither written nor withdrawn", "%v", e.Result)
			}
		}
		assert.Len(t, b.Seen, served)
		b.Close()
	}
}

// A backend answers the first request twice, the second time when the next request is under way. The
// next one gets its own answer: it goes on another connection while the first has not rested,
// and what came on that one meanwhile ends it.
func TestSecondAnswerIsNobodys(t *testing.T) {
	next, again := make(chan struct{}), make(chan struct{})
	b, err := standin.NewBackend(func(c *net.TCPConn, r standin.Request) bool {
		if r.URL.Path == "/first" {
			standin.Say(c, 200, "", "first")
			<-next
			standin.Say(c, 200, "", "first") // once more
			close(again)
			return true
		}
		if r.URL.Path == "/next" {
			close(next)
			<-again
		}
		return standin.Say(c, 200, "", r.URL.Path)
	})
	require.NoError(t, err)
	defer b.Close()
	p := poolOf(10)
	assert.Equal(t, restFor, p.restFor)
	ask := func(path string) string {
		ends := make(chan core.Ended, 1)
		p.Start(core.Attempt{Call: &message.Call{Method: "GET", Target: path, Host: "h", ID: "i"}, Place: core.Place{ID: "b", Endpoint: b.Addr},
			Until: time.Now().Add(20 * time.Second)}, func(e core.Ended) { ends <- e })
		e := <-ends
		require.Equal(t, logic.OK, e.Result)
		return string(e.Reply.(*message.Reply).Body)
	}
	p.restFor = time.Hour // no test hangs on how fast this machine is
	assert.Equal(t, "first", ask("/first"))
	assert.Equal(t, "/next", ask("/next"))
	p.restFor = 0
	for range 3 {
		assert.Equal(t, "/later", ask("/later"))
	}
	assert.EqualValues(t, 2, b.Opened.Load(), "the one that has rested, with nothing on it, is used again")
}
