// Package membership implements failure detection for a fleet of nodes, after the SWIM and
// Lifeguard papers. In each period a node probes one other node. Before it suspects a node it
// asks others to probe that node too, and the worse its own health score is, the longer it
// waits. The package is pure: messages, time and randomness are passed in, and messages to
// send are returned. It must not know addresses, datagrams or records.
//
// No node declares another dead on behalf of the fleet. Each node publishes whom it suspects,
// at which incarnation, and withdraws that itself. A suspected node raises its incarnation,
// which refutes all suspicions at once. Both sides of a network partition therefore keep
// running, and become one fleet again once messages pass between them.
package membership

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// ID identifies a node.
type ID string

// State is a node's view of another node.
type State uint8

// The states of a member.
const (
	Alive     State = iota
	Suspected       // does not answer, or others report so; it can still refute that
	Dead            // did not refute the suspicion in time; it is still probed and may return
)

// Kind is the type of a message.
type Kind uint8

// The kinds of message. Each message carries the number of the probe that it belongs to.
const (
	Ping Kind = iota // answered by an Ack
	Ack
	PingRequest // asks the receiver to ping Target and to relay its Ack, or else to send a Nack
	Nack        // Target has not answered, but the relaying node is alive
)

// Message is a probe message from one node to another.
type Message struct {
	Kind   Kind
	Probe  uint32
	Target ID // of a PingRequest
}

// Send is a message and the node it goes to.
type Send struct {
	To ID
	Message
}

// Options are the protocol's times and counts. New replaces zeros by the defaults.
type Options struct {
	ProbePeriod         time.Duration // time between probes; default 1 s
	ProbeTimeout        time.Duration // time until indirect probes are requested; default 200 ms: a one-way trip takes at most 12 ms
	IndirectProbes      int           // number of nodes asked for an indirect probe; default 3
	MinSuspicionTimeout time.Duration // time to refute a suspicion that many nodes share; default 3 s
	MaxSuspicionTimeout time.Duration // time to refute a suspicion of a single node; default 8 s
}

const (
	maxHealthScore  = 8 // at the worst health score a node waits nine times as long
	suspicionQuorum = 4 // with this many suspecting nodes MinSuspicionTimeout applies
	// verificationProbes is how often a node is probed before it is declared dead on the
	// reports of others alone. The last of these probes is sent two probe timeouts before.
	verificationProbes = 2
)

// List is one node's view of the others. It is not safe for concurrent use.
type List struct {
	self          ID
	incarnation   uint32
	everSuspected bool // other nodes have reported that they suspect this node
	options       Options
	rng           *rand.Rand
	peers         map[ID]*peer
	order         []ID // sorted IDs; Tick works through the peers in this order
	probeQueue    []ID // nodes to probe in this round, taken from the end
	deadQueue     []ID // the same for dead nodes
	healthScore   int
	lastProbe     uint32
	pending       *probe                  // the probe in progress
	relayed       map[uint32]relayedProbe // probes made on behalf of others, by this node's probe number
	verifications map[uint32]*peer        // probes of suspected nodes, the latest of each
	nextProbe     time.Duration           // when the next period starts
}

type peer struct {
	id               ID
	incarnation      uint32
	state            State
	since            time.Duration // when the state was entered
	probeFailed      bool          // this node's own probe failed
	announced        bool          // this node publishes its suspicion, because too few others did
	suspectedBy      map[ID]uint32 // other nodes that suspect it, and at which incarnation
	lastHeard        time.Duration // when it last answered this node or sent it anything
	lastVerification uint32        // number of the latest verification probe while suspected
	verifiedAt       time.Duration
	returnCount      int
}

type probe struct {
	number    uint32
	to        ID
	requested int           // indirect probes
	nacked    int           // helpers that answered with a Nack
	requestAt time.Duration // when indirect probes are requested
	deadline  time.Duration // when the probe has failed
	resendAt  time.Duration // when the ping is repeated, because a single datagram may be lost
}

type relayedProbe struct {
	to       ID
	number   uint32
	target   ID
	deadline time.Duration
}

// New returns the list of a node that knows only the IDs of the others.
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
	l.nextProbe = time.Duration(rng.Int64N(int64(o.ProbePeriod))) // spreads the probes of nodes that all start in the same second
	return l
}

// Incarnation returns the incarnation with which this node refutes suspicions.
func (l *List) Incarnation() uint32 { return l.incarnation }

// RaiseIncarnation adopts an incarnation that this node was found to have had, if it is higher.
func (l *List) RaiseIncarnation(incarnation uint32) { l.incarnation = max(l.incarnation, incarnation) }

// EverSuspected reports whether others have suspected this node, at any incarnation.
func (l *List) EverSuspected() bool { return l.everSuspected }

// HealthScore returns the local health score of Lifeguard: 0 is healthy, higher is worse.
func (l *List) HealthScore() int { return l.healthScore }

// Suspects returns the suspicions that this node publishes: the nodes that failed its own
// probes, with their incarnations. A suspicion that enough others have published is left out;
// otherwise every node would publish the loss of one.
func (l *List) Suspects() map[ID]uint32 {
	out := map[ID]uint32{}
	for id, p := range l.peers {
		if p.probeFailed && p.announced {
			out[id] = p.incarnation
		}
	}
	return out
}

// Member is another node, as this node sees it.
type Member struct {
	ID          ID
	State       State
	Incarnation uint32
	Since       time.Duration // when the state was entered
	ReturnCount int           // how often it came back after it was dead
}

// Members returns the other nodes, sorted by ID.
func (l *List) Members() []Member {
	out := make([]Member, 0, len(l.peers))
	for _, id := range l.order {
		p := l.peers[id]
		out = append(out, Member{id, p.state, p.incarnation, p.since, p.returnCount})
	}
	return out
}

// UpdateIncarnation records an incarnation that a node published for itself. A higher one
// refutes all earlier suspicions.
func (l *List) UpdateIncarnation(now time.Duration, id ID, incarnation uint32) {
	p := l.peers[id]
	if p == nil || incarnation <= p.incarnation {
		return
	}
	p.incarnation, p.probeFailed = incarnation, false
	l.updateState(now, p)
}

// UpdateSuspicions replaces the suspicions that another node published before.
func (l *List) UpdateSuspicions(now time.Duration, by ID, suspects map[ID]uint32) {
	if l.peers[by] == nil {
		return // not a known node
	}
	if at, ok := suspects[l.self]; ok {
		l.everSuspected = true
		if at >= l.incarnation && at < math.MaxUint32 {
			l.incarnation = at + 1
			l.adjustHealthScore(1) // others receive this node's messages late; the cause may be this node
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

// adjustHealthScore changes the health score, within its bounds.
func (l *List) adjustHealthScore(by int) {
	l.healthScore = min(max(l.healthScore+by, 0), maxHealthScore)
}

// updateState derives the state of a peer from the nodes that suspect it.
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

// suspectCount returns how many nodes suspect a peer, this node included.
func (l *List) suspectCount(p *peer) (count int) {
	if p.probeFailed {
		count = 1
	}
	for by, at := range p.suspectedBy {
		if at >= p.incarnation && l.peers[by].state != Dead { // reports of dead nodes do not count
			count++
		}
	}
	return count
}

// silentSince returns since when a suspected peer has sent nothing to this node. What this
// node received itself takes precedence over the reports of others.
func (p *peer) silentSince() time.Duration { return max(p.since, p.lastHeard) }

// RecordContact records that something arrived from a node itself.
func (l *List) RecordContact(now time.Duration, from ID) {
	if p := l.peers[from]; p != nil {
		p.lastHeard = now
	}
}

// verifySuspect probes a peer that others suspect before it is declared dead on their
// reports, also through a third node, because its refutation may reach them late.
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

// suspicionTimeout returns how long a suspected node has to refute. More suspecting nodes shorten it.
func (l *List) suspicionTimeout(count int) time.Duration {
	if len(l.peers) <= suspicionQuorum { // in a small fleet two suspecting nodes are many
		count++
	}
	part := math.Log(float64(min(count, suspicionQuorum))) / math.Log(suspicionQuorum)
	span := l.options.MaxSuspicionTimeout - time.Duration(part*float64(l.options.MaxSuspicionTimeout-l.options.MinSuspicionTimeout))
	return span * time.Duration(1+l.healthScore/2)
}

// scaleByHealth lengthens a time as the health score of this node gets worse.
func (l *List) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+l.healthScore)
}

// HandleMessage handles a message and returns the replies. The sender is alive.
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
		if o := l.pending; o != nil && o.number == m.Probe { // acknowledged directly or through a relay
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

// Tick does the work that is due and returns the messages to send. Call it several times a period.
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
		// Helpers that send neither an Ack nor a Nack suggest that this node's own network is faulty.
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

// probe pings the next node of the round, and one dead node in case it is back.
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

// nextInRound takes the next eligible node of a round. A round holds all nodes in random order.
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

// pickHelpers draws the nodes that are asked to probe the target.
func (l *List) pickHelpers(target ID) []ID {
	all := slices.DeleteFunc(slices.Clone(l.order), func(id ID) bool {
		return id == target || l.peers[id].state != Alive
	})
	l.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(l.options.IndirectProbes, len(all))]
}
