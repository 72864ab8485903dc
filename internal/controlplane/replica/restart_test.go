package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newRestartedGroup returns a group of three voters that have all just restarted.
func newRestartedGroup(t *testing.T) *group {
	t.Helper()
	g := &group{t: t, replicas: map[NodeID]*Replica{}, applied: map[NodeID][]Entry{}}
	for id := range NodeID(3) {
		stored := initialState(1, 2, 3)
		stored.HardState = HardState{Term: 4}
		stored.Entries = makeEntries(4, 1, 5)
		g.addReplica(id+1, stored)
	}
	return g
}

func (g *group) readyLeader() NodeID {
	for _, id := range g.order {
		if r := g.replicas[id]; r != nil && r.Status(g.now).LeaderReady {
			return id
		}
	}
	return 0
}

func TestSimultaneouslyRestartedVotersElectWithoutWaiting(t *testing.T) {
	g := newRestartedGroup(t)
	g.advance(testTiming.ElectionTimeout * 8 / 10)
	assert.Assert(t, g.readyLeader() != 0)
}

func TestMissingVoterMakesRestartedVotersWait(t *testing.T) {
	g := newRestartedGroup(t)
	g.isolate(3)
	g.advance(testTiming.ElectionTimeout - time.Millisecond)
	assert.Equal(t, g.readyLeader(), NodeID(0))
	g.advance(2 * (testTiming.ElectionTimeout + testTiming.ElectionJitter))
	assert.Assert(t, g.readyLeader() != 0)
}

// restartDeposesLeader reports whether two restarted members depose a leader that holds its lease.
func restartDeposesLeader(t *testing.T, defects injectedDefects) bool {
	t.Helper()
	g := newGroup(t, 3)
	g.advance(testTiming.HeartbeatInterval)
	stored := initialState(1, 2, 3)
	stored.HardState = HardState{Term: 1, Vote: 1}
	stored.Entries = makeEntries(1, 1, 1)
	for _, id := range []NodeID{2, 3} {
		g.replicas[id] = newReplica(id, stored, g.now)
		g.replicas[id].defects = defects
	}
	g.drop = func(m Message) bool { return m.Kind == Append } // they don't hear from the leader yet
	g.advance(testTiming.ElectionTimeout - time.Millisecond)
	return g.replicas[2].Term() > 1 || g.replicas[3].Term() > 1
}

// The leader rejects the pre-vote, and without its vote no election can ignore the lease.
func TestRestartedVotersDoNotDeposeLeaderWithLease(t *testing.T) {
	assert.Assert(t, !restartDeposesLeader(t, injectedDefects{}))
	assert.Assert(t, restartDeposesLeader(t, injectedDefects{restartByMajority: true}), "the test must notice it if a majority suffices")
}

func TestRestartVoteRequiresIncarnationThatAnsweredPreVote(t *testing.T) {
	ask := func(r *Replica, m Message) Message {
		m.Group, m.From, m.To, m.Term, m.Index, m.LogTerm, m.Returning = testGroup, 1, 2, 5, 5, 4, true
		r.Step(0, m)
		return persist(r, 0).Messages[0]
	}
	g := newRestartedGroup(t)
	r := g.replicas[2]
	answer := ask(r, Message{Kind: PreVote})
	assert.Assert(t, !answer.Reject && answer.Life != 0)
	stored := initialState(1, 2, 3)
	stored.HardState, stored.Entries = HardState{Term: 4}, makeEntries(4, 1, 5)
	later := New(testGroup, 2, testTiming, stored, newRandom(99), 0)
	later.Step(0, Message{Group: testGroup, Kind: Vote, From: 1, To: 2, Term: 5, Index: 5, LogTerm: 4, Returning: true, Life: answer.Life})
	assert.Equal(t, later.Term(), uint64(4), "the voter restarted again after it answered")
	assert.Assert(t, !ask(r, Message{Kind: Vote, Life: answer.Life}).Reject)
	r.Step(0, Message{Group: testGroup, Kind: Vote, From: 3, To: 2, Term: 6, Index: 5, LogTerm: 4, Returning: true, Life: answer.Life})
	assert.Equal(t, r.Term(), uint64(5), "a voter that has voted waits as after any vote")
}
