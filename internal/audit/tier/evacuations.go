package tier

import (
	"maps"
	"slices"
	"time"
)

// EvacuationOrder is an operator's order about a zone's servers.
type EvacuationOrder struct {
	Zone         string
	Evacuated    bool // true: nothing more is to be sent there; false: this is taken back
	Sent         time.Duration
	Acknowledged time.Duration // 0: never
	Refused      bool
	Tries        int
}

// Span is a time from its first to its last instant.
type Span struct {
	From  time.Duration
	Until time.Duration
}

func (s Span) contains(at time.Duration) bool { return s.From <= at && at <= s.Until }

// evacuation is the time in which a zone's servers must get nothing from edges in touch.
type evacuation struct {
	zone  string
	since time.Duration // when it was acknowledged
	Span
}

// evacuations returns the evacuations that were acknowledged.
func (c *checker) evacuations() []evacuation {
	var all []evacuation
	for i, order := range c.history.Evacuations {
		if !order.Evacuated || order.Acknowledged == 0 {
			continue
		}
		e := evacuation{zone: order.Zone, since: order.Acknowledged, Span: Span{From: order.Acknowledged + c.bounds.Evacuate + 1, Until: forever}}
		later := c.history.Evacuations[i+1:]
		if back := slices.IndexFunc(later, func(o EvacuationOrder) bool { return o.Zone == order.Zone && !o.Evacuated }); back >= 0 {
			e.Until = later[back].Sent - 1
		}
		all = append(all, e)
	}
	return all
}

// checkEvacuations checks every arrival against the evacuations, and whether the orders are in force
// at the end.
func (c *checker) checkEvacuations() {
	evacuations := c.evacuations()
	for i := range c.history.Arrivals {
		a := &c.history.Arrivals[i]
		q := c.requests[a.Attempt]
		if a.Misdirected || q == nil {
			continue
		}
		for _, e := range evacuations {
			if e.contains(a.At) && c.inTouch(q.Edge, a.At) {
				c.check(EvacuationRespected, a.Zone != e.zone, "%s arrived at %s in %s at %s from %s, %s after the zone's evacuation was acknowledged",
					q.describe(), a.Server, a.Zone, formatTime(a.At), q.Edge, (a.At - e.since).Round(time.Millisecond))
			}
		}
	}
	c.checkEvacuationsAcknowledged()
	c.checkEvacuationsAtEnd()
}

// inTouch reports whether neither an edge nor the core was disrupted within the time of contact
// before an instant. Unlike the page's rule, it doesn't excuse edges by the troubles of storage
// machines, which keep no orders.
func (c *checker) inTouch(edge string, at time.Duration) bool {
	return !c.disrupted(Span{From: at, Until: at}, func(d Disruption) bool { return d.Core || d.Machine == edge })
}

// checkEvacuationsAcknowledged checks the orders that were given while the core was stable.
func (c *checker) checkEvacuationsAcknowledged() {
	for _, order := range c.history.Evacuations {
		by := order.Sent + c.bounds.Acknowledge
		if !order.Refused && !c.coreStable(Span{From: order.Sent, Until: by}) {
			continue
		}
		inTime := order.Acknowledged != 0 && order.Acknowledged <= by
		c.check(EvacuationAcknowledged, inTime, "%s was ordered at %s: sent %d times, acknowledged at %s, refused: %v",
			order.Zone, formatTime(order.Sent), order.Tries, formatTime(order.Acknowledged), order.Refused)
	}
}

// coreStable reports whether the core was not disrupted within a time, nor in the time of contact
// before it.
func (c *checker) coreStable(within Span) bool {
	return !c.disrupted(within, func(d Disruption) bool { return d.Core })
}

// disrupted reports whether a disruption that concerns the caller fell within a time or in the time of
// contact before it.
func (c *checker) disrupted(within Span, concerns func(Disruption) bool) bool {
	return slices.ContainsFunc(c.history.Disruptions, func(d Disruption) bool {
		return concerns(d) && d.From <= within.Until && d.Until >= within.From-c.bounds.Contact
	})
}

// checkEvacuationsAtEnd judges by the traffic after all troubles whether the newest order about each
// zone is in force. If its outcome is unknown, either state is allowed.
func (c *checker) checkEvacuationsAtEnd() {
	newest := map[string]EvacuationOrder{}
	for _, order := range c.history.Evacuations {
		newest[order.Zone] = order
	}
	arrivals := c.finalArrivals()
	for _, zone := range slices.Sorted(maps.Keys(newest)) {
		order := newest[zone]
		if order.Acknowledged == 0 || len(arrivals) == 0 {
			continue
		}
		wrong := slices.IndexFunc(arrivals, func(a *Arrival) bool { return a.Zone == zone })
		if order.Evacuated {
			c.check(EvacuationDurable, wrong < 0, "%s is evacuated since %s, but gets requests at the end", zone, formatTime(order.Acknowledged))
		} else {
			c.check(EvacuationDurable, wrong >= 0, "%s was taken back at %s, but none of %d requests goes there at the end", zone, formatTime(order.Acknowledged), len(arrivals))
		}
	}
}

// finalArrivals returns the arrivals after all troubles.
func (c *checker) finalArrivals() []*Arrival {
	var final []*Arrival
	for i := range c.history.Arrivals {
		a := &c.history.Arrivals[i]
		if !a.Misdirected && c.history.FinalTraffic.contains(a.At) {
			final = append(final, a)
		}
	}
	return final
}
