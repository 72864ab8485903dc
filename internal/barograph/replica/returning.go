package replica

import (
	"cmp"
	"slices"
	"time"

	"pipitmux/internal/station/hashing"
)

// A node that starts anew may have promised an owner a lease before, and forgotten it: it
// votes for nobody until Election has passed. Where all machines start anew at once that wait
// would be in vain. So voters that have heard no owner since their start may vote at once,
// if every single voter says that it would, and so is no owner:
//
// An owner with a lease is a voter of the candidate's group, or has entries committed that
// the candidate lacks, which then can't win. It was no owner when it answered, so it would
// have to be elected and heard by a majority after that. A voter that has heard it, or voted
// for it, is no longer in this state and refuses; one that has heard it and started anew since
// answers in another life, which the vote doesn't name. Every majority for the candidate
// holds such a voter.
const (
	returnPause = 15 * time.Millisecond // between two canvasses of the first in order
	returnStep  = 60 * time.Millisecond // longer for each one behind it, so that they don't meet
	returnLot   = 20 * time.Millisecond // added by lot
	returnTimes = 3                     // so many times Election after a start others may still come
)

// returning tells whether this node has started anew and only what it may have promised
// before binds it.
func (r *Replica) returning() bool {
	return r.restarted && r.role != owner && r.role != candidate && r.bound()
}

// excused tells whether a voter may answer a node that starts anew, as it does itself, though
// it may have promised a lease before.
func (r *Replica) excused(m Message) bool {
	return m.Returning && r.returning() && (m.Kind == Canvass || m.Life == r.life)
}

// mayReturn tells whether other voters may still be starting anew, so that this node asks
// them again and again.
func (r *Replica) mayReturn() bool {
	return r.restarted && r.heard != never && r.now-r.started < returnTimes*r.timing.Election
}

// returnAt is when to canvass next while that is so.
func (r *Replica) returnAt() time.Duration {
	return r.now + returnPause + time.Duration(r.place())*returnStep + time.Duration(r.random.Int64N(int64(returnLot)))
}

// place is this node's place in the order of the group's voters.
func (r *Replica) place() int {
	weight := func(node NodeID) uint64 { return hashing.Weight(string(r.group), uint64(node)) }
	voters := slices.SortedFunc(slices.Values(r.members().Voters), func(a, b NodeID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return max(slices.Index(voters, r.self), 0)
}
