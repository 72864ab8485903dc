// Package fault sums up a day on which a part of the fleet was lost: what was won before
// the loss, during it and after the return, against what the capacity that was left would
// have allowed, what was refused, and whether rules were kept. It judges the results of
// package emulator, played by real processes or in virtual time, and does no I/O. It must
// not know how nodes decide.
package fault

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"pipitmux/internal/emulator"
)

// Day is what every report holds.
type Day struct {
	Scenario           string `json:"scenario"`
	Seed               uint64 `json:"seed"`
	Played             string `json:"played"` // "processes" or "emulated"
	Nodes              int    `json:"nodes"`
	Backends           int    `json:"backends"`
	Requests           int    `json:"reqs"`
	Unanswered         int    `json:"unanswered"`
	DuplicateEffects   int    `json:"double_effects"`
	LateDrainSends     int    `json:"late_drain_sends"`
	OverloadedBackends int    `json:"felled_backends"`

	Happened []emulator.FaultEvent  `json:"happened"`
	Seconds  []emulator.SecondStats `json:"seconds"`
}

// Clean tells that no rule was broken.
func (d *Day) Clean() bool {
	return d.Unanswered+d.DuplicateEffects+d.LateDrainSends+d.OverloadedBackends == 0
}

func dayOf(r *emulator.Result, played string) Day {
	return Day{Scenario: r.Scenario, Seed: r.Seed, Played: played, Nodes: r.Nodes, Backends: r.Backends, Requests: r.Operations,
		Unanswered: r.Rules.Unanswered, DuplicateEffects: r.Rules.DuplicateEffects, LateDrainSends: r.Rules.LateDrainSends,
		OverloadedBackends: r.Rules.OverloadedBackends, Happened: r.FaultEvents, Seconds: r.Seconds}
}

// Rejection is what was refused of one class.
type Rejection struct {
	Class   string  `json:"class"`
	Worth   float64 `json:"worth"`
	PerWork float64 `json:"worth_per_work"` // a second of work
	Asked   int     `json:"asked"`
	Refused int     `json:"refused"` // operations whose last try was refused
	Part    float64 `json:"part"`
}

// SiteLoss is the report of a day with the loss of a site. A G is the part won of the worth
// asked in its part of the day, an ideal what an estimate from capacity alone would have won
// (see emulator.Second).
type SiteLoss struct {
	Day
	RefusedByWorth []Rejection `json:"refused_by_worth"` // least worth for its work first
	// ReturnOvershoot is the most that all nodes together sent a cold backend within the
	// fall-over window, as a multiple of what it could do; OvershootLimit fells it.
	ReturnOvershoot float64 `json:"return_overshoot"`
	OvershootLimit  float64 `json:"overshoot_limit"`
	GBefore         float64 `json:"g_before"`
	GDuring         float64 `json:"g_during"`
	GAfter          float64 `json:"g_after"`
	IdealBefore     float64 `json:"ideal_before"`
	IdealDuring     float64 `json:"ideal_during"`
	IdealAfter      float64 `json:"ideal_after"`
	// SteadyAfterS is how long after the return the share won in steadyFor was back at
	// steadyPart of that before; -1: not on this day.
	SteadyAfterS float64 `json:"steady_after_s"`
}

const (
	steadyFor  = 3    // seconds
	steadyPart = 0.95 // of what was won before
)

// PowerLoss is the report of a day on which all machines lost their power.
type PowerLoss struct {
	Day
	StaleSends     int     `json:"stale_sends"` // to a backend that its node had once been told was gone
	Overshoot      float64 `json:"overshoot"`   // see SiteLoss.ReturnOvershoot
	OvershootLimit float64 `json:"overshoot_limit"`
	GBefore        float64 `json:"g_before"`
	GFirst60S      float64 `json:"g_first_60s"` // after the power is back
	IdealFirst60S  float64 `json:"ideal_first_60s"`
	// SecondsToService is how long after the power is back the share won in steadyFor was
	// at steadyPart of that before; -1: not on this day.
	SecondsToService float64 `json:"seconds_to_service"`
}

// Clean tells that no rule was broken, and that nobody who was gone was sent to.
func (p *PowerLoss) Clean() bool {
	return p.Day.Clean() && p.StaleSends == 0
}

// ErrNoLoss tells that a scenario states no loss of the kind that is to be played.
var ErrNoLoss = errors.New("no such loss at a stated time")

// The kinds of trouble that a report is of.
var (
	SiteLossKinds  = []string{"zone_loss", "cut"}
	PowerLossKinds = []string{"power_loss"}
)

// LossWindow returns when the first loss of one of the kinds begins and when the last is over,
// counted from the beginning of the clients.
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

// SummarizePowerLoss sums up a day of the scenario on which the power was lost.
func SummarizePowerLoss(sc *emulator.Scenario, r *emulator.Result, played string) (*PowerLoss, error) {
	from, to, err := LossWindow(sc, PowerLossKinds)
	if err != nil {
		return nil, err
	}
	p := &PowerLoss{Day: dayOf(r, played), StaleSends: r.StaleSends, Overshoot: r.Rules.Overshoot,
		OvershootLimit: sc.Rules.FallMultiple.From}
	back := int(to.Seconds())
	p.GBefore, _ = share(r.Seconds, 0, int(from.Seconds())-1)
	p.GFirst60S, p.IdealFirst60S = share(r.Seconds, back, back+60)
	p.SecondsToService = steady(r.Seconds, back, p.GBefore)
	return p, nil
}

// steady is how many seconds after one the share won is steadyPart of a former one again.
func steady(of []emulator.SecondStats, back int, before float64) float64 {
	for i := back; i+steadyFor <= len(of); i++ {
		if won, _ := share(of, i, i+steadyFor); won >= steadyPart*before {
			return float64(i - back)
		}
	}
	return -1
}

// SummarizeSiteLoss sums up a day of the scenario on which a site was lost or cut off.
func SummarizeSiteLoss(sc *emulator.Scenario, r *emulator.Result, played string) (*SiteLoss, error) {
	from, to, err := LossWindow(sc, SiteLossKinds)
	if err != nil {
		return nil, err
	}
	s := &SiteLoss{Day: dayOf(r, played), ReturnOvershoot: r.Rules.Overshoot, OvershootLimit: sc.Rules.FallMultiple.From}
	for i := range sc.Classes {
		c := &sc.Classes[i]
		got := r.Classes[c.Name]
		f := Rejection{Class: c.Name, Worth: c.Worth.From, PerWork: c.Worth.From / c.WorkMS.From * 1000, Asked: got.Operations, Refused: got.Rejected}
		if f.Asked > 0 {
			f.Part = float64(f.Refused) / float64(f.Asked)
		}
		s.RefusedByWorth = append(s.RefusedByWorth, f)
	}
	slices.SortStableFunc(s.RefusedByWorth, func(a, b Rejection) int { return cmp.Compare(a.PerWork, b.PerWork) })
	// The figures leave the first second out; a second in which something begins or ends
	// counts to neither side whole, so it goes to the loss.
	lost, back := int(from.Seconds())-1, int(to.Seconds())
	s.GBefore, s.IdealBefore = share(r.Seconds, 0, lost)
	s.GDuring, s.IdealDuring = share(r.Seconds, lost, back)
	s.GAfter, s.IdealAfter = share(r.Seconds, back, len(r.Seconds))
	s.SteadyAfterS = steady(r.Seconds, back, s.GBefore)
	return s, nil
}

func share(of []emulator.SecondStats, from, to int) (won, ideal float64) {
	asked := 0.0
	for _, x := range of[min(max(from, 0), len(of)):min(max(to, 0), len(of))] {
		asked, won, ideal = asked+x.OfferedWorth, won+x.EarnedWorth, ideal+x.IdealWorth
	}
	if asked == 0 {
		return 0, 0
	}
	return won / asked, ideal / asked
}
