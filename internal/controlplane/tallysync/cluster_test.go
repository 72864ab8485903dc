package tallysync

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

// Times of the emulated machines, in virtual time.
const (
	testLatency = time.Millisecond
	testSync    = 2 * time.Millisecond
	testMerge   = DefaultMergeBound
)

// testDisk is a disk in memory.
type testDisk struct {
	mu     sync.Mutex
	origin tallies.Origin
	runs   []tallies.Run
	full   bool
	// complete is what SetComplete recorded.
	complete bool
	stall    time.Duration // added to each write
}

func (d *testDisk) Origin() tallies.Origin { return d.origin }

func (d *testDisk) Complete() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.complete
}

func (d *testDisk) SetComplete() error {
	d.mu.Lock()
	stall := d.stall
	d.mu.Unlock()
	time.Sleep(testSync + stall)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.complete = true
	return nil
}

func (d *testDisk) Load(add func(tallies.Run) error) error {
	for _, run := range d.runs {
		if err := add(run); err != nil {
			return err
		}
	}
	return nil
}

func (d *testDisk) Append(runs []tallies.Run) error {
	d.mu.Lock()
	stall := d.stall
	d.mu.Unlock()
	time.Sleep(testSync + stall)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return &store.FullError{Cause: errors.New("full")}
	}
	d.runs = append(d.runs, runs...)
	return nil
}

// holds reports whether the disk has synced an id of a tally.
func (d *testDisk) holds(tally, member string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, run := range d.runs {
		if slices.ContainsFunc(run.Entries, func(e tallies.Entry) bool { return e.Tally == tally && e.Member == member }) {
			return true
		}
	}
	return false
}

// cluster is a set of nodes in one bubble of virtual time.
type cluster struct {
	t      *testing.T
	losses int

	mu    sync.Mutex
	nodes map[string]*testNode // by address
	known []protocol.Node
	// storage are the known storage machines, holders those of them whose process runs, by address.
	storage []protocol.Node
	holders map[string]*Holder
	cut     func(from, to string) bool // whether packets from one address to another are lost
	stall   map[string]chan struct{}   // nodes whose process stands still
	// knownTo is how many members a node knows if not all, and earlier tells nodes of a build without tallies.
	knownTo map[string]int
	earlier map[string]bool
}

// testNode is one process with its disk.
type testNode struct {
	*Node
	cluster *cluster
	self    protocol.Node
	disk    *testDisk
	cancel  context.CancelFunc
	ended   chan error
}

// runCluster runs a test with one node in each of the zones given.
func runCluster(t *testing.T, losses int, zones []string, test func(*testing.T, *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, losses: losses, nodes: map[string]*testNode{}, holders: map[string]*Holder{}, stall: map[string]chan struct{}{}, knownTo: map[string]int{}, earlier: map[string]bool{}, cut: func(string, string) bool { return false }}
		for i, zone := range zones {
			c.known = append(c.known, protocol.Node{ID: replica.NodeID(i + 1), Name: name(i), Class: protocol.Core, Address: name(i), Zone: zone})
		}
		for i := range zones {
			c.start(i, &testDisk{origin: tallies.Origin(100 + i)})
		}
		defer c.stopAll()
		time.Sleep(time.Second)
		test(t, c)
	})
}

func name(i int) string { return fmt.Sprint("n", i) }

// start starts the process of a machine with a disk.
func (c *cluster) start(i int, disk *testDisk) *testNode {
	n := &testNode{cluster: c, self: c.known[i], disk: disk, ended: make(chan error, 1)}
	var err error
	n.Node, err = New(Options{Self: n.self, ToleratedLosses: c.losses, Store: disk, Transport: n, Members: n.members, MergeBound: testMerge})
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	c.mu.Lock()
	c.nodes[n.self.Address] = n
	c.mu.Unlock()
	go func() { n.ended <- n.Run(ctx) }()
	return n
}

// stop ends a process.
func (c *cluster) stop(n *testNode) {
	n.cancel()
	assert.NilError(c.t, <-n.ended)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, n.self.Address)
}

func (c *cluster) stopAll() {
	for i := range c.known {
		if n := c.node(i); n != nil {
			c.stop(n)
		}
	}
}

func (c *cluster) node(i int) *testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name(i)]
}

// members returns the known nodes, once the process does not stand still.
func (n *testNode) members() []protocol.Node {
	n.cluster.mu.Lock()
	stall := n.cluster.stall[n.self.Address]
	count, limited := n.cluster.knownTo[n.self.Address]
	n.cluster.mu.Unlock()
	if stall != nil {
		<-stall
	}
	if limited {
		return n.cluster.known[:count]
	}
	return n.cluster.members()
}

// members returns all machines.
func (c *cluster) members() []protocol.Node { return slices.Concat(c.known, c.storage) }

// setCut decides which packets are lost from now on.
func (c *cluster) setCut(cut func(from, to string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
}

func (c *cluster) heal() { c.setCut(func(string, string) bool { return false }) }

// split cuts the nodes below an index off from the others.
func (c *cluster) split(index int) {
	left := func(address string) bool { return address < name(index) }
	c.setCut(func(from, to string) bool { return left(from) != left(to) })
}

// deliver returns the node at an address once a packet has arrived there. Each node is further away
// than the one before, so that copies come one after another.
func (c *cluster) deliver(ctx context.Context, from, to string) (*testNode, error) {
	target, err := c.travel(ctx, from, to)
	if err == nil && target == nil {
		err = errors.New("connection refused")
	}
	return target, err
}

// travel lets a packet arrive at an address. It returns the core node there, or nil if there is none.
func (c *cluster) travel(ctx context.Context, from, to string) (*testNode, error) {
	time.Sleep(testLatency * time.Duration(1+slices.IndexFunc(c.members(), func(n protocol.Node) bool { return n.Address == to })))
	c.mu.Lock()
	target, lost, earlier := c.nodes[to], c.cut(from, to), c.earlier[to]
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if earlier {
		return nil, &rpc.RemoteError{Address: to, Text: "no such service"}
	}
	return target, ctx.Err()
}

// Exchange implements Transport, with the messages encoded as they are between processes.
func (n *testNode) Exchange(ctx context.Context, address string, args *ExchangeArgs, reply *ExchangeReply) error {
	var received ExchangeArgs
	transcode(n.cluster.t, args, &received)
	target, err := n.cluster.deliver(ctx, n.self.Address, address)
	if err != nil {
		return err
	}
	var answer ExchangeReply
	if err := target.Service().Exchange(&received, &answer); err != nil {
		return err
	}
	encoded := new(ExchangeReply)
	transcode(n.cluster.t, &answer, encoded)
	if _, err := n.cluster.deliver(ctx, address, n.self.Address); err != nil {
		return err
	}
	*reply = *encoded
	return nil
}

// transcode copies a message by encoding it.
func transcode(t *testing.T, from, to any) {
	var buffer bytes.Buffer
	assert.Check(t, gob.NewEncoder(&buffer).Encode(from))
	assert.Check(t, gob.NewDecoder(&buffer).Decode(to))
}

// copiesOf returns on how many disks an id is synced.
func (c *cluster) copiesOf(tally, member string) int {
	copies := 0
	for i := range c.known {
		if n := c.node(i); n != nil && n.disk.holds(tally, member) {
			copies++
		}
	}
	return copies
}

// assertTotal checks a total on a node.
func (c *cluster) assertTotal(i int, tally string, want int64) {
	c.t.Helper()
	total, err := c.node(i).Total(tally)
	assert.NilError(c.t, err)
	assert.Equal(c.t, total, want, "node %d", i)
}

// assertTotals checks a total on all nodes.
func (c *cluster) assertTotals(tally string, want int64) {
	c.t.Helper()
	for i := range c.known {
		c.assertTotal(i, tally, want)
	}
}

// add adds on a node and repeats it as a caller does.
func (c *cluster) add(i int, tally, member string, amount int64) {
	c.t.Helper()
	for range 5 {
		err := c.node(i).Add(c.t.Context(), tally, member, amount)
		if err == nil {
			return
		}
		assert.Assert(c.t, errors.Is(err, ErrUncertain) || errors.Is(err, ErrNotReady), "%v", err)
		time.Sleep(100 * time.Millisecond)
	}
	c.t.Fatalf("node %d did not take %s", i, member)
}
