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

func (w *waiter) complete(result []byte, err error) { w.done <- outcome{result, err} }

// takeWaiters takes who waits for what the job applies. The host's mu is held.
func (j *job) takeWaiters() {
	g := j.group
	if len(g.waiters) == 0 {
		return
	}
	if j.ready.Snapshot != nil {
		g.failThrough(j.ready.Snapshot.Index)
	}
	j.completions = make([]completion, len(j.ready.Committed))
	for i, e := range j.ready.Committed {
		w := g.waiters[e.Index]
		if w == nil {
			continue
		}
		delete(g.waiters, e.Index)
		j.completions[i].waiter = w
		if w.term != e.Term { // another took its place: it will never be in force
			j.completions[i].outcome.err = &replica.NotLeaderError{Leader: g.replica.Leader()}
		}
	}
}

// failDeposed tells those who wait for what isn't known to be committed that this node is no
// longer the owner that took it. The host's mu is held.
func (g *group) failDeposed() {
	if len(g.waiters) == 0 {
		return
	}
	owns, term, commit := g.replica.IsLeader(), g.replica.Term(), g.replica.CommitIndex()
	for index, w := range g.waiters {
		if index <= commit || owns && w.term == term {
			continue
		}
		delete(g.waiters, index)
		w.complete(nil, &UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: g.replica.Leader()}})
	}
}

// failThrough tells those whom a snapshot has overtaken that their outcome can't be seen.
func (g *group) failThrough(index uint64) {
	for at, w := range g.waiters {
		if at <= index {
			delete(g.waiters, at)
			w.complete(nil, &UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: g.replica.Leader()}})
		}
	}
}

// failAll tells all who wait. The host's mu is held.
func (g *group) failAll(err error) {
	for index, w := range g.waiters {
		delete(g.waiters, index)
		w.complete(nil, err)
	}
}
