package replica

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestInvalidMembershipChangesAreRejected(t *testing.T) {
	g := newGroup(t, 3)
	g.addReplica(4, PersistentState{})
	r := g.replicas[1]
	change := func(voters, learners []NodeID) error {
		_, _, err := r.ChangeMembers(g.now, Members{Voters: voters, Learners: learners})
		return err
	}
	three := []NodeID{1, 2, 3}
	assert.ErrorIs(t, change(nil, three), ErrInvalidMembers)
	assert.ErrorIs(t, change([]NodeID{0, 1, 2, 3}, nil), ErrInvalidMembers)
	assert.ErrorIs(t, change(three, []NodeID{3}), ErrInvalidMembers)
	assert.ErrorIs(t, change([]NodeID{1}, nil), ErrMultipleVoterChanges)
	assert.ErrorIs(t, change([]NodeID{1, 2, 4}, nil), ErrMultipleVoterChanges)
	assert.ErrorIs(t, change([]NodeID{1, 2, 3, 4}, nil), ErrNotLearner)
	g.isolate(4)
	assert.NilError(t, change(three, []NodeID{4}))
	assert.ErrorIs(t, change(three, nil), ErrChangePending)
	g.deliverAll()
	assert.ErrorIs(t, change([]NodeID{1, 2, 3, 4}, nil), ErrNotCaughtUp)
	g.drop = nil
	g.advance(testTiming.HeartbeatInterval)
	assert.NilError(t, change([]NodeID{1, 2, 3, 4}, nil))
	assert.Equal(t, r.Status(g.now).Members.Quorum(), 3, "the change is in force as soon as it is appended")
	g.deliverAll()
	assert.DeepEqual(t, g.replicas[4].Status(g.now).Members.Voters, []NodeID{1, 2, 3, 4})
}

func TestMembershipChangeRequiresReadyLeader(t *testing.T) {
	g := newGroup(t, 3)
	_, _, err := g.replicas[2].ChangeMembers(g.now, Members{Voters: []NodeID{1, 2, 3}})
	assert.ErrorType(t, err, &NotLeaderError{})
	g.isolate(1)
	g.advance(2 * testTiming.ElectionTimeout)
	g.drop = func(m Message) bool { return m.Kind == AppendReply }
	for !g.replicas[2].IsLeader() && !g.replicas[3].IsLeader() {
		g.advance(testTiming.HeartbeatInterval)
	}
	r := g.replicas[2]
	if !r.IsLeader() {
		r = g.replicas[3]
	}
	_, _, err = r.ChangeMembers(g.now, Members{Voters: []NodeID{1, 2, 3}})
	assert.ErrorIs(t, err, ErrLeaderNotReady)
}

func TestLeaderThatRemovesItselfStepsDown(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	_, _, err := r.ChangeMembers(g.now, Members{Voters: []NodeID{2, 3}})
	assert.NilError(t, err)
	assert.Assert(t, r.IsLeader(), "it leads until the change is committed")
	g.deliverAll()
	assert.Assert(t, !r.IsLeader())
	assert.Assert(t, g.replicas[2].IsLeader() || g.replicas[3].IsLeader(), "another voter takes over at once")
	g.advance(10 * testTiming.ElectionTimeout)
	assert.Equal(t, g.replicas[2].Term(), uint64(2), "the removed node starts no elections")
}

func TestMembersCodec(t *testing.T) {
	members := Members{Voters: []NodeID{1, 1 << 40, 3}, Learners: []NodeID{9}}
	read, err := DecodeMembers(members.Encode())
	assert.NilError(t, err)
	assert.DeepEqual(t, read, members)
	encoded := members.Encode()
	for size := range len(encoded) {
		_, err := DecodeMembers(encoded[:size])
		assert.ErrorIs(t, err, ErrInvalidMembers)
	}
	_, err = DecodeMembers(append(encoded, 0))
	assert.ErrorIs(t, err, ErrInvalidMembers)
}

func TestLeadershipTransferSucceedsDespiteLease(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	assert.ErrorIs(t, r.TransferLeadership(g.now, 7), ErrNotVoter)
	assert.ErrorType(t, g.replicas[2].TransferLeadership(g.now, 3), &NotLeaderError{})
	assert.NilError(t, r.TransferLeadership(g.now, 1))
	assert.NilError(t, r.TransferLeadership(g.now, 3))
	_, _, err := r.Propose(g.now, nil)
	assert.ErrorIs(t, err, ErrTransferInProgress)
	assert.ErrorIs(t, r.TransferLeadership(g.now, 2), ErrTransferInProgress)
	g.deliverAll()
	assert.Assert(t, g.replicas[3].IsLeader(), "despite the lease, and without any time passing")
	assert.Equal(t, r.Leader(), NodeID(3))
	assert.Assert(t, g.replicas[3].HasLease(g.now))
}

func TestLeadershipTransferRequiresCaughtUpVoter(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.advance(testTiming.ElectionTimeout)
	assert.ErrorIs(t, g.replicas[1].TransferLeadership(g.now, 3), ErrNotCaughtUp)
}

func TestFailedLeadershipTransferEndsLease(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	g.drop = func(m Message) bool { return m.To == 3 }
	assert.Assert(t, r.HasLease(g.now))
	assert.NilError(t, r.TransferLeadership(g.now, 3))
	g.processReadies()
	assert.Assert(t, !r.HasLease(g.now), "node 3 may campaign at any time")
	g.advance(testTiming.ElectionTimeout/2 + testTiming.HeartbeatInterval)
	assert.Assert(t, r.IsLeader())
	assert.Equal(t, r.Term(), uint64(2), "a lease needs a new term, in which TimeoutNow has no effect")
	assert.Assert(t, r.HasLease(g.now))
	g.propose(r, "a")
}

func TestTransferAbortedBeforeTimeoutNowKeepsLease(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	g.drop = func(m Message) bool { return m.To == 3 }
	g.propose(r, "a")
	assert.NilError(t, r.TransferLeadership(g.now, 3))
	g.advance(testTiming.ElectionTimeout/2 + testTiming.HeartbeatInterval)
	assert.Assert(t, r.IsLeader())
	assert.Equal(t, r.Term(), uint64(1))
	assert.Assert(t, r.HasLease(g.now))
}

func TestLearnerAheadOfVotersUnblocksElection(t *testing.T) {
	members := Members{Voters: []NodeID{1, 2, 3}, Learners: []NodeID{4}}
	first := Snapshot{Members: members}
	g := &group{t: t, replicas: map[NodeID]*Replica{}, applied: map[NodeID][]Entry{}}
	promotion := Entry{Index: 2, Term: 1, Kind: MembershipChange, Data: Members{Voters: []NodeID{1, 2, 3, 4}}.Encode()}
	g.addReplica(1, PersistentState{HardState: HardState{Term: 2}, Snapshot: first, Entries: append(makeEntries(1, 1, 1), promotion)})
	g.addReplica(2, PersistentState{HardState: HardState{Term: 2}, Snapshot: first, Entries: makeEntries(1, 1, 1)})
	g.addReplica(4, PersistentState{HardState: HardState{Term: 2}, Snapshot: first, Entries: append(makeEntries(1, 1, 1), makeEntries(2, 2, 2)...)})
	g.advance(20 * testTiming.ElectionTimeout)
	assert.Assert(t, g.replicas[1].IsLeader() || g.replicas[2].IsLeader())
	assert.Equal(t, g.replicas[1].CommitIndex(), g.replicas[4].CommitIndex())
}
