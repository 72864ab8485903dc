package tallysync

import (
	"context"
	"reflect"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/protocol"
)

// The model explores three nodes exhaustively: every order of the starts of exchanges, the deliveries of
// requests and answers, adds, acknowledgements, a cut and its end, silence, a restart and a lost disk. Each
// step calls the node's real code; only the goroutines, the timers and the transport are the model's.
//
//   - A write and what is told of it are one step. A crash between them is the loss of the message.
//   - Between two nodes that reach each other, calls end before a node's patience does. A node loses patience
//     only with those that the cut separates from it.
//   - A process restarts at once, and so does one whose disk is replaced by an empty one.
//   - Disks are neither full nor slow, and processes do not stand still.

const (
	modelNodes = 3
	modelLoss  = 1 // machines that may be lost at once
	modelTally = "t"
	// modelLostOrigin is the origin of the disk that replaces a lost one.
	modelLostOrigin = tallies.Origin(9)
)

var modelAddresses = [modelNodes]string{"a", "b", "c"}

// phase is the part of a history with respect to the cut.
type phase uint8

const (
	beforeCut phase = iota
	inCut
	healed // less than the merge bound ago
	merged
)

// modelDefects are wrong variants that the model must catch.
type modelDefects struct {
	oneCopySuffices     bool // an add is acknowledged with this node's copy only
	readyAtOnce         bool // a process answers before it has heard from others
	sumOfLogs           bool // a total is the sum of all logs, repeated ids included
	vectorsOnlyGrow     bool // what an emptied disk held is still counted
	copiesAreNotCounted bool // only what is lost in the end counts, not the copies at the acknowledgement
	originIsContinued   bool // an emptied disk starts the log of the lost one again
}

// modelBounds limit what is explored.
type modelBounds struct {
	cut        func(from, to int) bool // nil: no cut
	adds       int
	sameID     bool // both adds have the same id
	maxCalls   int  // calls that are under way at the same time; 0: each is made in one step
	restarts   int
	restartAll bool // a restart is one of all processes at once
	lostDisks  int
	defects    modelDefects
}

// modelDisk is what a machine has synced.
type modelDisk struct {
	origin   tallies.Origin
	runs     []tallies.Run
	complete bool
}

func (d *modelDisk) Origin() tallies.Origin { return d.origin }
func (d *modelDisk) Complete() bool         { return d.complete }

func (d *modelDisk) SetComplete() error {
	d.complete = true
	return nil
}

func (d *modelDisk) Load(add func(tallies.Run) error) error {
	for _, run := range d.runs {
		if err := add(run); err != nil {
			return err
		}
	}
	return nil
}

func (d *modelDisk) Append(runs []tallies.Run) error {
	d.runs = append(d.runs, runs...)
	return nil
}

// holds reports whether the disk has an entry with an id.
func (d *modelDisk) holds(member string) bool {
	for _, run := range d.runs {
		if slices.ContainsFunc(run.Entries, func(e tallies.Entry) bool { return e.Member == member }) {
			return true
		}
	}
	return false
}

// modelNode is a process with its disk. It is not changed once another state of the model shares it.
type modelNode struct {
	*Node
	disk       *modelDisk
	life       int             // of the process
	diskLife   int             // of the disk
	heard      [modelNodes]int // the disk life with which each other node answered last
	readyApart bool            // it became ready while a cut may have hidden adds
	sameID     bool            // an id may come twice
	owedAtBoot int64           // amounts of the adds that were owed when the process started
}

// clone copies what a step may change. The state is replaced by write, not changed.
func (n *modelNode) clone() *modelNode {
	c := *n
	disk := *n.disk
	disk.runs = slices.Clip(disk.runs)
	c.disk = &disk
	c.Node = cloneNode(n.Node, &disk)
	return &c
}

// clonedNodeFields and clonedPeerFields are the fields that cloneNode and appendNode of the model know.
const (
	clonedNodeFields = 27
	clonedPeerFields = 11
)

func cloneNode(n *Node, disk Store) *Node {
	c := &Node{
		self: n.self, requiredCopies: n.requiredCopies, interval: n.interval, store: disk, members: n.members,
		queued: n.queued, stopped: n.stopped, progress: n.progress, state: n.state,
		peers: make(map[string]*peer, len(n.peers)), ready: n.ready, ended: n.ended, complete: n.complete, degraded: n.degraded,
		joined: n.joined, aloneTicks: n.aloneTicks, patienceTicks: n.patienceTicks,
		holders: n.holders, // the model has none: only whether they are asked changes
	}
	for address, p := range n.peers {
		copied := *p
		c.peers[address] = &copied
		if n.pulling == p {
			c.pulling = &copied
		}
	}
	return c
}

// A field that the model does not copy would make it explore something else than the node.
func TestModelCopiesEveryField(t *testing.T) {
	assert.Equal(t, reflect.TypeFor[Node]().NumField(), clonedNodeFields, "extend cloneNode and appendNode")
	assert.Equal(t, reflect.TypeFor[peer]().NumField(), clonedPeerFields, "extend cloneNode and appendNode")
}

// write passes a change through the node's writer.
func (n *modelNode) write(c *change) changeResult {
	n.enqueue(c)
	n.drain()
	return <-c.done
}

// drain writes what is queued. The state is built anew, because other states of the model share it.
func (n *modelNode) drain() {
	if len(n.changes) == 0 {
		return
	}
	n.state = tallies.New(n.disk.origin)
	if err := n.disk.Load(func(run tallies.Run) error { _, err := n.state.Apply(run); return err }); err != nil {
		panic(err)
	}
	for changes := n.takeChanges(); len(changes) > 0; changes = n.takeChanges() {
		if err := n.commit(context.Background(), changes); err != nil {
			panic(err)
		}
	}
	n.changes = nil
}

// modelCall is one exchange under way. It is replaced, not changed.
type modelCall struct {
	from, to int
	life     int // of the calling process
	args     *ExchangeArgs
	sent     tallies.Vector
	reply    *ExchangeReply // nil: the request is under way
	diskLife int            // of the disk behind the reply
}

// addOutcome is what the caller of an add knows.
type addOutcome uint8

const (
	addUnsent addOutcome = iota
	addWaiting
	addAcknowledged
	addUncertain // the process that was called has ended
)

// modelAdd is a call of an add.
type modelAdd struct {
	member   string
	amount   int64 // a power of two, so that a total tells which adds it holds
	outcome  addOutcome
	at, life int // the node that was called, and the life of its process
	position tallies.Position
	phase    phase // of the acknowledgement
	excused  bool  // not owed: the node that acknowledged it behind a cut lost its disk too early
}

// owed reports whether totals must contain the add in the end.
func (a *modelAdd) owed() bool { return a.outcome == addAcknowledged && !a.excused }

// model is one state of the group, its messages and its callers.
type model struct {
	bounds    *modelBounds
	phase     phase
	nodes     [modelNodes]*modelNode
	calls     []*modelCall // in the order of from, to and life
	adds      []modelAdd
	restarts  int
	lostDisks int
	lost      *modelDisk // the disk that was lost last
	lostAt    int
	failure   string     // a rule that the step to this state broke
	private   bool       // no other state shares the nodes
	path      *modelPath // the steps to this state
}

func newModel(bounds *modelBounds) *model {
	m := &model{bounds: bounds, restarts: bounds.restarts, lostDisks: bounds.lostDisks}
	m.adds = []modelAdd{{member: "x", amount: 1}, {member: "y", amount: 2}}[:bounds.adds]
	if bounds.sameID {
		m.adds[1] = m.adds[0]
	}
	for i := range modelNodes {
		m.nodes[i] = m.boot(i, &modelDisk{origin: tallies.Origin(i + 1)}, 1, 1)
	}
	m.settle()
	return m
}

// boot starts a process.
func (m *model) boot(i int, disk *modelDisk, life, diskLife int) *modelNode {
	self := protocol.Node{ID: replica.NodeID(i + 1), Class: protocol.Core, Address: modelAddresses[i], Zone: modelAddresses[i]}
	node, err := New(Options{Self: self, ToleratedLosses: modelLoss, Store: disk, Members: func() []protocol.Node { return nil }})
	if err != nil {
		panic(err)
	}
	for j, address := range modelAddresses {
		if j != i {
			node.peers[address] = newPeer(address, nil)
			node.peers[address].zone = address
		}
	}
	if m.bounds.defects.oneCopySuffices {
		node.requiredCopies = 1
	}
	node.ready = m.bounds.defects.readyAtOnce
	n := &modelNode{Node: node, disk: disk, life: life, diskLife: diskLife, sameID: m.bounds.sameID}
	for k := range m.adds {
		if m.adds[k].owed() {
			n.owedAtBoot |= m.adds[k].amount
		}
	}
	return n
}

func (m *model) clone() *model {
	c := *m
	c.adds = slices.Clone(m.adds)
	c.calls = slices.Clone(m.calls)
	return &c
}

// change returns a node that may be changed, a copy if other states share it.
func (m *model) change(i int) *modelNode {
	if !m.private {
		m.nodes[i] = m.nodes[i].clone()
	}
	return m.nodes[i]
}

// open reports whether packets pass from one node to another.
func (m *model) open(from, to int) bool { return m.phase != inCut || !m.bounds.cut(from, to) }

// linked reports whether two nodes reach each other.
func (m *model) linked(i, j int) bool { return m.open(i, j) && m.open(j, i) }

// noteReady records under which circumstances a node became ready.
func (m *model) noteReady(n *modelNode, before bool) {
	if n.ready && !before {
		n.readyApart = m.phase == inCut || m.phase == healed
	}
}

// startCall begins an exchange and returns the place of its call.
func (m *model) startCall(i, j int) int {
	n := m.change(i)
	call := &modelCall{from: i, to: j, life: n.life}
	call.args, call.sent = n.newExchange(n.peers[modelAddresses[j]])
	m.calls = append(m.calls, call)
	m.sortCalls()
	return slices.Index(m.calls, call)
}

func (m *model) sortCalls() {
	slices.SortFunc(m.calls, func(a, b *modelCall) int {
		return (a.from-b.from)*100 + (a.to-b.to)*10 + (a.life - b.life)
	})
}

// deliverRequest lets the called node store and answer.
func (m *model) deliverRequest(at int) {
	answered := *m.calls[at]
	n := m.change(answered.to)
	n.heardFrom(answered.args.Address)
	reply := &ExchangeReply{}
	if len(answered.args.Runs) > 0 {
		err := n.write(&change{runs: answered.args.Runs}).err
		reply.Stalled = errors.Is(err, ErrNotReady) || errors.Is(err, ErrUncertain)
	}
	if err := n.answer(answered.args, reply); err != nil {
		panic(err)
	}
	answered.reply, answered.diskLife = reply, n.diskLife
	m.calls[at] = &answered
	if answered.life != m.nodes[answered.from].life {
		m.calls = slices.Delete(m.calls, at, at+1)
	}
}

// deliverReply lets the calling node take the answer.
func (m *model) deliverReply(at int) {
	call := m.calls[at]
	m.calls = slices.Delete(m.calls, at, at+1)
	n := m.change(call.from)
	p := n.peers[modelAddresses[call.to]]
	reply, ready, held := *call.reply, n.ready, p.vector
	if len(reply.Runs) > 0 && n.write(&change{runs: reply.Runs}).err != nil {
		reply.Runs = nil
	}
	n.finishExchange(p, call.args, &reply, call.sent)
	n.endPull(p)
	n.drain()
	n.heard[call.to] = call.diskLife
	if m.bounds.defects.vectorsOnlyGrow {
		p.vector = largerVector(held, p.vector)
	}
	m.noteReady(n, ready)
}

func largerVector(a, b tallies.Vector) tallies.Vector {
	larger := tallies.Vector{}
	for origin := range modelLostOrigin + 1 {
		if last := max(a[origin], b[origin]); last > 0 {
			larger[origin] = last
		}
	}
	return larger
}

// exchangeAtOnce makes a whole exchange, or one without an answer if a cut allows none.
func (m *model) exchangeAtOnce(i, j int) {
	at := m.startCall(i, j)
	m.deliverRequest(at)
	if m.open(j, i) {
		m.deliverReply(at)
	} else {
		m.endCall(at)
	}
}

// endCall lets a call fail.
func (m *model) endCall(at int) {
	call := m.calls[at]
	m.calls = slices.Delete(m.calls, at, at+1)
	if m.nodes[call.from].life == call.life {
		n := m.change(call.from)
		n.endPull(n.peers[modelAddresses[call.to]])
	}
}

// impatient reports whether ticks without an answer can change what a node thinks of a peer.
func impatient(p *peer) bool { return p.reachable || !p.settled }

// impatientAlone reports whether ticks can make a node that reaches no other one take adds.
func (m *model) impatientAlone(i int) bool {
	n := m.nodes[i]
	if n.joined || n.aloneTicks >= n.patienceTicks {
		return false
	}
	for j := range modelNodes {
		if j != i && m.linked(i, j) {
			return false
		}
	}
	return true
}

// losePatience lets the ticks pass at a node until it thinks otherwise of those that the cut separates from
// it, or else of itself. Those that it reaches have answered meanwhile.
func (m *model) losePatience(i int) {
	n := m.change(i)
	ready, lost := n.ready, false
	for j, address := range modelAddresses {
		p := n.peers[address]
		if p == nil || m.linked(i, j) || !impatient(p) {
			continue
		}
		lost = true
		if p.reachable {
			p.missedTicks = max(p.missedTicks, unreachableTicks-1)
		} else {
			p.unheardTicks = startTicks - 1
		}
	}
	if !lost && m.impatientAlone(i) {
		n.aloneTicks = n.patienceTicks - 1
	}
	n.tick(n.interval)
	for _, p := range n.peers { // only whether the patience has ended is a part of the state
		p.missedTicks, p.unheardTicks = 0, 0
	}
	if n.aloneTicks < n.patienceTicks {
		n.aloneTicks = 0
	}
	n.drain()
	m.noteReady(n, ready)
}

// sendAdd calls a node. It reports whether the node took the add.
func (m *model) sendAdd(k, i int) bool {
	a := &m.adds[k]
	n := m.change(i)
	c := &change{entry: &tallies.Entry{Tally: modelTally, Member: a.member, Amount: a.amount}}
	if n.enqueueReady(c) != nil {
		return false
	}
	n.drain()
	result := <-c.done
	if result.err != nil {
		return false
	}
	a.outcome, a.at, a.life, a.position = addWaiting, i, n.life, result.position
	return true
}

// acknowledgeAll answers the adds that have enough copies, as far as their nodes know.
func (m *model) acknowledgeAll() {
	for k := range m.adds {
		a := &m.adds[k]
		if a.outcome != addWaiting || !m.nodes[a.at].copied(a.position, nil) {
			continue
		}
		a.outcome, a.phase = addAcknowledged, m.phase
		if m.failure == "" {
			m.failure = m.missingCopies(a)
		}
	}
}

// replaceProcess starts a process anew.
func (m *model) replaceProcess(i int, disk *modelDisk, diskLife int) {
	for at := len(m.calls) - 1; at >= 0; at-- {
		call := m.calls[at]
		requestIsLost := call.to == i && call.reply == nil
		replyIsLost := call.from == i && call.reply != nil
		if requestIsLost || replyIsLost {
			m.endCall(at)
		}
	}
	for k := range m.adds {
		if m.adds[k].outcome == addWaiting && m.adds[k].at == i {
			m.adds[k].outcome = addUncertain
		}
	}
	m.nodes[i] = m.boot(i, disk, m.nodes[i].life+1, diskLife)
}

func (m *model) restart(i int) {
	disk := *m.nodes[i].disk
	disk.runs = slices.Clip(disk.runs)
	m.replaceProcess(i, &disk, m.nodes[i].diskLife)
}

// loseDisk replaces a disk by an empty one.
func (m *model) loseDisk(i int) {
	m.lost, m.lostAt = m.nodes[i].disk, i
	for k := range m.adds {
		a := &m.adds[k]
		behindCut := a.outcome == addAcknowledged && (a.phase == inCut || a.phase == healed)
		a.excused = a.excused || behindCut && a.at == i && m.phase != merged
	}
	origin := modelLostOrigin
	if m.bounds.defects.originIsContinued {
		origin = m.lost.origin
	}
	m.replaceProcess(i, &modelDisk{origin: origin}, m.nodes[i].diskLife+1)
}

// mergeRounds is the number of exchanges that each node makes with each other one within the merge bound.
const mergeRounds = int(DefaultMergeBound / maxInterval)

// settle lets the merge bound pass without disruption.
func (m *model) settle() {
	for i := range m.nodes {
		m.change(i)
	}
	m.private = true
	defer func() { m.private = false }()
	for len(m.calls) > 0 {
		if m.calls[0].reply == nil {
			m.deliverRequest(0)
		} else {
			m.deliverReply(0)
		}
	}
	for range mergeRounds {
		for i := range modelNodes {
			for j := range modelNodes {
				if i != j {
					m.exchangeAtOnce(i, j)
				}
			}
		}
		if m.settled() {
			return
		}
	}
}

// settled reports whether all nodes hold the same and know it.
func (m *model) settled() bool {
	for _, n := range m.nodes {
		if !n.ready || n.state.Digest() != m.nodes[0].state.Digest() {
			return false
		}
		for _, p := range n.peers {
			if !p.reachable || !p.settled || !p.complete || p.vector.Digest() != n.state.Digest() {
				return false
			}
		}
	}
	return true
}
