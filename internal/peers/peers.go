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
const formMember = gossip.FormNote

// tellEvery is how often a node tells another one, drawn, what is new.
const tellEvery = 200 * time.Millisecond

// message is the form of a member.Message.
type message struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	Probe uint32
	About int16 // the number of a node, -1: none
}

// Datagram is what goes to the node of a number.
type Datagram struct {
	To   int
	Text []byte
}

// Circle is one node's part in its fleet. It is not safe for concurrent use.
type Circle struct {
	List  *member.List
	Talk  *gossip.Talk
	self  int
	nodes int
	rng   *rand.Rand
	due   time.Duration
	said  map[member.ID]uint32
	life  uint32 // the incarnation in which that was said
}

func id(number int) member.ID { return member.ID("n" + strconv.Itoa(number)) }

func number(of member.ID) int {
	n, err := strconv.Atoi(string(of[1:]))
	if err != nil {
		return -1
	}
	return n
}

// NewCircle returns that of a node of a number among so many, which may send so many bytes a
// second. It knows nothing of an earlier life.
func NewCircle(self, nodes int, budget float64, rng *rand.Rand) *Circle {
	var ids []member.ID
	for n := range nodes {
		ids = append(ids, id(n))
	}
	c := &Circle{List: member.New(id(self), ids, member.Options{}, rng), Talk: gossip.NewTalk(string(id(self)), 1, budget),
		self: self, nodes: nodes, rng: rng, life: 1}
	c.Talk.Fleet(nodes)
	return c
}

// Heard takes a datagram from the node of a number; from nobody's it is dropped.
func (c *Circle) Heard(now time.Duration, from int, text []byte) (out []Datagram) {
	if from < 0 || from >= c.nodes || from == c.self {
		return nil
	}
	c.List.Seen(now, id(from))
	news, notes := c.Talk.Heard(now, string(id(from)), text)
	for _, r := range news {
		if r.Kind != KindMember || r.Origin == string(id(c.self)) {
			continue
		}
		suspects := map[string]uint32{}
		if gossip.Decode(r.Value, &suspects) != nil {
			continue // a liar's: what it said before holds
		}
		by, of := member.ID(r.Origin), map[member.ID]uint32{}
		for s, at := range suspects {
			of[member.ID(s)] = at
		}
		c.List.Alive(now, by, r.Incarnation)
		c.List.Told(now, by, of)
	}
	for _, n := range notes {
		var m message
		if n.Form != formMember || gossip.Decode(n.Text, &m) != nil {
			continue
		}
		about := member.ID("")
		if m.About >= 0 {
			about = id(int(m.About))
		}
		out = append(out, c.send(now, c.List.Heard(now, id(from), member.Message{Kind: member.Kind(m.Kind), Probe: m.Probe, About: about}))...)
	}
	c.settle()
	return out
}

// settle makes what the node says of itself follow what it knows.
func (c *Circle) settle() {
	c.Talk.Raise(c.List.Incarnation())
	c.List.Raise(c.Talk.Incarnation())
	suspects := c.List.Suspects()
	// Who has never suspected anybody nor been suspected says nothing: where all start at once
	// that would be told many times over, and tells nobody anything. Once it is suspected,
	// though, its incarnation, which those who suspect it don't know, is the answer.
	if maps.Equal(suspects, c.said) && c.Talk.Incarnation() == c.life && (c.said != nil || !c.List.Accused()) {
		return
	}
	value, err := gossip.Encode(suspects)
	if err == nil && len(value) <= gossip.MaxValue { // else most are gone, and what was said holds
		err = c.Talk.Put(KindMember, value)
	}
	if err == nil {
		c.said, c.life = suspects, c.Talk.Incarnation()
	}
}

// send puts messages of membership into datagrams, each with what news has room beside it.
func (c *Circle) send(now time.Duration, all []member.Send) (out []Datagram) {
	for _, s := range all {
		m := message{Kind: uint8(s.Kind), Probe: s.Probe, About: -1}
		if s.About != "" {
			m.About = int16(number(s.About))
		}
		text, err := gossip.Encode(m)
		if err != nil {
			continue
		}
		out = append(out, c.tell(now, number(s.To), gossip.Note{Form: formMember, Text: text})...)
	}
	return out
}

func (c *Circle) tell(now time.Duration, to int, notes ...gossip.Note) (out []Datagram) {
	for _, text := range c.Talk.Next(now, string(id(to)), notes...) {
		out = append(out, Datagram{to, text})
	}
	return out
}

// Tick does what is due. It is called several times in tellEvery.
func (c *Circle) Tick(now time.Duration) []Datagram {
	out := c.send(now, c.List.Tick(now))
	c.settle()
	if now >= c.due && c.nodes > 1 {
		c.due = max(c.due, now-tellEvery) + tellEvery
		to := c.rng.IntN(c.nodes - 1)
		if to >= c.self {
			to++
		}
		out = append(out, c.tell(now, to)...)
	}
	return out
}

// Change is a member whose state has changed.
type Change struct {
	Number int
	member.Member
	Was member.State
}

// Changes compares the members with what they were, which it brings up to date.
func (c *Circle) Changes(were map[member.ID]member.State) (out []Change) {
	for _, m := range c.List.Members() {
		if was := were[m.ID]; was != m.State {
			out = append(out, Change{number(m.ID), m, was})
			were[m.ID] = m.State
		}
	}
	return out
}

// Names of the states, in logs.
var stateNames = []string{member.There: "there", member.Suspected: "suspected", member.Gone: "gone"}

// StateName is the word for a state.
func StateName(s member.State) string { return stateNames[s] }
