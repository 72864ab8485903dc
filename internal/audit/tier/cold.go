package tier

import (
	"slices"
	"time"
)

// ColdSpan is a time in which a server is cold.
type ColdSpan struct {
	Server string
	Span
}

// coldWindow is the length of the sliding windows in which a cold server's requests are counted.
const coldWindow = time.Second

// checkCold checks how many requests all edges together sent to each cold server in any window.
func (c *checker) checkCold() {
	arrivals := map[string][]time.Duration{} // by server
	for i := range c.history.Arrivals {
		if a := &c.history.Arrivals[i]; !a.Misdirected {
			arrivals[a.Server] = append(arrivals[a.Server], a.At)
		}
	}
	for _, times := range arrivals {
		slices.Sort(times)
	}
	for _, cold := range c.history.Cold {
		from, most := mostWithin(arrivals[cold.Server], cold.Span)
		c.check(ColdServerSpared, most <= c.bounds.ColdPerWindow, "%s got %d requests in the second from %s, and may get %d while it is cold, from %s to %s",
			cold.Server, most, formatTime(from), c.bounds.ColdPerWindow, formatTime(cold.From), formatTime(cold.Until))
	}
}

// mostWithin returns the most times that lie in one window within a span, and the window's start.
func mostWithin(times []time.Duration, within Span) (from time.Duration, most int) {
	first := 0
	for i, at := range times {
		for times[first] < within.From && first < i || at-times[first] >= coldWindow {
			first++
		}
		if !within.contains(at) || !within.contains(times[first]) {
			continue
		}
		if count := i - first + 1; count > most {
			from, most = times[first], count
		}
	}
	return from, most
}
