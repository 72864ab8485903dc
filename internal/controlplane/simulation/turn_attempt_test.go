package simulation

import (
	"fmt"
	"strings"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/turns"
	"oakseam/internal/tier/protocol"
)

// reportMissing tells the client that the previous turn does not exist. It verifies that this is
// allowed.
func (t *turnAttempt) reportMissing() {
	s := t.edge.workload
	s.world.tally.missing++
	if before := s.completedByID[t.previous]; before != nil && !s.mayBeForgotten(before, s.world.Now) {
		s.world.Fail("%s: turn %s of %s, completed at %v, is reported missing", t.id, before.id, before.program.name, before.at)
	}
	t.close()
}

// mayBeForgotten reports whether at a time a program may have been idle for its retention.
func (s *turnsWorkload) mayBeForgotten(k *completedTurn, at time.Duration) bool {
	return k.expiries != k.program.expiries || at-k.program.lastActivity > k.program.retention
}

// recordActivity records that a command of the program was executed between these two times.
func (p *program) recordActivity(earliest, latest time.Duration) {
	if latest-p.lastActivity > p.retention {
		p.expiries++
	}
	p.lastActivity = max(p.lastActivity, earliest)
}

// startStreaming starts to stream the turn's answer to the client.
func (t *turnAttempt) startStreaming(history string) {
	s, w := t.edge.workload, t.edge.workload.world
	t.granted, t.history = true, history
	if before := s.completedByID[t.previous]; t.previous != "" && history != before.text {
		w.Fail("%s: the history at turn %s is %q instead of %q", t.id, t.previous, history, before.text)
	}
	tokens := w.Random.Uint64N(t.program.maxTokens + 1)
	if w.Chance(0.4) {
		tokens = t.program.maxTokens
	}
	broken := w.Chance(0.2)
	t.stream(tokens, broken)
}

// stream sends tokens to the client one by one.
func (t *turnAttempt) stream(left uint64, broken bool) {
	w := t.edge.workload.world
	w.After(w.Between(time.Millisecond, 25*time.Millisecond), func() {
		if !t.alive() {
			return
		}
		if left == 0 {
			t.finishStream(broken)
			return
		}
		t.tokensStreamed++
		t.program.tokensStreamed++
		t.output += fmt.Sprintf("%s/%d\n", t.id, t.tokensStreamed)
		if t.program.retention == longRetention && t.program.tokensStreamed > t.program.budget {
			w.Fail("%s: %d tokens of %s were streamed, but its budget is %d", t.id, t.program.tokensStreamed, t.program.name, t.program.budget)
		}
		if broken && w.Chance(0.2) {
			left = 1
		}
		t.stream(left-1, broken)
	})
}

func (t *turnAttempt) finishStream(broken bool) {
	if broken {
		t.reportTokens()
		return
	}
	w := t.edge.workload.world
	t.endSentAt = w.Now
	input := "<" + t.id + ">"
	ending := &turns.Completion{
		Program: t.program.name, Attempt: t.id, Complete: true, Tokens: t.tokensStreamed, Previous: t.previous,
		Imported: []byte(t.imported), Input: []byte(input), Output: []byte(t.output), Retention: t.program.retention, Token: t.tokenAtEnd(),
	}
	t.edge.finish(t, ending, finishTimeout, func(o protocol.TurnOutcome, ok bool) {
		if !ok || o != protocol.TurnGranted {
			t.reportTokens()
			return
		}
		t.endConfirmed = true
		t.recordCompleted(t.history + input + t.output)
		w.tally.completedTurns++
		t.close()
	})
}

// recordCompleted records that the client was told that the turn is complete.
func (t *turnAttempt) recordCompleted(text string) {
	s := t.edge.workload
	t.program.recordActivity(t.endSentAt, s.world.Now)
	completed := &completedTurn{id: t.id, program: t.program, text: text, at: s.world.Now, expiries: t.program.expiries}
	s.completed = append(s.completed, completed)
	s.completedByID[t.id] = completed
	if s.world.Chance(0.5) {
		t.edge.cache[t.id] = text
	}
}

// reportTokens reports the number of streamed tokens to the partition.
func (t *turnAttempt) reportTokens() {
	ending := &turns.Completion{Program: t.program.name, Attempt: t.id, Tokens: t.tokensStreamed, Retention: t.program.retention, Token: t.tokenAtEnd()}
	t.edge.finish(t, ending, reportTimeout, func(o protocol.TurnOutcome, ok bool) {
		t.endConfirmed = ok && o == protocol.TurnGranted
		t.close()
	})
}

// tokenAtEnd returns the token for the end of the attempt. With an injected bug it is the token of
// whichever edge holds the attempt.
func (t *turnAttempt) tokenAtEnd() uint64 {
	if t.edge.workload.world.bugs.endWithoutToken {
		for _, o := range t.edge.workload.attempts {
			if o.id == t.id && o.granted {
				return o.token
			}
		}
	}
	return t.token
}

// finish ends an attempt at its partition.
func (e *edge) finish(t *turnAttempt, ending *turns.Completion, within time.Duration, done func(protocol.TurnOutcome, bool)) {
	s := e.workload
	alive := func() bool { return t.alive() || e != t.edge }
	type reply struct {
		outcome protocol.TurnOutcome
		leader  replica.NodeID
	}
	callPartitionLeader(e, alive, t.program, s.world.Now+within, func(n *simulatedNode, partition int, answer func(reply)) {
		m := n.member(protocol.TurnGroup(partition))
		if s.world.bugs.endBeforeCommit && m != nil && m.replica.IsLeader() {
			answer(reply{outcome: protocol.TurnGranted})
		}
		s.propose(n, partition, &turns.Command{Finish: ending}, func(o protocol.TurnOutcome, leader replica.NodeID) {
			answer(reply{o, leader})
		})
	}, func(r reply) (protocol.TurnOutcome, replica.NodeID) { return r.outcome, r.leader }, func(r reply, ok bool) {
		done(r.outcome, ok)
	})
}

// probes are requests at the end of a run that must be granted or refused.
type probes struct {
	workload *turnsWorkload
	pending  int
}

func newProbes(s *turnsWorkload) *probes {
	p := &probes{workload: s}
	for _, program := range s.programs {
		if program.retention == longRetention && program.budget < 1<<40 {
			p.probeBudget(program)
		}
	}
	for i, completed := range s.completed {
		if i >= len(s.completed)-20 || s.world.Chance(0.1) {
			p.probeTurn(completed)
		}
	}
	return p
}

// bounds returns the minimum and maximum number of tokens that the partition may have counted for a
// program.
func (s *turnsWorkload) bounds(p *program) (least, most uint64) {
	for _, t := range s.attempts {
		switch {
		case t.program != p:
		case t.endConfirmed:
			least += t.tokensStreamed
			most += t.tokensStreamed
		case t.granted && !t.alive():
			least += min(t.tokensStreamed, p.maxTokens) // its end may have been counted and the answer lost
			most += p.maxTokens
		default:
			most += p.maxTokens
		}
	}
	return least, most
}

// probeBudget requests one token more than may be left, which must be refused, and then as many as
// must be left, which must be granted.
func (p *probes) probeBudget(program *program) {
	least, most := p.workload.bounds(program)
	if least <= program.budget {
		p.probe(program, program.budget-least+1, protocol.TurnBudgetExhausted)
	}
	if most < program.budget {
		p.probe(program, program.budget-most, protocol.TurnGranted)
	}
}

func (p *probes) probe(program *program, most uint64, want protocol.TurnOutcome) {
	s := p.workload
	s.attemptCount++
	probe := *program
	probe.maxTokens = most
	t := &turnAttempt{edge: s.edges[0], incarnation: s.edges[0].incarnation, id: fmt.Sprintf("probe-%d-%d", s.attemptCount, most), program: &probe}
	p.pending++
	t.requestAdmission(s.world.Now+admitTimeout*4, func(r admitReply, ok bool) {
		p.pending--
		if !ok || r.outcome != want {
			s.world.Fail("%s of %s: outcome %d (answered: %v) instead of %d", t.id, program.name, r.outcome, ok, want)
		}
	})
}

// probeTurn verifies that the leader still has the history of a completed turn.
func (p *probes) probeTurn(completed *completedTurn) {
	s := p.workload
	if s.mayBeForgotten(completed, s.world.Now+time.Second) {
		return
	}
	for _, n := range s.world.running() {
		for _, m := range n.members {
			if !m.replica.HasLease(n.clock()) || !strings.HasSuffix(string(m.group), fmt.Sprint(s.partitionOf(completed.program))) {
				continue
			}
			history, found := m.stateMachine.(*turns.Machine).History(completed.id)
			if m.applied == m.replica.CommitIndex() && (!found || string(history) != completed.text) {
				s.world.Fail("the stored history at turn %s of %s is %q (found: %v) instead of %q", completed.id, completed.program.name, history, found, completed.text)
			}
		}
	}
}

func (s *turnsWorkload) partitionOf(p *program) int {
	d := s.registry.stateMachine.Directory()
	return d.TurnPartition(p.name)
}
