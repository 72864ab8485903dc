package replica_test

import (
	"fmt"
	"slices"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/simulated"
)

// The simulation runs a group on a clock of its own: nodes with disks and drifting clocks, a
// network with faults, a client, an administrator. Everything is drawn from one seed.

const (
	simulatedGroup = replica.GroupID("simulated")
	faultyFor      = 2 * time.Second       // faults come and go for this long
	healedFor      = 4 * time.Second       // and the group must recover within this
	shortDelay     = 4 * time.Millisecond  // the most that a message takes, usually
	longDelay      = 30 * time.Millisecond // and on a bad network
	mostEvents     = 2_000_000             // a simulation with more never comes to rest
)

var simulatedTiming = replica.Timing{
	Heartbeat: 20 * time.Millisecond,
	Election:  100 * time.Millisecond,
	Spread:    50 * time.Millisecond,
	Lease:     80 * time.Millisecond,
	Silent:    time.Second,
}

// options say what a simulation is like beside its seed.
type options struct {
	seed       uint64
	flaws      replica.Flaws
	forgetful  bool // a wiped node comes back under its old id: a flaw
	frequent   bool // faults come faster, on a bad network, to members that stay the same
	startNodes int  // 0: by lot
	safetyOnly bool // a group that doesn't recover is no failure
	tally      *tally
	faults     int // how many times faultyFor the faults last; 0: once
}

// world is one simulation.
type world struct {
	options
	*simulated.Clock
	nodes  []*node // in the order of their ids
	net    network
	book   *book
	client *client
	counts counts
	faulty bool
	healAt time.Duration // when the faults end
	// drawn once:
	snapshotEvery uint64
	tail          uint64
	batch         int
	part          uint64
	delay         time.Duration
}

func newWorld(o options) *world {
	w := &world{
		options: o,
		Clock:   simulated.NewClock(o.seed, 0x7eed, mostEvents),
		book:    newBook(),
		faulty:  true,
	}
	w.Describe = w.describe
	w.net = network{world: w, cuts: map[link]bool{}}
	w.client = &client{world: w, effect: map[uint64]int64{}}
	w.snapshotEvery = 3 + w.Random.Uint64N(40)
	w.tail = w.Random.Uint64N(10)
	w.batch = 1 + w.Random.IntN(8)
	w.delay = shortDelay
	w.part = 1 + w.Random.Uint64N(9)
	return w
}

// simulate runs one simulation and returns the first thing that went wrong.
func simulate(o options) error {
	w := newWorld(o)
	w.found()
	w.Every(5*time.Millisecond, 15*time.Millisecond, w.client.next)
	w.Every(15*time.Millisecond, 40*time.Millisecond, w.administer)
	longest := 100 * time.Millisecond
	if w.frequent {
		longest = 30 * time.Millisecond
		w.batch = 1
		w.delay = longDelay
	}
	w.Every(5*time.Millisecond, longest, w.fault)
	w.healAt = time.Duration(max(1, w.faults)) * faultyFor
	w.Run(w.healAt, func() bool { return false })
	w.heal()
	if !w.Run(w.healAt+healedFor, w.recovered) && w.Failure == nil && !w.safetyOnly {
		w.Fail("the group did not recover: %s", w.describe())
	}
	w.checkContradictions()
	if w.Failure == nil {
		w.Failure = w.client.check()
	}
	o.tally.add(w.counts)
	return w.Failure
}

// checkContradictions holds that no node was sent what differs from its committed entries.
func (w *world) checkContradictions() {
	for _, n := range w.running() {
		if n.replica.Status(n.clock()).Contradicted {
			w.Fail("node %d was contradicted", n.id)
		}
	}
}

// found starts the first nodes.
func (w *world) found() {
	count := w.startNodes
	if count == 0 {
		count = []int{1, 2, 3, 3, 3, 3, 4, 5}[w.Random.IntN(8)]
	}
	var members replica.Members
	for id := range count {
		members.Voters = append(members.Voters, replica.NodeID(id+1))
	}
	stored := replica.Stored{Snapshot: replica.Snapshot{Members: members}}
	for range count {
		w.addNode(stored)
	}
	w.book.members = members
	first := w.nodes[0]
	first.act(func() { first.replica.Campaign(first.clock()) })
}

func (w *world) addNode(stored replica.Stored) *node {
	n := &node{id: replica.NodeID(len(w.nodes) + 1), world: w, first: stored}
	w.nodes = append(w.nodes, n)
	n.disk = stored
	n.start()
	return n
}

func (w *world) node(id replica.NodeID) *node { return w.nodes[id-1] }

// heal ends all faults.
func (w *world) heal() {
	w.faulty = false
	w.delay = shortDelay
	w.net.clear()
	for _, n := range w.nodes {
		if !n.gone && n.replica == nil {
			n.start()
		}
		n.thaw()
	}
}

// recovered tells whether an owner has committed something since the faults ended, and all
// members hold the same.
func (w *world) recovered() bool {
	for _, n := range w.nodes {
		if n.replica == nil || !n.replica.Owns() || !n.replica.Leased(n.clock()) || w.client.doneAt <= w.healAt {
			continue
		}
		status := n.replica.Status(n.clock())
		return !status.Pending && status.Commit == status.Last && w.inStep(status)
	}
	return false
}

func (w *world) inStep(status replica.Status) bool {
	for _, id := range status.Members.All() {
		n := w.node(id)
		if n.gone || n.machine.index != status.Commit {
			return false
		}
	}
	return true
}

func (w *world) describe() string {
	var text string
	for _, n := range w.nodes {
		if n.replica == nil {
			text += fmt.Sprintf("\n node %d down, gone %v", n.id, n.gone)
			continue
		}
		status := n.replica.Status(n.clock())
		text += fmt.Sprintf("\n node %d applied %d writing %v frozen %v %+v", n.id, n.machine.index, n.writing, n.frozen, status)
	}
	return text
}

// owners are the nodes that take themselves for the owner.
func (w *world) owners() []*node {
	var owners []*node
	for _, n := range w.nodes {
		if n.replica != nil && n.replica.Owns() {
			owners = append(owners, n)
		}
	}
	return owners
}

// running are the nodes with a process, frozen or not.
func (w *world) running() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.replica == nil })
}
