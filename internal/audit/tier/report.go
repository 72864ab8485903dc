package tier

import (
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"pipitmux/internal/latency"
)

// Count sums the requests of a kind up.
type Count struct {
	Asked, Served, Refused, Failed int
	Latency                        latency.Quantiles // of what was served, to the answer's end
}

// Report is what a run came to.
type Report struct {
	Kinds    [len(kindNames)]Count
	Statuses [len(kindNames)]map[int]int // answers by status, 0: none; 200s that broke off count as 0
	First    latency.Quantiles           // of turns, to the first byte
	Programs int
	Spent    int // programs that were answered 402
	GoneOn   int // turns that went on from another
	Orders   int
	Taken    int // orders that were acknowledged
	Tries    int // sends of all orders together
	Kills    []string
	Verdicts []Verdict
}

// longest is the longest latency that is told apart, in microseconds.
const longest = int64(10 * time.Minute / time.Microsecond)

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 3) }

// Sum judges a history and counts it.
func Sum(h *History, b Bounds) *Report {
	r := &Report{Kills: h.Kills, Verdicts: Judge(h, b)}
	var whole [len(kindNames)]*hdrhistogram.Histogram
	for k := range whole {
		whole[k], r.Statuses[k] = histogram(), map[int]int{}
	}
	first := histogram()
	programs, spent := map[string]bool{}, map[string]bool{}
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
			spent[q.Program] = true
		}
		if q.Previous != "" && q.Served() {
			r.GoneOn++
		}
	}
	for k := range whole {
		r.Kinds[k].Latency = latency.FromHistogram(whole[k])
	}
	r.First, r.Programs, r.Spent = latency.FromHistogram(first), len(programs), len(spent)
	for _, c := range h.Configurations {
		r.Orders++
		r.Tries += c.Tries
		if c.Acknowledged != 0 {
			r.Taken++
		}
	}
	return r
}

func (r *Report) count(q *Request) {
	c := &r.Kinds[q.Kind]
	c.Asked++
	status := q.Answer.Status
	switch {
	case q.Served():
		c.Served++
	case q.Refused():
		c.Refused++
	default:
		c.Failed++
		if status == http.StatusOK {
			status = 0
		}
	}
	r.Statuses[q.Kind][status]++
}

// Clean tells that no rule was broken.
func (r *Report) Clean() bool {
	for _, v := range r.Verdicts {
		if v.Broken > 0 {
			return false
		}
	}
	return true
}

// Print writes the report as a table.
func (r *Report) Print(to io.Writer) {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "requests\tasked\tserved\trefused\tfailed\tp50 ms\tp99 ms\tmax ms\t")
	for k, c := range r.Kinds {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n", Kind(k), c.Asked, c.Served, c.Refused, c.Failed, c.Latency.P50, c.Latency.P99, c.Latency.Max)
	}
	w.Flush()
	for k, statuses := range r.Statuses {
		fmt.Fprintf(to, "%s by status (0: no whole answer): %v\n", Kind(k), statuses)
	}
	fmt.Fprintf(to, "turns: %d programs, %d of them spent their budget, %d turns went on from another; first byte p50 %.1f ms, p99 %.1f ms\n",
		r.Programs, r.Spent, r.GoneOn, r.First.P50, r.First.P99)
	fmt.Fprintf(to, "configurations: %d ordered in %d sends, %d acknowledged\n", r.Orders, r.Tries, r.Taken)
	for _, k := range r.Kills {
		fmt.Fprintf(to, "trouble: %s\n", k)
	}
	w = tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "rule\tchecked\tbroken")
	for _, v := range r.Verdicts {
		fmt.Fprintf(w, "%s\t%d\t%d\n", v.Rule, v.Checked, v.Broken)
	}
	w.Flush()
	for _, v := range r.Verdicts {
		for _, why := range v.Why {
			fmt.Fprintf(to, "broken: %s: %s\n", v.Rule, why)
		}
	}
}
