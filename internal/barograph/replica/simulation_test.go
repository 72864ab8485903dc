package replica_test

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
)

// simulateSeeds runs simulations on all processors until one fails, and returns that failure
// and how many were run.
func simulateSeeds(seeds uint64, o options) (failure error, runs uint64) {
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
					failed.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	workers.Wait()
	if failure := failed.Load(); failure != nil {
		return *failure, ran.Load()
	}
	return nil, ran.Load()
}

func TestSimulation(t *testing.T) {
	seeds := uint64(2000)
	if testing.Short() {
		seeds = 200
	}
	failure, _ := simulateSeeds(seeds, options{})
	assert.NilError(t, failure)
}

func TestSimulationOfFrequentFaults(t *testing.T) {
	seeds := uint64(500)
	if testing.Short() {
		seeds = 50
	}
	failure, _ := simulateSeeds(seeds, options{frequent: true, startNodes: 5})
	assert.NilError(t, failure)
}

// TestSimulationFindsFlaws tests the tests: each defect must show.
func TestSimulationFindsFlaws(t *testing.T) {
	const seeds = 3000
	for _, flawed := range []struct {
		name    string
		options options
	}{
		{"vote after a wipe under the old id", options{forgetful: true}},
		{"answer before the write is durable", options{flaws: replica.FlawAnswerEarly, frequent: true, startNodes: 3, faults: 4}},
		{"lease not checked after a freeze", options{flaws: replica.FlawCachedLease}},
		{"older terms committed by counting", options{flaws: replica.FlawCountOldTerms, frequent: true, startNodes: 5, faults: 10}},
		{"votes given while a lease may run", options{flaws: replica.FlawNoRefusal}},
	} {
		t.Run(flawed.name, func(t *testing.T) {
			flawed.options.safetyOnly = true
			failure, runs := simulateSeeds(seeds, flawed.options)
			assert.Assert(t, failure != nil, "no seed of %d fails", runs)
			assert.Assert(t, !errors.Is(failure, errNotJudged), "%v", failure)
			t.Logf("after %d seeds: %v", runs, failure)
		})
	}
}
