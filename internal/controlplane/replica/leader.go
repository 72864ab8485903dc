package replica

import (
	"slices"
	"time"
)

// becomeLeader starts this node's leadership of its term.
func (r *Replica) becomeLeader() {
	r.role, r.leaderID = leader, r.self
	r.grantedBy = nil
	r.leadershipTransfer = leadershipTransfer{}
	r.progress = map[NodeID]*progress{}
	r.uncommittedBytes = 0
	for index := r.commitIndex + 1; index <= r.log.lastIndex(); index++ {
		r.uncommittedBytes += r.log.entryAt(index).Size()
	}
	r.syncProgress()
	r.noOpIndex = r.appendEntry(NoOp, nil)
	r.nextHeartbeat = r.now
	r.tickLeader()
}

// syncProgress keeps one progress for each other member. A new member is always sent the last entry: its
// reply tells what it lacks, even in a group in which nothing is proposed.
func (r *Replica) syncProgress() {
	members := r.members()
	for _, node := range members.All() {
		if node != r.self && r.progress[node] == nil {
			r.progress[node] = newProgress(r.now, max(r.log.lastIndex(), 1))
		}
	}
	for node := range r.progress {
		if !members.Contains(node) {
			delete(r.progress, node)
		}
	}
}

// appendEntry appends an entry of the leader's term to the log and returns its index.
func (r *Replica) appendEntry(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Kind: kind, Data: data}
	r.log.append(entry)
	r.uncommittedBytes += entry.Size()
	return entry.Index
}

// Propose appends a command to the log. Its outcome is known when Ready returns a committed entry at that
// index: the entry is the command if it has the returned term. Propose fails with *NotLeaderError,
// ErrTransferInProgress or ErrOverloaded.
func (r *Replica) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	r.advanceClock(now)
	if err := r.checkProposable(); err != nil {
		return 0, 0, err
	}
	return r.appendEntry(Command, data), r.hardState.Term, nil
}

// checkProposable returns why this node accepts no proposals, nil if it does.
func (r *Replica) checkProposable() error {
	switch {
	case r.role != leader:
		return &NotLeaderError{Leader: r.leaderID}
	case r.leadershipTransfer.target != 0:
		return ErrTransferInProgress
	case r.uncommittedBytes > maxUncommittedBytes:
		return ErrOverloaded
	}
	return nil
}

// tickLeader does the leader's work that depends on time.
func (r *Replica) tickLeader() {
	r.leasedAtTick = r.HasLease(r.now)
	if !r.heardFromQuorumWithin(2 * r.timing.ElectionTimeout) {
		r.becomeFollower(r.hardState.Term, 0)
		return
	}
	if r.leadershipTransfer.target != 0 && r.now >= r.leadershipTransfer.deadline {
		r.abortLeadershipTransfer()
	}
	if r.role != leader || r.now < r.nextHeartbeat {
		return
	}
	// All groups of a process send heartbeats at the same moments, so that their messages are batched.
	r.nextHeartbeat = (r.now/r.timing.HeartbeatInterval + 1) * r.timing.HeartbeatInterval
	for _, node := range r.otherMembers() {
		p := r.progress[node]
		if len(p.inFlight) > 0 && r.now-p.lastProgressAt >= r.timing.HeartbeatInterval {
			p.resetToProbe(r.now, p.matchIndex+1)
		}
		r.sendHeartbeat(node, p)
	}
	if r.leadershipTransfer.requested {
		r.sendTimeoutNow()
	}
}

// nextLeaderTick returns when the leader must be ticked again.
func (r *Replica) nextLeaderTick() time.Duration {
	next := r.now + idleTickDelay
	if len(r.progress) > 0 {
		next = r.nextHeartbeat
	}
	if r.leadershipTransfer.target != 0 {
		next = min(next, r.leadershipTransfer.deadline)
	}
	return next
}

// otherMembers returns all members except this node, in a stable order.
func (r *Replica) otherMembers() []NodeID { return difference(r.members().All(), []NodeID{r.self}) }

// sendHeartbeat sends an append without entries, at an index where the logs are known to match.
func (r *Replica) sendHeartbeat(to NodeID, p *progress) {
	index := p.matchIndex
	term, known := r.log.termAt(index)
	if !known {
		index, term = 0, 0
	}
	p.sentCommitIndex = max(p.sentCommitIndex, min(r.commitIndex, p.matchIndex))
	m := Message{To: to, Kind: Append, Index: index, LogTerm: term, Commit: min(r.commitIndex, index)}
	r.attachFreshnessProof(&m, p)
	r.sendImmediate(m)
}

// sendImmediate queues a message of the leader that need not wait for its writes.
func (r *Replica) sendImmediate(m Message) {
	m.Group, m.From, m.Term, m.Sent = r.group, r.self, r.hardState.Term, r.now
	r.immediate = append(r.immediate, m)
}

// replicate sends each member the entries and the commit index that it lacks.
func (r *Replica) replicate() {
	for _, node := range r.otherMembers() {
		p := r.progress[node]
		r.sendEntries(node, p)
		if !r.timing.LazyCommit && len(p.inFlight) == 0 && min(r.commitIndex, p.matchIndex) > p.sentCommitIndex {
			r.sendHeartbeat(node, p)
		}
	}
	r.continueLeadershipTransfer()
}

// sendEntries sends as many appends as flow control allows. A member that was silent for ElectionTimeout
// gets only heartbeats until it replies.
func (r *Replica) sendEntries(to NodeID, p *progress) {
	if r.now-p.lastHeard >= r.timing.ElectionTimeout {
		return
	}
	for p.canSend() && p.nextIndex <= r.log.lastIndex() {
		before := p.nextIndex - 1
		term, known := r.log.termAt(before)
		if !known {
			r.sendSnapshot(to, p)
			return
		}
		p.snapshotTransfer = nil // the log suffices
		entries := r.log.slice(p.nextIndex, r.log.lastIndex(), r.batchEntries, maxBatchBytes)
		last := before + uint64(len(entries))
		p.recordSent(r.now, last)
		p.sentCommitIndex = max(p.sentCommitIndex, min(r.commitIndex, last))
		r.sendImmediate(Message{
			To: to, Kind: Append, Index: before, LogTerm: term, Commit: r.commitIndex, Entries: entries,
		})
	}
}

// recordReply records a member's reply to this leader and returns its progress, or nil if the message is
// no such reply.
func (r *Replica) recordReply(m Message) *progress {
	p := r.progress[m.From]
	if r.role != leader || p == nil {
		return nil
	}
	if m.Sent == never || m.Sent > r.now {
		return nil // reply to a message of an older term
	}
	p.lastHeard = r.now
	p.answeredSendTime = max(p.answeredSendTime, m.Sent)
	p.memberTime, p.incarnation = m.Asked, m.Life
	return p
}

func (r *Replica) handleAppendReply(m Message) {
	p := r.recordReply(m)
	if p == nil {
		return
	}
	if m.Reject {
		r.handleAppendReject(m, p)
		return
	}
	if m.Index > r.log.lastIndex() {
		r.logConflict = true
		return
	}
	p.recordMatch(r.now, m.Index)
	r.updateCommitIndex()
}

// handleAppendReject resumes at the last index where the logs may match.
func (r *Replica) handleAppendReject(m Message, p *progress) {
	if p.isStaleReject(m.Index) {
		return
	}
	match, _ := r.log.lastPossibleMatch(min(m.Hint, m.Index-1), m.LogTerm)
	p.resetToProbe(r.now, match+1)
}

// updateCommitIndex commits what a majority of the voters hold durably. Entries of older terms are
// committed only along with an entry of the leader's own term (Raft paper, 5.4.2).
func (r *Replica) updateCommitIndex() {
	members := r.members()
	held := make([]uint64, 0, len(members.Voters))
	for _, voter := range members.Voters {
		held = append(held, r.durableIndexOf(voter))
	}
	slices.Sort(held)
	index := held[len(held)-members.Quorum()]
	if index <= r.commitIndex {
		return
	}
	if term, _ := r.log.termAt(index); term != r.hardState.Term && !r.defects.countOldTerms {
		return
	}
	r.commitThrough(index)
}

// durableIndexOf returns the index up to which a member holds this leader's log durably.
func (r *Replica) durableIndexOf(node NodeID) uint64 {
	if node == r.self {
		return r.durableIndex
	}
	return r.progress[node].matchIndex
}

// commitThrough commits the leader's entries up to index. A leader that is no longer a voter steps down
// once its removal is committed.
func (r *Replica) commitThrough(index uint64) {
	for committed := r.commitIndex + 1; committed <= index; committed++ {
		r.uncommittedBytes -= r.log.entryAt(committed).Size()
	}
	r.commitIndex = index
	if !r.changePending() && !r.members().IsVoter(r.self) {
		r.stepDownAfterRemoval()
	}
}

// heardFromQuorumWithin reports whether a majority of the voters were heard from less than span ago.
func (r *Replica) heardFromQuorumWithin(span time.Duration) bool {
	return r.now-r.quorumTime(func(p *progress) time.Duration { return p.lastHeard }) < span
}

// quorumTime returns the newest time that at least a majority of the voters have reached. This node
// counts as having reached the present.
func (r *Replica) quorumTime(reached func(*progress) time.Duration) time.Duration {
	members := r.members()
	times := make([]time.Duration, 0, len(members.Voters))
	for _, voter := range members.Voters {
		if voter == r.self {
			times = append(times, r.now)
			continue
		}
		times = append(times, reached(r.progress[voter]))
	}
	slices.Sort(times)
	return times[len(times)-members.Quorum()]
}

// HasLease reports whether this node is certainly the group's only leader at now: it has committed an
// entry of its term, and a majority of the voters, counting itself, answered messages that were sent less
// than LeaseDuration ago. A reader may then be given the state after all committed entries, once they are
// applied. Call it again for each reader, with the time of the call.
func (r *Replica) HasLease(now time.Duration) bool {
	if r.defects.cachedLease && now > r.now {
		return r.role == leader && r.leasedAtTick
	}
	r.advanceClock(now)
	if !r.leaderReady() || r.leadershipTransfer.requested {
		return false
	}
	since := r.quorumTime(func(p *progress) time.Duration { return p.answeredSendTime })
	return r.now-since < r.timing.LeaseDuration
}

// leaderReady reports whether this node is the leader and has committed an entry of its term.
func (r *Replica) leaderReady() bool { return r.role == leader && r.commitIndex >= r.noOpIndex }
