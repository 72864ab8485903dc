package replica

import (
	"slices"
	"time"
)

// own begins this node's ownership of its term.
func (r *Replica) own() {
	r.role, r.owner = owner, r.self
	r.grants = nil
	r.handover = handover{}
	r.progress = map[NodeID]*progress{}
	r.uncommitted = 0
	for index := r.commit + 1; index <= r.log.last(); index++ {
		r.uncommitted += r.log.at(index).Size()
	}
	r.watch()
	r.opening = r.add(Opening, nil)
	r.heartbeatAt = r.now
	r.tickOwner()
}

// watch keeps one progress for each other member. The last entry is sent to a new one in any
// case: its answer tells what it lacks, also in a group in which nothing is proposed.
func (r *Replica) watch() {
	members := r.members()
	for _, node := range members.All() {
		if node != r.self && r.progress[node] == nil {
			r.progress[node] = newProgress(r.now, max(r.log.last(), 1))
		}
	}
	for node := range r.progress {
		if !members.Contains(node) {
			delete(r.progress, node)
		}
	}
}

// add appends an entry of the owner's term and returns its index.
func (r *Replica) add(kind EntryKind, data []byte) uint64 {
	entry := Entry{Index: r.log.last() + 1, Term: r.hard.Term, Kind: kind, Data: data}
	r.log.append(entry)
	r.uncommitted += entry.Size()
	return entry.Index
}

// Propose appends a command to the log. Whether it gets committed shows when an entry at that
// index comes out of Ready: it is the command if it has that term. Fails with *NotOwnerError,
// ErrHandover or ErrOverloaded.
func (r *Replica) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	r.advance(now)
	if err := r.takes(); err != nil {
		return 0, 0, err
	}
	return r.add(Command, data), r.hard.Term, nil
}

// takes tells why the node takes no proposals.
func (r *Replica) takes() error {
	switch {
	case r.role != owner:
		return &NotOwnerError{Owner: r.owner}
	case r.handover.to != 0:
		return ErrHandover
	case r.uncommitted > maxUncommitted:
		return ErrOverloaded
	}
	return nil
}

// tickOwner does what an owner does as time goes.
func (r *Replica) tickOwner() {
	r.leased = r.Leased(r.now)
	if !r.heardWithin(2 * r.timing.Election) {
		r.follow(r.hard.Term, 0)
		return
	}
	if r.handover.to != 0 && r.now >= r.handover.until {
		r.endHandover()
	}
	if r.role != owner || r.now < r.heartbeatAt {
		return
	}
	// All groups of a process beat at the same moments: their messages go out together.
	r.heartbeatAt = (r.now/r.timing.Heartbeat + 1) * r.timing.Heartbeat
	for _, node := range r.others() {
		p := r.progress[node]
		if len(p.flight) > 0 && r.now-p.moved >= r.timing.Heartbeat {
			p.restart(r.now, p.matched+1)
		}
		r.heartbeat(node, p)
	}
	if r.handover.sent {
		r.askHandover()
	}
}

func (r *Replica) nextOfOwner() time.Duration {
	next := r.now + farAway
	if len(r.progress) > 0 {
		next = r.heartbeatAt
	}
	if r.handover.to != 0 {
		next = min(next, r.handover.until)
	}
	return next
}

// others are the members but this node, in a steady order.
func (r *Replica) others() []NodeID { return without(r.members().All(), []NodeID{r.self}) }

// heartbeat sends an append without entries, at an index where the logs are known to match.
func (r *Replica) heartbeat(to NodeID, p *progress) {
	index := p.matched
	term, known := r.log.term(index)
	if !known {
		index, term = 0, 0
	}
	p.told = max(p.told, min(r.commit, p.matched))
	m := Message{To: to, Kind: Append, Index: index, LogTerm: term, Commit: min(r.commit, index)}
	r.witness(&m, p)
	r.sendEarly(m)
}

// sendEarly queues a message of the owner that needn't wait for its writes.
func (r *Replica) sendEarly(m Message) {
	m.Group, m.From, m.Term, m.Sent = r.group, r.self, r.hard.Term, r.now
	r.early = append(r.early, m)
}

// replicate sends each member the entries and the commit index that it misses.
func (r *Replica) replicate() {
	for _, node := range r.others() {
		p := r.progress[node]
		r.sendEntries(node, p)
		if !r.timing.Lazy && len(p.flight) == 0 && min(r.commit, p.matched) > p.told {
			r.heartbeat(node, p)
		}
	}
	r.startHandover()
}

// sendEntries sends as many appends as the flow to the member allows. A silent member gets
// heartbeats only, until it answers.
func (r *Replica) sendEntries(to NodeID, p *progress) {
	if r.now-p.heard >= r.timing.Election {
		return
	}
	for p.open() && p.next <= r.log.last() {
		before := p.next - 1
		term, known := r.log.term(before)
		if !known {
			r.sendInstall(to, p)
			return
		}
		p.transfer = nil // the log will do
		entries := r.log.slice(p.next, r.log.last(), r.batch, maxBatchBytes)
		last := before + uint64(len(entries))
		p.sent(r.now, last)
		p.told = max(p.told, min(r.commit, last))
		r.sendEarly(Message{
			To: to, Kind: Append, Index: before, LogTerm: term, Commit: r.commit, Entries: entries,
		})
	}
}

// hearFrom notes the answer of a member to this owner, nil if it is none.
func (r *Replica) hearFrom(m Message) *progress {
	p := r.progress[m.From]
	if r.role != owner || p == nil {
		return nil
	}
	if m.Sent == never || m.Sent > r.now {
		return nil // to a message of an older term
	}
	p.heard = r.now
	p.answered = max(p.answered, m.Sent)
	p.asked, p.life = m.Asked, m.Life
	return p
}

func (r *Replica) onAppendReply(m Message) {
	p := r.hearFrom(m)
	if p == nil {
		return
	}
	if m.Reject {
		r.onReject(m, p)
		return
	}
	if m.Index > r.log.last() {
		r.contradicted = true
		return
	}
	p.match(r.now, m.Index)
	r.count()
}

// onReject goes back to where the logs may match.
func (r *Replica) onReject(m Message, p *progress) {
	if p.stale(m.Index) {
		return
	}
	match, _ := r.log.guess(min(m.Hint, m.Index-1), m.LogTerm)
	p.restart(r.now, match+1)
}

// count commits what a majority of the voters hold durably. Entries of older terms are
// committed along with one of the owner's term only (Raft, 5.4.2).
func (r *Replica) count() {
	members := r.members()
	held := make([]uint64, 0, len(members.Voters))
	for _, voter := range members.Voters {
		held = append(held, r.heldBy(voter))
	}
	slices.Sort(held)
	index := held[len(held)-members.Quorum()]
	if index <= r.commit {
		return
	}
	if term, _ := r.log.term(index); term != r.hard.Term && !r.flaws.countOldTerms {
		return
	}
	r.commitOwn(index)
}

// heldBy returns up to where a member holds this owner's log durably.
func (r *Replica) heldBy(node NodeID) uint64 {
	if node == r.self {
		return r.stable
	}
	return r.progress[node].matched
}

func (r *Replica) commitOwn(index uint64) {
	for place := r.commit + 1; place <= index; place++ {
		r.uncommitted -= r.log.at(place).Size()
	}
	r.commit = index
	if !r.pending() && !r.members().IsVoter(r.self) {
		r.resign()
	}
}

// heardWithin tells whether a majority of the voters were heard from less than span ago.
func (r *Replica) heardWithin(span time.Duration) bool {
	return r.now-r.majoritySince(func(p *progress) time.Duration { return p.heard }) < span
}

// majoritySince returns the newest time that at least a majority of the voters have reached;
// this node counts as having reached the present.
func (r *Replica) majoritySince(reached func(*progress) time.Duration) time.Duration {
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

// Leased tells whether this node is certain to be the group's only owner at now: it is settled,
// and a majority of the voters, itself among them, answered what was sent less than Lease ago.
// A reader may then be given the state after all that is committed, once it is applied. It is
// to be asked anew for each reader, with the time of the asking.
func (r *Replica) Leased(now time.Duration) bool {
	if r.flaws.cachedLease && now > r.now {
		return r.role == owner && r.leased
	}
	r.advance(now)
	if !r.settled() || r.handover.sent {
		return false
	}
	since := r.majoritySince(func(p *progress) time.Duration { return p.answered })
	return r.now-since < r.timing.Lease
}

// settled tells whether this node is the owner and an entry of its term is committed.
func (r *Replica) settled() bool { return r.role == owner && r.commit >= r.opening }
