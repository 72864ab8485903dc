package replica

import "time"

// How recent a member's state is can be proven without synchronized clocks, in the manner of a read
// index (Ongaro's thesis, 6.4), on the heartbeats that are sent anyway. A member puts its own clock
// into each reply to the leader (Asked). The leader echoes it in a later heartbeat together with its
// commit index (Newest), if it holds its lease at that moment. The member then knows that at some
// moment after Asked on its own clock there was no other leader, and nothing beyond Newest was
// committed. What it has applied up to Newest is therefore as recent as Asked, however late the
// heartbeat arrives. Life distinguishes the clocks of two incarnations of a node.

// maxPendingProofs bounds the proofs whose index is not applied yet.
const maxPendingProofs = 8

// freshnessProof states that everything committed at some moment after asOf, on this node's clock, is
// at or before index.
type freshnessProof struct {
	index uint64
	asOf  time.Duration
}

// freshness is what a member knows about how recent its state is.
type freshness struct {
	pending  []freshnessProof // index and asOf both ascend
	provenAt time.Duration    // asOf of the newest proof whose index was applied; never: none
}

// add adds a proof. If too many are pending, the newest one is replaced, because the oldest is applied first.
func (f *freshness) add(p freshnessProof) {
	if n := len(f.pending); n > 0 {
		last := f.pending[n-1]
		if p.asOf <= last.asOf || p.index < last.index {
			return // arrived after a newer one
		}
		if p.index == last.index || n == maxPendingProofs {
			f.pending[n-1] = p
			return
		}
	}
	f.pending = append(f.pending, p)
}

// provenAsOf returns the newest moment that is proven when everything up to applied is applied.
func (f *freshness) provenAsOf(applied uint64) time.Duration {
	for len(f.pending) > 0 && f.pending[0].index <= applied {
		f.provenAt = max(f.provenAt, f.pending[0].asOf)
		f.pending = f.pending[1:]
	}
	return f.provenAt
}

// FreshAsOf returns a moment on this node's clock, at most now: everything committed before it is at or
// before applied, the index up to which the caller has applied the log. The moment lies far in the past
// if nothing is proven.
func (r *Replica) FreshAsOf(now time.Duration, applied uint64) time.Duration {
	if r.role == leader && applied >= r.commitIndex && r.HasLease(now) {
		return now
	}
	return r.freshness.provenAsOf(applied)
}

// attachFreshnessProof puts the proof of how recent the receiver's state is into a heartbeat, if this
// leader holds its lease.
func (r *Replica) attachFreshnessProof(m *Message, p *progress) {
	if p.incarnation == 0 || !r.defects.proveWithoutLease && !r.HasLease(r.now) {
		return
	}
	m.Asked, m.Life, m.Newest = p.memberTime, p.incarnation, r.commitIndex
}

// recordFreshnessProof stores the proof that a heartbeat carries.
func (r *Replica) recordFreshnessProof(m Message) {
	if m.Life == 0 || m.Life != r.incarnation && !r.defects.anyIncarnation || m.Asked > r.now {
		return
	}
	r.freshness.add(freshnessProof{index: m.Newest, asOf: m.Asked})
}
