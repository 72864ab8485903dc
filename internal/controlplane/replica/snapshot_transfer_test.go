package replica

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// patternedState returns a state whose bytes depend on their position, so that misplaced chunks are noticed.
func patternedState(size int) []byte {
	state := make([]byte, size)
	for i := range state {
		state[i] = byte(i * 7)
	}
	return state
}

// newGroupWithLaggingMember returns a group whose third member needs a snapshot with that state.
func newGroupWithLaggingMember(t *testing.T, state []byte, chunkSize uint64) *group {
	t.Helper()
	g := newGroup(t, 3)
	r := g.replicas[1]
	r.SetBounds(0, maxBatchEntries, chunkSize)
	g.isolate(3)
	g.advance(testTiming.ElectionTimeout)
	for range 10 {
		g.propose(r, "a")
	}
	g.deliverAll()
	snapshot := Snapshot{Index: r.CommitIndex(), Term: r.Term(), Members: r.MembersAt(r.CommitIndex()), State: state}
	r.SetSnapshotSource(func() Snapshot { return snapshot })
	r.Compact(snapshot)
	g.drop = nil
	return g
}

// catchUp lets time pass until the third member knows everything that is committed.
func catchUp(g *group) {
	g.t.Helper()
	for range 1000 {
		if g.replicas[3].CommitIndex() == g.replicas[1].CommitIndex() {
			return
		}
		g.advance(testTiming.HeartbeatInterval)
	}
	g.t.Fatal("the member doesn't catch up")
}

func TestSnapshotIsSentInChunksWithHeartbeatsBetween(t *testing.T) {
	const chunkSize = 100
	state := patternedState(50*chunkSize + 7)
	g := newGroupWithLaggingMember(t, state, chunkSize)
	inFlight, maxInFlight := 0, 0
	g.drop = func(m Message) bool {
		switch m.Kind {
		case InstallSnapshot:
			assert.Assert(t, len(m.Snapshot.State) <= chunkSize)
			inFlight++
		case InstallSnapshotReply:
			inFlight--
		}
		maxInFlight = max(maxInFlight, inFlight)
		return false
	}
	firstTerm := g.replicas[1].Term()
	catchUp(g)
	assert.Assert(t, maxInFlight <= maxUnackedChunks, "%d chunks are in flight", maxInFlight)
	assert.Equal(t, g.replicas[1].Term(), firstTerm, "no election")
	assert.Assert(t, bytes.Equal(g.restored[3].State, state))
}

func TestSnapshotSurvivesLossAndReordering(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 9))
		state := patternedState(random.IntN(2000))
		g := newGroupWithLaggingMember(t, state, 20+random.Uint64N(200))
		g.drop = func(m Message) bool {
			return (m.Kind == InstallSnapshot || m.Kind == InstallSnapshotReply) && random.Float64() < 0.3
		}
		g.shuffle = random
		catchUp(g)
		assert.Assert(t, bytes.Equal(g.restored[3].State, state), "seed %d", seed)
	}
}

// A member that restarts during a transfer has lost all chunks, and the leader must learn this at once.
func TestSnapshotRestartsWhenMemberRestarts(t *testing.T) {
	const chunkSize = 10
	state := patternedState(1000)
	g := newGroupWithLaggingMember(t, state, chunkSize)
	chunks := 0
	g.drop = func(m Message) bool {
		if m.Kind == InstallSnapshot {
			chunks++
		}
		if chunks == 30 {
			chunks++
			g.replicas[3] = newReplica(3, initialState(1, 2, 3), g.now)
		}
		return false
	}
	startedAt := g.now
	catchUp(g)
	assert.Assert(t, bytes.Equal(g.restored[3].State, state))
	assert.Assert(t, g.now-startedAt < snapshotRetryTimeout, "after %v", g.now-startedAt)
}

// Entries after a snapshot that is being sent must stay in the log until the transfer is done.
func TestLogIsRetainedDuringSnapshotTransfer(t *testing.T) {
	g := newGroupWithLaggingMember(t, patternedState(1000), 10)
	r := g.replicas[1]
	first := r.log.baseIndex
	newer := 0
	g.drop = func(m Message) bool {
		if m.Kind == InstallSnapshot && newer < 3 {
			newer++
			snapshot := Snapshot{Index: r.CommitIndex(), Term: r.Term(), Members: r.MembersAt(r.CommitIndex())}
			g.propose(r, "b")
			r.Compact(snapshot)
		}
		return false
	}
	catchUp(g)
	assert.Equal(t, newer, 3)
	assert.Equal(t, r.log.baseIndex, first)
	assert.Equal(t, g.replicas[3].log.baseIndex, first, "one transfer was enough")
	r.Compact(Snapshot{Index: r.CommitIndex(), Term: r.Term(), Members: r.MembersAt(r.CommitIndex())})
	assert.Equal(t, r.log.baseIndex, r.CommitIndex(), "the log may be compacted after the transfer")
}

// Chunks of another snapshot or term, or beyond the end, must never be assembled together.
func TestChunksOfDifferentSnapshotsAreNotMixed(t *testing.T) {
	state := patternedState(40)
	message := func(offset, end int) Message {
		return Message{
			Kind: InstallSnapshot, Group: testGroup, From: 1, To: 3, Term: 5, Index: 9, LogTerm: 4, Offset: uint64(offset), Size: uint64(len(state)),
			Snapshot: &Snapshot{Index: 9, Term: 4, Members: Members{Voters: []NodeID{1, 2, 3}}, State: state[offset:end]},
		}
	}
	for name, corrupt := range map[string]func(*Message){
		"another term":     func(m *Message) { m.Term++ },
		"another snapshot": func(m *Message) { m.Snapshot.Index++ },
		"another size":     func(m *Message) { m.Size++ },
		"another leader":   func(m *Message) { m.From = 2 },
		"beyond the end":   func(m *Message) { m.Snapshot.State = patternedState(41) },
	} {
		r := newReplica(3, initialState(1, 2, 3), 0)
		r.Step(0, message(0, 20))
		corrupted := message(20, 40)
		corrupt(&corrupted)
		r.Step(0, corrupted)
		assert.Assert(t, r.Ready().Snapshot == nil, name)
		assert.Equal(t, r.CommitIndex(), uint64(0), name)
	}
	r := newReplica(3, initialState(1, 2, 3), 0)
	for range 100 {
		r.Step(0, message(30, 40))
		r.Step(0, message(20, 30))
	}
	assert.Assert(t, len(r.snapshotAssembly.outOfOrder) <= maxUnackedChunks, "chunks received out of order are bounded")
	r.Step(0, message(0, 20))
	ready := r.Ready()
	assert.Assert(t, ready.Snapshot != nil && slices.Equal(ready.Snapshot.State, state))
}

// narrowLink delivers messages after a delay. Snapshot chunks share a bandwidth limit and queue one after
// another; all other messages are delivered beside them.
type narrowLink struct {
	g              *group
	bytesPerSecond int
	delay          time.Duration
	chunksDoneAt   time.Duration // when the newest chunk will have been transmitted
	inTransit      []delayedMessage
}

type delayedMessage struct {
	arrivesAt time.Duration
	message   Message
}

func (n *narrowLink) send(m Message) {
	at := n.g.now
	if m.Kind == InstallSnapshot {
		n.chunksDoneAt = max(n.chunksDoneAt, at) + time.Duration(m.PayloadSize())*time.Second/time.Duration(n.bytesPerSecond)
		at = n.chunksDoneAt
	}
	n.inTransit = append(n.inTransit, delayedMessage{at + n.delay, m})
}

// step lets a millisecond pass and delivers the messages that have arrived.
func (n *narrowLink) step() {
	n.g.now += time.Millisecond
	for _, id := range n.g.order {
		n.g.replicas[id].Tick(n.g.now)
	}
	n.g.processReadies()
	arrived := n.inTransit
	n.inTransit = nil
	for _, c := range arrived {
		if c.arrivesAt > n.g.now {
			n.inTransit = append(n.inTransit, c)
			continue
		}
		n.g.replicas[c.message.To].Step(n.g.now, c.message)
	}
	n.g.processReadies()
	for _, m := range n.g.inTransit {
		n.send(m)
	}
	n.g.inTransit = nil
}

// Sending a state of 50 MiB over 86 Mbit/s must take hardly longer than the link needs, and the member must
// hear the leader's heartbeats in time meanwhile.
func TestSnapshotUsesFullLinkBandwidth(t *testing.T) {
	const bytesPerSecond = 86_000_000 / 8
	state := patternedState(50 << 20)
	g := newGroupWithLaggingMember(t, state, maxChunkBytes)
	g.advance(0)
	link := &narrowLink{g: g, bytesPerSecond: bytesPerSecond, delay: 2 * time.Millisecond}
	term, startedAt, silence := g.replicas[1].Term(), g.now, time.Duration(0)
	for g.replicas[3].CommitIndex() < g.replicas[1].CommitIndex() {
		link.step()
		if g.now-startedAt > time.Minute {
			t.Fatal("the member doesn't catch up")
		}
		if r := g.replicas[3]; g.now-startedAt > testTiming.ElectionTimeout {
			silence = max(silence, g.now-r.lastLeaderContact)
		}
	}
	took, needed := g.now-startedAt, time.Duration(len(state))*time.Second/bytesPerSecond
	t.Logf("took %v, the link needs %v, longest silence %v", took, needed, silence)
	assert.Assert(t, took < needed*11/10, "took %v, the link needs %v", took, needed)
	assert.Assert(t, silence < testTiming.ElectionTimeout/2, "no heartbeat for %v", silence)
	assert.Equal(t, g.replicas[1].Term(), term, "no election")
	assert.Assert(t, bytes.Equal(g.restored[3].State, state))
}
