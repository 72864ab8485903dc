package host

import "pipitmux/internal/barograph/replica"

// waiter waits for the entry that a proposal became.
type waiter struct {
	term uint64
	done chan outcome // holds one
}

// outcome is what a waiter is told.
type outcome struct {
	result []byte
	err    error
}

func (w *waiter) tell(result []byte, err error) { w.done <- outcome{result, err} }

// takeWaiters takes who waits for what the job applies. The host's mu is held.
func (j *job) takeWaiters() {
	g := j.group
	if len(g.waiting) == 0 {
		return
	}
	if j.ready.Snapshot != nil {
		g.failUpTo(j.ready.Snapshot.Index)
	}
	j.answers = make([]answer, len(j.ready.Committed))
	for i, e := range j.ready.Committed {
		w := g.waiting[e.Index]
		if w == nil {
			continue
		}
		delete(g.waiting, e.Index)
		j.answers[i].waiter = w
		if w.term != e.Term { // another took its place: it will never be in force
			j.answers[i].outcome.err = &replica.NotLeaderError{Leader: g.replica.Leader()}
		}
	}
}

// failDeposed tells those who wait for what isn't known to be committed that this node is no
// longer the owner that took it. The host's mu is held.
func (g *group) failDeposed() {
	if len(g.waiting) == 0 {
		return
	}
	owns, term, commit := g.replica.IsLeader(), g.replica.Term(), g.replica.CommitIndex()
	for index, w := range g.waiting {
		if index <= commit || owns && w.term == term {
			continue
		}
		delete(g.waiting, index)
		w.tell(nil, &UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: g.replica.Leader()}})
	}
}

// failUpTo tells those whom a snapshot has overtaken that their outcome can't be seen.
func (g *group) failUpTo(index uint64) {
	for at, w := range g.waiting {
		if at <= index {
			delete(g.waiting, at)
			w.tell(nil, &UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: g.replica.Leader()}})
		}
	}
}

// failAll tells all who wait. The host's mu is held.
func (g *group) failAll(err error) {
	for index, w := range g.waiting {
		delete(g.waiting, index)
		w.tell(nil, err)
	}
}
