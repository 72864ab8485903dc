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

// Interval is a median and its interval, in which it lies with 95% confidence.
type Interval struct {
	Median float64 `json:"median"`
	Low    float64 `json:"low"`
	High   float64 `json:"high"`
}

const resamples = 2000

// MedianWithInterval returns the median of values with a bootstrap interval (Efron's
// percentile method). The same values give the same interval.
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
	return Interval{median(sorted), stat.Quantile(.025, stat.Empirical, medians, nil), stat.Quantile(.975, stat.Empirical, medians, nil)}
}

// median of sorted values; of an even number, between the two in the middle.
func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Row sums the cells up that differ in their seeds only.
type Row struct {
	Variant            string   `json:"variant"`
	Grid               []string `json:"grid"`
	Policy             string   `json:"policy"`
	Days               int      `json:"days"`
	G                  Interval `json:"g"`
	P99                Interval `json:"p99_ms"`  // of the class asked for most
	Retries            Interval `json:"retries"` // for each request
	SendsToCold        Interval `json:"sends_to_cold"`
	DaysWithViolations [4]int   `json:"rules"` // days with a breach: unanswered, double effects, late drain sends, felled backends
	Backends           float64  `json:"backends"`
	Requests           float64  `json:"reqs"`
	// CostUS is what a request cost to emulate on this machine, in microseconds. All else is
	// the plan's and the program's alone, so it is told only where it is asked for.
	CostUS  *Interval `json:"cost_us,omitempty"`
	records []*Record
}

// Summarize makes the table of a store, in the order of the cells' keys.
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
		rows[k].sum()
		out = append(out, rows[k])
	}
	return out, nil
}

func (row *Row) sum() {
	get := func(of func(*Record) float64) Interval {
		var v []float64
		for _, r := range row.records {
			v = append(v, of(r))
		}
		return MedianWithInterval(v)
	}
	row.Days = len(row.records)
	row.G = get(func(r *Record) float64 { return r.Result.G })
	row.P99 = get(func(r *Record) float64 { return r.Result.LatencyMS[mostAsked(r.Result)].P99 })
	row.Retries = get(func(r *Record) float64 { return float64(r.Result.Retries) / float64(max(r.Result.Requests, 1)) })
	row.SendsToCold = get(func(r *Record) float64 { return float64(r.Result.ToCold) })
	cost := get(func(r *Record) float64 { return float64(r.TookNS) / 1000 / float64(max(r.Result.Requests, 1)) })
	row.CostUS = &cost
	row.Backends = get(func(r *Record) float64 { return float64(r.Result.Backends) }).Median
	row.Requests = get(func(r *Record) float64 { return float64(r.Result.Requests) }).Median
	for _, r := range row.records {
		for i, n := range []int{r.Result.Rules.Unanswered, r.Result.Rules.DuplicateEffects, r.Result.Rules.LateDrainSends, r.Result.Rules.OverloadedBackends} {
			if n > 0 {
				row.DaysWithViolations[i]++
			}
		}
	}
}

// mostAsked is the class that was asked for most, the first by name of equals.
func mostAsked(r *emulator.Result) string {
	best, n := "", -1
	for name, c := range r.Classes {
		if c.Asked > n || c.Asked == n && name < best {
			best, n = name, c.Asked
		}
	}
	return best
}
