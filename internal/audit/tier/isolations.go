package tier

import (
	"net/http"
	"slices"
	"time"
)

// Readiness is what an edge's readiness check began to answer.
type Readiness struct {
	Edge  string
	Ready bool
	At    time.Duration
}

// Isolation is a time in which the machines of one zone heard nothing from any other zone.
type Isolation struct {
	Zone  string
	Edges []string
	Cores []string
	Span
}

// checkIsolations checks what each zone did once it had to know that it was alone.
func (c *checker) checkIsolations() {
	for _, isolation := range c.history.Isolations {
		known := Span{From: isolation.From + c.bounds.Contact, Until: isolation.Until}
		if known.From > known.Until {
			continue
		}
		for _, edge := range isolation.Edges {
			at, ready := c.readyWithin(edge, known)
			c.check(IsolatedEdgeNotReady, !ready, "%s in %s was ready at %s, though the zone was cut off from %s to %s",
				edge, isolation.Zone, formatTime(at), formatTime(isolation.From), formatTime(isolation.Until))
		}
		tried, acknowledged := c.triedWithin(isolation.Cores, known)
		if tried > 0 {
			c.check(IsolatedZoneCounts, acknowledged > 0, "none of %d adds that %s got between %s and %s was acknowledged; it was cut off from %s",
				tried, isolation.Zone, formatTime(known.From), formatTime(known.Until), formatTime(isolation.From))
		}
	}
}

// readyWithin reports whether and when an edge was ready within a time.
func (c *checker) readyWithin(edge string, within Span) (time.Duration, bool) {
	at, ready := time.Duration(0), false
	for _, change := range c.history.Readiness {
		if change.Edge != edge || change.At > within.Until {
			continue
		}
		if change.At > within.From && (ready || change.Ready) {
			return max(change.At, within.From), true
		}
		at, ready = within.From, change.Ready
	}
	return at, ready
}

// triedWithin returns how many calls that add were made at core machines, from their start to their
// answer within a time, and how many of them were acknowledged.
func (c *checker) triedWithin(cores []string, within Span) (tried, acknowledged int) {
	for i := range c.history.TallyAdds {
		for _, try := range c.history.TallyAdds[i].Tries {
			if !slices.Contains(cores, try.Core) || !within.contains(try.Sent) || !within.contains(try.At) {
				continue
			}
			tried++
			if try.Status == http.StatusOK {
				acknowledged++
			}
		}
	}
	return tried, acknowledged
}
