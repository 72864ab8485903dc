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
	r.handed = r.log.last()
	r.applied += uint64(len(ready.Committed))
	r.incoming, r.early, r.messages, r.hardChanged = nil, nil, nil, false
	return ready
}

// Persisted tells that the writes of ready are durable. Calls come in the order of the Readys.
func (r *Replica) Persisted(now time.Duration, ready Ready) {
	r.advance(now)
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
