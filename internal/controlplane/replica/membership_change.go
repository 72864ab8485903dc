package replica

import "time"

// changePending reports whether the members in force are not committed yet.
func (r *Replica) changePending() bool { return r.log.currentMembers().Index > r.commitIndex }

// canCampaign reports whether this node may become leader. Besides a voter, that is a voter whose
// removal isn't committed yet, because it may be the only node that holds the entry of its removal
// (Ongaro's thesis, 4.2.2), and a learner, because it may hold more of the log than the remaining
// voters, which then can't win. Only the voters' votes count in any case.
func (r *Replica) canCampaign() bool { return r.members().Contains(r.self) || r.beingRemoved() }

// beingRemoved reports whether this node was a voter until a change that is not committed yet.
func (r *Replica) beingRemoved() bool {
	history := r.log.memberHistory
	return r.changePending() && len(history) > 1 && history[len(history)-2].Members.IsVoter(r.self)
}

// ChangeMembers appends a membership change, which is in force at once. One change may add or remove
// one voter (Raft's single-server changes) and any number of learners. It fails with *NotLeaderError,
// ErrTransferInProgress, ErrOverloaded, ErrLeaderNotReady, ErrChangePending, ErrInvalidMembers,
// ErrMultipleVoterChanges, ErrNotLearner or ErrNotCaughtUp.
func (r *Replica) ChangeMembers(now time.Duration, to Members) (index, term uint64, err error) {
	r.advanceClock(now)
	if err := r.checkChange(to); err != nil {
		return 0, 0, err
	}
	index = r.appendEntry(MembershipChange, to.Encode())
	r.syncProgress()
	return index, r.hardState.Term, nil
}

// checkChange returns why the members cannot be changed to these now.
func (r *Replica) checkChange(to Members) error {
	if err := r.checkProposable(); err != nil {
		return err
	}
	switch {
	case !r.leaderReady():
		return ErrLeaderNotReady
	case r.changePending():
		return ErrChangePending
	}
	if err := to.validate(); err != nil {
		return err
	}
	return r.checkVoterChange(r.members(), to)
}

// checkVoterChange returns an error unless at most one voter is added or removed. A voter that is
// added must be a learner that has caught up.
func (r *Replica) checkVoterChange(from, to Members) error {
	added, removed := difference(to.Voters, from.Voters), difference(from.Voters, to.Voters)
	if len(added)+len(removed) > 1 {
		return ErrMultipleVoterChanges
	}
	if len(added) == 0 {
		return nil
	}
	if !from.IsLearner(added[0]) {
		return ErrNotLearner
	}
	if !r.isCaughtUp(added[0]) {
		return ErrNotCaughtUp
	}
	return nil
}

// isCaughtUp reports whether a member answered recently, holds this term's first entry and lacks no
// more than the entries of one append.
func (r *Replica) isCaughtUp(node NodeID) bool {
	p := r.progress[node]
	return p != nil && p.answeredSendTime != never && r.now-p.lastHeard < r.timing.ElectionTimeout &&
		p.matchIndex+maxBatchEntries >= r.log.lastIndex() && p.matchIndex >= r.noOpIndex
}

// TransferLeadership hands the leadership to a voter that has caught up. The leader accepts no
// proposals until it loses the leadership, or aborts after half of ElectionTimeout. It fails with
// *NotLeaderError, ErrTransferInProgress, ErrNotVoter or ErrNotCaughtUp. A transfer to this node
// itself does nothing.
func (r *Replica) TransferLeadership(now time.Duration, to NodeID) error {
	r.advanceClock(now)
	switch {
	case r.role != leader:
		return &NotLeaderError{Leader: r.leaderID}
	case r.leadershipTransfer.target != 0:
		return ErrTransferInProgress
	case to == r.self:
		return nil
	case !r.members().IsVoter(to):
		return ErrNotVoter
	case !r.isCaughtUp(to):
		return ErrNotCaughtUp
	}
	r.leadershipTransfer = leadershipTransfer{target: to, deadline: r.now + r.timing.ElectionTimeout/2}
	return nil
}

// continueLeadershipTransfer sends TimeoutNow once the target holds the whole log. From then on the
// leader claims no lease in this term, because the request may arrive at any time.
func (r *Replica) continueLeadershipTransfer() {
	to := r.leadershipTransfer.target
	if to == 0 || r.leadershipTransfer.requested {
		return
	}
	if p := r.progress[to]; p == nil || p.matchIndex < r.log.lastIndex() {
		return
	}
	r.leadershipTransfer.requested = true
	r.sendTimeoutNow()
}

func (r *Replica) sendTimeoutNow() {
	r.sendImmediate(Message{To: r.leadershipTransfer.target, Kind: TimeoutNow, Index: r.log.lastIndex(), LogTerm: r.log.lastTerm()})
}

// abortLeadershipTransfer ends a transfer that took too long. If TimeoutNow was sent, the leader can
// have a lease again only in a new term, in which the request has no effect.
func (r *Replica) abortLeadershipTransfer() {
	requested := r.leadershipTransfer.requested
	r.leadershipTransfer = leadershipTransfer{}
	if !requested {
		return
	}
	if !r.canCampaign() {
		r.becomeFollower(r.hardState.Term, 0)
		return
	}
	r.startElection(true)
}

// stepDownAfterRemoval gives up the leadership once this node is no longer a voter, and asks the voter
// that holds most of the log to take over.
func (r *Replica) stepDownAfterRemoval() {
	var best NodeID
	for _, voter := range r.members().Voters {
		r.sendHeartbeat(voter, r.progress[voter])
		if best == 0 || r.progress[voter].matchIndex > r.progress[best].matchIndex {
			best = voter
		}
	}
	r.leadershipTransfer = leadershipTransfer{target: best, requested: true}
	r.sendTimeoutNow()
	r.becomeFollower(r.hardState.Term, 0)
}
