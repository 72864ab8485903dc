package replica_test

import (
	"bytes"
	"sort"
	"time"

	"oakseam/internal/controlplane/replica"
)

// logPosition identifies an entry: by Raft's log matching property, no two entries share one.
type logPosition struct{ index, term uint64 }

// recordedEntry is the entry seen at a logPosition.
type recordedEntry struct {
	entry        replica.Entry
	previousTerm uint64 // the term of the entry before it
}

// checker sees everything that happens in a simulation and checks Raft's invariants across its nodes.
type checker struct {
	leaders          map[uint64]replica.NodeID // by term
	newestTerm       uint64                    // the newest term that had a leader
	entries          map[logPosition]recordedEntry
	committed        []replica.Entry // by index-1
	states           []machine       // after each committed entry
	appliedAt        []time.Duration // when a node first applied each committed entry
	committedMembers replica.Members // the newest that are committed
}

func newChecker() *checker {
	return &checker{leaders: map[uint64]replica.NodeID{}, entries: map[logPosition]recordedEntry{}}
}

// checkNode is called after each step of a node: a term has one leader, and a leader has a lease only
// while no later term has a leader.
func (c *checker) checkNode(n *node) {
	c.checkFreshness(n)
	if !n.replica.IsLeader() {
		return
	}
	term := n.replica.Term()
	if c.leaders[term] == 0 {
		c.leaders[term] = n.id
		c.newestTerm = max(c.newestTerm, term)
		n.simulation.counts.leaders++
		c.checkLeases(n.simulation)
		n.simulation.isolateNewLeader(n)
	}
	if c.leaders[term] != n.id {
		n.simulation.Fail("nodes %d and %d both lead term %d", c.leaders[term], n.id, term)
	}
	c.checkLease(n)
}

// clockRounding allows for the rounding when a node's clock is converted to the simulation's time.
const clockRounding = time.Microsecond

// checkFreshness checks that a node has everything that any node had applied before the moment as of which
// its replica calls its state fresh.
func (c *checker) checkFreshness(n *node) {
	at := n.replica.FreshAsOf(n.clock(), n.machine.index)
	if at < -time.Hour {
		return // nothing is proven
	}
	proven := n.simulationTime(at) - clockRounding
	there := sort.Search(len(c.appliedAt), func(i int) bool { return c.appliedAt[i] > proven })
	if uint64(there) > n.machine.index {
		n.simulation.Fail("node %d claims to be as fresh as %v with %d entries applied, but %d were applied by then", n.id, proven, n.machine.index, there)
	}
	if n.simulation.Now-proven < 4*simulatedTiming.HeartbeatInterval && !n.replica.IsLeader() {
		n.simulation.counts.provenFresh++
	}
}

func (c *checker) checkLeases(s *simulation) {
	for _, n := range s.running() {
		if !n.frozen && n.replica.IsLeader() {
			c.checkLease(n)
		}
	}
}

func (c *checker) checkLease(n *node) {
	if n.replica.Term() < c.newestTerm && n.replica.HasLease(n.clock()) {
		n.simulation.Fail("node %d holds a lease in term %d, while term %d has a leader", n.id, n.replica.Term(), c.newestTerm)
	}
}

// checkWritten checks that entries of one index and term are the same on all nodes and follow the same entry.
func (c *checker) checkWritten(n *node, ready replica.Ready) {
	if len(ready.Entries) == 0 {
		return
	}
	before := n.termBefore(ready)
	for _, entry := range ready.Entries {
		at := logPosition{entry.Index, entry.Term}
		known, ok := c.entries[at]
		if !ok {
			c.entries[at] = recordedEntry{entry, before}
		} else if known.previousTerm != before || !sameEntry(known.entry, entry) {
			n.simulation.Fail("node %d has a different entry %d of term %d than other nodes", n.id, entry.Index, entry.Term)
		}
		before = entry.Term
	}
}

// termBefore returns the term of the entry before those of a Ready.
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

// checkApplied checks that all nodes apply the same entries.
func (c *checker) checkApplied(n *node, entry replica.Entry) {
	if entry.Index <= uint64(len(c.committed)) {
		if !sameEntry(c.committed[entry.Index-1], entry) {
			n.simulation.Fail("node %d applies a different entry %d than was committed", n.id, entry.Index)
		}
		return
	}
	c.committed = append(c.committed, entry)
	c.states = append(c.states, n.machine)
	c.appliedAt = append(c.appliedAt, n.simulation.Now)
	if entry.Kind == replica.Command {
		n.simulation.client.effectAt[decodeOperation(entry.Data).number] = n.simulation.client.timestamp()
	}
	if entry.Kind == replica.MembershipChange {
		members, err := replica.DecodeMembers(entry.Data)
		if err != nil {
			n.simulation.Fail("entry %d: %v", entry.Index, err)
		}
		c.committedMembers = members
		n.simulation.counts.changes++
	}
}

// checkRestored checks that a snapshot holds the state that the committed entries lead to.
func (c *checker) checkRestored(n *node) {
	index := n.machine.index
	n.simulation.counts.snapshots++
	if index > uint64(len(c.states)) || c.states[index-1] != n.machine {
		n.simulation.Fail("node %d restores a snapshot at %d that is not the group's state there", n.id, index)
	}
}
