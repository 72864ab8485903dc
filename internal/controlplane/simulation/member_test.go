package simulation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/repair"
	"oakseam/internal/controlplane/replica"
)

// outcomeKind is the kind of a proposal's outcome.
type outcomeKind uint8

const (
	succeeded      outcomeKind = iota // committed and applied; the result is known
	notLeader                         // not proposed; another node leads the group
	outcomeUnknown                    // may be committed now or later
	unavailable                       // not proposed
)

// outcome is the outcome of a proposal.
type outcome struct {
	kind   outcomeKind
	result []byte
	leader replica.NodeID
	index  uint64 // index up to which the leader has applied the log
}

// waiter waits for the log entry of a proposal.
type waiter struct {
	term uint64
	done func(outcome)
}

// pendingRead waits until everything that was committed at its start is applied.
type pendingRead struct {
	term, commit uint64
	look         func(stateMachine)
	done         func(bool)
}

// member is a node's replica of a group. It does what package host does.
type member struct {
	node                 *simulatedNode
	group                replica.GroupID
	replica              *replica.Replica
	stateMachine         stateMachine
	stored               *replica.PersistentState // the content of the disk
	applied              uint64
	appliedTerm          uint64
	appliedSinceSnapshot int // number of entries
	waiters              map[uint64]*waiter
	pendingReads         []*pendingRead
	pendingWrite         *replica.Ready
	nextTick             time.Duration
	planner              repair.Planner
	leasedAtTick         bool // whether the lease was held at the last tick; for injected bugs only
	lastLedTerm          uint64
	announcingUntil      time.Duration // until then a membership change is being announced
}

// processReady performs the replica's pending work and schedules its next Tick.
func (m *member) processReady() {
	m.failDeposed()
	m.countLedTerm()
	for m.pendingWrite == nil && m.node.world.Failure == nil {
		ready := m.replica.Ready()
		if ready.Empty() {
			break
		}
		m.handleReady(ready)
	}
	if m.pendingWrite != nil {
		for _, message := range m.replica.TakeImmediate() {
			m.node.world.network.deliver(m.node.address, message)
		}
	}
	m.answerReads()
	m.scheduleTick()
}

// countLedTerm counts the terms in which this node is the leader.
func (m *member) countLedTerm() {
	if m.replica.IsLeader() && m.lastLedTerm != m.replica.Term() {
		m.lastLedTerm = m.replica.Term()
		m.node.world.tally.leaderTerms++
	}
}

func (m *member) handleReady(ready replica.Ready) {
	for _, message := range ready.Immediate {
		m.node.world.network.deliver(m.node.address, message)
	}
	if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
		m.completeReady(ready)
		return
	}
	m.pendingWrite = &ready
	w := m.node.world
	span := w.Between(200*time.Microsecond, 5*time.Millisecond)
	if w.faultsEnabled && w.Chance(0.02) {
		span *= 40
	}
	m.node.executeAfter(span, func() {
		m.pendingWrite = nil
		m.persist(ready)
		m.completeReady(ready)
		m.processReady()
	})
}

// completeReady continues once the writes of a Ready are durable.
func (m *member) completeReady(ready replica.Ready) {
	m.replica.Persisted(m.node.clock(), ready)
	for _, message := range ready.Messages {
		m.node.world.network.deliver(m.node.address, message)
	}
	if ready.Snapshot != nil {
		m.restore(*ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		m.apply(entry)
	}
	m.compact()
}

// persist makes the writes of a Ready durable.
func (m *member) persist(ready replica.Ready) {
	if ready.HardState != nil {
		m.stored.HardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		m.stored.Snapshot, m.stored.Entries = *ready.Snapshot, nil
	}
	if len(ready.Entries) == 0 {
		return
	}
	keep := ready.Entries[0].Index - m.stored.Snapshot.Index - 1
	m.stored.Entries = append(m.stored.Entries[:keep:keep], ready.Entries...)
}

func (m *member) restore(snapshot replica.Snapshot) {
	m.node.world.tally.installedSnapshots++
	if err := m.stateMachine.Restore(snapshot.State); err != nil {
		m.node.world.Fail("restore %s: %v", m.group, err)
	}
	m.applied, m.appliedTerm, m.appliedSinceSnapshot = snapshot.Index, snapshot.Term, 0
	for _, index := range sortedKeys(m.waiters) {
		if index <= snapshot.Index {
			m.completeWaiter(index, outcome{kind: outcomeUnknown})
		}
	}
}

func (m *member) apply(entry replica.Entry) {
	m.applied, m.appliedTerm = entry.Index, entry.Term
	m.appliedSinceSnapshot++
	var result []byte
	if entry.Kind == replica.Command {
		result = m.stateMachine.Apply(entry.Data)
		m.node.world.workload.onApplied(m, entry.Index, entry.Data, result)
	}
	w := m.waiters[entry.Index]
	switch {
	case w == nil:
	case w.term != entry.Term: // another entry was committed at this index: the proposal never will be
		m.completeWaiter(entry.Index, outcome{kind: notLeader, leader: m.replica.Leader()})
	default:
		m.completeWaiter(entry.Index, outcome{kind: succeeded, result: result})
	}
}

func (m *member) completeWaiter(index uint64, o outcome) {
	w := m.waiters[index]
	delete(m.waiters, index)
	w.done(o)
}

// compact takes a snapshot when enough entries were applied since the last one.
func (m *member) compact() {
	if m.appliedSinceSnapshot < m.node.world.compactAfter {
		return
	}
	m.appliedSinceSnapshot = 0
	covered := m.applied - m.stored.Snapshot.Index
	snapshot := replica.Snapshot{
		Index: m.applied, Term: m.appliedTerm,
		Members: m.replica.MembersAt(m.applied), State: m.stateMachine.Snapshot(),
	}
	m.stored.Snapshot = snapshot
	m.stored.Entries = slices.Clone(m.stored.Entries[covered:])
	m.replica.Compact(snapshot)
}

// scheduleTick schedules the replica's next Tick.
func (m *member) scheduleTick() {
	w := m.node.world
	due := max(m.node.simulationTime(m.replica.NextTick()), w.Now)
	if m.nextTick != 0 && m.nextTick <= due {
		return
	}
	m.nextTick = due
	m.node.executeAfter(due-w.Now, func() {
		if m.nextTick == due {
			m.nextTick = 0
			m.replica.Tick(m.node.clock())
			m.leasedAtTick = m.replica.HasLease(m.node.clock())
		}
	})
}

// failDeposed fails the waiters of entries that are not known to be committed and that this node
// accepted as a leader of an earlier term.
func (m *member) failDeposed() {
	if len(m.waiters) == 0 {
		return
	}
	owns, term, commit := m.replica.IsLeader(), m.replica.Term(), m.replica.CommitIndex()
	for _, index := range sortedKeys(m.waiters) {
		if index > commit && !(owns && m.waiters[index].term == term) {
			m.completeWaiter(index, outcome{kind: outcomeUnknown})
		}
	}
}

// propose proposes a command to the group. done runs once, unless the process ends before.
func (m *member) propose(command []byte, within time.Duration, done func(outcome)) {
	index, term, err := m.replica.Propose(m.node.clock(), command)
	var other *replica.NotLeaderError
	switch {
	case errors.As(err, &other):
		done(outcome{kind: notLeader, leader: other.Leader})
		return
	case err != nil:
		done(outcome{kind: unavailable})
		return
	}
	if m.waiters[index] != nil {
		m.completeWaiter(index, outcome{kind: outcomeUnknown}) // its entry was truncated from the log
	}
	w := &waiter{term: term, done: done}
	m.waiters[index] = w
	m.node.executeAfter(within, func() {
		if m.waiters[index] == w {
			m.completeWaiter(index, outcome{kind: outcomeUnknown})
		}
	})
}

// read performs a linearizable read of the state machine, as package host does: the node holds the
// leader's lease before and after. done reports whether what look saw is valid.
func (m *member) read(look func(stateMachine), done func(bool)) {
	if !m.holdsLease() {
		done(false)
		return
	}
	m.pendingReads = append(m.pendingReads, &pendingRead{term: m.replica.Term(), commit: m.replica.CommitIndex(), look: look, done: done})
	m.answerReads()
}

func (m *member) holdsLease() bool {
	if m.node.world.bugs.staleLease {
		return m.replica.IsLeader() && m.leasedAtTick
	}
	return m.replica.HasLease(m.node.clock())
}

func (m *member) answerReads() {
	reads := m.pendingReads
	m.pendingReads = nil
	for _, r := range reads {
		if !m.replica.IsLeader() || m.replica.Term() != r.term {
			r.done(false)
			continue
		}
		if m.applied < r.commit {
			m.pendingReads = append(m.pendingReads, r)
			continue
		}
		r.look(m.stateMachine)
		r.done(m.holdsLease())
	}
}

func sortedKeys[Key cmp.Ordered, Value any](m map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(m))
}
