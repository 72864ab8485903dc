package emulator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oakseam/internal/audit"
	"oakseam/internal/core"
	"oakseam/internal/latency"
)

// ClassResult is the result of one class of requests.
type ClassResult struct {
	Operations int `json:"asked"`
	Served     int `json:"served"`
	WithinAim  int `json:"in_aim"`
	// Rejected counts operations whose last request was rejected, so that the client gave up.
	Rejected int     `json:"refused"`
	Score    float64 `json:"g"`
}

// SecondStats describes one second of the run, by the operations that began in it.
type SecondStats struct {
	OfferedWorth float64 `json:"asked"`
	EarnedWorth  float64 `json:"won"`
	IdealWorth   float64 `json:"ideal"` // worth that the capacity of the backends that were up allows
}

// Result is the result of a run. It contains nothing about the machine that it ran on: two runs of
// the same scenario and seed give the same bytes.
type Result struct {
	Scenario          string                       `json:"scenario"`
	Policy            string                       `json:"policy"`
	Seed              uint64                       `json:"seed"`
	Nodes             int                          `json:"nodes"`
	Backends          int                          `json:"backends"`
	Operations        int                          `json:"reqs"`  // of clients
	ClientRequests    int                          `json:"tries"` // sent for the operations
	Score             float64                      `json:"g"`
	ScoreParts        map[string]float64           `json:"parts"`      // weighted parts and penalties
	LatencyMS         map[string]latency.Quantiles `json:"latency_ms"` // of served operations, from the first request on
	Classes           map[string]ClassResult       `json:"classes"`
	Answers           map[string]int               `json:"answers"` // of nodes, by kind
	Attempts          int                          `json:"attempts"`
	Retries           int                          `json:"retries"` // attempts beyond the first of a request
	SendsToCold       int                          `json:"sends_to_cold"`
	ConnectionsOpened int                          `json:"connections_opened"`
	CongestionCount   int                          `json:"crowded"`      // times that a backend became congested
	LostInPartitions  int                          `json:"lost_in_cuts"` // requests and responses
	StaleSends        int                          `json:"stale_sends"`  // to a backend that the node had been told was gone
	Rules             *audit.Report                `json:"rules"`
	Violations        []audit.Violation            `json:"broken,omitempty"`
	Events            int                          `json:"events"` // events of the emulator
	FaultEvents       []FaultEvent                 `json:"happened"`
	Seconds           []SecondStats                `json:"seconds"`
	Membership        *MembershipResult            `json:"members,omitempty"`
}

// statistics counts the results that clients got.
type statistics struct {
	sim               *simulation
	seconds           []SecondStats
	classes           map[*Class]*classStatistics
	answers           [4]int
	lateUnservedWorth float64 // worth of operations that ended unserved after their aim
	offeredWorth      float64
	start             time.Duration
	capacity          []float64       // by second: work that the backends could do, in seconds on a standard core
	demand            [][]classDemand // by second and class
}

// classDemand is the demand of one class within a second.
type classDemand struct{ worth, work float64 }

// capacitySampleInterval is the interval between samples of the backends' capacity.
const capacitySampleInterval = 100 * time.Millisecond

// sampleCapacity adds up the capacity of the backends that are up, until arrivals end. Congestion
// that a policy caused does not reduce it.
func (stats *statistics) sampleCapacity() {
	if stats.sim.now >= stats.sim.traffic.end {
		return
	}
	sum := 0.0
	for _, b := range stats.sim.backends {
		if b.state == Up && !b.draining && b.hangs == 0 && !b.paused {
			sum += b.warmCapacity() / b.slowdown * (1 - b.errorShare)
		}
	}
	if i := int((stats.sim.now - stats.start) / time.Second); stats.sim.now >= stats.start {
		for len(stats.capacity) <= i {
			stats.capacity = append(stats.capacity, 0)
		}
		stats.capacity[i] += sum * capacitySampleInterval.Seconds()
	}
	stats.sim.scheduleAfter(capacitySampleInterval, stats.sampleCapacity)
}

// idealWorth returns the worth of a second's demand that a capacity allows if the requests with the
// most worth per work are served first.
func idealWorth(demand []classDemand, capacity float64) (worth float64) {
	demand = slices.Clone(demand)
	slices.SortFunc(demand, func(a, b classDemand) int { return cmp.Compare(b.worth*a.work, a.worth*b.work) })
	for _, c := range demand {
		if c.work > 0 {
			part := min(capacity/c.work, 1)
			worth, capacity = worth+part*c.worth, capacity-part*c.work
		}
	}
	return worth
}

// classStatistics counts the results of one class.
type classStatistics struct {
	ClassResult
	offeredWorth float64
	earnedWorth  float64
	latencies    *hdrhistogram.Histogram
}

// warmUpPeriod is the time at the start of a run that is left out of all figures, because the fleet
// is not in a steady state then.
const warmUpPeriod = time.Second

func newStatistics(sim *simulation) *statistics {
	stats := &statistics{sim: sim, classes: map[*Class]*classStatistics{}}
	for i := range sim.scenario.Classes {
		c := &sim.scenario.Classes[i]
		most := max(c.DeadlineMS.ms().Microseconds()*4, 1000)
		stats.classes[c] = &classStatistics{latencies: hdrhistogram.New(1, most, 3)}
	}
	return stats
}

// afterWarmUp reports whether an operation counts.
func (stats *statistics) afterWarmUp(op *operation) bool { return op.startedAt >= stats.start }

// second returns the statistics of the second in which an operation began.
func (stats *statistics) second(op *operation) *SecondStats {
	i := int((op.startedAt - stats.start) / time.Second)
	for len(stats.seconds) <= i {
		stats.seconds = append(stats.seconds, SecondStats{})
	}
	return &stats.seconds[i]
}

// recordOperation counts an operation that begins.
func (stats *statistics) recordOperation(op *operation) {
	if !stats.afterWarmUp(op) {
		return
	}
	c := stats.classes[op.class]
	c.Operations++
	c.offeredWorth += op.class.Worth.From
	stats.offeredWorth += op.class.Worth.From
	stats.second(op).OfferedWorth += op.class.Worth.From
	i := len(stats.seconds) - 1
	for len(stats.demand) <= i {
		stats.demand = append(stats.demand, make([]classDemand, len(stats.sim.scenario.Classes)))
	}
	for k := range stats.sim.scenario.Classes {
		if &stats.sim.scenario.Classes[k] == op.class {
			stats.demand[i][k].worth += op.class.Worth.From
			stats.demand[i][k].work += op.work
		}
	}
}

// recordAnswer counts a node's answer.
func (stats *statistics) recordAnswer(k core.AnswerKind) { stats.answers[k]++ }

// recordServed counts an operation that was served.
func (stats *statistics) recordServed(op *operation) {
	if !stats.afterWarmUp(op) {
		return
	}
	c, took := stats.classes[op.class], stats.sim.now-op.startedAt
	c.Served++
	c.latencies.RecordValue(took.Microseconds())
	earnedWorth := 0.0
	switch {
	case took <= op.class.AimMS.ms():
		c.WithinAim++
		earnedWorth = op.class.Worth.From
	case took <= op.class.DeadlineMS.ms():
		earnedWorth = op.class.Worth.From * op.class.LateWorth.From
	}
	c.earnedWorth += earnedWorth
	stats.second(op).EarnedWorth += earnedWorth
}

// recordUnserved counts an operation that the client gave up.
func (stats *statistics) recordUnserved(op *operation, result requestResult) {
	if stats.afterWarmUp(op) && result == rejected {
		stats.classes[op.class].Rejected++
	}
	if stats.afterWarmUp(op) && stats.sim.now-op.startedAt > op.class.AimMS.ms() {
		stats.lateUnservedWorth += op.class.Worth.From
	}
}

// worstWindowSeconds is the length of the window whose worst share of worth is part of the score.
const worstWindowSeconds = 10

// buildResult computes the result of the run.
func (sim *simulation) buildResult(policy string, seed uint64) *Result {
	stats, scenario := sim.stats, sim.scenario
	r := &Result{Scenario: scenario.Name, Policy: policy, Seed: seed, Nodes: len(sim.nodes), Operations: int(sim.traffic.operations), ClientRequests: int(sim.traffic.requests),
		LatencyMS: map[string]latency.Quantiles{}, Classes: map[string]ClassResult{}, Answers: map[string]int{}, ScoreParts: map[string]float64{},
		Attempts: sim.attempts, Retries: sim.retries, SendsToCold: sim.sendsToCold, ConnectionsOpened: sim.handshakes, CongestionCount: sim.congestions, LostInPartitions: sim.lostInPartitions, StaleSends: sim.staleSends, Events: sim.events, FaultEvents: sim.faultEvents}
	for _, b := range sim.backends {
		if !b.retired {
			r.Backends++
		}
	}
	for i, name := range []string{"served", "refused", "failed", "duplicate"} {
		r.Answers[name] = stats.answers[i]
	}
	worstClass, earnedWorth := 1.0, 0.0
	for i := range scenario.Classes {
		c := &scenario.Classes[i]
		class := stats.classes[c]
		if class.offeredWorth > 0 {
			class.Score = class.earnedWorth / class.offeredWorth
			worstClass = min(worstClass, class.Score)
		}
		earnedWorth += class.earnedWorth
		r.Classes[c.Name] = roundScore(class.ClassResult)
		r.LatencyMS[c.Name] = latency.FromHistogram(class.latencies)
	}
	if stats.offeredWorth > 0 {
		overall := earnedWorth / stats.offeredWorth
		operations := float64(max(int(sim.traffic.operations), 1))
		congested := 0
		for _, b := range sim.backends {
			if b.everCongested {
				congested++
			}
		}
		penalties := scenario.Prices.WastedWork.From*min(sim.workWasted/max(sim.workRequested, 1e-9), 1) + scenario.Prices.LateFailure.From*stats.lateUnservedWorth/stats.offeredWorth +
			scenario.Prices.Handshake.From*float64(sim.handshakes)/operations + scenario.Prices.CrossZone.From*float64(sim.crossZoneSends)/operations +
			scenario.Prices.CongestedBackends.From*float64(congested)/float64(len(sim.backends))
		window := stats.worstWindowShare()
		r.Score = round6(scenario.Goal.Overall.From*overall + scenario.Goal.WorstWindow.From*window + scenario.Goal.WorstClass.From*worstClass - penalties)
		r.ScoreParts = map[string]float64{"whole": round6(overall), "worst_window": round6(window), "worst_class": round6(worstClass), "prices": round6(penalties)}
	}
	for i, s := range stats.seconds {
		if i < len(stats.capacity) && i < len(stats.demand) {
			s.IdealWorth = idealWorth(stats.demand[i], stats.capacity[i])
		}
		r.Seconds = append(r.Seconds, SecondStats{round6(s.OfferedWorth), round6(s.EarnedWorth), round6(s.IdealWorth)})
	}
	r.Membership = sim.peerNetwork.result()
	r.Rules = sim.auditor.Finish(sim.now)
	r.Violations = r.Rules.Violations
	return r
}

// worstWindowShare returns the least share of worth earned within worstWindowSeconds in a row.
func (stats *statistics) worstWindowShare() float64 {
	worst := 1.0
	for i := 0; i == 0 || i+worstWindowSeconds <= len(stats.seconds); i++ {
		offeredWorth, earnedWorth := 0.0, 0.0
		for _, s := range stats.seconds[i:min(i+worstWindowSeconds, len(stats.seconds))] {
			offeredWorth, earnedWorth = offeredWorth+s.OfferedWorth, earnedWorth+s.EarnedWorth
		}
		if offeredWorth > 0 {
			worst = min(worst, earnedWorth/offeredWorth)
		}
	}
	return worst
}

// round6 rounds to six decimals, so that results are short and comparable.
func round6(x float64) float64 { return math.Round(x*1e6) / 1e6 }

func roundScore(c ClassResult) ClassResult {
	c.Score = round6(c.Score)
	return c
}
