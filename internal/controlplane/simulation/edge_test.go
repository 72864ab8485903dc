package simulation

import (
	"fmt"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/turns"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/watch"
)

// Timeouts of an edge's client of the storage nodes: see packages turnclient and gateway.
const (
	attemptTimeout = 450 * time.Millisecond
	retryPause     = 20 * time.Millisecond
	admitTimeout   = 2 * time.Second
	finishTimeout  = 3 * time.Second
	reportTimeout  = 6 * time.Second
)

// edge is an edge node. Its process may crash and start again; it has no durable state.
type edge struct {
	workload    *turnsWorkload
	address     endpoint
	incarnation int
	leaders     map[int]replica.NodeID
	cache       map[string]string
	openTurns   int // turns in progress
}

func newEdge(s *turnsWorkload, address endpoint) *edge {
	return &edge{workload: s, address: address, leaders: map[int]replica.NodeID{}, cache: map[string]string{}}
}

// turnAttempt is one attempt of a turn at one edge.
type turnAttempt struct {
	edge           *edge
	incarnation    int // of the edge's process
	id             string
	token          uint64 // drawn by the edge; identifies the attempt to the storage nodes
	program        *program
	previous       string
	startedAt      time.Duration
	history        string // the conversation before this turn
	imported       string
	granted        bool   // the edge received the grant
	tokensStreamed uint64 // tokens that the client received
	endConfirmed   bool   // the edge received the confirmation of the end
	output         string
	endSentAt      time.Duration // when the end of its complete answer was first sent to the partition
	closing        bool
}

// maybeCrash crashes the edge's process at random.
func (e *edge) maybeCrash() {
	w := e.workload.world
	if !w.faultsEnabled || w.Chance(0.5) {
		return
	}
	w.tally.edgeCrashes++
	e.incarnation++
	e.openTurns = 0
	e.leaders, e.cache = map[int]replica.NodeID{}, map[string]string{}
	if w.bugs.releaseOnEdgeCrash {
		e.workload.releaseReservations(e)
	}
}

// releaseReservations is an injected bug: it releases the reservations of an edge that crashed.
func (s *turnsWorkload) releaseReservations(e *edge) {
	for _, t := range s.attempts {
		if t.edge == e && t.incarnation != e.incarnation && !t.endConfirmed {
			t.endConfirmed = true
			ending := turns.Completion{Program: t.program.name, Attempt: t.id, Retention: t.program.retention, Token: t.token}
			c := &edge{workload: s, address: e.address, leaders: map[int]replica.NodeID{}, cache: map[string]string{}}
			c.finish(t, &ending, reportTimeout, func(protocol.TurnOutcome, bool) {})
		}
	}
}

// startTurn starts a turn of a random program.
func (e *edge) startTurn() {
	s, w := e.workload, e.workload.world
	if s.probes != nil || e.openTurns >= 3 || !w.faultsEnabled && w.Chance(0.8) {
		return
	}
	p := s.programs[w.Random.IntN(len(s.programs))]
	s.attemptCount++
	t := &turnAttempt{edge: e, incarnation: e.incarnation, id: fmt.Sprintf("try-%d", s.attemptCount), program: p, startedAt: w.Now, token: w.Random.Uint64()}
	t.previous = s.drawPrevious(p)
	if len(s.attempts) > 0 && w.Chance(0.1) {
		t.repeatAttempt(s.attempts[max(0, len(s.attempts)-1-w.Random.IntN(4))])
	}
	s.attempts = append(s.attempts, t)
	e.openTurns++
	w.tally.turns++
	t.admit()
}

// repeatAttempt turns the attempt into a repetition of one that was sent to another edge before and
// had no complete answer.
func (t *turnAttempt) repeatAttempt(o *turnAttempt) {
	if t.edge.workload.completedByID[o.id] == nil {
		t.id, t.program, t.previous = o.id, o.program, o.previous
	}
}

// drawPrevious draws a turn to continue from, most of the time one of the same program.
func (s *turnsWorkload) drawPrevious(p *program) string {
	if len(s.completed) == 0 || s.world.Chance(0.2) {
		return ""
	}
	newest := s.completed[max(0, len(s.completed)-12):]
	if s.world.Chance(0.1) {
		newest = s.completed
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

// alive reports whether the process that runs the attempt still exists.
func (t *turnAttempt) alive() bool { return t.edge.incarnation == t.incarnation }

func (t *turnAttempt) close() {
	if t.alive() && !t.closing {
		t.closing = true
		t.edge.openTurns--
	}
}

// admitReply is a storage node's answer to an admission.
type admitReply struct {
	outcome protocol.TurnOutcome
	leader  replica.NodeID
	history string
}

func (t *turnAttempt) admission() *turns.Admission {
	return &turns.Admission{
		Program: t.program.name, Attempt: t.id, Previous: t.previous, Imported: t.imported != "",
		Budget: t.program.budget, MaxTokens: t.program.maxTokens, Retention: t.program.retention, Token: t.token,
	}
}

func (t *turnAttempt) admit() {
	deadline := t.startedAt + admitTimeout
	t.requestAdmission(deadline, func(reply admitReply, ok bool) {
		switch {
		case !ok:
			t.reportTokens()
		case reply.outcome == protocol.TurnNotFound && t.imported == "":
			t.find(deadline, map[int]bool{})
		case reply.outcome == protocol.TurnGranted:
			t.startStreaming(reply.history)
		default:
			if reply.outcome == protocol.TurnBudgetExhausted {
				t.edge.workload.world.tally.overBudget++
			}
			t.close()
		}
	})
}

// requestAdmission asks the partition's leader to reserve the turn's tokens.
func (t *turnAttempt) requestAdmission(deadline time.Duration, done func(admitReply, bool)) {
	s := t.edge.workload
	admission := t.admission()
	known, cached := t.edge.cache[t.previous]
	callPartitionLeader(t.edge, t.alive, t.program, deadline, func(n *simulatedNode, partition int, answer func(admitReply)) {
		s.admit(n, partition, admission, cached, answer)
	}, func(r admitReply) (protocol.TurnOutcome, replica.NodeID) { return r.outcome, r.leader }, func(r admitReply, ok bool) {
		if cached {
			r.history = known
		}
		done(r, ok)
	})
}

// admit handles a reservation of a turn's tokens on a storage node.
func (s *turnsWorkload) admit(n *simulatedNode, partition int, a *turns.Admission, known bool, answer func(admitReply)) {
	text := func() (string, bool) {
		history, found := n.member(protocol.TurnGroup(partition)).stateMachine.(*turns.Machine).History(a.Previous)
		return string(history), found
	}
	m := n.member(protocol.TurnGroup(partition))
	if s.world.bugs.admitBeforeCommit && m != nil && m.replica.IsLeader() && a.Previous == "" {
		answer(admitReply{outcome: protocol.TurnGranted})
	}
	s.propose(n, partition, &turns.Command{Admit: a}, func(o protocol.TurnOutcome, leader replica.NodeID) {
		reply := admitReply{outcome: o, leader: leader}
		if o == protocol.TurnGranted && a.Previous != "" && !a.Imported && !known {
			found := false
			if reply.history, found = text(); !found {
				reply.outcome = protocol.TurnNotFound
			}
		}
		answer(reply)
	})
}

// callPartitionLeader calls the leader of a program's partition until it answers or the deadline
// passes, as package turnclient does. It discovers the leader as it goes.
func callPartitionLeader[Reply any](e *edge, alive func() bool, p *program, deadline time.Duration,
	handle func(*simulatedNode, int, func(Reply)), read func(Reply) (protocol.TurnOutcome, replica.NodeID), done func(Reply, bool)) {
	w := e.workload.world
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
			w.After(retryPause, func() { again(turn + 1) })
			return
		}
		id := at.id
		call(w, e.address, at, min(attemptTimeout, deadline-w.Now), func(answer func(Reply)) { handle(at, partition, answer) }, func(r Reply, ok bool) {
			if !alive() {
				return
			}
			outcome, leader := protocol.TurnUnknown, replica.NodeID(0)
			if ok {
				outcome, leader = read(r)
			}
			switch outcome {
			case protocol.TurnGranted, protocol.TurnBudgetExhausted, protocol.TurnNotFound, protocol.TurnClosed:
				e.leaders[partition] = id
				done(r, true)
				return
			}
			e.leaders[partition] = leader
			if leader != 0 && leader != id {
				again(turn + 1)
				return
			}
			w.After(retryPause, func() { again(turn + 1) })
		})
	}
	again(0)
}

// target returns the last known leader of the program's partition, or its members one after
// another.
func (e *edge) target(p *program, turn int) (int, *simulatedNode) {
	s := e.workload
	d := s.registry.views[e.address]
	partition := d.TurnPartition(p.name)
	if n, known := watch.FindNode(&d, e.leaders[partition]); known {
		return partition, s.world.nodeByName(n.Name)
	}
	voters := d.Partitions[partition].Voters
	for i := range voters {
		if n, known := watch.FindNode(&d, voters[(turn+i)%len(voters)]); known {
			return partition, s.world.nodeByName(n.Name)
		}
	}
	return partition, nil
}

func (w *world) nodeByName(name string) *simulatedNode {
	for _, n := range w.nodes {
		if n.name() == name {
			return n
		}
	}
	return nil
}

// findReply is a storage node's answer to a search for a turn.
type findReply struct {
	found   bool
	history string
	without []int
}

// find searches for the previous turn in all partitions.
func (t *turnAttempt) find(deadline time.Duration, without map[int]bool) {
	s, w := t.edge.workload, t.edge.workload.world
	if !t.alive() {
		return
	}
	if w.Now >= deadline {
		t.reportTokens()
		return
	}
	replies, waiting := []findReply{}, len(w.nodes)
	for _, n := range w.nodes {
		call(w, t.edge.address, n, min(attemptTimeout, deadline-w.Now), func(answer func(findReply)) {
			s.find(n, t.previous, answer)
		}, func(r findReply, _ bool) {
			replies = append(replies, r)
			if waiting--; waiting == 0 && t.alive() {
				t.handleFindReplies(deadline, without, replies)
			}
		})
	}
}

// handleFindReplies continues once all nodes have answered or timed out.
func (t *turnAttempt) handleFindReplies(deadline time.Duration, without map[int]bool, replies []findReply) {
	for _, r := range replies {
		if r.found {
			t.imported = r.history
			t.edge.workload.world.tally.imports++
			t.requestAdmission(deadline, func(reply admitReply, ok bool) {
				reply.history = t.imported
				switch {
				case !ok:
					t.reportTokens()
				case reply.outcome == protocol.TurnGranted:
					t.startStreaming(reply.history)
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
		t.reportMissing()
		return
	}
	t.edge.workload.world.After(retryPause, func() { t.find(deadline, without) })
}

// find handles a search for a turn on a storage node. The node searches the partitions that it
// leads under a lease.
func (s *turnsWorkload) find(n *simulatedNode, id string, answer func(findReply)) {
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
		look := func(held stateMachine) {
			if history, found := held.(*turns.Machine).History(id); found {
				reply.found, reply.history = true, string(history)
			}
		}
		if s.world.bugs.findWithoutLease {
			look(m.stateMachine)
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
