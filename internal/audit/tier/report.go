package tier

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"oakseam/internal/latency"
)

// KindCounts are the request counts of one kind.
type KindCounts struct {
	Sent     int
	Served   int
	Rejected int
	Failed   int
	Latency  latency.Quantiles // of served requests, to the end of the answer
}

// Report summarizes a run.
type Report struct {
	Kinds                   [len(kindNames)]KindCounts
	Statuses                [len(kindNames)]map[int]int // answers by status; 0: no complete answer, also a 200 that broke off
	First                   latency.Quantiles           // of turns, to the first byte
	Programs                int
	BudgetExhausted         int // programs with a turn answered with status 402
	ContinuedTurns          int // served turns that continue another one
	Configurations          int // sent
	Acknowledged            int // configurations
	ConfigurationAttempts   int // of all configurations together
	Evacuations             []EvacuationOrder
	EvacuationsAcknowledged int
	Tallies                 TallyCounts
	Faults                  []string
	Verdicts                []Verdict
}

// maxLatencyMicroseconds is the largest latency of the histograms; larger ones are not recorded.
const maxLatencyMicroseconds = int64(10 * time.Minute / time.Microsecond)

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMicroseconds, 3) }

// Summarize checks a history against all rules and counts its requests.
func Summarize(h *History, b Bounds) *Report {
	r := &Report{Faults: h.Kills, Verdicts: Check(h, b)}
	var whole [len(kindNames)]*hdrhistogram.Histogram
	for k := range whole {
		whole[k], r.Statuses[k] = histogram(), map[int]int{}
	}
	r.Tallies = countTallies(h)
	first := histogram()
	programs, exhausted := map[string]bool{}, map[string]bool{}
	for i := range h.Requests {
		q := &h.Requests[i]
		r.count(q)
		if q.Served() {
			whole[q.Kind].RecordValue((q.Answer.At - q.Sent).Microseconds())
		}
		if q.Kind != Turn {
			continue
		}
		if q.Served() {
			first.RecordValue((q.Answer.First - q.Sent).Microseconds())
		}
		programs[q.Program] = true
		if q.Answer.Status == http.StatusPaymentRequired {
			exhausted[q.Program] = true
		}
		if q.Previous != "" && q.Served() {
			r.ContinuedTurns++
		}
	}
	for k := range whole {
		r.Kinds[k].Latency = latency.FromHistogram(whole[k])
	}
	r.First, r.Programs, r.BudgetExhausted = latency.FromHistogram(first), len(programs), len(exhausted)
	for _, c := range h.Configurations {
		r.Configurations++
		r.ConfigurationAttempts += c.Tries
		if c.Acknowledged != 0 {
			r.Acknowledged++
		}
	}
	r.Evacuations = h.Evacuations
	for _, order := range h.Evacuations {
		if order.Acknowledged != 0 {
			r.EvacuationsAcknowledged++
		}
	}
	return r
}

func (r *Report) printEvacuations(to io.Writer) {
	for _, order := range r.Evacuations {
		what := "taken back"
		if order.Evacuated {
			what = "evacuated"
		}
		outcome := "never acknowledged"
		if order.Acknowledged != 0 {
			outcome = "acknowledged at " + formatTime(order.Acknowledged)
		}
		fmt.Fprintf(to, "order: at %s %s is to be %s, sent %d times, %s\n", formatTime(order.Sent), order.Zone, what, order.Tries, outcome)
	}
}

func (r *Report) count(q *Request) {
	c := &r.Kinds[q.Kind]
	c.Sent++
	status := q.Answer.Status
	switch {
	case q.Served():
		c.Served++
	case q.Rejected():
		c.Rejected++
	default:
		c.Failed++
		if status == http.StatusOK {
			status = 0
		}
	}
	r.Statuses[q.Kind][status]++
}

// Clean reports whether all rules were kept.
func (r *Report) Clean() bool {
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			return false
		}
	}
	return true
}

// formatCounts lists counts by status, in the order of the status.
func formatCounts(counts map[int]int) string {
	var parts []string
	for _, status := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d: %d", status, counts[status]))
	}
	return strings.Join(parts, ", ")
}

// Print writes the report as a table.
func (r *Report) Print(to io.Writer) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests\tasked\tserved\trefused\tfailed\tp50 ms\tp99 ms\tmax ms\t")
	for k, c := range r.Kinds {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", Kind(k), c.Sent, c.Served, c.Rejected, c.Failed, c.Latency.P50, c.Latency.P99, c.Latency.Max)
	}
	w.Flush()
	for k, statuses := range r.Statuses {
		fmt.Fprintf(to, "%s by status (0: no whole answer): %s\n", Kind(k), formatCounts(statuses))
	}
	fmt.Fprintf(to, "turns: %d programs, %d of them spent their budget, %d turns went on from another; first byte p50 %.1f ms, p99 %.1f ms\n",
		r.Programs, r.BudgetExhausted, r.ContinuedTurns, r.First.P50, r.First.P99)
	fmt.Fprintf(to, "configurations: %d ordered in %d sends, %d acknowledged\n", r.Configurations, r.ConfigurationAttempts, r.Acknowledged)
	r.printEvacuations(to)
	r.Tallies.print(to)
	for _, fault := range r.Faults {
		fmt.Fprintf(to, "trouble: %s\n", fault)
	}
	w = tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "rule\tchecked\tbroken")
	for _, v := range r.Verdicts {
		fmt.Fprintf(w, "%s\t%d\t%d\n", v.Rule, v.Checked, v.Broken)
	}
	w.Flush()
	for _, v := range r.Verdicts {
		for _, violation := range v.Violations {
			fmt.Fprintf(to, "broken: %s: %s\n", v.Rule, violation)
		}
	}
}
