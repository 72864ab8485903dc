package replica_test

import (
	"math/rand/v2"
	"time"

	"pipitmux/internal/barograph/replica"
)

// node is a process with a disk and a clock.
type node struct {
	id    replica.NodeID
	world *world
	first replica.Stored // what it began with
	disk  replica.Stored // durable
	gone  bool           // for good: the disk is lost

	life    int // counts starts: what an earlier process began has no effect
	replica *replica.Replica
	offset  time.Duration
	rate    float64
	machine machine
	waiting map[uint64]*operation // by index, of proposals made here
	writing *replica.Ready
	tickAt  time.Duration // when the next Tick comes; 0: none will
	frozen  bool
	held    []func()
}

// clock is the node's own: it starts near zero or anywhere, and drifts by a percent at most.
func (n *node) clock() time.Duration {
	return n.offset + time.Duration(float64(n.world.Now)*n.rate)
}

// fromClock is the simulation's time when the node's clock shows at.
func (n *node) fromClock(at time.Duration) time.Duration {
	return time.Duration(float64(at-n.offset)/n.rate) + 1
}

// start begins a process on what the disk holds.
func (n *node) start() {
	w := n.world
	n.life++
	n.rate = 0.99 + 0.02*w.Random.Float64()
	n.offset = time.Duration(w.Random.Int64N(int64(time.Hour)))
	if w.Chance(0.5) {
		// It counts from about the start of the process, as real ones do.
		n.offset = w.Between(0, 3*simulatedTiming.Election) - time.Duration(float64(w.Now)*n.rate)
	}
	n.writing, n.tickAt, n.frozen, n.held = nil, 0, false, nil
	n.waiting = map[uint64]*operation{}
	n.machine = decodeMachine(n.disk.Snapshot)
	lot := rand.New(rand.NewPCG(w.Seed, w.Random.Uint64()))
	n.replica = replica.New(simulatedGroup, n.id, simulatedTiming, n.disk, lot, n.clock())
	n.replica.SetFlaws(w.flaws)
	n.replica.SetBounds(w.tail, w.batch, w.part)
	n.replica.SetSnapshotSource(func() replica.Snapshot { return n.disk.Snapshot })
	n.settle()
}

// crash ends the process. A write under way gets lost, or was durable already.
func (n *node) crash() {
	if n.replica == nil {
		return
	}
	if n.writing != nil && n.world.Chance(0.5) {
		n.store(*n.writing)
	}
	n.life++
	n.replica, n.writing = nil, nil
}

// act runs something in the process, or later if it is frozen.
func (n *node) act(run func()) {
	if n.replica == nil {
		return
	}
	if n.frozen {
		n.held = append(n.held, run)
		return
	}
	run()
	n.settle()
}

// later runs something in the process after a delay, if it is the same process then.
func (n *node) later(delay time.Duration, run func()) {
	life := n.life
	n.world.After(delay, func() {
		if n.life == life {
			n.act(run)
		}
	})
}

// freeze stops the process for a while: its clock goes on.
func (n *node) freeze(span time.Duration) {
	if n.frozen || n.replica == nil {
		return
	}
	n.frozen = true
	life := n.life
	n.world.After(span, func() {
		if n.life == life {
			n.thaw()
		}
	})
}

// thaw goes on with what was held, in order.
func (n *node) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	held := n.held
	n.held = nil
	if n.world.faulty {
		n.world.client.readAt(n)
	}
	for _, run := range held {
		n.act(run)
	}
	n.act(func() {})
}

// settle checks the node, carries out what its replica wants, and plans its next Tick.
func (n *node) settle() {
	n.world.book.look(n)
	for n.writing == nil && n.world.Failure == nil {
		ready := n.replica.Ready()
		if ready.Empty() {
			break
		}
		n.carryOut(ready)
	}
	if n.writing != nil {
		for _, m := range n.replica.Beats() {
			n.world.net.send(m)
		}
	}
	n.planTick()
}

func (n *node) carryOut(ready replica.Ready) {
	n.world.book.written(n, ready)
	for _, m := range ready.Early {
		n.world.net.send(m)
	}
	if ready.Hard == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
		n.finish(ready)
		return
	}
	n.writing = &ready
	span := n.world.Between(100*time.Microsecond, 3*time.Millisecond)
	if n.world.faulty && n.world.Chance(0.02) {
		span *= 20
	}
	n.later(span, func() {
		n.writing = nil
		n.store(ready)
		n.finish(ready)
	})
}

// finish goes on once the writes of a Ready are durable.
func (n *node) finish(ready replica.Ready) {
	n.replica.Persisted(n.clock(), ready)
	for _, m := range ready.Messages {
		n.world.net.send(m)
	}
	if ready.Snapshot != nil {
		n.machine = decodeMachine(*ready.Snapshot)
		n.world.book.restored(n)
	}
	for _, entry := range ready.Committed {
		n.apply(entry)
	}
	n.compact()
	n.world.book.look(n)
}

// store makes the writes of a Ready durable.
func (n *node) store(ready replica.Ready) {
	if ready.Hard != nil {
		n.disk.Hard = *ready.Hard
	}
	if ready.Snapshot != nil {
		n.disk.Snapshot, n.disk.Entries = *ready.Snapshot, nil
	}
	if len(ready.Entries) == 0 {
		return
	}
	keep := ready.Entries[0].Index - n.disk.Snapshot.Index - 1
	kept := n.disk.Entries[:keep:keep]
	n.disk.Entries = append(kept, ready.Entries...)
}

func (n *node) apply(entry replica.Entry) {
	if entry.Index != n.machine.index+1 {
		n.world.Fail("node %d applies entry %d after %d", n.id, entry.Index, n.machine.index)
		return
	}
	succeeded := n.machine.apply(entry)
	n.world.book.applied(n, entry)
	if waiting := n.waiting[entry.Index]; waiting != nil {
		delete(n.waiting, entry.Index)
		n.world.client.applied(waiting, entry, succeeded)
	}
}

// compact makes a snapshot when enough was applied since the last.
func (n *node) compact() {
	if n.machine.index < n.disk.Snapshot.Index+n.world.snapshotEvery {
		return
	}
	index := n.machine.index
	covered := index - n.disk.Snapshot.Index
	snapshot := replica.Snapshot{
		Index: index, Term: n.machine.term,
		Members: n.replica.MembersAt(index), State: n.machine.encode(),
	}
	n.disk.Snapshot = snapshot
	n.disk.Entries = append([]replica.Entry(nil), n.disk.Entries[covered:]...)
	n.replica.Compact(snapshot)
}

// planTick sees to a Tick when the replica wants one.
func (n *node) planTick() {
	due := max(n.fromClock(n.replica.Next()), n.world.Now)
	if n.tickAt != 0 && n.tickAt <= due {
		return
	}
	n.tickAt = due
	n.later(due-n.world.Now, func() {
		if n.tickAt == due {
			n.tickAt = 0
			n.replica.Tick(n.clock())
		}
	})
}
