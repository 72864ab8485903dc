// Package arrivals draws the instants at which clients come: an open schedule,
// which nothing that happens to earlier ones can hold up. It is pure: the same
// source of randomness gives the same instants.
package arrivals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Shapes are how a rate may go over time.
var Shapes = []string{"steady", "wave", "bursty", "step"}

// Schedule is a rate over time.
type Schedule struct {
	PerSecond    float64       // on the mean
	Shape        string        // of Shapes
	Amplitude    float64       // up and down by this part of the mean, 0 to 1
	Period       time.Duration // of a wave or a step; gusts last a tenth of it on the mean
	Phase        float64       // of the period, at the beginning; below 0 it is drawn
	EvenlySpaced bool          // at even distances, in place of by chance (a Poisson process)
}

// Check says what a schedule can't be drawn with.
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

// Source draws the instants of a Schedule.
type Generator struct {
	s     Schedule
	rng   *rand.Rand
	at    time.Duration
	gust  float64       // present strength of a bursty schedule,
	until time.Duration // which holds till then
}

// New returns a Source at the beginning of a schedule that Check has passed.
func New(s Schedule, rng *rand.Rand) *Generator {
	if drawn := rng.Float64(); s.Phase < 0 { // drawn in any case: a stated phase shifts no other draw
		s.Phase = drawn
	}
	return &Generator{s: s, rng: rng}
}

// Next returns the next instant, from the beginning.
func (s *Generator) Next() time.Duration {
	if s.s.EvenlySpaced {
		s.at += time.Duration(1e9 / (s.s.PerSecond * max(s.RelativeRate(s.at), 1e-3)))
		return s.at
	}
	// A Poisson process of the highest rate, of which the rest is left out (Lewis and
	// Shedler, "Simulation of nonhomogeneous Poisson processes by thinning", 1979).
	for most := 1 + s.s.Amplitude; ; {
		s.at += time.Duration(s.rng.ExpFloat64() / (s.s.PerSecond * most) * 1e9)
		if s.rng.Float64()*most < s.RelativeRate(s.at) {
			return s.at
		}
	}
}

// Strength is the rate at an instant as a multiple of the mean one. Instants may
// not go back.
func (s *Generator) RelativeRate(at time.Duration) float64 {
	turn := float64(at)/float64(s.s.Period) + s.s.Phase
	switch s.s.Shape {
	case "wave":
		return 1 + s.s.Amplitude*math.Sin(2*math.Pi*turn)
	case "step":
		if turn-math.Floor(turn) < .5 {
			return 1 + s.s.Amplitude
		}
		return 1 - s.s.Amplitude
	case "bursty":
		for at >= s.until {
			s.gust = 1 + s.s.Amplitude*(2*s.rng.Float64()-1)
			s.until += max(time.Duration(s.rng.ExpFloat64()*float64(s.s.Period)/10), time.Millisecond)
		}
		return s.gust
	}
	return 1
}

// Pick draws a place by its share; cum holds the shares added up, the last above 0.
func WeightedIndex(cum []float64, rng *rand.Rand) int {
	x := rng.Float64() * cum[len(cum)-1]
	return max(slices.IndexFunc(cum, func(c float64) bool { return x < c }), 0)
}
