package simulation

import (
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
)

// simulateFunc runs one simulation with a seed.
type simulateFunc func(seed uint64, injected bugs) *world

// simulateSeeds runs simulations on all CPUs until one fails. It returns the number of simulations,
// the sum of their statistics, and the failure.
func simulateSeeds(seeds uint64, simulate simulateFunc, injected bugs) (simulations uint64, tally counts, failure error) {
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	var next, ran atomic.Uint64
	var failed atomic.Pointer[error]
	var lock sync.Mutex
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := next.Add(1); seed <= seeds && failed.Load() == nil; seed = next.Add(1) {
				w := simulate(seed, injected)
				ran.Add(1)
				lock.Lock()
				tally.add(w.tally)
				lock.Unlock()
				if w.Failure != nil {
					failed.CompareAndSwap(nil, &w.Failure)
				}
			}
		})
	}
	workers.Wait()
	if failure := failed.Load(); failure != nil {
		return ran.Load(), tally, *failure
	}
	return ran.Load(), tally, nil
}

// seedCount returns the number of seeds for a test. The environment variable SIMULATION_SEEDS
// overrides it, for a long search.
func seedCount(test *testing.T, seeds uint64) uint64 {
	if override, err := strconv.ParseUint(os.Getenv("SIMULATION_SEEDS"), 10, 64); err == nil {
		return override
	}
	if testing.Short() {
		return seeds / 10
	}
	return seeds
}

func TestMain(m *testing.M) {
	klog.SetLogger(logr.Discard())
	m.Run()
}

// Turns must keep their history and budget, and partitions must recover, under random faults.
func TestTurnsSurviveFaults(t *testing.T) {
	seeds := seedCount(t, 1000)
	simulations, c, failure := simulateSeeds(seeds, simulateTurns, bugs{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", simulations, c)
	assert.Assert(t, c.completedTurns > 20*seeds && c.imports > 5*seeds && c.overBudget > 5*seeds, "turns: %+v", c)
	assert.Assert(t, c.missing > seeds/10 && c.forgotten > seeds/10 && c.edgeCrashes > seeds, "ends of turns: %+v", c)
	assert.Assert(t, c.retirements > seeds/10, "retirements: %+v", c)
	c.checkFaults(t, seeds)
}

// Changes and reads of the configuration must stay linearizable under random faults.
func TestConfigurationStaysLinearizableUnderFaults(t *testing.T) {
	seeds := seedCount(t, 2000)
	simulations, c, failure := simulateSeeds(seeds, simulateConfiguration, bugs{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", simulations, c)
	assert.Assert(t, c.acknowledged > 8*seeds && c.rejected > 2*seeds && c.unknownOutcomes > seeds && c.reads > 5*seeds, "operations: %+v", c)
	c.checkFaults(t, seeds)
}

// At most one node may list in each epoch under random faults, and no publication of an earlier
// epoch may take effect after one of a later epoch.
func TestOneListerActsPerEpochUnderFaults(t *testing.T) {
	seeds := seedCount(t, 2000)
	simulations, c, failure := simulateSeeds(seeds, simulateLister, bugs{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", simulations, c)
	assert.Assert(t, c.listings > 4*seeds && c.publications > 3*seeds && c.outdated > seeds/10, "listings: %+v", c)
	c.checkFaults(t, seeds)
}

// An acknowledged evacuation order must stay in force until the operator sends another one, under
// random faults.
func TestAcknowledgedEvacuationsAreKeptUnderFaults(t *testing.T) {
	seeds := seedCount(t, 2000)
	simulations, c, failure := simulateSeeds(seeds, simulateEvacuation, bugs{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", simulations, c)
	assert.Assert(t, c.acknowledged > 3*seeds && c.unknownOutcomes > seeds && c.abandonedOrders > seeds/10, "orders: %+v", c)
	c.checkFaults(t, seeds)
}

// checkFaults verifies that the simulations contained enough faults.
func (c *counts) checkFaults(test *testing.T, seeds uint64) {
	test.Helper()
	assert.Assert(test, c.leaderTerms > 2*seeds && c.membershipChanges > 2*seeds && c.diskLosses > seeds/4, "members: %+v", c)
	assert.Assert(test, c.crashes > 2*seeds && c.freezes > seeds && c.installedSnapshots > seeds/2 && c.leadershipTransfers > seeds/4, "faults: %+v", c)
}

// The simulations must detect each injected bug; otherwise they prove nothing.
func TestSimulationsDetectInjectedBugs(t *testing.T) {
	const maxSeeds = 20000
	for _, test := range []struct {
		name     string
		simulate simulateFunc
		bugs     bugs
	}{
		{"a lagging member reports a turn missing", simulateTurns, bugs{findWithoutLease: true}},
		{"the end of a turn is confirmed before its commit", simulateTurns, bugs{endBeforeCommit: true}},
		{"a reservation is confirmed before its commit", simulateTurns, bugs{admitBeforeCommit: true}},
		{"the reservations of an edge are released when it crashes", simulateTurns, bugs{releaseOnEdgeCrash: true}},
		{"a configuration is read under a lease from before a freeze", simulateConfiguration, bugs{staleLease: true}},
		{"a singleton task runs under a lease from before a freeze", simulateLister, bugs{staleLease: true}},
		{"any edge can end an attempt", simulateTurns, bugs{endWithoutToken: true}},
		{"a node becomes a voter before the directory lists it", simulateTurns, bugs{unannouncedVoter: true}},
		{"a core node that lost its disk votes under its old id", simulateConfiguration, bugs{reusedNodeID: true}},
		{"a storage node that lost its disk votes under its old id", simulateTurns, bugs{reusedNodeID: true}},
		{"the leader of a singleton task acts without a lease", simulateLister, bugs{listWithoutLease: true}},
		{"a change on a base that is not committed yet is proposed", simulateConfiguration, bugs{uncommittedBase: true}},
		{"a singleton task is always transferred to the first of the others", simulateLister, bugs{fixedSuccessor: true}},
		{"a late evacuation order is proposed", simulateEvacuation, bugs{lateEvacuation: true}},
		{"an evacuation order is acknowledged from a node's own state", simulateEvacuation, bugs{staleEvacuation: true}},
		{"publications carry the epoch of their partition", simulateLister, bugs{epochFromPartition: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if testing.Short() && test.bugs.uncommittedBase {
				t.Skip("takes thousands of seeds")
			}
			simulations, _, failure := simulateSeeds(maxSeeds, test.simulate, test.bugs)
			assert.Assert(t, failure != nil, "no seed of %d fails", simulations)
			t.Logf("after %d seeds: %v", simulations, failure)
		})
	}
}
