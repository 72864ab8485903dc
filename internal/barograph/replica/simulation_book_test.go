package replica_test

import (
	"bytes"
	"sort"
	"time"

	"pipitmux/internal/barograph/replica"
)

// place is where an entry stands: with the log's matching rule, no other entry ever does.
type place struct{ index, term uint64 }

// placed is what stands there.
type placed struct {
	entry  replica.Entry
	before uint64 // the term of the entry before
}

// book knows all that happened, and holds the nodes to what must never differ.
type book struct {
	owners    map[uint64]replica.NodeID // by term
	newest    uint64                    // the newest term that had an owner
	places    map[place]placed
	committed []replica.Entry // by index-1
	states    []machine       // after each
	since     []time.Duration // when a node first applied each
	members   replica.Members // the newest that are committed
}

func newBook() *book {
	return &book{owners: map[uint64]replica.NodeID{}, places: map[place]placed{}}
}

// look checks a node after each step: one owner per term, and a lease only while no later
// term has an owner.
func (b *book) look(n *node) {
	b.checkFreshness(n)
	if !n.replica.Owns() {
		return
	}
	term := n.replica.Term()
	if b.owners[term] == 0 {
		b.owners[term] = n.id
		b.newest = max(b.newest, term)
		n.world.counts.owners++
		b.checkLeases(n.world)
		n.world.beset(n)
	}
	if b.owners[term] != n.id {
		n.world.Fail("nodes %d and %d own term %d", b.owners[term], n.id, term)
	}
	b.checkLease(n)
}

// rounding is what times lose on their way from a node's clock to the simulation's.
const rounding = time.Microsecond

// checkFreshness holds that a node lacks nothing of what any node had applied before the moment
// as of which it takes its own state for recent.
func (b *book) checkFreshness(n *node) {
	at := n.replica.CurrentAt(n.clock(), n.machine.index)
	if at < -time.Hour {
		return // nothing is proven
	}
	proven := n.fromClock(at) - rounding
	there := sort.Search(len(b.since), func(i int) bool { return b.since[i] > proven })
	if uint64(there) > n.machine.index {
		n.world.Fail("node %d is said to be as recent as %v, holds %d, and %d was applied then", n.id, proven, n.machine.index, there)
	}
	if n.world.Now-proven < 4*simulatedTiming.Heartbeat && !n.replica.Owns() {
		n.world.counts.recent++
	}
}

func (b *book) checkLeases(w *world) {
	for _, n := range w.running() {
		if !n.frozen && n.replica.Owns() {
			b.checkLease(n)
		}
	}
}

func (b *book) checkLease(n *node) {
	if n.replica.Term() < b.newest && n.replica.Leased(n.clock()) {
		n.world.Fail("node %d holds a lease in term %d, while term %d has an owner", n.id, n.replica.Term(), b.newest)
	}
}

// written checks that entries of one index and term are the same everywhere, and stand after the same.
func (b *book) written(n *node, ready replica.Ready) {
	if len(ready.Entries) == 0 {
		return
	}
	before := n.termBefore(ready)
	for _, entry := range ready.Entries {
		at := place{entry.Index, entry.Term}
		known, ok := b.places[at]
		if !ok {
			b.places[at] = placed{entry, before}
		} else if known.before != before || !sameEntry(known.entry, entry) {
			n.world.Fail("node %d has another entry %d of term %d than others", n.id, entry.Index, entry.Term)
		}
		before = entry.Term
	}
}

// termBefore is the term of the entry before those of a Ready.
func (n *node) termBefore(ready replica.Ready) uint64 {
	index := ready.Entries[0].Index - 1
	if ready.Snapshot != nil && index == ready.Snapshot.Index {
		return ready.Snapshot.Term
	}
	if index == n.disk.Snapshot.Index {
		return n.disk.Snapshot.Term
	}
	return n.disk.Entries[index-n.disk.Snapshot.Index-1].Term
}

func sameEntry(a, b replica.Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// applied checks that all nodes apply the same entries.
func (b *book) applied(n *node, entry replica.Entry) {
	if entry.Index <= uint64(len(b.committed)) {
		if !sameEntry(b.committed[entry.Index-1], entry) {
			n.world.Fail("node %d applies another entry %d than was committed", n.id, entry.Index)
		}
		return
	}
	b.committed = append(b.committed, entry)
	b.states = append(b.states, n.machine)
	b.since = append(b.since, n.world.Now)
	if entry.Kind == replica.Command {
		n.world.client.effect[decodeOperation(entry.Data).number] = n.world.client.tick()
	}
	if entry.Kind == replica.Change {
		members, err := replica.DecodeMembers(entry.Data)
		if err != nil {
			n.world.Fail("entry %d: %v", entry.Index, err)
		}
		b.members = members
		n.world.counts.changes++
	}
}

// restored checks that a snapshot holds the state that the entries lead to.
func (b *book) restored(n *node) {
	index := n.machine.index
	n.world.counts.restored++
	if index > uint64(len(b.states)) || b.states[index-1] != n.machine {
		n.world.Fail("node %d takes a snapshot at %d that is not the group's state", n.id, index)
	}
}
