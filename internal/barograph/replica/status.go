package replica

import "time"

// Term is the newest term that the node knows.
func (r *Replica) Term() uint64 { return r.hard.Term }

// Owner is the owner of that term, 0 if it is not known.
func (r *Replica) Owner() NodeID { return r.owner }

// Owns tells whether this node is the owner.
func (r *Replica) Owns() bool { return r.role == owner }

// Commit is the index up to which entries are known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// MembersAt returns the members in force at an index, for a snapshot made there. The index
// must not lie before what Compact has let go.
func (r *Replica) MembersAt(index uint64) Members {
	return r.log.changes[r.log.change(index)].Members.Clone()
}

// Status is a view of the replica, sharing nothing with it.
func (r *Replica) Status(now time.Duration) Status {
	r.advance(now)
	status := Status{
		Group: r.group, Self: r.self, Owner: r.owner, Term: r.hard.Term,
		Commit: r.commit, Last: r.log.last(),
		Members: r.members().Clone(), Settled: r.settled(), Pending: r.pending(), Changed: r.log.newest().Index,
		Contradicted: r.contradicted,
	}
	if r.role != owner {
		return status
	}
	status.Heard = map[NodeID]time.Duration{}
	status.Matched = map[NodeID]uint64{}
	for node, p := range r.progress {
		status.Heard[node] = p.heard
		status.Matched[node] = p.matched
	}
	return status
}
