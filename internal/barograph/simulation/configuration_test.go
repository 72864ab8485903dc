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
	changeTimeout          = 3 * time.Second
	operatorTimeout        = changeTimeout + 500*time.Millisecond
	maxChanges             = 45 // in one history, so that it can be judged
	linearizabilityTimeout = 20 * time.Second
	submitTimeout          = 2 * time.Second
	maxAttempts            = 5
	operatorCount          = 4
)

// configurationSubject plays the configuration's group, and operators that race each other.
type configurationWorkload struct {
	world              *world
	changes            []*operation
	reads              []*operation
	changeByBase       map[uint64]*operation // which change took the place of a revision
	bodyByRevision     map[uint64]string     // by revision that was in force
	resultByIndex      map[uint64]string     // by index
	logicalTime        int64
	newestSeen         uint64 // the newest revision that an operator saw
	lastAcknowledgedAt time.Duration

	followers          []*follower
	activations        []activation  // in their order
	changeLimit        int           // in one history
	conflictingChanges bool          // each number is given to two changes
	blackoutStart      time.Duration // from then on nobody who knows of changes is there
	startMayWait       bool          // processes that start may have to wait for a majority
	checkIncrementally bool          // the history is judged as it comes: it is too long to be judged whole
}

func newConfigurationWorkload(w *world) *configurationWorkload {
	s := &configurationWorkload{
		world: w, changeByBase: map[uint64]*operation{}, bodyByRevision: map[uint64]string{}, resultByIndex: map[uint64]string{}, changeLimit: maxChanges,
		blackoutStart: time.Hour,
	}
	w.workload = s
	return s
}

// order is an operator's change, or what an operator was shown.
type operation struct {
	number           int
	base             uint64
	newRevision      uint64 // the change's revision
	baseBody         string // the body that it is thought to take the place of
	body             string
	digest           revisions.Digest
	attempts         int
	inFlight         bool
	callTime         int64 // of the first sending, or of the sending that was refused
	acknowledgedTime int64 // when it was first acknowledged
	acknowledgedAt   time.Duration
	rejectedTime     int64
	appliedTime      int64 // when a node first applied it with success
	isRead           bool  // it is a read
	revision         uint64
}

// operator calls one node at a time, and waits for the answer.
type operator struct {
	address endpoint
	busy    bool
}

func simulateConfiguration(seed uint64, injected bugs) *world {
	w := newWorld(seed, protocol.Core, injected)
	s := newConfigurationWorkload(w)
	var members replica.Members
	for range 3 + w.Random.IntN(3) {
		members.Voters = append(members.Voters, w.addNode().id)
	}
	for _, n := range w.nodes {
		n.bootstrap(protocol.ConfigurationGroup, members.Clone())
		n.start()
	}
	for i := range operatorCount {
		o := &operator{address: firstClient + endpoint(i)}
		w.Every(20*time.Millisecond, 400*time.Millisecond, func() { s.runOperator(o) })
	}
	w.runWithFaults()
	return w
}

func (s *configurationWorkload) nextLogicalTime() int64 {
	s.logicalTime++
	return s.logicalTime
}

func (s *configurationWorkload) newStateMachine(*simulatedNode, replica.GroupID) stateMachine {
	return revisions.New(nil)
}

func (s *configurationWorkload) directory(n *simulatedNode) protocol.Directory {
	m := n.member(protocol.ConfigurationGroup)
	if m == nil {
		return protocol.Directory{}
	}
	return m.stateMachine.(*revisions.Machine).Directory()
}

// tend does what a core node's loops do: it registers, and sees to the members.
func (s *configurationWorkload) maintain(n *simulatedNode) {
	d := s.directory(n)
	if self := n.directoryEntry(); !slices.Contains(d.Nodes, self) {
		command := revisions.Command{Register: &self}
		n.submit(protocol.ConfigurationGroup, s.encode(&command), submitTimeout, func(outcome, submitResult) {})
	}
	m := n.member(protocol.ConfigurationGroup)
	if m == nil || len(d.Nodes) == 0 {
		return
	}
	d.Nodes = s.withUnregisteredVoters(m, d.Nodes)
	m.repairMembers(d, true)
}

// withFirst adds the first members that have not registered yet.
func (s *configurationWorkload) withUnregisteredVoters(m *member, cores []protocol.Node) []protocol.Node {
	nodes := slices.Clone(cores)
	for _, id := range m.replica.Status(m.node.clock()).Members.Voters {
		n := s.world.nodeByID(id)
		if n == nil {
			continue
		}
		listed := slices.ContainsFunc(cores, func(o protocol.Node) bool { return o.ID == id || o.SameMachine(n.directoryEntry()) })
		if !listed {
			nodes = append(nodes, n.directoryEntry())
		}
	}
	return nodes
}

func (s *configurationWorkload) encode(c *revisions.Command) []byte {
	text, err := c.Encode()
	if err != nil {
		s.world.Fail("encode: %v", err)
	}
	return text
}

// applied holds that all nodes get the same results, and that no base is left twice.
func (s *configurationWorkload) onApplied(m *member, index uint64, command, result []byte) {
	key := string(result)
	if known, ok := s.resultByIndex[index]; ok {
		if known != key {
			s.world.Fail("node %d gets another result of entry %d than others", m.node.id, index)
		}
		return
	}
	s.resultByIndex[index] = key
	var applied revisions.Command
	if err := cbor.Unmarshal(command, &applied); err != nil {
		s.world.Fail("entry %d: %v", index, err)
	}
	for _, o := range s.changes {
		if o.appliedTime == 0 && applied.Change != nil && applied.Change.Digest == o.digest && string(result) == string(revisions.Taken.Bytes()) {
			s.recordApplied(o)
		}
	}
}

func (s *configurationWorkload) recordApplied(o *operation) {
	o.appliedTime = s.nextLogicalTime()
	if other := s.changeByBase[o.base]; other != nil {
		s.world.Fail("orders %d and %d both took the place of revision %d", other.number, o.number, o.base)
	}
	s.changeByBase[o.base] = o
	s.bodyByRevision[o.newRevision] = o.body
	if s.checkIncrementally && len(s.activations) > 0 && s.activations[len(s.activations)-1].revision != o.base {
		s.world.Fail("order %d on %d came into force after %d", o.number, o.base, s.activations[len(s.activations)-1].revision)
	}
	s.activations = append(s.activations, activation{s.world.Now, o.newRevision})
	if o.rejectedTime != 0 {
		s.world.Fail("order %d of revision %d on %d was refused, and came into force", o.number, o.newRevision, o.base)
	}
}

// command makes an order's change as a node does: by what it has. A flawed node makes it by what
// the order's base is thought to be, though it isn't in force yet.
func (s *configurationWorkload) changeCommand(n *simulatedNode, o *operation) []byte {
	m := revisions.New(nil)
	if at := n.member(protocol.ConfigurationGroup); at != nil {
		m = at.stateMachine.(*revisions.Machine)
	}
	c, err := m.Change(o.base, o.newRevision, []byte(o.body))
	c.Digest = s.digestOf(o)
	if newest, _ := m.Configuration(); err == nil && newest < o.base {
		c.Patch, err = patch.Make([]byte(o.baseBody), []byte(o.body))
	}
	if err != nil {
		s.world.Fail("order %d: %v", o.number, err)
	}
	return s.encode(&revisions.Command{Change: c})
}

// operate has an operator do something.
func (s *configurationWorkload) runOperator(at *operator) {
	w := s.world
	if at.busy {
		return
	}
	n := w.nodes[w.Random.IntN(len(w.nodes))]
	retryable := slices.DeleteFunc(slices.Clone(s.changes), func(o *operation) bool {
		return o.inFlight || o.rejectedTime != 0 || o.attempts >= maxAttempts
	})
	switch {
	case w.Chance(0.35):
		s.readConfiguration(at, n)
	case len(retryable) > 0 && w.Chance(0.4):
		s.sendChange(at, n, retryable[w.Random.IntN(len(retryable))])
	case len(s.changes) < s.changeLimit || !w.faultsEnabled:
		s.changes = append(s.changes, s.drawChange())
		s.sendChange(at, n, s.changes[len(s.changes)-1])
	}
}

// newOrder draws a change: on the newest revision that was seen most of the time, on an older
// one, on one that isn't in force yet, or one that rises not at all.
func (s *configurationWorkload) drawChange() *operation {
	w := s.world
	number := len(s.changes) + 1
	o := &operation{number: number}
	o.base = s.newestSeen
	if w.Chance(0.1) && s.newestSeen > 0 {
		o.base = w.Random.Uint64N(s.newestSeen + 1)
	}
	o.baseBody = s.bodyByRevision[o.base]
	if len(s.changes) > 0 && (w.Chance(0.25) || w.bugs.uncommittedBase && w.Chance(0.6)) {
		last := s.changes[len(s.changes)-1]
		o.base, o.baseBody = last.newRevision, last.body
	}
	o.newRevision = o.base + 1 + w.Random.Uint64N(3)
	if w.Chance(0.1) {
		o.newRevision = w.Random.Uint64N(o.base + 1)
	}
	if s.conflictingChanges && len(s.changes) > 0 && w.Chance(0.5) {
		last := s.changes[len(s.changes)-1]
		o.base, o.baseBody, o.newRevision = last.base, last.baseBody, last.newRevision
	}
	o.body = fmt.Sprintf(`{"configRevision":%d,"order":%d}`, o.newRevision, number)
	o.digest = revisions.DigestOf(o.base, []byte(o.body))
	return o
}

// send sends a change to a node, which has it carried out.
func (s *configurationWorkload) sendChange(at *operator, n *simulatedNode, o *operation) {
	o.attempts++
	o.inFlight = true
	s.world.tally.changeAttempts++
	began := s.nextLogicalTime()
	if o.callTime == 0 {
		o.callTime = began
	}
	at.busy = true
	call(s.world, at.address, n, operatorTimeout, func(answer func(changeReply)) {
		s.handleChange(n, o, answer)
	}, func(r changeReply, ok bool) {
		o.inFlight, at.busy = false, false
		if !ok || !r.known {
			s.world.tally.unknownOutcomes++
			return
		}
		s.recordReply(o, r.result, began)
	})
}

// orderReply is what a node answers to an operator's change.
type changeReply struct {
	result revisions.Result
	known  bool
}

// replace is what a core node does with a change: see coordinator.Replace.
func (s *configurationWorkload) handleChange(n *simulatedNode, o *operation, answer func(changeReply)) {
	if s.knowsRevision(n, o.base) || s.world.bugs.uncommittedBase {
		s.propose(n, o, answer)
		return
	}
	n.awaitReadIndex(protocol.ConfigurationGroup, changeTimeout, func(ok bool) {
		switch {
		case !ok:
			answer(changeReply{})
		case s.knowsRevision(n, o.base):
			s.propose(n, o, answer)
		default:
			answer(changeReply{revisions.Conflict, true})
		}
	})
}

// reached tells whether a node knows that a revision is or was in force.
func (s *configurationWorkload) knowsRevision(n *simulatedNode, revision uint64) bool {
	m := n.member(protocol.ConfigurationGroup)
	if m == nil {
		return false
	}
	newest, _ := m.stateMachine.(*revisions.Machine).Configuration()
	return newest >= revision
}

func (s *configurationWorkload) propose(n *simulatedNode, o *operation, answer func(changeReply)) {
	n.submit(protocol.ConfigurationGroup, s.changeCommand(n, o), changeTimeout, func(got outcome, v submitResult) {
		if v != submitDone {
			answer(changeReply{})
			return
		}
		result, err := revisions.ReadResult(got.result)
		if err != nil {
			s.world.Fail("result: %v", err)
		}
		if s.world.bugs.rejectRepeatedChange && result == revisions.Taken && o.appliedTime != 0 && s.revisionAt(s.world.Now) != o.newRevision {
			result = revisions.Conflict
		}
		answer(changeReply{result, true})
	})
}

// answered notes what an operator was told.
func (s *configurationWorkload) recordReply(o *operation, result revisions.Result, began int64) {
	w := s.world
	switch result {
	case revisions.Taken:
		w.tally.acknowledged++
		if o.appliedTime == 0 {
			w.Fail("order %d is acknowledged, and no node has it in force", o.number)
		}
		if o.rejectedTime != 0 {
			w.Fail("order %d is acknowledged, and was refused before", o.number)
		}
		if o.acknowledgedTime == 0 {
			o.acknowledgedTime, o.acknowledgedAt = s.nextLogicalTime(), w.Now
		}
		s.newestSeen = max(s.newestSeen, o.newRevision)
		s.lastAcknowledgedAt = w.Now
	case revisions.Conflict, revisions.Stale:
		w.tally.rejected++
		if o.appliedTime != 0 {
			w.Fail("order %d of revision %d on %d is in force, and was refused", o.number, o.newRevision, o.base)
		}
		o.rejectedTime, o.callTime = s.nextLogicalTime(), began
	default:
		w.Fail("order %d has the result %d", o.number, result)
	}
}

// show has a node show the newest configuration.
func (s *configurationWorkload) readConfiguration(at *operator, n *simulatedNode) {
	o := &operation{isRead: true, callTime: s.nextLogicalTime()}
	asked := s.world.Now
	type shown struct {
		revision uint64
		body     string
		ok       bool
	}
	at.busy = true
	call(s.world, at.address, n, operatorTimeout, func(answer func(shown)) {
		n.awaitReadIndex(protocol.ConfigurationGroup, changeTimeout, func(ok bool) {
			if m := n.member(protocol.ConfigurationGroup); m != nil && ok {
				revision, body := m.stateMachine.(*revisions.Machine).Configuration()
				answer(shown{revision, string(body), true})
			}
		})
	}, func(r shown, ok bool) {
		at.busy = false
		if !ok || !r.ok {
			return
		}
		if r.revision != 0 && !strings.HasPrefix(r.body, fmt.Sprintf(`{"configRevision":%d,`, r.revision)) {
			s.world.Fail("revision %d is shown as %s", r.revision, r.body)
		}
		s.world.tally.reads++
		o.revision, o.acknowledgedTime = r.revision, s.nextLogicalTime()
		s.newestSeen = max(s.newestSeen, r.revision)
		if newest := s.revisionAt(asked); s.checkIncrementally && r.revision < newest {
			s.world.Fail("revision %d is shown, and %d was in force when it was asked for", r.revision, newest)
		}
		s.reads = append(s.reads, o)
	})
}

// recovered tells whether the group is kept well and an order was acknowledged.
func (s *configurationWorkload) recovered() bool {
	voters := min(coordinator.VotersWanted(s.world.toleratedDiskLosses), len(s.world.nodes))
	for _, n := range s.world.nodes {
		if !slices.Contains(s.directory(n).Nodes, n.directoryEntry()) {
			return false
		}
	}
	return s.lastAcknowledgedAt > s.world.faultsEndAt && s.world.isHealthy(protocol.ConfigurationGroup, voters, nil)
}

// configurationModel is what the history must fit: one register with compare-and-set.
var configurationModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, _ any) (bool, any) {
		current, o := state.(uint64), input.(*operation)
		fits := o.base == current && o.newRevision > current
		switch {
		case o.isRead:
			return o.revision == current, current
		case o.rejectedTime != 0:
			return !fits, current
		case fits:
			return true, o.newRevision
		}
		return false, current
	},
}

// check judges the history. A change whose outcome no operator knows was carried out before
// any node had it in force, or not at all.
func (s *configurationWorkload) check() {
	if s.checkIncrementally {
		return
	}
	var history []porcupine.Operation
	for _, o := range slices.Concat(s.changes, s.reads) {
		end := max(o.acknowledgedTime, o.rejectedTime)
		if end == 0 {
			end = o.appliedTime
		}
		if end != 0 {
			history = append(history, porcupine.Operation{Input: o, Call: o.callTime, Return: end})
		}
	}
	switch porcupine.CheckOperationsTimeout(configurationModel, history, linearizabilityTimeout) {
	case porcupine.Illegal:
		s.world.Fail("the history of the configuration is not linearizable")
	case porcupine.Unknown:
		s.world.Fail("the history of %d orders could not be judged in time", len(history))
	}
}
