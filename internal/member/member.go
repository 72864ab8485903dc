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
	There     State = iota
	Suspected       // does not answer, or others say so; it may yet answer that
	Gone            // did not answer that in time; it is still probed and may return
)

// Kind is what a message asks or answers.
type Kind uint8

// The kinds of message. Each carries the number of the probe that it belongs to.
const (
	Ping Kind = iota // answered by an Ack
	Ack
	Ask  // to ping the one it is about, and pass on its Ack, or else a Nack
	Nack // the one it was asked about has not answered, but who was asked is there
)

// Message goes from one node to another.
type Message struct {
	Kind  Kind
	Probe uint32
	About ID // of an Ask
}

// Send is a message to a node.
type Send struct {
	To ID
	Message
}

// Options are times and counts; those left at 0 are set by New.
type Options struct {
	Period     time.Duration // between probes: 1 s
	Timeout    time.Duration // until others are asked, 200 ms: a way takes 12 ms at most
	Helpers    int           // who are asked: 3
	SuspectMin time.Duration // how long a suspected one may answer, where many suspect it: 3 s,
	SuspectMax time.Duration // and where one alone does: 8 s
}

const (
	healthMost = 8 // a node that trusts itself least waits nine times as long
	confirmed  = 4 // so many who suspect one are many
	// Before one is taken for gone on the word of others alone it is probed so often, the last
	// time two time-outs before.
	checkTimes = 2
)

// List is what one node knows of the others. It is not safe for concurrent use.
type List struct {
	self        ID
	incarnation uint32
	accused     bool // others have said that they suspect it
	o           Options
	rng         *rand.Rand
	peers       map[ID]*peer
	order       []ID // their names, sorted: what is done to all is done in this order
	round       []ID // who is probed next, from the end
	gone        []ID // the same of those who are gone
	health      int
	last        uint32
	out         *probe           // the one under way
	helped      map[uint32]help  // probes made for others, by this node's number
	checks      map[uint32]*peer // those of the suspected, the latest of each
	due         time.Duration
}

type peer struct {
	id          ID
	incarnation uint32
	state       State
	since       time.Duration
	mine        bool          // this node has probed it in vain
	say         bool          // and says so: too few others did
	by          map[ID]uint32 // who else suspects it, at which incarnation
	heard       time.Duration // when it last answered this node, or said anything to it
	check       uint32        // the latest probe of it while suspected
	checked     time.Duration
	returns     int
}

type probe struct {
	number        uint32
	to            ID
	asked, nacked int
	asks, ends    time.Duration // when others are asked, and when it has failed
	again         time.Duration // when the ping is sent again: one alone may be lost
}

type help struct {
	to     ID
	number uint32
	about  ID
	ends   time.Duration
}

// New returns the list of a node that knows only the names of the others.
func New(self ID, others []ID, o Options, rng *rand.Rand) *List {
	o.Period = cmp.Or(o.Period, time.Second)
	o.Timeout = cmp.Or(o.Timeout, 200*time.Millisecond)
	o.Helpers = cmp.Or(o.Helpers, 3)
	o.SuspectMin = cmp.Or(o.SuspectMin, 3*time.Second)
	o.SuspectMax = cmp.Or(o.SuspectMax, 8*time.Second)
	l := &List{self: self, incarnation: 1, o: o, rng: rng, peers: map[ID]*peer{}, helped: map[uint32]help{}, checks: map[uint32]*peer{}}
	for _, id := range others {
		if id != self {
			l.peers[id] = &peer{id: id, by: map[ID]uint32{}}
		}
	}
	l.order = slices.Sorted(maps.Keys(l.peers))
	l.due = time.Duration(rng.Int64N(int64(o.Period))) // all start in one second: probes are spread
	return l
}

// Incarnation is what this node answers suspicions with.
func (l *List) Incarnation() uint32 { return l.incarnation }

// Raise takes on an incarnation that this node was found to have had, if it is higher.
func (l *List) Raise(incarnation uint32) { l.incarnation = max(l.incarnation, incarnation) }

// Accused tells that others have said that they suspect this node, at whatever incarnation.
func (l *List) Accused() bool { return l.accused }

// Health is how far this node distrusts itself, from 0.
func (l *List) Health() int { return l.health }

// Suspects is what this node says to all: whom it has probed in vain, at which incarnation.
// Where many say so already it keeps still, or the loss of one node would be told by all.
func (l *List) Suspects() map[ID]uint32 {
	out := map[ID]uint32{}
	for id, p := range l.peers {
		if p.mine && p.say {
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
	Returns     int           // how often it was gone and came back
}

// Members returns the others in the order of their names.
func (l *List) Members() []Member {
	out := make([]Member, 0, len(l.peers))
	for _, id := range l.order {
		p := l.peers[id]
		out = append(out, Member{id, p.state, p.incarnation, p.since, p.returns})
	}
	return out
}

// Alive is told an incarnation that a node said of itself. A higher one answers all who
// suspected it before.
func (l *List) Alive(now time.Duration, id ID, incarnation uint32) {
	p := l.peers[id]
	if p == nil || incarnation <= p.incarnation {
		return
	}
	p.incarnation, p.mine = incarnation, false
	l.judge(now, p)
}

// Told is told whom another node suspects, in place of what it said before.
func (l *List) Told(now time.Duration, by ID, suspects map[ID]uint32) {
	if l.peers[by] == nil {
		return // nobody we know
	}
	if at, ok := suspects[l.self]; ok {
		l.accused = true
		if at >= l.incarnation && at < math.MaxUint32 {
			l.incarnation = at + 1
			l.trust(1) // others hear us late: it may be us
		}
	}
	for id, p := range l.peers {
		at, ok := suspects[id]
		if _, was := p.by[by]; !ok && !was {
			continue
		}
		delete(p.by, by)
		if ok {
			p.by[by] = at
		}
		l.judge(now, p)
	}
}

// trust moves how far this node distrusts itself.
func (l *List) trust(by int) { l.health = min(max(l.health+by, 0), healthMost) }

// judge sets the state of one from who suspects it.
func (l *List) judge(now time.Duration, p *peer) {
	count := l.count(p)
	p.say = p.mine && (p.say || count <= confirmed)
	was := p.state
	switch {
	case count == 0:
		p.state = There
	case p.state == There:
		p.state = Suspected
	case p.state == Suspected && now-p.silent() >= l.patience(count):
		p.state = Gone
	}
	if p.state != was {
		p.since = now
		if was == Gone {
			p.returns++
		}
	}
}

// count is how many suspect one, this node among them.
func (l *List) count(p *peer) (count int) {
	if p.mine {
		count = 1
	}
	for by, at := range p.by {
		if at >= p.incarnation && l.peers[by].state != Gone { // who is gone bears no witness
			count++
		}
	}
	return count
}

// silent is since when a suspected one has said nothing to this node: what it has heard
// itself goes before what it is told.
func (p *peer) silent() time.Duration { return max(p.since, p.heard) }

// Seen is told that something came from a node itself.
func (l *List) Seen(now time.Duration, from ID) {
	if p := l.peers[from]; p != nil {
		p.heard = now
	}
}

// checkUp probes one that others suspect before it is taken for gone on their word, also by
// way of another: what it would answer them may be late.
func (l *List) checkUp(now time.Duration, p *peer) []Send {
	every := 2 * l.o.Timeout
	if p.state != Suspected || p.mine || now < p.checked+every || now < p.silent()+l.patience(l.count(p))-(checkTimes+1)*every {
		return nil
	}
	delete(l.checks, p.check)
	l.last++
	p.check, p.checked = l.last, now
	l.checks[l.last] = p
	out := []Send{{p.id, Message{Kind: Ping, Probe: l.last}}}
	if by := l.helpers(p.id); len(by) > 0 {
		out = append(out, Send{by[0], Message{Kind: Ask, Probe: l.last, About: p.id}})
	}
	return out
}

// patience is how long a suspected one may answer: the more suspect it the shorter.
func (l *List) patience(count int) time.Duration {
	if len(l.peers) <= confirmed { // few there are: two are many
		count++
	}
	part := math.Log(float64(min(count, confirmed))) / math.Log(confirmed)
	span := l.o.SuspectMax - time.Duration(part*float64(l.o.SuspectMax-l.o.SuspectMin))
	return span * time.Duration(1+l.health/2)
}

// wait is a time, longer the less this node trusts itself.
func (l *List) wait(d time.Duration) time.Duration { return d * time.Duration(1+l.health) }

// Heard takes a message and returns what it calls for. Whoever is heard is there.
func (l *List) Heard(now time.Duration, from ID, m Message) []Send {
	l.Seen(now, from)
	if p := l.peers[from]; p != nil && p.mine {
		p.mine = false
		l.judge(now, p)
	}
	switch m.Kind {
	case Ping:
		return []Send{{from, Message{Kind: Ack, Probe: m.Probe}}}
	case Ask:
		if l.peers[m.About] == nil || len(l.helped) >= 4*len(l.peers)+64 {
			return nil
		}
		l.last++
		l.helped[l.last] = help{from, m.Probe, m.About, now + l.o.Timeout}
		return []Send{{m.About, Message{Kind: Ping, Probe: l.last}}}
	case Ack:
		if h, ok := l.helped[m.Probe]; ok && h.about == from {
			delete(l.helped, m.Probe)
			return []Send{{h.to, Message{Kind: Ack, Probe: h.number}}}
		}
		if p := l.checks[m.Probe]; p != nil {
			p.heard = now
		}
		if o := l.out; o != nil && o.number == m.Probe { // by itself, or by way of another
			if p := l.peers[o.to]; p.mine {
				p.mine = false
				l.judge(now, p)
			}
			l.out = nil
			l.trust(-1)
		}
	case Nack:
		if l.out != nil && l.out.number == m.Probe {
			l.out.nacked++
		}
	}
	return nil
}

// Tick does what is due and returns what is to be sent. It is called several times a period.
func (l *List) Tick(now time.Duration) (out []Send) {
	for _, n := range slices.Sorted(maps.Keys(l.helped)) {
		if h := l.helped[n]; now >= h.ends {
			delete(l.helped, n)
			out = append(out, Send{h.to, Message{Kind: Nack, Probe: h.number}})
		}
	}
	if o := l.out; o != nil && now >= o.ends {
		l.out = nil
		l.peers[o.to].mine = true
		// Who was asked and says nothing at all makes us doubt our own ways to the others.
		l.trust(min(o.asked-o.nacked, 1))
	} else if o != nil {
		if now >= o.again {
			o.again = now + l.o.Timeout
			out = append(out, Send{o.to, Message{Kind: Ping, Probe: o.number}})
		}
		if now >= o.asks && o.asked == 0 {
			for _, id := range l.helpers(o.to) {
				out = append(out, Send{id, Message{Kind: Ask, Probe: o.number, About: o.to}})
				o.asked++
			}
		}
	}
	for _, id := range l.order {
		p := l.peers[id]
		out = append(out, l.checkUp(now, p)...)
		l.judge(now, p)
	}
	if now >= l.due && l.out == nil && len(l.peers) > 0 {
		l.due = max(l.due, now-l.o.Period) + l.wait(l.o.Period)
		out = append(out, l.probe(now)...)
	}
	return out
}

// probe pings the next of the round, and one who is gone, who may be back.
func (l *List) probe(now time.Duration) (out []Send) {
	if to := l.next(&l.gone, func(p *peer) bool { return p.state == Gone }); to != "" {
		l.last++
		out = append(out, Send{to, Message{Kind: Ping, Probe: l.last}})
	}
	to := l.next(&l.round, func(p *peer) bool { return p.state != Gone })
	if to == "" {
		return out
	}
	l.last++
	l.out = &probe{number: l.last, to: to, again: now + l.o.Timeout/2, asks: now + l.wait(l.o.Timeout), ends: now + l.wait(l.o.Timeout)*4}
	return append(out, Send{to, Message{Kind: Ping, Probe: l.last}})
}

// next takes one from the end of a round that all who fit are in once, in random order.
func (l *List) next(round *[]ID, fits func(*peer) bool) ID {
	for again := range 2 {
		for len(*round) > 0 {
			id := (*round)[len(*round)-1]
			*round = (*round)[:len(*round)-1]
			if fits(l.peers[id]) {
				return id
			}
		}
		if again == 0 {
			*round = slices.Clone(l.order)
			l.rng.Shuffle(len(*round), func(i, j int) { (*round)[i], (*round)[j] = (*round)[j], (*round)[i] })
		}
	}
	return ""
}

// helpers draws who is asked to probe one.
func (l *List) helpers(about ID) []ID {
	all := slices.DeleteFunc(slices.Clone(l.order), func(id ID) bool {
		return id == about || l.peers[id].state != There
	})
	l.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(l.o.Helpers, len(all))]
}
