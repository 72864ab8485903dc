// Package simulation tests the control plane's replicated groups on a virtual clock: replicas with
// their state machines run on nodes whose disks, clocks and networks fail, and clients call them. A
// run is determined by its seed.
package simulation

import (
	"fmt"
	"time"

	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/virtualclock"
	"oakseam/internal/tier/protocol"
)

const (
	faultDuration    = 8 * time.Second       // how long faults are injected
	recoveryTimeout  = 25 * time.Second      // bound on the recovery after the last fault
	normalMaxDelay   = 4 * time.Millisecond  // maximum delay of a message on a good network
	degradedMaxDelay = 60 * time.Millisecond // and on a degraded network
	maxEvents        = 3_000_000             // a simulation with more does not terminate
)

// bugs are injected into the nodes or their clients to prove that the simulations detect them.
type bugs struct {
	findWithoutLease     bool // a member without the lease reports a turn missing, although it may lag behind
	endBeforeCommit      bool // the end of a turn is confirmed before its commit
	admitBeforeCommit    bool // a reservation is confirmed before its commit
	releaseOnEdgeCrash   bool // the crash of an edge releases its reservations
	staleLease           bool // the lease is checked only at ticks, so it counts even after a freeze
	reusedNodeID         bool // a node that lost its disk keeps its node id
	listWithoutLease     bool // the leader of a singleton task acts without a lease
	uncommittedBase      bool // a change on a base that is not committed yet is proposed
	endWithoutToken      bool // any edge can end an attempt, also one that another edge runs
	fixedSuccessor       bool // a singleton task is always transferred to the first of the other voters
	unannouncedVoter     bool // a node becomes a voter before the directory lists it
	epochFromPartition   bool // publications carry the epoch of the partition, not of the lister
	vouchWithoutLeader   bool // a core node confirms its state as current without contact to the leader
	trustOneNode         bool // a process trusts a single core node some time after its start
	compareRevisionOnly  bool // changes are identified by their revision alone
	rejectRepeatedChange bool // a change that was accepted and superseded is rejected when it is sent again
	lateEvacuation       bool // an evacuation order is proposed although its caller is gone and it is old
	staleEvacuation      bool // an evacuation order is acknowledged from a node's own state, without a read index
}

// violatesSafety reports whether the bugs show in a wrong result. The others show in a run that
// does not recover.
func (f bugs) violatesSafety() bool { return f != bugs{} && !f.fixedSuccessor }

// stateMachine is a replicated state machine, as in package host.
type stateMachine interface {
	Apply(command []byte) []byte
	Snapshot() []byte
	Restore(state []byte) error
}

// workload is what a world runs on its nodes: groups and their clients.
type workload interface {
	// newStateMachine returns a group's empty state machine.
	newStateMachine(n *simulatedNode, group replica.GroupID) stateMachine
	// onApplied is called for each command that a node applies, with its result.
	onApplied(m *member, index uint64, command, result []byte)
	// directory returns the directory as a node sees it.
	directory(n *simulatedNode) protocol.Directory
	// maintain is called periodically on each running node.
	maintain(n *simulatedNode)
	// recovered reports whether the workload has recovered from the faults.
	recovered() bool
	// check verifies the run's history.
	check()
}

// world is one simulation: nodes, a network, faults and a workload.
type world struct {
	*virtualclock.Clock
	bugs                bugs
	workload            workload
	class               protocol.Class
	network             network
	nodes               []*simulatedNode // by address
	lastID              replica.NodeID   // the last node id that was assigned
	toleratedDiskLosses int
	faultsEnabled       bool
	faultsEndAt         time.Duration
	lastDiskLoss        time.Duration // when a disk was last lost
	tally               counts
	compactAfter        int           // entries between two snapshots
	maxDelay            time.Duration // maximum delay of a message
}

// counts are statistics of a run. Tests check them, because an event that never happens is not
// tested.
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
	abandonedOrders     uint64 // evacuation orders that were not proposed because their caller was gone, or they were old or overtaken
}

func newWorld(seed uint64, class protocol.Class, injected bugs) *world {
	w := &world{Clock: virtualclock.NewClock(seed, 0xba20, maxEvents), class: class, bugs: injected, faultsEnabled: true, toleratedDiskLosses: 1}
	w.Describe = w.describe
	w.network = network{world: w, cutLinks: map[link]bool{}, linkLossRate: map[link]float64{}}
	w.compactAfter = 3 + w.Random.IntN(60)
	w.maxDelay = normalMaxDelay
	return w
}

// runWithFaults runs the world with faults for a while, and then without until it recovers.
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
		w.Fail("no recovery within %v after the faults: %s", recoveryTimeout, w.describe())
	}
	if w.Failure == nil {
		w.workload.check()
	}
}

// heal ends all faults and starts the nodes that are down.
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

// describe returns the state of all nodes for failure messages.
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

// running returns the nodes with a process, frozen or not.
func (w *world) running() []*simulatedNode {
	var running []*simulatedNode
	for _, n := range w.nodes {
		if n.up {
			running = append(running, n)
		}
	}
	return running
}

// nodeByID returns the node that has an id now.
func (w *world) nodeByID(id replica.NodeID) *simulatedNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// addNode adds a node with an empty disk. Its process is not started.
func (w *world) addNode() *simulatedNode {
	w.lastID++
	n := &simulatedNode{world: w, address: endpoint(len(w.nodes)), id: w.lastID, disk: map[replica.GroupID]*replica.PersistentState{}}
	w.nodes = append(w.nodes, n)
	return n
}

// timing returns the timing that groups on these nodes have in production.
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
		{&c.abandonedOrders, o.abandonedOrders},
	} {
		*pair.to += pair.from
	}
}
