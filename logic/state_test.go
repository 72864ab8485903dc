package logic

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A Balancer that takes on what another learned holds the same of classes and servers,
// but not of a server that has started anew; what can't be is turned down whole.
func TestLearnedIsTakenOn(t *testing.T) {
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
		assert.Zero(t, next.classes["c"].seen)
	}
	require.NoError(t, next.ImportLearned(text))
	assert.Equal(t, old.classes["c"].scale, next.classes["c"].scale)
	assert.Equal(t, old.served, next.served)
	assert.Equal(t, old.servers["a"].stats.done, next.servers["a"].stats.done)
	assert.NotZero(t, old.servers["b"].stats.done)
	assert.Zero(t, next.servers["b"].stats.done, "another process")
	again, err := next.ExportLearned()
	require.NoError(t, err)
	assert.NoError(t, next.ImportLearned(again))
}

// A successor serves clients of little patience from the first on, as it need not learn anew
// that their brief waits are no late tries.
func TestPatienceIsTakenOn(t *testing.T) {
	settings := Settings{Classes: []Class{{Name: "c", Aim: 200 * time.Millisecond, Deadline: 2 * time.Second, Effect: Unsafe}}, Nodes: 1}
	now := time.Hour
	play := func(b *Balancer, reqs int) (sent int) {
		for i := range reqs { // waits that differ, none of them usual
			now += 50 * time.Millisecond
			id := RequestID(strings.Repeat("i", i+1))
			for _, s := range of[Send](b.Handle(now, Request{ID: id, Class: "c", ClientTimeout: time.Duration(500+i%7*100) * time.Millisecond})) {
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
	assert.Less(t, play(start(), 10), 10, "nothing is known of them")
	next := start()
	require.NoError(t, next.ImportLearned(text))
	assert.Equal(t, 10, play(next, 10))
	stopped := start()
	require.NoError(t, stopped.ImportAfterRestart(text))
	assert.Equal(t, 10, play(stopped, 10), "it holds through a stop")
}

// A node that recalls a warm fleet while every server starts cold lets in as much as one that knows nothing:
// the load that it had learned of is not taken for capacity that has gone.
func TestARecalledFleetThatStartsColdIsNotShed(t *testing.T) {
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
		for i := range 300 { // thirty a second
			now := from + time.Duration(i)*33*time.Millisecond
			id := RequestID(strings.Repeat("i", i+1))
			for _, s := range of[Send](b.Handle(now, Request{ID: id, Class: "c", ClientTimeout: time.Second})) {
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
	for _, recall := range []bool{false, true} {
		b, err := New(settings, 2)
		require.NoError(t, err)
		b.Handle(after, list(after))
		if recall {
			require.NoError(t, b.ImportAfterRestart(text))
			assert.Equal(t, warm.classes["c"].scale, b.classes["c"].scale)
		}
		sent[recall] = play(b, after)
	}
	assert.Greater(t, sent[true], sent[false]*9/10)
}

// Only servers that get nothing are told as avoided: not one that has a trial, nor one
// that was set aside just now.
func TestAvoided(t *testing.T) {
	b, err := New(Settings{Classes: []Class{{Name: "c", Aim: time.Second, Deadline: time.Second}}, Nodes: 1}, 1)
	require.NoError(t, err)
	now := time.Hour
	b.Handle(now, ServerList{Kind: ListFull, Servers: []Server{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}, {ID: "d", Capacity: 1, State: Draining}}})
	assert.Equal(t, 1, b.CountAvoided(now), "the one that drains")
	a := b.servers["a"]
	a.bad, a.until, a.judged = outlierAfter, now+time.Minute, now
	assert.Equal(t, 1, b.CountAvoided(now), "just now")
	assert.Equal(t, 2, b.CountAvoided(now+time.Second))
	a.inflight = 1
	assert.Equal(t, 1, b.CountAvoided(now+time.Second), "on trial")
	a.inflight = 0
	assert.Equal(t, 1, b.CountAvoided(now+time.Hour), "its time is over")
}
