package replica

// startPreVote asks the voters whether they would vote for this node, without starting a term. A
// node that was partitioned away thus doesn't disturb a leader that the others still hear.
func (r *Replica) startPreVote() {
	r.role, r.leaderID = preCandidate, 0
	r.grantedBy = map[NodeID]bool{r.self: true}
	r.unanimous = false
	r.boundVoters, r.incarnations = map[NodeID]bool{r.self: r.boundByRestartOnly()}, map[NodeID]uint64{}
	r.resetElectionTimer()
	if r.preVoteWon() {
		r.startElection(false)
		return
	}
	r.requestVotes(Message{Kind: PreVote, Term: r.hardState.Term + 1, Returning: true})
}

// preVoteWon reports whether an election would be won, by the answers so far: by a majority of the
// voters that are not bound by a promise, or by all voters, which it records in unanimous.
func (r *Replica) preVoteWon() bool {
	members, unbound, granted := r.members(), 0, 0
	for _, voter := range members.Voters {
		if !r.grantedBy[voter] {
			continue
		}
		granted++
		if !r.boundVoters[voter] || r.defects.restartByMajority {
			unbound++
		}
	}
	r.unanimous = granted == len(members.Voters) || r.defects.restartByMajority && granted >= members.Quorum()
	return unbound >= members.Quorum() || r.unanimous
}

// startElection starts the next term and requests votes. The node's own vote counts once it is durable.
func (r *Replica) startElection(forced bool) {
	r.becomeFollower(r.hardState.Term, 0)
	r.role = candidate
	r.hardState = HardState{Term: r.hardState.Term + 1, Vote: r.self}
	r.hardStateChanged = true
	r.restarted = false
	r.grantedBy = map[NodeID]bool{}
	r.resetElectionTimer()
	r.requestVotes(Message{Kind: Vote, Term: r.hardState.Term, Forced: forced, Returning: !forced && r.unanimous})
}

// requestVotes sends a message that describes this node's log to the other voters.
func (r *Replica) requestVotes(m Message) {
	m.Index, m.LogTerm = r.log.lastIndex(), r.log.lastTerm()
	for _, voter := range r.members().Voters {
		if voter != r.self {
			m.To, m.Life = voter, r.incarnations[voter]
			r.send(m)
		}
	}
}

// electionWon reports whether a majority of the voters granted their vote.
func (r *Replica) electionWon() bool {
	members, granted := r.members(), 0
	for _, voter := range members.Voters {
		if r.grantedBy[voter] {
			granted++
		}
	}
	return granted >= members.Quorum()
}

// rejectsCandidate reports whether a PreVote or Vote must be rejected regardless of this node's own
// vote: a leader's lease may be active, the candidate's log is behind, or the candidate is no member.
// A candidate whose log is ahead may know of newer members than this node does, so it need not be a
// known member.
func (r *Replica) rejectsCandidate(m Message) bool {
	if !m.Forced && !r.defects.ignoreLease && r.leaseMayBeActive() && !r.mayIgnoreLease(m) {
		return true
	}
	order := r.compareLastEntry(m)
	return order < 0 || order == 0 && !r.members().Contains(m.From)
}

// leaseMayBeActive reports whether this node has promised a leader, which may be itself, not to vote yet.
func (r *Replica) leaseMayBeActive() bool {
	if r.role == leader {
		return r.heardFromQuorumWithin(r.timing.ElectionTimeout)
	}
	return r.heardLeaderRecently()
}

// compareLastEntry returns 1 if the log described by m is newer than this node's, 0 if both end with
// the same entry and -1 if it is older.
func (r *Replica) compareLastEntry(m Message) int {
	term, last := r.log.lastTerm(), r.log.lastIndex()
	switch {
	case m.LogTerm > term || m.LogTerm == term && m.Index > last:
		return 1
	case m.LogTerm == term && m.Index == last:
		return 0
	}
	return -1
}

func (r *Replica) handlePreVote(m Message) {
	if m.Term <= r.hardState.Term || r.rejectsCandidate(m) {
		r.reply(m, Message{Kind: PreVoteReply, Reject: true})
		return
	}
	r.reply(m, Message{Kind: PreVoteReply, Term: m.Term, Returning: r.leaseMayBeActive(), Life: r.incarnation})
}

func (r *Replica) handlePreVoteReply(m Message) {
	if r.role != preCandidate || m.Reject || m.Term != r.hardState.Term+1 {
		return
	}
	r.grantedBy[m.From] = true
	r.boundVoters[m.From], r.incarnations[m.From] = m.Returning, m.Life
	if r.preVoteWon() {
		r.startElection(false)
	}
}

func (r *Replica) handleVote(m Message) {
	alreadyGranted := r.hardState.Vote == m.From
	canGrant := r.hardState.Vote == 0 && r.role != leader && r.leaderID == 0
	if r.rejectsCandidate(m) || !alreadyGranted && !canGrant {
		r.reply(m, Message{Kind: VoteReply, Reject: true})
		return
	}
	if canGrant {
		r.hardState.Vote = m.From
		r.hardStateChanged = true
		r.restarted = false
		r.resetElectionTimer()
	}
	r.reply(m, Message{Kind: VoteReply})
}

func (r *Replica) handleVoteReply(m Message) {
	if r.role != candidate || m.Reject || m.Term != r.hardState.Term {
		return
	}
	r.grantedBy[m.From] = true
	if r.electionWon() {
		r.becomeLeader()
	}
}

// recordOwnVote records that this node's vote for itself is durable.
func (r *Replica) recordOwnVote(hard HardState) {
	if r.role != candidate || hard != r.hardState {
		return
	}
	r.grantedBy[r.self] = true
	if r.electionWon() {
		r.becomeLeader()
	}
}

// handleTimeoutNow starts an election without a pre-vote: the leader gave up its lease.
func (r *Replica) handleTimeoutNow(m Message) {
	if r.role != follower || r.leaderID != m.From || !r.members().IsVoter(r.self) {
		return
	}
	r.startElection(true)
}
