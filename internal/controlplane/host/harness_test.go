package host

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
)

const testGroup = replica.GroupID("group")

var testTiming = replica.Timing{
	HeartbeatInterval: 10 * time.Millisecond,
	ElectionTimeout:   100 * time.Millisecond,
	ElectionJitter:    50 * time.Millisecond,
	LeaseDuration:     80 * time.Millisecond,
	LostAfter:         time.Second,
}

// commandLog is a state machine that stores all commands.
type commandLog struct {
	commands    [][]byte
	beforeApply func(command []byte) // called before each Apply; may be nil
}

func (l *commandLog) Apply(command []byte) []byte {
	if l.beforeApply != nil {
		l.beforeApply(command)
	}
	l.commands = append(l.commands, command)
	return []byte(fmt.Sprint(len(l.commands)))
}

func (l *commandLog) Snapshot() []byte { return bytes.Join(l.commands, []byte("\n")) }

func (l *commandLog) Restore(state []byte) error {
	if bytes.Equal(state, []byte("refused")) {
		return fmt.Errorf("the state is rejected")
	}
	l.commands = nil
	if len(state) > 0 {
		l.commands = bytes.Split(state, []byte("\n"))
	}
	return nil
}

func (l *commandLog) text() string { return string(bytes.Join(l.commands, []byte(" "))) }

// cluster is a set of hosts that are connected by queues and share a clock that tests advance.
type cluster struct {
	t                 testing.TB
	now               time.Duration
	nodes             map[replica.NodeID]*node
	order             []replica.NodeID
	seed              uint64
	isolated          map[replica.NodeID]bool // nodes that neither send nor receive messages
	sendCalls         int                     // number of Send calls
	compactAfterBytes int                     // Options.CompactAfterBytes
	// members are the initial members of the groups
	members replica.Members
}

// node is a process with a disk.
type node struct {
	*Host
	cluster   *cluster
	id        replica.NodeID
	disk      *store.Memory
	machines  map[replica.GroupID]*commandLog
	inbox     []replica.Message
	onReceive func([]replica.Message) // called for received messages; may be nil
}

// Send implements Transport for the sending node.
func (n *node) Send(to replica.NodeID, messages []replica.Message) {
	c := n.cluster
	c.sendCalls++
	if receiver := c.nodes[to]; receiver != nil && !c.isolated[n.id] && !c.isolated[to] {
		receiver.inbox = append(receiver.inbox, messages...)
		if receiver.onReceive != nil {
			receiver.onReceive(messages)
		}
	}
}

func newCluster(t testing.TB, seed uint64, compactAfter int) *cluster {
	return &cluster{t: t, now: time.Hour, nodes: map[replica.NodeID]*node{}, seed: seed, isolated: map[replica.NodeID]bool{}, compactAfterBytes: compactAfter}
}

// startCluster starts count processes on empty disks, each with the given groups.
func startCluster(t testing.TB, seed uint64, compactAfter, count int, groups ...replica.GroupID) *cluster {
	c := newCluster(t, seed, compactAfter)
	for id := range replica.NodeID(count) {
		c.members.Voters = append(c.members.Voters, id+1)
		c.start(id+1, store.NewMemory())
	}
	for _, id := range c.members.Voters {
		for _, group := range groups {
			c.nodes[id].add(group, c.members)
		}
	}
	return c
}

// start starts a process on a disk. The groups on the disk resume.
func (c *cluster) start(id replica.NodeID, disk *store.Memory) *node {
	n := &node{cluster: c, id: id, disk: disk, machines: map[replica.GroupID]*commandLog{}}
	if c.nodes[id] == nil {
		c.order = append(c.order, id)
	}
	c.nodes[id] = n
	c.seed++
	host, err := New(Options{
		Self: id, Timing: testTiming, Store: disk, Transport: n, Seed: c.seed, CompactAfterBytes: c.compactAfterBytes,
		Now: func() time.Duration { return c.now },
		OnUnknownGroup: func(group replica.GroupID) bool {
			n.add(group, replica.Members{})
			return true
		},
	})
	assert.NilError(c.t, err)
	n.Host = host
	for _, group := range host.StoredGroups() {
		n.add(group, replica.Members{})
	}
	return n
}

// restart ends a process like a power loss and starts it again on the durable content of its disk.
func (c *cluster) restart(id replica.NodeID) *node { return c.start(id, c.nodes[id].disk.Reopen()) }

func (n *node) add(group replica.GroupID, members replica.Members) {
	n.machines[group] = &commandLog{}
	assert.NilError(n.cluster.t, n.Add(group, members, nil, n.machines[group]))
}

// deliverAndRun delivers the received messages and runs rounds until there is no work.
func (n *node) deliverAndRun() error {
	inbox := n.inbox
	n.inbox = nil
	n.Deliver(inbox)
	return n.runRounds(context.Background())
}

// runUntil advances the clock in steps of a millisecond until done returns true.
func (c *cluster) runUntil(what string, done func() bool) {
	c.t.Helper()
	for range 3000 {
		for _, id := range c.order {
			assert.NilError(c.t, c.nodes[id].deliverAndRun())
		}
		if done() {
			return
		}
		c.now += time.Millisecond
	}
	c.t.Fatalf("timed out waiting for: %s", what)
}

// awaitLeader waits for a leader, among the nodes that are not isolated, that has committed an
// entry of its term.
func (c *cluster) awaitLeader(group replica.GroupID) *node {
	c.t.Helper()
	var leader *node
	c.runUntil("a leader", func() bool {
		leader = c.leader(group)
		return leader != nil
	})
	return leader
}

func (c *cluster) leader(group replica.GroupID) *node {
	for _, id := range c.order {
		if status, err := c.nodes[id].Status(group); err == nil && status.LeaderReady && !c.isolated[id] {
			return c.nodes[id]
		}
	}
	return nil
}

// proposeAsync proposes a command without waiting for its outcome.
func (n *node) proposeAsync(id replica.GroupID, command string) (*waiter, error) {
	_, _, w, err := n.startProposal(id, func(g *group) (uint64, uint64, error) {
		return g.replica.Propose(n.options.Now(), []byte(command))
	})
	return w, err
}

// receivedOutcome returns the outcome that a waiter has received, and nil if there is none yet.
func receivedOutcome(w *waiter) *outcome {
	select {
	case o := <-w.done:
		return &o
	default:
		return nil
	}
}

// propose proposes a command to a node and waits for the result.
func (c *cluster) propose(n *node, command string) string {
	c.t.Helper()
	w, err := n.proposeAsync(testGroup, command)
	assert.NilError(c.t, err)
	var o *outcome
	c.runUntil("the outcome of the proposal", func() bool {
		o = receivedOutcome(w)
		return o != nil
	})
	assert.NilError(c.t, o.err)
	return string(o.result)
}

// changeMembers changes the members and waits until the change is committed.
func (c *cluster) changeMembers(n *node, members replica.Members) {
	c.t.Helper()
	_, _, w, err := n.startProposal(testGroup, func(g *group) (uint64, uint64, error) {
		return g.replica.ChangeMembers(c.now, members)
	})
	assert.NilError(c.t, err)
	c.runUntil("the membership change", func() bool {
		o := receivedOutcome(w)
		return o != nil && o.err == nil
	})
}

// awaitSameState waits until all state machines have the state of the given node's.
func (c *cluster) awaitSameState(n *node) {
	c.t.Helper()
	c.runUntil("the same state on all nodes", func() bool {
		for _, id := range c.order {
			if other := c.nodes[id].machines[testGroup]; other == nil || other.text() != n.machines[testGroup].text() {
				return false
			}
		}
		return true
	})
}
