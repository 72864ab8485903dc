package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/protocol"
)

// machineNode is a machine with a disk, a clock and a process.
type machineNode struct {
	world *world
	place endpoint
	id    replica.NodeID // of the disk
	disk  map[replica.GroupID]*replica.PersistentState

	up      bool
	life    int // counts starts: what an earlier process began has no effect
	offset  time.Duration
	rate    float64
	members []*member // in the order of their opening
	frozen  bool
	held    []func()
}

// self is the node as the directory has it.
func (n *machineNode) self() protocol.Node {
	return protocol.Node{ID: n.id, Name: n.name(), Class: n.world.class, Address: n.name()}
}

func (n *machineNode) name() string { return fmt.Sprintf("machine-%d", n.place) }

// clock is the node's own: it starts anywhere and drifts by a percent at most.
func (n *machineNode) clock() time.Duration {
	return n.offset + time.Duration(float64(n.world.Now)*n.rate)
}

// fromClock is the simulation's time when the node's clock shows at.
func (n *machineNode) fromClock(at time.Duration) time.Duration {
	return time.Duration(float64(at-n.offset)/n.rate) + 1
}

// start begins a process on what the disk holds.
func (n *machineNode) start() {
	w := n.world
	n.life++
	n.up = true
	n.rate = 0.99 + 0.02*w.Random.Float64()
	n.offset = time.Duration(w.Random.Int64N(int64(time.Hour)))
	n.frozen, n.held, n.members = false, nil, nil
	for _, group := range w.groupsOn(n) {
		n.open(group, n.disk[group])
	}
}

// open runs a group on what is kept of it.
func (n *machineNode) open(group replica.GroupID, stored *replica.PersistentState) *member {
	w := n.world
	m := &member{node: n, group: group, stored: stored, waiting: map[uint64]*waiter{}}
	m.machine = w.subject.machine(n, group)
	if err := m.machine.Restore(stored.Snapshot.State); err != nil {
		w.Fail("restore %s: %v", group, err)
	}
	m.applied, m.appliedTerm = stored.Snapshot.Index, stored.Snapshot.Term
	lot := rand.New(rand.NewPCG(w.Seed, w.Random.Uint64()))
	m.replica = replica.New(group, n.id, w.timing(), *stored, lot, m.startOf())
	m.replica.SetSnapshotSource(func() replica.Snapshot { return m.stored.Snapshot })
	n.members = append(n.members, m)
	m.settle()
	return m
}

// startOf is the time at which a replica begins, as the host has it: one that has promised
// nothing may campaign at once.
func (m *member) startOf() time.Duration {
	if m.stored.HardState == (replica.HardState{}) && len(m.stored.Entries) == 0 {
		return m.node.clock() - m.node.world.timing().ElectionTimeout
	}
	return m.node.clock()
}

// groupsOn are the groups on a node's disk, in order.
func (w *world) groupsOn(n *machineNode) []replica.GroupID {
	return sortedKeys(n.disk)
}

// begin puts a group's first members and state on the disk, before the process starts.
func (n *machineNode) begin(group replica.GroupID, members replica.Members) {
	n.disk[group] = &replica.PersistentState{Snapshot: replica.Snapshot{Index: 1, Members: members}}
}

// member finds the node's member of a group, nil if it runs none.
func (n *machineNode) member(group replica.GroupID) *member {
	for _, m := range n.members {
		if m.group == group {
			return m
		}
	}
	return nil
}

// take takes a message of another member in. A group that isn't known yet is followed.
func (n *machineNode) take(message replica.Message) {
	if message.To != n.id {
		return
	}
	m := n.member(message.Group)
	if m == nil {
		stored := &replica.PersistentState{}
		n.disk[message.Group] = stored
		m = n.open(message.Group, stored)
	}
	m.replica.Step(n.clock(), message)
	m.settle()
}

// crash ends the process. A write under way gets lost, or was durable already.
func (n *machineNode) crash() {
	if !n.up {
		return
	}
	for _, m := range n.members {
		if m.writing != nil && n.world.Chance(0.5) {
			m.store(*m.writing)
		}
	}
	n.world.tally.crashes++
	n.life++
	n.up, n.members = false, nil
}

// wipe takes the disk, and the id with it.
func (n *machineNode) wipe() {
	n.crash()
	n.world.tally.wipes++
	n.disk = map[replica.GroupID]*replica.PersistentState{}
	if n.world.flaws.forgetful {
		return
	}
	n.world.ids++
	n.id = n.world.ids
}

// act runs something in the process, or later if it is frozen.
func (n *machineNode) act(run func()) {
	if !n.up {
		return
	}
	if n.frozen {
		n.held = append(n.held, run)
		return
	}
	run()
	for _, m := range n.members {
		m.settle()
	}
}

// later runs something in the process after a delay, if it is the same process then.
func (n *machineNode) later(delay time.Duration, run func()) {
	life := n.life
	n.world.After(delay, func() {
		if n.life == life {
			n.act(run)
		}
	})
}

// freeze stops the process for a while: its clock goes on.
func (n *machineNode) freeze(span time.Duration) {
	if n.frozen || !n.up {
		return
	}
	n.world.tally.freezes++
	n.frozen = true
	life := n.life
	n.world.After(span, func() {
		if n.life == life {
			n.thaw()
		}
	})
}

// thaw goes on with what was held, in an order by lot: threads wake in any.
func (n *machineNode) thaw() {
	if !n.frozen {
		return
	}
	n.frozen = false
	held := n.held
	n.held = nil
	if n.world.Chance(0.5) {
		n.world.Random.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
	}
	for _, run := range held {
		n.act(run)
	}
	n.act(func() {})
}
