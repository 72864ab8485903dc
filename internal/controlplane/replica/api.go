// Package replica implements one member of a replicated group in the manner of Raft. Elections give
// the group one leader per term, the leader orders commands in a log, and a member that is too far
// behind receives a snapshot and then the entries that follow it.
//
// A Replica is a pure state machine: messages and the time go in, writes and messages come out. It
// does no I/O, reads no clock and starts no goroutine. The caller carries out each Ready in the
// order that is documented there.
package replica

import (
	"time"
)

// NodeID identifies one incarnation of a node. The ID is lost together with the node's disk, so a
// node that has forgotten its votes returns under a new ID.
type NodeID uint64

// GroupID identifies a replicated group.
type GroupID string

// EntryKind is the kind of a log Entry. It is sent and stored as a number.
type EntryKind uint8

// The kinds of Entry. Their numbers are sent and stored and must not change.
const (
	Command          EntryKind = iota // a command for the state machine
	NoOp                              // the empty first entry of a leader's term
	MembershipChange                  // the encoded Members that are in force from this entry on
)

// Entry is one entry of a group's log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// Members are the nodes of a group. Voters elect the leader and make entries durable; learners only
// follow the log.
type Members struct {
	Voters   []NodeID
	Learners []NodeID
}

// HardState is what a node must never forget: the newest term that it knows, and the candidate that
// it voted for in that term (0: none).
type HardState struct {
	Term uint64
	Vote NodeID
}

// Snapshot is a group's state after the entry at Index, with the members in force there.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	State       []byte
}

// MessageKind is the kind of a Message. It is sent as a number.
type MessageKind uint8

// The kinds of Message. Their numbers are sent and must not change.
const (
	PreVote              MessageKind = iota // asks whether the receiver would vote for the sender; starts no term
	PreVoteReply                            // answers PreVote
	Vote                                    // Raft's RequestVote
	VoteReply                               // answers Vote
	Append                                  // entries, or a heartbeat if it has none
	AppendReply                             // answers Append, and InstallSnapshot once the snapshot is complete
	InstallSnapshot                         // a chunk of a snapshot
	TimeoutNow                              // the leader asks the receiver to start an election at once
	InstallSnapshotReply                    // how many bytes of the snapshot the receiver holds
)

// Message is sent from one member of a group to another. Its type and field names are part of the
// wire format.
type Message struct {
	Group    GroupID
	Kind     MessageKind
	From, To NodeID
	Term     uint64
	// Index and LogTerm identify the entry before Entries (Append), the last entry of the candidate's
	// log (PreVote, Vote), the newest entry known to match (AppendReply) or the last entry covered by
	// the snapshot (InstallSnapshot). In a rejecting AppendReply, Index is the rejected index and
	// LogTerm is the term at Hint.
	Index, LogTerm uint64
	Commit         uint64 // the commit index that the leader tells the receiver
	Entries        []Entry
	Reject         bool
	Hint           uint64        // in a rejecting AppendReply: the receiver's newest index that may match, at most Index
	Forced         bool          // in a Vote: the leader gave up its lease for a transfer, so voters need not honor it
	Sent           time.Duration // the leader's clock when it sent the request, echoed in replies of its term; the lease counts from it
	// Snapshot carries, in an InstallSnapshot, the bytes of the state from Offset on; Size is the
	// size of the whole state. In an InstallSnapshotReply, Offset is the number of bytes received.
	Snapshot     *Snapshot
	Offset, Size uint64
	// Returning is set in a PreVote or Vote that asks restarted voters to ignore leases that they may
	// have promised before their restart. In a PreVoteReply it says that the voter is bound by such a
	// promise. Life is the incarnation of the process in which the voter answered. See restart.go.
	Returning bool
	Life      uint64
	// Asked is the member's clock in an AppendReply; the leader echoes it in a later Append, together
	// with Life, the incarnation that the clock belongs to. Newest is the leader's commit index at
	// that moment. See freshness.go.
	Asked  time.Duration
	Newest uint64
}

// Ready is the work that a Replica wants done. The caller sends Immediate at once, makes HardState,
// Snapshot and Entries durable together, calls Persisted, then sends Messages and applies Committed
// to the state machine in order.
type Ready struct {
	HardState *HardState // nil: unchanged
	Snapshot  *Snapshot  // if not nil, replaces the log and the state of the state machine
	Entries   []Entry    // replace everything in the log at and after the index of the first one
	Committed []Entry    // to be applied, NoOp and MembershipChange entries included
	Immediate []Message  // promise nothing that is not durable yet
	Messages  []Message  // to be sent after the writes
}

// Empty reports whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Committed) == 0 &&
		len(r.Immediate) == 0 && len(r.Messages) == 0
}

// Timing holds the durations that a group uses, measured on monotonic clocks of bounded drift.
type Timing struct {
	HeartbeatInterval time.Duration // between two heartbeats of a leader to each member
	ElectionTimeout   time.Duration // a voter that hears no leader for this long may campaign, and votes for nobody else before
	ElectionJitter    time.Duration // upper bound of the random delay added to ElectionTimeout
	LeaseDuration     time.Duration // below ElectionTimeout: no other leader exists if a majority answered what was sent less than this ago
	LostAfter         time.Duration // a member not heard from for this long counts as lost
	// LazyCommit sends members a new commit index only with the next message that they get anyway.
	LazyCommit bool
}

// PersistentState is what a node has stored of a group.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot // Index 0: only the initial members and state
	Entries   []Entry  // after the snapshot
}

// Status is a copy of a Replica's state for its caller.
type Status struct {
	Group                  GroupID
	Self, Leader           NodeID // Leader 0: unknown
	Term                   uint64
	CommitIndex, LastIndex uint64
	Members                Members
	LeaderReady            bool                     // this node is the leader and has committed an entry of its term
	ChangePending          bool                     // a membership change is not committed yet
	MembersIndex           uint64                   // index of the entry that Members come from, 0: the initial members
	LastHeard              map[NodeID]time.Duration // on the leader: when each other member was last heard from
	MatchIndex             map[NodeID]uint64        // on the leader: the last entry known to be durable on each other member
	LogConflict            bool                     // a leader sent entries that contradict committed ones: a member or a disk is faulty
}
