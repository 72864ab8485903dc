package host

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/store"
)

const testGroup = replica.GroupID("group")

var testTiming = replica.Timing{
	HeartbeatInterval: 10 * time.Millisecond,
	ElectionTimeout:   100 * time.Millisecond,
	ElectionJitter:    50 * time.Millisecond,
	LeaseDuration:     80 * time.Millisecond,
	LostAfter:         time.Second,
}

// list is a machine that keeps all commands.
type list struct {
	commands [][]byte
	applying func(command []byte) // may be nil
}

func (l *list) Apply(command []byte) []byte {
	if l.applying != nil {
		l.applying(command)
	}
	l.commands = append(l.commands, command)
	return []byte(fmt.Sprint(len(l.commands)))
}

func (l *list) Snapshot() []byte { return bytes.Join(l.commands, []byte("\n")) }

func (l *list) Restore(state []byte) error {
	if bytes.Equal(state, []byte("refused")) {
		return fmt.Errorf("the state is refused")
	}
	l.commands = nil
	if len(state) > 0 {
		l.commands = bytes.Split(state, []byte("\n"))
	}
	return nil
}

func (l *list) text() string { return string(bytes.Join(l.commands, []byte(" "))) }

// cluster is hosts on a clock that tests move, joined by queues.
type cluster struct {
	t     testing.TB
	now   time.Duration
	nodes map[replica.NodeID]*node
	order []replica.NodeID
	seed  uint64
	cut   map[replica.NodeID]bool // no message from or to it
	sends int                     // calls of Send
	after int                     // CompactAfter
	// members are the first ones
	members replica.Members
}

// node is a process and its disk.
type node struct {
	*Host
	cluster  *cluster
	id       replica.NodeID
	disk     *store.Memory
	machines map[replica.GroupID]*list
	inbox    []replica.Message
	heard    func([]replica.Message) // is told of what comes in; may be nil
}

// Send implements Transport for the node that sends.
func (n *node) Send(to replica.NodeID, messages []replica.Message) {
	c := n.cluster
	c.sends++
	if receiver := c.nodes[to]; receiver != nil && !c.cut[n.id] && !c.cut[to] {
		receiver.inbox = append(receiver.inbox, messages...)
		if receiver.heard != nil {
			receiver.heard(messages)
		}
	}
}

func newCluster(t testing.TB, seed uint64, after int) *cluster {
	return &cluster{t: t, now: time.Hour, nodes: map[replica.NodeID]*node{}, seed: seed, cut: map[replica.NodeID]bool{}, after: after}
}

// startNodes starts as many processes on empty disks, with these groups.
func startNodes(t testing.TB, seed uint64, after, count int, groups ...replica.GroupID) *cluster {
	c := newCluster(t, seed, after)
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

// start starts a process on a disk; groups that it holds go on.
func (c *cluster) start(id replica.NodeID, disk *store.Memory) *node {
	n := &node{cluster: c, id: id, disk: disk, machines: map[replica.GroupID]*list{}}
	if c.nodes[id] == nil {
		c.order = append(c.order, id)
	}
	c.nodes[id] = n
	c.seed++
	made, err := New(Options{
		Self: id, Timing: testTiming, Store: disk, Transport: n, Seed: c.seed, CompactAfter: c.after,
		Now: func() time.Duration { return c.now },
		Unknown: func(group replica.GroupID) bool {
			n.add(group, replica.Members{})
			return true
		},
	})
	assert.NilError(c.t, err)
	n.Host = made
	for _, group := range made.Held() {
		n.add(group, replica.Members{})
	}
	return n
}

// restart ends a process as a power loss does and starts it on what its disk has kept.
func (c *cluster) restart(id replica.NodeID) *node { return c.start(id, c.nodes[id].disk.Reopen()) }

func (n *node) add(group replica.GroupID, members replica.Members) {
	n.machines[group] = &list{}
	assert.NilError(n.cluster.t, n.Add(group, members, nil, n.machines[group]))
}

// turn delivers what has come in and carries out rounds.
func (n *node) turn() error {
	inbox := n.inbox
	n.inbox = nil
	n.Deliver(inbox)
	return n.drain(context.Background())
}

// run moves the clock on by steps of a millisecond until done is true.
func (c *cluster) run(what string, done func() bool) {
	c.t.Helper()
	for range 3000 {
		for _, id := range c.order {
			assert.NilError(c.t, c.nodes[id].turn())
		}
		if done() {
			return
		}
		c.now += time.Millisecond
	}
	c.t.Fatalf("did not come about: %s", what)
}

// elect waits for a settled owner among the nodes that aren't cut.
func (c *cluster) elect(group replica.GroupID) *node {
	c.t.Helper()
	var owner *node
	c.run("owner", func() bool {
		owner = c.owner(group)
		return owner != nil
	})
	return owner
}

func (c *cluster) owner(group replica.GroupID) *node {
	for _, id := range c.order {
		if status, err := c.nodes[id].Status(group); err == nil && status.LeaderReady && !c.cut[id] {
			return c.nodes[id]
		}
	}
	return nil
}

// begin proposes without waiting.
func (n *node) begin(id replica.GroupID, command string) (*waiter, error) {
	_, _, w, err := n.enter(id, func(g *group) (uint64, uint64, error) {
		return g.replica.Propose(n.options.Now(), []byte(command))
	})
	return w, err
}

// took gives the outcome that a waiter has, nil for none yet.
func took(w *waiter) *outcome {
	select {
	case o := <-w.done:
		return &o
	default:
		return nil
	}
}

// propose proposes to a node and waits for the result.
func (c *cluster) propose(n *node, command string) string {
	c.t.Helper()
	w, err := n.begin(testGroup, command)
	assert.NilError(c.t, err)
	var o *outcome
	c.run("answer", func() bool {
		o = took(w)
		return o != nil
	})
	assert.NilError(c.t, o.err)
	return string(o.result)
}

// change changes the members and waits until that is committed.
func (c *cluster) change(n *node, members replica.Members) {
	c.t.Helper()
	_, _, w, err := n.enter(testGroup, func(g *group) (uint64, uint64, error) {
		return g.replica.ChangeMembers(c.now, members)
	})
	assert.NilError(c.t, err)
	c.run("change", func() bool {
		o := took(w)
		return o != nil && o.err == nil
	})
}

// alike waits until all machines hold what the node's does.
func (c *cluster) alike(n *node) {
	c.t.Helper()
	c.run("machines alike", func() bool {
		for _, id := range c.order {
			if other := c.nodes[id].machines[testGroup]; other == nil || other.text() != n.machines[testGroup].text() {
				return false
			}
		}
		return true
	})
}
