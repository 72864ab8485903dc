package simulation

import (
	"time"

	"oakseam/internal/controlplane/replica"
)

// submitResult is the result of a command that a node forwarded to a group's leader.
type submitResult uint8

const (
	submitDone        submitResult = iota // executed; the result is known
	submitNotExecuted                     // certainly not executed
	submitUnknown                         // may have been executed, or may be later
)

// submission is a command that is being forwarded to a group's leader: see node.Submit.
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

// submit forwards a command to the group's leader.
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

// awaitReadIndex obtains a read index from the leader and waits until this node has applied it,
// that is, everything that the group had committed at the time of the call.
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

// forwardToLeader sends a request to the known leader of a group, and then to other nodes that may
// know the leader, until the request is executed or the time is over.
func (n *simulatedNode) forwardToLeader(group replica.GroupID, within time.Duration, request func(*simulatedNode, func(outcome)), onEnd func(outcome, submitResult)) {
	s := &submission{node: n, incarnation: n.incarnation, group: group, deadline: n.world.Now + within, request: request, onEnd: onEnd}
	s.send(s.knownLeader())
}

// knownLeader returns the group's leader as this node knows it, 0 if it does not.
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
		// By the time of the reply, the process may be frozen or may have ended.
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

// nextNode returns the nodes that may know the group's leader, one after another.
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
