package replica

import "time"

// Term returns the newest term that the node knows.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// Leader returns the leader of that term, 0 if it is unknown.
func (r *Replica) Leader() NodeID { return r.leaderID }

// IsLeader reports whether this node is the leader.
func (r *Replica) IsLeader() bool { return r.role == leader }

// CommitIndex returns the index up to which entries are known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commitIndex }

// MembersAt returns the members in force at an index, for a snapshot made there. The index must not lie
// before the entries that Compact has dropped.
func (r *Replica) MembersAt(index uint64) Members {
	return r.log.memberHistory[r.log.membersPosition(index)].Members.Clone()
}

// Status returns a copy of the replica's state that shares nothing with it.
func (r *Replica) Status(now time.Duration) Status {
	r.advanceClock(now)
	status := Status{
		Group: r.group, Self: r.self, Leader: r.leaderID, Term: r.hardState.Term,
		CommitIndex: r.commitIndex, LastIndex: r.log.lastIndex(),
		Members: r.members().Clone(), LeaderReady: r.leaderReady(), ChangePending: r.changePending(), MembersIndex: r.log.currentMembers().Index,
		LogConflict: r.logConflict,
	}
	if r.role != leader {
		return status
	}
	status.LastHeard = map[NodeID]time.Duration{}
	status.MatchIndex = map[NodeID]uint64{}
	for node, p := range r.progress {
		status.LastHeard[node] = p.lastHeard
		status.MatchIndex[node] = p.matchIndex
	}
	return status
}
