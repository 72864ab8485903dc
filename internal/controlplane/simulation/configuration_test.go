package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

	"oakseam/internal/controlplane/coordinator"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/delta"
	"oakseam/internal/tier/protocol"
)

const (
	changeTimeout          = 3 * time.Second
	operatorTimeout        = changeTimeout + 500*time.Millisecond
	maxChanges             = 45 // per history, so that the linearizability check ends in time
	linearizabilityTimeout = 20 * time.Second
	submitTimeout          = 2 * time.Second
	maxAttempts            = 5
	operatorCount          = 4
)

// configurationWorkload runs the configuration's group with operators that change it concurrently.
type configurationWorkload struct {
	world              *world
	changes            []*operation
	reads              []*operation
	changeByBase       map[uint64]*operation // the change that replaced a revision
	bodyByRevision     map[uint64]string     // configuration by applied revision
	resultByIndex      map[uint64]string     // result by log index
	logicalTime        int64
	newestSeen         uint64 // the newest revision that any operator saw
	lastAcknowledgedAt time.Duration

	followers          []*follower
	activations        []activation  // applied changes in their order
	changeLimit        int           // maximum number of changes
	conflictingChanges bool          // different changes carry the same revision
	blackoutStart      time.Duration // from then on no running node has the newest changes
	startMayWait       bool          // a starting process may have to wait for a majority
	checkIncrementally bool          // check each event, because the history is too long for the check at the end
}

func newConfigurationWorkload(w *world) *configurationWorkload {
	s := &configurationWorkload{
		world: w, changeByBase: map[uint64]*operation{}, bodyByRevision: map[uint64]string{}, resultByIndex: map[uint64]string{}, changeLimit: maxChanges,
		blackoutStart: time.Hour,
	}
	w.workload = s
	return s
}

// operation is an operator's change or read of the configuration. Fields whose names end in Time
// are logical times; 0 means never.
type operation struct {
	number           int
	base             uint64
	newRevision      uint64 // the revision that the change creates
	baseBody         string // the operator's idea of the configuration at base
	body             string
	digest           revisions.Digest
	attempts         int
	inFlight         bool
	callTime         int64         // of the first attempt, or of the attempt that was rejected
	acknowledgedTime int64         // of the first acknowledgement
	acknowledgedAt   time.Duration // in simulation time
	rejectedTime     int64
	appliedTime      int64 // when a node first applied it successfully
	isRead           bool  // a read, not a change
	revision         uint64
}

// operator sends one request at a time and waits for its answer.
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

// maintain does what a core node does periodically: it registers itself and repairs the members.
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

// withUnregisteredVoters adds the voters that have not registered yet.
func (s *configurationWorkload) withUnregisteredVoters(m *member, cores []protocol.Node) []protocol.Node {
	nodes := slices.Clone(cores)
	for _, id := range m.replica.Status(m.node.clock()).Members.Voters {
		n := s.world.nodeByID(id)
		if n == nil {
			continue
		}
		listed := slices.ContainsFunc(cores, func(o protocol.Node) bool { return o.ID == id || o.SameNode(n.directoryEntry()) })
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

// onApplied verifies that all nodes get the same results and that no base is replaced twice.
func (s *configurationWorkload) onApplied(m *member, index uint64, command, result []byte) {
	key := string(result)
	if known, ok := s.resultByIndex[index]; ok {
		if known != key {
			s.world.Fail("node %d gets a different result for entry %d than the others", m.node.id, index)
		}
		return
	}
	s.resultByIndex[index] = key
	var applied revisions.Command
	if err := cbor.Unmarshal(command, &applied); err != nil {
		s.world.Fail("entry %d: %v", index, err)
	}
	for _, o := range s.changes {
		if o.appliedTime == 0 && applied.Change != nil && applied.Change.Digest == o.digest && string(result) == string(revisions.Accepted.Bytes()) {
			s.recordApplied(o)
		}
	}
}

func (s *configurationWorkload) recordApplied(o *operation) {
	o.appliedTime = s.nextLogicalTime()
	if other := s.changeByBase[o.base]; other != nil {
		s.world.Fail("changes %d and %d both replaced revision %d", other.number, o.number, o.base)
	}
	s.changeByBase[o.base] = o
	s.bodyByRevision[o.newRevision] = o.body
	if s.checkIncrementally && len(s.activations) > 0 && s.activations[len(s.activations)-1].revision != o.base {
		s.world.Fail("change %d on revision %d was applied after revision %d", o.number, o.base, s.activations[len(s.activations)-1].revision)
	}
	s.activations = append(s.activations, activation{s.world.Now, o.newRevision})
	if o.rejectedTime != 0 {
		s.world.Fail("change %d to revision %d on %d was rejected, but it was applied", o.number, o.newRevision, o.base)
	}
}

// changeCommand builds the command of a change as a node does, based on the node's own state. With
// an injected bug, the node uses the operator's idea of a base that is not applied yet.
func (s *configurationWorkload) changeCommand(n *simulatedNode, o *operation) []byte {
	m := revisions.New(nil)
	if at := n.member(protocol.ConfigurationGroup); at != nil {
		m = at.stateMachine.(*revisions.Machine)
	}
	c, err := m.NewChange(o.base, o.newRevision, []byte(o.body))
	c.Digest = s.digestOf(o)
	if newest, _ := m.Configuration(); err == nil && newest < o.base {
		c.Patch, err = delta.Make([]byte(o.baseBody), []byte(o.body))
	}
	if err != nil {
		s.world.Fail("change %d: %v", o.number, err)
	}
	return s.encode(&revisions.Command{Change: c})
}

// runOperator makes an operator read the configuration or send a new or repeated change.
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

// drawChange draws a change. Most of the time its base is the newest revision that was seen. It may
// also be an older one or one that is not applied yet, or the change may not raise the revision.
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

// sendChange sends a change to a node, which has it executed.
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

// changeReply is a node's answer to an operator's change.
type changeReply struct {
	result revisions.Result
	known  bool
}

// handleChange handles a change on a core node, like coordinator.Replace.
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

// knowsRevision reports whether a node knows that a revision is or was applied.
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
		if s.world.bugs.rejectRepeatedChange && result == revisions.Accepted && o.appliedTime != 0 && s.revisionAt(s.world.Now) != o.newRevision {
			result = revisions.Conflict
		}
		answer(changeReply{result, true})
	})
}

// recordReply records and verifies the answer to an operator's change.
func (s *configurationWorkload) recordReply(o *operation, result revisions.Result, began int64) {
	w := s.world
	switch result {
	case revisions.Accepted:
		w.tally.acknowledged++
		if o.appliedTime == 0 {
			w.Fail("change %d was acknowledged, but no node has applied it", o.number)
		}
		if o.rejectedTime != 0 {
			w.Fail("change %d was acknowledged, but it was rejected before", o.number)
		}
		if o.acknowledgedTime == 0 {
			o.acknowledgedTime, o.acknowledgedAt = s.nextLogicalTime(), w.Now
		}
		s.newestSeen = max(s.newestSeen, o.newRevision)
		s.lastAcknowledgedAt = w.Now
	case revisions.Conflict, revisions.StaleRevision:
		w.tally.rejected++
		if o.appliedTime != 0 {
			w.Fail("change %d to revision %d on %d was rejected, but it is applied", o.number, o.newRevision, o.base)
		}
		o.rejectedTime, o.callTime = s.nextLogicalTime(), began
	default:
		w.Fail("change %d has the unexpected result %d", o.number, result)
	}
}

// readConfiguration makes an operator read the newest configuration from a node.
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
			s.world.Fail("a read of revision %d returned %s", r.revision, r.body)
		}
		s.world.tally.reads++
		o.revision, o.acknowledgedTime = r.revision, s.nextLogicalTime()
		s.newestSeen = max(s.newestSeen, r.revision)
		if newest := s.revisionAt(asked); s.checkIncrementally && r.revision < newest {
			s.world.Fail("a read returned revision %d, but %d was applied before it began", r.revision, newest)
		}
		s.reads = append(s.reads, o)
	})
}

// recovered reports whether the group is healthy, all nodes are registered and a change was
// acknowledged after the faults.
func (s *configurationWorkload) recovered() bool {
	voters := min(coordinator.TargetVoters(s.world.toleratedDiskLosses), len(s.world.nodes))
	for _, n := range s.world.nodes {
		if !slices.Contains(s.directory(n).Nodes, n.directoryEntry()) {
			return false
		}
	}
	return s.lastAcknowledgedAt > s.world.faultsEndAt && s.world.isHealthy(protocol.ConfigurationGroup, voters, nil)
}

// configurationModel is the sequential model of the configuration: a register with compare-and-set.
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

// check verifies that the history is linearizable. A change without a known outcome ends when a
// node first applied it; if no node did, it is left out.
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
		s.world.Fail("the linearizability check of %d operations timed out", len(history))
	}
}
