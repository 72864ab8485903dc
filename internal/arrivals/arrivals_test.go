package arrivals

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each shape must keep its mean rate over whole periods, vary as described, never go back in time, and
// give the same times for the same seed.
func TestShapesKeepMeanRateAndVary(t *testing.T) {
	for _, shape := range Shapes {
		for _, even := range []bool{false, true} {
			s := Schedule{PerSecond: 500, Shape: shape, Amplitude: .6, Period: 10 * time.Second, EvenlySpaced: even}
			require.NoError(t, s.Check())
			one, two := New(s, rand.New(rand.NewPCG(1, 2))), New(s, rand.New(rand.NewPCG(1, 2)))
			seconds := make([]int, 100)
			last := time.Duration(0)
			for {
				at := one.Next()
				require.Equal(t, at, two.Next())
				require.Greater(t, at, last)
				if last = at; at >= 100*time.Second {
					break
				}
				seconds[at/time.Second]++
			}
			sum, least, most := 0, seconds[0], seconds[0]
			for _, n := range seconds {
				sum, least, most = sum+n, min(least, n), max(most, n)
			}
			if shape != "bursty" {
				assert.InEpsilon(t, 50000, sum, .1, "%s even=%v", shape, even)
			}
			if shape == "steady" {
				assert.Less(t, most, 2*least)
			} else {
				assert.Greater(t, most, 2*least, shape)
			}
		}
	}
	for phase, first := range map[float64]float64{0: 1, .25: 1.6, .75: .4} {
		s := New(Schedule{PerSecond: 1, Shape: "wave", Amplitude: .6, Period: time.Second, Phase: phase}, rand.New(rand.NewPCG(1, 2)))
		assert.InDelta(t, first, s.RelativeRate(0), 1e-9)
	}
	for _, s := range []Schedule{{}, {PerSecond: -1}, {PerSecond: 1, Shape: "square"}, {PerSecond: 1, Shape: "wave", Amplitude: 2},
		{PerSecond: 1, Shape: "wave"}} {
		assert.Error(t, s.Check())
	}
}
