package replica_test

import (
	"fmt"
	"slices"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/virtualclock"
)

// The simulation runs a group on a virtual clock: nodes with disks and drifting clocks, a network with faults, a
// client and an administrator. Everything is drawn from one seed.

const (
	simulatedGroup  = replica.GroupID("simulated")
	faultDuration   = 2 * time.Second       // faults come and go for this long
	recoveryTimeout = 4 * time.Second       // the group must recover within this after the faults end
	normalMaxDelay  = 4 * time.Millisecond  // upper bound of a message's usual delay
	badMaxDelay     = 30 * time.Millisecond // the same on a bad network
	maxEvents       = 2_000_000             // a simulation with more events is in a livelock
)

var simulatedTiming = replica.Timing{
	HeartbeatInterval: 20 * time.Millisecond,
	ElectionTimeout:   100 * time.Millisecond,
	ElectionJitter:    50 * time.Millisecond,
	LeaseDuration:     80 * time.Millisecond,
	LostAfter:         time.Second,
}

// options configure a simulation.
type options struct {
	seed                uint64
	defects             replica.InjectedDefects
	keepIDAfterDiskLoss bool // a node that lost its disk keeps its ID, which is a defect
	frequentFaults      bool // faults come faster, on a bad network, and members never change
	startNodes          int  // 0: drawn from the seed
	safetyOnly          bool // a group that doesn't recover is no failure
	tally               *tally
	faultPhases         int // the faults last this many times faultDuration; 0: once
}

// simulation is the state of one simulation.
type simulation struct {
	options
	*virtualclock.Clock
	nodes        []*node // in the order of their IDs
	net          network
	checker      *checker
	client       *client
	counts       counts
	faultsActive bool
	faultsEndAt  time.Duration
	// Drawn once per simulation:
	snapshotEvery uint64
	tailEntries   uint64
	batchEntries  int
	chunkBytes    uint64
	maxDelay      time.Duration
}

func newSimulation(o options) *simulation {
	s := &simulation{
		options:      o,
		Clock:        virtualclock.NewClock(o.seed, 0x7eed, maxEvents),
		checker:      newChecker(),
		faultsActive: true,
	}
	s.Describe = s.describe
	s.net = network{simulation: s, cuts: map[link]bool{}}
	s.client = &client{simulation: s, effectAt: map[uint64]int64{}}
	s.snapshotEvery = 3 + s.Random.Uint64N(40)
	s.tailEntries = s.Random.Uint64N(10)
	s.batchEntries = 1 + s.Random.IntN(8)
	s.maxDelay = normalMaxDelay
	s.chunkBytes = 1 + s.Random.Uint64N(9)
	return s
}

// simulate runs one simulation and returns the first failure.
func simulate(o options) error {
	s := newSimulation(o)
	s.startInitialNodes()
	s.Every(5*time.Millisecond, 15*time.Millisecond, s.client.startOperation)
	s.Every(15*time.Millisecond, 40*time.Millisecond, s.administer)
	maxFaultInterval := 100 * time.Millisecond
	if s.frequentFaults {
		maxFaultInterval = 30 * time.Millisecond
		s.batchEntries = 1
		s.maxDelay = badMaxDelay
	}
	s.Every(5*time.Millisecond, maxFaultInterval, s.fault)
	s.faultsEndAt = time.Duration(max(1, s.faultPhases)) * faultDuration
	s.Run(s.faultsEndAt, func() bool { return false })
	s.heal()
	if !s.Run(s.faultsEndAt+recoveryTimeout, s.hasRecovered) && s.Failure == nil && !s.safetyOnly {
		s.Fail("the group did not recover: %s", s.describe())
	}
	s.checkLogConflicts()
	if s.Failure == nil {
		s.Failure = s.client.check()
	}
	o.tally.add(s.counts)
	return s.Failure
}

// checkLogConflicts checks that no node was sent entries that differ from its committed ones.
func (s *simulation) checkLogConflicts() {
	for _, n := range s.running() {
		if n.replica.Status(n.clock()).LogConflict {
			s.Fail("node %d reports a log conflict", n.id)
		}
	}
}

// startInitialNodes starts the first nodes.
func (s *simulation) startInitialNodes() {
	count := s.startNodes
	if count == 0 {
		count = []int{1, 2, 3, 3, 3, 3, 4, 5}[s.Random.IntN(8)]
	}
	var members replica.Members
	for id := range count {
		members.Voters = append(members.Voters, replica.NodeID(id+1))
	}
	stored := replica.PersistentState{Snapshot: replica.Snapshot{Members: members}}
	for range count {
		s.addNode(stored)
	}
	s.checker.committedMembers = members
	first := s.nodes[0]
	first.do(func() { first.replica.Campaign(first.clock()) })
}

func (s *simulation) addNode(stored replica.PersistentState) *node {
	n := &node{id: replica.NodeID(len(s.nodes) + 1), simulation: s, initial: stored}
	s.nodes = append(s.nodes, n)
	n.disk = stored
	n.start()
	return n
}

func (s *simulation) node(id replica.NodeID) *node { return s.nodes[id-1] }

// heal ends all faults.
func (s *simulation) heal() {
	s.faultsActive = false
	s.maxDelay = normalMaxDelay
	s.net.clear()
	for _, n := range s.nodes {
		if !n.diskLost && n.replica == nil {
			n.start()
		}
		n.unfreeze()
	}
}

// hasRecovered reports whether a leader has committed something since the faults ended, and all members have
// applied the same entries.
func (s *simulation) hasRecovered() bool {
	for _, n := range s.nodes {
		if n.replica == nil || !n.replica.IsLeader() || !n.replica.HasLease(n.clock()) || s.client.lastWriteAt <= s.faultsEndAt {
			continue
		}
		status := n.replica.Status(n.clock())
		return !status.ChangePending && status.CommitIndex == status.LastIndex && s.allCaughtUp(status)
	}
	return false
}

func (s *simulation) allCaughtUp(status replica.Status) bool {
	for _, id := range status.Members.All() {
		n := s.node(id)
		if n.diskLost || n.machine.index != status.CommitIndex {
			return false
		}
	}
	return true
}

func (s *simulation) describe() string {
	var text string
	for _, n := range s.nodes {
		if n.replica == nil {
			text += fmt.Sprintf("\n node %d down, disk lost %v", n.id, n.diskLost)
			continue
		}
		status := n.replica.Status(n.clock())
		text += fmt.Sprintf("\n node %d applied %d writing %v frozen %v %+v", n.id, n.machine.index, n.pendingWrite, n.frozen, status)
	}
	return text
}

// leaders returns the nodes that consider themselves the leader.
func (s *simulation) leaders() []*node {
	var leaders []*node
	for _, n := range s.nodes {
		if n.replica != nil && n.replica.IsLeader() {
			leaders = append(leaders, n)
		}
	}
	return leaders
}

// running returns the nodes with a process, frozen or not.
func (s *simulation) running() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return n.replica == nil })
}
