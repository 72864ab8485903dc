package replica

import (
	"cmp"
	"slices"
	"time"

	"oakseam/internal/tier/hashing"
)

// A node that restarts may have promised a leader a lease before, and forgotten it. It therefore votes for
// nobody until ElectionTimeout has passed. If all machines restart at once, that wait is useless. So
// voters that have heard from no leader since their start may vote at once if every single voter says that
// it would vote, and so is no leader:
//
// A leader with a lease is a voter of the candidate's group, or has committed entries that the candidate
// lacks, in which case the candidate can't win. It was no leader when it answered the pre-vote, so it would
// have to be elected, and heard by a majority, after that. A voter that has heard from it, or has voted for
// it, is no longer in the state of a freshly restarted node and rejects the candidate. A voter that has heard
// from it and restarted again since answers in another incarnation, which the vote request doesn't name.
// Every majority for the candidate contains such a voter.
const (
	restartPreVoteInterval = 15 * time.Millisecond // between two pre-votes of the first-ranked voter
	restartRankDelay       = 60 * time.Millisecond // longer for each rank below it, so that pre-votes don't collide
	restartJitter          = 20 * time.Millisecond // upper bound of the random delay added to it
	restartWindowTimeouts  = 3                     // for this many ElectionTimeouts after a start other voters may still be restarting
)

// boundByRestartOnly reports whether this node has restarted and is bound only by promises that it may have
// made before.
func (r *Replica) boundByRestartOnly() bool {
	return r.restarted && r.role != leader && r.role != candidate && r.heardLeaderRecently()
}

// mayIgnoreLease reports whether a freshly restarted voter may grant the request of a node that asks as one
// of several restarted nodes, although this voter may have promised a lease before its restart.
func (r *Replica) mayIgnoreLease(m Message) bool {
	return m.Returning && r.boundByRestartOnly() && (m.Kind == PreVote || m.Life == r.incarnation)
}

// inRestartWindow reports whether other voters may still be restarting, so that this node repeats its
// pre-vote at short intervals.
func (r *Replica) inRestartWindow() bool {
	return r.restarted && r.lastLeaderContact != never && r.now-r.startedAt < restartWindowTimeouts*r.timing.ElectionTimeout
}

// nextRestartPreVote returns when to start the next pre-vote within the restart window.
func (r *Replica) nextRestartPreVote() time.Duration {
	return r.now + restartPreVoteInterval + time.Duration(r.voterRank())*restartRankDelay + time.Duration(r.random.Int64N(int64(restartJitter)))
}

// voterRank returns this node's rank in a pseudo-random order of the group's voters that is the same on all nodes.
func (r *Replica) voterRank() int {
	weight := func(node NodeID) uint64 { return hashing.Weight(string(r.group), uint64(node)) }
	voters := slices.SortedFunc(slices.Values(r.members().Voters), func(a, b NodeID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return max(slices.Index(voters, r.self), 0)
}
