package replica

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

func TestLeaderCountsItselfOnlyOnceItsWriteIsDurable(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	index, term := g.propose(r, "a")
	ready := r.Ready()
	assert.Equal(t, len(ready.Immediate), 2, "the appends needn't wait for the write")
	assert.Equal(t, len(ready.Messages), 0)
	reply := Message{Group: testGroup, Kind: AppendReply, From: 2, To: 1, Term: term, Index: index}
	r.Step(g.now, reply)
	assert.Assert(t, r.CommitIndex() < index)
	r.Persisted(g.now, ready)
	assert.Equal(t, r.CommitIndex(), index)
}

func TestFollowerRepliesOnlyAfterItsWrite(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(g.replicas[1], "a")
	g.processReadies()
	g.deliver()
	ready := g.replicas[2].Ready()
	assert.Equal(t, len(ready.Immediate), 0)
	assert.Equal(t, len(ready.Entries), 1)
	assert.Equal(t, ready.Messages[0].Kind, AppendReply)
}

func TestFollowerRejectsProposalsAndNamesLeader(t *testing.T) {
	g := newGroup(t, 3)
	_, _, err := g.replicas[2].Propose(g.now, nil)
	var notLeader *NotLeaderError
	assert.Assert(t, errors.As(err, &notLeader))
	assert.Equal(t, notLeader.Leader, NodeID(1))
}

func TestProposalsRejectedAboveUncommittedLimit(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(1)
	data := make([]byte, maxUncommittedBytes/2)
	for range 2 {
		_, _, err := g.replicas[1].Propose(g.now, data)
		assert.NilError(t, err)
	}
	_, _, err := g.replicas[1].Propose(g.now, nil)
	assert.ErrorIs(t, err, ErrOverloaded)
}

// This is the scenario of figure 8 in the Raft paper.
func TestOlderTermEntriesAreNotCommittedByCounting(t *testing.T) {
	stored := initialState(1, 2, 3)
	stored.HardState = HardState{Term: 2}
	stored.Entries = makeEntries(2, 1, 3)
	r := newReplica(1, stored, 0)
	now := testTiming.ElectionTimeout + testTiming.ElectionJitter // from then on a majority of votes suffices
	r.Tick(now)
	persist(r, now)
	r.Step(now, Message{Group: testGroup, Kind: PreVoteReply, From: 2, To: 1, Term: 3})
	persist(r, now)
	r.Step(now, Message{Group: testGroup, Kind: VoteReply, From: 2, To: 1, Term: 3})
	assert.Assert(t, r.IsLeader())
	persist(r, now)
	r.Step(now, Message{Group: testGroup, Kind: AppendReply, From: 2, To: 1, Term: 3, Index: 3})
	assert.Equal(t, r.CommitIndex(), uint64(0), "a majority holds entry 3, but it is of an older term")
	r.Step(now, Message{Group: testGroup, Kind: AppendReply, From: 2, To: 1, Term: 3, Index: 4})
	assert.Equal(t, r.CommitIndex(), uint64(4))
}

func TestLeaseCountsFromSendTime(t *testing.T) {
	g := newGroup(t, 3)
	g.advance(testTiming.HeartbeatInterval)
	r := g.replicas[1]
	g.drop = func(m Message) bool { return m.To == 1 }
	sent := r.progress[2].answeredSendTime
	assert.Equal(t, sent, r.progress[3].answeredSendTime)
	assert.Assert(t, r.HasLease(sent+testTiming.LeaseDuration-1))
	assert.Assert(t, !r.HasLease(sent+testTiming.LeaseDuration))
	late := Message{Group: testGroup, Kind: AppendReply, From: 2, To: 1, Term: 1, Index: 1, Sent: sent + 5}
	r.Step(sent+testTiming.LeaseDuration, late)
	assert.Assert(t, r.HasLease(sent+testTiming.LeaseDuration+4))
	assert.Assert(t, !r.HasLease(sent+testTiming.LeaseDuration+5), "the lease counts from the send time, however late the reply arrives")
}

func TestStaleTermRejectionDoesNotExtendLease(t *testing.T) {
	follower := newReplica(2, PersistentState{HardState: HardState{Term: 6}, Snapshot: initialState(1, 2, 3).Snapshot}, 0)
	follower.Step(0, Message{Group: testGroup, Kind: Append, From: 1, To: 2, Term: 5, Sent: time.Hour})
	rejection := follower.Ready().Messages[0]
	assert.Equal(t, rejection.Term, uint64(6))
	assert.Assert(t, rejection.Reject)
	assert.Equal(t, rejection.Sent, never, "the sender may have used another clock then")

	g := newGroup(t, 3)
	r := g.replicas[1]
	rejection.Term = r.Term()
	before := *r.progress[2]
	r.Step(g.now, rejection)
	assert.Equal(t, r.progress[2].answeredSendTime, before.answeredSendTime)
	assert.Equal(t, r.progress[2].nextIndex, before.nextIndex)
}

func TestAppendsAreBounded(t *testing.T) {
	g := newGroup(t, 2)
	r := g.replicas[1]
	for range 6 * maxBatchEntries {
		g.propose(r, "small")
	}
	appends := r.Ready().Immediate
	assert.Equal(t, len(appends), maxInFlightAppends)
	for _, m := range appends {
		assert.Equal(t, len(m.Entries), maxBatchEntries)
	}
	r = newGroup(t, 2).replicas[1]
	for range 8 {
		_, _, err := r.Propose(0, make([]byte, maxBatchBytes/2-entryOverheadBytes))
		assert.NilError(t, err)
	}
	_, _, err := r.Propose(0, make([]byte, 2*maxBatchBytes))
	assert.NilError(t, err)
	for _, m := range r.Ready().Immediate {
		assert.Equal(t, len(m.Entries), 2)
	}
}

func TestLostAppendsAreRetried(t *testing.T) {
	g := newGroup(t, 3)
	g.drop = func(m Message) bool { return len(m.Entries) > 0 }
	index, _ := g.propose(g.replicas[1], "a")
	g.deliverAll()
	g.drop = nil
	g.advance(2 * testTiming.HeartbeatInterval)
	for _, r := range g.replicas {
		assert.Equal(t, r.CommitIndex(), index)
	}
}

func TestSilentMemberGetsOnlyHeartbeats(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.advance(testTiming.ElectionTimeout)
	index, _ := g.propose(g.replicas[1], "a")
	entries := 0
	g.drop = func(m Message) bool {
		if m.To == 3 {
			entries += len(m.Entries)
		}
		return m.To == 3
	}
	g.advance(testTiming.ElectionTimeout)
	assert.Equal(t, entries, 0)
	g.drop = nil
	g.advance(2 * testTiming.HeartbeatInterval)
	assert.Equal(t, g.replicas[3].CommitIndex(), index)
}

func TestCommitIndexIsSentAtOnce(t *testing.T) {
	g := newGroup(t, 3)
	g.addReplica(4, PersistentState{})
	_, _, err := g.replicas[1].ChangeMembers(g.now, Members{Voters: []NodeID{1, 2, 3}, Learners: []NodeID{4}})
	assert.NilError(t, err)
	g.deliverAll()
	index, _ := g.propose(g.replicas[1], "a")
	g.deliverAll()
	for id, r := range g.replicas {
		assert.Equal(t, r.CommitIndex(), index, "node %d must know it without any time passing", id)
	}
	last := g.applied[4][len(g.applied[4])-1]
	assert.Equal(t, string(last.Data), "a")
}

func TestConflictingLogIsMatchedInFewRoundTrips(t *testing.T) {
	stored := initialState(1, 2, 3)
	stored.HardState = HardState{Term: 30}
	stored.Entries = append(makeEntries(1, 1, 100), makeEntries(30, 101, 2000)...)
	g := newGroupFrom(t, stored, PersistentState{HardState: HardState{Term: 29}, Snapshot: stored.Snapshot,
		Entries: append(makeEntries(1, 1, 150), makeEntries(29, 151, 3000)...)})
	rejects := 0
	for _, m := range g.delivered {
		if m.Kind == AppendReply && m.Reject {
			rejects++
		}
	}
	assert.Assert(t, rejects >= 1 && rejects <= 4, "%d rejects", rejects)
	longer := g.replicas[2]
	assert.Equal(t, longer.CommitIndex(), g.replicas[1].CommitIndex())
	assert.Equal(t, longer.log.lastIndex(), g.replicas[1].log.lastIndex(), "the longer log was truncated")
}

// newGroupFrom starts nodes 1 and 2 of three from stored states, and makes node 1 the leader.
func newGroupFrom(t *testing.T, stored ...PersistentState) *group {
	t.Helper()
	g := &group{t: t, replicas: map[NodeID]*Replica{}, applied: map[NodeID][]Entry{}}
	for i, s := range stored {
		g.addReplica(NodeID(i+1), s)
	}
	g.now = 2 * testTiming.ElectionTimeout
	g.replicas[1].Tick(g.now)
	g.deliverAll()
	assert.Assert(t, g.replicas[1].IsLeader())
	return g
}

func TestMemberBehindCompactionGetsOneSnapshotAtATime(t *testing.T) {
	g := newGroupWithLaggingMember(t, []byte("state"), maxChunkBytes)
	r := g.replicas[1]
	snapshot := r.snapshotSource()
	installs := 0
	g.drop = func(m Message) bool {
		if m.Kind == InstallSnapshot {
			installs++
		}
		return m.Kind == InstallSnapshot
	}
	g.advance(snapshotRetryTimeout - 2*testTiming.HeartbeatInterval)
	assert.Equal(t, installs, 1)
	g.advance(4 * testTiming.HeartbeatInterval)
	assert.Equal(t, installs, 2)
	g.drop = nil
	g.advance(snapshotRetryTimeout + 2*testTiming.HeartbeatInterval)
	assert.Equal(t, g.replicas[3].CommitIndex(), r.CommitIndex())
	assert.Equal(t, g.replicas[3].log.baseIndex, snapshot.Index)
}

func TestCompactKeepsATail(t *testing.T) {
	r := newGroup(t, 1).replicas[1]
	for range 2 * maxTailEntries {
		_, _, err := r.Propose(0, nil)
		assert.NilError(t, err)
	}
	persist(r, 0)
	persist(r, 0)
	index := r.CommitIndex()
	r.Compact(Snapshot{Index: index + 1, Term: 1})
	assert.Equal(t, r.log.baseIndex, uint64(0), "the snapshot covers an entry that was not applied")
	r.Compact(Snapshot{Index: index, Term: 1})
	assert.Equal(t, r.log.baseIndex, index-maxTailEntries)
	r.Compact(Snapshot{Index: index, Term: 1})
	assert.Equal(t, r.log.baseIndex, index-maxTailEntries)
}

func TestCompactBoundsTheTailInBytes(t *testing.T) {
	r := newGroup(t, 1).replicas[1]
	for range 8 {
		_, _, err := r.Propose(0, bytes.Repeat([]byte("x"), maxTailBytes/4))
		assert.NilError(t, err)
	}
	persist(r, 0)
	persist(r, 0)
	r.Compact(Snapshot{Index: r.CommitIndex(), Term: 1})
	assert.Equal(t, r.log.lastIndex()-r.log.baseIndex, uint64(4))
}

func TestCommittedEntriesAreNotReplaced(t *testing.T) {
	g := newGroup(t, 3)
	index, _ := g.propose(g.replicas[1], strings.Repeat("a", 3))
	g.deliverAll()
	conflicting := Message{Group: testGroup, Kind: Append, From: 1, To: 2, Term: 9, Index: index - 1, LogTerm: 1,
		Entries: []Entry{{Index: index, Term: 9}}}
	r := g.replicas[2]
	r.Step(g.now, conflicting)
	assert.Assert(t, r.Status(g.now).LogConflict)
	term, _ := r.log.termAt(index)
	assert.Equal(t, term, uint64(1))
}
