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

// player plays one world from a seed.
type simulateFunc func(seed uint64, injected bugs) *world

// playSeeds plays worlds on all processors until one fails, and returns how many were played,
// what happened in them, and that failure.
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

// seedsFor is how many seeds a test plays: SIMULATION_SEEDS says so for a long search.
func seedCount(test *testing.T, usual uint64) uint64 {
	if many, err := strconv.ParseUint(os.Getenv("SIMULATION_SEEDS"), 10, 64); err == nil {
		return many
	}
	if testing.Short() {
		return usual / 10
	}
	return usual
}

func TestMain(m *testing.M) {
	klog.SetLogger(logr.Discard())
	m.Run()
}

func TestTurnsSurviveFaults(t *testing.T) {
	seeds := seedCount(t, 1000)
	simulations, c, failure := simulateSeeds(seeds, simulateTurns, bugs{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", simulations, c)
	assert.Assert(t, c.completedTurns > 20*seeds && c.imports > 5*seeds && c.overBudget > 5*seeds, "turns: %+v", c)
	assert.Assert(t, c.missing > seeds/10 && c.forgotten > seeds/10 && c.edgeCrashes > seeds, "ends: %+v", c)
	assert.Assert(t, c.retirements > seeds/10, "retirements: %+v", c)
	c.checkTroubles(t, seeds)
}

func TestConfigurationStaysLinearizableUnderFaults(t *testing.T) {
	seeds := seedCount(t, 2000)
	simulations, c, failure := simulateSeeds(seeds, simulateConfiguration, bugs{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", simulations, c)
	assert.Assert(t, c.acknowledged > 8*seeds && c.rejected > 2*seeds && c.unknownOutcomes > seeds && c.reads > 5*seeds, "orders: %+v", c)
	c.checkTroubles(t, seeds)
}

func TestOneListerActsPerEpochUnderFaults(t *testing.T) {
	seeds := seedCount(t, 2000)
	simulations, c, failure := simulateSeeds(seeds, simulateLister, bugs{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", simulations, c)
	assert.Assert(t, c.listings > 4*seeds && c.publications > 3*seeds && c.outdated > seeds/10, "duties: %+v", c)
	c.checkTroubles(t, seeds)
}

// checkTroubles holds that the simulations did what they are for.
func (c *counts) checkTroubles(test *testing.T, seeds uint64) {
	test.Helper()
	assert.Assert(test, c.leaderTerms > 2*seeds && c.membershipChanges > 2*seeds && c.diskLosses > seeds/4, "members: %+v", c)
	assert.Assert(test, c.crashes > 2*seeds && c.freezes > seeds && c.installedSnapshots > seeds/2 && c.leadershipTransfers > seeds/4, "troubles: %+v", c)
}

// TestFlaws tests the tests: each defect must show.
func TestSimulationsDetectInjectedBugs(t *testing.T) {
	const most = 20000
	for _, test := range []struct {
		name     string
		simulate simulateFunc
		bugs     bugs
	}{
		{"a lagging member says that it has no such turn", simulateTurns, bugs{findWithoutLease: true}},
		{"the end of a turn is answered before its commit", simulateTurns, bugs{endBeforeCommit: true}},
		{"a reservation is answered before its commit", simulateTurns, bugs{admitBeforeCommit: true}},
		{"what an edge had reserved is freed when it dies", simulateTurns, bugs{releaseOnEdgeCrash: true}},
		{"a configuration is shown under a lease from before a freeze", simulateConfiguration, bugs{staleLease: true}},
		{"a duty is held under a lease from before a freeze", simulateLister, bugs{staleLease: true}},
		{"any edge ends a try", simulateTurns, bugs{endWithoutToken: true}},
		{"a node becomes a voter before the directory knows", simulateTurns, bugs{unannouncedVoter: true}},
		{"a wiped core node votes under its old id", simulateConfiguration, bugs{reusedNodeID: true}},
		{"a wiped storage node votes under its old id", simulateTurns, bugs{reusedNodeID: true}},
		{"the owner of a duty acts without a lease", simulateLister, bugs{listWithoutLease: true}},
		{"a change on a base that isn't in force yet gets into the log", simulateConfiguration, bugs{uncommittedBase: true}},
		{"a duty is handed to the first of the others", simulateLister, bugs{fixedSuccessor: true}},
		{"publications take the epoch of their partition", simulateLister, bugs{epochFromPartition: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if testing.Short() && test.bugs.uncommittedBase {
				t.Skip("takes thousands of seeds")
			}
			simulations, _, failure := simulateSeeds(most, test.simulate, test.bugs)
			assert.Assert(t, failure != nil, "no seed of %d fails", simulations)
			t.Logf("after %d seeds: %v", simulations, failure)
		})
	}
}
