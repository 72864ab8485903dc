// Package member decides who of a fleet is there, after the SWIM and Lifeguard papers: each
// node probes one other a period, asks others to probe for it before it suspects one, and
// waits longer the less it trusts itself. It is pure: messages, time and randomness are handed
// in, what is to be sent comes back. It must not know addresses, datagrams or records.
//
// Nobody is ever declared dead for others: a node says whom it suspects, at which incarnation,
// and takes that back by itself; a suspected one raises its incarnation and so answers all of
// them at once. So both sides of a cut go on, and are one fleet again once they hear each other.
package member

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ID names a node.
type ID string

// State is what a node takes another for.
type State uint8

// The states of a member.
const (
	Alive     State = iota
	Suspected       // does not answer, or others say so; it may yet answer that
	Dead            // did not answer that in time; it is still probed and may return
)

// Kind is what a message asks or answers.
type Kind uint8

// The kinds of message. Each carries the number of the probe that it belongs to.
const (
	Ping Kind = iota // answered by an Ack
	Ack
	PingRequest // to ping the one it is about, and pass on its Ack, or else a Nack
	Nack        // the one it was asked about has not answered, but who was asked is there
)

// Message goes from one node to another.
type Message struct {
	Kind   Kind
	Probe  uint32
	Target ID // of an Ask
}

// Send is a message to a node.
type Send struct {
	To ID
	Message
}

// Options are times and counts; those left at 0 are set by New.
type Options struct {
	ProbePeriod         time.Duration // between probes: 1 s
	ProbeTimeout        time.Duration // until others are asked, 200 ms: a way takes 12 ms at most
	IndirectProbes      int           // who are asked: 3
	MinSuspicionTimeout time.Duration // how long a suspected one may answer, where many suspect it: 3 s,
	MaxSuspicionTimeout time.Duration // and where one alone does: 8 s
}

const (
	maxHealthScore  = 8 // a node that trusts itself least waits nine times as long
	suspicionQuorum = 4 // so many who suspect one are many
	// Before one is taken for gone on the word of others alone it is probed so often, the last
	// time two time-outs before.
	verificationProbes = 2
)

// List is what one node knows of the others. It is not safe for concurrent use.
type List struct {
	self          ID
	incarnation   uint32
	everSuspected bool // others have said that they suspect it
	options       Options
	rng           *rand.Rand
	peers         map[ID]*peer
	order         []ID // their names, sorted: what is done to all is done in this order
	probeQueue    []ID // who is probed next, from the end
	deadQueue     []ID // the same of those who are gone
	healthScore   int
	lastProbe     uint32
	pending       *probe                  // the one under way
	relayed       map[uint32]relayedProbe // probes made for others, by this node's number
	verifications map[uint32]*peer        // those of the suspected, the latest of each
	nextProbe     time.Duration
}

type peer struct {
	id               ID
	incarnation      uint32
	state            State
	since            time.Duration
	probeFailed      bool          // this node has probed it in vain
	announced        bool          // and says so: too few others did
	suspectedBy      map[ID]uint32 // who else suspects it, at which incarnation
	lastHeard        time.Duration // when it last answered this node, or said anything to it
	lastVerification uint32        // the latest probe of it while suspected
	verifiedAt       time.Duration
	returnCount      int
}

type probe struct {
	number              uint32
	to                  ID
	requested, nacked   int
	requestAt, deadline time.Duration // when others are asked, and when it has failed
	resendAt            time.Duration // when the ping is sent again: one alone may be lost
}

type relayedProbe struct {
	to       ID
	number   uint32
	target   ID
	deadline time.Duration
}

// New returns the list of a node that knows only the names of the others.
func New(self ID, others []ID, o Options, rng *rand.Rand) *List {
	o.ProbePeriod = cmp.Or(o.ProbePeriod, time.Second)
	o.ProbeTimeout = cmp.Or(o.ProbeTimeout, 200*time.Millisecond)
	o.IndirectProbes = cmp.Or(o.IndirectProbes, 3)
	o.MinSuspicionTimeout = cmp.Or(o.MinSuspicionTimeout, 3*time.Second)
	o.MaxSuspicionTimeout = cmp.Or(o.MaxSuspicionTimeout, 8*time.Second)
	l := &List{self: self, incarnation: 1, options: o, rng: rng, peers: map[ID]*peer{}, relayed: map[uint32]relayedProbe{}, verifications: map[uint32]*peer{}}
	for _, id := range others {
		if id != self {
			l.peers[id] = &peer{id: id, suspectedBy: map[ID]uint32{}}
		}
	}
	l.order = slices.Sorted(maps.Keys(l.peers))
	l.nextProbe = time.Duration(rng.Int64N(int64(o.ProbePeriod))) // all start in one second: probes are spread
	return l
}

// Incarnation is what this node answers suspicions with.
func (l *List) Incarnation() uint32 { return l.incarnation }

// Raise takes on an incarnation that this node was found to have had, if it is higher.
func (l *List) RaiseIncarnation(incarnation uint32) { l.incarnation = max(l.incarnation, incarnation) }

// Accused tells that others have said that they suspect this node, at whatever incarnation.
func (l *List) EverSuspected() bool { return l.everSuspected }

// Health is how far this node distrusts itself, from 0.
func (l *List) HealthScore() int { return l.healthScore }

// Suspects is what this node says to all: whom it has probed in vain, at which incarnation.
// Where many say so already it keeps still, or the loss of one node would be told by all.
func (l *List) Suspects() map[ID]uint32 {
	out := map[ID]uint32{}
	for id, p := range l.peers {
		if p.probeFailed && p.announced {
			out[id] = p.incarnation
		}
	}
	return out
}

// Member is one of the others, as this node sees it.
type Member struct {
	ID          ID
	State       State
	Incarnation uint32
	Since       time.Duration // of its state
	ReturnCount int           // how often it was gone and came back
}

// Members returns the others in the order of their names.
func (l *List) Members() []Member {
	out := make([]Member, 0, len(l.peers))
	for _, id := range l.order {
		p := l.peers[id]
		out = append(out, Member{id, p.state, p.incarnation, p.since, p.returnCount})
	}
	return out
}

// Alive is told an incarnation that a node said of itself. A higher one answers all who
// suspected it before.
func (l *List) UpdateIncarnation(now time.Duration, id ID, incarnation uint32) {
	p := l.peers[id]
	if p == nil || incarnation <= p.incarnation {
		return
	}
	p.incarnation, p.probeFailed = incarnation, false
	l.updateState(now, p)
}

// Told is told whom another node suspects, in place of what it said before.
func (l *List) UpdateSuspicions(now time.Duration, by ID, suspects map[ID]uint32) {
	if l.peers[by] == nil {
		return // nobody we know
	}
	if at, ok := suspects[l.self]; ok {
		l.everSuspected = true
		if at >= l.incarnation && at < math.MaxUint32 {
			l.incarnation = at + 1
			l.adjustHealthScore(1) // others hear us late: it may be us
		}
	}
	for id, p := range l.peers {
		at, ok := suspects[id]
		if _, was := p.suspectedBy[by]; !ok && !was {
			continue
		}
		delete(p.suspectedBy, by)
		if ok {
			p.suspectedBy[by] = at
		}
		l.updateState(now, p)
	}
}

// trust moves how far this node distrusts itself.
func (l *List) adjustHealthScore(by int) {
	l.healthScore = min(max(l.healthScore+by, 0), maxHealthScore)
}

// judge sets the state of one from who suspects it.
func (l *List) updateState(now time.Duration, p *peer) {
	count := l.suspectCount(p)
	p.announced = p.probeFailed && (p.announced || count <= suspicionQuorum)
	was := p.state
	switch {
	case count == 0:
		p.state = Alive
	case p.state == Alive:
		p.state = Suspected
	case p.state == Suspected && now-p.silentSince() >= l.suspicionTimeout(count):
		p.state = Dead
	}
	if p.state != was {
		p.since = now
		if was == Dead {
			p.returnCount++
		}
	}
}

// count is how many suspect one, this node among them.
func (l *List) suspectCount(p *peer) (count int) {
	if p.probeFailed {
		count = 1
	}
	for by, at := range p.suspectedBy {
		if at >= p.incarnation && l.peers[by].state != Dead { // who is gone bears no witness
			count++
		}
	}
	return count
}

// silent is since when a suspected one has said nothing to this node: what it has heard
// itself goes before what it is told.
func (p *peer) silentSince() time.Duration { return max(p.since, p.lastHeard) }

// Seen is told that something came from a node itself.
func (l *List) RecordContact(now time.Duration, from ID) {
	if p := l.peers[from]; p != nil {
		p.lastHeard = now
	}
}

// checkUp probes one that others suspect before it is taken for gone on their word, also by
// way of another: what it would answer them may be late.
func (l *List) verifySuspect(now time.Duration, p *peer) []Send {
	every := 2 * l.options.ProbeTimeout
	if p.state != Suspected || p.probeFailed || now < p.verifiedAt+every || now < p.silentSince()+l.suspicionTimeout(l.suspectCount(p))-(verificationProbes+1)*every {
		return nil
	}
	delete(l.verifications, p.lastVerification)
	l.lastProbe++
	p.lastVerification, p.verifiedAt = l.lastProbe, now
	l.verifications[l.lastProbe] = p
	out := []Send{{p.id, Message{Kind: Ping, Probe: l.lastProbe}}}
	if by := l.pickHelpers(p.id); len(by) > 0 {
		out = append(out, Send{by[0], Message{Kind: PingRequest, Probe: l.lastProbe, Target: p.id}})
	}
	return out
}

// patience is how long a suspected one may answer: the more suspect it the shorter.
func (l *List) suspicionTimeout(count int) time.Duration {
	if len(l.peers) <= suspicionQuorum { // few there are: two are many
		count++
	}
	part := math.Log(float64(min(count, suspicionQuorum))) / math.Log(suspicionQuorum)
	span := l.options.MaxSuspicionTimeout - time.Duration(part*float64(l.options.MaxSuspicionTimeout-l.options.MinSuspicionTimeout))
	return span * time.Duration(1+l.healthScore/2)
}

// wait is a time, longer the less this node trusts itself.
func (l *List) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+l.healthScore)
}

// Heard takes a message and returns what it calls for. Whoever is heard is there.
func (l *List) HandleMessage(now time.Duration, from ID, m Message) []Send {
	l.RecordContact(now, from)
	if p := l.peers[from]; p != nil && p.probeFailed {
		p.probeFailed = false
		l.updateState(now, p)
	}
	switch m.Kind {
	case Ping:
		return []Send{{from, Message{Kind: Ack, Probe: m.Probe}}}
	case PingRequest:
		if l.peers[m.Target] == nil || len(l.relayed) >= 4*len(l.peers)+64 {
			return nil
		}
		l.lastProbe++
		l.relayed[l.lastProbe] = relayedProbe{from, m.Probe, m.Target, now + l.options.ProbeTimeout}
		return []Send{{m.Target, Message{Kind: Ping, Probe: l.lastProbe}}}
	case Ack:
		if h, ok := l.relayed[m.Probe]; ok && h.target == from {
			delete(l.relayed, m.Probe)
			return []Send{{h.to, Message{Kind: Ack, Probe: h.number}}}
		}
		if p := l.verifications[m.Probe]; p != nil {
			p.lastHeard = now
		}
		if o := l.pending; o != nil && o.number == m.Probe { // by itself, or by way of another
			if p := l.peers[o.to]; p.probeFailed {
				p.probeFailed = false
				l.updateState(now, p)
			}
			l.pending = nil
			l.adjustHealthScore(-1)
		}
	case Nack:
		if l.pending != nil && l.pending.number == m.Probe {
			l.pending.nacked++
		}
	}
	return nil
}

// Tick does what is due and returns what is to be sent. It is called several times a period.
func (l *List) Tick(now time.Duration) (out []Send) {
	for _, n := range slices.Sorted(maps.Keys(l.relayed)) {
		if h := l.relayed[n]; now >= h.deadline {
			delete(l.relayed, n)
			out = append(out, Send{h.to, Message{Kind: Nack, Probe: h.number}})
		}
	}
	if o := l.pending; o != nil && now >= o.deadline {
		l.pending = nil
		l.peers[o.to].probeFailed = true
		// Who was asked and says nothing at all makes us doubt our own ways to the others.
		l.adjustHealthScore(min(o.requested-o.nacked, 1))
	} else if o != nil {
		if now >= o.resendAt {
			o.resendAt = now + l.options.ProbeTimeout
			out = append(out, Send{o.to, Message{Kind: Ping, Probe: o.number}})
		}
		if now >= o.requestAt && o.requested == 0 {
			for _, id := range l.pickHelpers(o.to) {
				out = append(out, Send{id, Message{Kind: PingRequest, Probe: o.number, Target: o.to}})
				o.requested++
			}
		}
	}
	for _, id := range l.order {
		p := l.peers[id]
		out = append(out, l.verifySuspect(now, p)...)
		l.updateState(now, p)
	}
	if now >= l.nextProbe && l.pending == nil && len(l.peers) > 0 {
		l.nextProbe = max(l.nextProbe, now-l.options.ProbePeriod) + l.scaleByHealth(l.options.ProbePeriod)
		out = append(out, l.probe(now)...)
	}
	return out
}

// probe pings the next of the round, and one who is gone, who may be back.
func (l *List) probe(now time.Duration) (out []Send) {
	if to := l.nextInRound(&l.deadQueue, func(p *peer) bool { return p.state == Dead }); to != "" {
		l.lastProbe++
		out = append(out, Send{to, Message{Kind: Ping, Probe: l.lastProbe}})
	}
	to := l.nextInRound(&l.probeQueue, func(p *peer) bool { return p.state != Dead })
	if to == "" {
		return out
	}
	l.lastProbe++
	l.pending = &probe{number: l.lastProbe, to: to, resendAt: now + l.options.ProbeTimeout/2, requestAt: now + l.scaleByHealth(l.options.ProbeTimeout), deadline: now + l.scaleByHealth(l.options.ProbeTimeout)*4}
	return append(out, Send{to, Message{Kind: Ping, Probe: l.lastProbe}})
}

// next takes one from the end of a round that all who fit are in once, in random order.
func (l *List) nextInRound(round *[]ID, eligible func(*peer) bool) ID {
	for attempt := range 2 {
		for len(*round) > 0 {
			id := (*round)[len(*round)-1]
			*round = (*round)[:len(*round)-1]
			if eligible(l.peers[id]) {
				return id
			}
		}
		if attempt == 0 {
			*round = slices.Clone(l.order)
			l.rng.Shuffle(len(*round), func(i, j int) { (*round)[i], (*round)[j] = (*round)[j], (*round)[i] })
		}
	}
	return ""
}

// helpers draws who is asked to probe one.
func (l *List) pickHelpers(target ID) []ID {
	all := slices.DeleteFunc(slices.Clone(l.order), func(id ID) bool {
		return id == target || l.peers[id].state != Alive
	})
	l.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(l.options.IndirectProbes, len(all))]
}
