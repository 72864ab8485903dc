package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// simulatedNode is a machine with a disk, a clock and a process.
type simulatedNode struct {
	world   *world
	address endpoint
	id      replica.NodeID // changes when the disk is lost
	disk    map[replica.GroupID]*replica.PersistentState

	up          bool
	incarnation int // number of starts; pending work of an earlier process has no effect
	clockOffset time.Duration
	clockRate   float64
	members     []*member // in the order in which they were opened
	frozen      bool
	deferred    []func()
}

// directoryEntry returns the node's entry in the directory.
func (n *simulatedNode) directoryEntry() protocol.Node {
	return protocol.Node{ID: n.id, Name: n.name(), Class: n.world.class, Address: n.name()}
}

func (n *simulatedNode) name() string { return fmt.Sprintf("machine-%d", n.address) }

// clock returns the time of the node's clock. It starts at a random value and drifts by at most 1
// %.
func (n *simulatedNode) clock() time.Duration {
	return n.clockOffset + time.Duration(float64(n.world.Now)*n.clockRate)
}

// simulationTime returns the simulation's time at which the node's clock shows at.
func (n *simulatedNode) simulationTime(at time.Duration) time.Duration {
	return time.Duration(float64(at-n.clockOffset)/n.clockRate) + 1
}

// start starts a process on the content of the disk.
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

// openGroup runs a group from its stored state.
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

// replicaStart returns the time at which a replica starts, as in package host: a replica that has
// granted no lease may campaign at once.
func (m *member) replicaStart() time.Duration {
	if m.stored.HardState == (replica.HardState{}) && len(m.stored.Entries) == 0 {
		return m.node.clock() - m.node.world.timing().ElectionTimeout
	}
	return m.node.clock()
}

// groupsOn returns the groups on a node's disk, sorted.
func (w *world) groupsOn(n *simulatedNode) []replica.GroupID {
	return sortedKeys(n.disk)
}

// bootstrap writes a group's initial members and state to the disk before the process starts.
func (n *simulatedNode) bootstrap(group replica.GroupID, members replica.Members) {
	n.disk[group] = &replica.PersistentState{Snapshot: replica.Snapshot{Index: 1, Members: members}}
}

// member returns the node's member of a group, nil if it runs none.
func (n *simulatedNode) member(group replica.GroupID) *member {
	for _, m := range n.members {
		if m.group == group {
			return m
		}
	}
	return nil
}

// receive handles a message from another member. It opens a group that the node does not run yet.
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

// crash ends the process. A write in progress is lost or durable, at random.
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

// loseDisk ends the process and loses the disk and the node id on it.
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

// execute runs something in the process. In a frozen process it runs after the thaw.
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

// executeAfter runs something in the process after a delay, unless the process has ended by then.
func (n *simulatedNode) executeAfter(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.world.After(delay, func() {
		if n.incarnation == incarnation {
			n.execute(run)
		}
	})
}

// freeze stops the process for a while. Its clock keeps running.
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

// thaw resumes the process and runs the deferred work, half of the time in a random order, because
// threads wake in any order.
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
