package tier

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// addIsolation adds a time in which the zone of an edge and a core machine is alone: the edge is no
// longer ready within the time of contact, and the core machine acknowledges an add.
func addIsolation(h *History) {
	h.Isolations = []Isolation{{Zone: "zone-d", Edges: []string{"edge-4"}, Cores: []string{"core-4"}, Span: Span{From: seconds(10), Until: seconds(15)}}}
	h.Readiness = []Readiness{{Edge: "edge-4", Ready: true, At: seconds(1)}, {Edge: "edge-4", At: seconds(11)}, {Edge: "edge-4", Ready: true, At: seconds(15.5)}}
	h.TallyAdds = append(h.TallyAdds, TallyAdd{Tally: "alone", Member: "four", Amount: 1, Tries: []TallyTry{
		try("core-4", 11, 0), try("core-4", 13, http.StatusOK)}})
	h.TallyReads = append(h.TallyReads, TallyRead{Tally: "alone", Core: "core-4", Sent: seconds(20), At: seconds(20.1), Status: http.StatusOK, Total: 1, Final: true})
}

// isolationViolations change the valid history so that it breaks the named rules and no others.
var isolationViolations = []violation{
	{"an edge of a cut-off zone stays ready", func(h *History) { h.Readiness = h.Readiness[:1] }, []Rule{IsolatedEdgeNotReady}},
	{"an edge of a cut-off zone is not ready too late", func(h *History) { h.Readiness[1].At = seconds(12.5) }, []Rule{IsolatedEdgeNotReady}},
	{"an edge of a cut-off zone becomes ready again", func(h *History) { h.Readiness[2].At = seconds(14) }, []Rule{IsolatedEdgeNotReady}},
	{"a cut-off zone no longer counts tallies", func(h *History) {
		h.TallyAdds[len(h.TallyAdds)-1].Tries[1].Status = http.StatusGatewayTimeout
	}, []Rule{IsolatedZoneCounts}},
}

// What a zone does before it must know that it is alone must not count as a violation.
func TestAllowedBehaviorOfCutOffZoneIsNoViolation(t *testing.T) {
	for name, change := range map[string]func(*History){
		"the edge of another zone stays ready": func(h *History) {
			h.Readiness = append(h.Readiness, Readiness{Edge: "edge-1", Ready: true, At: seconds(9)})
		},
		"an edge stays ready within the time of contact": func(h *History) { h.Readiness[1].At = seconds(11.9) },
		"the zone was cut off too briefly to know": func(h *History) {
			h.Isolations[0].Until = seconds(11.5)
			h.Readiness = h.Readiness[:1]
		},
		"an edge was never ready": func(h *History) { h.Readiness = nil },
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

// A time without any calls of applications says nothing of whether a zone counts tallies.
func TestCutOffZoneWithoutCallsIsNotChecked(t *testing.T) {
	h := validHistory()
	h.TallyAdds = nil
	for _, v := range Check(h, bounds) {
		assert.Check(t, v.Rule != IsolatedZoneCounts || v.Checked == 0)
	}
}
