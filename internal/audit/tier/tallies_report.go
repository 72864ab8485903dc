package tier

import (
	"fmt"
	"io"
	"net/http"
)

// TallyCounts are the counts of calls for tallies.
type TallyCounts struct {
	Adds         int         // ids
	Acknowledged int         // of them
	AddTries     map[int]int // calls by status; 0: no complete answer
	Reads        map[int]int // the same
}

// countTallies counts the calls of a history.
func countTallies(h *History) TallyCounts {
	counts := TallyCounts{Adds: len(h.TallyAdds), AddTries: map[int]int{}, Reads: map[int]int{}}
	for i := range h.TallyAdds {
		add := &h.TallyAdds[i]
		for _, try := range add.Tries {
			counts.AddTries[try.Status]++
		}
		if add.acknowledged(forever, anyTry) {
			counts.Acknowledged++
		}
	}
	for _, read := range h.TallyReads {
		counts.Reads[read.Status]++
	}
	return counts
}

// ReadsServed returns how many reads got a total.
func (c *TallyCounts) ReadsServed() int { return c.Reads[http.StatusOK] }

func (c *TallyCounts) print(to io.Writer) {
	fmt.Fprintf(to, "tallies: %d adds, %d of them acknowledged; calls that add, by status (0: no whole answer): %s; that read: %s\n",
		c.Adds, c.Acknowledged, formatCounts(c.AddTries), formatCounts(c.Reads))
}
