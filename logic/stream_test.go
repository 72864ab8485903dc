package logic

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// streamNode is a node with one server and one class of streamed answers.
func streamNode(t *testing.T) *Balancer {
	cfg := testSettings()
	cfg.ReportFields = []string{ReportInFlight}
	cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Stream: true}}
	return newNode(t, cfg, Server{ID: "a", Capacity: 1, Kind: "k"})
}

// begin sends a request whose answer begins after some time.
func begin(t *testing.T, b *Balancer, now time.Duration, id RequestID, after time.Duration) {
	t.Helper()
	require.Len(t, of[Send](b.Handle(now, Request{ID: id, Class: "c", ClientTimeout: 600 * ms})), 1)
	b.Handle(now+after, Started{ID: id, Server: "a", Latency: after})
}

// total is how many latencies a curve counts.
func total(c *curve) (n float64) {
	for i := range c.done {
		n += c.done[i] + c.cut[i]
	}
	return n
}

// A stream teaches once, when it begins; at its end only a break counts, as blame.
func TestAStreamIsLearntOnce(t *testing.T) {
	for _, tt := range []struct {
		end   Result
		blame bool
	}{{OK, false}, {TimedOut, false}, {Canceled, false}, {Failed, true}, {Reset, true}} {
		b := streamNode(t)
		begin(t, b, 0, "r", 50*ms)
		b.Handle(50*ms, Started{ID: "r", Server: "a", Latency: 50 * ms}) // told twice
		s, kept := b.servers["a"], *b.classes["c"].habits
		require.EqualValues(t, 1, kept.seen, "learnt when it begins")
		curve, kind, strain, trust := s.stats, *b.kinds["k"], b.strain, b.trust
		room := b.room

		out := b.Handle(20*time.Second, Outcome{ID: "r", Result: tt.end, Final: true, Server: "a", Latency: 20 * time.Second, Report: []float64{7}})
		name := fmt.Sprint("ended by ", tt.end)
		assert.Equal(t, curve, s.stats, name)
		assert.Equal(t, kind, *b.kinds["k"], name)
		assert.Equal(t, kept.seen, b.classes["c"].seen, name)
		assert.Equal(t, kept.scale, b.classes["c"].scale, name)
		assert.Equal(t, []any{strain, trust}, []any{b.strain, b.trust}, name)
		assert.Equal(t, tt.blame, s.bad == 1, name)
		assert.Equal(t, tt.blame, s.badPart > 0, name)
		assert.EqualValues(t, 7, s.report, "the load report is heeded")
		assert.Zero(t, s.load(b.now), "no work is left behind: %s", name)
		assert.Empty(t, of[Send](out), name)
		assert.Empty(t, b.reqs, name)
		if tt.end != OK {
			assert.LessOrEqual(t, b.room, room, "%s: nothing was served, and a send that began was work", name)
		}
	}
}

// A break after the client has left is not the server's doing.
func TestAStreamWhoseClientLeftBlamesNobody(t *testing.T) {
	b := streamNode(t)
	begin(t, b, 0, "r", 50*ms)
	b.Handle(time.Second, ClientGone{ID: "r"})
	b.Handle(time.Second, Outcome{ID: "r", Result: Reset, Server: "a", Latency: time.Second})
	assert.Zero(t, b.servers["a"].bad)
	assert.Empty(t, b.reqs)
}

// An answer that never began is learnt from its outcome, as any other.
func TestAStreamThatNeverBeganIsLearntAtItsEnd(t *testing.T) {
	b := streamNode(t)
	require.Len(t, of[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms})), 1)
	b.Handle(50*ms, Outcome{ID: "r", Result: OK, Final: true, Server: "a", Latency: 50 * ms})
	assert.EqualValues(t, 1, b.classes["c"].seen)
	assert.InDelta(t, 1, total(&b.servers["a"].stats), 1e-9)
	b.Handle(60*ms, Started{ID: "r", Server: "a", Latency: 60 * ms})
	assert.EqualValues(t, 1, b.classes["c"].seen, "it has ended")
}

// Whether a stream was in time is judged by when it began, however long it lasts.
func TestAStreamIsInTimeByItsBegin(t *testing.T) {
	for _, tt := range []struct {
		name   string
		begins time.Duration
		end    Event
		missed bool
		earned bool
	}{
		{"served", 50 * ms, Outcome{ID: "r", Result: OK, Final: true}, false, true},
		{"begun late", 400 * ms, Outcome{ID: "r", Result: OK, Final: true}, true, false},
		{"client leaves while it lasts", 50 * ms, ClientGone{ID: "r"}, false, false},
		{"called off while it lasts", 50 * ms, Outcome{ID: "r", Result: Canceled, Final: true}, false, false},
		{"cut while it lasts", 50 * ms, Outcome{ID: "r", Result: TimedOut, Final: true}, false, false},
		{"broken", 50 * ms, Outcome{ID: "r", Result: Reset, Final: true}, true, false},
		{"broken, not told as final", 50 * ms, Outcome{ID: "r", Result: Reset}, true, false},
	} {
		b := streamNode(t)
		b.cfg.Classes[0].LateWorth = 0.5
		require.NoError(t, b.SetClasses(b.cfg.Classes))
		b.budget = 0
		begin(t, b, 0, "r", tt.begins)
		b.left = 0.5 // of the capacity: that an answer came soon shows that the loss is borne
		out := b.Handle(20*time.Second, tt.end)
		assert.Empty(t, of[Send](out), "%s: it goes to no other server", tt.name)
		assert.Empty(t, of[Fail](out), "%s: a begun answer is the client's", tt.name)
		assert.Empty(t, of[Reject](out), "%s: a begun answer is the client's", tt.name)
		assert.Equal(t, tt.missed, b.missed > 0, tt.name)
		assert.Equal(t, tt.earned, b.budget > 0, tt.name)
		assert.Equal(t, tt.earned, b.borne > 0, tt.name)
		assert.Empty(t, b.bySeq, tt.name)
	}
}

// An attempt that has ended begins no answer: the one that is out may still go on to another server.
func TestAnEndedAttemptBeginsNoAnswer(t *testing.T) {
	cfg := testSettings()
	cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Stream: true}}
	b := newNode(t, cfg, alike(4)...)
	first := of[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms}))
	require.Len(t, first, 1)
	second := of[Send](b.Handle(ms, Outcome{ID: "r", Result: QueueFull, Server: first[0].Server, Latency: ms}))
	require.Len(t, second, 1)
	b.Handle(2*ms, Started{ID: "r", Server: first[0].Server, Latency: 2 * ms})
	assert.Zero(t, b.classes["c"].seen)
	third := b.Handle(3*ms, Outcome{ID: "r", Attempt: 1, Result: QueueFull, Server: second[0].Server, Latency: 2 * ms})
	assert.Len(t, of[Send](third), 1)
}

// A client that leaves a stream which began in time has missed nothing, also where another server had turned
// its request away.
func TestALeftStreamIsNoMissAfterARetry(t *testing.T) {
	cfg := testSettings()
	cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Stream: true}}
	b := newNode(t, cfg, alike(4)...)
	first := of[Send](b.Handle(0, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms}))
	require.Len(t, first, 1)
	second := of[Send](b.Handle(ms, Outcome{ID: "r", Result: QueueFull, Server: first[0].Server, Latency: ms}))
	require.Len(t, second, 1)
	b.Handle(20*ms, Started{ID: "r", Attempt: 1, Server: second[0].Server, Latency: 19 * ms})
	b.Handle(20*time.Second, ClientGone{ID: "r"})
	assert.Zero(t, b.missed)
}

// One stream after the other that breaks sets its server aside, though each began well.
func TestStreamsThatBreakAtOnceSetTheirServerAside(t *testing.T) {
	b := streamNode(t)
	b.room = roomMost
	for i := range 3 {
		begin(t, b, time.Duration(i)*ms, RequestID(fmt.Sprint(i)), 20*ms)
	}
	require.False(t, b.servers["a"].aside(b.now))
	for i := range 3 {
		b.Handle(time.Second, Outcome{ID: RequestID(fmt.Sprint(i)), Result: Reset, Final: true, Server: "a", Latency: time.Second})
	}
	assert.True(t, b.servers["a"].aside(b.now))
}
