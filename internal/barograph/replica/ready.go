package replica

import "time"

// Ready hands out what is to be done since the last call, and clears it. One Ready is out at a
// time: the next is called for after Persisted.
func (r *Replica) Ready() Ready {
	if r.role == owner {
		r.replicate()
	}
	ready := Ready{
		Snapshot:  r.incoming,
		Entries:   r.log.slice(r.handed+1, r.log.last(), int(r.log.last()-r.handed), 1<<62),
		Committed: r.log.slice(r.applied+1, r.commit, maxApply, 1<<62),
		Early:     r.early,
		Messages:  r.messages,
	}
	if r.hardChanged {
		hard := r.hard
		ready.Hard = &hard
	}
	r.hardOut, r.snapshotOut = ready.Hard != nil, ready.Snapshot != nil
	r.handed = r.log.last()
	r.applied += uint64(len(ready.Committed))
	r.incoming, r.early, r.messages, r.hardChanged = nil, nil, nil, false
	return ready
}

// Beats hands out what may be sent while a Ready is still being written: heartbeats, and answers
// that promise nothing which isn't durable. A slow disk is thus not taken for a lost node.
func (r *Replica) Beats() []Message {
	early := r.early
	r.early = nil
	return early
}

// durable tells whether an answer to an owner promises only what this node has on its disk.
func (r *Replica) durable(m Message) bool {
	if r.hardChanged || r.hardOut || r.snapshotOut || r.incoming != nil {
		return false
	}
	return m.Kind == InstallReply || m.Reject || m.Index <= r.stable
}

// Persisted tells that the writes of ready are durable. Calls come in the order of the Readys.
func (r *Replica) Persisted(now time.Duration, ready Ready) {
	r.advance(now)
	r.hardOut, r.snapshotOut = false, false
	if ready.Hard != nil {
		r.voted(*ready.Hard)
	}
	if len(ready.Entries) == 0 {
		return
	}
	last := ready.Entries[len(ready.Entries)-1]
	if !r.log.matches(last.Index, last.Term) {
		return // replaced in the meantime
	}
	r.stable = max(r.stable, last.Index)
	if r.role == owner {
		r.count()
	}
}
