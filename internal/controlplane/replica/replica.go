package replica

import (
	"math/rand/v2"
	"time"
)

// Bounds on what a leader sends and on what a replica holds in memory.
const (
	maxBatchEntries      = 256       // entries in one append
	maxBatchBytes        = 256 << 10 // bytes in one append, unless a single entry is larger
	maxInFlightAppends   = 4         // unanswered appends to one member
	maxUncommittedBytes  = 64 << 20  // bytes that may wait to be committed
	maxApplyEntries      = 4096      // committed entries in one Ready
	maxTailEntries       = 512       // entries kept in memory before the newest snapshot
	maxTailBytes         = 4 << 20   // bytes of those entries
	learnerTimeoutFactor = 3         // a learner waits this many ElectionTimeouts longer than a voter
	idleTickDelay        = time.Hour // NextTick of a replica that only waits for messages
)

type role uint8

const (
	follower     role = iota // follows a leader or waits for one
	preCandidate             // asks whether it would win an election
	candidate                // requests votes
	leader                   // orders the group's entries
)

// injectedDefects are bugs that tests inject to verify that the tests detect them.
type injectedDefects struct {
	replyBeforeWrite  bool // replies are sent before the writes are durable
	cachedLease       bool // HasLease returns what held at the newest Tick
	countOldTerms     bool // entries of older terms are committed by counting replicas
	ignoreLease       bool // votes are granted while a leader's lease may be active
	restartByMajority bool // a majority of restarted voters suffices to ignore old leases
	proveWithoutLease bool // a leader proves members recent without holding its lease
	anyIncarnation    bool // a clock reading of another incarnation of the node proves this one recent
}

// Replica is one member of one group. It isn't safe for concurrent use.
type Replica struct {
	group          GroupID
	self           NodeID
	timing         Timing
	random         *rand.Rand
	snapshotSource func() Snapshot
	defects        injectedDefects
	tailEntries    uint64        // entries kept in memory before the newest snapshot
	batchEntries   int           // entries in one append
	chunkBytes     uint64        // bytes of a state in one message
	now            time.Duration // the newest time passed in

	log              *entryLog
	hardState        HardState
	commitIndex      uint64
	issuedIndex      uint64 // entries up to here were returned by Ready to be written
	durableIndex     uint64 // entries up to here are durable
	appliedIndex     uint64 // committed entries up to here were returned by Ready
	hardStateChanged bool
	hardStateWriting bool              // a hard state was returned by Ready and isn't durable yet
	snapshotWriting  bool              // a snapshot was returned by Ready and isn't durable yet
	incomingSnapshot *Snapshot         // a complete snapshot that the next Ready returns
	snapshotAssembly *snapshotAssembly // a snapshot that is being received; nil: none
	immediate        []Message
	messages         []Message

	role              role
	leaderID          NodeID            // 0: unknown
	lastLeaderContact time.Duration     // when a leader was last heard from; never: this node has promised nothing to any leader
	electionDeadline  time.Duration     // when to campaign if no leader is heard from
	incarnation       uint64            // random number that identifies this run of the process
	restarted         bool              // only promises from before the restart can bind this node
	startedAt         time.Duration     // when this incarnation began
	grantedBy         map[NodeID]bool   // who would vote, or has voted, for this node
	boundVoters       map[NodeID]bool   // those of them that may have promised a lease before a restart
	incarnations      map[NodeID]uint64 // the incarnations in which they answered
	unanimous         bool              // all voters granted the pre-vote, so restarted voters may vote
	logConflict       bool
	freshness         freshness

	// Used only by a leader:
	progress           map[NodeID]*progress
	nextHeartbeat      time.Duration
	noOpIndex          uint64 // the index of the first entry of its term
	uncommittedBytes   int
	leadershipTransfer leadershipTransfer
	leasedAtTick       bool // whether the lease was held at the newest Tick; used only by the cachedLease defect
}

// leadershipTransfer is a leader's attempt to hand over the leadership. The zero value is none.
type leadershipTransfer struct {
	target    NodeID
	deadline  time.Duration // when the attempt is aborted
	requested bool          // TimeoutNow was sent: the target may campaign at any time, so this term has no lease from then on
}

// New returns the replica of a node that has stored this state; now is on the node's own monotonic
// clock. The election jitter and the incarnation are drawn from random. A node that has stored
// anything counts as having just heard from a leader, because it may have promised a lease.
func New(
	group GroupID, self NodeID, timing Timing, stored PersistentState, random *rand.Rand, now time.Duration,
) *Replica {
	r := &Replica{
		group: group, self: self, timing: timing, random: random, now: now,
		tailEntries: maxTailEntries, batchEntries: maxBatchEntries, chunkBytes: maxChunkBytes,
		snapshotSource: func() Snapshot { return stored.Snapshot },
		log:            newLog(stored),
		hardState:      stored.HardState,
		commitIndex:    stored.Snapshot.Index, appliedIndex: stored.Snapshot.Index,
		lastLeaderContact: now, incarnation: max(random.Uint64(), 1), restarted: true, startedAt: now,
		freshness: freshness{provenAt: never},
	}
	r.issuedIndex, r.durableIndex = r.log.lastIndex(), r.log.lastIndex()
	if r.hasNoHistory() {
		r.lastLeaderContact = never
	}
	r.resetElectionTimer()
	return r
}

// hasNoHistory reports whether the node has never taken part in a term, and so has promised nothing.
func (r *Replica) hasNoHistory() bool { return r.hardState == HardState{} && r.log.lastIndex() == 0 }

// SetSnapshotSource sets the function that returns the newest durable snapshot when a member needs one.
// It must be at least as new as the one last passed to Compact.
func (r *Replica) SetSnapshotSource(source func() Snapshot) { r.snapshotSource = source }

// Campaign starts a pre-vote at once, for the first start of a group. It does nothing on a leader, on a
// candidate, on a replica that heard from a leader recently, and on one that may not become leader.
func (r *Replica) Campaign(now time.Duration) {
	r.advanceClock(now)
	if r.role == leader || r.role == candidate || r.heardLeaderRecently() || !r.canCampaign() {
		return
	}
	r.startPreVote()
}

// Tick advances the time. It must be called no later than NextTick says.
func (r *Replica) Tick(now time.Duration) {
	r.advanceClock(now)
	if r.role == leader {
		r.tickLeader()
		return
	}
	if now >= r.electionDeadline && r.canCampaign() {
		r.startPreVote()
	}
}

// NextTick returns when Tick must be called at the latest if no message arrives before.
func (r *Replica) NextTick() time.Duration {
	switch {
	case r.role == leader:
		return r.nextLeaderTick()
	case r.canCampaign():
		return r.electionDeadline
	}
	return r.now + idleTickDelay
}

// Step processes a message from another member.
func (r *Replica) Step(now time.Duration, m Message) {
	r.advanceClock(now)
	if m.Group != r.group || m.To != r.self || m.From == r.self {
		return
	}
	if m.Term < r.hardState.Term {
		r.rejectStaleTerm(m)
		return
	}
	if m.Term > r.hardState.Term && !r.acceptNewerTerm(m) {
		return
	}
	r.dispatch(m)
}

func (r *Replica) dispatch(m Message) {
	switch m.Kind {
	case PreVote:
		r.handlePreVote(m)
	case PreVoteReply:
		r.handlePreVoteReply(m)
	case Vote:
		r.handleVote(m)
	case VoteReply:
		r.handleVoteReply(m)
	case Append:
		r.handleAppend(m)
	case AppendReply:
		r.handleAppendReply(m)
	case InstallSnapshot:
		r.handleInstallSnapshot(m)
	case InstallSnapshotReply:
		r.handleInstallSnapshotReply(m)
	case TimeoutNow:
		r.handleTimeoutNow(m)
	}
}

// rejectStaleTerm tells a sender of an older term about the newer one, so that it steps down. It does not
// echo the send time: the sender may lead the newer term by now, and may have restarted with another
// clock since, so the reply would count toward a lease that was never promised.
func (r *Replica) rejectStaleTerm(m Message) {
	rejection := Message{To: m.From, Term: r.hardState.Term, Reject: true, Sent: never}
	switch m.Kind {
	case Append, InstallSnapshot:
		rejection.Kind = AppendReply
	case PreVote:
		rejection.Kind = PreVoteReply
	case Vote:
		rejection.Kind = VoteReply
	default:
		return
	}
	r.send(rejection)
}

// acceptNewerTerm adopts the newer term of a message and reports whether the message is processed.
func (r *Replica) acceptNewerTerm(m Message) bool {
	switch m.Kind {
	case PreVote:
		return true // starts no term
	case PreVoteReply:
		if !m.Reject {
			return true // of the term that this node would start
		}
	case Vote:
		if r.rejectsCandidate(m) {
			return false
		}
	case TimeoutNow:
		return false // from a leader whose entries this node doesn't have
	case AppendReply, InstallSnapshotReply:
		if r.role == leader && r.progress[m.From] == nil {
			return false // from a node that was removed
		}
	}
	r.becomeFollower(m.Term, 0)
	return true
}

// becomeFollower makes this node a follower in a term. from is the leader, 0 if it is unknown.
func (r *Replica) becomeFollower(term uint64, from NodeID) {
	if term > r.hardState.Term {
		r.hardState = HardState{Term: term}
		r.hardStateChanged = true
	}
	if r.role != follower {
		r.role = follower
		r.resetElectionTimer()
	}
	r.leaderID = from
	r.grantedBy, r.progress = nil, nil
	r.leadershipTransfer = leadershipTransfer{}
}

// advanceClock takes over the caller's time. Time never goes back.
func (r *Replica) advanceClock(now time.Duration) { r.now = max(r.now, now) }

// resetElectionTimer draws a new election deadline. A learner gives the voters time to campaign first.
func (r *Replica) resetElectionTimer() {
	r.electionDeadline = r.now + r.timing.ElectionTimeout
	if r.members().IsLearner(r.self) && !r.beingRemoved() {
		r.electionDeadline += learnerTimeoutFactor * r.timing.ElectionTimeout
	}
	if r.timing.ElectionJitter > 0 {
		r.electionDeadline += time.Duration(r.random.Int64N(int64(r.timing.ElectionJitter)))
	}
	if r.inRestartWindow() && r.members().IsVoter(r.self) {
		r.electionDeadline = min(r.electionDeadline, r.nextRestartPreVote())
	}
}

// heardLeaderRecently reports whether a leader, whose lease may be active, was heard from less than
// ElectionTimeout ago.
func (r *Replica) heardLeaderRecently() bool {
	return r.now-r.lastLeaderContact < r.timing.ElectionTimeout
}

func (r *Replica) members() Members { return r.log.currentMembers().Members }

// send queues a message that is sent after the writes.
func (r *Replica) send(m Message) {
	m.Group, m.From = r.group, r.self
	if r.defects.replyBeforeWrite {
		r.immediate = append(r.immediate, m)
		return
	}
	r.messages = append(r.messages, m)
}

// reply queues the reply to a message, in this node's term unless m names another.
func (r *Replica) reply(to, m Message) { r.send(r.asReplyTo(to, m)) }

// asReplyTo addresses m as the reply to a message and sets this node's term if m has none.
func (r *Replica) asReplyTo(to, m Message) Message {
	m.To, m.Sent = to.From, to.Sent
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	return m
}
