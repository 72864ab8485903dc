package tallysync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/tallies"
)

var fiveZones = []string{"a", "b", "c", "d", "e"}

// An acknowledged add must be on as many disks as losses are tolerated, and one more.
func TestAddIsNotAcknowledgedBeforeItIsOnEnoughDisks(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		for i := range 10 {
			member := fmt.Sprint("m", i)
			started := time.Now()
			assert.NilError(t, c.node(i%5).Add(t.Context(), "t", member, 3))
			assert.Assert(t, c.copiesOf("t", member) >= 3)
			assert.Assert(t, time.Since(started) < 20*time.Millisecond, "%v", time.Since(started))
		}
		time.Sleep(testMerge)
		c.assertTotals("t", 30)
	})
}

// Two nodes that can still be reached for a while after a cut must not make it look as if it were none.
func TestAddWaitsUntilTheOthersAreKnownToBeUnreachable(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.split(2)
		started := time.Now()
		assert.NilError(t, c.node(0).Add(t.Context(), "t", "m", 1))
		assert.Assert(t, time.Since(started) >= (unreachableTicks-1)*maxInterval, "%v", time.Since(started))
		assert.Equal(t, c.copiesOf("t", "m"), 2)
	})
}

// An add that is written must not be refused as one of which nothing was done.
func TestWrittenAddWithoutCopiesIsNotRefused(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.split(1)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, c.node(0).Add(ctx, "t", "m", 1), ErrUncertain)
		assert.Equal(t, c.copiesOf("t", "m"), 1)
	})
}

// With several nodes to a zone, the loss of one zone must leave a copy.
func TestAddIsNotAcknowledgedWithAllCopiesInOneZone(t *testing.T) {
	runCluster(t, 1, []string{"a", "a", "b"}, func(t *testing.T, c *cluster) {
		c.setCut(func(from, to string) bool { return from == name(2) || to == name(2) })
		done := make(chan error, 1)
		go func() { done <- c.node(0).Add(t.Context(), "t", "m", 1) }()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, c.copiesOf("t", "m"), 2)
		select {
		case err := <-done:
			t.Fatalf("acknowledged in one zone: %v", err)
		default:
		}
		c.heal()
		assert.NilError(t, <-done)
		assert.Equal(t, c.copiesOf("t", "m"), 3)
	})
}

// Both sides of a cut must count, and hold the sum after it.
func TestAddsOfBothSidesOfACutAreNotLostAfterIt(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.split(2)
		for i := range 20 {
			c.add(i%5, "t", fmt.Sprint("m", i), 1)
		}
		time.Sleep(5 * time.Second)
		c.assertTotal(0, "t", 8)
		c.assertTotal(4, "t", 12)
		c.heal()
		time.Sleep(testMerge)
		c.assertTotals("t", 20)
	})
}

// A caller repeats an add on the other side of a cut.
func TestIDOnBothSidesOfACutDoesNotCountTwice(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.split(2)
		c.add(0, "t", "m", 4)
		c.add(3, "t", "m", 4)
		c.heal()
		time.Sleep(testMerge)
		c.assertTotals("t", 4)
		assert.NilError(t, c.node(4).Add(t.Context(), "t", "m", 4))
		c.assertTotals("t", 4)
	})
}

// The amount that counts must not depend on which side's entry a node sees first.
func TestIDWithTwoAmountsDoesNotCountTooHigh(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.split(2)
		c.add(0, "t", "m", 4)
		c.add(3, "t", "m", 7)
		c.heal()
		time.Sleep(testMerge)
		c.assertTotals("t", 4)
		assert.ErrorIs(t, c.node(1).Add(t.Context(), "t", "m", 5), ErrConflict)
		c.assertTotals("t", 4)
	})
}

// A disk that is lost must not take the entries with it, nor may its next life reuse their numbers.
func TestAddsOfALostDiskSurviveAndItsNextLifeDoesNotReplaceThem(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		for i := range 10 {
			c.add(0, "t", fmt.Sprint("m", i), 1)
		}
		c.stop(c.node(0))
		c.start(0, &testDisk{origin: 999})
		time.Sleep(testMerge)
		c.assertTotals("t", 10)
		c.add(0, "t", "after", 1)
		time.Sleep(testMerge)
		c.assertTotals("t", 11)
	})
}

// All losses that are tolerated at once, right after the acknowledgement and with all power lost.
func TestAcknowledgedAddSurvivesThePowerLossWithTwoDisks(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		assert.NilError(t, c.node(0).Add(t.Context(), "t", "m", 1))
		disks := make([]*testDisk, 5)
		for i := range disks {
			disks[i] = c.node(i).disk
		}
		c.stopAll()
		lost := 0
		for i, disk := range disks {
			if disk.holds("t", "m") && lost < 2 {
				lost++
				disk = &testDisk{origin: tallies.Origin(900 + i)}
			}
			c.start(i, disk)
		}
		assert.Equal(t, lost, 2)
		time.Sleep(testMerge)
		c.assertTotals("t", 1)
	})
}

// A process that stood still has heard from nobody, and must not take that for a cut.
func TestProcessThatStoodStillDoesNotAcknowledgeAlone(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		stall := make(chan struct{})
		c.mu.Lock()
		c.stall[name(0)] = stall
		c.mu.Unlock()
		c.setCut(func(from, to string) bool { return from == name(0) || to == name(0) })
		time.Sleep(20 * time.Second)
		c.mu.Lock()
		delete(c.stall, name(0))
		c.mu.Unlock()
		close(stall)
		done := make(chan error, 1)
		go func() { done <- c.node(0).Add(t.Context(), "t", "m", 1) }()
		time.Sleep(2 * maxInterval)
		assert.Equal(t, len(done), 0, "acknowledged before it heard from the others")
		c.heal()
		assert.NilError(t, <-done)
		assert.Assert(t, c.copiesOf("t", "m") >= 3)
	})
}

// A node that starts may lack what its earlier life acknowledged, or what others did meanwhile.
func TestStartedNodeDoesNotAnswerBeforeItHasCaughtUp(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		old := c.node(0).disk
		c.stop(c.node(0))
		for i := range 3000 {
			old.runs = append(old.runs, tallies.Run{Origin: 77, First: uint64(i + 1), Entries: []tallies.Entry{{Tally: "old", Member: fmt.Sprint("m", i), Amount: 1}}})
		}
		c.add(1, "t", "m", 5)
		c.setCut(func(from, to string) bool { return from == name(0) || to == name(0) })
		n := c.start(0, old)
		time.Sleep(2 * maxInterval)
		_, err := n.Total("t")
		assert.ErrorIs(t, err, ErrNotReady)
		assert.ErrorIs(t, n.Add(t.Context(), "t", "other", 1), ErrNotReady)
		assert.Assert(t, !old.holds("t", "other"), "refused but written")
		c.heal()
		for err != nil {
			time.Sleep(time.Millisecond)
			_, err = n.Total("t")
		}
		c.assertTotal(0, "t", 5)
		time.Sleep(testMerge)
		c.assertTotals("old", 3000)
	})
}

// Callers must not wait for a node that has returned until its turn comes.
func TestNodesThatStartTogetherAreSoonReady(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.add(0, "t", "m", 1)
		disks := make([]*testDisk, 5)
		for i := range disks {
			disks[i] = c.node(i).disk
		}
		c.stopAll()
		for i, disk := range disks {
			time.Sleep(70 * time.Millisecond)
			c.start(i, disk)
		}
		time.Sleep(50 * time.Millisecond)
		c.assertTotals("t", 1)
	})
}

// A node that is gone for good must not delay the others after a power failure.
func TestNodesDoNotWaitForAsManyAsMayBeLost(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.add(0, "t", "m", 1)
		disks := make([]*testDisk, 5)
		for i := range disks {
			disks[i] = c.node(i).disk
		}
		c.stopAll()
		for i := range 3 {
			c.start(i, disks[i])
		}
		time.Sleep(50 * time.Millisecond)
		for i := range 3 {
			c.assertTotal(i, "t", 1)
		}
	})
}

// Two disks were emptied, so the add may be on the disk of any node that is still missing.
func TestNodesWaitForDisksThatMayHoldTheOnlyCopy(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		disks := make([]*testDisk, 5)
		for i := range disks {
			disks[i] = c.node(i).disk
		}
		c.stopAll()
		disks[2].runs = []tallies.Run{{Origin: disks[2].origin, First: 1, Entries: []tallies.Entry{{Tally: "t", Member: "m", Amount: 1}}}}
		disks[0], disks[1] = &testDisk{origin: 900}, &testDisk{origin: 901}
		for _, i := range []int{0, 1, 3, 4} {
			c.start(i, disks[i])
		}
		time.Sleep(3 * maxInterval)
		for _, i := range []int{0, 1, 3, 4} {
			_, err := c.node(i).Total("t")
			assert.ErrorIs(t, err, ErrNotReady, "node %d", i)
		}
		c.start(2, disks[2])
		time.Sleep(2 * maxInterval)
		c.assertTotals("t", 1)
		assert.Assert(t, c.node(0).disk.Complete())
	})
}

// A node that starts on the cut-off side has to serve its callers in the end.
func TestStartedNodeBehindACutAnswersInTheEnd(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.split(1)
		disk := c.node(0).disk
		c.stop(c.node(0))
		c.start(0, disk)
		time.Sleep((startTicks + 1) * maxInterval)
		c.assertTotal(0, "t", 0)
		time.Sleep(startPatience*testMerge - startTicks*maxInterval)
		c.add(0, "t", "m", 1)
		c.assertTotal(0, "t", 1)
	})
}

// Fewer known nodes than the copies that are required are no cut.
func TestNodeThatKnowsTooFewOthersAcceptsNothing(t *testing.T) {
	runCluster(t, 2, []string{"a", "b"}, func(t *testing.T, c *cluster) {
		time.Sleep(testMerge)
		assert.ErrorIs(t, c.node(0).Add(t.Context(), "t", "m", 1), ErrNotReady)
		assert.Equal(t, c.copiesOf("t", "m"), 0)
	})
}

// A repeat that comes while the first attempt waits must not be answered before it.
func TestRepeatIsNotAcknowledgedBeforeTheFirstAttempt(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.setCut(func(from, to string) bool { return from == name(0) || to == name(0) })
		first, second := make(chan error, 1), make(chan error, 1)
		go func() { first <- c.node(0).Add(t.Context(), "t", "m", 1) }()
		time.Sleep(50 * time.Millisecond)
		go func() { second <- c.node(0).Add(t.Context(), "t", "m", 1) }()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, len(first)+len(second), 0)
		assert.Equal(t, c.copiesOf("t", "m"), 1)
		c.heal()
		assert.NilError(t, <-first)
		assert.NilError(t, <-second)
		assert.Assert(t, c.copiesOf("t", "m") >= 3)
		assert.Equal(t, c.node(0).Status().Entries, 1)
	})
}

// Repeats that are written together must make one entry, and wait for its copies.
func TestRepeatsInOneTransactionDoNotCountTwice(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.setCut(func(from, to string) bool { return from == name(0) || to == name(0) })
		done := make(chan error, 10)
		go func() { done <- c.node(0).Add(t.Context(), "t", "before", 1) }()
		time.Sleep(testSync / 2) // the others queue while this one is written
		for range cap(done) - 1 {
			go func() { done <- c.node(0).Add(t.Context(), "t", "m", 2) }()
		}
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(done), 0, "acknowledged without copies")
		c.heal()
		for range cap(done) {
			assert.NilError(t, <-done)
		}
		c.assertTotal(0, "t", 3)
		assert.Equal(t, c.node(0).Status().Entries, 2)
		assert.Assert(t, c.copiesOf("t", "m") >= 3)
	})
}

// Two nodes that cannot see each other must learn of each other's adds through a third one.
func TestBridgeCutDoesNotHideAdds(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.setCut(func(from, to string) bool {
			return from == name(0) && to == name(1) || from == name(1) && to == name(0)
		})
		c.add(0, "t", "x", 1)
		c.add(1, "t", "y", 1)
		time.Sleep(testMerge)
		c.assertTotals("t", 2)
	})
}

// A full disk must refuse adds, and must not lose what was accepted before it was known.
func TestFullDiskRefusesAddsAndRecovers(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		n := c.node(0)
		n.disk.mu.Lock()
		n.disk.full = true
		n.disk.mu.Unlock()
		assert.ErrorIs(t, n.Add(t.Context(), "t", "m", 1), ErrUncertain)
		assert.ErrorIs(t, n.Add(t.Context(), "t", "refused", 1), ErrNotReady)
		c.add(1, "t", "other", 1)
		n.disk.mu.Lock()
		n.disk.full = false
		n.disk.mu.Unlock()
		time.Sleep(testMerge)
		c.assertTotals("t", 2)
		assert.Equal(t, c.copiesOf("t", "refused"), 0)
	})
}

// A disk that does not respond must not hold every caller up, and a refused add must not be written.
func TestStalledDiskRefusesAddsAndDoesNotHoldUpOtherNodes(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		n := c.node(0)
		n.disk.mu.Lock()
		n.disk.stall = 5 * time.Second
		n.disk.mu.Unlock()
		assert.ErrorIs(t, n.Add(t.Context(), "t", "m", 1), ErrUncertain)
		started := time.Now()
		assert.ErrorIs(t, n.Add(t.Context(), "t", "refused", 1), ErrNotReady)
		assert.Equal(t, time.Since(started), time.Duration(0))
		assert.NilError(t, c.node(1).Add(t.Context(), "t", "other", 1))
		assert.Assert(t, time.Since(started) < 20*time.Millisecond)
		n.disk.mu.Lock()
		n.disk.stall = 0
		n.disk.mu.Unlock()
		time.Sleep(10 * time.Second)
		c.assertTotals("t", 2)
		assert.Equal(t, c.copiesOf("t", "refused"), 0)
	})
}

// A total that does not fit into the answer must be refused, not wrapped around.
func TestTotalDoesNotOverflow(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		assert.NilError(t, c.node(0).Add(t.Context(), "t", "x", 1<<62))
		assert.NilError(t, c.node(0).Add(t.Context(), "t", "y", 1<<62-1))
		assert.ErrorIs(t, c.node(0).Add(t.Context(), "t", "z", 1), ErrTooLarge)
		c.assertTotal(0, "t", 1<<63-1)
	})
}

// A long time apart must be made good within the bound.
func TestLongCutIsMergedInTime(t *testing.T) {
	runCluster(t, 2, fiveZones, func(t *testing.T, c *cluster) {
		c.split(2)
		time.Sleep(time.Second)
		const each = 2000
		for i := range each {
			assert.NilError(t, c.node(0).Add(t.Context(), "t", fmt.Sprint("left", i), 1))
			assert.NilError(t, c.node(4).Add(t.Context(), "t", fmt.Sprint("right", i), 1))
		}
		c.heal()
		time.Sleep(testMerge)
		c.assertTotals("t", 2*each)
		synctest.Wait()
	})
}
