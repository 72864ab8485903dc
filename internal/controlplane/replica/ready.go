package replica

import "time"

// Ready returns the work that has accumulated since the last call, and clears it. Only one Ready may be
// outstanding: the caller asks for the next one after Persisted.
func (r *Replica) Ready() Ready {
	if r.role == leader {
		r.replicate()
	}
	ready := Ready{
		Snapshot:  r.incomingSnapshot,
		Entries:   r.log.slice(r.issuedIndex+1, r.log.lastIndex(), int(r.log.lastIndex()-r.issuedIndex), 1<<62),
		Committed: r.log.slice(r.appliedIndex+1, r.commitIndex, maxApplyEntries, 1<<62),
		Immediate: r.immediate,
		Messages:  r.messages,
	}
	if r.hardStateChanged {
		hard := r.hardState
		ready.HardState = &hard
	}
	r.hardStateWriting, r.snapshotWriting = ready.HardState != nil, ready.Snapshot != nil
	r.issuedIndex = r.log.lastIndex()
	r.appliedIndex += uint64(len(ready.Committed))
	r.incomingSnapshot, r.immediate, r.messages, r.hardStateChanged = nil, nil, nil, false
	return ready
}

// TakeImmediate returns the messages that may be sent while a Ready is still being written: heartbeats,
// and replies that promise nothing that isn't durable. Thanks to them a node with a slow disk is not
// mistaken for a lost one.
func (r *Replica) TakeImmediate() []Message {
	immediate := r.immediate
	r.immediate = nil
	return immediate
}

// promisesOnlyDurable reports whether a reply to a leader promises only what is on this node's disk.
func (r *Replica) promisesOnlyDurable(m Message) bool {
	if r.hardStateChanged || r.hardStateWriting || r.snapshotWriting || r.incomingSnapshot != nil {
		return false
	}
	return m.Kind == InstallSnapshotReply || m.Reject || m.Index <= r.durableIndex
}

// Persisted reports that the writes of ready are durable. Calls must come in the order of the Readys.
func (r *Replica) Persisted(now time.Duration, ready Ready) {
	r.advanceClock(now)
	r.hardStateWriting, r.snapshotWriting = false, false
	if ready.HardState != nil {
		r.recordOwnVote(*ready.HardState)
	}
	if len(ready.Entries) == 0 {
		return
	}
	last := ready.Entries[len(ready.Entries)-1]
	if !r.log.matches(last.Index, last.Term) {
		return // replaced by later entries
	}
	r.durableIndex = max(r.durableIndex, last.Index)
	if r.role == leader {
		r.updateCommitIndex()
	}
}
