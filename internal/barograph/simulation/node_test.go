package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/protocol"
)

// machineNode is a machine with a disk, a clock and a process.
type simulatedNode struct {
	world   *world
	address endpoint
	id      replica.NodeID // of the disk
	disk    map[replica.GroupID]*replica.PersistentState

	up          bool
	incarnation int // counts starts: what an earlier process began has no effect
	clockOffset time.Duration
	clockRate   float64
	members     []*member // in the order of their opening
	frozen      bool
	deferred    []func()
}

// self is the node as the directory has it.
func (n *simulatedNode) directoryEntry() protocol.Node {
	return protocol.Node{ID: n.id, Name: n.name(), Class: n.world.class, Address: n.name()}
}

func (n *simulatedNode) name() string { return fmt.Sprintf("machine-%d", n.address) }

// clock is the node's own: it starts anywhere and drifts by a percent at most.
func (n *simulatedNode) clock() time.Duration {
	return n.clockOffset + time.Duration(float64(n.world.Now)*n.clockRate)
}

// fromClock is the simulation's time when the node's clock shows at.
func (n *simulatedNode) simulationTime(at time.Duration) time.Duration {
	return time.Duration(float64(at-n.clockOffset)/n.clockRate) + 1
}

// start begins a process on what the disk holds.
func (n *simulatedNode) start() {
	w := n.world
	n.incarnation++
	n.up = true
	n.clockRate = 0.99 + 0.02*w.Random.Float64()
	n.clockOffset = time.Duration(w.Random.Int64N(int64(time.Hour)))
	n.frozen, n.deferred, n.members = false, nil, nil
	for _, group := range w.groupsOn(n) {
		n.openGroup(group, n.disk[group])
	}
}

// open runs a group on what is kept of it.
func (n *simulatedNode) openGroup(group replica.GroupID, stored *replica.PersistentState) *member {
	w := n.world
	m := &member{node: n, group: group, stored: stored, waiters: map[uint64]*waiter{}}
	m.stateMachine = w.workload.newStateMachine(n, group)
	if err := m.stateMachine.Restore(stored.Snapshot.State); err != nil {
		w.Fail("restore %s: %v", group, err)
	}
	m.applied, m.appliedTerm = stored.Snapshot.Index, stored.Snapshot.Term
	random := rand.New(rand.NewPCG(w.Seed, w.Random.Uint64()))
	m.replica = replica.New(group, n.id, w.timing(), *stored, random, m.replicaStart())
	m.replica.SetSnapshotSource(func() replica.Snapshot { return m.stored.Snapshot })
	n.members = append(n.members, m)
	m.processReady()
	return m
}

// startOf is the time at which a replica begins, as the host has it: one that has promised
// nothing may campaign at once.
func (m *member) replicaStart() time.Duration {
	if m.stored.HardState == (replica.HardState{}) && len(m.stored.Entries) == 0 {
		return m.node.clock() - m.node.world.timing().ElectionTimeout
	}
	return m.node.clock()
}

// groupsOn are the groups on a node's disk, in order.
func (w *world) groupsOn(n *simulatedNode) []replica.GroupID {
	return sortedKeys(n.disk)
}

// begin puts a group's first members and state on the disk, before the process starts.
func (n *simulatedNode) bootstrap(group replica.GroupID, members replica.Members) {
	n.disk[group] = &replica.PersistentState{Snapshot: replica.Snapshot{Index: 1, Members: members}}
}

// member finds the node's member of a group, nil if it runs none.
func (n *simulatedNode) member(group replica.GroupID) *member {
	for _, m := range n.members {
		if m.group == group {
			return m
		}
	}
	return nil
}

// take takes a message of another member in. A group that isn't known yet is followed.
func (n *simulatedNode) receive(message replica.Message) {
	if message.To != n.id {
		return
	}
	m := n.member(message.Group)
	if m == nil {
		stored := &replica.PersistentState{}
		n.disk[message.Group] = stored
		m = n.openGroup(message.Group, stored)
	}
	m.replica.Step(n.clock(), message)
	m.processReady()
}

// crash ends the process. A write under way gets lost, or was durable already.
func (n *simulatedNode) crash() {
	if !n.up {
		return
	}
	for _, m := range n.members {
		if m.pendingWrite != nil && n.world.Chance(0.5) {
			m.persist(*m.pendingWrite)
		}
	}
	n.world.tally.crashes++
	n.incarnation++
	n.up, n.members = false, nil
}

// wipe takes the disk, and the id with it.
func (n *simulatedNode) loseDisk() {
	n.crash()
	n.world.tally.diskLosses++
	n.disk = map[replica.GroupID]*replica.PersistentState{}
	if n.world.bugs.reusedNodeID {
		return
	}
	n.world.lastID++
	n.id = n.world.lastID
}

// act runs something in the process, or later if it is frozen.
func (n *simulatedNode) execute(run func()) {
	if !n.up {
		return
	}
	if n.frozen {
		n.deferred = append(n.deferred, run)
		return
	}
	run()
	for _, m := range n.members {
		m.processReady()
	}
}

// later runs something in the process after a delay, if it is the same process then.
func (n *simulatedNode) executeAfter(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.world.After(delay, func() {
		if n.incarnation == incarnation {
			n.execute(run)
		}
	})
}

// freeze stops the process for a while: its clock goes on.
func (n *simulatedNode) freeze(span time.Duration) {
	if n.frozen || !n.up {
		return
	}
	n.world.tally.freezes++
	n.frozen = true
	incarnation := n.incarnation
	n.world.After(span, func() {
		if n.incarnation == incarnation {
			n.thaw()
		}
	})
}

// thaw goes on with what was held, in an order by lot: threads wake in any.
func (n *simulatedNode) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	deferred := n.deferred
	n.deferred = nil
	if n.world.Chance(0.5) {
		n.world.Random.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
	}
	for _, run := range deferred {
		n.execute(run)
	}
	n.execute(func() {})
}
