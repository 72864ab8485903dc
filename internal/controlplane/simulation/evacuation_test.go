package simulation

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/protocol"
)

const (
	evacuatedZone = "zone"
	// orderTimeout is how long an operator waits for a node before it closes the connection and turns
	// to another one. The node proposes an order of at most maxOrderAge, callerCheckDelay after it has
	// read the zone's version, as in package coordinator.
	orderTimeout     = time.Second
	maxOrderAge      = time.Second
	callerCheckDelay = 50 * time.Millisecond
	// maxCloseDelay is how much later than an order the close of its connection arrives at most, if the
	// caller left before.
	maxCloseDelay = 40 * time.Millisecond
	maxOrderPause = 400 * time.Millisecond
	// heldOrderRetry is the time between two tries to send an order over a link that is cut.
	heldOrderRetry = 10 * time.Millisecond
)

// evacuationWorkload runs the configuration's group with an operator that evacuates a zone and takes
// it back. It sends each order to one node after another until one acknowledges it.
type evacuationWorkload struct {
	*configurationWorkload
	operator     endpoint
	current      *evacuationOrder // in progress, or nil
	acknowledged bool             // state of the last acknowledged order
	appliedIndex uint64           // of the newest order that a node has applied
	applied      bool             // state after it
}

type evacuationOrder struct{ evacuated bool }

// orderAttempt is one order sent to one node.
type orderAttempt struct {
	order  *evacuationOrder
	node   *simulatedNode
	ended  bool // the operator has an answer or has closed the connection
	closed bool // the close has arrived at the node's machine
}

func simulateEvacuation(seed uint64, injected bugs) *world {
	w := newWorld(seed, protocol.Core, injected)
	s := &evacuationWorkload{configurationWorkload: newConfigurationWorkload(w), operator: firstClient}
	w.workload = s
	var members replica.Members
	for range 3 + w.Random.IntN(3) {
		members.Voters = append(members.Voters, w.addNode().id)
	}
	for _, n := range w.nodes {
		n.bootstrap(protocol.ConfigurationGroup, members.Clone())
		n.start()
	}
	w.After(maxOrderPause, s.begin)
	w.runWithFaults()
	return w
}

// begin sends the next order, which may repeat the last one.
func (s *evacuationWorkload) begin() {
	s.current = &evacuationOrder{evacuated: s.acknowledged != s.world.Chance(0.9)}
	s.attempt(s.current)
}

// attempt sends an order to a random node.
func (s *evacuationWorkload) attempt(order *evacuationOrder) {
	w := s.world
	a := &orderAttempt{order: order, node: w.nodes[w.Random.IntN(len(w.nodes))]}
	w.tally.changeAttempts++
	s.send(a)
	w.After(orderTimeout, func() {
		if !a.ended {
			w.tally.unknownOutcomes++
			s.end(a, false)
		}
	})
}

// send delivers the order to the node's machine, whose process may be frozen. A link that is cut holds
// it until the heal, and the close of its connection arrives after it.
func (s *evacuationWorkload) send(a *orderAttempt) {
	w := s.world
	if w.network.cutLinks[link{s.operator, a.node.address}] {
		w.After(heldOrderRetry, func() { s.send(a) })
		return
	}
	w.After(w.Between(200*time.Microsecond, w.maxDelay), func() {
		if a.ended {
			w.After(w.Between(0, maxCloseDelay), func() { a.closed = true })
		}
		a.node.execute(func() { s.handle(a) })
	})
}

// deliverClose lets the close of a connection arrive, once the link is not cut.
func (s *evacuationWorkload) deliverClose(a *orderAttempt) {
	w := s.world
	w.After(w.Between(0, maxCloseDelay), func() {
		if w.network.cutLinks[link{s.operator, a.node.address}] {
			s.deliverClose(a)
			return
		}
		a.closed = true
	})
}

// end ends an attempt at the operator.
func (s *evacuationWorkload) end(a *orderAttempt, accepted bool) {
	if a.ended {
		return
	}
	w := s.world
	a.ended = true
	s.deliverClose(a)
	if !accepted {
		w.After(w.Between(0, maxOrderPause), func() { s.attempt(a.order) })
		return
	}
	if s.applied != a.order.evacuated {
		w.Fail("evacuated %v was acknowledged, but is not in force", a.order.evacuated)
	}
	w.tally.acknowledged++
	s.lastAcknowledgedAt = w.Now
	s.acknowledged, s.current = a.order.evacuated, nil
	w.After(w.Between(0, maxOrderPause), s.begin)
}

// answer sends a node's answer to the operator.
func (s *evacuationWorkload) answer(a *orderAttempt, accepted bool) {
	s.world.network.send(a.node.address, s.operator, func() { s.end(a, accepted) })
}

// handle handles an order on a core node, like coordinator.Evacuate.
func (s *evacuationWorkload) handle(a *orderAttempt) {
	n, received := a.node, a.node.clock()
	if s.world.bugs.staleEvacuation && n.member(protocol.ConfigurationGroup) != nil {
		if evacuated, _ := s.zone(n); evacuated == a.order.evacuated {
			s.answer(a, true)
			return
		}
	}
	onReceipt := uint64(0)
	if n.member(protocol.ConfigurationGroup) != nil {
		_, onReceipt = s.zone(n)
	}
	n.awaitReadIndex(protocol.ConfigurationGroup, changeTimeout, func(ok bool) {
		if !ok {
			s.answer(a, false)
			return
		}
		evacuated, version := s.zone(n)
		if evacuated == a.order.evacuated {
			s.answer(a, true)
			return
		}
		if version != onReceipt {
			s.world.tally.abandonedOrders++
			s.answer(a, false)
			return
		}
		n.executeAfter(callerCheckDelay, func() { s.proposeOrder(a, version, received) })
	})
}

// proposeOrder proposes an order on a version of the zone, unless its caller is gone or it is old.
func (s *evacuationWorkload) proposeOrder(a *orderAttempt, version uint64, received time.Duration) {
	n := a.node
	if !s.world.bugs.lateEvacuation && (a.closed || n.clock()-received > maxOrderAge) {
		s.world.tally.abandonedOrders++
		s.answer(a, false)
		return
	}
	command := revisions.Command{Evacuate: &revisions.Evacuation{Zone: evacuatedZone, Base: version, Evacuated: a.order.evacuated}}
	n.submit(protocol.ConfigurationGroup, s.encode(&command), changeTimeout, func(got outcome, v submitResult) {
		result, err := revisions.ReadResult(got.result)
		switch {
		case v != submitDone || err != nil:
			s.answer(a, false)
		case result == revisions.Accepted:
			s.answer(a, true)
		default:
			s.answerAfterConflict(a)
		}
	})
}

// answerAfterConflict acknowledges an order if the zone is as it asks.
func (s *evacuationWorkload) answerAfterConflict(a *orderAttempt) {
	a.node.awaitReadIndex(protocol.ConfigurationGroup, changeTimeout, func(ok bool) {
		if !ok {
			s.answer(a, false)
			return
		}
		evacuated, _ := s.zone(a.node)
		s.answer(a, evacuated == a.order.evacuated)
	})
}

// zone returns the state and version of the zone that a node has applied.
func (s *evacuationWorkload) zone(n *simulatedNode) (evacuated bool, version uint64) {
	return n.member(protocol.ConfigurationGroup).stateMachine.(*revisions.Machine).Zone(evacuatedZone)
}

// onApplied verifies that no order takes effect that is neither the last acknowledged one nor the one
// in progress.
func (s *evacuationWorkload) onApplied(m *member, index uint64, command, result []byte) {
	s.configurationWorkload.onApplied(m, index, command, result)
	var applied revisions.Command
	if err := cbor.Unmarshal(command, &applied); err != nil || applied.Evacuate == nil || index <= s.appliedIndex {
		return
	}
	if string(result) != string(revisions.Accepted.Bytes()) {
		return
	}
	state := applied.Evacuate.Evacuated
	s.appliedIndex, s.applied = index, state
	if state != s.acknowledged && (s.current == nil || s.current.evacuated != state) {
		s.world.Fail("evacuated %v took effect late: the operator's last order is the opposite", state)
	}
}

// check verifies that all nodes have the state of the newest order.
func (s *evacuationWorkload) check() {
	for _, n := range s.world.nodes {
		if m := n.member(protocol.ConfigurationGroup); m == nil || m.applied < s.appliedIndex {
			continue
		}
		evacuated, _ := s.zone(n)
		listed := slices.Contains(s.directory(n).EvacuatedZones, evacuatedZone)
		if evacuated != s.applied || listed != s.applied {
			s.world.Fail("node %d has evacuated %v, listed %v, in place of %v", n.id, evacuated, listed, s.applied)
		}
	}
}
