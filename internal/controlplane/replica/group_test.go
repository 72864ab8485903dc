package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testGroup = GroupID("group")

var testTiming = Timing{
	HeartbeatInterval: 20 * time.Millisecond,
	ElectionTimeout:   100 * time.Millisecond,
	ElectionJitter:    50 * time.Millisecond,
	LeaseDuration:     80 * time.Millisecond,
	LostAfter:         time.Second,
}

// group runs replicas in a test: writes are durable at once, and messages are delivered on request.
type group struct {
	t         *testing.T
	now       time.Duration
	replicas  map[NodeID]*Replica
	order     []NodeID
	inTransit []Message
	drop      func(Message) bool // drops a message if it returns true; nil: none
	shuffle   *rand.Rand         // reorders messages; nil: they arrive in the order they were sent
	applied   map[NodeID][]Entry
	restored  map[NodeID]Snapshot
	delivered []Message // all messages delivered so far
}

func newReplica(id NodeID, stored PersistentState, now time.Duration) *Replica {
	return New(testGroup, id, testTiming, stored, rand.New(rand.NewPCG(uint64(id), 1)), now)
}

func initialState(voters ...NodeID) PersistentState {
	return PersistentState{Snapshot: Snapshot{Members: Members{Voters: voters}}}
}

// newGroup starts voters 1 to count. Voter 1 is the leader and has committed an entry of its term.
func newGroup(t *testing.T, count int) *group {
	t.Helper()
	g := &group{t: t, replicas: map[NodeID]*Replica{}, applied: map[NodeID][]Entry{}, restored: map[NodeID]Snapshot{}}
	var voters []NodeID
	for id := range count {
		voters = append(voters, NodeID(id+1))
	}
	for _, id := range voters {
		g.addReplica(id, initialState(voters...))
	}
	g.replicas[1].Campaign(g.now)
	g.deliverAll()
	assert.Assert(t, g.replicas[1].Status(g.now).LeaderReady)
	return g
}

func (g *group) addReplica(id NodeID, stored PersistentState) *Replica {
	g.replicas[id] = newReplica(id, stored, g.now)
	g.order = append(g.order, id)
	return g.replicas[id]
}

// processReadies carries out the Readys of all replicas until there are none.
func (g *group) processReadies() {
	for _, id := range g.order {
		r := g.replicas[id]
		for ready := r.Ready(); !ready.Empty(); ready = r.Ready() {
			r.Persisted(g.now, ready)
			g.inTransit = append(g.inTransit, ready.Immediate...)
			g.inTransit = append(g.inTransit, ready.Messages...)
			if ready.Snapshot != nil {
				g.restored[id] = *ready.Snapshot
			}
			g.applied[id] = append(g.applied[id], ready.Committed...)
		}
	}
}

// deliver delivers the messages in transit.
func (g *group) deliver() {
	inTransit := g.inTransit
	g.inTransit = nil
	if g.shuffle != nil {
		g.shuffle.Shuffle(len(inTransit), func(i, j int) { inTransit[i], inTransit[j] = inTransit[j], inTransit[i] })
	}
	for _, m := range inTransit {
		receiver := g.replicas[m.To]
		if receiver == nil || g.drop != nil && g.drop(m) {
			continue
		}
		g.delivered = append(g.delivered, m)
		receiver.Step(g.now, m)
	}
}

// deliverAll delivers messages until none is in transit.
func (g *group) deliverAll() {
	g.t.Helper()
	for range 10_000 {
		g.processReadies()
		if len(g.inTransit) == 0 {
			return
		}
		g.deliver()
	}
	g.t.Fatal("the replicas never stop sending messages")
}

// advance lets time pass, in steps shorter than any timeout.
func (g *group) advance(span time.Duration) {
	g.t.Helper()
	for until := g.now + span; g.now < until; {
		g.now += min(testTiming.HeartbeatInterval/2, until-g.now)
		for _, id := range g.order {
			g.replicas[id].Tick(g.now)
		}
		g.deliverAll()
	}
}

// isolate drops all messages to and from a node.
func (g *group) isolate(node NodeID) {
	g.drop = func(m Message) bool { return m.From == node || m.To == node }
}

func (g *group) propose(r *Replica, command string) (index, term uint64) {
	g.t.Helper()
	index, term, err := r.Propose(g.now, []byte(command))
	assert.NilError(g.t, err)
	return index, term
}

// makeEntries returns entries of one term from first to last.
func makeEntries(term, first, last uint64) []Entry {
	var entries []Entry
	for index := first; index <= last; index++ {
		entries = append(entries, Entry{Index: index, Term: term})
	}
	return entries
}

// persist takes one Ready and reports it durable.
func persist(r *Replica, now time.Duration) Ready {
	ready := r.Ready()
	r.Persisted(now, ready)
	return ready
}

// newRandom returns a seeded source of random numbers.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }
