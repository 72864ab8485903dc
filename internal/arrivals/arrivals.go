// Package arrivals generates the arrival times of clients. The schedule is open: earlier clients
// cannot delay later ones, whatever happens to them. It is deterministic: the same random source
// gives the same times.
package arrivals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Shapes lists the ways in which a rate may change over time.
var Shapes = []string{"steady", "wave", "bursty", "step"}

// Schedule describes a rate over time.
type Schedule struct {
	PerSecond    float64       // mean
	Shape        string        // one of Shapes
	Amplitude    float64       // deviation from the mean, as a fraction of it, 0 to 1
	Period       time.Duration // of a wave or step; bursts last a tenth of it on average
	Phase        float64       // fraction of the period at the start; drawn if below 0
	EvenlySpaced bool          // at even intervals instead of a Poisson process
}

// Check returns an error if no arrivals can be drawn from the schedule.
func (s *Schedule) Check() error {
	switch {
	case !(s.PerSecond > 0) || s.PerSecond > 1e7:
		return fmt.Errorf("%g a second does not lie above 0 and up to 1e7", s.PerSecond)
	case !slices.Contains(Shapes, s.Shape):
		return fmt.Errorf("shape %q is not one of %s", s.Shape, strings.Join(Shapes, ", "))
	case !(s.Amplitude >= 0 && s.Amplitude <= 1):
		return fmt.Errorf("swing %g does not lie from 0 to 1", s.Amplitude)
	case !(s.Phase <= 1):
		return fmt.Errorf("phase %g does not lie up to 1", s.Phase)
	case s.Period <= 0:
		return fmt.Errorf("period %v is not above 0", s.Period)
	}
	return nil
}

// Generator draws the arrival times of a Schedule.
type Generator struct {
	schedule  Schedule
	rng       *rand.Rand
	now       time.Duration
	burstRate float64       // current relative rate of a bursty schedule
	burstEnd  time.Duration // end of the current burst rate
}

// New returns a Generator at the start of a schedule that Check accepts.
func New(s Schedule, rng *rand.Rand) *Generator {
	if drawn := rng.Float64(); s.Phase < 0 { // drawn in any case, so that a fixed phase does not shift other draws
		s.Phase = drawn
	}
	return &Generator{schedule: s, rng: rng}
}

// Next returns the next arrival time, counted from the start.
func (s *Generator) Next() time.Duration {
	if s.schedule.EvenlySpaced {
		s.now += time.Duration(1e9 / (s.schedule.PerSecond * max(s.RelativeRate(s.now), 1e-3)))
		return s.now
	}
	// A Poisson process at the highest rate, thinned to the rate at each instant (Lewis and Shedler,
	// "Simulation of nonhomogeneous Poisson processes by thinning", 1979).
	for maxRate := 1 + s.schedule.Amplitude; ; {
		s.now += time.Duration(s.rng.ExpFloat64() / (s.schedule.PerSecond * maxRate) * 1e9)
		if s.rng.Float64()*maxRate < s.RelativeRate(s.now) {
			return s.now
		}
	}
}

// RelativeRate returns the rate at an instant as a multiple of the mean rate. Instants must not
// decrease from call to call.
func (s *Generator) RelativeRate(at time.Duration) float64 {
	periods := float64(at)/float64(s.schedule.Period) + s.schedule.Phase
	switch s.schedule.Shape {
	case "wave":
		return 1 + s.schedule.Amplitude*math.Sin(2*math.Pi*periods)
	case "step":
		if periods-math.Floor(periods) < .5 {
			return 1 + s.schedule.Amplitude
		}
		return 1 - s.schedule.Amplitude
	case "bursty":
		for at >= s.burstEnd {
			s.burstRate = 1 + s.schedule.Amplitude*(2*s.rng.Float64()-1)
			s.burstEnd += max(time.Duration(s.rng.ExpFloat64()*float64(s.schedule.Period)/10), time.Millisecond)
		}
		return s.burstRate
	}
	return 1
}

// WeightedIndex draws an index by weight. cum holds the cumulative weights, the last above 0.
func WeightedIndex(cumulative []float64, rng *rand.Rand) int {
	x := rng.Float64() * cumulative[len(cumulative)-1]
	return max(slices.IndexFunc(cumulative, func(c float64) bool { return x < c }), 0)
}
