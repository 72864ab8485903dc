package replica

import "time"

// How recent a member's state is can be proven without a clock in common, in the manner of a
// read index (Ongaro's thesis, 6.4), on the heartbeats that go out anyhow: a member puts its
// own time into each answer to the owner (Asked), and the owner gives it back in a later
// heartbeat, with its commit index (Newest), if it holds its lease at that moment. The member
// then knows: at some moment after Asked on its own clock there was no other owner, and
// nothing beyond Newest was committed. What it has applied up to Newest is thus as recent as
// Asked, however late the heartbeat comes. Life tells apart the clocks of two lives of a node.

// proofsMost bounds the proofs that wait for their index to be applied.
const proofsMost = 8

// proof says that all that was committed at a moment after at, on this node's clock, stands at
// or before index.
type proof struct {
	index uint64
	at    time.Duration
}

// freshness is what a member knows of how recent its state is.
type freshness struct {
	waiting []proof       // index and at both ascend
	current time.Duration // of the newest proof whose index was applied; never: none
}

// add takes a proof in. Where many wait, the newest of them makes way: the oldest is applied first.
func (f *freshness) add(p proof) {
	if n := len(f.waiting); n > 0 {
		last := f.waiting[n-1]
		if p.at <= last.at || p.index < last.index {
			return // overtaken on the way
		}
		if p.index == last.index || n == proofsMost {
			f.waiting[n-1] = p
			return
		}
	}
	f.waiting = append(f.waiting, p)
}

// settle returns the newest moment that is proven when everything up to applied is applied.
func (f *freshness) settle(applied uint64) time.Duration {
	for len(f.waiting) > 0 && f.waiting[0].index <= applied {
		f.current = max(f.current, f.waiting[0].at)
		f.waiting = f.waiting[1:]
	}
	return f.current
}

// CurrentAt returns a moment on this node's clock, at most now: all that was committed before it
// is among what stands at or before applied, the index up to which the caller has applied the
// log. It lies far in the past where nothing is proven.
func (r *Replica) CurrentAt(now time.Duration, applied uint64) time.Duration {
	if r.role == owner && applied >= r.commit && r.Leased(now) {
		return now
	}
	return r.fresh.settle(applied)
}

// witness puts what proves the receiver's state recent into a heartbeat, under the lease only.
func (r *Replica) witness(m *Message, p *progress) {
	if p.life == 0 || !r.flaws.vouchUnleased && !r.Leased(r.now) {
		return
	}
	m.Asked, m.Life, m.Newest = p.asked, p.life, r.commit
}

// freshen takes in what a heartbeat proves.
func (r *Replica) freshen(m Message) {
	if m.Life == 0 || m.Life != r.life && !r.flaws.anyLife || m.Asked > r.now {
		return
	}
	r.fresh.add(proof{index: m.Newest, at: m.Asked})
}
