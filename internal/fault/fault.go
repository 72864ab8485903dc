// Package fault sums up a day on which a part of the fleet was lost: what was won before
// the loss, during it and after the return, against what the capacity that was left would
// have allowed, what was refused, and whether rules were kept. It judges the results of
// package emulator, played by real processes or in virtual time, and does no I/O. It must
// not know how nodes decide.
package fault

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"pipitmux/internal/emulator"
)

// Share is what was won of what was asked in a part of the day, and what an estimate from
// capacity alone would have won (see emulator.Second). Each lies from 0 to 1.
type Share struct {
	Won   float64 `json:"g"`
	Ideal float64 `json:"ideal"`
}

// Refusal is what was refused of one class.
type Refusal struct {
	Class   string  `json:"class"`
	Worth   float64 `json:"worth"`
	PerWork float64 `json:"worth_per_work"` // a second of work
	Asked   int     `json:"asked"`
	Refused int     `json:"refused"` // operations whose last try was refused
	Part    float64 `json:"part"`
}

// SiteLoss is the report of a day with the loss of a site.
type SiteLoss struct {
	Scenario       string    `json:"scenario"`
	Seed           uint64    `json:"seed"`
	Played         string    `json:"played"` // "processes" or "emulated"
	Nodes          int       `json:"nodes"`
	Backends       int       `json:"backends"`
	Reqs           int       `json:"reqs"`
	Unanswered     int       `json:"unanswered"`
	DoubleEffects  int       `json:"double_effects"`
	LateDrainSends int       `json:"late_drain_sends"`
	FelledBackends int       `json:"felled_backends"`
	RefusedByWorth []Refusal `json:"refused_by_worth"` // least worth for its work first
	// ReturnOvershoot is the most that all nodes together sent a cold backend within the
	// fall-over window, as a multiple of what it could do; OvershootLimit fells it.
	ReturnOvershoot float64 `json:"return_overshoot"`
	OvershootLimit  float64 `json:"overshoot_limit"`
	Before          Share   `json:"before"`
	During          Share   `json:"during"`
	After           Share   `json:"after"`
	// SteadyAfterS is how long after the return the share won in steadyFor was back at
	// steadyPart of that before; -1: not on this day.
	SteadyAfterS float64 `json:"steady_after_s"`

	Happened []emulator.Happening `json:"happened"`
	Seconds  []emulator.Second    `json:"seconds"`
}

const (
	steadyFor  = 3    // seconds
	steadyPart = 0.95 // of what was won before
)

// Clean tells that no rule was broken.
func (s *SiteLoss) Clean() bool {
	return s.Unanswered+s.DoubleEffects+s.LateDrainSends+s.FelledBackends == 0
}

// ErrNoLoss tells that a scenario states no loss of a site.
var ErrNoLoss = errors.New("troubles: a zone_loss or a cut at a stated time is wanted")

// Window returns the second at which the first loss of a site begins and the one at which
// the last is over, counted from the beginning of the clients.
func Window(sc *emulator.Scenario) (from, to time.Duration, err error) {
	for i := range sc.Troubles {
		t := &sc.Troubles[i]
		if t.Kind != "zone_loss" && t.Kind != "cut" || t.AtS.From != t.AtS.To || t.ForS.From != t.ForS.To {
			continue
		}
		begin := time.Duration(t.AtS.From * float64(time.Second))
		end := begin + time.Duration(t.ForS.From*float64(time.Second))
		if to == 0 || begin < from {
			from = begin
		}
		to = max(to, end)
	}
	if to == 0 {
		return 0, 0, ErrNoLoss
	}
	return from, to, nil
}

// Sum sums up a day of the scenario.
func Sum(sc *emulator.Scenario, r *emulator.Result, played string) (*SiteLoss, error) {
	from, to, err := Window(sc)
	if err != nil {
		return nil, err
	}
	s := &SiteLoss{Scenario: r.Scenario, Seed: r.Seed, Played: played, Nodes: r.Nodes, Backends: r.Backends, Reqs: r.Reqs,
		Unanswered: r.Rules.Unanswered, DoubleEffects: r.Rules.DoubleEffects, LateDrainSends: r.Rules.LateDrainSends,
		FelledBackends: r.Rules.FelledBackends, ReturnOvershoot: r.Rules.Overshoot, OvershootLimit: sc.Rules.FallMultiple.From,
		Happened: r.Happened, Seconds: r.Seconds}
	for i := range sc.Classes {
		c := &sc.Classes[i]
		got := r.Classes[c.Name]
		f := Refusal{Class: c.Name, Worth: c.Worth.From, PerWork: c.Worth.From / c.WorkMS.From * 1000, Asked: got.Asked, Refused: got.Refused}
		if f.Asked > 0 {
			f.Part = float64(f.Refused) / float64(f.Asked)
		}
		s.RefusedByWorth = append(s.RefusedByWorth, f)
	}
	slices.SortStableFunc(s.RefusedByWorth, func(a, b Refusal) int { return cmp.Compare(a.PerWork, b.PerWork) })
	// The figures leave the first second out; a second in which something begins or ends
	// counts to neither side whole, so it goes to the loss.
	lost, back := int(from.Seconds())-1, int(to.Seconds())
	s.Before, s.During, s.After = share(r.Seconds, 0, lost), share(r.Seconds, lost, back), share(r.Seconds, back, len(r.Seconds))
	s.SteadyAfterS = -1
	for i := back; i+steadyFor <= len(r.Seconds); i++ {
		if share(r.Seconds, i, i+steadyFor).Won >= steadyPart*s.Before.Won {
			s.SteadyAfterS = float64(i - back)
			break
		}
	}
	return s, nil
}

func share(of []emulator.Second, from, to int) (s Share) {
	asked := 0.0
	for _, x := range of[min(max(from, 0), len(of)):min(max(to, 0), len(of))] {
		asked += x.Asked
		s.Won += x.Won
		s.Ideal += x.Ideal
	}
	if asked > 0 {
		s.Won, s.Ideal = s.Won/asked, s.Ideal/asked
	}
	return s
}
