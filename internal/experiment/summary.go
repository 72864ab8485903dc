package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"oakseam/internal/emulator"
)

// Interval is a median with its 95% confidence interval.
type Interval struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

// resamples is the number of bootstrap samples that an interval is computed from.
const resamples = 2000

// MedianWithInterval returns the median of values with a bootstrap confidence interval (Efron's
// percentile method). The same values always give the same interval. Without values all is NaN.
func MedianWithInterval(values []float64) Interval {
	if len(values) == 0 {
		return Interval{math.NaN(), math.NaN(), math.NaN()}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	weights := make([]float64, len(sorted))
	for i := range weights {
		weights[i] = 1
	}
	categorical := distuv.NewCategorical(weights, rand.NewPCG(1, uint64(len(sorted))))
	medians, sample := make([]float64, resamples), make([]float64, len(sorted))
	for i := range medians {
		for j := range sample {
			sample[j] = sorted[int(categorical.Rand())]
		}
		slices.Sort(sample)
		medians[i] = median(sample)
	}
	slices.Sort(medians)
	return Interval{median(sorted), stat.Quantile(.025, stat.Empirical, medians, nil), stat.Quantile(.975, stat.Empirical, medians, nil)}
}

// median returns the median of sorted values: the mean of the two in the middle if their number is
// even.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Row summarizes the cells that differ only in their seeds.
type Row struct {
	Variant            string   `json:"variant"`
	Grid               []string `json:"grid"`
	Policy             string   `json:"policy"`
	Runs               int      `json:"days"` // number of cells
	G                  Interval `json:"g"`
	P99                Interval `json:"p99_ms"`  // of the class with the most operations
	Retries            Interval `json:"retries"` // per request
	SendsToCold        Interval `json:"sends_to_cold"`
	RunsWithViolations [4]int   `json:"rules"` // cells in which a rule was broken: unanswered, duplicate effects, late drain sends, overloaded backends
	Backends           float64  `json:"backends"`
	Requests           float64  `json:"reqs"`
	// CostUS is the time it took to emulate a request on this machine, in microseconds. All other
	// fields depend on the plan and the program only, so the cost is reported only on request.
	CostUS  *Interval `json:"cost_us,omitempty"`
	records []*Record
}

// Summarize returns the rows of a store, in the order of the cells' keys.
func Summarize(s *Store) ([]*Row, error) {
	rows := map[string]*Row{}
	var order []string
	err := s.Each(func(r *Record) error {
		k := r.Group()
		if rows[k] == nil {
			rows[k] = &Row{Variant: r.Variant, Grid: r.Grid, Policy: r.Policy}
			order = append(order, k)
		}
		rows[k].records = append(rows[k].records, r)
		return nil
	})
	if err != nil {
		return nil, err
	}
	sort.Strings(order)
	out := make([]*Row, 0, len(order))
	for _, k := range order {
		rows[k].summarize()
		out = append(out, rows[k])
	}
	return out, nil
}

// summarize computes the row's figures from its records.
func (row *Row) summarize() {
	get := func(value func(*Record) float64) Interval {
		var values []float64
		for _, r := range row.records {
			values = append(values, value(r))
		}
		return MedianWithInterval(values)
	}
	row.Runs = len(row.records)
	row.G = get(func(r *Record) float64 { return r.Result.Score })
	row.P99 = get(func(r *Record) float64 { return r.Result.LatencyMS[busiestClass(r.Result)].P99 })
	row.Retries = get(func(r *Record) float64 { return float64(r.Result.Retries) / float64(max(r.Result.Operations, 1)) })
	row.SendsToCold = get(func(r *Record) float64 { return float64(r.Result.SendsToCold) })
	cost := get(func(r *Record) float64 { return float64(r.TookNS) / 1000 / float64(max(r.Result.Operations, 1)) })
	row.CostUS = &cost
	row.Backends = get(func(r *Record) float64 { return float64(r.Result.Backends) }).Median
	row.Requests = get(func(r *Record) float64 { return float64(r.Result.Operations) }).Median
	for _, r := range row.records {
		for i, n := range []int{r.Result.Rules.Unanswered, r.Result.Rules.DuplicateEffects, r.Result.Rules.LateDrainSends, r.Result.Rules.OverloadedBackends} {
			if n > 0 {
				row.RunsWithViolations[i]++
			}
		}
	}
}

// busiestClass returns the class with the most operations, and of several the first by name.
func busiestClass(r *emulator.Result) string {
	best, n := "", -1
	for name, c := range r.Classes {
		if c.Operations > n || c.Operations == n && name < best {
			best, n = name, c.Operations
		}
	}
	return best
}
