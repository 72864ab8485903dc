package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

	"pipitmux/internal/barograph/coordinator"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/station/patch"
	"pipitmux/internal/station/protocol"
)

const (
	orderWithin    = 3 * time.Second
	patience       = orderWithin + 500*time.Millisecond
	mostOrders     = 45 // in one history, so that it can be judged
	judgeWithin    = 20 * time.Second
	submitWithin   = 2 * time.Second
	mostSendings   = 5
	operatorsCount = 4
)

// configurationSubject plays the configuration's group, and operators that race each other.
type configurationSubject struct {
	world   *world
	orders  []*order
	reads   []*order
	bases   map[uint64]*order // which change took the place of a revision
	bodies  map[uint64]string // by revision that was in force
	results map[uint64]string // by index
	ticks   int64
	seen    uint64 // the newest revision that an operator saw
	lastOK  time.Duration

	followers []*follower
	forces    []inForce     // in their order
	orderMost int           // in one history
	twins     bool          // each number is given to two changes
	darkFrom  time.Duration // from then on nobody who knows of changes is there
	mayWait   bool          // processes that start may have to wait for a majority
	inTurn    bool          // the history is judged as it comes: it is too long to be judged whole
}

func newConfigurationSubject(w *world) *configurationSubject {
	s := &configurationSubject{
		world: w, bases: map[uint64]*order{}, bodies: map[uint64]string{}, results: map[uint64]string{}, orderMost: mostOrders,
		darkFrom: time.Hour,
	}
	w.subject = s
	return s
}

// order is an operator's change, or what an operator was shown.
type order struct {
	number   int
	base     uint64
	rises    uint64 // the change's revision
	before   string // the body that it is thought to take the place of
	body     string
	digest   revisions.Digest
	sent     int
	open     bool
	call     int64 // of the first sending, or of the sending that was refused
	taken    int64 // when it was first acknowledged
	takenAt  time.Duration
	refused  int64
	inForce  int64 // when a node first applied it with success
	shown    bool  // it is a read
	revision uint64
}

// operator calls one node at a time, and waits for the answer.
type operator struct {
	place endpoint
	waits bool
}

func playConfiguration(seed uint64, defects flaws) *world {
	w := newWorld(seed, protocol.Core, defects)
	s := newConfigurationSubject(w)
	var members replica.Members
	for range 3 + w.Random.IntN(3) {
		members.Voters = append(members.Voters, w.addNode().id)
	}
	for _, n := range w.nodes {
		n.begin(protocol.ConfigurationGroup, members.Clone())
		n.start()
	}
	for i := range operatorsCount {
		o := &operator{place: firstClient + endpoint(i)}
		w.Every(20*time.Millisecond, 400*time.Millisecond, func() { s.operate(o) })
	}
	w.play()
	return w
}

func (s *configurationSubject) tick() int64 {
	s.ticks++
	return s.ticks
}

func (s *configurationSubject) machine(*machineNode, replica.GroupID) machine {
	return revisions.New(nil)
}

func (s *configurationSubject) directory(n *machineNode) protocol.Directory {
	m := n.member(protocol.ConfigurationGroup)
	if m == nil {
		return protocol.Directory{}
	}
	return m.machine.(*revisions.Machine).Directory()
}

// tend does what a core node's loops do: it registers, and sees to the members.
func (s *configurationSubject) tend(n *machineNode) {
	d := s.directory(n)
	if self := n.self(); !slices.Contains(d.Nodes, self) {
		command := revisions.Command{Register: &self}
		n.submit(protocol.ConfigurationGroup, s.encode(&command), submitWithin, func(outcome, verdict) {})
	}
	m := n.member(protocol.ConfigurationGroup)
	if m == nil || len(d.Nodes) == 0 {
		return
	}
	d.Nodes = s.withFirst(m, d.Nodes)
	m.repair(d, true)
}

// withFirst adds the first members that have not registered yet.
func (s *configurationSubject) withFirst(m *member, cores []protocol.Node) []protocol.Node {
	nodes := slices.Clone(cores)
	for _, id := range m.replica.Status(m.node.clock()).Members.Voters {
		n := s.world.withID(id)
		if n == nil {
			continue
		}
		listed := slices.ContainsFunc(cores, func(o protocol.Node) bool { return o.ID == id || o.SameMachine(n.self()) })
		if !listed {
			nodes = append(nodes, n.self())
		}
	}
	return nodes
}

func (s *configurationSubject) encode(c *revisions.Command) []byte {
	text, err := c.Encode()
	if err != nil {
		s.world.Fail("encode: %v", err)
	}
	return text
}

// applied holds that all nodes get the same results, and that no base is left twice.
func (s *configurationSubject) applied(m *member, index uint64, command, result []byte) {
	key := string(result)
	if known, ok := s.results[index]; ok {
		if known != key {
			s.world.Fail("node %d gets another result of entry %d than others", m.node.id, index)
		}
		return
	}
	s.results[index] = key
	var applied revisions.Command
	if err := cbor.Unmarshal(command, &applied); err != nil {
		s.world.Fail("entry %d: %v", index, err)
	}
	for _, o := range s.orders {
		if o.inForce == 0 && applied.Change != nil && applied.Change.Digest == o.digest && string(result) == string(revisions.Taken.Bytes()) {
			s.force(o)
		}
	}
}

func (s *configurationSubject) force(o *order) {
	o.inForce = s.tick()
	if other := s.bases[o.base]; other != nil {
		s.world.Fail("orders %d and %d both took the place of revision %d", other.number, o.number, o.base)
	}
	s.bases[o.base] = o
	s.bodies[o.rises] = o.body
	if s.inTurn && len(s.forces) > 0 && s.forces[len(s.forces)-1].revision != o.base {
		s.world.Fail("order %d on %d came into force after %d", o.number, o.base, s.forces[len(s.forces)-1].revision)
	}
	s.forces = append(s.forces, inForce{s.world.Now, o.rises})
	if o.refused != 0 {
		s.world.Fail("order %d of revision %d on %d was refused, and came into force", o.number, o.rises, o.base)
	}
}

// command makes an order's change as a node does: by what it has. A flawed node makes it by what
// the order's base is thought to be, though it isn't in force yet.
func (s *configurationSubject) command(n *machineNode, o *order) []byte {
	m := revisions.New(nil)
	if at := n.member(protocol.ConfigurationGroup); at != nil {
		m = at.machine.(*revisions.Machine)
	}
	c, err := m.Change(o.base, o.rises, []byte(o.body))
	c.Digest = s.digestOf(o)
	if newest, _ := m.Configuration(); err == nil && newest < o.base {
		c.Patch, err = patch.Make([]byte(o.before), []byte(o.body))
	}
	if err != nil {
		s.world.Fail("order %d: %v", o.number, err)
	}
	return s.encode(&revisions.Command{Change: c})
}

// operate has an operator do something.
func (s *configurationSubject) operate(at *operator) {
	w := s.world
	if at.waits {
		return
	}
	n := w.nodes[w.Random.IntN(len(w.nodes))]
	unclear := slices.DeleteFunc(slices.Clone(s.orders), func(o *order) bool {
		return o.open || o.refused != 0 || o.sent >= mostSendings
	})
	switch {
	case w.Chance(0.35):
		s.show(at, n)
	case len(unclear) > 0 && w.Chance(0.4):
		s.send(at, n, unclear[w.Random.IntN(len(unclear))])
	case len(s.orders) < s.orderMost || !w.faulty:
		s.orders = append(s.orders, s.newOrder())
		s.send(at, n, s.orders[len(s.orders)-1])
	}
}

// newOrder draws a change: on the newest revision that was seen most of the time, on an older
// one, on one that isn't in force yet, or one that rises not at all.
func (s *configurationSubject) newOrder() *order {
	w := s.world
	number := len(s.orders) + 1
	o := &order{number: number}
	o.base = s.seen
	if w.Chance(0.1) && s.seen > 0 {
		o.base = w.Random.Uint64N(s.seen + 1)
	}
	o.before = s.bodies[o.base]
	if len(s.orders) > 0 && (w.Chance(0.25) || w.flaws.futureBase && w.Chance(0.6)) {
		last := s.orders[len(s.orders)-1]
		o.base, o.before = last.rises, last.body
	}
	o.rises = o.base + 1 + w.Random.Uint64N(3)
	if w.Chance(0.1) {
		o.rises = w.Random.Uint64N(o.base + 1)
	}
	if s.twins && len(s.orders) > 0 && w.Chance(0.5) {
		last := s.orders[len(s.orders)-1]
		o.base, o.before, o.rises = last.base, last.before, last.rises
	}
	o.body = fmt.Sprintf(`{"configRevision":%d,"order":%d}`, o.rises, number)
	o.digest = revisions.DigestOf(o.base, []byte(o.body))
	return o
}

// send sends a change to a node, which has it carried out.
func (s *configurationSubject) send(at *operator, n *machineNode, o *order) {
	o.sent++
	o.open = true
	s.world.tally.orders++
	began := s.tick()
	if o.call == 0 {
		o.call = began
	}
	at.waits = true
	call(s.world, at.place, n, patience, func(answer func(orderReply)) {
		s.replace(n, o, answer)
	}, func(r orderReply, ok bool) {
		o.open, at.waits = false, false
		if !ok || !r.known {
			s.world.tally.unclear++
			return
		}
		s.answered(o, r.result, began)
	})
}

// orderReply is what a node answers to an operator's change.
type orderReply struct {
	result revisions.Result
	known  bool
}

// replace is what a core node does with a change: see coordinator.Replace.
func (s *configurationSubject) replace(n *machineNode, o *order, answer func(orderReply)) {
	if s.reached(n, o.base) || s.world.flaws.futureBase {
		s.propose(n, o, answer)
		return
	}
	n.confirm(protocol.ConfigurationGroup, orderWithin, func(ok bool) {
		switch {
		case !ok:
			answer(orderReply{})
		case s.reached(n, o.base):
			s.propose(n, o, answer)
		default:
			answer(orderReply{revisions.Conflict, true})
		}
	})
}

// reached tells whether a node knows that a revision is or was in force.
func (s *configurationSubject) reached(n *machineNode, revision uint64) bool {
	m := n.member(protocol.ConfigurationGroup)
	if m == nil {
		return false
	}
	newest, _ := m.machine.(*revisions.Machine).Configuration()
	return newest >= revision
}

func (s *configurationSubject) propose(n *machineNode, o *order, answer func(orderReply)) {
	n.submit(protocol.ConfigurationGroup, s.command(n, o), orderWithin, func(got outcome, v verdict) {
		if v != done {
			answer(orderReply{})
			return
		}
		result, err := revisions.ReadResult(got.result)
		if err != nil {
			s.world.Fail("result: %v", err)
		}
		if s.world.flaws.forgetTaken && result == revisions.Taken && o.inForce != 0 && s.forcedBy(s.world.Now) != o.rises {
			result = revisions.Conflict
		}
		answer(orderReply{result, true})
	})
}

// answered notes what an operator was told.
func (s *configurationSubject) answered(o *order, result revisions.Result, began int64) {
	w := s.world
	switch result {
	case revisions.Taken:
		w.tally.taken++
		if o.inForce == 0 {
			w.Fail("order %d is acknowledged, and no node has it in force", o.number)
		}
		if o.refused != 0 {
			w.Fail("order %d is acknowledged, and was refused before", o.number)
		}
		if o.taken == 0 {
			o.taken, o.takenAt = s.tick(), w.Now
		}
		s.seen = max(s.seen, o.rises)
		s.lastOK = w.Now
	case revisions.Conflict, revisions.Stale:
		w.tally.refused++
		if o.inForce != 0 {
			w.Fail("order %d of revision %d on %d is in force, and was refused", o.number, o.rises, o.base)
		}
		o.refused, o.call = s.tick(), began
	default:
		w.Fail("order %d has the result %d", o.number, result)
	}
}

// show has a node show the newest configuration.
func (s *configurationSubject) show(at *operator, n *machineNode) {
	o := &order{shown: true, call: s.tick()}
	asked := s.world.Now
	type shown struct {
		revision uint64
		body     string
		ok       bool
	}
	at.waits = true
	call(s.world, at.place, n, patience, func(answer func(shown)) {
		n.confirm(protocol.ConfigurationGroup, orderWithin, func(ok bool) {
			if m := n.member(protocol.ConfigurationGroup); m != nil && ok {
				revision, body := m.machine.(*revisions.Machine).Configuration()
				answer(shown{revision, string(body), true})
			}
		})
	}, func(r shown, ok bool) {
		at.waits = false
		if !ok || !r.ok {
			return
		}
		if r.revision != 0 && !strings.HasPrefix(r.body, fmt.Sprintf(`{"configRevision":%d,`, r.revision)) {
			s.world.Fail("revision %d is shown as %s", r.revision, r.body)
		}
		s.world.tally.reads++
		o.revision, o.taken = r.revision, s.tick()
		s.seen = max(s.seen, r.revision)
		if newest := s.forcedBy(asked); s.inTurn && r.revision < newest {
			s.world.Fail("revision %d is shown, and %d was in force when it was asked for", r.revision, newest)
		}
		s.reads = append(s.reads, o)
	})
}

// recovered tells whether the group is kept well and an order was acknowledged.
func (s *configurationSubject) recovered() bool {
	voters := min(coordinator.VotersWanted(s.world.losses), len(s.world.nodes))
	for _, n := range s.world.nodes {
		if !slices.Contains(s.directory(n).Nodes, n.self()) {
			return false
		}
	}
	return s.lastOK > s.world.healAt && s.world.keptWell(protocol.ConfigurationGroup, voters, nil)
}

// configurationModel is what the history must fit: one register with compare-and-set.
var configurationModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		current, o := state.(uint64), input.(*order)
		fits := o.base == current && o.rises > current
		switch {
		case o.shown:
			return o.revision == current, current
		case o.refused != 0:
			return !fits, current
		case fits:
			return true, o.rises
		}
		return false, current
	},
}

// check judges the history. A change whose outcome no operator knows was carried out before
// any node had it in force, or not at all.
func (s *configurationSubject) check() {
	if s.inTurn {
		return
	}
	var history []porcupine.Operation
	for _, o := range slices.Concat(s.orders, s.reads) {
		end := max(o.taken, o.refused)
		if end == 0 {
			end = o.inForce
		}
		if end != 0 {
			history = append(history, porcupine.Operation{Input: o, Call: o.call, Return: end})
		}
	}
	switch porcupine.CheckOperationsTimeout(configurationModel, history, judgeWithin) {
	case porcupine.Illegal:
		s.world.Fail("the history of the configuration is not linearizable")
	case porcupine.Unknown:
		s.world.Fail("the history of %d orders could not be judged in time", len(history))
	}
}
