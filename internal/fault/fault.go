// Package fault summarizes a run in which a part of the fleet was lost: the worth earned before
// the loss, during it and after the return, compared with what the remaining capacity would
// have allowed, what was rejected, and whether rules were kept. It reads the results of
// package emulator, from real processes or from virtual time, and does no I/O. It must not
// know how nodes decide.
package fault

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"oakseam/internal/emulator"
)

// RunSummary holds what every report has: the run and its counts of broken rules.
type RunSummary struct {
	Scenario           string `json:"scenario"`
	Seed               uint64 `json:"seed"`
	Execution          string `json:"played"` // "processes" or "emulated"
	Nodes              int    `json:"nodes"`
	Backends           int    `json:"backends"`
	Requests           int    `json:"reqs"`
	Unanswered         int    `json:"unanswered"`
	DuplicateEffects   int    `json:"double_effects"`
	LateDrainSends     int    `json:"late_drain_sends"`
	OverloadedBackends int    `json:"felled_backends"`

	FaultEvents []emulator.FaultEvent  `json:"happened"`
	Seconds     []emulator.SecondStats `json:"seconds"`
}

// Clean reports whether no rule was broken.
func (s *RunSummary) Clean() bool {
	return s.Unanswered+s.DuplicateEffects+s.LateDrainSends+s.OverloadedBackends == 0
}

// newRunSummary returns the common part of a report.
func newRunSummary(r *emulator.Result, execution string) RunSummary {
	return RunSummary{Scenario: r.Scenario, Seed: r.Seed, Execution: execution, Nodes: r.Nodes, Backends: r.Backends, Requests: r.Operations,
		Unanswered: r.Rules.Unanswered, DuplicateEffects: r.Rules.DuplicateEffects, LateDrainSends: r.Rules.LateDrainSends,
		OverloadedBackends: r.Rules.OverloadedBackends, FaultEvents: r.FaultEvents, Seconds: r.Seconds}
}

// Rejection holds how much of one class was rejected.
type Rejection struct {
	Class      string  `json:"class"`
	Worth      float64 `json:"worth"`
	PerWork    float64 `json:"worth_per_work"` // worth per second of work
	Operations int     `json:"asked"`
	Rejected   int     `json:"refused"` // operations whose last request was rejected
	Share      float64 `json:"part"`
}

// SiteLoss is the report of a run in which a site was lost. Each G is the earned share of the worth
// offered in that part of the run. Each ideal is the share that an estimate from capacity alone would
// have earned (see emulator.SecondStats).
type SiteLoss struct {
	RunSummary
	RejectedByWorth []Rejection `json:"refused_by_worth"` // ordered by worth per work, lowest first
	// ReturnOvershoot is the largest amount of work that all nodes together sent a cold backend
	// within the overload window, as a multiple of its capacity. At OvershootLimit the backend fails.
	ReturnOvershoot float64 `json:"return_overshoot"`
	OvershootLimit  float64 `json:"overshoot_limit"`
	GBefore         float64 `json:"g_before"`
	GDuring         float64 `json:"g_during"`
	GAfter          float64 `json:"g_after"`
	IdealBefore     float64 `json:"ideal_before"`
	IdealDuring     float64 `json:"ideal_during"`
	IdealAfter      float64 `json:"ideal_after"`
	// SteadyAfterS is how long after the return the share earned in steadySeconds was again
	// steadyShare of that before the loss. It is -1 if that did not happen in this run.
	SteadyAfterS float64 `json:"steady_after_s"`
}

const (
	steadySeconds = 3    // length of the interval that must be steady
	steadyShare   = 0.95 // of the share that was earned before the loss
)

// PowerLoss is the report of a run in which all machines lost power.
type PowerLoss struct {
	RunSummary
	StaleSends     int     `json:"stale_sends"` // attempts sent to a backend after its node was told that the backend is gone
	Overshoot      float64 `json:"overshoot"`   // see SiteLoss.ReturnOvershoot
	OvershootLimit float64 `json:"overshoot_limit"`
	GBefore        float64 `json:"g_before"`
	GFirst60S      float64 `json:"g_first_60s"` // after power returned
	IdealFirst60S  float64 `json:"ideal_first_60s"`
	// SecondsToService is how long after power returned the share earned in steadySeconds was
	// steadyShare of that before the loss. It is -1 if that did not happen in this run.
	SecondsToService float64 `json:"seconds_to_service"`
}

// Clean reports whether no rule was broken and nothing was sent to backends known to be gone.
func (p *PowerLoss) Clean() bool {
	return p.RunSummary.Clean() && p.StaleSends == 0
}

// ErrNoLoss means that a scenario has no loss of the requested kind at a fixed time.
var ErrNoLoss = errors.New("no such loss at a stated time")

// The kinds of faults that each report covers.
var (
	SiteLossKinds  = []string{"zone_loss", "cut"}
	PowerLossKinds = []string{"power_loss"}
)

// LossWindow returns when the first loss of one of the kinds begins and when the last one ends,
// counted from the start of the clients.
func LossWindow(sc *emulator.Scenario, kinds []string) (from, to time.Duration, err error) {
	for i := range sc.Troubles {
		t := &sc.Troubles[i]
		if !slices.Contains(kinds, t.Kind) || t.AtS.From != t.AtS.To || t.DurationS.From != t.DurationS.To {
			continue
		}
		begin := time.Duration(t.AtS.From * float64(time.Second))
		end := begin + time.Duration(t.DurationS.From*float64(time.Second))
		if to == 0 || begin < from {
			from = begin
		}
		to = max(to, end)
	}
	if to == 0 {
		return 0, 0, fmt.Errorf("troubles: %w: %s", ErrNoLoss, strings.Join(kinds, " or "))
	}
	return from, to, nil
}

// SummarizePowerLoss summarizes a run of the scenario in which power was lost.
func SummarizePowerLoss(sc *emulator.Scenario, r *emulator.Result, execution string) (*PowerLoss, error) {
	from, to, err := LossWindow(sc, PowerLossKinds)
	if err != nil {
		return nil, err
	}
	p := &PowerLoss{RunSummary: newRunSummary(r, execution), StaleSends: r.StaleSends, Overshoot: r.Rules.Overshoot,
		OvershootLimit: sc.Rules.FallMultiple.From}
	returned := int(to.Seconds())
	p.GBefore, _ = earnedShare(r.Seconds, 0, int(from.Seconds())-1)
	p.GFirst60S, p.IdealFirst60S = earnedShare(r.Seconds, returned, returned+60)
	p.SecondsToService = secondsUntilSteady(r.Seconds, returned, p.GBefore)
	return p, nil
}

// secondsUntilSteady returns how many seconds after a given one the share earned in steadySeconds is
// steadyShare of an earlier share again, or -1.
func secondsUntilSteady(seconds []emulator.SecondStats, returned int, before float64) float64 {
	for i := returned; i+steadySeconds <= len(seconds); i++ {
		if earned, _ := earnedShare(seconds, i, i+steadySeconds); earned >= steadyShare*before {
			return float64(i - returned)
		}
	}
	return -1
}

// SummarizeSiteLoss summarizes a run of the scenario in which a site was lost or partitioned.
func SummarizeSiteLoss(sc *emulator.Scenario, r *emulator.Result, execution string) (*SiteLoss, error) {
	from, to, err := LossWindow(sc, SiteLossKinds)
	if err != nil {
		return nil, err
	}
	s := &SiteLoss{RunSummary: newRunSummary(r, execution), ReturnOvershoot: r.Rules.Overshoot, OvershootLimit: sc.Rules.FallMultiple.From}
	for i := range sc.Classes {
		c := &sc.Classes[i]
		got := r.Classes[c.Name]
		rejection := Rejection{Class: c.Name, Worth: c.Worth.From, PerWork: c.Worth.From / c.WorkMS.From * 1000, Operations: got.Operations, Rejected: got.Rejected}
		if rejection.Operations > 0 {
			rejection.Share = float64(rejection.Rejected) / float64(rejection.Operations)
		}
		s.RejectedByWorth = append(s.RejectedByWorth, rejection)
	}
	slices.SortStableFunc(s.RejectedByWorth, func(a, b Rejection) int { return cmp.Compare(a.PerWork, b.PerWork) })
	// The result's seconds begin one second after the clients do. A second in which a loss begins or
	// ends lies on both sides of it, so it counts as part of the loss.
	lost, returned := int(from.Seconds())-1, int(to.Seconds())
	s.GBefore, s.IdealBefore = earnedShare(r.Seconds, 0, lost)
	s.GDuring, s.IdealDuring = earnedShare(r.Seconds, lost, returned)
	s.GAfter, s.IdealAfter = earnedShare(r.Seconds, returned, len(r.Seconds))
	s.SteadyAfterS = secondsUntilSteady(r.Seconds, returned, s.GBefore)
	return s, nil
}

// earnedShare returns the earned and the ideal share of the worth offered in a range of seconds.
func earnedShare(seconds []emulator.SecondStats, from, to int) (earned, ideal float64) {
	offered := 0.0
	for _, x := range seconds[min(max(from, 0), len(seconds)):min(max(to, 0), len(seconds))] {
		offered, earned, ideal = offered+x.OfferedWorth, earned+x.EarnedWorth, ideal+x.IdealWorth
	}
	if offered == 0 {
		return 0, 0
	}
	return earned / offered, ideal / offered
}
