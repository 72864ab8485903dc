// Package peers combines failure detection (member), gossip and the datagrams between nodes.
// Engine is one node's part and pure, so the emulator can run it in virtual time. Peers runs
// an Engine with a Transport and the real clock. The package must not know what gossip records
// of other kinds mean.
package peers

import (
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"oakseam/internal/gossip"
	"oakseam/internal/membership"
)

// KindMember is the kind of the record in which a node publishes whom it suspects. The
// record's incarnation is the node's.
const KindMember gossip.Kind = 1

// formMember is the entry form of membership messages.
const formMember = gossip.FirstNoteForm

// gossipInterval is how often a node sends updates to a random other node.
const gossipInterval = 200 * time.Millisecond

// message is the encoding of a membership.Message.
type message struct {
	_     struct{} `cbor:",toarray"`
	Kind  uint8
	Probe uint32
	About int16 // number of the target node; -1: none
}

// Datagram is a datagram and the number of the node it goes to.
type Datagram struct {
	To      int
	Payload []byte
}

// Engine is one node's part in its fleet. It is not safe for concurrent use.
type Engine struct {
	List                 *membership.List
	Gossip               *gossip.Engine
	self                 int
	nodes                int
	rng                  *rand.Rand
	nextGossip           time.Duration
	published            map[membership.ID]uint32
	publishedIncarnation uint32 // the incarnation of the last published record
}

func memberID(number int) membership.ID { return membership.ID("n" + strconv.Itoa(number)) }

func memberNumber(of membership.ID) int {
	n, err := strconv.Atoi(string(of[1:]))
	if err != nil {
		return -1
	}
	return n
}

// NewEngine returns the engine of node number self in a fleet of that many nodes, with a budget
// in bytes per second. It knows nothing of a previous run.
func NewEngine(self, nodes int, budget float64, rng *rand.Rand) *Engine {
	var ids []membership.ID
	for n := range nodes {
		ids = append(ids, memberID(n))
	}
	e := &Engine{List: membership.New(memberID(self), ids, membership.Options{}, rng), Gossip: gossip.NewEngine(string(memberID(self)), 1, budget),
		self: self, nodes: nodes, rng: rng, publishedIncarnation: 1}
	e.Gossip.SetFleetSize(nodes)
	return e
}

// HandleDatagram handles a datagram from a node. Datagrams of unknown numbers are dropped.
func (e *Engine) HandleDatagram(now time.Duration, from int, payload []byte) (out []Datagram) {
	if from < 0 || from >= e.nodes || from == e.self {
		return nil
	}
	e.List.RecordContact(now, memberID(from))
	news, notes := e.Gossip.HandleDatagram(now, string(memberID(from)), payload)
	for _, r := range news {
		if r.Kind != KindMember || r.Origin == string(memberID(e.self)) {
			continue
		}
		suspects := map[string]uint32{}
		if gossip.Decode(r.Value, &suspects) != nil {
			continue // malformed or forged: the earlier suspicions stay
		}
		by, of := membership.ID(r.Origin), map[membership.ID]uint32{}
		for s, at := range suspects {
			of[membership.ID(s)] = at
		}
		e.List.UpdateIncarnation(now, by, r.Incarnation)
		e.List.UpdateSuspicions(now, by, of)
	}
	for _, n := range notes {
		var m message
		if n.Form != formMember || gossip.Decode(n.Payload, &m) != nil {
			continue
		}
		about := membership.ID("")
		if m.About >= 0 {
			about = memberID(int(m.About))
		}
		out = append(out, e.sendMessages(now, e.List.HandleMessage(now, memberID(from), membership.Message{Kind: membership.Kind(m.Kind), Probe: m.Probe, Target: about}))...)
	}
	e.publishSuspicions()
	return out
}

// publishSuspicions publishes this node's suspicions and incarnation when they have changed.
func (e *Engine) publishSuspicions() {
	e.Gossip.RaiseIncarnation(e.List.Incarnation())
	e.List.RaiseIncarnation(e.Gossip.Incarnation())
	suspects := e.List.Suspects()
	// A node that has never suspected another nor been suspected publishes nothing: when all
	// nodes start at once, that would be sent many times without any information. Once others
	// suspect the node, its incarnation, which they do not know, is the refutation.
	if maps.Equal(suspects, e.published) && e.Gossip.Incarnation() == e.publishedIncarnation && (e.published != nil || !e.List.EverSuspected()) {
		return
	}
	value, err := gossip.Encode(suspects)
	if err == nil && len(value) <= gossip.MaxValue { // else most nodes are dead, and the last record stays
		err = e.Gossip.Publish(KindMember, value)
	}
	if err == nil {
		e.published, e.publishedIncarnation = suspects, e.Gossip.Incarnation()
	}
}

// sendMessages puts membership messages into datagrams and fills these up with gossip.
func (e *Engine) sendMessages(now time.Duration, all []membership.Send) (out []Datagram) {
	for _, s := range all {
		m := message{Kind: uint8(s.Kind), Probe: s.Probe, About: -1}
		if s.Target != "" {
			m.About = int16(memberNumber(s.Target))
		}
		payload, err := gossip.Encode(m)
		if err != nil {
			continue
		}
		out = append(out, e.sendGossip(now, memberNumber(s.To), gossip.Note{Form: formMember, Payload: payload})...)
	}
	return out
}

func (e *Engine) sendGossip(now time.Duration, to int, notes ...gossip.Note) (out []Datagram) {
	for _, payload := range e.Gossip.DatagramsFor(now, string(memberID(to)), notes...) {
		out = append(out, Datagram{to, payload})
	}
	return out
}

// Tick does the work that is due. Call it several times per gossipInterval.
func (e *Engine) Tick(now time.Duration) []Datagram {
	out := e.sendMessages(now, e.List.Tick(now))
	e.publishSuspicions()
	if now >= e.nextGossip && e.nodes > 1 {
		e.nextGossip = max(e.nextGossip, now-gossipInterval) + gossipInterval
		to := e.rng.IntN(e.nodes - 1)
		if to >= e.self {
			to++
		}
		out = append(out, e.sendGossip(now, to)...)
	}
	return out
}

// Change is a member whose state has changed.
type Change struct {
	Number int
	membership.Member
	Previous membership.State
}

// Changes returns the members whose state differs from lastStates, and updates lastStates.
func (e *Engine) Changes(lastStates map[membership.ID]membership.State) (out []Change) {
	for _, m := range e.List.Members() {
		if was := lastStates[m.ID]; was != m.State {
			out = append(out, Change{memberNumber(m.ID), m, was})
			lastStates[m.ID] = m.State
		}
	}
	return out
}

// The names of the states in logs.
var stateNames = []string{membership.Alive: "there", membership.Suspected: "suspected", membership.Dead: "gone"}

// StateName returns the name of a state in logs.
func StateName(s membership.State) string { return stateNames[s] }
