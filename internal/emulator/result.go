package emulator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pipitmux/internal/audit"
	"pipitmux/internal/core"
	"pipitmux/internal/latency"
)

// ClassResult is what became of one class.
type ClassResult struct {
	Asked  int `json:"asked"`
	Served int `json:"served"`
	InAim  int `json:"in_aim"`
	// Refused counts operations whose last try was refused, by which the client gave up.
	Refused int     `json:"refused"`
	G       float64 `json:"g"`
}

// Second is one second of the day, by the operations that began in it.
type Second struct {
	Asked float64 `json:"asked"` // worth
	Won   float64 `json:"won"`
	Ideal float64 `json:"ideal"` // worth that the capacity of the backends that were up allows
}

// Result is what a day came to. It holds no figure of the machine it ran on:
// two runs of one scenario and seed are equal to the byte.
type Result struct {
	Scenario  string                       `json:"scenario"`
	Policy    string                       `json:"policy"`
	Seed      uint64                       `json:"seed"`
	Nodes     int                          `json:"nodes"`
	Backends  int                          `json:"backends"`
	Requests  int                          `json:"reqs"`  // operations of clients
	Tries     int                          `json:"tries"` // requests that they made of them
	G         float64                      `json:"g"`
	Parts     map[string]float64           `json:"parts"`      // of g: what it is mixed of, and the prices
	LatencyMS map[string]latency.Quantiles `json:"latency_ms"` // of what was served, from the first try on
	Classes   map[string]ClassResult       `json:"classes"`
	Answers   map[string]int               `json:"answers"` // of nodes, by kind
	Attempts  int                          `json:"attempts"`
	Retries   int                          `json:"retries"` // attempts beyond the first of a request
	ToCold    int                          `json:"sends_to_cold"`
	Opened    int                          `json:"connections_opened"`
	Crowded   int                          `json:"crowded"`      // times that a backend became so
	CutOff    int                          `json:"lost_in_cuts"` // requests and answers
	Stale     int                          `json:"stale_sends"`  // to a backend that its node had once been told was gone
	Rules     *audit.Report                `json:"rules"`
	Broken    []audit.Violation            `json:"broken,omitempty"`
	Events    int                          `json:"events"` // emulated
	Happened  []Happening                  `json:"happened"`
	Seconds   []Second                     `json:"seconds"`
	Members   *MembersResult               `json:"members,omitempty"`
}

// tally counts what clients got.
type tally struct {
	w       *world
	seconds []Second
	asks    map[*Class]*classTally
	answers [4]int
	lateEnd float64 // worth of what ended unserved after its aim
	worth   float64
	start   time.Duration
	able    []float64       // by second: seconds of work that the backends could do
	came    [][]classDemand // by second and class
}

// classDemand is what came of one class within a second.
type classDemand struct{ worth, work float64 }

// lookEvery is how often the backends' capacity is looked at.
const lookEvery = 100 * time.Millisecond

// look adds up what the backends that are up can do, until the clients have gone. What a
// policy has crowded counts as if it had not.
func (t *tally) look() {
	if t.w.now >= t.w.traffic.until {
		return
	}
	sum := 0.0
	for _, b := range t.w.backends {
		if b.state == Up && !b.draining && b.hanging == 0 && !b.paused {
			sum += b.bearable() / b.slow * (1 - b.failing)
		}
	}
	if i := int((t.w.now - t.start) / time.Second); t.w.now >= t.start {
		for len(t.able) <= i {
			t.able = append(t.able, 0)
		}
		t.able[i] += sum * lookEvery.Seconds()
	}
	t.w.after(lookEvery, t.look)
}

// ideal is the worth of a second's requests that its capacity allows, the most worth for
// its work first.
func ideal(came []classDemand, able float64) (worth float64) {
	came = slices.Clone(came)
	slices.SortFunc(came, func(a, b classDemand) int { return cmp.Compare(b.worth*a.work, a.worth*b.work) })
	for _, c := range came {
		if c.work > 0 {
			part := min(able/c.work, 1)
			worth, able = worth+part*c.worth, able-part*c.work
		}
	}
	return worth
}

type classTally struct {
	ClassResult
	worth, won float64
	hist       *hdrhistogram.Histogram
}

// warmUp is left out of all figures, as the first second of a day is of no day's.
const warmUp = time.Second

func newTally(w *world) *tally {
	t := &tally{w: w, asks: map[*Class]*classTally{}}
	for i := range w.sc.Classes {
		c := &w.sc.Classes[i]
		most := max(c.DeadlineMS.ms().Microseconds()*4, 1000)
		t.asks[c] = &classTally{hist: hdrhistogram.New(1, most, 3)}
	}
	return t
}

func (t *tally) counts(o *op) bool { return o.began >= t.start }

func (t *tally) second(o *op) *Second {
	i := int((o.began - t.start) / time.Second)
	for len(t.seconds) <= i {
		t.seconds = append(t.seconds, Second{})
	}
	return &t.seconds[i]
}

func (t *tally) asked(o *op) {
	if !t.counts(o) {
		return
	}
	c := t.asks[o.class]
	c.Asked++
	c.worth += o.class.Worth.From
	t.worth += o.class.Worth.From
	t.second(o).Asked += o.class.Worth.From
	i := len(t.seconds) - 1
	for len(t.came) <= i {
		t.came = append(t.came, make([]classDemand, len(t.w.sc.Classes)))
	}
	for k := range t.w.sc.Classes {
		if &t.w.sc.Classes[k] == o.class {
			t.came[i][k].worth += o.class.Worth.From
			t.came[i][k].work += o.work
		}
	}
}

func (t *tally) answered(k core.AnswerKind) { t.answers[k]++ }

func (t *tally) served(o *op) {
	if !t.counts(o) {
		return
	}
	c, took := t.asks[o.class], t.w.now-o.began
	c.Served++
	c.hist.RecordValue(took.Microseconds())
	won := 0.0
	switch {
	case took <= o.class.AimMS.ms():
		c.InAim++
		won = o.class.Worth.From
	case took <= o.class.DeadlineMS.ms():
		won = o.class.Worth.From * o.class.LateWorth.From
	}
	c.won += won
	t.second(o).Won += won
}

func (t *tally) lost(o *op, v verdict) {
	if t.counts(o) && v == refused {
		t.asks[o.class].Refused++
	}
	if t.counts(o) && t.w.now-o.began > o.class.AimMS.ms() {
		t.lateEnd += o.class.Worth.From
	}
}

const worstWindow = 10 // seconds

func (w *world) result(policy string, seed uint64) *Result {
	t, sc := w.tally, w.sc
	r := &Result{Scenario: sc.Name, Policy: policy, Seed: seed, Nodes: len(w.nodes), Requests: int(w.traffic.ops), Tries: int(w.traffic.tries),
		LatencyMS: map[string]latency.Quantiles{}, Classes: map[string]ClassResult{}, Answers: map[string]int{}, Parts: map[string]float64{},
		Attempts: w.sends, Retries: w.resent, ToCold: w.toCold, Opened: w.handshakes, Crowded: w.crowdings, CutOff: w.lostInCuts, Stale: w.stale, Events: w.events, Happened: w.happenings}
	for _, b := range w.backends {
		if !b.retired {
			r.Backends++
		}
	}
	for i, name := range []string{"served", "refused", "failed", "duplicate"} {
		r.Answers[name] = t.answers[i]
	}
	worstClass, won := 1.0, 0.0
	for i := range sc.Classes {
		c := &sc.Classes[i]
		ct := t.asks[c]
		if ct.worth > 0 {
			ct.G = ct.won / ct.worth
			worstClass = min(worstClass, ct.G)
		}
		won += ct.won
		r.Classes[c.Name] = round(ct.ClassResult)
		r.LatencyMS[c.Name] = latency.Of(ct.hist)
	}
	if t.worth > 0 {
		whole := won / t.worth
		first := float64(max(int(w.traffic.ops), 1))
		ever := 0
		for _, b := range w.backends {
			if b.ever {
				ever++
			}
		}
		prices := sc.Prices.Waste.From*min(w.workWasted/max(w.workAsked, 1e-9), 1) + sc.Prices.LateFail.From*t.lateEnd/t.worth +
			sc.Prices.Handshake.From*float64(w.handshakes)/first + sc.Prices.CrossZone.From*float64(w.crossings)/first +
			sc.Prices.Crowded.From*float64(ever)/float64(len(w.backends))
		window := t.worstWindow()
		r.G = round6(sc.Goal.Whole.From*whole + sc.Goal.WorstWindow.From*window + sc.Goal.WorstClass.From*worstClass - prices)
		r.Parts = map[string]float64{"whole": round6(whole), "worst_window": round6(window), "worst_class": round6(worstClass), "prices": round6(prices)}
	}
	for i, s := range t.seconds {
		if i < len(t.able) && i < len(t.came) {
			s.Ideal = ideal(t.came[i], t.able[i])
		}
		r.Seconds = append(r.Seconds, Second{round6(s.Asked), round6(s.Won), round6(s.Ideal)})
	}
	r.Members = w.tier.result()
	r.Rules = w.audit.Finish(w.now)
	r.Broken = r.Rules.Violations
	return r
}

// worstWindow is the least part won within ten seconds in a row.
func (t *tally) worstWindow() float64 {
	worst := 1.0
	for i := 0; i == 0 || i+worstWindow <= len(t.seconds); i++ {
		asked, won := 0.0, 0.0
		for _, s := range t.seconds[i:min(i+worstWindow, len(t.seconds))] {
			asked, won = asked+s.Asked, won+s.Won
		}
		if asked > 0 {
			worst = min(worst, won/asked)
		}
	}
	return worst
}

func round6(x float64) float64 { return math.Round(x*1e6) / 1e6 }

func round(c ClassResult) ClassResult {
	c.G = round6(c.G)
	return c
}
