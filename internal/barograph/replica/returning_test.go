package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// returned is a group of three whose members have all started anew.
func returned(t *testing.T) *group {
	t.Helper()
	g := &group{t: t, replicas: map[NodeID]*Replica{}, applied: map[NodeID][]Entry{}}
	for id := range NodeID(3) {
		stored := startedWith(1, 2, 3)
		stored.Hard = HardState{Term: 4}
		stored.Entries = entriesOf(4, 1, 5)
		g.add(id+1, stored)
	}
	return g
}

func (g *group) settledOwner() NodeID {
	for _, id := range g.order {
		if r := g.replicas[id]; r != nil && r.Status(g.now).Settled {
			return id
		}
	}
	return 0
}

func TestAllThatStartAnewNeedNotWait(t *testing.T) {
	g := returned(t)
	g.pass(testTiming.Election * 8 / 10)
	assert.Assert(t, g.settledOwner() != 0)
}

func TestOneThatIsMissingMakesTheOthersWait(t *testing.T) {
	g := returned(t)
	g.isolate(3)
	g.pass(testTiming.Election - time.Millisecond)
	assert.Equal(t, g.settledOwner(), NodeID(0))
	g.pass(2 * (testTiming.Election + testTiming.Spread))
	assert.Assert(t, g.settledOwner() != 0)
}

// disturbed tells whether two members that start anew depose an owner whose lease runs.
func disturbed(t *testing.T, defects flaws) bool {
	t.Helper()
	g := newGroup(t, 3)
	g.pass(testTiming.Heartbeat)
	stored := startedWith(1, 2, 3)
	stored.Hard = HardState{Term: 1, Vote: 1}
	stored.Entries = entriesOf(1, 1, 1)
	for _, id := range []NodeID{2, 3} {
		g.replicas[id] = newReplica(id, stored, g.now)
		g.replicas[id].flaws = defects
	}
	g.lost = func(m Message) bool { return m.Kind == Append } // they don't hear it yet
	g.pass(testTiming.Election - time.Millisecond)
	return g.replicas[2].Term() > 1 || g.replicas[3].Term() > 1
}

// The owner says no, and no majority does without it.
func TestOwnerIsNotDisturbedByAReturn(t *testing.T) {
	assert.Assert(t, !disturbed(t, flaws{}))
	assert.Assert(t, disturbed(t, flaws{returnByMost: true}), "the test sees it where a majority suffices")
}

func TestVoteOfAReturnNamesTheLifeThatAnswered(t *testing.T) {
	ask := func(r *Replica, m Message) Message {
		m.Group, m.From, m.To, m.Term, m.Index, m.LogTerm, m.Returning = testGroup, 1, 2, 5, 5, 4, true
		r.Step(0, m)
		return persist(r, 0).Messages[0]
	}
	g := returned(t)
	r := g.replicas[2]
	answer := ask(r, Message{Kind: Canvass})
	assert.Assert(t, !answer.Reject && answer.Life != 0)
	stored := startedWith(1, 2, 3)
	stored.Hard, stored.Entries = HardState{Term: 4}, entriesOf(4, 1, 5)
	later := New(testGroup, 2, testTiming, stored, lot(99), 0)
	later.Step(0, Message{Group: testGroup, Kind: Vote, From: 1, To: 2, Term: 5, Index: 5, LogTerm: 4, Returning: true, Life: answer.Life})
	assert.Equal(t, later.Term(), uint64(4), "it started anew since")
	assert.Assert(t, !ask(r, Message{Kind: Vote, Life: answer.Life}).Reject)
	r.Step(0, Message{Group: testGroup, Kind: Vote, From: 3, To: 2, Term: 6, Index: 5, LogTerm: 4, Returning: true, Life: answer.Life})
	assert.Equal(t, r.Term(), uint64(5), "one that has voted waits as after any vote")
}
