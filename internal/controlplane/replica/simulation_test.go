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

	"oakseam/internal/controlplane/replica"
)

// simulateSeeds runs simulations on all processors until one fails. It returns the number of simulations that
// were run and that failure.
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

func (e *seedError) Error() string { return e.err.Error() } // the message names the seed
func (e *seedError) Unwrap() error { return e.err }

// counts are of events in simulations: an event that never happens isn't tested either.
type counts struct {
	leaders, changes, snapshots, transfers, diskLosses, reads, writes, provenFresh uint64
}

// tally sums counts up over concurrent simulations.
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
	t.counts.leaders += c.leaders
	t.counts.changes += c.changes
	t.counts.snapshots += c.snapshots
	t.counts.transfers += c.transfers
	t.counts.diskLosses += c.diskLosses
	t.counts.reads += c.reads
	t.counts.writes += c.writes
	t.counts.provenFresh += c.provenFresh
}

// checkSeen checks that the simulations exercised what they are for.
func (t *tally) checkSeen(test *testing.T, seeds uint64) {
	test.Helper()
	c := t.counts
	assert.Assert(test, c.leaders > 2*seeds, "leaders: %+v", c)
	assert.Assert(test, c.changes > seeds && c.diskLosses > seeds/10, "membership changes: %+v", c)
	assert.Assert(test, c.snapshots > seeds/10 && c.transfers > seeds/10, "snapshots, leadership transfers: %+v", c)
	assert.Assert(test, c.provenFresh > 10*seeds, "members proven fresh: %+v", c)
	assert.Assert(test, c.reads > 10*seeds && c.writes > 10*seeds, "operations: %+v", c)
}

// seedsFor returns how many seeds a test runs. SIMULATION_SEEDS overrides it for a long search.
func seedsFor(defaultSeeds uint64) uint64 {
	if requested, err := strconv.ParseUint(os.Getenv("SIMULATION_SEEDS"), 10, 64); err == nil {
		return requested
	}
	if testing.Short() {
		return defaultSeeds / 10
	}
	return defaultSeeds
}

func TestSimulation(t *testing.T) {
	seeds := seedsFor(2000)
	tally := &tally{}
	runs, failure := simulateSeeds(seeds, options{tally: tally})
	assert.NilError(t, failure)
	t.Logf("%d seeds: %+v", runs, tally.counts)
	tally.checkSeen(t, seeds)
}

func TestSimulationWithFrequentFaults(t *testing.T) {
	seeds := seedsFor(500)
	_, failure := simulateSeeds(seeds, options{frequentFaults: true, startNodes: 5})
	assert.NilError(t, failure)
}

// TestSimulationFindsInjectedDefects verifies that the simulation detects each injected defect. The seed that shows it is
// also run without the defect, so that the same bug in the real code would be noticed, too.
func TestSimulationFindsInjectedDefects(t *testing.T) {
	const seeds = 10_000
	for _, test := range []struct {
		name    string
		options options
	}{
		{"vote after a disk loss under the old ID", options{keepIDAfterDiskLoss: true}},
		{"reply before the write is durable", options{defects: replica.DefectReplyBeforeWrite, frequentFaults: true, startNodes: 3, faultPhases: 4}},
		{"lease not checked after a freeze", options{defects: replica.DefectCachedLease}},
		{"entries of older terms committed by counting", options{defects: replica.DefectCountOldTerms, frequentFaults: true, startNodes: 5, faultPhases: 10}},
		{"votes granted while a lease may be active", options{defects: replica.DefectIgnoreLease}},
		{"a leader without a lease proves members fresh", options{defects: replica.DefectProveWithoutLease}},
		{"a clock reading of an earlier incarnation proves this one fresh", options{defects: replica.DefectAnyIncarnation}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.options.safetyOnly = true
			runs, failure := simulateSeeds(seeds, test.options)
			assert.Assert(t, failure != nil, "no seed of %d fails", runs)
			assert.Assert(t, !errors.Is(failure, errCheckTimeout), "%v", failure)
			t.Logf("after %d seeds: %v", runs, failure)
			var shown *seedError
			assert.Assert(t, errors.As(failure, &shown))
			correct := test.options
			correct.defects, correct.keepIDAfterDiskLoss, correct.seed = replica.InjectedDefects{}, false, shown.seed
			assert.NilError(t, simulate(correct), "seed %d without the defect", shown.seed)
		})
	}
}
