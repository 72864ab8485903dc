package logic

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// With Class.Prompt the timeout leaves the alternative room within that time: the first server answers 80% by
// 0.25 s and nothing later, the second all within 0.25 s. Of 0.6 s any timeout from 0.25 to 0.35 s is best, of
// the whole second any up to 0.75 s.
func TestPromptClassHasEarlierTimeout(t *testing.T) {
	for _, prompt := range []time.Duration{0, 600 * ms, 5 * time.Second} {
		for range 20 { // the timeout has jitter
			b, r, first, alt := timeoutFixture(t, 0)
			r.class.Prompt = prompt
			setLatencies(first, 1e6, 0.21, 0.21, 0.21, 0.21, math.Inf(1))
			setLatencies(alt, 1e6, 0.21)
			timeout, got, pay := b.bestTimeout(r, first, time.Second)
			require.Equal(t, alt, got)
			assert.GreaterOrEqual(t, timeout, 190*ms)
			if prompt == 600*ms {
				assert.LessOrEqual(t, timeout, 400*ms)
			}
			assert.InDelta(t, 18, pay, 0.7, "the payoff over the whole time")
		}
	}
}

// A first server that answers in time but not promptly is waited for if no alternative is prompt.
func TestPromptClassWaitsWithoutPromptAlternative(t *testing.T) {
	b, r, first, alt := timeoutFixture(t, 0)
	r.class.Prompt = 100 * ms
	setLatencies(first, 1e6, 0.5)
	setLatencies(alt, 1e6, 0.5)
	timeout, got, pay := b.bestTimeout(r, first, time.Second)
	assert.Nil(t, got)
	assert.Equal(t, time.Second, timeout)
	assert.InDelta(t, b.payoff(r, first, 0), pay, 1e-9)
}

// newResumableBalancer returns a node with servers known to be fast and a class of streams.
func newResumableBalancer(t *testing.T, effect Effect, resumable bool) *Balancer {
	cfg := testSettings()
	cfg.SecondCopies, cfg.CanCancel = true, true
	cfg.Classes = []Class{{Name: "c", Aim: time.Second, Deadline: time.Second, Prompt: 200 * ms, Usual: 20 * ms, Effect: effect,
		Stream: true, Resumable: resumable, MaxAttempts: 2}}
	return newTestBalancer(t, cfg, equalServers(3)...)
}

func sendFirst(t *testing.T, b *Balancer) Send {
	t.Helper()
	sends := actionsOf[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: time.Second}))
	require.Len(t, sends, 1)
	return sends[0]
}

// A stream that broke before its start goes to another server only if it may be resumed.
func TestOnlyResumableStreamsAreRetried(t *testing.T) {
	for _, tt := range []struct {
		effect    Effect
		resumable bool
		sends     int
	}{{Safe, true, 1}, {Safe, false, 0}, {Unsafe, false, 0}, {Unsafe, true, 0}} {
		b := newResumableBalancer(t, tt.effect, tt.resumable)
		first := sendFirst(t, b)
		retries := actionsOf[Send](b.Handle(30*ms, Outcome{ID: "r", Result: Reset, Server: first.Server, Latency: 30 * ms}))
		require.Len(t, retries, tt.sends)
		if tt.sends > 0 {
			assert.NotEqual(t, first.Server, retries[0].Server)
		}
	}
}

// Of two copies the first that starts streaming is the answer, and the other is canceled.
func TestSecondCopyOfStreamIsCanceled(t *testing.T) {
	for begins := range 2 {
		b := newResumableBalancer(t, Safe, true)
		first := sendFirst(t, b)
		var second []Send
		for now := 10 * ms; now < 200*ms && len(second) == 0; now += 10 * ms {
			second = actionsOf[Send](b.Handle(now, Wake{Token: 2*b.seq + 1}))
		}
		require.Len(t, second, 1, "a copy is sent promptly")
		servers := []ServerID{first.Server, second[0].Server}
		out := b.Handle(250*ms, Started{ID: "r", Attempt: begins, Server: servers[begins], Latency: 20 * ms})
		assert.Equal(t, []Cancel{{ID: "r", Attempt: 1 - begins}}, actionsOf[Cancel](out))
		assert.Empty(t, actionsOf[Send](b.Handle(251*ms, Outcome{ID: "r", Attempt: 1 - begins, Result: Canceled, Server: servers[1-begins]})))
		assert.Empty(t, actionsOf[Fail](b.Handle(900*ms, Outcome{ID: "r", Attempt: begins, Result: OK, Final: true, Server: servers[begins]})))
		assert.Empty(t, b.requests)
	}
}

// A request may be allowed fewer attempts than its class.
func TestRequestLimitsAttempts(t *testing.T) {
	b := newResumableBalancer(t, Safe, true)
	sends := actionsOf[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: time.Second, MaxAttempts: 1}))
	require.Len(t, sends, 1)
	out := b.Handle(30*ms, Outcome{ID: "r", Result: QueueFull, Server: sends[0].Server, Latency: 30 * ms})
	assert.Empty(t, actionsOf[Send](out))
	assert.Len(t, actionsOf[Reject](out), 1)
}

// The server that a request is to avoid is used only if it is the only one.
func TestAvoidedServerIsUsedOnlyIfAlone(t *testing.T) {
	for seq := range 50 {
		b := newResumableBalancer(t, Safe, true)
		id := RequestID(strconv.Itoa(seq))
		sends := actionsOf[Send](b.Handle(0, Request{ID: id, Class: "c", ClientTimeout: time.Second, Avoid: "s1", Preferred: []ServerID{"s1"}}))
		require.Len(t, sends, 1)
		assert.NotEqual(t, ServerID("s1"), sends[0].Server)
	}
	cfg := testSettings()
	b := newTestBalancer(t, cfg, Server{ID: "only", Capacity: 1})
	sends := actionsOf[Send](b.Handle(0, Request{ID: "r", Class: cfg.Classes[0].Name, ClientTimeout: time.Second, Avoid: "only"}))
	assert.Len(t, sends, 1)
}
