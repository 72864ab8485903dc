package replica_test

import (
	"math/rand/v2"
	"time"

	"oakseam/internal/controlplane/replica"
)

// node is a process with a disk and a clock.
type node struct {
	id         replica.NodeID
	simulation *simulation
	initial    replica.PersistentState // the disk's initial content
	disk       replica.PersistentState // durable
	diskLost   bool                    // the node never comes back

	incarnation  int // counts starts: what an earlier process began has no effect
	replica      *replica.Replica
	clockOffset  time.Duration
	clockRate    float64
	machine      machine
	proposals    map[uint64]*operation // by index: operations proposed at this node
	pendingWrite *replica.Ready
	nextTickAt   time.Duration // when the next Tick comes; 0: none is scheduled
	frozen       bool
	heldActions  []func()
}

// clock is the node's own clock. It starts near zero or anywhere, and drifts by at most one percent.
func (n *node) clock() time.Duration {
	return n.clockOffset + time.Duration(float64(n.simulation.Now)*n.clockRate)
}

// simulationTime returns the simulation's time at which the node's clock shows at.
func (n *node) simulationTime(at time.Duration) time.Duration {
	return time.Duration(float64(at-n.clockOffset)/n.clockRate) + 1
}

// start starts a process on what the disk holds.
func (n *node) start() {
	s := n.simulation
	n.incarnation++
	n.clockRate = 0.99 + 0.02*s.Random.Float64()
	n.clockOffset = time.Duration(s.Random.Int64N(int64(time.Hour)))
	if s.Chance(0.5) {
		// The clock counts from about the start of the process, as real ones do.
		n.clockOffset = s.Between(0, 3*simulatedTiming.ElectionTimeout) - time.Duration(float64(s.Now)*n.clockRate)
	}
	n.pendingWrite, n.nextTickAt, n.frozen, n.heldActions = nil, 0, false, nil
	n.proposals = map[uint64]*operation{}
	n.machine = decodeMachine(n.disk.Snapshot)
	random := rand.New(rand.NewPCG(s.Seed, s.Random.Uint64()))
	n.replica = replica.New(simulatedGroup, n.id, simulatedTiming, n.disk, random, n.clock())
	n.replica.SetDefects(s.defects)
	n.replica.SetBounds(s.tailEntries, s.batchEntries, s.chunkBytes)
	n.replica.SetSnapshotSource(func() replica.Snapshot { return n.disk.Snapshot })
	n.processReady()
}

// crash ends the process. A write in progress is either lost or already durable.
func (n *node) crash() {
	if n.replica == nil {
		return
	}
	if n.pendingWrite != nil && n.simulation.Chance(0.5) {
		n.store(*n.pendingWrite)
	}
	n.incarnation++
	n.replica, n.pendingWrite = nil, nil
}

// do runs a function in the process, or after the freeze if it is frozen.
func (n *node) do(run func()) {
	if n.replica == nil {
		return
	}
	if n.frozen {
		n.heldActions = append(n.heldActions, run)
		return
	}
	run()
	n.processReady()
}

// doLater runs a function in the process after a delay, if it is still the same process then.
func (n *node) doLater(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.simulation.After(delay, func() {
		if n.incarnation == incarnation {
			n.do(run)
		}
	})
}

// freeze stops the process for a while. Its clock goes on.
func (n *node) freeze(span time.Duration) {
	if n.frozen || n.replica == nil {
		return
	}
	n.frozen = true
	incarnation := n.incarnation
	n.simulation.After(span, func() {
		if n.incarnation == incarnation {
			n.unfreeze()
		}
	})
}

// unfreeze runs the actions that were held during a freeze, in order.
func (n *node) unfreeze() {
	if !n.frozen {
		return
	}
	n.frozen = false
	held := n.heldActions
	n.heldActions = nil
	if n.simulation.faultsActive {
		n.simulation.client.readAt(n)
	}
	for _, run := range held {
		n.do(run)
	}
	n.do(func() {})
}

// processReady checks the node, carries out what its replica wants, and schedules its next Tick.
func (n *node) processReady() {
	n.simulation.checker.checkNode(n)
	for n.pendingWrite == nil && n.simulation.Failure == nil {
		ready := n.replica.Ready()
		if ready.Empty() {
			break
		}
		n.executeReady(ready)
	}
	if n.pendingWrite != nil {
		for _, m := range n.replica.TakeImmediate() {
			n.simulation.net.send(m)
		}
	}
	n.scheduleTick()
}

func (n *node) executeReady(ready replica.Ready) {
	n.simulation.checker.checkWritten(n, ready)
	for _, m := range ready.Immediate {
		n.simulation.net.send(m)
	}
	if ready.HardState == nil && ready.Snapshot == nil && len(ready.Entries) == 0 {
		n.completeReady(ready)
		return
	}
	n.pendingWrite = &ready
	span := n.simulation.Between(100*time.Microsecond, 3*time.Millisecond)
	if n.simulation.faultsActive && n.simulation.Chance(0.02) {
		span *= 20
	}
	n.doLater(span, func() {
		n.pendingWrite = nil
		n.store(ready)
		n.completeReady(ready)
	})
}

// completeReady continues once the writes of a Ready are durable.
func (n *node) completeReady(ready replica.Ready) {
	n.replica.Persisted(n.clock(), ready)
	for _, m := range ready.Messages {
		n.simulation.net.send(m)
	}
	if ready.Snapshot != nil {
		n.machine = decodeMachine(*ready.Snapshot)
		n.simulation.checker.checkRestored(n)
	}
	for _, entry := range ready.Committed {
		n.apply(entry)
	}
	n.maybeSnapshot()
	n.simulation.checker.checkNode(n)
}

// store makes the writes of a Ready durable.
func (n *node) store(ready replica.Ready) {
	if ready.HardState != nil {
		n.disk.HardState = *ready.HardState
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
		n.simulation.Fail("node %d applies entry %d after %d", n.id, entry.Index, n.machine.index)
		return
	}
	succeeded := n.machine.apply(entry)
	n.simulation.checker.checkApplied(n, entry)
	if proposal := n.proposals[entry.Index]; proposal != nil {
		delete(n.proposals, entry.Index)
		n.simulation.client.applied(proposal, entry, succeeded)
	}
}

// maybeSnapshot makes a snapshot when enough entries were applied since the last one.
func (n *node) maybeSnapshot() {
	if n.machine.index < n.disk.Snapshot.Index+n.simulation.snapshotEvery {
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

// scheduleTick schedules a Tick for when the replica wants one.
func (n *node) scheduleTick() {
	due := max(n.simulationTime(n.replica.NextTick()), n.simulation.Now)
	if n.nextTickAt != 0 && n.nextTickAt <= due {
		return
	}
	n.nextTickAt = due
	n.doLater(due-n.simulation.Now, func() {
		if n.nextTickAt == due {
			n.nextTickAt = 0
			n.replica.Tick(n.clock())
		}
	})
}
