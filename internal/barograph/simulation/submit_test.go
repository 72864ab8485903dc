package simulation

import (
	"time"

	"pipitmux/internal/barograph/replica"
)

// verdict is what became of a command that a node had carried out by a group's owner.
type verdict uint8

const (
	done      verdict = iota // its result is known
	nobody                   // nothing was carried out
	uncertain                // it may have been, or may still be
)

// submission is a command on its way to a group's owner: see node.Submit.
type submission struct {
	node      *machineNode
	life      int
	group     replica.GroupID
	deadline  time.Duration
	others    int
	uncertain bool
	try       func(at *machineNode, answer func(outcome))
	end       func(outcome, verdict)
}

// submit has a command carried out by the group's owner, wherever that is.
func (n *machineNode) submit(group replica.GroupID, command []byte, within time.Duration, end func(outcome, verdict)) {
	n.seek(group, within, func(at *machineNode, answer func(outcome)) {
		m := at.member(group)
		if m == nil {
			answer(outcome{kind: unavailable})
			return
		}
		m.propose(command, tryWithin, answer)
	}, end)
}

// confirm waits until this node has applied all that the group had committed when it was called.
func (n *machineNode) confirm(group replica.GroupID, within time.Duration, end func(bool)) {
	var index uint64
	deadline := n.world.Now + within
	var await func()
	await = func() {
		m := n.member(group)
		switch {
		case m != nil && m.applied >= index:
			end(true)
		case n.world.Now >= deadline:
			end(false)
		default:
			n.later(5*time.Millisecond, await)
		}
	}
	n.seek(group, within, func(at *machineNode, answer func(outcome)) {
		m := at.member(group)
		if m == nil {
			answer(outcome{kind: unavailable})
			return
		}
		m.read(func(machine) {}, func(ok bool) {
			if !ok {
				answer(outcome{kind: notOwner, owner: m.replica.Leader()})
				return
			}
			answer(outcome{kind: carriedOut, index: m.applied})
		})
	}, func(o outcome, v verdict) {
		if v != done {
			end(false)
			return
		}
		index = o.index
		await()
	})
}

// seek tries the owner of a group, as far as it is known, then the other nodes that may know
// it, until the call is carried out or time is up.
func (n *machineNode) seek(group replica.GroupID, within time.Duration, try func(*machineNode, func(outcome)), end func(outcome, verdict)) {
	s := &submission{node: n, life: n.life, group: group, deadline: n.world.Now + within, try: try, end: end}
	s.next(s.owner())
}

// owner is the group's owner as far as this node knows, 0: not at all.
func (s *submission) owner() replica.NodeID {
	if m := s.node.member(s.group); m != nil {
		return m.replica.Leader()
	}
	return 0
}

func (s *submission) next(hint replica.NodeID) {
	w := s.node.world
	at := w.withID(hint)
	if at == nil {
		at = s.another()
	}
	id := at.id
	call(w, s.node.place, at, tryWithin, func(answer func(outcome)) { s.try(at, answer) }, func(o outcome, ok bool) {
		if !ok {
			o = outcome{kind: unknown}
		}
		// What comes back finds the process as it is then: frozen, or another one.
		if s.node.life == s.life {
			s.node.act(func() { s.answered(id, o) })
		}
	})
}

func (s *submission) answered(by replica.NodeID, o outcome) {
	w := s.node.world
	s.uncertain = s.uncertain || o.kind == unknown
	switch {
	case o.kind == carriedOut:
		s.end(o, done)
	case w.Now >= s.deadline && s.uncertain:
		s.end(o, uncertain)
	case w.Now >= s.deadline:
		s.end(o, nobody)
	case o.kind == notOwner && o.owner != 0 && o.owner != by:
		s.next(o.owner)
	default:
		s.node.later(tryPause, func() {
			hint := s.owner()
			if hint == by {
				hint = 0
			}
			s.next(hint)
		})
	}
}

// another picks one of the nodes that may know the group's owner, in turn.
func (s *submission) another() *machineNode {
	w := s.node.world
	s.others++
	var nodes []*machineNode
	if m := s.node.member(s.group); m != nil {
		for _, id := range m.replica.Status(s.node.clock()).Members.Voters {
			if n := w.withID(id); n != nil {
				nodes = append(nodes, n)
			}
		}
	}
	if len(nodes) == 0 {
		nodes = w.nodes
	}
	return nodes[s.others%len(nodes)]
}
