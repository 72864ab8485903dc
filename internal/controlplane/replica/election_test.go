package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSingleVoterLeadsOnlyOnceItsVoteIsDurable(t *testing.T) {
	r := newReplica(1, initialState(1), 0)
	r.Campaign(0)
	ready := r.Ready()
	assert.DeepEqual(t, *ready.HardState, HardState{Term: 1, Vote: 1})
	assert.Assert(t, !r.IsLeader())
	r.Persisted(0, ready)
	assert.Assert(t, r.IsLeader())
	assert.Assert(t, !r.HasLease(0), "no entry of its term is committed yet")
	persist(r, 0)
	assert.Assert(t, r.HasLease(0))
	assert.Assert(t, r.NextTick() >= idleTickDelay, "an idle group of one voter needs no ticks")
}

func TestVoterCampaignsAfterElectionTimeout(t *testing.T) {
	r := newReplica(1, initialState(1, 2, 3), time.Second)
	assert.Assert(t, r.NextTick() >= time.Second+testTiming.ElectionTimeout)
	r.Tick(time.Second + testTiming.ElectionTimeout - 1)
	assert.Assert(t, len(r.Ready().Messages) == 0)
	r.Tick(r.NextTick())
	messages := r.Ready().Messages
	assert.Equal(t, len(messages), 2)
	assert.Equal(t, messages[0].Kind, PreVote)
	assert.Equal(t, r.Term(), uint64(0), "a pre-vote starts no term")
}

// voteRequest returns a request of node 2 that claims a log at least as new as any other.
func voteRequest(kind MessageKind, term uint64) Message {
	return Message{Group: testGroup, Kind: kind, From: 2, To: 1, Term: term, Index: 100, LogTerm: term - 1}
}

func TestVoterThatMayHavePromisedALeaseRejectsCandidates(t *testing.T) {
	usedBefore := initialState(1, 2, 3)
	usedBefore.HardState = HardState{Term: 1}
	for _, test := range []struct {
		name      string
		stored    PersistentState
		after     time.Duration
		forced    bool
		wantGrant bool
	}{
		{"fresh", initialState(1, 2, 3), 0, false, true},
		{"restarted", usedBefore, testTiming.ElectionTimeout - 1, false, false},
		{"restarted long ago", usedBefore, testTiming.ElectionTimeout, false, true},
		{"leadership transfer", usedBefore, 0, true, true},
	} {
		for _, kind := range []MessageKind{PreVote, Vote} {
			r := newReplica(1, test.stored, time.Minute)
			m := voteRequest(kind, 2)
			m.Forced = test.forced
			r.Step(time.Minute+test.after, m)
			ready := r.Ready()
			granted := len(ready.Messages) == 1 && !ready.Messages[0].Reject
			assert.Equal(t, granted, test.wantGrant, "%s, kind %d", test.name, kind)
			if kind == Vote && !test.wantGrant {
				assert.Equal(t, r.Term(), uint64(1), "%s: a rejected vote request starts no term", test.name)
			}
		}
	}
}

func TestVoterVotesOncePerTerm(t *testing.T) {
	r := newReplica(1, initialState(1, 2, 3), 0)
	r.Step(0, voteRequest(Vote, 5))
	ready := persist(r, 0)
	assert.DeepEqual(t, *ready.HardState, HardState{Term: 5, Vote: 2})
	assert.Equal(t, len(ready.Immediate), 0, "the vote is sent after the write")
	assert.Assert(t, !ready.Messages[0].Reject)
	other := voteRequest(Vote, 5)
	other.From = 3
	r.Step(0, other)
	assert.Assert(t, r.Ready().Messages[0].Reject)
	r.Step(0, voteRequest(Vote, 5))
	assert.Assert(t, !r.Ready().Messages[0].Reject, "the same candidate may ask again")
}

func TestVoteRequiresUpToDateLogAndMembership(t *testing.T) {
	stored := initialState(1, 2, 3)
	stored.HardState = HardState{Term: 4}
	stored.Entries = makeEntries(3, 1, 10)
	for _, test := range []struct {
		name           string
		from           NodeID
		index, logTerm uint64
		wantGrant      bool
	}{
		{"same log", 2, 10, 3, true},
		{"shorter log", 2, 9, 3, false},
		{"older term", 2, 50, 2, false},
		{"newer term", 2, 1, 4, true},
		{"not a member, same log", 9, 10, 3, false},
		{"not a member, but its log may contain newer members", 9, 11, 3, true},
	} {
		r := newReplica(1, stored, 0)
		m := Message{Group: testGroup, Kind: Vote, From: test.from, To: 1, Term: 6, Index: test.index, LogTerm: test.logTerm}
		r.Step(testTiming.ElectionTimeout, m)
		ready := r.Ready()
		granted := len(ready.Messages) == 1 && !ready.Messages[0].Reject
		assert.Equal(t, granted, test.wantGrant, test.name)
	}
}

func TestReconnectedNodeDoesNotDisturbLeader(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.advance(10 * testTiming.ElectionTimeout)
	g.drop = nil
	g.advance(10 * testTiming.ElectionTimeout)
	assert.Assert(t, g.replicas[1].IsLeader())
	assert.Equal(t, g.replicas[1].Term(), uint64(1))
	assert.Equal(t, g.replicas[3].Term(), uint64(1))
	assert.Equal(t, g.replicas[3].Leader(), NodeID(1))
}

func TestNodeThatReceivesNothingDoesNotDisturbLeader(t *testing.T) {
	g := newGroup(t, 3)
	g.drop = func(m Message) bool { return m.To == 3 }
	g.advance(10 * testTiming.ElectionTimeout)
	assert.Assert(t, g.replicas[1].IsLeader())
	assert.Equal(t, g.replicas[1].Term(), uint64(1))
}

func TestLeaderThatReceivesNothingStepsDown(t *testing.T) {
	g := newGroup(t, 3)
	g.drop = func(m Message) bool { return m.To == 1 }
	g.advance(2*testTiming.ElectionTimeout - testTiming.HeartbeatInterval)
	assert.Assert(t, g.replicas[1].IsLeader())
	assert.Assert(t, !g.replicas[1].HasLease(g.now))
	g.advance(2 * testTiming.HeartbeatInterval)
	assert.Assert(t, !g.replicas[1].IsLeader())
	g.advance(5 * testTiming.ElectionTimeout)
	assert.Assert(t, g.replicas[2].IsLeader() || g.replicas[3].IsLeader())
}

func TestReconnectedOldLeaderLeavesOneLeader(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(1)
	g.advance(5 * testTiming.ElectionTimeout)
	g.drop = nil
	g.advance(5 * testTiming.ElectionTimeout)
	leaders := 0
	for _, r := range g.replicas {
		if r.IsLeader() {
			leaders++
		}
		assert.Equal(t, r.CommitIndex(), g.replicas[1].CommitIndex())
	}
	assert.Equal(t, leaders, 1)
}
