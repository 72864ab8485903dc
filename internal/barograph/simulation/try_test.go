package simulation

import (
	"fmt"
	"strings"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/turns"
	"pipitmux/internal/station/protocol"
)

// missing tells the client that there is no turn to go on from.
func (t *try) missing() {
	s := t.edge.subject
	s.world.tally.missing++
	if before := s.byID[t.previous]; before != nil && !s.mayBeForgotten(before, s.world.Now) {
		s.world.Fail("%s: turn %s of %s, answered whole at %v, is reported missing", t.id, before.id, before.program.name, before.at)
	}
	t.close()
}

// mayBeForgotten tells whether a program rested for as long as it is kept, at a time.
func (s *turnsSubject) mayBeForgotten(k *keptTurn, at time.Duration) bool {
	return k.rests != k.program.rests || at-k.program.touched > k.program.keep
}

// touch notes that something of the program was carried out, at a time between these two.
func (p *program) touch(earliest, latest time.Duration) {
	if latest-p.touched > p.keep {
		p.rests++
	}
	p.touched = max(p.touched, earliest)
}

// begin streams the turn's answer to the client.
func (t *try) begin(history string) {
	s, w := t.edge.subject, t.edge.subject.world
	t.granted, t.before = true, history
	if before := s.byID[t.previous]; t.previous != "" && history != before.text {
		w.Fail("%s: turn %s comes back as %q and was %q", t.id, t.previous, history, before.text)
	}
	tokens := w.Random.Uint64N(t.program.most + 1)
	if w.Chance(0.4) {
		tokens = t.program.most
	}
	broken := w.Chance(0.2)
	t.stream(tokens, broken)
}

// stream hands out tokens one by one.
func (t *try) stream(left uint64, broken bool) {
	w := t.edge.subject.world
	w.After(w.Between(time.Millisecond, 25*time.Millisecond), func() {
		if !t.alive() {
			return
		}
		if left == 0 {
			t.end(broken)
			return
		}
		t.handed++
		t.program.handed++
		t.output += fmt.Sprintf("%s/%d\n", t.id, t.handed)
		if t.program.keep == longKeep && t.program.handed > t.program.budget {
			w.Fail("%s: %d tokens of %s are handed out, its budget is %d", t.id, t.program.handed, t.program.name, t.program.budget)
		}
		if broken && w.Chance(0.2) {
			left = 1
		}
		t.stream(left-1, broken)
	})
}

func (t *try) end(broken bool) {
	if broken {
		t.settle()
		return
	}
	w := t.edge.subject.world
	t.ended = w.Now
	input := "<" + t.id + ">"
	ending := &turns.Ending{
		Program: t.program.name, Attempt: t.id, Whole: true, Tokens: t.handed, Previous: t.previous,
		Imported: []byte(t.imported), Input: []byte(input), Output: []byte(t.output), Keep: t.program.keep, Token: t.tokenAtEnd(),
	}
	t.edge.finish(t, ending, keepWithin, func(o protocol.TurnOutcome, ok bool) {
		if !ok || o != protocol.TurnGranted {
			t.settle()
			return
		}
		t.settled = true
		t.whole(t.before + input + t.output)
		w.tally.whole++
		t.close()
	})
}

// whole notes that the client was told that the turn is whole.
func (t *try) whole(text string) {
	s := t.edge.subject
	t.program.touch(t.ended, s.world.Now)
	kept := &keptTurn{id: t.id, program: t.program, text: text, at: s.world.Now, rests: t.program.rests}
	s.kept = append(s.kept, kept)
	s.byID[t.id] = kept
	if s.world.Chance(0.5) {
		t.edge.cache[t.id] = text
	}
}

// settle tells the partition what was handed out.
func (t *try) settle() {
	ending := &turns.Ending{Program: t.program.name, Attempt: t.id, Tokens: t.handed, Keep: t.program.keep, Token: t.tokenAtEnd()}
	t.edge.finish(t, ending, settleWithin, func(o protocol.TurnOutcome, ok bool) {
		t.settled = ok && o == protocol.TurnGranted
		t.close()
	})
}

// tokenAtEnd is the token that an ending carries. With a flaw it is that of whichever edge has
// the try.
func (t *try) tokenAtEnd() uint64 {
	if t.edge.subject.world.flaws.anyEnds {
		for _, o := range t.edge.subject.tried {
			if o.id == t.id && o.granted {
				return o.token
			}
		}
	}
	return t.token
}

// finish ends a try at its partition.
func (e *edge) finish(t *try, ending *turns.Ending, within time.Duration, done func(protocol.TurnOutcome, bool)) {
	s := e.subject
	alive := func() bool { return t.alive() || e != t.edge }
	type reply struct {
		outcome protocol.TurnOutcome
		owner   replica.NodeID
	}
	attempt(e, alive, t.program, s.world.Now+within, func(n *machineNode, partition int, answer func(reply)) {
		m := n.member(protocol.TurnGroup(partition))
		if s.world.flaws.finishEarly && m != nil && m.replica.IsLeader() {
			answer(reply{outcome: protocol.TurnGranted})
		}
		s.propose(n, partition, &turns.Command{End: ending}, func(o protocol.TurnOutcome, owner replica.NodeID) {
			answer(reply{o, owner})
		})
	}, func(r reply) (protocol.TurnOutcome, replica.NodeID) { return r.outcome, r.owner }, func(r reply, ok bool) {
		done(r.outcome, ok)
	})
}

// probes ask, when all is calm again, for what must be granted and what must not.
type probes struct {
	subject *turnsSubject
	left    int
}

func newProbes(s *turnsSubject) *probes {
	p := &probes{subject: s}
	for _, program := range s.programs {
		if program.keep == longKeep && program.budget < 1<<40 {
			p.probeBudget(program)
		}
	}
	for i, kept := range s.kept {
		if i >= len(s.kept)-20 || s.world.Chance(0.1) {
			p.probeTurn(kept)
		}
	}
	return p
}

// bounds are the least and the most that a program's books may count.
func (s *turnsSubject) bounds(p *program) (least, most uint64) {
	for _, t := range s.tried {
		switch {
		case t.program != p:
		case t.settled:
			least += t.handed
			most += t.handed
		case t.granted && !t.alive():
			least += min(t.handed, p.most) // its end may have been counted, its answer lost
			most += p.most
		default:
			most += p.most
		}
	}
	return least, most
}

// probeBudget asks for one token more than may be left, and then for what surely is.
func (p *probes) probeBudget(program *program) {
	least, most := p.subject.bounds(program)
	if least <= program.budget {
		p.probe(program, program.budget-least+1, protocol.TurnSpent)
	}
	if most < program.budget {
		p.probe(program, program.budget-most, protocol.TurnGranted)
	}
}

func (p *probes) probe(program *program, most uint64, want protocol.TurnOutcome) {
	s := p.subject
	s.attempts++
	probe := *program
	probe.most = most
	t := &try{edge: s.edges[0], life: s.edges[0].life, id: fmt.Sprintf("probe-%d-%d", s.attempts, most), program: &probe}
	p.left++
	t.ask(s.world.Now+admitWithin*4, func(r admitReply, ok bool) {
		p.left--
		if !ok || r.outcome != want {
			s.world.Fail("%s of %s: outcome %d (%v), not %d", t.id, program.name, r.outcome, ok, want)
		}
	})
}

// probeTurn asks to go on from a turn that was answered whole.
func (p *probes) probeTurn(kept *keptTurn) {
	s := p.subject
	if s.mayBeForgotten(kept, s.world.Now+time.Second) {
		return
	}
	for _, n := range s.world.running() {
		for _, m := range n.members {
			if !m.replica.HasLease(n.clock()) || !strings.HasSuffix(string(m.group), fmt.Sprint(s.partitionOf(kept.program))) {
				continue
			}
			history, found := m.machine.(*turns.Machine).History(kept.id)
			if m.applied == m.replica.CommitIndex() && (!found || string(history) != kept.text) {
				s.world.Fail("turn %s of %s is kept as %q (%v) and was %q", kept.id, kept.program.name, history, found, kept.text)
			}
		}
	}
}

func (s *turnsSubject) partitionOf(p *program) int {
	d := s.registry.machine.Directory()
	return d.TurnPartition(p.name)
}
