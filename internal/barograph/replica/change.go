package replica

import "time"

// pending tells whether the members in force are not committed yet.
func (r *Replica) pending() bool { return r.log.newest().Index > r.commit }

// eligible tells whether this node may become owner. Besides a voter that is one whose removal
// isn't committed yet, who may be the only one to hold the entry that says so (Ongaro's thesis,
// 4.2.2), and a learner: it may hold more of the log than the voters left, who then can't win.
// The votes that count are the voters' in any case.
func (r *Replica) eligible() bool { return r.members().Contains(r.self) || r.leaving() }

// leaving tells whether this node was a voter until a change that is not committed yet.
func (r *Replica) leaving() bool {
	changes := r.log.changes
	return r.pending() && len(changes) > 1 && changes[len(changes)-2].Members.IsVoter(r.self)
}

// ChangeMembers appends a change of members, in force at once. One voter may come or go at a
// time (Raft's change by single servers), learners freely. Fails with *NotOwnerError,
// ErrHandover, ErrOverloaded, ErrNotSettled, ErrPending, ErrMembers, ErrManyVoters,
// ErrNotLearner or ErrNotCaughtUp.
func (r *Replica) ChangeMembers(now time.Duration, to Members) (index, term uint64, err error) {
	r.advance(now)
	if err := r.changeable(to); err != nil {
		return 0, 0, err
	}
	index = r.add(Change, to.Encode())
	r.watch()
	return index, r.hard.Term, nil
}

// changeable tells why the members cannot become others now.
func (r *Replica) changeable(to Members) error {
	if err := r.takes(); err != nil {
		return err
	}
	switch {
	case !r.settled():
		return ErrNotSettled
	case r.pending():
		return ErrPending
	}
	if err := to.check(); err != nil {
		return err
	}
	return r.checkVoters(r.members(), to)
}

func (r *Replica) checkVoters(from, to Members) error {
	added, removed := without(to.Voters, from.Voters), without(from.Voters, to.Voters)
	if len(added)+len(removed) > 1 {
		return ErrManyVoters
	}
	if len(added) == 0 {
		return nil
	}
	if !from.IsLearner(added[0]) {
		return ErrNotLearner
	}
	if !r.caughtUp(added[0]) {
		return ErrNotCaughtUp
	}
	return nil
}

// caughtUp tells whether a member answered of late and lacks no more than one append's entries.
func (r *Replica) caughtUp(node NodeID) bool {
	p := r.progress[node]
	return p != nil && p.answered != never && r.now-p.heard < r.timing.Election &&
		p.matched+maxBatchEntries >= r.log.last() && p.matched >= r.opening
}

// Handover gives the ownership to a voter that is caught up. The owner takes no proposals until
// it loses the ownership, or gives up after half of Election. Fails with *NotOwnerError,
// ErrHandover, ErrNotVoter or ErrNotCaughtUp; to this node itself it does nothing.
func (r *Replica) Handover(now time.Duration, to NodeID) error {
	r.advance(now)
	switch {
	case r.role != owner:
		return &NotOwnerError{Owner: r.owner}
	case r.handover.to != 0:
		return ErrHandover
	case to == r.self:
		return nil
	case !r.members().IsVoter(to):
		return ErrNotVoter
	case !r.caughtUp(to):
		return ErrNotCaughtUp
	}
	r.handover = handover{to: to, until: r.now + r.timing.Election/2}
	return nil
}

// startHandover asks the receiver to campaign once it holds the whole log. From then on the
// owner claims no lease in this term: the request may arrive at any time.
func (r *Replica) startHandover() {
	to := r.handover.to
	if to == 0 || r.handover.sent {
		return
	}
	if p := r.progress[to]; p == nil || p.matched < r.log.last() {
		return
	}
	r.handover.sent = true
	r.askHandover()
}

func (r *Replica) askHandover() {
	r.sendEarly(Message{To: r.handover.to, Kind: Handover, Index: r.log.last(), LogTerm: r.log.lastTerm()})
}

// endHandover gives up. If the receiver was asked, then a lease needs a new term, where the
// request counts no more.
func (r *Replica) endHandover() {
	sent := r.handover.sent
	r.handover = handover{}
	if !sent {
		return
	}
	if !r.eligible() {
		r.follow(r.hard.Term, 0)
		return
	}
	r.campaign(true)
}

// resign gives up the ownership once this node is no voter any more, in favour of the voter
// that holds most of the log.
func (r *Replica) resign() {
	var best NodeID
	for _, voter := range r.members().Voters {
		r.heartbeat(voter, r.progress[voter])
		if best == 0 || r.progress[voter].matched > r.progress[best].matched {
			best = voter
		}
	}
	r.handover = handover{to: best, sent: true}
	r.askHandover()
	r.follow(r.hard.Term, 0)
}
