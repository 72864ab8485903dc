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

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/fakes"
	"oakseam/internal/message"
	"oakseam/logic"
)

// poolOf returns a Pool of at most maxConns connections, none of which times out in a test.
func poolOf(maxConns int) *Pool {
	return New(testCodec{}, Options{ConnectTimeout: 10 * time.Second, IdleTimeout: time.Hour, MaxConns: maxConns, Budget: message.NewBudget(1 << 20), OmitHeader: true},
		counters.New(), slog.New(slog.DiscardHandler))
}

// What happens while an attempt connects must be respected before its first byte is written: none
// goes to a server that is being removed, for a client that has left, or after the deduplication
// window. A connection that nothing was written on is kept for the next attempt, unless its server
// is being removed.
func TestNothingIsWrittenIfConditionsChangeWhileConnecting(t *testing.T) {
	for name, tt := range map[string]struct {
		before time.Duration // latest begin of the attempt, from now; 0: none
		event  func(p *Pool, instance core.Instance, cancel func(), left *atomic.Bool)
		want   logic.Result
		left   bool // the end must say that the client has left
		kept   bool // the connection must be kept
	}{
		"nothing":           {0, func(*Pool, core.Instance, func(), *atomic.Bool) {}, logic.OK, false, true},
		"server is removed": {0, func(p *Pool, instance core.Instance, _ func(), _ *atomic.Bool) { p.Withdraw(instance) }, logic.NotSent, false, false},
		"another server is removed": {0, func(p *Pool, instance core.Instance, _ func(), _ *atomic.Bool) {
			instance.Started++
			p.Withdraw(instance)
		}, logic.OK, false, true},
		"client leaves":  {0, func(_ *Pool, _ core.Instance, _ func(), left *atomic.Bool) { left.Store(true) }, logic.NotSent, true, true},
		"canceled":       {0, func(_ *Pool, _ core.Instance, cancel func(), _ *atomic.Bool) { cancel() }, logic.Canceled, false, true},
		"window is over": {-1, func(*Pool, core.Instance, func(), *atomic.Bool) {}, logic.NotSent, false, true},
		"window is open": {time.Hour, func(*Pool, core.Instance, func(), *atomic.Bool) {}, logic.OK, false, true},
		"client leaves and server is removed": {0, func(p *Pool, instance core.Instance, _ func(), left *atomic.Bool) {
			left.Store(true)
			p.Withdraw(instance)
		}, logic.NotSent, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := fakes.NewBackend(fakes.OK)
			require.NoError(t, err)
			defer b.Close()
			instance := core.Instance{ID: "b", Endpoint: b.Addr}
			p := poolOf(2)
			dialing := make(chan struct{})
			connect := make(chan struct{})
			dial := p.dial
			p.dial = func(_ context.Context, network, addr string) (net.Conn, error) {
				close(dialing)
				<-connect // the connection comes up even if its attempt no longer waits
				return dial(context.Background(), network, addr)
			}
			var left atomic.Bool
			call := &message.Call{Method: "GET", Target: "/", Host: "h", ID: "i", ClientGone: left.Load}
			a := core.Attempt{Call: call, Instance: instance, Deadline: time.Now().Add(20 * time.Second)}
			if tt.before != 0 {
				a.StartBefore = time.Now().Add(tt.before)
			}
			ends := make(chan core.AttemptResult, 2)
			cancel := p.Start(a, func(e core.AttemptResult) { ends <- e })
			<-dialing
			tt.event(p, instance, cancel, &left)
			close(connect)
			end := <-ends
			assert.Equal(t, tt.want, end.Result)
			assert.Equal(t, tt.left, end.ClientGone)
			sent := 0
			if tt.want == logic.OK {
				sent = 1
			}
			assert.Len(t, b.Requests, sent)
			assert.Empty(t, p.pending)

			p.mu.Lock()
			defer p.mu.Unlock()
			assert.Equal(t, tt.kept, len(p.idle[instance]) == 1, "the first connection is idle in the pool")
		})
	}
}

// Withdraw races with attempts that begin: each attempt must have been written before it or never
// be written.
func TestWithdrawRacesWithBegin(t *testing.T) {
	for range 20 {
		b, err := fakes.NewBackend(fakes.OK)
		require.NoError(t, err)
		instance := core.Instance{ID: "b", Endpoint: b.Addr}
		p := poolOf(100)
		const attempts = 50
		ends := make(chan core.AttemptResult, attempts)
		for range attempts {
			p.Start(core.Attempt{Call: &message.Call{Method: "GET", Target: "/", Host: "h", ID: "i"}, Instance: instance,
				Deadline: time.Now().Add(20 * time.Second)}, func(e core.AttemptResult) { ends <- e })
		}
		p.Withdraw(instance)
		p.pendingMu.Lock()
		assert.Empty(t, p.pending[instance], "an attempt that has not begun by now must never begin")
		p.pendingMu.Unlock()
		served := 0
		for range attempts {
			switch e := <-ends; e.Result {
			case logic.OK:
				served++
			case logic.NotSent:
			default:
				assert.Fail(t, "the attempt was neither written nor withdrawn", "%v", e.Result)
			}
		}
		assert.Len(t, b.Requests, served)
		b.Close()
	}
}

// A faulty server responds twice to the first request, the second time during the next request. The
// next request must get its own response: it uses another connection until the reuse delay of the
// first one is over, and the unexpected bytes close the first one.
func TestSecondResponseIsNotTakenForTheNextRequest(t *testing.T) {
	nextArrived := make(chan struct{})
	respondedAgain := make(chan struct{})
	b, err := fakes.NewBackend(func(c *net.TCPConn, r fakes.Request) bool {
		if r.URL.Path == "/first" {
			fakes.WriteResponse(c, 200, "", "first")
			<-nextArrived
			fakes.WriteResponse(c, 200, "", "first") // the same response again
			close(respondedAgain)
			return true
		}
		if r.URL.Path == "/next" {
			close(nextArrived)
			<-respondedAgain
		}
		return fakes.WriteResponse(c, 200, "", r.URL.Path)
	})
	require.NoError(t, err)
	defer b.Close()
	p := poolOf(10)
	assert.Equal(t, reuseDelay, p.reuseDelay)
	ask := func(path string) string {
		ends := make(chan core.AttemptResult, 1)
		p.Start(core.Attempt{Call: &message.Call{Method: "GET", Target: path, Host: "h", ID: "i"}, Instance: core.Instance{ID: "b", Endpoint: b.Addr},
			Deadline: time.Now().Add(20 * time.Second)}, func(e core.AttemptResult) { ends <- e })
		e := <-ends
		require.Equal(t, logic.OK, e.Result)
		return string(e.Reply.(*message.Reply).Body)
	}
	p.reuseDelay = time.Hour // long, so that the test does not depend on the speed of the machine
	assert.Equal(t, "first", ask("/first"))
	assert.Equal(t, "/next", ask("/next"))
	p.reuseDelay = 0
	for range 3 {
		assert.Equal(t, "/later", ask("/later"))
	}
	assert.EqualValues(t, 2, b.Opened.Load(), "the connection past its reuse delay, with nothing received on it, is used again")
}
