package replica

// canvass asks the voters whether they would vote for this node, which opens no term: a node
// that was cut off thus doesn't disturb an owner that the others hear.
func (r *Replica) canvass() {
	r.role, r.owner = canvasser, 0
	r.grants = map[NodeID]bool{r.self: true}
	r.unanimous = false
	r.excuses, r.lives = map[NodeID]bool{r.self: r.returning()}, map[NodeID]uint64{}
	r.postpone()
	if r.would() {
		r.campaign(false)
		return
	}
	r.ask(Message{Kind: Canvass, Term: r.hard.Term + 1, Returning: true})
}

// would tells whether a ballot would be won, by what the voters have said so far: by a
// majority of those that are bound by nothing, or by all of them.
func (r *Replica) would() bool {
	members, free, granted := r.members(), 0, 0
	for _, voter := range members.Voters {
		if !r.grants[voter] {
			continue
		}
		granted++
		if !r.excuses[voter] || r.flaws.returnByMost {
			free++
		}
	}
	r.unanimous = granted == len(members.Voters) || r.flaws.returnByMost && granted >= members.Quorum()
	return free >= members.Quorum() || r.unanimous
}

// campaign opens the next term and asks for votes. The node's own vote counts once it is durable.
func (r *Replica) campaign(forced bool) {
	r.follow(r.hard.Term, 0)
	r.role = candidate
	r.hard = HardState{Term: r.hard.Term + 1, Vote: r.self}
	r.hardChanged = true
	r.restarted = false
	r.grants = map[NodeID]bool{}
	r.postpone()
	r.ask(Message{Kind: Vote, Term: r.hard.Term, Forced: forced, Returning: !forced && r.unanimous})
}

// ask sends a message about this node's log to the other voters.
func (r *Replica) ask(m Message) {
	m.Index, m.LogTerm = r.log.last(), r.log.lastTerm()
	for _, voter := range r.members().Voters {
		if voter != r.self {
			m.To, m.Life = voter, r.lives[voter]
			r.send(m)
		}
	}
}

// won tells whether a majority of the voters grant what was asked.
func (r *Replica) won() bool {
	members, granted := r.members(), 0
	for _, voter := range members.Voters {
		if r.grants[voter] {
			granted++
		}
	}
	return granted >= members.Quorum()
}

// refuses tells whether a Canvass or Vote is out of the question, whatever this node has
// voted: an owner's lease may run, the candidate's log is behind, or it is no member.
// A candidate with more of a log than this node may know of newer members than this node does.
func (r *Replica) refuses(m Message) bool {
	if !m.Forced && !r.flaws.noRefusal && r.leaseMayRun() && !r.excused(m) {
		return true
	}
	order := r.compareLog(m)
	return order < 0 || order == 0 && !r.members().Contains(m.From)
}

// leaseMayRun tells whether this node has promised an owner, itself too, not to vote yet.
func (r *Replica) leaseMayRun() bool {
	if r.role == owner {
		return r.heardWithin(r.timing.Election)
	}
	return r.bound()
}

// compareLog is above 0 if the log that m tells of is newer than this node's, 0 if both end alike.
func (r *Replica) compareLog(m Message) int {
	term, last := r.log.lastTerm(), r.log.last()
	switch {
	case m.LogTerm > term || m.LogTerm == term && m.Index > last:
		return 1
	case m.LogTerm == term && m.Index == last:
		return 0
	}
	return -1
}

func (r *Replica) onCanvass(m Message) {
	if m.Term <= r.hard.Term || r.refuses(m) {
		r.reply(m, Message{Kind: CanvassReply, Reject: true})
		return
	}
	r.reply(m, Message{Kind: CanvassReply, Term: m.Term, Returning: r.leaseMayRun(), Life: r.life})
}

func (r *Replica) onCanvassReply(m Message) {
	if r.role != canvasser || m.Reject || m.Term != r.hard.Term+1 {
		return
	}
	r.grants[m.From] = true
	r.excuses[m.From], r.lives[m.From] = m.Returning, m.Life
	if r.would() {
		r.campaign(false)
	}
}

func (r *Replica) onVote(m Message) {
	given := r.hard.Vote == m.From
	free := r.hard.Vote == 0 && r.role != owner && r.owner == 0
	if r.refuses(m) || !given && !free {
		r.reply(m, Message{Kind: VoteReply, Reject: true})
		return
	}
	if free {
		r.hard.Vote = m.From
		r.hardChanged = true
		r.restarted = false
		r.postpone()
	}
	r.reply(m, Message{Kind: VoteReply})
}

func (r *Replica) onVoteReply(m Message) {
	if r.role != candidate || m.Reject || m.Term != r.hard.Term {
		return
	}
	r.grants[m.From] = true
	if r.won() {
		r.own()
	}
}

// voted notes that this node's vote for itself is durable.
func (r *Replica) voted(hard HardState) {
	if r.role != candidate || hard != r.hard {
		return
	}
	r.grants[r.self] = true
	if r.won() {
		r.own()
	}
}

// onHandover campaigns without a canvass: the owner gave its lease up.
func (r *Replica) onHandover(m Message) {
	if r.role != follower || r.owner != m.From || !r.members().IsVoter(r.self) {
		return
	}
	r.campaign(true)
}
