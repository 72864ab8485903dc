package replica

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

func TestOwnerCountsItselfOnceItsWriteIsDurable(t *testing.T) {
	g := newGroup(t, 3)
	r := g.replicas[1]
	index, term := g.propose(r, "a")
	ready := r.Ready()
	assert.Equal(t, len(ready.Early), 2, "the appends needn't wait for the write")
	assert.Equal(t, len(ready.Messages), 0)
	reply := Message{Group: testGroup, Kind: AppendReply, From: 2, To: 1, Term: term, Index: index}
	r.Step(g.now, reply)
	assert.Assert(t, r.Commit() < index)
	r.Persisted(g.now, ready)
	assert.Equal(t, r.Commit(), index)
}

func TestFollowersAnswerAfterTheWrite(t *testing.T) {
	g := newGroup(t, 3)
	g.propose(g.replicas[1], "a")
	g.collect()
	g.deliver()
	ready := g.replicas[2].Ready()
	assert.Equal(t, len(ready.Early), 0)
	assert.Equal(t, len(ready.Entries), 1)
	assert.Equal(t, ready.Messages[0].Kind, AppendReply)
}

func TestNotOwner(t *testing.T) {
	g := newGroup(t, 3)
	_, _, err := g.replicas[2].Propose(g.now, nil)
	var notOwner *NotOwnerError
	assert.Assert(t, errors.As(err, &notOwner))
	assert.Equal(t, notOwner.Owner, NodeID(1))
}

func TestOverloaded(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(1)
	data := make([]byte, maxUncommitted/2)
	for range 2 {
		_, _, err := g.replicas[1].Propose(g.now, data)
		assert.NilError(t, err)
	}
	_, _, err := g.replicas[1].Propose(g.now, nil)
	assert.ErrorIs(t, err, ErrOverloaded)
}

// TestOlderTermsAreNotCommittedByCounting is figure 8 of the Raft paper.
func TestOlderTermsAreNotCommittedByCounting(t *testing.T) {
	stored := startedWith(1, 2, 3)
	stored.Hard = HardState{Term: 2}
	stored.Entries = entriesOf(2, 1, 3)
	r := newReplica(1, stored, 0)
	now := testTiming.Election + testTiming.Spread // a majority suffices from then on
	r.Tick(now)
	persist(r, now)
	r.Step(now, Message{Group: testGroup, Kind: CanvassReply, From: 2, To: 1, Term: 3})
	persist(r, now)
	r.Step(now, Message{Group: testGroup, Kind: VoteReply, From: 2, To: 1, Term: 3})
	assert.Assert(t, r.Owns())
	persist(r, now)
	r.Step(now, Message{Group: testGroup, Kind: AppendReply, From: 2, To: 1, Term: 3, Index: 3})
	assert.Equal(t, r.Commit(), uint64(0), "a majority holds entry 3, but of an older term")
	r.Step(now, Message{Group: testGroup, Kind: AppendReply, From: 2, To: 1, Term: 3, Index: 4})
	assert.Equal(t, r.Commit(), uint64(4))
}

func TestLeaseCountsFromTheSendingTime(t *testing.T) {
	g := newGroup(t, 3)
	g.pass(testTiming.Heartbeat)
	r := g.replicas[1]
	g.lost = func(m Message) bool { return m.To == 1 }
	sent := r.progress[2].answered
	assert.Equal(t, sent, r.progress[3].answered)
	assert.Assert(t, r.Leased(sent+testTiming.Lease-1))
	assert.Assert(t, !r.Leased(sent+testTiming.Lease))
	late := Message{Group: testGroup, Kind: AppendReply, From: 2, To: 1, Term: 1, Index: 1, Sent: sent + 5}
	r.Step(sent+testTiming.Lease, late)
	assert.Assert(t, r.Leased(sent+testTiming.Lease+4))
	assert.Assert(t, !r.Leased(sent+testTiming.Lease+5), "however late the answer came in")
}

func TestRefusalOfAnOlderTermIsNoAnswer(t *testing.T) {
	follower := newReplica(2, Stored{Hard: HardState{Term: 6}, Snapshot: startedWith(1, 2, 3).Snapshot}, 0)
	follower.Step(0, Message{Group: testGroup, Kind: Append, From: 1, To: 2, Term: 5, Sent: time.Hour})
	refusal := follower.Ready().Messages[0]
	assert.Equal(t, refusal.Term, uint64(6))
	assert.Assert(t, refusal.Reject)
	assert.Equal(t, refusal.Sent, never, "the sender's clock may have been another one then")

	g := newGroup(t, 3)
	r := g.replicas[1]
	refusal.Term = r.Term()
	before := *r.progress[2]
	r.Step(g.now, refusal)
	assert.Equal(t, r.progress[2].answered, before.answered)
	assert.Equal(t, r.progress[2].next, before.next)
}

func TestAppendsAreBounded(t *testing.T) {
	g := newGroup(t, 2)
	r := g.replicas[1]
	for range 6 * maxBatchEntries {
		g.propose(r, "small")
	}
	appends := r.Ready().Early
	assert.Equal(t, len(appends), maxFlight)
	for _, m := range appends {
		assert.Equal(t, len(m.Entries), maxBatchEntries)
	}
	r = newGroup(t, 2).replicas[1]
	for range 8 {
		_, _, err := r.Propose(0, make([]byte, maxBatchBytes/2-entryOverhead))
		assert.NilError(t, err)
	}
	_, _, err := r.Propose(0, make([]byte, 2*maxBatchBytes))
	assert.NilError(t, err)
	for _, m := range r.Ready().Early {
		assert.Equal(t, len(m.Entries), 2)
	}
}

func TestLostAppendsAreSentAgain(t *testing.T) {
	g := newGroup(t, 3)
	g.lost = func(m Message) bool { return len(m.Entries) > 0 }
	index, _ := g.propose(g.replicas[1], "a")
	g.settle()
	g.lost = nil
	g.pass(2 * testTiming.Heartbeat)
	for _, r := range g.replicas {
		assert.Equal(t, r.Commit(), index)
	}
}

func TestSilentMemberGetsHeartbeatsOnly(t *testing.T) {
	g := newGroup(t, 3)
	g.isolate(3)
	g.pass(testTiming.Election)
	index, _ := g.propose(g.replicas[1], "a")
	entries := 0
	g.lost = func(m Message) bool {
		if m.To == 3 {
			entries += len(m.Entries)
		}
		return m.To == 3
	}
	g.pass(testTiming.Election)
	assert.Equal(t, entries, 0)
	g.lost = nil
	g.pass(2 * testTiming.Heartbeat)
	assert.Equal(t, g.replicas[3].Commit(), index)
}

func TestCommitNewsGoesAtOnce(t *testing.T) {
	g := newGroup(t, 3)
	g.add(4, Stored{})
	_, _, err := g.replicas[1].ChangeMembers(g.now, Members{Voters: []NodeID{1, 2, 3}, Learners: []NodeID{4}})
	assert.NilError(t, err)
	g.settle()
	index, _ := g.propose(g.replicas[1], "a")
	g.settle()
	for id, r := range g.replicas {
		assert.Equal(t, r.Commit(), index, "node %d, and no time went by", id)
	}
	last := g.applied[4][len(g.applied[4])-1]
	assert.Equal(t, string(last.Data), "a")
}

func TestConflictingLogIsMatchedInFewRoundTrips(t *testing.T) {
	stored := startedWith(1, 2, 3)
	stored.Hard = HardState{Term: 30}
	stored.Entries = append(entriesOf(1, 1, 100), entriesOf(30, 101, 2000)...)
	g := newGroupOf(t, stored, Stored{Hard: HardState{Term: 29}, Snapshot: stored.Snapshot,
		Entries: append(entriesOf(1, 1, 150), entriesOf(29, 151, 3000)...)})
	rejects := 0
	for _, m := range g.carried {
		if m.Kind == AppendReply && m.Reject {
			rejects++
		}
	}
	assert.Assert(t, rejects >= 1 && rejects <= 4, "%d rejects", rejects)
	longer := g.replicas[2]
	assert.Equal(t, longer.Commit(), g.replicas[1].Commit())
	assert.Equal(t, longer.log.last(), g.replicas[1].log.last(), "the longer log was truncated")
}

// newGroupOf starts nodes 1 and 2 of three on what they kept, and lets 1 become the owner.
func newGroupOf(t *testing.T, stored ...Stored) *group {
	t.Helper()
	g := &group{t: t, replicas: map[NodeID]*Replica{}, applied: map[NodeID][]Entry{}}
	for i, s := range stored {
		g.add(NodeID(i+1), s)
	}
	g.now = 2 * testTiming.Election
	g.replicas[1].Tick(g.now)
	g.settle()
	assert.Assert(t, g.replicas[1].Owns())
	return g
}

func TestCompactedMemberGetsOneSnapshotAtATime(t *testing.T) {
	g := behind(t, []byte("state"), partBytes)
	r := g.replicas[1]
	snapshot := r.source()
	installs := 0
	g.lost = func(m Message) bool {
		if m.Kind == Install {
			installs++
		}
		return m.Kind == Install
	}
	g.pass(installRetry - 2*testTiming.Heartbeat)
	assert.Equal(t, installs, 1)
	g.pass(4 * testTiming.Heartbeat)
	assert.Equal(t, installs, 2)
	g.lost = nil
	g.pass(installRetry + 2*testTiming.Heartbeat)
	assert.Equal(t, g.replicas[3].Commit(), r.Commit())
	assert.Equal(t, g.replicas[3].log.base, snapshot.Index)
}

func TestCompactKeepsATail(t *testing.T) {
	r := newGroup(t, 1).replicas[1]
	for range 2 * tailEntries {
		_, _, err := r.Propose(0, nil)
		assert.NilError(t, err)
	}
	persist(r, 0)
	persist(r, 0)
	index := r.Commit()
	r.Compact(Snapshot{Index: index + 1, Term: 1})
	assert.Equal(t, r.log.base, uint64(0), "nothing was applied there")
	r.Compact(Snapshot{Index: index, Term: 1})
	assert.Equal(t, r.log.base, index-tailEntries)
	r.Compact(Snapshot{Index: index, Term: 1})
	assert.Equal(t, r.log.base, index-tailEntries)
}

func TestCompactBoundsTheTailInBytes(t *testing.T) {
	r := newGroup(t, 1).replicas[1]
	for range 8 {
		_, _, err := r.Propose(0, bytes.Repeat([]byte("x"), tailBytes/4))
		assert.NilError(t, err)
	}
	persist(r, 0)
	persist(r, 0)
	r.Compact(Snapshot{Index: r.Commit(), Term: 1})
	assert.Equal(t, r.log.last()-r.log.base, uint64(4))
}

func TestCommittedEntriesAreNotReplaced(t *testing.T) {
	g := newGroup(t, 3)
	index, _ := g.propose(g.replicas[1], strings.Repeat("a", 3))
	g.settle()
	false1 := Message{Group: testGroup, Kind: Append, From: 1, To: 2, Term: 9, Index: index - 1, LogTerm: 1,
		Entries: []Entry{{Index: index, Term: 9}}}
	r := g.replicas[2]
	r.Step(g.now, false1)
	assert.Assert(t, r.Status(g.now).Contradicted)
	term, _ := r.log.term(index)
	assert.Equal(t, term, uint64(1))
}
