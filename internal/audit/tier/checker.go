package tier

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Rule is the name of a rule that the tier must keep. Reports print it.
type Rule string

// The rules. Orders and turns are requests whose attempt id their client uses only once.
const (
	RunsOnce                 Rule = "an order or turn runs at most once"
	RejectedNeverRuns        Rule = "what was refused never ran and never runs"
	SuccessComplete          Rule = "a success is a server's, whole"
	HistoryExact             Rule = "a turn's body is the whole chain"
	EventsInOrder            Rule = "events come in order, none is missing"
	BudgetRespected          Rule = "no program is handed more than its budget and one turn"
	BudgetRejectionJustified Rule = "402 only where the budget may be spent"
	TurnFound                Rule = "a turn answered whole is never answered 404"
	ConfigurationDurable     Rule = "an acknowledged configuration is read back"
	DrainRespected           Rule = "a drained server gets nothing new"
	RouteAllowed             Rule = "requests go where a configuration allows"
	TallyCountsOnce          Rule = "a tally holds nothing but what could have counted"
	TallyHoldsOwnAdds        Rule = "a tally holds what the same process acknowledged"
	TallyMerged              Rule = "a tally holds what was acknowledged once merged"
	EvacuationRespected      Rule = "an evacuated zone's servers get nothing"
	EvacuationAcknowledged   Rule = "an evacuation order is acknowledged in time"
	EvacuationDurable        Rule = "an acknowledged evacuation order is in force at the end"
	IsolatedEdgeNotReady     Rule = "an edge of a cut-off zone is not ready"
	IsolatedZoneCounts       Rule = "a cut-off zone goes on counting tallies"
	ColdServerSpared         Rule = "a cold server gets no more than it can bear"
	TallyDurable             Rule = "a tally is whole at the end"
)

var allRules = []Rule{RunsOnce, RejectedNeverRuns, SuccessComplete, HistoryExact, EventsInOrder, BudgetRespected, BudgetRejectionJustified,
	TurnFound, ConfigurationDurable, DrainRespected, RouteAllowed, TallyCountsOnce, TallyHoldsOwnAdds, TallyMerged, TallyDurable,
	EvacuationRespected, EvacuationAcknowledged, EvacuationDurable, IsolatedEdgeNotReady, IsolatedZoneCounts, ColdServerSpared}

// Bounds are the time limits of the rules.
type Bounds struct {
	Drain       time.Duration // a server gets no new requests once it has been listed as draining for this long
	Apply       time.Duration // no request follows a configuration once a newer one has been acknowledged for this long
	Acknowledge time.Duration // an order is acknowledged within this time if the core is stable
	Evacuate    time.Duration // the servers of a zone get no requests once its evacuation has been acknowledged for this long
	Contact     time.Duration // after a disruption of the core or an edge, the edge may not know the newest orders yet
	Merge       time.Duration // a tally holds every add once this has passed after it without disruption
	// ColdPerWindow is how many requests a cold server may get in any second.
	ColdPerWindow int
}

// Verdict is the result of checking one rule.
type Verdict struct {
	Rule       Rule
	Checked    int
	Broken     int
	Violations []string // descriptions of the first ones
}

// maxViolations is how many violations of a rule are described.
const maxViolations = 5

// Served reports whether the answer is a success from the client's point of view.
func (q *Request) Served() bool { return q.Answer.Status == http.StatusOK && q.Answer.Whole }

// Rejected reports whether the answer says that nothing was done.
func (q *Request) Rejected() bool {
	switch q.Answer.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired, http.StatusNotFound:
		return q.Answer.Seal == ""
	}
	return false
}

// checker is one check of a history against all rules.
type checker struct {
	history  *History
	bounds   Bounds
	verdicts map[Rule]*Verdict
	requests map[string]*Request  // by attempt
	arrivals map[string][]Arrival // by attempt
	runs     map[string][]Arrival // arrivals that were not rejected, by attempt
	texts    map[string]string    // text up to the end of a completely answered turn, by its attempt
}

// Check checks a history against all rules and returns one verdict per rule.
func Check(h *History, b Bounds) []Verdict {
	c := newChecker(h, b)
	for i := range h.Requests {
		q := &h.Requests[i]
		c.checkRunsOnce(q)
		c.checkRejected(q)
		c.checkSuccess(q)
		if q.Kind == Turn {
			c.checkHistory(q)
			c.checkEvents(q)
			c.checkTurnFound(q)
		}
	}
	c.checkBudgets()
	c.checkConfigurations()
	for i := range h.Arrivals {
		if a := &h.Arrivals[i]; !a.Misdirected {
			c.checkDrained(a)
			c.checkRoute(a)
		}
	}
	c.checkTallies()
	c.checkEvacuations()
	c.checkIsolations()
	c.checkCold()
	verdicts := make([]Verdict, 0, len(allRules))
	for _, r := range allRules {
		verdicts = append(verdicts, *c.verdicts[r])
	}
	return verdicts
}

func newChecker(h *History, b Bounds) *checker {
	c := &checker{history: h, bounds: b, verdicts: map[Rule]*Verdict{}, requests: map[string]*Request{},
		arrivals: map[string][]Arrival{}, runs: map[string][]Arrival{}, texts: map[string]string{}}
	for _, r := range allRules {
		c.verdicts[r] = &Verdict{Rule: r}
	}
	for i := range h.Requests {
		c.requests[h.Requests[i].Attempt] = &h.Requests[i]
	}
	for _, a := range h.Arrivals {
		c.arrivals[a.Attempt] = append(c.arrivals[a.Attempt], a)
		if a.Seal != "" {
			c.runs[a.Attempt] = append(c.runs[a.Attempt], a)
		}
	}
	return c
}

// check counts one check of a rule, and describes a violation if the rule does not hold.
func (c *checker) check(r Rule, holds bool, format string, args ...any) {
	v := c.verdicts[r]
	v.Checked++
	if holds {
		return
	}
	v.Broken++
	if len(v.Violations) < maxViolations {
		v.Violations = append(v.Violations, fmt.Sprintf(format, args...))
	}
}

func (c *checker) checkRunsOnce(q *Request) {
	if q.Kind == ToolRead {
		return
	}
	runs := c.runs[q.Attempt]
	c.check(RunsOnce, len(runs) <= 1, "%s ran %d times: %s", q.describe(), len(runs), describeRuns(runs))
}

func (c *checker) checkRejected(q *Request) {
	if !q.Rejected() {
		return
	}
	runs := c.runs[q.Attempt]
	c.check(RejectedNeverRuns, len(runs) == 0, "%s was answered with status %d at %s, but ran: %s", q.describe(), q.Answer.Status, formatTime(q.Answer.At), describeRuns(runs))
}

func (c *checker) checkSuccess(q *Request) {
	if !q.Served() {
		return
	}
	seal := slices.IndexFunc(c.runs[q.Attempt], func(a Arrival) bool { return a.Seal == q.Answer.Seal })
	if seal < 0 {
		c.check(SuccessComplete, false, "%s was answered with the seal %q, which none of its runs has: %s", q.describe(), q.Answer.Seal, describeRuns(c.runs[q.Attempt]))
		return
	}
	run := c.runs[q.Attempt][seal]
	same := run.Whole && q.Answer.Body == run.Body && slices.Equal(q.Answer.Events, run.Events)
	c.check(SuccessComplete, same, "%s received %d bytes and %d events, the server sent %d bytes and %d events at %s (completed: %v)", q.describe(),
		len(q.Answer.Body), len(q.Answer.Events), len(run.Body), len(run.Events), run.Server, run.Whole)
}

// textOf returns the text up to the end of a turn: the inputs and outputs of the turn and of all
// turns before it. It returns false if one of them was not answered completely.
func (c *checker) textOf(attempt string) (string, bool) {
	if attempt == "" {
		return "", true
	}
	if text, ok := c.texts[attempt]; ok {
		return text, true
	}
	q := c.requests[attempt]
	if q == nil || !q.Served() {
		return "", false
	}
	before, ok := c.textOf(q.Previous)
	if !ok {
		return "", false
	}
	var text strings.Builder
	text.WriteString(before)
	text.WriteString(q.Input)
	for _, e := range q.Answer.Events {
		text.WriteString(e.Data)
		text.WriteByte('\n')
	}
	c.texts[attempt] = text.String()
	return text.String(), true
}

func (c *checker) checkHistory(q *Request) {
	before, known := c.textOf(q.Previous)
	if !known {
		return // the client continued a turn that was never answered completely
	}
	for _, a := range c.arrivals[q.Attempt] {
		want := before + q.Input
		c.check(HistoryExact, a.Input == want, "%s arrived at %s with %d bytes instead of the %d bytes of its history; they differ from byte %d",
			q.describe(), a.Server, len(a.Input), len(want), firstDifference(a.Input, want))
	}
}

func (c *checker) checkEvents(q *Request) {
	if len(q.Answer.Events) == 0 {
		return
	}
	for i, e := range q.Answer.Events {
		if e.ID != fmt.Sprint(i+1) {
			c.check(EventsInOrder, false, "%s: event %d has the id %q", q.describe(), i+1, e.ID)
			return
		}
	}
	for _, run := range c.runs[q.Attempt] {
		if run.Seal != q.Answer.Seal {
			continue
		}
		got := q.Answer.Events
		prefix := len(got) <= len(run.Events) && slices.Equal(got, run.Events[:len(got)])
		c.check(EventsInOrder, prefix, "%s: the %d events are not those that %s wrote", q.describe(), len(got), run.Server)
		return
	}
	c.check(EventsInOrder, false, "%s: %d events that belong to no run (seal %q)", q.describe(), len(q.Answer.Events), q.Answer.Seal)
}

func (c *checker) checkTurnFound(q *Request) {
	before := c.requests[q.Previous]
	if q.Previous == "" || before == nil || !before.Served() {
		return
	}
	c.check(TurnFound, q.Answer.Status != http.StatusNotFound, "%s continues %s, which was completely answered at %s, but was answered with status 404 at %s",
		q.describe(), before.Attempt, formatTime(before.Answer.At), formatTime(q.Answer.At))
}

func (c *checker) checkDrained(a *Arrival) {
	listed, ok := c.history.Draining[a.Server]
	if !ok {
		return
	}
	c.check(DrainRespected, a.At <= listed+c.bounds.Drain, "%s arrived at %s at %s, %s after the server was listed as draining",
		a.Attempt, a.Server, formatTime(a.At), (a.At - listed).Round(time.Millisecond))
}

func (q *Request) describe() string {
	text := fmt.Sprintf("%s %s (sent at %s, %s", q.Kind, q.Attempt, formatTime(q.Sent), q.Path)
	if q.Program != "" {
		text += ", program " + q.Program
	}
	return text + ")"
}

func describeRuns(runs []Arrival) string {
	var all []string
	for _, a := range runs {
		all = append(all, fmt.Sprintf("%s at %s", a.Server, formatTime(a.At)))
	}
	return strings.Join(all, ", ")
}

func formatTime(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }

// firstDifference returns the first byte position at which two texts differ.
func firstDifference(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
