// Package simulation plays whole subjects of the control plane on a virtual clock:
// replicas with their state machines on nodes whose disks, clocks and networks fail, and
// the clients that call them. What a run does follows from its seed alone.
package simulation

import (
	"fmt"
	"time"

	"pipitmux/internal/barograph/node"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/simulated"
	"pipitmux/internal/station/protocol"
)

const (
	faultyFor  = 8 * time.Second       // faults come and go for this long
	healedFor  = 25 * time.Second      // and all must be well again within this
	shortDelay = 4 * time.Millisecond  // the most that a message takes, usually
	longDelay  = 60 * time.Millisecond // and on a bad network
	mostEvents = 3_000_000             // a simulation with more never comes to rest
)

// flaws are defects that tests of the tests give the nodes or their clients.
type flaws struct {
	findWithoutLease bool // a member says that it lacks a turn though it may lag behind
	finishEarly      bool // the end of a turn is answered before its commit
	admitEarly       bool // a reservation is answered before its commit
	freeOnDeath      bool // an edge's death frees what it had reserved
	oldLease         bool // the lease of the newest tick counts, also after a freeze
	forgetful        bool // a wiped node comes back under its old id
	dutyWithoutLease bool // the owner of a duty acts on it without a lease
	futureBase       bool // a change on a base that isn't in force yet gets into the log
	anyEnds          bool // any edge ends a try, whichever has it
	firstHeir        bool // a duty is handed to the first of the other voters
	unannounced      bool // a node becomes a voter before the directory knows
	noEpoch          bool // publications take the epoch that their partition is in
	vouchAlways      bool // a core node says that there is nothing new without contact to an owner
	believeOne       bool // a process believes a single core node a while after its start
	numberOnly       bool // changes are told apart by their numbers alone
	forgetTaken      bool // an order that was taken, and followed by another, is refused when it comes again
}

// unsafe tells whether a flaw is to show in what happens, not in what never does.
func (f flaws) unsafe() bool { return f != flaws{} && !f.firstHeir }

// machine is a state machine as the host runs it.
type machine interface {
	Apply(command []byte) []byte
	Snapshot() []byte
	Restore(state []byte) error
}

// subject is what a world plays beside its nodes: the groups, and who calls them.
type subject interface {
	// machine makes a group's empty state machine.
	machine(n *machineNode, group replica.GroupID) machine
	// applied is told of each command that a node applies, with its result.
	applied(m *member, index uint64, command, result []byte)
	// directory is the directory as far as a node knows.
	directory(n *machineNode) protocol.Directory
	// tend is called now and then on each running node.
	tend(n *machineNode)
	// recovered tells whether all is well after the faults.
	recovered() bool
	// check judges what happened.
	check()
}

// world is one simulation.
type world struct {
	*simulated.Clock
	flaws   flaws
	subject subject
	class   protocol.Class
	network network
	nodes   []*machineNode // by place
	ids     replica.NodeID // the newest that was given
	losses  int
	faulty  bool
	healAt  time.Duration
	wiped   time.Duration // when a disk was lost last
	tally   counts
	// drawn once:
	compactAfter int
	delay        time.Duration
}

// counts are of what happened: what never happens is not tested either.
type counts struct {
	owners, changes, wipes, crashes, freezes, restored, reads, orders, taken, refused, unclear uint64
	turns, whole, missing, imports, spent, deaths, forgotten                                   uint64
	acts, publications, late, handovers, retired                                               uint64
}

func newWorld(seed uint64, class protocol.Class, defects flaws) *world {
	w := &world{Clock: simulated.NewClock(seed, 0xba20, mostEvents), class: class, flaws: defects, faulty: true, losses: 1}
	w.Describe = w.describe
	w.network = network{world: w, cuts: map[direction]bool{}, lossy: map[direction]float64{}}
	w.compactAfter = 3 + w.Random.IntN(60)
	w.delay = shortDelay
	return w
}

// play runs the world: faults for a while, then until all is well again.
func (w *world) play() {
	w.Every(50*time.Millisecond, 700*time.Millisecond, w.fault)
	for _, n := range w.nodes {
		w.Every(100*time.Millisecond, 200*time.Millisecond, func() { n.act(func() { w.subject.tend(n) }) })
	}
	w.healAt = faultyFor
	w.Run(w.healAt, func() bool { return false })
	w.heal()
	checkAt := w.Now
	recovered := func() bool {
		if w.Now < checkAt {
			return false
		}
		checkAt = w.Now + 50*time.Millisecond
		return w.subject.recovered()
	}
	if !w.Run(w.healAt+healedFor, recovered) && w.Failed == nil && !w.flaws.unsafe() {
		w.Fail("all is not well again %v after the faults: %s", healedFor, w.describe())
	}
	if w.Failed == nil {
		w.subject.check()
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.faulty = false
	w.delay = shortDelay
	w.network.clear()
	for _, n := range w.nodes {
		if !n.up {
			n.start()
		}
		n.thaw()
	}
}

// describe tells of all nodes, for failures.
func (w *world) describe() string {
	var text string
	for _, n := range w.nodes {
		text += fmt.Sprintf("\n node %d id %d up %v frozen %v", n.place, n.id, n.up, n.frozen)
		for _, m := range n.members {
			text += fmt.Sprintf("\n  applied %d %+v", m.applied, m.replica.Status(n.clock()))
		}
	}
	return text
}

// running are the nodes with a process, frozen or not.
func (w *world) running() []*machineNode {
	var running []*machineNode
	for _, n := range w.nodes {
		if n.up {
			running = append(running, n)
		}
	}
	return running
}

// withID finds the node that has an id now.
func (w *world) withID(id replica.NodeID) *machineNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// addNode adds a machine with an empty disk; start begins its process.
func (w *world) addNode() *machineNode {
	w.ids++
	n := &machineNode{world: w, place: endpoint(len(w.nodes)), id: w.ids, disk: map[replica.GroupID]*replica.PersistentState{}}
	w.nodes = append(w.nodes, n)
	return n
}

// timing is what the groups of this world's nodes keep in production too.
func (w *world) timing() replica.Timing { return node.Timing(w.class) }

func (c *counts) add(o counts) {
	for _, pair := range []struct {
		to   *uint64
		from uint64
	}{
		{&c.owners, o.owners}, {&c.changes, o.changes}, {&c.wipes, o.wipes}, {&c.crashes, o.crashes},
		{&c.freezes, o.freezes}, {&c.restored, o.restored}, {&c.reads, o.reads}, {&c.orders, o.orders},
		{&c.taken, o.taken}, {&c.refused, o.refused}, {&c.unclear, o.unclear}, {&c.turns, o.turns},
		{&c.whole, o.whole}, {&c.missing, o.missing}, {&c.imports, o.imports}, {&c.spent, o.spent},
		{&c.deaths, o.deaths}, {&c.forgotten, o.forgotten}, {&c.acts, o.acts},
		{&c.publications, o.publications}, {&c.late, o.late}, {&c.handovers, o.handovers}, {&c.retired, o.retired},
	} {
		*pair.to += pair.from
	}
}
