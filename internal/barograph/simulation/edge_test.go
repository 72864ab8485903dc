package simulation

import (
	"fmt"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/turns"
	"pipitmux/internal/station/follow"
	"pipitmux/internal/station/protocol"
)

// What an edge's client of the storage nodes keeps to: see turnclient and gateway.
const (
	tryWithin    = 450 * time.Millisecond
	tryPause     = 20 * time.Millisecond
	admitWithin  = 2 * time.Second
	keepWithin   = 3 * time.Second
	settleWithin = 6 * time.Second
)

// edge is an edge node. Its process may die and start again; it keeps nothing.
type edge struct {
	subject *turnsSubject
	place   endpoint
	life    int
	owners  map[int]replica.NodeID
	cache   map[string]string
	open    int // turns under way
}

func newEdge(s *turnsSubject, place endpoint) *edge {
	return &edge{subject: s, place: place, owners: map[int]replica.NodeID{}, cache: map[string]string{}}
}

// try is one try of a turn, at one edge.
type try struct {
	edge     *edge
	life     int // of the edge
	id       string
	token    uint64 // drawn by the edge
	program  *program
	previous string
	began    time.Duration
	before   string // what was said before
	imported string
	granted  bool   // the edge was told so
	handed   uint64 // tokens that the client got
	settled  bool   // the edge was told that it ended
	output   string
	ended    time.Duration // when its whole answer's end was first sent to the partition
	closing  bool
}

// trouble kills the edge's process now and then.
func (e *edge) trouble() {
	w := e.subject.world
	if !w.faulty || w.Chance(0.5) {
		return
	}
	w.tally.deaths++
	e.life++
	e.open = 0
	e.owners, e.cache = map[int]replica.NodeID{}, map[string]string{}
	if w.flaws.freeOnDeath {
		e.subject.freeAll(e)
	}
}

// freeAll is a flaw: it frees what an edge that died had reserved.
func (s *turnsSubject) freeAll(e *edge) {
	for _, t := range s.tried {
		if t.edge == e && t.life != e.life && !t.settled {
			t.settled = true
			ending := turns.Ending{Program: t.program.name, Attempt: t.id, Keep: t.program.keep, Token: t.token}
			c := &edge{subject: s, place: e.place, owners: map[int]replica.NodeID{}, cache: map[string]string{}}
			c.finish(t, &ending, settleWithin, func(protocol.TurnOutcome, bool) {})
		}
	}
}

// next begins a turn of some program.
func (e *edge) next() {
	s, w := e.subject, e.subject.world
	if s.probing != nil || e.open >= 3 || !w.faulty && w.Chance(0.8) {
		return
	}
	p := s.programs[w.Random.IntN(len(s.programs))]
	s.attempts++
	t := &try{edge: e, life: e.life, id: fmt.Sprintf("try-%d", s.attempts), program: p, began: w.Now, token: w.Random.Uint64()}
	t.previous = s.drawPrevious(p)
	if len(s.tried) > 0 && w.Chance(0.1) {
		t.repeat(s.tried[max(0, len(s.tried)-1-w.Random.IntN(4))])
	}
	s.tried = append(s.tried, t)
	e.open++
	w.tally.turns++
	t.admit()
}

// repeat makes the try one that its agent sent elsewhere before, and had no answer to.
func (t *try) repeat(o *try) {
	if t.edge.subject.byID[o.id] == nil {
		t.id, t.program, t.previous = o.id, o.program, o.previous
	}
}

// drawPrevious draws a turn to go on from, of the program itself most of the time.
func (s *turnsSubject) drawPrevious(p *program) string {
	if len(s.kept) == 0 || s.world.Chance(0.2) {
		return ""
	}
	newest := s.kept[max(0, len(s.kept)-12):]
	if s.world.Chance(0.1) {
		newest = s.kept
	}
	drawn := newest[s.world.Random.IntN(len(newest))]
	for range 3 {
		if drawn.program == p {
			break
		}
		drawn = newest[s.world.Random.IntN(len(newest))]
	}
	return drawn.id
}

// alive tells whether the process that carries the try still runs.
func (t *try) alive() bool { return t.edge.life == t.life }

func (t *try) close() {
	if t.alive() && !t.closing {
		t.closing = true
		t.edge.open--
	}
}

// admitReply is what a storage node answers.
type admitReply struct {
	outcome protocol.TurnOutcome
	owner   replica.NodeID
	history string
}

func (t *try) admission() *turns.Admission {
	return &turns.Admission{
		Program: t.program.name, Attempt: t.id, Previous: t.previous, Imported: t.imported != "",
		Budget: t.program.budget, Most: t.program.most, Keep: t.program.keep, Token: t.token,
	}
}

func (t *try) admit() {
	deadline := t.began + admitWithin
	t.ask(deadline, func(reply admitReply, ok bool) {
		switch {
		case !ok:
			t.settle()
		case reply.outcome == protocol.TurnMissing && t.imported == "":
			t.find(deadline, map[int]bool{})
		case reply.outcome == protocol.TurnGranted:
			t.begin(reply.history)
		default:
			if reply.outcome == protocol.TurnSpent {
				t.edge.subject.world.tally.spent++
			}
			t.close()
		}
	})
}

// ask has the turn's tokens reserved.
func (t *try) ask(deadline time.Duration, done func(admitReply, bool)) {
	s := t.edge.subject
	admission := t.admission()
	known, cached := t.edge.cache[t.previous]
	attempt(t.edge, t.alive, t.program, deadline, func(n *machineNode, partition int, answer func(admitReply)) {
		s.admit(n, partition, admission, cached, answer)
	}, func(r admitReply) (protocol.TurnOutcome, replica.NodeID) { return r.outcome, r.owner }, func(r admitReply, ok bool) {
		if cached {
			r.history = known
		}
		done(r, ok)
	})
}

// admit is what a storage node does when it is asked to reserve a turn's tokens.
func (s *turnsSubject) admit(n *machineNode, partition int, a *turns.Admission, known bool, answer func(admitReply)) {
	text := func() (string, bool) {
		history, found := n.member(protocol.TurnGroup(partition)).machine.(*turns.Machine).History(a.Previous)
		return string(history), found
	}
	m := n.member(protocol.TurnGroup(partition))
	if s.world.flaws.admitEarly && m != nil && m.replica.IsLeader() && a.Previous == "" {
		answer(admitReply{outcome: protocol.TurnGranted})
	}
	s.propose(n, partition, &turns.Command{Admit: a}, func(o protocol.TurnOutcome, owner replica.NodeID) {
		reply := admitReply{outcome: o, owner: owner}
		if o == protocol.TurnGranted && a.Previous != "" && !a.Imported && !known {
			found := false
			if reply.history, found = text(); !found {
				reply.outcome = protocol.TurnMissing
			}
		}
		answer(reply)
	})
}

// attempt calls the owner of a program's partition, whoever that turns out to be, until it
// answers or the deadline comes, as turnclient does.
func attempt[Reply any](e *edge, alive func() bool, p *program, deadline time.Duration,
	handle func(*machineNode, int, func(Reply)), read func(Reply) (protocol.TurnOutcome, replica.NodeID), done func(Reply, bool)) {
	w := e.subject.world
	var none Reply
	var again func(turn int)
	again = func(turn int) {
		if !alive() {
			return
		}
		if w.Now >= deadline {
			done(none, false)
			return
		}
		partition, at := e.target(p, turn)
		if at == nil {
			w.After(tryPause, func() { again(turn + 1) })
			return
		}
		id := at.id
		call(w, e.place, at, min(tryWithin, deadline-w.Now), func(answer func(Reply)) { handle(at, partition, answer) }, func(r Reply, ok bool) {
			if !alive() {
				return
			}
			outcome, owner := protocol.TurnUnknown, replica.NodeID(0)
			if ok {
				outcome, owner = read(r)
			}
			switch outcome {
			case protocol.TurnGranted, protocol.TurnSpent, protocol.TurnMissing, protocol.TurnClosed:
				e.owners[partition] = id
				done(r, true)
				return
			}
			e.owners[partition] = owner
			if owner != 0 && owner != id {
				again(turn + 1)
				return
			}
			w.After(tryPause, func() { again(turn + 1) })
		})
	}
	again(0)
}

// target is the owner of the program's partition as last seen, or one of its members in turn.
func (e *edge) target(p *program, turn int) (int, *machineNode) {
	s := e.subject
	d := s.registry.views[e.place]
	partition := d.TurnPartition(p.name)
	if n, known := follow.NodeAddress(&d, e.owners[partition]); known {
		return partition, s.world.named(n.Name)
	}
	voters := d.Partitions[partition].Voters
	for i := range voters {
		if n, known := follow.NodeAddress(&d, voters[(turn+i)%len(voters)]); known {
			return partition, s.world.named(n.Name)
		}
	}
	return partition, nil
}

func (w *world) named(name string) *machineNode {
	for _, n := range w.nodes {
		if n.name() == name {
			return n
		}
	}
	return nil
}

// findReply is what a storage node answers when it is asked for a turn.
type findReply struct {
	found   bool
	history string
	without []int
}

// find looks for the turn before in all partitions.
func (t *try) find(deadline time.Duration, without map[int]bool) {
	s, w := t.edge.subject, t.edge.subject.world
	if !t.alive() {
		return
	}
	if w.Now >= deadline {
		t.settle()
		return
	}
	replies, waiting := []findReply{}, len(w.nodes)
	for _, n := range w.nodes {
		call(w, t.edge.place, n, min(tryWithin, deadline-w.Now), func(answer func(findReply)) {
			s.find(n, t.previous, answer)
		}, func(r findReply, _ bool) {
			replies = append(replies, r)
			if waiting--; waiting == 0 && t.alive() {
				t.found(deadline, without, replies)
			}
		})
	}
}

// found goes on once all nodes have answered or haven't.
func (t *try) found(deadline time.Duration, without map[int]bool, replies []findReply) {
	for _, r := range replies {
		if r.found {
			t.imported = r.history
			t.edge.subject.world.tally.imports++
			t.ask(deadline, func(reply admitReply, ok bool) {
				reply.history = t.imported
				switch {
				case !ok:
					t.settle()
				case reply.outcome == protocol.TurnGranted:
					t.begin(reply.history)
				default:
					t.close()
				}
			})
			return
		}
		for _, partition := range r.without {
			without[partition] = true
		}
	}
	if len(without) == simulatedPartitions {
		t.missing()
		return
	}
	t.edge.subject.world.After(tryPause, func() { t.find(deadline, without) })
}

// find is what a storage node does when it is asked for a turn: it looks in the partitions
// that it surely owns.
func (s *turnsSubject) find(n *machineNode, id string, answer func(findReply)) {
	reply := &findReply{}
	members := append([]*member(nil), n.members...)
	var next func()
	next = func() {
		if len(members) == 0 || reply.found {
			answer(*reply)
			return
		}
		m := members[0]
		members = members[1:]
		partition, _ := protocol.TurnPartitionOf(m.group)
		look := func(held machine) {
			if history, found := held.(*turns.Machine).History(id); found {
				reply.found, reply.history = true, string(history)
			}
		}
		if s.world.flaws.findWithoutLease {
			look(m.machine)
			reply.without = append(reply.without, partition)
			next()
			return
		}
		m.read(look, func(ok bool) {
			if ok && !reply.found {
				reply.without = append(reply.without, partition)
			}
			next()
		})
	}
	next()
}
