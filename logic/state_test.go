package logic

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A Balancer that imports learned state has the same statistics of classes and servers, except of a server that was
// restarted. Invalid state is rejected as a whole.
func TestLearnedStateIsImported(t *testing.T) {
	settings := Settings{Classes: []Class{{Name: "c", Aim: time.Second, Deadline: time.Second, Effect: Unsafe}}, Nodes: 1}
	servers := []Server{{ID: "a", Capacity: 1, Kind: "k"}, {ID: "b", Capacity: 1, Kind: "k", StartedAt: 1}}
	old, err := New(settings, 1)
	require.NoError(t, err)
	now := time.Hour
	old.Handle(now, ServerList{Kind: ListFull, Servers: servers})
	for i := range 50 {
		id := RequestID(strings.Repeat("i", i+1))
		for _, a := range old.Handle(now, Request{ID: id, Class: "c", ClientTimeout: time.Second}) {
			if s, ok := a.(Send); ok {
				now += 20 * time.Millisecond
				old.Handle(now, Outcome{ID: id, Result: OK, Server: s.Server, Latency: 20 * time.Millisecond, Final: true})
			}
		}
	}
	text, err := old.ExportLearned()
	require.NoError(t, err)
	next, err := New(settings, 2)
	require.NoError(t, err)
	servers[1].StartedAt = 2
	next.Handle(now, ServerList{Kind: ListFull, Servers: servers})
	for _, bad := range []string{"{", "{}", strings.Replace(string(text), `"Usual":1`, `"Usual":7`, 1), strings.Replace(string(text), `"Done":[`, `"Done":[-1,`, 1),
		strings.Replace(string(text), `"Brief":0`, `"Brief":2`, 1)} {
		assert.Error(t, next.ImportLearned([]byte(bad)), "%.40q", bad)
		assert.Zero(t, next.classes["c"].samples)
	}
	require.NoError(t, next.ImportLearned(text))
	assert.Equal(t, old.classes["c"].median, next.classes["c"].median)
	assert.Equal(t, old.servedWork, next.servedWork)
	assert.Equal(t, old.servers["a"].latencies.answered, next.servers["a"].latencies.answered)
	assert.NotZero(t, old.servers["b"].latencies.answered)
	assert.Zero(t, next.servers["b"].latencies.answered, "a new process")
	exported, err := next.ExportLearned()
	require.NoError(t, err)
	assert.NoError(t, next.ImportLearned(exported))
}

// A successor serves clients with short timeouts from the start: it need not learn again
// that these are no late tries.
func TestClientTimeoutsAreImported(t *testing.T) {
	settings := Settings{Classes: []Class{{Name: "c", Aim: 200 * time.Millisecond, Deadline: 2 * time.Second, Effect: Unsafe}}, Nodes: 1}
	now := time.Hour
	play := func(b *Balancer, requests int) (sent int) {
		for i := range requests { // varying timeouts, none of them usual
			now += 50 * time.Millisecond
			id := RequestID(strings.Repeat("i", i+1))
			for _, s := range actionsOf[Send](b.Handle(now, Request{ID: id, Class: "c", ClientTimeout: time.Duration(500+i%7*100) * time.Millisecond})) {
				b.Handle(now, Outcome{ID: id, Result: OK, Server: s.Server, Latency: 20 * time.Millisecond, Final: true})
				sent++
			}
		}
		return sent
	}
	start := func() *Balancer {
		b, err := New(settings, 1)
		require.NoError(t, err)
		b.Handle(now, ServerList{Kind: ListFull, Servers: []Server{{ID: "a", Capacity: 1, Kind: "k"}}})
		return b
	}
	old := start()
	play(old, 100)
	text, err := old.ExportLearned()
	require.NoError(t, err)
	assert.Less(t, play(start(), 10), 10, "without learned state")
	next := start()
	require.NoError(t, next.ImportLearned(text))
	assert.Equal(t, 10, play(next, 10))
	stopped := start()
	require.NoError(t, stopped.ImportAfterRestart(text))
	assert.Equal(t, 10, play(stopped, 10), "valid after a restart")
}

// A node that imports the state of a warm fleet after a stop, while every server starts cold, admits as much as one
// that knows nothing: the learned load must not look like lost capacity.
func TestImportAfterRestartAdmitsRequestsToColdFleet(t *testing.T) {
	settings := Settings{Classes: []Class{{Name: "c", Aim: time.Second, Deadline: time.Second, Worth: 5, Effect: Unsafe}}, Nodes: 4,
		ColdFrom: 0.2, WarmWithin: 10 * time.Second, FallMultiple: 2.5, FallAfter: 1500 * time.Millisecond}
	list := func(born time.Duration) ServerList {
		l := ServerList{Kind: ListFull}
		for _, id := range []ServerID{"a", "b", "c", "d", "e", "f", "g", "h"} {
			l.Servers = append(l.Servers, Server{ID: id, Capacity: 1, Kind: "k", StartedAt: born})
		}
		return l
	}
	play := func(b *Balancer, from time.Duration) (sent int) {
		for i := range 300 { // thirty per second
			now := from + time.Duration(i)*33*time.Millisecond
			id := RequestID(strings.Repeat("i", i+1))
			for _, s := range actionsOf[Send](b.Handle(now, Request{ID: id, Class: "c", ClientTimeout: time.Second})) {
				b.Handle(now, Outcome{ID: id, Result: OK, Server: s.Server, Latency: 20 * time.Millisecond, Final: true})
				sent++
			}
		}
		return sent
	}
	warm, err := New(settings, 1)
	require.NoError(t, err)
	warm.Handle(time.Hour, list(0))
	play(warm, time.Hour)
	text, err := warm.ExportLearned()
	require.NoError(t, err)
	after := time.Hour + 14*time.Second
	sent := map[bool]int{}
	for _, restore := range []bool{false, true} {
		b, err := New(settings, 2)
		require.NoError(t, err)
		b.Handle(after, list(after))
		if restore {
			require.NoError(t, b.ImportAfterRestart(text))
			assert.Equal(t, warm.classes["c"].median, b.classes["c"].median)
		}
		sent[restore] = play(b, after)
	}
	assert.Greater(t, sent[true], sent[false]*9/10)
}

// Only servers that get nothing count as avoided: not one with a probe in flight, nor one
// that was ejected just now.
func TestCountAvoided(t *testing.T) {
	b, err := New(Settings{Classes: []Class{{Name: "c", Aim: time.Second, Deadline: time.Second}}, Nodes: 1}, 1)
	require.NoError(t, err)
	now := time.Hour
	b.Handle(now, ServerList{Kind: ListFull, Servers: []Server{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}, {ID: "d", Capacity: 1, State: Draining}}})
	assert.Equal(t, 1, b.CountAvoided(now), "the draining one")
	a := b.servers["a"]
	a.failures, a.ejectedUntil, a.ejectedAt = ejectAfter, now+time.Minute, now
	assert.Equal(t, 1, b.CountAvoided(now), "ejected just now")
	assert.Equal(t, 2, b.CountAvoided(now+time.Second))
	a.inflight = 1
	assert.Equal(t, 1, b.CountAvoided(now+time.Second), "probe in flight")
	a.inflight = 0
	assert.Equal(t, 1, b.CountAvoided(now+time.Hour), "its ejection is over")
}
