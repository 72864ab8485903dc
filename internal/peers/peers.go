// Package peers joins who is there (member), what the nodes tell each other (gossip) and the
// datagrams between them. Circle is one node's part in it and pure, so the lab plays it in
// virtual time; Run stands round it with a Transport and a clock. It must not know what the
// records of others' kinds mean.
package peers

import (
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"pipitmux/internal/gossip"
	"pipitmux/internal/member"
)

// KindMember is the kind of the record in which a node says whom it suspects. That of its
// incarnation is the node's.
const KindMember gossip.Kind = 1

// formMember is the form of a message of membership.
const formMember = gossip.FirstNoteForm

// tellEvery is how often a node tells another one, drawn, what is new.
const gossipInterval = 200 * time.Millisecond

// message is the form of a member.Message.
type message struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	Probe uint32
	About int16 // the number of a node, -1: none
}

// Datagram is what goes to the node of a number.
type Datagram struct {
	To      int
	Payload []byte
}

// Circle is one node's part in its fleet. It is not safe for concurrent use.
type Engine struct {
	List                 *member.List
	Gossip               *gossip.Engine
	self                 int
	nodes                int
	rng                  *rand.Rand
	nextGossip           time.Duration
	published            map[member.ID]uint32
	publishedIncarnation uint32 // the incarnation in which that was published
}

func memberID(number int) member.ID { return member.ID("n" + strconv.Itoa(number)) }

func memberNumber(of member.ID) int {
	n, err := strconv.Atoi(string(of[1:]))
	if err != nil {
		return -1
	}
	return n
}

// NewCircle returns that of a node of a number among so many, which may send so many bytes a
// second. It knows nothing of an earlier life.
func NewEngine(self, nodes int, budget float64, rng *rand.Rand) *Engine {
	var ids []member.ID
	for n := range nodes {
		ids = append(ids, memberID(n))
	}
	c := &Engine{List: member.New(memberID(self), ids, member.Options{}, rng), Gossip: gossip.NewEngine(string(memberID(self)), 1, budget),
		self: self, nodes: nodes, rng: rng, publishedIncarnation: 1}
	c.Gossip.SetFleetSize(nodes)
	return c
}

// Heard takes a datagram from the node of a number; from nobody's it is dropped.
func (c *Engine) HandleDatagram(now time.Duration, from int, payload []byte) (out []Datagram) {
	if from < 0 || from >= c.nodes || from == c.self {
		return nil
	}
	c.List.RecordContact(now, memberID(from))
	news, notes := c.Gossip.HandleDatagram(now, string(memberID(from)), payload)
	for _, r := range news {
		if r.Kind != KindMember || r.Origin == string(memberID(c.self)) {
			continue
		}
		suspects := map[string]uint32{}
		if gossip.Decode(r.Value, &suspects) != nil {
			continue // a liar's: what it published before holds
		}
		by, of := member.ID(r.Origin), map[member.ID]uint32{}
		for s, at := range suspects {
			of[member.ID(s)] = at
		}
		c.List.UpdateIncarnation(now, by, r.Incarnation)
		c.List.UpdateSuspicions(now, by, of)
	}
	for _, n := range notes {
		var m message
		if n.Form != formMember || gossip.Decode(n.Payload, &m) != nil {
			continue
		}
		about := member.ID("")
		if m.About >= 0 {
			about = memberID(int(m.About))
		}
		out = append(out, c.sendMessages(now, c.List.HandleMessage(now, memberID(from), member.Message{Kind: member.Kind(m.Kind), Probe: m.Probe, Target: about}))...)
	}
	c.publishSuspicions()
	return out
}

// settle makes what the node says of itself follow what it knows.
func (c *Engine) publishSuspicions() {
	c.Gossip.RaiseIncarnation(c.List.Incarnation())
	c.List.RaiseIncarnation(c.Gossip.Incarnation())
	suspects := c.List.Suspects()
	// Who has never suspected anybody nor been suspected says nothing: where all start at once
	// that would be told many times over, and tells nobody anything. Once it is suspected,
	// though, its incarnation, which those who suspect it don't know, is the answer.
	if maps.Equal(suspects, c.published) && c.Gossip.Incarnation() == c.publishedIncarnation && (c.published != nil || !c.List.EverSuspected()) {
		return
	}
	value, err := gossip.Encode(suspects)
	if err == nil && len(value) <= gossip.MaxValue { // else most are gone, and what was published holds
		err = c.Gossip.Publish(KindMember, value)
	}
	if err == nil {
		c.published, c.publishedIncarnation = suspects, c.Gossip.Incarnation()
	}
}

// send puts messages of membership into datagrams, each with what news has room beside it.
func (c *Engine) sendMessages(now time.Duration, all []member.Send) (out []Datagram) {
	for _, s := range all {
		m := message{Kind: uint8(s.Kind), Probe: s.Probe, About: -1}
		if s.Target != "" {
			m.About = int16(memberNumber(s.Target))
		}
		payload, err := gossip.Encode(m)
		if err != nil {
			continue
		}
		out = append(out, c.sendGossip(now, memberNumber(s.To), gossip.Note{Form: formMember, Payload: payload})...)
	}
	return out
}

func (c *Engine) sendGossip(now time.Duration, to int, notes ...gossip.Note) (out []Datagram) {
	for _, payload := range c.Gossip.DatagramsFor(now, string(memberID(to)), notes...) {
		out = append(out, Datagram{to, payload})
	}
	return out
}

// Tick does what is due. It is called several times in tellEvery.
func (c *Engine) Tick(now time.Duration) []Datagram {
	out := c.sendMessages(now, c.List.Tick(now))
	c.publishSuspicions()
	if now >= c.nextGossip && c.nodes > 1 {
		c.nextGossip = max(c.nextGossip, now-gossipInterval) + gossipInterval
		to := c.rng.IntN(c.nodes - 1)
		if to >= c.self {
			to++
		}
		out = append(out, c.sendGossip(now, to)...)
	}
	return out
}

// Change is a member whose state has changed.
type Change struct {
	Number int
	member.Member
	Previous member.State
}

// Changes compares the members with what they were, which it brings up to date.
func (c *Engine) Changes(lastStates map[member.ID]member.State) (out []Change) {
	for _, m := range c.List.Members() {
		if was := lastStates[m.ID]; was != m.State {
			out = append(out, Change{memberNumber(m.ID), m, was})
			lastStates[m.ID] = m.State
		}
	}
	return out
}

// Names of the states, in logs.
var stateNames = []string{member.Alive: "there", member.Suspected: "suspected", member.Dead: "gone"}

// StateName is the word for a state.
func StateName(s member.State) string { return stateNames[s] }
