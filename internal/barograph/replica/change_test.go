package replica

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestChangesThatAreRefused(t *testing.T) {
	g := newGroup(t, 3)
	g.add(4, Stored{})
	r := g.replicas[1]
	change := func(voters, learners []NodeID) error {
		_, _, err := r.ChangeMembers(g.now, Members{Voters: voters, Learners: learners})
		return err
	}
	three := []NodeID{1, 2, 3}
	assert.ErrorIs(t, change(nil, three), ErrMembers)
	assert.ErrorIs(t, change([]NodeID{0, 1, 2, 3}, nil), ErrMembers)
	assert.ErrorIs(t, change(three, []NodeID{3}), ErrMembers)
	assert.ErrorIs(t, change([]NodeID{1}, nil), ErrManyVoters)
	assert.ErrorIs(t, change([]NodeID{1, 2, 4}, nil), ErrManyVoters)
	assert.ErrorIs(t, change([]NodeID{1, 2, 3, 4}, nil), ErrNotLearner)
	g.isolate(4)
	assert.NilError(t, change(three, []NodeID{4}))
	assert.ErrorIs(t, change(three, nil), ErrPending)
	g.settle()
	assert.ErrorIs(t, change([]NodeID{1, 2, 3, 4}, nil), ErrNotCaughtUp)
	g.lost = nil
	g.pass(testTiming.Heartbeat)
	assert.NilError(t, change([]NodeID{1, 2, 3, 4}, nil))
	assert.Equal(t, r.Status(g.now).Members.Quorum(), 3, "in force from the moment it is appended")
	g.settle()
	assert.DeepEqual(t, g.replicas[4].Status(g.now).Members.Voters, []NodeID{1, 2, 3, 4})
}

func TestChangeNeedsASettledOwner(t *testing.T) {
	g := newGroup(t, 3)
	_, _, err := g.replicas[2].ChangeMembers(g.now, Members{Voters: []NodeID{1, 2, 3}})
	assert.ErrorType(t, err, &NotOwnerError{})
	g.isolate(1)
	g.pass(2 * testTiming.Election)
	g.lost = func(m Message) bool { return m.Kind == AppendReply }
	for !g.replicas[2].Owns() && !g.replicas[3].Owns() {
		g.pass(testTiming.Heartbeat)
	}
	r := g.replicas[2]
	if !r.Owns() {
		r = g.replicas[3]
	}
	_, _, err = r.ChangeMembers(g.now, Members{Voters: []NodeID{1, 2, 3}})
	assert.ErrorIs(t, err, ErrNotSettled)
}

func TestOwnerThatRemovesItselfResigns(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	_, _, err := r.ChangeMembers(g.now, Members{Voters: []NodeID{2, 3}})
	assert.NilError(t, err)
	assert.Assert(t, r.Owns(), "until the change is committed")
	g.settle()
	assert.Assert(t, !r.Owns())
	assert.Assert(t, g.replicas[2].Owns() || g.replicas[3].Owns(), "the ownership goes on at once")
	g.pass(10 * testTiming.Election)
	assert.Equal(t, g.replicas[2].Term(), uint64(2), "the removed node disturbs nobody")
}

func TestMembersCodec(t *testing.T) {
	members := Members{Voters: []NodeID{1, 1 << 40, 3}, Learners: []NodeID{9}}
	read, err := DecodeMembers(members.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, read, members)
	encoded := members.Encode()
	for size := range len(encoded) {
		_, err := DecodeMembers(encoded[:size])
		assert.ErrorIs(t, err, ErrMembers)
	}
	_, err = DecodeMembers(append(encoded, 0))
	assert.ErrorIs(t, err, ErrMembers)
}

func TestHandover(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	assert.ErrorIs(t, r.Handover(g.now, 7), ErrNotVoter)
	assert.ErrorType(t, g.replicas[2].Handover(g.now, 3), &NotOwnerError{})
	assert.NilError(t, r.Handover(g.now, 1))
	assert.NilError(t, r.Handover(g.now, 3))
	_, _, err := r.Propose(g.now, nil)
	assert.ErrorIs(t, err, ErrHandover)
	assert.ErrorIs(t, r.Handover(g.now, 2), ErrHandover)
	g.settle()
	assert.Assert(t, g.replicas[3].Owns(), "in spite of the lease, and no time went by")
	assert.Equal(t, r.Owner(), NodeID(3))
	assert.Assert(t, g.replicas[3].Leased(g.now))
}

func TestHandoverNeedsAVoterThatIsCaughtUp(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.pass(testTiming.Election)
	assert.ErrorIs(t, g.replicas[1].Handover(g.now, 3), ErrNotCaughtUp)
}

func TestHandoverThatFailsEndsTheLease(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	g.lost = func(m Message) bool { return m.To == 3 }
	assert.Assert(t, r.Leased(g.now))
	assert.NilError(t, r.Handover(g.now, 3))
	g.collect()
	assert.Assert(t, !r.Leased(g.now), "node 3 may campaign at any time")
	g.pass(testTiming.Election/2 + testTiming.Heartbeat)
	assert.Assert(t, r.Owns())
	assert.Equal(t, r.Term(), uint64(2), "a lease needs a new term, where the request is void")
	assert.Assert(t, r.Leased(g.now))
	g.propose(r, "a")
}

func TestHandoverThatWasNotAskedForYetLeavesTheLease(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	g.lost = func(m Message) bool { return m.To == 3 }
	g.propose(r, "a")
	assert.NilError(t, r.Handover(g.now, 3))
	g.pass(testTiming.Election/2 + testTiming.Heartbeat)
	assert.Assert(t, r.Owns())
	assert.Equal(t, r.Term(), uint64(1))
	assert.Assert(t, r.Leased(g.now))
}

func TestLearnerHelpsVotersThatCannotWin(t *testing.T) {
	members := Members{Voters: []NodeID{1, 2, 3}, Learners: []NodeID{4}}
	first := Snapshot{Members: members}
	g := &group{t: t, replicas: map[NodeID]*Replica{}, applied: map[NodeID][]Entry{}}
	promoted := Entry{Index: 2, Term: 1, Kind: Change, Data: Members{Voters: []NodeID{1, 2, 3, 4}}.Encode()}
	g.add(1, Stored{Hard: HardState{Term: 2}, Snapshot: first, Entries: append(entriesOf(1, 1, 1), promoted)})
	g.add(2, Stored{Hard: HardState{Term: 2}, Snapshot: first, Entries: entriesOf(1, 1, 1)})
	g.add(4, Stored{Hard: HardState{Term: 2}, Snapshot: first, Entries: append(entriesOf(1, 1, 1), entriesOf(2, 2, 2)...)})
	g.pass(20 * testTiming.Election)
	assert.Assert(t, g.replicas[1].Owns() || g.replicas[2].Owns())
	assert.Equal(t, g.replicas[1].Commit(), g.replicas[4].Commit())
}
