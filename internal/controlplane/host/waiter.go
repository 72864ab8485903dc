package host

import "oakseam/internal/controlplane/replica"

// waiter waits for the log entry of a proposal to be committed and applied.
type waiter struct {
	term uint64
	done chan outcome // buffered, one element
}

// outcome is the result of a proposal that is sent to its waiter.
type outcome struct {
	result []byte
	err    error
}

func (w *waiter) complete(result []byte, err error) { w.done <- outcome{result, err} }

// takeWaiters moves the waiters for the job's committed entries from the group to the job.
// The host's mu is held.
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
		if w.term != e.Term { // another entry was committed at this index: the proposal never will be
			j.completions[i].outcome.err = &replica.NotLeaderError{Leader: g.replica.Leader()}
		}
	}
}

// failDeposed fails the waiters of entries that are not known to be committed and that this
// node accepted as a leader of an earlier term. The host's mu is held.
func (g *group) failDeposed() {
	if len(g.waiters) == 0 {
		return
	}
	leads, term, commit := g.replica.IsLeader(), g.replica.Term(), g.replica.CommitIndex()
	for index, w := range g.waiters {
		if index <= commit || leads && w.term == term {
			continue
		}
		delete(g.waiters, index)
		w.complete(nil, &UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: g.replica.Leader()}})
	}
}

// failThrough fails the waiters up to an index that a snapshot now covers. The snapshot does
// not show the outcome of single entries.
func (g *group) failThrough(index uint64) {
	for waiting, w := range g.waiters {
		if waiting <= index {
			delete(g.waiters, waiting)
			w.complete(nil, &UnknownOutcomeError{Cause: &replica.NotLeaderError{Leader: g.replica.Leader()}})
		}
	}
}

// failAll fails all waiters. The host's mu is held.
func (g *group) failAll(err error) {
	for index, w := range g.waiters {
		delete(g.waiters, index)
		w.complete(nil, err)
	}
}
