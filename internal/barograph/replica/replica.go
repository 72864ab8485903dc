package replica

import (
	"math/rand/v2"
	"time"
)

// Bounds of what an owner sends and holds.
const (
	maxBatchEntries = 256       // entries in one append
	maxBatchBytes   = 256 << 10 // bytes in one append, unless a single entry is larger
	maxFlight       = 4         // unanswered appends to one member
	maxUncommitted  = 64 << 20  // bytes that may wait for their commit
	maxApply        = 4096      // committed entries in one Ready
	tailEntries     = 512       // entries kept in memory before the newest snapshot
	tailBytes       = 4 << 20   // and their bytes
	learnerPatience = 3         // a learner waits this many times Election longer than a voter
	farAway         = time.Hour // Next of a replica that waits for messages only
)

type role uint8

const (
	follower  role = iota // follows an owner, or waits for one
	canvasser             // asks whether a ballot would be won
	candidate             // holds a ballot
	owner                 // orders the group's entries
)

// flaws are defects that tests of the tests turn on.
type flaws struct {
	answerEarly   bool // replies go out before the writes
	cachedLease   bool // Leased tells what held at the newest Tick
	countOldTerms bool // entries of older terms are committed by counting
	noRefusal     bool // votes are given while an owner's lease may run
	returnByMost  bool // a majority suffices for a node that has started anew
	vouchUnleased bool // an owner proves members recent without its lease
	anyLife       bool // what another life of the node asked proves this one recent
}

// Replica is one member's part of one group. It isn't safe for use by several goroutines.
type Replica struct {
	group  GroupID
	self   NodeID
	timing Timing
	random *rand.Rand
	source func() Snapshot
	flaws  flaws
	tail   uint64        // entries kept in memory before the newest snapshot
	batch  int           // entries in one append
	part   uint64        // bytes of a state in one message
	now    time.Duration // the newest time that was told

	log         *entryLog
	hard        HardState
	commit      uint64
	handed      uint64 // entries up to here were handed out to be written
	stable      uint64 // entries up to here are durable
	applied     uint64 // committed entries up to here were handed out
	hardChanged bool
	hardOut     bool      // a hard state was handed out and isn't durable yet
	snapshotOut bool      // so was a snapshot
	incoming    *Snapshot // a snapshot to be handed out
	assembly    *assembly // a snapshot that is on its way in; nil: none
	early       []Message
	messages    []Message

	role         role
	owner        NodeID            // 0: not known
	heard        time.Duration     // when an owner was last heard from; never: this node has promised none anything
	campaignAt   time.Duration     // when to campaign if no owner is heard from
	life         uint64            // drawn at the start: names this life of the process
	restarted    bool              // nothing but what was promised before the start binds this node
	started      time.Duration     // when this life began
	grants       map[NodeID]bool   // who would vote, or has voted, for this node
	excuses      map[NodeID]bool   // of those, who may have promised a lease before it started anew
	lives        map[NodeID]uint64 // in which they answered
	unanimous    bool              // all of them have: who starts anew may vote
	contradicted bool
	fresh        freshness

	// Of an owner:
	progress    map[NodeID]*progress
	heartbeatAt time.Duration
	opening     uint64 // the index of its term's first entry
	uncommitted int    // bytes
	handover    handover
	leased      bool // at the newest Tick, for flaws only
}

// handover is an owner's intent to give up the ownership. The zero value is none.
type handover struct {
	to    NodeID
	until time.Duration // given up then
	sent  bool          // the receiver may campaign at any time: no lease holds any more in this term
}

// New returns the replica of a node that has kept stored; now is on the node's own steady
// clock. Its lot, and so when it campaigns, is from random. A node that kept anything
// counts as having just heard from an owner, since it may have promised a lease.
func New(
	group GroupID, self NodeID, timing Timing, stored Stored, random *rand.Rand, now time.Duration,
) *Replica {
	r := &Replica{
		group: group, self: self, timing: timing, random: random, now: now, tail: tailEntries, batch: maxBatchEntries, part: partBytes,
		source: func() Snapshot { return stored.Snapshot },
		log:    newLog(stored),
		hard:   stored.Hard,
		commit: stored.Snapshot.Index, applied: stored.Snapshot.Index,
		heard: now, life: max(random.Uint64(), 1), restarted: true, started: now,
		fresh: freshness{current: never},
	}
	r.handed, r.stable = r.log.last(), r.log.last()
	if r.untouched() {
		r.heard = never
	}
	r.postpone()
	return r
}

// untouched tells whether the node has never taken part in a term, and so promised nothing.
func (r *Replica) untouched() bool { return r.hard == HardState{} && r.log.last() == 0 }

// SetSnapshotSource tells where the newest durable snapshot is got when a member needs one.
// It must be at least as new as the one last given to Compact.
func (r *Replica) SetSnapshotSource(source func() Snapshot) { r.source = source }

// Campaign opens a ballot at once, for the first start of a group. A replica that heard from
// an owner of late, or is no voter, does nothing.
func (r *Replica) Campaign(now time.Duration) {
	r.advance(now)
	if r.role == owner || r.role == candidate || r.bound() || !r.eligible() {
		return
	}
	r.canvass()
}

// Tick tells the time. It is due at the latest when Next says.
func (r *Replica) Tick(now time.Duration) {
	r.advance(now)
	if r.role == owner {
		r.tickOwner()
		return
	}
	if now >= r.campaignAt && r.eligible() {
		r.canvass()
	}
}

// Next is when Tick is due at the latest, if no message comes in before.
func (r *Replica) Next() time.Duration {
	switch {
	case r.role == owner:
		return r.nextOfOwner()
	case r.eligible():
		return r.campaignAt
	}
	return r.now + farAway
}

// Step takes in a message from another member.
func (r *Replica) Step(now time.Duration, m Message) {
	r.advance(now)
	if m.Group != r.group || m.To != r.self || m.From == r.self {
		return
	}
	if m.Term < r.hard.Term {
		r.refuseOld(m)
		return
	}
	if m.Term > r.hard.Term && !r.acceptTerm(m) {
		return
	}
	r.dispatch(m)
}

func (r *Replica) dispatch(m Message) {
	switch m.Kind {
	case Canvass:
		r.onCanvass(m)
	case CanvassReply:
		r.onCanvassReply(m)
	case Vote:
		r.onVote(m)
	case VoteReply:
		r.onVoteReply(m)
	case Append:
		r.onAppend(m)
	case AppendReply:
		r.onAppendReply(m)
	case Install:
		r.onInstall(m)
	case InstallReply:
		r.onInstallReply(m)
	case Handover:
		r.onHandover(m)
	}
}

// refuseOld lets a sender of an older term know the newer one, so that it steps down. It gives
// no sending time back: the sender may own the newer term by now, and may have started with
// another clock since, so that the answer would stand for a lease that was never promised.
func (r *Replica) refuseOld(m Message) {
	refusal := Message{To: m.From, Term: r.hard.Term, Reject: true, Sent: never}
	switch m.Kind {
	case Append, Install:
		refusal.Kind = AppendReply
	case Canvass:
		refusal.Kind = CanvassReply
	case Vote:
		refusal.Kind = VoteReply
	default:
		return
	}
	r.send(refusal)
}

// acceptTerm takes in the newer term of a message, and tells whether the message counts.
func (r *Replica) acceptTerm(m Message) bool {
	switch m.Kind {
	case Canvass:
		return true // opens no term
	case CanvassReply:
		if !m.Reject {
			return true // of the term that this node would open
		}
	case Vote:
		if r.refuses(m) {
			return false
		}
	case Handover:
		return false // from an owner whose entries this node doesn't have
	case AppendReply, InstallReply:
		if r.role == owner && r.progress[m.From] == nil {
			return false // of a node that was removed
		}
	}
	r.follow(m.Term, 0)
	return true
}

// follow becomes a follower in a term, of an owner if one is known.
func (r *Replica) follow(term uint64, from NodeID) {
	if term > r.hard.Term {
		r.hard = HardState{Term: term}
		r.hardChanged = true
	}
	if r.role != follower {
		r.role = follower
		r.postpone()
	}
	r.owner = from
	r.grants, r.progress = nil, nil
	r.handover = handover{}
}

// advance takes in the time, which never goes back.
func (r *Replica) advance(now time.Duration) { r.now = max(r.now, now) }

// postpone draws anew when to campaign. A learner leaves the voters time to do so.
func (r *Replica) postpone() {
	r.campaignAt = r.now + r.timing.Election
	if r.members().IsLearner(r.self) && !r.leaving() {
		r.campaignAt += learnerPatience * r.timing.Election
	}
	if r.timing.Spread > 0 {
		r.campaignAt += time.Duration(r.random.Int64N(int64(r.timing.Spread)))
	}
	if r.mayReturn() && r.members().IsVoter(r.self) {
		r.campaignAt = min(r.campaignAt, r.returnAt())
	}
}

// bound tells whether an owner was heard from less than Election ago, whose lease may run.
func (r *Replica) bound() bool { return r.now-r.heard < r.timing.Election }

func (r *Replica) members() Members { return r.log.newest().Members }

// send queues a message that goes out after the writes.
func (r *Replica) send(m Message) {
	m.Group, m.From = r.group, r.self
	if r.flaws.answerEarly {
		r.early = append(r.early, m)
		return
	}
	r.messages = append(r.messages, m)
}

// reply queues the answer to a message, in the term of this node.
func (r *Replica) reply(to, m Message) { r.send(r.addressed(to, m)) }

// addressed makes m the answer to a message, in the term of this node where it names none.
func (r *Replica) addressed(to, m Message) Message {
	m.To, m.Sent = to.From, to.Sent
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	return m
}
