package replica

// hear notes word from the owner of this node's term.
func (r *Replica) hear(from NodeID) {
	r.follow(r.hard.Term, from)
	r.heard = r.now
	r.restarted = false
	r.postpone()
}

func (r *Replica) onAppend(m Message) {
	if r.role == owner {
		return // no term has two owners: not from a member that is in its right mind
	}
	r.hear(m.From)
	r.freshen(m)
	if m.Index < r.commit {
		m = r.skipCommitted(m)
	}
	if !r.log.matches(m.Index, m.LogTerm) {
		r.reject(m)
		return
	}
	last, ok := r.take(m)
	if !ok {
		return
	}
	r.commitTo(min(m.Commit, last))
	r.confirm(m, last)
}

// skipCommitted leaves out what this node has committed, which an owner holds alike.
func (r *Replica) skipCommitted(m Message) Message {
	for len(m.Entries) > 0 && m.Entries[0].Index <= r.commit {
		first := m.Entries[0]
		if term, known := r.log.term(first.Index); known && term != first.Term {
			r.contradicted = true
		}
		m.Entries = m.Entries[1:]
	}
	m.Index = r.commit
	m.LogTerm, _ = r.log.term(r.commit)
	return m
}

// confirm tells the owner that this node holds its log up to index.
func (r *Replica) confirm(m Message, index uint64) {
	r.answer(m, Message{Kind: AppendReply, Index: index})
}

// reject tells the owner how far the logs may match.
func (r *Replica) reject(m Message) {
	hint, term := r.log.guess(m.Index, m.LogTerm)
	if hint < r.commit {
		hint = r.commit
		term, _ = r.log.term(hint)
	}
	r.answer(m, Message{Kind: AppendReply, Reject: true, Index: m.Index, Hint: hint, LogTerm: term})
}

// answer answers the owner and asks it, by the way, to prove this node's state recent.
func (r *Replica) answer(to, m Message) {
	if !r.timing.Lazy {
		m.Asked, m.Life = r.now, r.life
	}
	if !r.durable(m) {
		r.reply(to, m)
		return
	}
	m = r.addressed(to, m)
	m.Group, m.From = r.group, r.self
	r.early = append(r.early, m)
}

// take puts the entries of m in the log, in place of what differs, and returns the last one's
// index. It refuses to replace committed entries.
func (r *Replica) take(m Message) (last uint64, ok bool) {
	last = m.Index
	for _, entry := range m.Entries {
		if entry.Index != last+1 {
			return 0, false
		}
		last = entry.Index
		if r.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= r.commit {
			r.contradicted = true
			return 0, false
		}
		r.cut(entry.Index)
		r.log.append(entry)
	}
	return last, true
}

// cut drops the entries at and after index.
func (r *Replica) cut(index uint64) {
	r.log.truncate(index)
	r.handed = min(r.handed, index-1)
	r.stable = min(r.stable, index-1)
}

func (r *Replica) commitTo(index uint64) {
	r.commit = max(r.commit, min(index, r.log.last()))
}

func (r *Replica) onInstall(m Message) {
	if r.role == owner || m.Snapshot == nil {
		return
	}
	r.hear(m.From)
	if m.Snapshot.Index <= r.commit {
		r.assembly = nil
		r.confirm(m, r.commit)
		return
	}
	if r.log.matches(m.Snapshot.Index, m.Snapshot.Term) {
		r.assembly = nil
		r.commitTo(m.Snapshot.Index)
		r.confirm(m, m.Snapshot.Index)
		return
	}
	snapshot, whole := r.assemble(m)
	if !whole {
		return
	}
	r.log.reset(snapshot)
	r.commit, r.applied = snapshot.Index, snapshot.Index
	r.handed, r.stable = snapshot.Index, snapshot.Index
	r.incoming = &snapshot
	r.confirm(m, snapshot.Index)
}

// Compact tells that the caller has made the snapshot durable and applied what it covers:
// all but a tail of the entries up to its index goes from memory.
func (r *Replica) Compact(snapshot Snapshot) {
	if snapshot.Index > r.applied {
		return
	}
	r.log.compact(min(r.tailStart(snapshot.Index), r.pinned(snapshot.Index)))
}

// tailStart returns the index after which entries are kept when a snapshot at index is durable.
func (r *Replica) tailStart(index uint64) uint64 {
	start, bytes := index, 0
	for start > r.log.base && index-start < r.tail && bytes < tailBytes {
		bytes += r.log.at(start).Size()
		start--
	}
	return start
}
