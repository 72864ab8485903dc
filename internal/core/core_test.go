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

	"oakseam/internal/counters"
	"oakseam/logic"
)

// fakeTransport is a transport and a registry that record their calls.
type fakeTransport struct {
	mu       sync.Mutex
	targets  []logic.ServerID // of the attempts
	results  chan func(AttemptResult)
	canceled atomic.Int64 // attempts
}

func (f *fakeTransport) Start(a Attempt, done func(AttemptResult)) func() {
	f.mu.Lock()
	f.targets = append(f.targets, a.Instance.ID)
	f.mu.Unlock()
	f.results <- done
	return func() { f.canceled.Add(1) }
}
func (f *fakeTransport) CloseIdle(Instance) {}
func (f *fakeTransport) Withdraw(Instance)  {}
func (f *fakeTransport) Subscribe()         {}
func (f *fakeTransport) Fetch()             {}

// serve ends every attempt with OK.
func (f *fakeTransport) serve() {
	for finish := range f.results {
		go finish(AttemptResult{Result: logic.OK, At: time.Now()})
	}
}

type answerChan chan Answer

func receive(t *testing.T, answers answerChan) {
	t.Helper()
	select {
	case <-answers:
	case <-time.After(20 * time.Second):
		require.FailNow(t, "a request got no answer")
	}
}

func (c answerChan) Answer(a Answer) { c <- a }

func newLoop(t *testing.T, targetTime time.Duration, states ...logic.ServerState) *EventLoop {
	loop, err := NewEventLoop(logic.Settings{CanCancel: true, Classes: []logic.Class{
		{Name: "topup", Effect: logic.Unsafe, Aim: targetTime, Deadline: 2 * targetTime, Worth: 8}}}, 1, counters.New(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	loop.UpdateBackends(logic.ListCached, testBackends(states...))
	return loop
}

func testBackends(states ...logic.ServerState) (backends []Backend) {
	for i, s := range states {
		backends = append(backends, Backend{Server: logic.Server{ID: logic.ServerID(fmt.Sprint("s-", i)), Capacity: 1, State: s}, Endpoint: "x:1"})
	}
	return backends
}

// A drain that arrives after requests were queued must be handled before them: else they
// would be sent to the draining backend.
func TestDrainIsHandledBeforeQueuedRequests(t *testing.T) {
	loop, transport := newLoop(t, 5*time.Second, logic.Serving, logic.Serving), &fakeTransport{results: make(chan func(AttemptResult), 100)}
	answers := make(answerChan, 100)
	for i := range 50 {
		require.NoError(t, loop.Submit(Request{ID: fmt.Sprint(i), Class: "topup", Arrived: time.Now(), Session: answers}))
	}
	loop.UpdateBackends(logic.ListChanges, testBackends(logic.Serving, logic.Draining))
	go loop.Run(transport, transport)
	defer loop.Stop()
	go transport.serve()
	for range 50 {
		receive(t, answers) // served, or rejected if one backend is too few
	}
	assert.Contains(t, transport.targets, logic.ServerID("s-0"))
	assert.NotContains(t, transport.targets, logic.ServerID("s-1"))
}

// More requests arrive than the queue holds, while the results of attempts need the same
// queue. Nothing may be lost: each request gets one answer.
func TestFullQueueLosesNoEvent(t *testing.T) {
	const requests = 4 * maxQueuedEvents
	loop, transport := newLoop(t, 5*time.Second, logic.Serving, logic.Serving), &fakeTransport{results: make(chan func(AttemptResult), requests)}
	answers := make(answerChan, 2*requests)
	accepted := make(chan int, 100)
	for range cap(accepted) {
		go func() {
			count := 0
			for range requests / cap(accepted) {
				r := Request{ID: fmt.Sprintf("%p-%d", &count, count), Class: "topup", Arrived: time.Now(), Session: answers}
				if loop.Submit(r) == nil {
					count++
				}
			}
			accepted <- count
		}()
	}
	go loop.Run(transport, transport)
	defer loop.Stop()
	go transport.serve()
	want := 0
	for range cap(accepted) {
		want += <-accepted
	}
	require.Greater(t, want, maxQueuedEvents/2)
	for range want {
		receive(t, answers)
	}
	assert.Empty(t, answers)
}

// If the queue is full and nobody empties it, Submit must fail instead of blocking forever.
func TestSubmitFailsWhenQueueStaysFull(t *testing.T) {
	loop := newLoop(t, 5*time.Second, logic.Serving)
	for i := range maxQueuedEvents {
		require.NoError(t, loop.Submit(Request{ID: fmt.Sprint(i)}))
	}
	assert.ErrorIs(t, loop.Submit(Request{ID: "one more"}), ErrQueueFull)
}

// An attempt that lasts until its request's deadline has timed out. The module's timer for
// that same instant must not cancel it: the backend would not be blamed.
func TestTimedOutAttemptIsNotCanceled(t *testing.T) {
	loop, transport := newLoop(t, 100*time.Millisecond, logic.Serving), &fakeTransport{results: make(chan func(AttemptResult), 1)}
	answers := make(answerChan, 1)
	go loop.Run(transport, transport)
	defer loop.Stop()
	require.NoError(t, loop.Submit(Request{ID: "r", Class: "topup", Arrived: time.Now(), Session: answers}))
	receive(t, answers)
	require.Len(t, transport.results, 1, "attempts sent")
	assert.Zero(t, transport.canceled.Load(), "attempts canceled")
	(<-transport.results)(AttemptResult{Result: logic.TimedOut, At: time.Now()})
}
