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
	faultDuration    = 8 * time.Second       // faults come and go for this long
	recoveryTimeout  = 25 * time.Second      // and all must be well again within this
	normalMaxDelay   = 4 * time.Millisecond  // the most that a message takes, usually
	degradedMaxDelay = 60 * time.Millisecond // and on a bad network
	maxEvents        = 3_000_000             // a simulation with more never comes to rest
)

// flaws are defects that tests of the tests give the nodes or their clients.
type bugs struct {
	findWithoutLease     bool // a member says that it lacks a turn though it may lag behind
	endBeforeCommit      bool // the end of a turn is answered before its commit
	admitBeforeCommit    bool // a reservation is answered before its commit
	releaseOnEdgeCrash   bool // an edge's death frees what it had reserved
	staleLease           bool // the lease of the newest tick counts, also after a freeze
	reusedNodeID         bool // a wiped node comes back under its old id
	listWithoutLease     bool // the owner of a duty acts on it without a lease
	uncommittedBase      bool // a change on a base that isn't in force yet gets into the log
	endWithoutToken      bool // any edge ends a try, whichever has it
	fixedSuccessor       bool // a duty is handed to the first of the other voters
	unannouncedVoter     bool // a node becomes a voter before the directory knows
	epochFromPartition   bool // publications take the epoch that their partition is in
	vouchWithoutLeader   bool // a core node says that there is nothing new without contact to an owner
	trustOneNode         bool // a process believes a single core node a while after its start
	compareRevisionOnly  bool // changes are told apart by their numbers alone
	rejectRepeatedChange bool // an order that was taken, and followed by another, is refused when it comes again
}

// unsafe tells whether a flaw is to show in what happens, not in what never does.
func (f bugs) violatesSafety() bool { return f != bugs{} && !f.fixedSuccessor }

// machine is a state machine as the host runs it.
type stateMachine interface {
	Apply(command []byte) []byte
	Snapshot() []byte
	Restore(state []byte) error
}

// subject is what a world plays beside its nodes: the groups, and who calls them.
type workload interface {
	// machine makes a group's empty state machine.
	newStateMachine(n *simulatedNode, group replica.GroupID) stateMachine
	// applied is told of each command that a node applies, with its result.
	onApplied(m *member, index uint64, command, result []byte)
	// directory is the directory as far as a node knows.
	directory(n *simulatedNode) protocol.Directory
	// tend is called now and then on each running node.
	maintain(n *simulatedNode)
	// recovered tells whether all is well after the faults.
	recovered() bool
	// check judges what happened.
	check()
}

// world is one simulation.
type world struct {
	*simulated.Clock
	bugs                bugs
	workload            workload
	class               protocol.Class
	network             network
	nodes               []*simulatedNode // by place
	lastID              replica.NodeID   // the newest that was given
	toleratedDiskLosses int
	faultsEnabled       bool
	faultsEndAt         time.Duration
	lastDiskLoss        time.Duration // when a disk was lost last
	tally               counts
	// drawn once:
	compactAfter int
	maxDelay     time.Duration
}

// counts are of what happened: what never happens is not tested either.
type counts struct {
	leaderTerms         uint64 // terms in which a group had a leader
	membershipChanges   uint64 // proposed membership changes
	diskLosses          uint64
	crashes             uint64
	freezes             uint64
	installedSnapshots  uint64
	reads               uint64 // reads of the configuration that were answered
	changeAttempts      uint64 // configuration changes that operators sent, repetitions included
	acknowledged        uint64 // configuration changes answered with success
	rejected            uint64 // configuration changes answered with a conflict
	unknownOutcomes     uint64 // configuration changes without an answer
	turns               uint64 // attempts of turns
	completedTurns      uint64 // turns that clients were told are complete
	missing             uint64 // turns whose previous turn was reported missing
	imports             uint64 // turns that imported a history from another partition
	overBudget          uint64 // turns refused because the budget was spent
	edgeCrashes         uint64
	forgotten           uint64 // commands that delete programs after their retention
	listings            uint64 // listings by the lister's active node
	publications        uint64
	outdated            uint64 // publications that had no effect
	leadershipTransfers uint64
	retirements         uint64
}

func newWorld(seed uint64, class protocol.Class, injected bugs) *world {
	w := &world{Clock: simulated.NewClock(seed, 0xba20, maxEvents), class: class, bugs: injected, faultsEnabled: true, toleratedDiskLosses: 1}
	w.Describe = w.describe
	w.network = network{world: w, cutLinks: map[link]bool{}, linkLossRate: map[link]float64{}}
	w.compactAfter = 3 + w.Random.IntN(60)
	w.maxDelay = normalMaxDelay
	return w
}

// play runs the world: faults for a while, then until all is well again.
func (w *world) runWithFaults() {
	w.Every(50*time.Millisecond, 700*time.Millisecond, w.fault)
	for _, n := range w.nodes {
		w.Every(100*time.Millisecond, 200*time.Millisecond, func() { n.execute(func() { w.workload.maintain(n) }) })
	}
	w.faultsEndAt = faultDuration
	w.Run(w.faultsEndAt, func() bool { return false })
	w.heal()
	checkAt := w.Now
	recovered := func() bool {
		if w.Now < checkAt {
			return false
		}
		checkAt = w.Now + 50*time.Millisecond
		return w.workload.recovered()
	}
	if !w.Run(w.faultsEndAt+recoveryTimeout, recovered) && w.Failure == nil && !w.bugs.violatesSafety() {
		w.Fail("all is not well again %v after the faults: %s", recoveryTimeout, w.describe())
	}
	if w.Failure == nil {
		w.workload.check()
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.faultsEnabled = false
	w.maxDelay = normalMaxDelay
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
		text += fmt.Sprintf("\n node %d id %d up %v frozen %v", n.address, n.id, n.up, n.frozen)
		for _, m := range n.members {
			text += fmt.Sprintf("\n  applied %d %+v", m.applied, m.replica.Status(n.clock()))
		}
	}
	return text
}

// running are the nodes with a process, frozen or not.
func (w *world) running() []*simulatedNode {
	var running []*simulatedNode
	for _, n := range w.nodes {
		if n.up {
			running = append(running, n)
		}
	}
	return running
}

// withID finds the node that has an id now.
func (w *world) nodeByID(id replica.NodeID) *simulatedNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// addNode adds a machine with an empty disk; start begins its process.
func (w *world) addNode() *simulatedNode {
	w.lastID++
	n := &simulatedNode{world: w, address: endpoint(len(w.nodes)), id: w.lastID, disk: map[replica.GroupID]*replica.PersistentState{}}
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
		{&c.leaderTerms, o.leaderTerms}, {&c.membershipChanges, o.membershipChanges}, {&c.diskLosses, o.diskLosses}, {&c.crashes, o.crashes},
		{&c.freezes, o.freezes}, {&c.installedSnapshots, o.installedSnapshots}, {&c.reads, o.reads}, {&c.changeAttempts, o.changeAttempts},
		{&c.acknowledged, o.acknowledged}, {&c.rejected, o.rejected}, {&c.unknownOutcomes, o.unknownOutcomes}, {&c.turns, o.turns},
		{&c.completedTurns, o.completedTurns}, {&c.missing, o.missing}, {&c.imports, o.imports}, {&c.overBudget, o.overBudget},
		{&c.edgeCrashes, o.edgeCrashes}, {&c.forgotten, o.forgotten}, {&c.listings, o.listings},
		{&c.publications, o.publications}, {&c.outdated, o.outdated}, {&c.leadershipTransfers, o.leadershipTransfers}, {&c.retirements, o.retirements},
	} {
		*pair.to += pair.from
	}
}
