package logic

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newStreamBalancer returns a node with one server and one class of streamed answers.
func newStreamBalancer(t *testing.T) *Balancer {
	cfg := testSettings()
	cfg.ReportFields = []string{ReportInFlight}
	cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Stream: true}}
	return newTestBalancer(t, cfg, Server{ID: "a", Capacity: 1, Kind: "k"})
}

// startStream sends a request whose answer starts after some time.
func startStream(t *testing.T, b *Balancer, now time.Duration, id RequestID, after time.Duration) {
	t.Helper()
	require.Len(t, actionsOf[Send](b.Handle(now, Request{ID: id, Class: "c", ClientTimeout: 600 * ms})), 1)
	b.Handle(now+after, Started{ID: id, Server: "a", Latency: after})
}

// countLatencies returns the number of latencies in a curve.
func countLatencies(c *latencyCurve) (n float64) {
	for i := range c.answered {
		n += c.answered[i] + c.censored[i]
	}
	return n
}

// A stream is learned from once, when it starts; at its end only a break counts, as a failure.
func TestStreamIsLearnedOnce(t *testing.T) {
	for _, tt := range []struct {
		end   Result
		blame bool
	}{{OK, false}, {TimedOut, false}, {Canceled, false}, {Failed, true}, {Reset, true}} {
		b := newStreamBalancer(t)
		startStream(t, b, 0, "r", 50*ms)
		b.Handle(50*ms, Started{ID: "r", Server: "a", Latency: 50 * ms}) // reported twice
		s, kept := b.servers["a"], *b.classes["c"].classStats
		require.EqualValues(t, 1, kept.samples, "learned when it starts")
		latencies, kind, strain, trust := s.latencies, *b.kinds["k"], b.fleetSlowdown, b.reports
		room := b.sendTokens

		out := b.Handle(20*time.Second, Outcome{ID: "r", Result: tt.end, Final: true, Server: "a", Latency: 20 * time.Second, Report: []float64{7}})
		name := fmt.Sprint("ended by ", tt.end)
		assert.Equal(t, latencies, s.latencies, name)
		assert.Equal(t, kind, *b.kinds["k"], name)
		assert.Equal(t, kept.samples, b.classes["c"].samples, name)
		assert.Equal(t, kept.median, b.classes["c"].median, name)
		assert.Equal(t, []any{strain, trust}, []any{b.fleetSlowdown, b.reports}, name)
		assert.Equal(t, tt.blame, s.failures == 1, name)
		assert.Equal(t, tt.blame, s.failureShare > 0, name)
		assert.EqualValues(t, 7, s.reportedLoad, "the load report is used")
		assert.Zero(t, s.load(b.now), "no load is left: %s", name)
		assert.Empty(t, actionsOf[Send](out), name)
		assert.Empty(t, b.requests, name)
		if tt.end != OK {
			assert.LessOrEqual(t, b.sendTokens, room, "%s: nothing was served, and a stream that started was load", name)
		}
	}
}

// A break after the client has left is not the server's failure.
func TestStreamAbandonedByClientIsNoFailure(t *testing.T) {
	b := newStreamBalancer(t)
	startStream(t, b, 0, "r", 50*ms)
	b.Handle(time.Second, ClientGone{ID: "r"})
	b.Handle(time.Second, Outcome{ID: "r", Result: Reset, Server: "a", Latency: time.Second})
	assert.Zero(t, b.servers["a"].failures)
	assert.Empty(t, b.requests)
}

// An answer that never started streaming is learned from its outcome like any other.
func TestStreamThatNeverStartedIsLearnedAtItsEnd(t *testing.T) {
	b := newStreamBalancer(t)
	require.Len(t, actionsOf[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms})), 1)
	b.Handle(50*ms, Outcome{ID: "r", Result: OK, Final: true, Server: "a", Latency: 50 * ms})
	assert.EqualValues(t, 1, b.classes["c"].samples)
	assert.InDelta(t, 1, countLatencies(&b.servers["a"].latencies), 1e-9)
	b.Handle(60*ms, Started{ID: "r", Server: "a", Latency: 60 * ms})
	assert.EqualValues(t, 1, b.classes["c"].samples, "it has ended")
}

// Whether a stream was in time depends on when it started, however long it lasts.
func TestStreamIsInTimeByItsStart(t *testing.T) {
	for _, tt := range []struct {
		name   string
		begins time.Duration
		end    Event
		missed bool
		earned bool
	}{
		{"served", 50 * ms, Outcome{ID: "r", Result: OK, Final: true}, false, true},
		{"started late", 400 * ms, Outcome{ID: "r", Result: OK, Final: true}, true, false},
		{"client leaves during the stream", 50 * ms, ClientGone{ID: "r"}, false, false},
		{"canceled during the stream", 50 * ms, Outcome{ID: "r", Result: Canceled, Final: true}, false, false},
		{"timed out during the stream", 50 * ms, Outcome{ID: "r", Result: TimedOut, Final: true}, false, false},
		{"broken", 50 * ms, Outcome{ID: "r", Result: Reset, Final: true}, true, false},
		{"broken, not reported as final", 50 * ms, Outcome{ID: "r", Result: Reset}, true, false},
	} {
		b := newStreamBalancer(t)
		b.cfg.Classes[0].LateWorth = 0.5
		require.NoError(t, b.SetClasses(b.cfg.Classes))
		b.retryTokens = 0
		startStream(t, b, 0, "r", tt.begins)
		b.capacityLeft = 0.5 // an answer that came soon shows that the loss is tolerated
		out := b.Handle(20*time.Second, tt.end)
		assert.Empty(t, actionsOf[Send](out), "%s: no retry", tt.name)
		assert.Empty(t, actionsOf[Fail](out), "%s: a started stream belongs to the client", tt.name)
		assert.Empty(t, actionsOf[Reject](out), "%s: a started stream belongs to the client", tt.name)
		assert.Equal(t, tt.missed, b.missedShare > 0, tt.name)
		assert.Equal(t, tt.earned, b.retryTokens > 0, tt.name)
		assert.Equal(t, tt.earned, b.toleratedLoss > 0, tt.name)
		assert.Empty(t, b.bySeq, tt.name)
	}
}

// An attempt that has ended starts no answer: the open one may still move to another server.
func TestEndedAttemptCannotStartStream(t *testing.T) {
	cfg := testSettings()
	cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Stream: true}}
	b := newTestBalancer(t, cfg, equalServers(4)...)
	first := actionsOf[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms}))
	require.Len(t, first, 1)
	second := actionsOf[Send](b.Handle(ms, Outcome{ID: "r", Result: QueueFull, Server: first[0].Server, Latency: ms}))
	require.Len(t, second, 1)
	b.Handle(2*ms, Started{ID: "r", Server: first[0].Server, Latency: 2 * ms})
	assert.Zero(t, b.classes["c"].samples)
	third := b.Handle(3*ms, Outcome{ID: "r", Attempt: 1, Result: QueueFull, Server: second[0].Server, Latency: 2 * ms})
	assert.Len(t, actionsOf[Send](third), 1)
}

// A client that leaves a stream which started in time missed nothing, even if another server had rejected its
// request before.
func TestAbandonedStreamIsNoMissAfterRetry(t *testing.T) {
	cfg := testSettings()
	cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Stream: true}}
	b := newTestBalancer(t, cfg, equalServers(4)...)
	first := actionsOf[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms}))
	require.Len(t, first, 1)
	second := actionsOf[Send](b.Handle(ms, Outcome{ID: "r", Result: QueueFull, Server: first[0].Server, Latency: ms}))
	require.Len(t, second, 1)
	b.Handle(20*ms, Started{ID: "r", Attempt: 1, Server: second[0].Server, Latency: 19 * ms})
	b.Handle(20*time.Second, ClientGone{ID: "r"})
	assert.Zero(t, b.missedShare)
}

// Several streams that break one after the other eject their server, though each started well.
func TestBrokenStreamsEjectTheirServer(t *testing.T) {
	b := newStreamBalancer(t)
	b.sendTokens = maxSendTokens
	for i := range 3 {
		startStream(t, b, time.Duration(i)*ms, RequestID(fmt.Sprint(i)), 20*ms)
	}
	require.False(t, b.servers["a"].ejected(b.now))
	for i := range 3 {
		b.Handle(time.Second, Outcome{ID: RequestID(fmt.Sprint(i)), Result: Reset, Final: true, Server: "a", Latency: time.Second})
	}
	assert.True(t, b.servers["a"].ejected(b.now))
}
