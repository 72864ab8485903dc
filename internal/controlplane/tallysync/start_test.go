package tallysync

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/tallies"
)

// restartGap is the time between two starts after all nodes were killed, and restartBound the time in
// which a node that was restarted inside a cut must take adds: recoveryS of the deployments.
const (
	restartGap   = 1700 * time.Millisecond
	restartBound = 15 * time.Second
)

// killAll stops all nodes and returns their disks.
func (c *cluster) killAll() []*testDisk {
	disks := make([]*testDisk, len(c.known))
	for i := range disks {
		disks[i] = c.node(i).disk
	}
	c.stopAll()
	return disks
}

// assertNotUnderReplicated adds on a node, and checks that the add is not acknowledged with too few copies.
func (c *cluster) assertNotUnderReplicated(i int, tally, member string) {
	c.t.Helper()
	if err := c.node(i).Add(c.t.Context(), tally, member, 1); err == nil {
		copies := c.copiesOf(tally, member)
		assert.Assert(c.t, copies > c.losses, "acknowledged with %d copies though nothing is cut", copies)
	}
}

// Nodes that start far apart after all were killed must not take those that are still to start for cut off.
func TestAddIsNotLostBecauseNodesStartFarApart(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		disks := c.killAll()
		for i, disk := range disks {
			c.start(i, disk)
			time.Sleep(restartGap)
			for j := range i + 1 {
				c.assertNotUnderReplicated(j, "t", fmt.Sprintf("m%d-%d", i, j))
			}
		}
		c.add(0, "t", "last", 1)
	})
}

// The node that started first loses its disk just when the others are up: what it acknowledged must stay.
func TestAcknowledgedAddSurvivesTheDiskOfTheFirstNodeToStart(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		disks := c.killAll()
		c.start(0, disks[0])
		time.Sleep(2 * time.Second)
		want := int64(0)
		if c.node(0).Add(t.Context(), "t", "m", 1) == nil {
			want = 1
		}
		c.stop(c.node(0))
		c.start(0, &testDisk{origin: tallies.Origin(900)})
		for i := 1; i < len(disks); i++ {
			c.start(i, disks[i])
		}
		time.Sleep(testMerge)
		c.assertTotals("t", want)
	})
}

// A node that lost touch must go on at once behind a cut, and one that was restarted inside it soon.
func TestNodesOfACutOffZoneTakeAddsAlsoAfterARestart(t *testing.T) {
	runCluster(t, 2, []string{"a", "a", "b", "b", "c", "c", "d", "d"}, func(t *testing.T, c *cluster) {
		c.split(2)
		disk := c.node(0).disk
		c.stop(c.node(0))
		c.start(0, disk)
		assert.NilError(t, c.node(1).Add(t.Context(), "t", "in touch before", 1))
		started := time.Now()
		for c.node(0).Add(t.Context(), "t", "restarted", 1) != nil {
			assert.Assert(t, time.Since(started) < restartBound, "no add after %v", time.Since(started))
			time.Sleep(maxInterval)
		}
		t.Logf("adds were taken %v after the restart inside the cut", time.Since(started))
		c.heal()
		time.Sleep(testMerge)
		c.assertTotals("t", 2)
	})
}

// A node that knows only some of the others must not conclude that it holds what was acknowledged.
func TestNodeThatKnowsFewOthersWaitsForTheirAnswer(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.add(1, "t", "m", 5)
		disk := c.node(0).disk
		c.stop(c.node(0))
		c.split(1)
		c.setKnownTo(0, 3)
		n := c.start(0, disk)
		time.Sleep(2 * maxInterval)
		_, err := n.Total("t")
		assert.ErrorIs(t, err, ErrNotReady)
		assert.ErrorIs(t, n.Add(t.Context(), "t", "alone", 1), ErrNotReady)
		c.setKnownTo(0, len(c.known))
		c.heal()
		time.Sleep(testMerge)
		c.assertTotals("t", 5)
	})
}

// Nodes of a build without tallies answer, so they are not cut off: adds must not be acknowledged without copies.
func TestNodesOfAnEarlierBuildAreNotTakenForCutOff(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		disks := c.killAll()
		c.setEarlier(2, 3, 4)
		c.start(0, disks[0])
		c.start(1, disks[1])
		for range 8 {
			time.Sleep(restartGap)
			c.assertNotUnderReplicated(0, "t", "m")
		}
		c.setEarlier()
		for i := 2; i < len(disks); i++ {
			c.start(i, disks[i])
		}
		time.Sleep(testMerge)
		c.add(0, "t", "m", 1)
		c.assertNotUnderReplicated(0, "t", "n")
	})
}

// setKnownTo sets how many members a node knows.
func (c *cluster) setKnownTo(i, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knownTo[name(i)] = count
}

// setEarlier sets which nodes run a build without tallies.
func (c *cluster) setEarlier(nodes ...int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.earlier)
	for _, i := range nodes {
		c.earlier[name(i)] = true
	}
}
