package replica_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pipitmux/internal/barograph/replica"
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

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}

// world is one simulation.
type world struct {
	options
	random *rand.Rand
	now    time.Duration
	events int
	order  uint64
	queue  eventQueue
	nodes  []*node // in the order of their ids
	net    network
	book   *book
	client *client
	counts counts
	faulty bool
	healAt time.Duration // when the faults end
	failed error
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
		random:  rand.New(rand.NewPCG(o.seed, 0x7eed)),
		book:    newBook(),
		faulty:  true,
	}
	w.net = network{world: w, cuts: map[link]bool{}}
	w.client = &client{world: w, effect: map[uint64]int64{}}
	w.snapshotEvery = 3 + w.random.Uint64N(40)
	w.tail = w.random.Uint64N(10)
	w.batch = 1 + w.random.IntN(8)
	w.delay = shortDelay
	w.part = 1 + w.random.Uint64N(9)
	return w
}

// simulate runs one simulation and returns the first thing that went wrong.
func simulate(o options) error {
	w := newWorld(o)
	w.found()
	w.every(5*time.Millisecond, 15*time.Millisecond, w.client.next)
	w.every(15*time.Millisecond, 40*time.Millisecond, w.administer)
	longest := 100 * time.Millisecond
	if w.frequent {
		longest = 30 * time.Millisecond
		w.batch = 1
		w.delay = longDelay
	}
	w.every(5*time.Millisecond, longest, w.fault)
	w.healAt = time.Duration(max(1, w.faults)) * faultyFor
	w.run(w.healAt, func() bool { return false })
	w.heal()
	if !w.run(w.healAt+healedFor, w.recovered) && w.failed == nil && !w.safetyOnly {
		w.fail("the group did not recover: %s", w.describe())
	}
	w.checkContradictions()
	if w.failed == nil {
		w.failed = w.client.check()
	}
	o.tally.add(w.counts)
	return w.failed
}

// checkContradictions holds that no node was sent what differs from its committed entries.
func (w *world) checkContradictions() {
	for _, n := range w.running() {
		if n.replica.Status(n.clock()).Contradicted {
			w.fail("node %d was contradicted", n.id)
		}
	}
}

// found starts the first nodes.
func (w *world) found() {
	count := w.startNodes
	if count == 0 {
		count = []int{1, 2, 3, 3, 3, 3, 4, 5}[w.random.IntN(8)]
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

// fail notes the first thing that went wrong.
func (w *world) fail(format string, arguments ...any) {
	if w.failed == nil {
		w.failed = fmt.Errorf("seed %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, arguments...))
	}
}

// after runs something later.
func (w *world) after(delay time.Duration, run func()) {
	w.order++
	heap.Push(&w.queue, event{w.now + delay, w.order, run})
}

// every runs something again and again, at intervals by lot.
func (w *world) every(shortest, longest time.Duration, run func()) {
	w.after(w.between(shortest, longest), func() {
		run()
		w.every(shortest, longest, run)
	})
}

func (w *world) between(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)+1))
}

func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

// run handles events until a time, a failure, or until done says so: it returns what done said.
func (w *world) run(until time.Duration, done func() bool) bool {
	for len(w.queue) > 0 && w.queue[0].at <= until && w.failed == nil {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
		if w.events++; w.events > mostEvents {
			w.fail("does not come to rest: %s", w.describe())
		}
		if done() {
			return w.failed == nil
		}
	}
	w.now = until
	return false
}

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
