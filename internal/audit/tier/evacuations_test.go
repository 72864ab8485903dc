package tier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// addEvacuations adds an evacuation that is taken back, and one that is in force at the end. All
// requests come from one edge.
func addEvacuations(h *History) {
	h.Evacuations = []EvacuationOrder{
		{Zone: "zone-a", Evacuated: true, Sent: seconds(0.4), Acknowledged: seconds(0.5), Tries: 1},
		{Zone: "zone-c", Evacuated: true, Sent: seconds(1.4), Acknowledged: seconds(1.5), Tries: 2},
		{Zone: "zone-a", Sent: seconds(2.8), Acknowledged: seconds(2.9), Tries: 1},
	}
	h.FinalTraffic = Span{From: seconds(3), Until: seconds(4)}
	for i := range h.Requests {
		h.Requests[i].Edge = "edge-1"
	}
	for i := range h.Arrivals {
		h.Arrivals[i].Zone = "zone-b"
	}
	h.Arrivals[4].Zone = "zone-a"
}

// evacuationViolations change the valid history so that it breaks the named rules and no others.
var evacuationViolations = []violation{
	{"a request goes to an evacuated zone", func(h *History) { h.run("e1/1").Zone = "zone-a" }, []Rule{EvacuationRespected}},
	{"an evacuation is no longer in force at the end", func(h *History) {
		h.Disruptions = []Disruption{{Machine: "edge-1", From: seconds(2.8), Until: seconds(2.9)}}
		h.run("e1/2").Zone = "zone-c"
	}, []Rule{EvacuationDurable}},
	{"a zone that was taken back gets nothing at the end", func(h *History) { h.Arrivals[4].Zone = "zone-b" }, []Rule{EvacuationDurable}},
	{"an order is refused", func(h *History) {
		h.Evacuations[1].Acknowledged, h.Evacuations[1].Refused = 0, true
	}, []Rule{EvacuationAcknowledged}},
	{"an order is acknowledged too late", func(h *History) { h.Evacuations[1].Sent = seconds(0.4) }, []Rule{EvacuationAcknowledged}},
	{"the trouble of another edge excuses nothing", func(h *History) {
		h.Disruptions = []Disruption{{Machine: "edge-2", From: seconds(2), Until: seconds(2.2)}}
		h.run("e1/1").Zone = "zone-a"
	}, []Rule{EvacuationRespected}},
}

// What the rules about evacuations allow must not count as a violation.
func TestAllowedRequestInEvacuatedZoneIsNoViolation(t *testing.T) {
	disruptedAtArrival := func(machine string, core bool) func(*History) {
		return func(h *History) {
			h.Disruptions = []Disruption{{Machine: machine, Core: core, From: seconds(0.3), Until: seconds(0.6)}}
			h.run("e1/1").Zone = "zone-a"
		}
	}
	for name, change := range map[string]func(*History){
		"a request within the bound":             func(h *History) { h.run("t1/1").Zone = "zone-a" },
		"a request after the zone is taken back": func(h *History) { h.run("e1/2").Zone = "zone-a" },
		"a request from an edge out of touch":    disruptedAtArrival("edge-1", false),
		"a request while the core was disrupted": disruptedAtArrival("core-1", true),
		"an order without an acknowledgement while the core was disrupted": func(h *History) {
			h.Disruptions = []Disruption{{Machine: "core-1", Core: true, From: seconds(1.9), Until: seconds(2)}}
			h.Evacuations[1].Acknowledged = 0
			h.run("e1/2").Zone = "zone-c"
		},
		"a request that a server of another identity refused": func(h *History) {
			h.Arrivals = append(h.Arrivals, Arrival{Attempt: "two", Server: "e9", Zone: "zone-c", At: seconds(3.5), Misdirected: true, Input: "aska\nb\nmore"})
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

func TestRecorderCollectsEvacuations(t *testing.T) {
	r := NewRecorder()
	order := r.RecordEvacuation(EvacuationOrder{Zone: "zone-a", Evacuated: true})
	r.RecordEvacuationTry(order, false, true)
	assert.Equal(t, r.History().Evacuations[0].Acknowledged, time.Duration(0))
	assert.Check(t, r.History().Evacuations[0].Refused)
	r.RecordEvacuationTry(order, true, false)
	r.RecordFinalTraffic(seconds(0))
	h := r.History()
	assert.Check(t, h.Evacuations[0].Tries == 2 && h.Evacuations[0].Acknowledged >= h.Evacuations[0].Sent)
	assert.Check(t, h.FinalTraffic.Until > 0)
}
