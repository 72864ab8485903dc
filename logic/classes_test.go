package logic

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// turnedAway sends one request, lets every attempt of it be turned away unseen, and returns the servers in
// their order and the last actions.
func turnedAway(b *Balancer, now time.Duration, q Request) (tried []ServerID, last []Action) {
	last = b.Handle(now, q)
	for sends := of[Send](last); len(sends) == 1; sends = of[Send](last) {
		end := Outcome{ID: q.ID, Attempt: len(tried), Result: QueueFull, Server: sends[0].Server, Latency: ms}
		tried = append(tried, sends[0].Server)
		now += ms
		last = b.Handle(now, end)
	}
	return tried, last
}

// A class's own limit on attempts counts before that of the settings.
func TestAttemptsOfAClass(t *testing.T) {
	for _, tt := range []struct{ class, settings, want int }{{0, 4, 4}, {2, 4, 2}, {5, 4, 5}, {3, 0, 3}, {1, 4, 1}} {
		cfg := testSettings()
		cfg.MaxAttempts = tt.settings
		cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, MaxAttempts: tt.class}}
		b := newNode(t, cfg, alike(8)...)
		tried, last := turnedAway(b, ms, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms})
		assert.Len(t, tried, tt.want, "%+v", tt)
		assert.Len(t, of[Reject](last), 1, "%+v", tt)
	}
	_, err := New(Settings{Classes: []Class{{Name: "c", Aim: ms, Deadline: ms, MaxAttempts: -1}}}, 1)
	assert.Error(t, err)
}

// New classes count from then on, a known one keeps what was learned of it, and a dropped one is unknown.
func TestClassesAreReplaced(t *testing.T) {
	old := Class{Name: "kept", Aim: 300 * ms, Deadline: 600 * ms, Worth: 2}
	cfg := testSettings()
	cfg.Classes = []Class{old, {Name: "dropped", Aim: 300 * ms, Deadline: 600 * ms}}
	b := newNode(t, cfg, alike(4)...)
	for i := range 40 {
		now := time.Duration(i) * 10 * ms
		for _, s := range of[Send](b.Handle(now, Request{ID: RequestID(fmt.Sprint(i)), Class: "kept", ClientTimeout: 600 * ms, WorkHint: 5 * ms})) {
			b.Handle(now+8*ms, Outcome{ID: s.ID, Result: OK, Final: true, Server: s.Server, Latency: 8 * ms})
		}
	}
	learned := *b.classes["kept"].habits
	require.NotZero(t, learned.seen)
	require.NotZero(t, learned.hint)

	now := time.Second
	first := of[Send](b.Handle(now, Request{ID: "under way", Class: "dropped", ClientTimeout: 600 * ms}))
	require.Len(t, first, 1)
	changed := Class{Name: "kept", Aim: 100 * ms, Deadline: 400 * ms, Worth: 6, Effect: Unsafe}
	require.NoError(t, b.SetClasses([]Class{changed, {Name: "added", Aim: 300 * ms, Deadline: 600 * ms, Worth: 1}}))

	kept := b.classes["kept"]
	assert.Equal(t, changed, kept.Class)
	assert.Equal(t, learned, *kept.habits)
	assert.Equal(t, newClass(changed).r, kept.r)
	assert.Equal(t, 6*exampleV/exampleR, kept.v)
	assert.Equal(t, 6*retryPrice*exampleC2/exampleR, kept.c2)

	assert.Len(t, of[Send](b.Handle(now, Request{ID: "new", Class: "added", ClientTimeout: 600 * ms})), 1)
	assert.Len(t, of[Reject](b.Handle(now, Request{ID: "late", Class: "dropped", ClientTimeout: 600 * ms})), 1)
	again := of[Send](b.Handle(now+ms, Outcome{ID: "under way", Result: QueueFull, Server: first[0].Server, Latency: ms}))
	require.Len(t, again, 1, "a request under way keeps its class")
	assert.NotEqual(t, first[0].Server, again[0].Server)
}

// What a request under way tells after the change counts for the class as it is now; its rules stay the old.
func TestARequestUnderWayTeachesTheNewClass(t *testing.T) {
	class := Class{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Effect: Unsafe}
	cfg := testSettings()
	cfg.SecondCopies = false
	cfg.Classes = []Class{class}
	b := newNode(t, cfg, alike(4)...)
	for _, id := range []RequestID{"served", "failed"} {
		require.Len(t, of[Send](b.Handle(ms, Request{ID: id, Class: "c", ClientTimeout: 600 * ms})), 1)
	}
	class.Effect = Safe
	require.NoError(t, b.SetClasses([]Class{class}))
	b.Handle(9*ms, Outcome{ID: "served", Result: OK, Final: true, Latency: 8 * ms})
	assert.EqualValues(t, 1, b.classes["c"].seen)
	out := b.Handle(9*ms, Outcome{ID: "failed", Result: Failed, Latency: 8 * ms})
	assert.Len(t, of[Fail](out), 1, "it was sent as one that must not run twice")
}

// Classes that New would not take are not taken either, and those so far stay.
func TestImpossibleClassesChangeNothing(t *testing.T) {
	for name, bad := range map[string][]Class{
		"none":                   nil,
		"no name":                {{Aim: ms, Deadline: ms}},
		"no aim":                 {{Name: "c", Deadline: ms}},
		"keyed without a window": {{Name: "c", Aim: ms, Deadline: ms, Effect: Keyed}},
		"second one bad":         {{Name: "c", Aim: ms, Deadline: ms}, {Name: "d", Aim: ms, Deadline: ms, Worth: -1}},
	} {
		b := newNode(t, testSettings(), alike(2)...)
		before := b.classes
		assert.Error(t, b.SetClasses(bad), name)
		assert.Equal(t, before, b.classes, name)
		made, err := New(Settings{Classes: bad}, 1)
		assert.Error(t, err, name)
		assert.Nil(t, made, name)
	}
}
