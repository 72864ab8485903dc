// Package replica keeps one group's state alike on its members: ballots give the
// group one owner at a time, the owner orders commands in a log, and a member that
// is behind takes a snapshot and then follows changes.
//
// A Replica is pure: messages and time go in, writes and messages come out. It does
// no I/O, reads no clock and starts no goroutine. The caller carries out each Ready
// in the order that its fields state.
package replica

import (
	"time"
)

// NodeID names one incarnation of a node: a disk that was lost takes its id along,
// so a node that has forgotten its votes comes back as another.
type NodeID uint64

// GroupID names a group.
type GroupID string

// EntryKind says what an Entry holds.
type EntryKind uint8

// The kinds of Entry.
const (
	Command EntryKind = iota // for the state machine
	Opening                  // the first of an owner's term, empty
	Change                   // new Members
)

// Entry is one step of a group's log.
type Entry struct {
	Index, Term uint64
	Kind        EntryKind
	Data        []byte
}

// Members are the nodes of a group. Voters elect the owner and make entries durable;
// learners follow the log only.
type Members struct {
	Voters   []NodeID
	Learners []NodeID
}

// HardState is what a node must not forget: the newest term that it knows, and whom it
// gave its vote in it (0: nobody).
type HardState struct {
	Term uint64
	Vote NodeID
}

// Snapshot is a group's state after the entry at Index, with the members then in force.
type Snapshot struct {
	Index, Term uint64
	Members     Members
	State       []byte
}

// MessageKind says what a Message is about.
type MessageKind uint8

// The kinds of Message.
const (
	Canvass      MessageKind = iota // would you vote for me? (no term is opened)
	CanvassReply                    //
	Vote                            // vote for me
	VoteReply                       //
	Append                          // entries, or a heartbeat without any
	AppendReply                     //
	Install                         // a part of a snapshot
	Handover                        // the owner asks the receiver to campaign at once
	InstallReply                    // how much of the snapshot has come
)

// Message goes from one member of a group to another.
type Message struct {
	Group    GroupID
	Kind     MessageKind
	From, To NodeID
	Term     uint64
	// Index and LogTerm are of the entry before Entries (Append), of the last entry of a
	// candidate (Canvass, Vote), or the newest that is matched (AppendReply; of a rejecting
	// one Index is what was rejected and LogTerm is the term at Hint).
	Index, LogTerm uint64
	Commit         uint64
	Entries        []Entry
	Reject         bool
	Hint           uint64        // of a rejecting AppendReply: the receiver's newest index that may match, at most Index
	Forced         bool          // of a Vote: the owner gave its lease up, so voters needn't keep it
	Sent           time.Duration // on the owner's clock, given back in replies of its term: the lease counts from it
	// Snapshot holds, in an Install, the bytes of the state from Offset on; Size is the state's
	// whole. Of an InstallReply Offset is how many bytes have come.
	Snapshot     *Snapshot
	Offset, Size uint64
	// Returning asks voters that have started anew not to wait for what they may have promised
	// before, and tells in their answer that they would have to; Life names the life of a
	// process that a voter answered in.
	Returning bool
	Life      uint64
	// Asked is the sender's time in an AppendReply, given back in an Append along with the life
	// that it belongs to; Newest is the owner's commit index then. See freshness.go.
	Asked  time.Duration
	Newest uint64
}

// Ready is what a Replica wants done. The caller sends Early at once, makes Hard,
// Snapshot and Entries durable together, calls Persisted, then sends Messages and
// hands Committed to the state machine in order.
type Ready struct {
	Hard      *HardState // nil: as before
	Snapshot  *Snapshot  // not nil: takes the place of the log and of the state machine's state
	Entries   []Entry    // take the place of whatever stands at and after the first one's index
	Committed []Entry    // to be applied; Opening and Change entries among them
	Early     []Message  // promise nothing that is not durable yet
	Messages  []Message  // to be sent after the writes
}

// Empty tells whether there is nothing to do.
func (r *Ready) Empty() bool {
	return r.Hard == nil && r.Snapshot == nil && len(r.Entries) == 0 && len(r.Committed) == 0 &&
		len(r.Early) == 0 && len(r.Messages) == 0
}

// Timing are the durations that a group keeps, on steady clocks of bounded drift.
type Timing struct {
	Heartbeat time.Duration // between two messages of an owner to each member
	Election  time.Duration // a voter that hears nothing for this long may campaign, and votes for no other before
	Spread    time.Duration // added to Election by lot
	Lease     time.Duration // below Election: an owner whose majority answered what was sent this long ago is alone
	Silent    time.Duration // a member not heard from for this long counts as lost
	// Lazy lets members learn what is committed with the next message that they get anyhow.
	Lazy bool
}

// Stored is what a node kept of a group.
type Stored struct {
	Hard     HardState
	Snapshot Snapshot // Index 0: none but the first members and state
	Entries  []Entry  // after the snapshot
}

// Status is a view of a Replica.
type Status struct {
	Group        GroupID
	Self, Owner  NodeID // Owner 0: not known
	Term         uint64
	Commit, Last uint64
	Members      Members
	Settled      bool                     // this node is the owner and an entry of its term is committed
	Pending      bool                     // a change of members is not committed yet
	Changed      uint64                   // index of the entry that Members come from, 0: the first ones
	Heard        map[NodeID]time.Duration // at the owner: when each other member was last heard from
	Matched      map[NodeID]uint64        // at the owner: what each other member holds
	Contradicted bool                     // an owner sent what differs from committed entries: a member or a disk is broken
}
