package replica

// recordLeaderContact records a message from the leader of this node's term.
func (r *Replica) recordLeaderContact(from NodeID) {
	r.becomeFollower(r.hardState.Term, from)
	r.lastLeaderContact = r.now
	r.restarted = false
	r.resetElectionTimer()
}

func (r *Replica) handleAppend(m Message) {
	if r.role == leader {
		return // a term has one leader, so the sender is faulty
	}
	r.recordLeaderContact(m.From)
	r.recordFreshnessProof(m)
	if m.Index < r.commitIndex {
		m = r.skipCommitted(m)
	}
	if !r.log.matches(m.Index, m.LogTerm) {
		r.rejectAppend(m)
		return
	}
	last, ok := r.appendFromLeader(m)
	if !ok {
		return
	}
	r.advanceCommit(min(m.Commit, last))
	r.acknowledge(m, last)
}

// skipCommitted drops the entries that this node has committed, because a leader holds the same ones.
func (r *Replica) skipCommitted(m Message) Message {
	for len(m.Entries) > 0 && m.Entries[0].Index <= r.commitIndex {
		first := m.Entries[0]
		if term, known := r.log.termAt(first.Index); known && term != first.Term {
			r.logConflict = true
		}
		m.Entries = m.Entries[1:]
	}
	m.Index = r.commitIndex
	m.LogTerm, _ = r.log.termAt(r.commitIndex)
	return m
}

// acknowledge tells the leader that this node holds its log up to index.
func (r *Replica) acknowledge(m Message, index uint64) {
	r.replyToLeader(m, Message{Kind: AppendReply, Index: index})
}

// rejectAppend tells the leader up to which index the logs may match.
func (r *Replica) rejectAppend(m Message) {
	hint, term := r.log.lastPossibleMatch(m.Index, m.LogTerm)
	if hint < r.commitIndex {
		hint = r.commitIndex
		term, _ = r.log.termAt(hint)
	}
	r.replyToLeader(m, Message{Kind: AppendReply, Reject: true, Index: m.Index, Hint: hint, LogTerm: term})
}

// replyToLeader replies to the leader and, unless commits are lazy, asks it for a proof of how recent
// this node's state is.
func (r *Replica) replyToLeader(to, m Message) {
	if !r.timing.LazyCommit {
		m.Asked, m.Life = r.now, r.incarnation
	}
	if !r.promisesOnlyDurable(m) {
		r.reply(to, m)
		return
	}
	m = r.asReplyTo(to, m)
	m.Group, m.From = r.group, r.self
	r.immediate = append(r.immediate, m)
}

// appendFromLeader adds the entries of m to the log, replacing those that differ, and returns the index
// of the last one. It refuses to replace committed entries.
func (r *Replica) appendFromLeader(m Message) (last uint64, ok bool) {
	last = m.Index
	for _, entry := range m.Entries {
		if entry.Index != last+1 {
			return 0, false
		}
		last = entry.Index
		if r.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= r.commitIndex {
			r.logConflict = true
			return 0, false
		}
		r.truncateLog(entry.Index)
		r.log.append(entry)
	}
	return last, true
}

// truncateLog drops the entries at and after index.
func (r *Replica) truncateLog(index uint64) {
	r.log.truncate(index)
	r.issuedIndex = min(r.issuedIndex, index-1)
	r.durableIndex = min(r.durableIndex, index-1)
}

func (r *Replica) advanceCommit(index uint64) {
	r.commitIndex = max(r.commitIndex, min(index, r.log.lastIndex()))
}

func (r *Replica) handleInstallSnapshot(m Message) {
	if r.role == leader || m.Snapshot == nil {
		return
	}
	r.recordLeaderContact(m.From)
	if m.Snapshot.Index <= r.commitIndex {
		r.snapshotAssembly = nil
		r.acknowledge(m, r.commitIndex)
		return
	}
	if r.log.matches(m.Snapshot.Index, m.Snapshot.Term) {
		r.snapshotAssembly = nil
		r.advanceCommit(m.Snapshot.Index)
		r.acknowledge(m, m.Snapshot.Index)
		return
	}
	snapshot, whole := r.assembleSnapshot(m)
	if !whole {
		return
	}
	r.log.reset(snapshot)
	r.commitIndex, r.appliedIndex = snapshot.Index, snapshot.Index
	r.issuedIndex, r.durableIndex = snapshot.Index, snapshot.Index
	r.incomingSnapshot = &snapshot
	r.acknowledge(m, snapshot.Index)
}

// Compact is called when the snapshot is durable and what it covers has been applied. It drops the
// entries up to the snapshot's index from memory, except for a tail of them.
func (r *Replica) Compact(snapshot Snapshot) {
	if snapshot.Index > r.appliedIndex {
		return
	}
	r.log.compact(min(r.tailStart(snapshot.Index), r.compactionLimit(snapshot.Index)))
}

// tailStart returns the index after which entries are kept when a snapshot at index is durable.
func (r *Replica) tailStart(index uint64) uint64 {
	start, bytes := index, 0
	for start > r.log.baseIndex && index-start < r.tailEntries && bytes < maxTailBytes {
		bytes += r.log.entryAt(start).Size()
		start--
	}
	return start
}
