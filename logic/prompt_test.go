package logic

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Where an answer is wanted promptly, the time-out leaves the alternative room within that time: the first
// server answers 80% by 0.25 s and nothing later, the second all within 0.25 s. Of 0.6 s any time-out from
// 0.25 to 0.35 s is best, of the whole second any up to 0.75 s.
func TestPromptnessBringsTheTimeOutForward(t *testing.T) {
	for _, prompt := range []time.Duration{0, 600 * ms, 5 * time.Second} {
		for range 20 { // the time-out is spread
			b, r, first, alt := optimum(t, 0)
			r.class.Prompt = prompt
			answers(first, 1e6, 0.21, 0.21, 0.21, 0.21, math.Inf(1))
			answers(alt, 1e6, 0.21)
			theta, got, pay := b.theta(r, first, time.Second)
			require.Equal(t, alt, got)
			assert.GreaterOrEqual(t, theta, 190*ms)
			if prompt == 600*ms {
				assert.LessOrEqual(t, theta, 400*ms)
			}
			assert.InDelta(t, 18, pay, 0.7, "what it pays in the whole time")
		}
	}
}

// A first server that answers in time but not promptly is waited for, where no alternative is prompt.
func TestPromptnessChangesNothingWithoutAPromptAlternative(t *testing.T) {
	b, r, first, alt := optimum(t, 0)
	r.class.Prompt = 100 * ms
	answers(first, 1e6, 0.5)
	answers(alt, 1e6, 0.5)
	theta, got, pay := b.theta(r, first, time.Second)
	assert.Nil(t, got)
	assert.Equal(t, time.Second, theta)
	assert.InDelta(t, b.plain(r, first, 0), pay, 1e-9)
}

// resumableNode has servers that are known to be quick, and a class of streams.
func resumableNode(t *testing.T, effect Effect, resumable bool) *Balancer {
	cfg := testSettings()
	cfg.SecondCopies, cfg.CanCancel = true, true
	cfg.Classes = []Class{{Name: "c", Aim: time.Second, Deadline: time.Second, Prompt: 200 * ms, Usual: 20 * ms, Effect: effect,
		Stream: true, Resumable: resumable, MaxAttempts: 2}}
	return newNode(t, cfg, alike(3)...)
}

func sendFirst(t *testing.T, b *Balancer) Send {
	t.Helper()
	sends := of[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: time.Second}))
	require.Len(t, sends, 1)
	return sends[0]
}

// A stream that broke before its begin goes to another server where it may be taken up, and only there.
func TestOnlyResumableStreamsAreSentAgain(t *testing.T) {
	for _, tt := range []struct {
		effect    Effect
		resumable bool
		sends     int
	}{{Safe, true, 1}, {Safe, false, 0}, {Unsafe, false, 0}, {Unsafe, true, 0}} {
		b := resumableNode(t, tt.effect, tt.resumable)
		first := sendFirst(t, b)
		again := of[Send](b.Handle(30*ms, Outcome{ID: "r", Result: Reset, Server: first.Server, Latency: 30 * ms}))
		require.Len(t, again, tt.sends)
		if tt.sends > 0 {
			assert.NotEqual(t, first.Server, again[0].Server)
		}
	}
}

// Of two copies the first that begins is the answer, and the other is called off.
func TestTheOtherCopyOfAStreamIsCalledOff(t *testing.T) {
	for begins := range 2 {
		b := resumableNode(t, Safe, true)
		first := sendFirst(t, b)
		var second []Send
		for now := 10 * ms; now < 200*ms && len(second) == 0; now += 10 * ms {
			second = of[Send](b.Handle(now, Wake{Token: 2*b.seq + 1}))
		}
		require.Len(t, second, 1, "a copy goes out promptly")
		servers := []ServerID{first.Server, second[0].Server}
		out := b.Handle(250*ms, Started{ID: "r", Attempt: begins, Server: servers[begins], Latency: 20 * ms})
		assert.Equal(t, []Cancel{{ID: "r", Attempt: 1 - begins}}, of[Cancel](out))
		assert.Empty(t, of[Send](b.Handle(251*ms, Outcome{ID: "r", Attempt: 1 - begins, Result: Canceled, Server: servers[1-begins]})))
		assert.Empty(t, of[Fail](b.Handle(900*ms, Outcome{ID: "r", Attempt: begins, Result: OK, Final: true, Server: servers[begins]})))
		assert.Empty(t, b.reqs)
	}
}

// A request may be allowed fewer attempts than its class.
func TestARequestsOwnLimitOfAttempts(t *testing.T) {
	b := resumableNode(t, Safe, true)
	sends := of[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: time.Second, MaxAttempts: 1}))
	require.Len(t, sends, 1)
	out := b.Handle(30*ms, Outcome{ID: "r", Result: QueueFull, Server: sends[0].Server, Latency: 30 * ms})
	assert.Empty(t, of[Send](out))
	assert.Len(t, of[Reject](out), 1)
}

// A request keeps away from the server that it is to avoid, unless that is the only one.
func TestAvoidedServerGetsNothingWhereThereAreOthers(t *testing.T) {
	for seq := range 50 {
		b := resumableNode(t, Safe, true)
		id := RequestID(strconv.Itoa(seq))
		sends := of[Send](b.Handle(0, Request{ID: id, Class: "c", ClientTimeout: time.Second, Avoid: "s1", Preferred: []ServerID{"s1"}}))
		require.Len(t, sends, 1)
		assert.NotEqual(t, ServerID("s1"), sends[0].Server)
	}
	cfg := testSettings()
	b := newNode(t, cfg, Server{ID: "only", Capacity: 1})
	sends := of[Send](b.Handle(0, Request{ID: "r", Class: cfg.Classes[0].Name, ClientTimeout: time.Second, Avoid: "only"}))
	assert.Len(t, sends, 1)
}
