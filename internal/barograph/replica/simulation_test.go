package replica_test

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
)

// simulateSeeds runs simulations on all processors until one fails, and returns how
// many were run and that failure.
func simulateSeeds(seeds uint64, o options) (runs uint64, failure error) {
	var next, ran atomic.Uint64
	var failed atomic.Pointer[error]
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := next.Add(1); seed <= seeds && failed.Load() == nil; seed = next.Add(1) {
				o := o
				o.seed = seed
				ran.Add(1)
				if err := simulate(o); err != nil {
					failure := error(&seedError{seed, err})
					failed.CompareAndSwap(nil, &failure)
				}
			}
		})
	}
	workers.Wait()
	if failure := failed.Load(); failure != nil {
		return ran.Load(), *failure
	}
	return ran.Load(), nil
}

// seedError is the failure of one seed's simulation.
type seedError struct {
	seed uint64
	err  error
}

func (e *seedError) Error() string { return e.err.Error() } // which names the seed
func (e *seedError) Unwrap() error { return e.err }

// counts are of what happened in simulations: what never happens is not tested either.
type counts struct {
	owners, changes, restored, handovers, wipes, reads, writes, recent uint64
}

// tally sums counts up over simulations that run at once.
type tally struct {
	lock   sync.Mutex
	counts counts
}

func (t *tally) add(c counts) {
	if t == nil {
		return
	}
	t.lock.Lock()
	defer t.lock.Unlock()
	t.counts.owners += c.owners
	t.counts.changes += c.changes
	t.counts.restored += c.restored
	t.counts.handovers += c.handovers
	t.counts.wipes += c.wipes
	t.counts.reads += c.reads
	t.counts.writes += c.writes
	t.counts.recent += c.recent
}

// checkSeen holds that the simulations did what they are for.
func (t *tally) checkSeen(test *testing.T, seeds uint64) {
	test.Helper()
	c := t.counts
	assert.Assert(test, c.owners > 2*seeds, "owners: %+v", c)
	assert.Assert(test, c.changes > seeds && c.wipes > seeds/10, "changes of members: %+v", c)
	assert.Assert(test, c.restored > seeds/10 && c.handovers > seeds/10, "snapshots, handovers: %+v", c)
	assert.Assert(test, c.recent > 10*seeds, "members proven recent: %+v", c)
	assert.Assert(test, c.reads > 10*seeds && c.writes > 10*seeds, "operations: %+v", c)
}

// seedsFor is how many seeds a test plays: SIMULATION_SEEDS says so for a long search.
func seedsFor(usual uint64) uint64 {
	if many, err := strconv.ParseUint(os.Getenv("SIMULATION_SEEDS"), 10, 64); err == nil {
		return many
	}
	if testing.Short() {
		return usual / 10
	}
	return usual
}

func TestSimulation(t *testing.T) {
	seeds := seedsFor(2000)
	tally := &tally{}
	runs, failure := simulateSeeds(seeds, options{tally: tally})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", runs, tally.counts)
	tally.checkSeen(t, seeds)
}

func TestSimulationOfFrequentFaults(t *testing.T) {
	seeds := seedsFor(500)
	_, failure := simulateSeeds(seeds, options{frequent: true, startNodes: 5})
	assert.NilError(t, failure)
}

// TestSimulationFindsFlaws tests the tests: each defect must show. The seed that shows it is
// played without the defect too, so that the same fault in the code itself would show as well.
func TestSimulationFindsFlaws(t *testing.T) {
	const seeds = 10_000
	for _, flawed := range []struct {
		name    string
		options options
	}{
		{"vote after a wipe under the old id", options{forgetful: true}},
		{"answer before the write is durable", options{flaws: replica.FlawAnswerEarly, frequent: true, startNodes: 3, faults: 4}},
		{"lease not checked after a freeze", options{flaws: replica.FlawCachedLease}},
		{"older terms committed by counting", options{flaws: replica.FlawCountOldTerms, frequent: true, startNodes: 5, faults: 10}},
		{"votes given while a lease may run", options{flaws: replica.FlawNoRefusal}},
		{"an owner without a lease proves members recent", options{flaws: replica.FlawVouchUnleased}},
		{"what an earlier life asked proves this one recent", options{flaws: replica.FlawAnyLife}},
	} {
		t.Run(flawed.name, func(t *testing.T) {
			flawed.options.safetyOnly = true
			runs, failure := simulateSeeds(seeds, flawed.options)
			assert.Assert(t, failure != nil, "no seed of %d fails", runs)
			assert.Assert(t, !errors.Is(failure, errNotJudged), "%v", failure)
			t.Logf("after %d seeds: %v", runs, failure)
			var shown *seedError
			assert.Assert(t, errors.As(failure, &shown))
			right := flawed.options
			right.flaws, right.forgetful, right.seed = replica.Flaws{}, false, shown.seed
			assert.NilError(t, simulate(right), "seed %d without the flaw", shown.seed)
		})
	}
}
