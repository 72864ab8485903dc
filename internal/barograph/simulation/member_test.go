package simulation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/repair"
	"pipitmux/internal/barograph/replica"
)

// outcomeKind says what is known of a proposal.
type outcomeKind uint8

const (
	carriedOut  outcomeKind = iota // its result is
	notOwner                       // nothing was done, another node owns the group
	unknown                        // it may be carried out
	unavailable                    // nothing was done
)

// outcome is how a proposal ended.
type outcome struct {
	kind   outcomeKind
	result []byte
	owner  replica.NodeID
	index  uint64 // up to which the owner has applied
}

// waiter waits for the entry that a proposal became.
type waiter struct {
	term uint64
	done func(outcome)
}

// reading waits until all that was committed is applied.
type reading struct {
	term, commit uint64
	look         func(machine)
	done         func(bool)
}

// member is a node's part of a group, as the host runs it.
type member struct {
	node        *machineNode
	group       replica.GroupID
	replica     *replica.Replica
	machine     machine
	stored      *replica.PersistentState // durable
	applied     uint64
	appliedTerm uint64
	since       int // entries applied since the newest snapshot
	waiting     map[uint64]*waiter
	readings    []*reading
	writing     *replica.Ready
	tickAt      time.Duration
	planner     repair.Planner
	leased      bool // at the newest tick, for flaws only
	owned       uint64
	busyUntil   time.Duration // a change of members is being announced
}

// settle carries out what the replica wants, and plans its next Tick.
func (m *member) settle() {
	m.failDeposed()
	m.notice()
	for m.writing == nil && m.node.world.Failed == nil {
		ready := m.replica.Ready()
		if ready.Empty() {
			break
		}
		m.carryOut(ready)
	}
	if m.writing != nil {
		for _, message := range m.replica.TakeImmediate() {
			m.node.world.network.deliver(m.node.place, message)
		}
	}
	m.answerReadings()
	m.planTick()
}

// notice counts terms that this node owns.
func (m *member) notice() {
	if m.replica.IsLeader() && m.owned != m.replica.Term() {
		m.owned = m.replica.Term()
		m.node.world.tally.owners++
	}
}

func (m *member) carryOut(ready replica.Ready) {
	for _, message := range ready.Immediate {
		m.node.world.network.deliver(m.node.place, message)
	}
	if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
		m.finish(ready)
		return
	}
	m.writing = &ready
	w := m.node.world
	span := w.Between(200*time.Microsecond, 5*time.Millisecond)
	if w.faulty && w.Chance(0.02) {
		span *= 40
	}
	m.node.later(span, func() {
		m.writing = nil
		m.store(ready)
		m.finish(ready)
		m.settle()
	})
}

// finish goes on once the writes of a Ready are durable.
func (m *member) finish(ready replica.Ready) {
	m.replica.Persisted(m.node.clock(), ready)
	for _, message := range ready.Messages {
		m.node.world.network.deliver(m.node.place, message)
	}
	if ready.Snapshot != nil {
		m.restore(*ready.Snapshot)
	}
	for _, entry := range ready.Committed {
		m.apply(entry)
	}
	m.compact()
}

// store makes the writes of a Ready durable.
func (m *member) store(ready replica.Ready) {
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
	m.node.world.tally.restored++
	if err := m.machine.Restore(snapshot.State); err != nil {
		m.node.world.Fail("restore %s: %v", m.group, err)
	}
	m.applied, m.appliedTerm, m.since = snapshot.Index, snapshot.Term, 0
	for _, index := range sortedKeys(m.waiting) {
		if index <= snapshot.Index {
			m.tell(index, outcome{kind: unknown})
		}
	}
}

func (m *member) apply(entry replica.Entry) {
	m.applied, m.appliedTerm = entry.Index, entry.Term
	m.since++
	var result []byte
	if entry.Kind == replica.Command {
		result = m.machine.Apply(entry.Data)
		m.node.world.subject.applied(m, entry.Index, entry.Data, result)
	}
	w := m.waiting[entry.Index]
	switch {
	case w == nil:
	case w.term != entry.Term: // another took its place: it will never be in force
		m.tell(entry.Index, outcome{kind: notOwner, owner: m.replica.Leader()})
	default:
		m.tell(entry.Index, outcome{kind: carriedOut, result: result})
	}
}

func (m *member) tell(index uint64, o outcome) {
	w := m.waiting[index]
	delete(m.waiting, index)
	w.done(o)
}

// compact makes a snapshot when enough was applied since the last.
func (m *member) compact() {
	if m.since < m.node.world.compactAfter {
		return
	}
	m.since = 0
	covered := m.applied - m.stored.Snapshot.Index
	snapshot := replica.Snapshot{
		Index: m.applied, Term: m.appliedTerm,
		Members: m.replica.MembersAt(m.applied), State: m.machine.Snapshot(),
	}
	m.stored.Snapshot = snapshot
	m.stored.Entries = slices.Clone(m.stored.Entries[covered:])
	m.replica.Compact(snapshot)
}

// planTick sees to a Tick when the replica wants one.
func (m *member) planTick() {
	w := m.node.world
	due := max(m.node.fromClock(m.replica.NextTick()), w.Now)
	if m.tickAt != 0 && m.tickAt <= due {
		return
	}
	m.tickAt = due
	m.node.later(due-w.Now, func() {
		if m.tickAt == due {
			m.tickAt = 0
			m.replica.Tick(m.node.clock())
			m.leased = m.replica.HasLease(m.node.clock())
		}
	})
}

// failDeposed tells those who wait for what isn't known to be committed that this node is no
// longer the owner that took it.
func (m *member) failDeposed() {
	if len(m.waiting) == 0 {
		return
	}
	owns, term, commit := m.replica.IsLeader(), m.replica.Term(), m.replica.CommitIndex()
	for _, index := range sortedKeys(m.waiting) {
		if index > commit && !(owns && m.waiting[index].term == term) {
			m.tell(index, outcome{kind: unknown})
		}
	}
}

// propose has the group carry out a command. done runs once, unless the process ends before.
func (m *member) propose(command []byte, within time.Duration, done func(outcome)) {
	index, term, err := m.replica.Propose(m.node.clock(), command)
	var other *replica.NotLeaderError
	switch {
	case errors.As(err, &other):
		done(outcome{kind: notOwner, owner: other.Leader})
		return
	case err != nil:
		done(outcome{kind: unavailable})
		return
	}
	if m.waiting[index] != nil {
		m.tell(index, outcome{kind: unknown}) // its entry was cut from the log
	}
	w := &waiter{term: term, done: done}
	m.waiting[index] = w
	m.node.later(within, func() {
		if m.waiting[index] == w {
			m.tell(index, outcome{kind: unknown})
		}
	})
}

// read looks at the machine when nothing that is in force can be missing, as the host does:
// under a lease before and after. done says whether what was seen counts.
func (m *member) read(look func(machine), done func(bool)) {
	if !m.holdsLease() {
		done(false)
		return
	}
	m.readings = append(m.readings, &reading{term: m.replica.Term(), commit: m.replica.CommitIndex(), look: look, done: done})
	m.answerReadings()
}

func (m *member) holdsLease() bool {
	if m.node.world.flaws.oldLease {
		return m.replica.IsLeader() && m.leased
	}
	return m.replica.HasLease(m.node.clock())
}

func (m *member) answerReadings() {
	waiting := m.readings
	m.readings = nil
	for _, r := range waiting {
		if !m.replica.IsLeader() || m.replica.Term() != r.term {
			r.done(false)
			continue
		}
		if m.applied < r.commit {
			m.readings = append(m.readings, r)
			continue
		}
		r.look(m.machine)
		r.done(m.holdsLease())
	}
}

func sortedKeys[Key cmp.Ordered, Value any](m map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(m))
}
