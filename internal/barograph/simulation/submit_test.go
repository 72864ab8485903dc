package simulation

import (
	"time"

	"pipitmux/internal/barograph/replica"
)

// verdict is what became of a command that a node had carried out by a group's owner.
type submitResult uint8

const (
	submitDone        submitResult = iota // its result is known
	submitNotExecuted                     // nothing was carried out
	submitUnknown                         // it may have been, or may still be
)

// submission is a command on its way to a group's owner: see node.Submit.
type submission struct {
	node        *simulatedNode
	incarnation int
	group       replica.GroupID
	deadline    time.Duration
	nextIndex   int
	uncertain   bool
	request     func(at *simulatedNode, answer func(outcome))
	onEnd       func(outcome, submitResult)
}

// submit has a command carried out by the group's owner, wherever that is.
func (n *simulatedNode) submit(group replica.GroupID, command []byte, within time.Duration, onEnd func(outcome, submitResult)) {
	n.forwardToLeader(group, within, func(at *simulatedNode, answer func(outcome)) {
		m := at.member(group)
		if m == nil {
			answer(outcome{kind: unavailable})
			return
		}
		m.propose(command, attemptTimeout, answer)
	}, onEnd)
}

// confirm waits until this node has applied all that the group had committed when it was called.
func (n *simulatedNode) awaitReadIndex(group replica.GroupID, within time.Duration, onEnd func(bool)) {
	var index uint64
	deadline := n.world.Now + within
	var await func()
	await = func() {
		m := n.member(group)
		switch {
		case m != nil && m.applied >= index:
			onEnd(true)
		case n.world.Now >= deadline:
			onEnd(false)
		default:
			n.executeAfter(5*time.Millisecond, await)
		}
	}
	n.forwardToLeader(group, within, func(at *simulatedNode, answer func(outcome)) {
		m := at.member(group)
		if m == nil {
			answer(outcome{kind: unavailable})
			return
		}
		m.read(func(stateMachine) {}, func(ok bool) {
			if !ok {
				answer(outcome{kind: notLeader, leader: m.replica.Leader()})
				return
			}
			answer(outcome{kind: succeeded, index: m.applied})
		})
	}, func(o outcome, v submitResult) {
		if v != submitDone {
			onEnd(false)
			return
		}
		index = o.index
		await()
	})
}

// seek tries the owner of a group, as far as it is known, then the other nodes that may know
// it, until the call is carried out or time is up.
func (n *simulatedNode) forwardToLeader(group replica.GroupID, within time.Duration, request func(*simulatedNode, func(outcome)), onEnd func(outcome, submitResult)) {
	s := &submission{node: n, incarnation: n.incarnation, group: group, deadline: n.world.Now + within, request: request, onEnd: onEnd}
	s.send(s.knownLeader())
}

// owner is the group's owner as far as this node knows, 0: not at all.
func (s *submission) knownLeader() replica.NodeID {
	if m := s.node.member(s.group); m != nil {
		return m.replica.Leader()
	}
	return 0
}

func (s *submission) send(hint replica.NodeID) {
	w := s.node.world
	at := w.nodeByID(hint)
	if at == nil {
		at = s.nextNode()
	}
	id := at.id
	call(w, s.node.address, at, attemptTimeout, func(answer func(outcome)) { s.request(at, answer) }, func(o outcome, ok bool) {
		if !ok {
			o = outcome{kind: outcomeUnknown}
		}
		// What comes back finds the process as it is then: frozen, or another one.
		if s.node.incarnation == s.incarnation {
			s.node.execute(func() { s.handleReply(id, o) })
		}
	})
}

func (s *submission) handleReply(by replica.NodeID, o outcome) {
	w := s.node.world
	s.uncertain = s.uncertain || o.kind == outcomeUnknown
	switch {
	case o.kind == succeeded:
		s.onEnd(o, submitDone)
	case w.Now >= s.deadline && s.uncertain:
		s.onEnd(o, submitUnknown)
	case w.Now >= s.deadline:
		s.onEnd(o, submitNotExecuted)
	case o.kind == notLeader && o.leader != 0 && o.leader != by:
		s.send(o.leader)
	default:
		s.node.executeAfter(retryPause, func() {
			hint := s.knownLeader()
			if hint == by {
				hint = 0
			}
			s.send(hint)
		})
	}
}

// another picks one of the nodes that may know the group's owner, in turn.
func (s *submission) nextNode() *simulatedNode {
	w := s.node.world
	s.nextIndex++
	var nodes []*simulatedNode
	if m := s.node.member(s.group); m != nil {
		for _, id := range m.replica.Status(s.node.clock()).Members.Voters {
			if n := w.nodeByID(id); n != nil {
				nodes = append(nodes, n)
			}
		}
	}
	if len(nodes) == 0 {
		nodes = w.nodes
	}
	return nodes[s.nextIndex%len(nodes)]
}
