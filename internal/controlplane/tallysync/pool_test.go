package tallysync

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

// pollInterval and pollTimeout are for waits on real processes' parts.
const (
	pollInterval = time.Millisecond
	pollTimeout  = 2 * time.Minute
)

// realNodes are nodes with disks and connections of their own.
type realNodes struct {
	t       testing.TB
	losses  int
	members []protocol.Node
	bytes   atomic.Int64 // on all connections, in both directions
}

// dial returns a connection whose bytes are counted.
func (r *realNodes) dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, network, address)
	return &countingConn{Conn: socket, bytes: &r.bytes}, err
}

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// start starts a node over a store. It knows the members that are there when it asks.
func (r *realNodes) start(disk Store) *Node {
	l, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(r.t, err)
	self := protocol.Node{ID: replica.NodeID(len(r.members) + 1), Class: protocol.Core, Address: l.Addr().String(), Zone: fmt.Sprint(len(r.members))}
	r.members = append(r.members, self)
	transport := &PoolTransport{pool: rpc.NewPool(rpc.Options{Dial: r.dial})}
	n, err := New(Options{Self: self, ToleratedLosses: r.losses, Store: disk, Transport: transport, Members: func() []protocol.Node { return r.members }})
	assert.NilError(r.t, err)
	server, err := rpc.NewServer(map[string]any{ServiceName: n.Service()})
	assert.NilError(r.t, err)
	go server.Serve(l)
	r.t.Cleanup(transport.Close)
	r.t.Cleanup(func() { server.Close() })
	return n
}

// run runs nodes until the test ends.
func (r *realNodes) run(nodes ...*Node) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(nodes))
	for _, n := range nodes {
		go func() { ended <- n.Run(ctx) }()
	}
	r.t.Cleanup(func() {
		cancel()
		for range nodes {
			assert.Check(r.t, <-ended)
		}
	})
}

func newDisk(t testing.TB) *store.Tallies {
	disk, err := store.OpenTallies(t.TempDir())
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, disk.Close()) })
	return disk
}

// fill writes a number of adds to a disk, with ids that begin with a prefix.
func fill(t testing.TB, disk *store.Tallies, prefix string, count int) {
	run := tallies.Run{Origin: disk.Origin(), First: 1}
	for i := range count {
		run.Entries = append(run.Entries, tallies.Entry{Tally: fmt.Sprint("t", i%16), Member: fmt.Sprintf("%s%012x", prefix, i), Amount: 1})
	}
	assert.NilError(t, disk.Append([]tallies.Run{run}))
}

// awaitEntries waits until nodes hold a number of entries.
func awaitEntries(t testing.TB, count int, nodes ...*Node) {
	deadline := time.Now().Add(pollTimeout)
	for _, n := range nodes {
		for n.Status().Entries < count || !n.Status().Ready {
			assert.Assert(t, time.Now().Before(deadline), "%+v", n.Status())
			time.Sleep(pollInterval)
		}
	}
}

// addRepeatedly adds as a caller does, who repeats an add while the disks are slow.
func addRepeatedly(t *testing.T, n *Node, tally, member string, amount int64) {
	t.Helper()
	for deadline := time.Now().Add(pollTimeout); ; {
		err := n.Add(t.Context(), tally, member, amount)
		if err == nil {
			return
		}
		assert.Assert(t, errors.Is(err, ErrUncertain) || errors.Is(err, ErrNotReady), "%v", err)
		assert.Assert(t, time.Now().Before(deadline), "%v", err)
		time.Sleep(pollInterval)
	}
}

// What the exchange says must pass through the real connections and disks.
func TestAddsAreNotLostOverConnectionsAndDisks(t *testing.T) {
	r := &realNodes{t: t, losses: 1}
	old := newDisk(t)
	fill(t, old, "m", 5000)
	nodes := []*Node{r.start(old), r.start(newDisk(t)), r.start(newDisk(t))}
	r.run(nodes...)
	awaitEntries(t, 5000, nodes...)
	for i, n := range nodes {
		addRepeatedly(t, n, "t0", fmt.Sprint("new", i), 10)
		total, err := n.Total("t0")
		assert.NilError(t, err)
		assert.Assert(t, total >= 313+10, "%d", total)
	}
	awaitEntries(t, 5003, nodes...)
	for _, n := range nodes {
		total, err := n.Total("t0")
		assert.NilError(t, err)
		assert.Equal(t, total, int64(313+30))
	}
}
