package virtualclock

import (
	"testing"

	"gotest.tools/v3/assert"
)

type cutLink struct{ from, to int }

// A split cuts each link between its sides in both directions and none within a side.
func TestSplitCutsBetweenTwoSides(t *testing.T) {
	nodes := []int{1, 2, 3, 4, 5}
	for seed := range uint64(40) {
		cut := map[cutLink]bool{}
		Split(NewClock(seed, 1, 0), nodes, func(from, to int) { cut[cutLink{from, to}] = true })
		for _, a := range nodes {
			for _, b := range nodes {
				assert.Equal(t, cut[cutLink{a, b}], cut[cutLink{b, a}])
				for _, c := range nodes { // two links that hold join the ends
					assert.Assert(t, cut[cutLink{a, b}] || cut[cutLink{b, c}] || !cut[cutLink{a, c}])
				}
			}
		}
	}
}

// A node is isolated in each of three ways: what it sends, what it receives, or both.
func TestIsolateCutsInThreeWays(t *testing.T) {
	ways := map[[2]bool]bool{}
	for seed := range uint64(40) {
		cut := map[cutLink]bool{}
		Isolate(NewClock(seed, 1, 0), 1, []int{2, 3}, func(from, to int) { cut[cutLink{from, to}] = true })
		assert.Equal(t, cut[cutLink{1, 2}], cut[cutLink{1, 3}])
		assert.Equal(t, cut[cutLink{2, 1}], cut[cutLink{3, 1}])
		assert.Assert(t, !cut[cutLink{2, 3}] && !cut[cutLink{3, 2}])
		ways[[2]bool{cut[cutLink{1, 2}], cut[cutLink{2, 1}]}] = true
	}
	assert.DeepEqual(t, ways, map[[2]bool]bool{{true, false}: true, {false, true}: true, {true, true}: true})
}
