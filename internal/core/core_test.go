package core

import (
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pipitmux/internal/counters"
	"pipitmux/logic"
)

// peers are backends and a registry that note what they are asked.
type peers struct {
	mu   sync.Mutex
	went []logic.ServerID
	ends chan func(AttemptResult)
	off  atomic.Int64 // attempts called off
}

func (p *peers) Start(a Attempt, done func(AttemptResult)) func() {
	p.mu.Lock()
	p.went = append(p.went, a.Instance.ID)
	p.mu.Unlock()
	p.ends <- done
	return func() { p.off.Add(1) }
}
func (p *peers) CloseIdle(Instance) {}
func (p *peers) Withdraw(Instance)  {}
func (p *peers) Subscribe()         {}
func (p *peers) Fetch()             {}

// serve ends every attempt as served.
func (p *peers) serve() {
	for end := range p.ends {
		go end(AttemptResult{Result: logic.OK, At: time.Now()})
	}
}

type waiting chan Answer

func receive(t *testing.T, w waiting) {
	t.Helper()
	select {
	case <-w:
	case <-time.After(20 * time.Second):
		require.FailNow(t, "a request has no answer")
	}
}

func (w waiting) Answer(a Answer) { w <- a }

func newCore(t *testing.T, aim time.Duration, states ...logic.ServerState) *EventLoop {
	c, err := NewEventLoop(logic.Settings{CanCancel: true, Classes: []logic.Class{
		{Name: "topup", Effect: logic.Unsafe, Aim: aim, Deadline: 2 * aim, Worth: 8}}}, 1, counters.New(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	c.UpdateBackends(logic.ListCached, entries(states...))
	return c
}

func entries(states ...logic.ServerState) (out []Backend) {
	for i, s := range states {
		out = append(out, Backend{Server: logic.Server{ID: logic.ServerID(fmt.Sprint("s-", i)), Capacity: 1, State: s}, Endpoint: "x:1"})
	}
	return out
}

// A drain that was told after requests had been queued still goes first.
func TestDrainGoesAheadOfWaitingRequests(t *testing.T) {
	c, p := newCore(t, 5*time.Second, logic.Serving, logic.Serving), &peers{ends: make(chan func(AttemptResult), 100)}
	answers := make(waiting, 100)
	for i := range 50 {
		require.NoError(t, c.Submit(Request{ID: fmt.Sprint(i), Class: "topup", Arrived: time.Now(), Session: answers}))
	}
	c.UpdateBackends(logic.ListChanges, entries(logic.Serving, logic.Draining))
	go c.Run(p, p)
	defer c.Stop()
	go p.serve()
	for range 50 {
		receive(t, answers) // served, or refused where one backend is too few
	}
	assert.Contains(t, p.went, logic.ServerID("s-0"))
	assert.NotContains(t, p.went, logic.ServerID("s-1"))
}

// More comes in than the queue holds, while every end of an attempt has to pass
// the same queue: all get through, and each request has one answer.
func TestFullQueueLosesNothing(t *testing.T) {
	const requests = 4 * queueLength
	c, p := newCore(t, 5*time.Second, logic.Serving, logic.Serving), &peers{ends: make(chan func(AttemptResult), requests)}
	answers := make(waiting, 2*requests)
	taken := make(chan int, 100)
	for range cap(taken) {
		go func() {
			n := 0
			for range requests / cap(taken) {
				r := Request{ID: fmt.Sprintf("%p-%d", &n, n), Class: "topup", Arrived: time.Now(), Session: answers}
				if c.Submit(r) == nil {
					n++
				}
			}
			taken <- n
		}()
	}
	go c.Run(p, p)
	defer c.Stop()
	go p.serve()
	want := 0
	for range cap(taken) {
		want += <-taken
	}
	require.Greater(t, want, queueLength/2)
	for range want {
		receive(t, answers)
	}
	assert.Empty(t, answers)
}

// The queue is full and nobody serves it: a request is turned down, not held for ever.
func TestSubmitGivesUp(t *testing.T) {
	c := newCore(t, 5*time.Second, logic.Serving)
	for i := range queueLength {
		require.NoError(t, c.Submit(Request{ID: fmt.Sprint(i)}))
	}
	assert.ErrorIs(t, c.Submit(Request{ID: "one more"}), ErrQueueFull)
}

// An attempt that lasts until its request's end has timed out: the module's timer
// for that same instant must not turn it into one that was called off.
func TestTimeOutIsNotCalledOff(t *testing.T) {
	c, p := newCore(t, 100*time.Millisecond, logic.Serving), &peers{ends: make(chan func(AttemptResult), 1)}
	answers := make(waiting, 1)
	go c.Run(p, p)
	defer c.Stop()
	require.NoError(t, c.Submit(Request{ID: "r", Class: "topup", Arrived: time.Now(), Session: answers}))
	receive(t, answers)
	require.Len(t, p.ends, 1, "it was sent")
	assert.Zero(t, p.off.Load(), "calls off")
	(<-p.ends)(AttemptResult{Result: logic.TimedOut, At: time.Now()})
}
