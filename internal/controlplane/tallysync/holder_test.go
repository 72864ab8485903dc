package tallysync

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/protocol"
)

// testCopies is a disk for copies in memory.
type testCopies struct {
	mu      sync.Mutex
	entries []tallies.Entry
	full    bool
}

func (d *testCopies) Load(add func(tallies.Entry)) error {
	for _, entry := range d.entries {
		add(entry)
	}
	return nil
}

func (d *testCopies) Add(entries []tallies.Entry) error {
	time.Sleep(testSync)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.full {
		return &store.FullError{Cause: errors.New("full")}
	}
	d.entries = append(d.entries, entries...)
	return nil
}

func (d *testCopies) Remove(entries []tallies.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = slices.DeleteFunc(d.entries, func(e tallies.Entry) bool { return slices.Contains(entries, e) })
	return nil
}

func (d *testCopies) holds(tally, member string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.entries, func(e tallies.Entry) bool { return e.Tally == tally && e.Member == member })
}

// storageMachine is a storage machine with its process.
type storageMachine struct {
	address string
	cluster *cluster
	disk    *testCopies
	cancel  context.CancelFunc
	ended   chan error
}

// addStorage adds a storage machine in a zone and starts it.
func (c *cluster) addStorage(zone string) *storageMachine {
	m := &storageMachine{address: fmt.Sprint("s", len(c.storage)), cluster: c, disk: &testCopies{}}
	c.storage = append(c.storage, protocol.Node{ID: replica.NodeID(100 + len(c.storage)), Name: m.address, Class: protocol.Storage, Address: m.address, Zone: zone})
	m.start()
	return m
}

// start starts the machine's process.
func (m *storageMachine) start() {
	h, err := NewHolder(HolderOptions{Store: m.disk, Transport: m, Members: m.cluster.members})
	assert.NilError(m.cluster.t, err)
	ctx, cancel := context.WithCancel(m.cluster.t.Context())
	m.cancel, m.ended = cancel, make(chan error, 1)
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.cluster.holders[m.address] = h
	go func() { m.ended <- h.Run(ctx) }()
}

// kill ends the machine's process.
func (m *storageMachine) kill() {
	m.cluster.mu.Lock()
	running := m.cluster.holders[m.address] != nil
	delete(m.cluster.holders, m.address)
	m.cluster.mu.Unlock()
	if running {
		m.cancel()
		assert.NilError(m.cluster.t, <-m.ended)
	}
}

// Hold implements Transport.
func (n *testNode) Hold(ctx context.Context, address string, args *HoldArgs, reply *HoldReply) error {
	if _, err := n.cluster.travel(ctx, n.self.Address, address); err != nil {
		return err
	}
	n.cluster.mu.Lock()
	h := n.cluster.holders[address]
	n.cluster.mu.Unlock()
	if h == nil {
		return errors.New("connection refused")
	}
	var received HoldArgs
	transcode(n.cluster.t, args, &received)
	if err := h.Service().Hold(&received, reply); err != nil {
		return err
	}
	_, err := n.cluster.travel(ctx, address, n.self.Address)
	return err
}

// Adopt implements HolderTransport.
func (m *storageMachine) Adopt(ctx context.Context, address string, args *AdoptArgs, reply *AdoptReply) error {
	target, err := m.cluster.deliver(ctx, m.address, address)
	if err != nil {
		return err
	}
	return target.Service().Adopt(args, reply)
}

// runWithStorage is runCluster with five zones, two tolerated losses and a storage machine in each zone.
func runWithStorage(t *testing.T, test func(*testing.T, *cluster, []*storageMachine)) {
	t.Helper()
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		var machines []*storageMachine
		for _, zone := range fiveZones {
			machines = append(machines, c.addStorage(zone))
		}
		defer func() {
			for _, m := range machines {
				m.kill()
			}
		}()
		time.Sleep(time.Second)
		test(t, c, machines)
	})
}

// disksOf returns on how many disks of either class an id is synced.
func (c *cluster) disksOf(machines []*storageMachine, member string) int {
	disks := c.copiesOf("t", member)
	for _, m := range machines {
		if m.disk.holds("t", member) {
			disks++
		}
	}
	return disks
}

// Guards against an acknowledged add that is lost with the last core node's disk after others lost their power.
func TestAddOutlivesLossesOfCoreNodesBeyondTheTolerance(t *testing.T) {
	for _, test := range []struct {
		lost      int
		pause     time.Duration // between two losses
		lostDisks int           // of those that are left, after the add
	}{{3, 0, 1}, {3, 0, 2}, {4, 0, 1}, {4, time.Second, 1}, {4, 50 * time.Millisecond, 1}, {4, 0, 0}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			runWithStorage(t, func(t *testing.T, c *cluster, machines []*storageMachine) {
				disks := make([]*testDisk, 5)
				for i := range disks {
					disks[i] = c.node(i).disk
				}
				for i := range test.lost {
					c.stop(c.node(i))
					time.Sleep(test.pause)
				}
				c.add(4, "t", "m", 3)
				assert.Assert(t, c.disksOf(machines, "m") >= 3)
				for i := test.lost; i < 5; i++ {
					c.stop(c.node(i))
				}
				for i := range test.lostDisks {
					disks[4-i] = &testDisk{origin: tallies.Origin(900 + i)}
				}
				for i, disk := range disks {
					c.start(i, disk)
				}
				time.Sleep(testMerge)
				c.assertTotals("t", 3)
				for _, m := range machines {
					assert.Assert(t, !m.disk.holds("t", "m"), "copies stay after core nodes have the add")
				}
			})
		})
	}
}

// Guards against sides of a cut that stop counting, or count on fewer disks than they reach.
func TestAddsBehindACutAreOnAllDisksThatCanBeReached(t *testing.T) {
	for _, test := range []struct {
		name   string
		cutOff func(address, other string) bool // whether links of the first with the other are cut
		wanted int
	}{
		{"the core is cut, storage reaches both sides", func(address, other string) bool { return address == "n0" && other[0] == 'n' }, 3},
		{"a zone is cut off with all in it", func(address, other string) bool { return address[1] == '0' && other[1] != '0' }, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithStorage(t, func(t *testing.T, c *cluster, machines []*storageMachine) {
				c.setCut(func(from, to string) bool { return test.cutOff(from, to) || test.cutOff(to, from) })
				for i := range 10 {
					member := fmt.Sprint("m", i)
					c.add(i%5, "t", member, 1)
					assert.Assert(t, c.disksOf(machines, member) >= test.wanted, "%s", member)
				}
				c.heal()
				time.Sleep(testMerge)
				c.assertTotals("t", 10)
			})
		})
	}
}

// Guards against a node that takes the silence of machines without power for a cut.
func TestNodeBesideTooFewDisksRefusesAdds(t *testing.T) {
	for _, test := range []struct {
		name    string
		running []int // storage machines
		calls   bool  // an edge of another zone calls
	}{
		{name: "nobody else runs"},
		{name: "a storage machine of another zone runs", running: []int{3}},
		{name: "one of the own zone runs, and an edge of another zone", running: []int{4}, calls: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWithStorage(t, func(t *testing.T, c *cluster, machines []*storageMachine) {
				disk := c.node(4).disk
				for i := range 5 {
					c.stop(c.node(i))
				}
				start := func() { c.start(4, disk).ObserveCallers(func(time.Duration) bool { return test.calls }) }
				c.start(3, &testDisk{origin: 903})
				c.start(2, &testDisk{origin: 902})
				start()
				time.Sleep(testMerge)
				c.stop(c.node(2))
				c.stop(c.node(3))
				for i, m := range machines {
					if !slices.Contains(test.running, i) {
						m.kill()
					}
				}
				time.Sleep(time.Second)
				assert.ErrorIs(t, c.node(4).Add(t.Context(), "t", "m", 1), ErrNotReady, "after the others were lost")
				c.stop(c.node(4))
				start()
				time.Sleep(3 * startPatience * testMerge)
				assert.ErrorIs(t, c.node(4).Add(t.Context(), "t", "m", 1), ErrNotReady, "started alone")
				assert.Equal(t, c.disksOf(machines, "m"), 0)
			})
		})
	}
}

// Guards against totals that a started node shows without an add of which only storage machines hold copies.
func TestStartedNodeShowsAddsThatStorageMachinesHold(t *testing.T) {
	runWithStorage(t, func(t *testing.T, c *cluster, machines []*storageMachine) {
		for _, m := range machines {
			m.kill()
			m.disk.entries = []tallies.Entry{{Tally: "t", Member: "m", Amount: 2}, {Tally: "t", Member: "twice", Amount: 4}, {Tally: "t", Member: "twice", Amount: 3}}
			m.start()
		}
		disk := c.node(0).disk
		c.stop(c.node(0))
		n := c.start(0, disk)
		for {
			if total, err := n.Total("t"); err == nil {
				assert.Equal(t, total, int64(5))
				break
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(testMerge)
		c.assertTotals("t", 5)
	})
}

// Guards against copies that are counted although a full disk refused them, and that a restart loses.
func TestCopiesOnFullDisksDoNotCount(t *testing.T) {
	runWithStorage(t, func(t *testing.T, c *cluster, machines []*storageMachine) {
		for _, m := range machines {
			m.disk.full = true
		}
		for i := range 4 {
			c.stop(c.node(i))
		}
		assert.Assert(t, c.node(4).Add(t.Context(), "t", "m", 1) != nil)
		for _, m := range machines[1:3] {
			m.kill()
			m.disk.full = false
			m.start()
		}
		time.Sleep(time.Second)
		c.add(4, "t", "m", 1)
		assert.Equal(t, c.disksOf(machines, "m"), 3)
	})
}
