package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"pipitmux/internal/emulator"
)

// Range is a median and its interval, in which it lies with 95% confidence.
type Range struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

const resamples = 2000

// Median returns the median of values with a bootstrap interval (Efron's
// percentile method). The same values give the same interval.
func Median(values []float64) Range {
	if len(values) == 0 {
		return Range{math.NaN(), math.NaN(), math.NaN()}
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	weights := make([]float64, len(sorted))
	for i := range weights {
		weights[i] = 1
	}
	draw := distuv.NewCategorical(weights, rand.NewPCG(1, uint64(len(sorted))))
	medians, sample := make([]float64, resamples), make([]float64, len(sorted))
	for i := range medians {
		for j := range sample {
			sample[j] = sorted[int(draw.Rand())]
		}
		slices.Sort(sample)
		medians[i] = median(sample)
	}
	slices.Sort(medians)
	return Range{median(sorted), stat.Quantile(.025, stat.Empirical, medians, nil), stat.Quantile(.975, stat.Empirical, medians, nil)}
}

// median of sorted values; of an even number, between the two in the middle.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Row sums the cells up that differ in their seeds only.
type Row struct {
	Variant  string   `json:"variant"`
	Grid     []string `json:"grid"`
	Policy   string   `json:"policy"`
	Days     int      `json:"days"`
	G        Range    `json:"g"`
	P99      Range    `json:"p99_ms"`  // of the class asked for most
	Retries  Range    `json:"retries"` // for each request
	ToCold   Range    `json:"sends_to_cold"`
	Broken   [4]int   `json:"rules"` // days with a breach: unanswered, double effects, late drain sends, felled backends
	Backends float64  `json:"backends"`
	Requests float64  `json:"reqs"`
	// CostUS is what a request cost to emulate on this machine, in microseconds. All else is
	// the plan's and the program's alone, so it is told only where it is asked for.
	CostUS  *Range `json:"cost_us,omitempty"`
	records []*Record
}

// Summarise makes the table of a store, in the order of the cells' keys.
func Summarise(s *Store) ([]*Row, error) {
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
		rows[k].sum()
		out = append(out, rows[k])
	}
	return out, nil
}

func (row *Row) sum() {
	get := func(of func(*Record) float64) Range {
		var v []float64
		for _, r := range row.records {
			v = append(v, of(r))
		}
		return Median(v)
	}
	row.Days = len(row.records)
	row.G = get(func(r *Record) float64 { return r.Result.Score })
	row.P99 = get(func(r *Record) float64 { return r.Result.LatencyMS[mostAsked(r.Result)].P99 })
	row.Retries = get(func(r *Record) float64 { return float64(r.Result.Retries) / float64(max(r.Result.Operations, 1)) })
	row.ToCold = get(func(r *Record) float64 { return float64(r.Result.SendsToCold) })
	cost := get(func(r *Record) float64 { return float64(r.TookNS) / 1000 / float64(max(r.Result.Operations, 1)) })
	row.CostUS = &cost
	row.Backends = get(func(r *Record) float64 { return float64(r.Result.Backends) }).Median
	row.Requests = get(func(r *Record) float64 { return float64(r.Result.Operations) }).Median
	for _, r := range row.records {
		for i, n := range []int{r.Result.Rules.Unanswered, r.Result.Rules.DoubleEffects, r.Result.Rules.LateDrainSends, r.Result.Rules.FelledBackends} {
			if n > 0 {
				row.Broken[i]++
			}
		}
	}
}

// mostAsked is the class that was asked for most, the first by name of equals.
func mostAsked(r *emulator.Result) string {
	best, n := "", -1
	for name, c := range r.Classes {
		if c.Operations > n || c.Operations == n && name < best {
			best, n = name, c.Operations
		}
	}
	return best
}
