package tier

import (
	"testing"

	"gotest.tools/v3/assert"
)

// addCold has a server be cold while it gets as many requests as it may.
func addCold(h *History) {
	h.Cold = []ColdSpan{{Server: "t2", Span: Span{From: seconds(1), Until: seconds(2.15)}}}
}

// moreReads lets the first read arrive again at a server, rejected, at each of the times.
func moreReads(h *History, server string, times ...float64) {
	for _, at := range times {
		h.Arrivals = append(h.Arrivals, Arrival{Attempt: "read", Server: server, Service: "tools", Zone: "zone-b", At: seconds(at)})
	}
}

// coldViolations change the valid history so that it breaks the named rules and no others.
var coldViolations = []violation{
	{"a cold server gets more in one second than it can bear", func(h *History) { moreReads(h, "t2", 1.4, 2.1) }, []Rule{ColdServerSpared}},
	{"a server that is cold twice gets too much the second time", func(h *History) {
		h.Cold = append(h.Cold, ColdSpan{Server: "t2", Span: Span{From: seconds(1.25), Until: seconds(3)}})
		moreReads(h, "t2", 2.2, 2.4, 2.6)
	}, []Rule{ColdServerSpared}},
}

// What a server gets when it isn't cold, or over more than a second, must not count as a violation.
func TestAllowedRequestsToColdServerAreNoViolation(t *testing.T) {
	for name, change := range map[string]func(*History){
		"requests in more than one second": func(h *History) { moreReads(h, "t2", 1.9, 2.2+1) },
		"requests after it is warm":        func(h *History) { moreReads(h, "t2", 1.4, 2.16, 2.17, 2.18) },
		"requests to another server":       func(h *History) { moreReads(h, "t3", 1.4, 1.5, 1.6) },
		"requests of which one was for another server": func(h *History) {
			moreReads(h, "t2", 1.4, 1.5)
			h.Arrivals[len(h.Arrivals)-1].Misdirected = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			change(h)
			for _, v := range Check(h, bounds) {
				assert.Check(t, v.Broken == 0, "%s: %v", v.Rule, v.Violations)
			}
		})
	}
}
