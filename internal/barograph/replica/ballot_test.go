package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSingleVoterOwnsOnceItsVoteIsDurable(t *testing.T) {
	r := newReplica(1, startedWith(1), 0)
	r.Campaign(0)
	ready := r.Ready()
	assert.DeepEqual(t, *ready.Hard, HardState{Term: 1, Vote: 1})
	assert.Assert(t, !r.Owns())
	r.Persisted(0, ready)
	assert.Assert(t, r.Owns())
	assert.Assert(t, !r.Leased(0), "nothing of its term is committed yet")
	persist(r, 0)
	assert.Assert(t, r.Leased(0))
	assert.Assert(t, r.Next() >= farAway, "an idle group of one needs no ticks")
}

func TestCampaignsByItselfAfterElection(t *testing.T) {
	r := newReplica(1, startedWith(1, 2, 3), time.Second)
	assert.Assert(t, r.Next() >= time.Second+testTiming.Election)
	r.Tick(time.Second + testTiming.Election - 1)
	assert.Assert(t, len(r.Ready().Messages) == 0)
	r.Tick(r.Next())
	messages := r.Ready().Messages
	assert.Equal(t, len(messages), 2)
	assert.Equal(t, messages[0].Kind, Canvass)
	assert.Equal(t, r.Term(), uint64(0), "a canvass opens no term")
}

// ballotOf is a question of node 2's, with a log as new as any.
func ballotOf(kind MessageKind, term uint64) Message {
	return Message{Group: testGroup, Kind: kind, From: 2, To: 1, Term: term, Index: 100, LogTerm: term - 1}
}

func TestWhoeverMayHavePromisedALeaseVotesForNobody(t *testing.T) {
	used := startedWith(1, 2, 3)
	used.Hard = HardState{Term: 1}
	for _, test := range []struct {
		name   string
		stored Stored
		after  time.Duration
		forced bool
		grants bool
	}{
		{"fresh", startedWith(1, 2, 3), 0, false, true},
		{"restarted", used, testTiming.Election - 1, false, false},
		{"restarted long ago", used, testTiming.Election, false, true},
		{"handover", used, 0, true, true},
	} {
		for _, kind := range []MessageKind{Canvass, Vote} {
			r := newReplica(1, test.stored, time.Minute)
			m := ballotOf(kind, 2)
			m.Forced = test.forced
			r.Step(time.Minute+test.after, m)
			ready := r.Ready()
			granted := len(ready.Messages) == 1 && !ready.Messages[0].Reject
			assert.Equal(t, granted, test.grants, "%s, kind %d", test.name, kind)
			if kind == Vote && !test.grants {
				assert.Equal(t, r.Term(), uint64(1), "%s: a refused vote opens no term", test.name)
			}
		}
	}
}

func TestVotesOnceInATerm(t *testing.T) {
	r := newReplica(1, startedWith(1, 2, 3), 0)
	r.Step(0, ballotOf(Vote, 5))
	ready := persist(r, 0)
	assert.DeepEqual(t, *ready.Hard, HardState{Term: 5, Vote: 2})
	assert.Equal(t, len(ready.Early), 0, "the vote goes out after the write")
	assert.Assert(t, !ready.Messages[0].Reject)
	other := ballotOf(Vote, 5)
	other.From = 3
	r.Step(0, other)
	assert.Assert(t, r.Ready().Messages[0].Reject)
	r.Step(0, ballotOf(Vote, 5))
	assert.Assert(t, !r.Ready().Messages[0].Reject, "the same candidate may ask again")
}

func TestVoteGoesToNewLogsOfMembers(t *testing.T) {
	stored := startedWith(1, 2, 3)
	stored.Hard = HardState{Term: 4}
	stored.Entries = entriesOf(3, 1, 10)
	for _, test := range []struct {
		name           string
		from           NodeID
		index, logTerm uint64
		grants         bool
	}{
		{"same log", 2, 10, 3, true},
		{"shorter log", 2, 9, 3, false},
		{"older term", 2, 50, 2, false},
		{"newer term", 2, 1, 4, true},
		{"no member, same log", 9, 10, 3, false},
		{"no member, whose log may tell of newer members", 9, 11, 3, true},
	} {
		r := newReplica(1, stored, 0)
		m := Message{Group: testGroup, Kind: Vote, From: test.from, To: 1, Term: 6, Index: test.index, LogTerm: test.logTerm}
		r.Step(testTiming.Election, m)
		ready := r.Ready()
		granted := len(ready.Messages) == 1 && !ready.Messages[0].Reject
		assert.Equal(t, granted, test.grants, test.name)
	}
}

func TestReturnedNodeDisturbsNobody(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.pass(10 * testTiming.Election)
	g.lost = nil
	g.pass(10 * testTiming.Election)
	assert.Assert(t, g.replicas[1].Owns())
	assert.Equal(t, g.replicas[1].Term(), uint64(1))
	assert.Equal(t, g.replicas[3].Term(), uint64(1))
	assert.Equal(t, g.replicas[3].Owner(), NodeID(1))
}

func TestDeafNodeDisturbsNobody(t *testing.T) {
	g := newGroup(t, 3)
	g.lost = func(m Message) bool { return m.To == 3 }
	g.pass(10 * testTiming.Election)
	assert.Assert(t, g.replicas[1].Owns())
	assert.Equal(t, g.replicas[1].Term(), uint64(1))
}

func TestDeafOwnerStepsDown(t *testing.T) {
	g := newGroup(t, 3)
	g.lost = func(m Message) bool { return m.To == 1 }
	g.pass(2*testTiming.Election - testTiming.Heartbeat)
	assert.Assert(t, g.replicas[1].Owns())
	assert.Assert(t, !g.replicas[1].Leased(g.now))
	g.pass(2 * testTiming.Heartbeat)
	assert.Assert(t, !g.replicas[1].Owns())
	g.pass(5 * testTiming.Election)
	assert.Assert(t, g.replicas[2].Owns() || g.replicas[3].Owns())
}

func TestCandidateThatLostKeepsNoOneFromOwning(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(1)
	g.pass(5 * testTiming.Election)
	g.lost = nil
	g.pass(5 * testTiming.Election)
	owners := 0
	for _, r := range g.replicas {
		if r.Owns() {
			owners++
		}
		assert.Equal(t, r.Commit(), g.replicas[1].Commit())
	}
	assert.Equal(t, owners, 1)
}
