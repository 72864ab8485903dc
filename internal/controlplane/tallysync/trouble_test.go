package tallysync

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Nodes that answer but cannot write are not behind a cut, so their copies must be waited for.
func TestAddIsNotAcknowledgedWithFewCopiesBecauseOtherDisksDoNotWrite(t *testing.T) {
	troubles := map[string]func(disk *testDisk, on bool){
		"full": (*testDisk).setFull,
		"stalled": func(disk *testDisk, on bool) {
			disk.setStall(0)
			if on {
				disk.setStall(2 * time.Second)
			}
		},
	}
	for trouble, set := range troubles {
		t.Run(trouble, func(t *testing.T) {
			runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
				c.eachDisk(2, func(disk *testDisk) { set(disk, true) })
				for i := range 3 {
					member := fmt.Sprint("m", i%2)
					err := c.node(0).Add(t.Context(), "t", member, 1)
					if err == nil {
						assert.Assert(t, c.copiesOf("t", member) >= 3, "acknowledged with %d copies", c.copiesOf("t", member))
						continue
					}
					assert.ErrorIs(t, err, ErrUncertain)
				}
				c.eachDisk(2, func(disk *testDisk) { set(disk, false) })
				time.Sleep(5 * time.Second)
				c.add(0, "t", "m0", 1)
				c.add(0, "t", "m1", 1)
				time.Sleep(testMerge)
				c.assertTotals("t", 2)
			})
		})
	}
}

// Behind a cut, a node must not wait for the disk of the only other node if that one is full.
func TestNodeBehindACutDoesNotWaitForAFullDisk(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.split(2)
		c.node(1).disk.setFull(true)
		c.add(0, "t", "m", 1)
		c.add(0, "t", "n", 1)
		assert.Equal(t, c.copiesOf("t", "n"), 1)
		c.node(1).disk.setFull(false)
		time.Sleep(testMerge)
		c.add(0, "t", "o", 1)
		assert.Equal(t, c.copiesOf("t", "o"), 2)
		c.heal()
		time.Sleep(testMerge)
		c.assertTotals("t", 3)
	})
}

// A node that comes back with an empty disk at the same address must not count as a holder of what it
// held before, even while there is something to push to it.
func TestEmptiedDiskDoesNotCountAsACopy(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		for i := range 20 {
			c.add(0, "t", fmt.Sprint("m", i), 1)
		}
		time.Sleep(testMerge)
		c.stop(c.node(4))
		c.add(0, "t", "meanwhile", 1)
		emptied := &testDisk{origin: 200}
		emptied.setFull(true) // it can fetch nothing
		c.start(4, emptied)
		time.Sleep(time.Second)
		n := c.node(0)
		n.mu.Lock()
		defer n.mu.Unlock()
		held := n.peers[name(4)].vector[n.state.Own()]
		assert.Equal(t, held, uint64(0), "the empty disk counts as a copy of %d entries", held)
	})
}

// eachDisk passes the disks of the nodes from an index on to a function.
func (c *cluster) eachDisk(from int, do func(*testDisk)) {
	for i := from; i < len(c.known); i++ {
		do(c.node(i).disk)
	}
}

func (d *testDisk) setFull(full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.full = full
}

// setStall sets by how much each write is late.
func (d *testDisk) setStall(stall time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stall = stall
}

// The first write of a node with a new disk records that the disk is complete. If it does not end, adds
// must be refused as with any other write, and pushed entries must not pile up.
func TestDiskThatStallsAtItsFirstWriteRefusesAdds(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.stop(c.node(4))
		emptied := &testDisk{origin: 200}
		emptied.setStall(5 * time.Second)
		n := c.start(4, emptied)
		time.Sleep(time.Second)
		assert.Assert(t, n.Status().Ready)
		assert.ErrorIs(t, n.Add(t.Context(), "t", "refused", 1), ErrNotReady)
		for i := range 40 {
			c.add(0, "t", fmt.Sprint("m", i), 1)
			time.Sleep(50 * time.Millisecond)
		}
		n.mu.Lock()
		queued := len(n.changes)
		n.mu.Unlock()
		assert.Assert(t, queued <= len(c.known), "%d changes wait for the disk", queued)
		emptied.setStall(0)
		time.Sleep(10 * time.Second)
		c.assertTotals("t", 40)
	})
}
