package tier

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// try is a call of an add that took 0.1 s.
func try(core string, sent float64, status int) TallyTry {
	return TallyTry{Core: core, Sent: seconds(sent), At: seconds(sent + 0.1), Status: status}
}

// tallyRead is a successful read that took 0.1 s.
func tallyRead(core string, sent float64, total uint64) TallyRead {
	return TallyRead{Tally: "t", Core: core, Sent: seconds(sent), At: seconds(sent + 0.1), Status: http.StatusOK, Total: total}
}

// addTallies adds three adds to a history, of which the second has an unknown outcome and the third
// was refused at first, and reads of them: by the process that acknowledged the first, by others
// before and after it is merged, and at the end.
func addTallies(h *History) {
	h.TallyAdds = []TallyAdd{
		{Tally: "t", Member: "one", Amount: 1, Tries: []TallyTry{try("core-1", 1, http.StatusOK)}},
		{Tally: "t", Member: "two", Amount: 2, Tries: []TallyTry{try("core-1", 2, 0)}},
		{Tally: "t", Member: "three", Amount: 4, Tries: []TallyTry{
			try("core-1", 5, http.StatusServiceUnavailable), try("core-2", 8, http.StatusOK)}},
	}
	h.TallyReads = []TallyRead{tallyRead("core-1", 1.2, 1), tallyRead("core-2", 1.2, 0), tallyRead("core-2", 6, 1), tallyRead("core-3", 20, 5)}
	h.TallyReads[3].Final = true
	h.Starts = map[string][]time.Duration{"core-1": {0}, "core-2": {0}}
}

// tallyViolations change the valid history so that it breaks the named rules and no others.
var tallyViolations = []violation{
	{"a tally holds an add that nobody sent", func(h *History) { h.TallyReads[2].Total = 1 + 8 }, []Rule{TallyCountsOnce}},
	{"a tally holds an add that was only refused yet", func(h *History) { h.TallyReads[2].Total = 1 + 4 }, []Rule{TallyCountsOnce}},
	{"an add counts twice", func(h *History) {
		h.TallyAdds = append(h.TallyAdds[:1], h.TallyAdds[2:]...)
		h.TallyReads[2].Total = 1 + 1
	}, []Rule{TallyCountsOnce, TallyMerged}},
	{"a process lacks what it acknowledged", func(h *History) { h.TallyReads[0].Total = 0 }, []Rule{TallyHoldsOwnAdds}},
	{"a total lacks an add after the time for merging", func(h *History) { h.TallyReads[2].Total = 0 }, []Rule{TallyMerged}},
	{"a total lacks an add that was merged before a disruption", func(h *History) {
		h.Disruptions = []Disruption{{Machine: "core-1", Core: true, From: seconds(5), Until: seconds(5.5)}}
		h.TallyReads[2].Total = 0
	}, []Rule{TallyMerged}},
	{"a tally is whole nowhere at the end", func(h *History) { h.TallyReads[3].Total = 1 }, []Rule{TallyMerged, TallyDurable}},
	{"a tally without an acknowledged add cannot be read at the end", func(h *History) {
		h.TallyAdds = append(h.TallyAdds, TallyAdd{Tally: "unread", Member: "five", Amount: 1, Tries: []TallyTry{try("core-1", 5, http.StatusNotFound)}})
	}, []Rule{TallyDurable}},
	{"a tally cannot be read at the end", func(h *History) { h.TallyReads[3].Status = http.StatusServiceUnavailable }, []Rule{TallyDurable}},
}

// What the rules about tallies allow must not count as a violation.
func TestAllowedTotalIsNoViolation(t *testing.T) {
	for name, change := range map[string]func(*History){
		"an add with an unknown outcome may count": func(h *History) { h.TallyReads[2].Total, h.TallyReads[3].Total = 1+2, 1+2+4 },
		"a disruption delays the merge": func(h *History) {
			h.Disruptions = []Disruption{{Machine: "core-3", Core: true, From: seconds(3), Until: seconds(4)}}
			h.TallyReads[2].Total = 0
		},
		"disruptions in a row delay the merge": func(h *History) {
			h.Disruptions = []Disruption{{Machine: "core-3", Core: true, From: seconds(2), Until: seconds(2.5)},
				{Machine: "core-1", Core: true, From: seconds(4.5), Until: seconds(5)}}
			h.TallyReads[2].Total = 0
		},
		"another life of a process may lack an add before the merge": func(h *History) {
			h.Starts["core-1"] = append(h.Starts["core-1"], seconds(1.15))
			h.TallyReads[0].Total = 0
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
