package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testGroup = GroupID("group")

var testTiming = Timing{
	Heartbeat: 20 * time.Millisecond,
	Election:  100 * time.Millisecond,
	Spread:    50 * time.Millisecond,
	Lease:     80 * time.Millisecond,
	Silent:    time.Second,
}

// group runs replicas by hand: writes are durable at once, and messages come when told.
type group struct {
	t        *testing.T
	now      time.Duration
	replicas map[NodeID]*Replica
	order    []NodeID
	mail     []Message
	lost     func(Message) bool
	shuffle  *rand.Rand // puts messages out of order; nil: they come as they were sent
	applied  map[NodeID][]Entry
	restored map[NodeID]Snapshot
	carried  []Message // all that were delivered
}

func newReplica(id NodeID, stored Stored, now time.Duration) *Replica {
	return New(testGroup, id, testTiming, stored, rand.New(rand.NewPCG(uint64(id), 1)), now)
}

func startedWith(voters ...NodeID) Stored {
	return Stored{Snapshot: Snapshot{Members: Members{Voters: voters}}}
}

// newGroup starts voters 1 to count, of which 1 has become the settled owner.
func newGroup(t *testing.T, count int) *group {
	t.Helper()
	g := &group{t: t, replicas: map[NodeID]*Replica{}, applied: map[NodeID][]Entry{}, restored: map[NodeID]Snapshot{}}
	var voters []NodeID
	for id := range count {
		voters = append(voters, NodeID(id+1))
	}
	for _, id := range voters {
		g.add(id, startedWith(voters...))
	}
	g.replicas[1].Campaign(g.now)
	g.settle()
	assert.Assert(t, g.replicas[1].Status(g.now).Settled)
	return g
}

func (g *group) add(id NodeID, stored Stored) *Replica {
	g.replicas[id] = newReplica(id, stored, g.now)
	g.order = append(g.order, id)
	return g.replicas[id]
}

// collect takes what the replicas want done, until they want nothing more.
func (g *group) collect() {
	for _, id := range g.order {
		r := g.replicas[id]
		for ready := r.Ready(); !ready.Empty(); ready = r.Ready() {
			r.Persisted(g.now, ready)
			g.mail = append(g.mail, ready.Early...)
			g.mail = append(g.mail, ready.Messages...)
			if ready.Snapshot != nil {
				g.restored[id] = *ready.Snapshot
			}
			g.applied[id] = append(g.applied[id], ready.Committed...)
		}
	}
}

// deliver brings the messages that are on the way.
func (g *group) deliver() {
	mail := g.mail
	g.mail = nil
	if g.shuffle != nil {
		g.shuffle.Shuffle(len(mail), func(i, j int) { mail[i], mail[j] = mail[j], mail[i] })
	}
	for _, m := range mail {
		receiver := g.replicas[m.To]
		if receiver == nil || g.lost != nil && g.lost(m) {
			continue
		}
		g.carried = append(g.carried, m)
		receiver.Step(g.now, m)
	}
}

// settle goes on until no message is on the way.
func (g *group) settle() {
	g.t.Helper()
	for range 10_000 {
		g.collect()
		if len(g.mail) == 0 {
			return
		}
		g.deliver()
	}
	g.t.Fatal("the group does not come to rest")
}

// pass lets time go by, in steps that are short enough for all.
func (g *group) pass(span time.Duration) {
	g.t.Helper()
	for until := g.now + span; g.now < until; {
		g.now += min(testTiming.Heartbeat/2, until-g.now)
		for _, id := range g.order {
			g.replicas[id].Tick(g.now)
		}
		g.settle()
	}
}

// isolate loses all that goes to or comes from a node.
func (g *group) isolate(node NodeID) {
	g.lost = func(m Message) bool { return m.From == node || m.To == node }
}

func (g *group) propose(r *Replica, text string) (index, term uint64) {
	g.t.Helper()
	index, term, err := r.Propose(g.now, []byte(text))
	assert.NilError(g.t, err)
	return index, term
}

// entriesOf makes entries of one term from first to last.
func entriesOf(term, first, last uint64) []Entry {
	var entries []Entry
	for index := first; index <= last; index++ {
		entries = append(entries, Entry{Index: index, Term: term})
	}
	return entries
}

// persist takes one Ready and tells that it is durable.
func persist(r *Replica, now time.Duration) Ready {
	ready := r.Ready()
	r.Persisted(now, ready)
	return ready
}

// lot is a source of lots of its own.
func lot(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 2)) }
