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
type player func(seed uint64, defects flaws) *world

// playSeeds plays worlds on all processors until one fails, and returns how many were played,
// what happened in them, and that failure.
func playSeeds(seeds uint64, play player, defects flaws) (played uint64, tally counts, failure error) {
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	var next, ran atomic.Uint64
	var failed atomic.Pointer[error]
	var lock sync.Mutex
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := next.Add(1); seed <= seeds && failed.Load() == nil; seed = next.Add(1) {
				w := play(seed, defects)
				ran.Add(1)
				lock.Lock()
				tally.add(w.tally)
				lock.Unlock()
				if w.Failed != nil {
					failed.CompareAndSwap(nil, &w.Failed)
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
func seedsFor(test *testing.T, usual uint64) uint64 {
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

func TestTurns(t *testing.T) {
	seeds := seedsFor(t, 1000)
	played, c, failure := playSeeds(seeds, playTurns, flaws{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", played, c)
	assert.Assert(t, c.whole > 20*seeds && c.imports > 5*seeds && c.spent > 5*seeds, "turns: %+v", c)
	assert.Assert(t, c.missing > seeds/10 && c.forgotten > seeds/10 && c.deaths > seeds, "ends: %+v", c)
	assert.Assert(t, c.retired > seeds/10, "retirements: %+v", c)
	c.checkTroubles(t, seeds)
}

func TestConfiguration(t *testing.T) {
	seeds := seedsFor(t, 2000)
	played, c, failure := playSeeds(seeds, playConfiguration, flaws{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", played, c)
	assert.Assert(t, c.taken > 8*seeds && c.refused > 2*seeds && c.unclear > seeds && c.reads > 5*seeds, "orders: %+v", c)
	c.checkTroubles(t, seeds)
}

func TestDuties(t *testing.T) {
	seeds := seedsFor(t, 2000)
	played, c, failure := playSeeds(seeds, playDuties, flaws{})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", played, c)
	assert.Assert(t, c.acts > 4*seeds && c.publications > 3*seeds && c.late > seeds/10, "duties: %+v", c)
	c.checkTroubles(t, seeds)
}

// checkTroubles holds that the simulations did what they are for.
func (c *counts) checkTroubles(test *testing.T, seeds uint64) {
	test.Helper()
	assert.Assert(test, c.owners > 2*seeds && c.changes > 2*seeds && c.wipes > seeds/4, "members: %+v", c)
	assert.Assert(test, c.crashes > 2*seeds && c.freezes > seeds && c.restored > seeds/2 && c.handovers > seeds/4, "troubles: %+v", c)
}

// TestFlaws tests the tests: each defect must show.
func TestFlaws(t *testing.T) {
	const most = 20000
	for _, flawed := range []struct {
		name  string
		play  player
		flaws flaws
	}{
		{"a lagging member says that it has no such turn", playTurns, flaws{findWithoutLease: true}},
		{"the end of a turn is answered before its commit", playTurns, flaws{finishEarly: true}},
		{"a reservation is answered before its commit", playTurns, flaws{admitEarly: true}},
		{"what an edge had reserved is freed when it dies", playTurns, flaws{freeOnDeath: true}},
		{"a configuration is shown under a lease from before a freeze", playConfiguration, flaws{oldLease: true}},
		{"a duty is held under a lease from before a freeze", playDuties, flaws{oldLease: true}},
		{"any edge ends a try", playTurns, flaws{anyEnds: true}},
		{"a node becomes a voter before the directory knows", playTurns, flaws{unannounced: true}},
		{"a wiped core node votes under its old id", playConfiguration, flaws{forgetful: true}},
		{"a wiped storage node votes under its old id", playTurns, flaws{forgetful: true}},
		{"the owner of a duty acts without a lease", playDuties, flaws{dutyWithoutLease: true}},
		{"a change on a base that isn't in force yet gets into the log", playConfiguration, flaws{futureBase: true}},
		{"a duty is handed to the first of the others", playDuties, flaws{firstHeir: true}},
		{"publications take the epoch of their partition", playDuties, flaws{noEpoch: true}},
	} {
		t.Run(flawed.name, func(t *testing.T) {
			if testing.Short() && flawed.flaws.futureBase {
				t.Skip("takes thousands of seeds")
			}
			played, _, failure := playSeeds(most, flawed.play, flawed.flaws)
			assert.Assert(t, failure != nil, "no seed of %d fails", played)
			t.Logf("after %d seeds: %v", played, failure)
		})
	}
}
