package tier

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Rule names what was broken.
type Rule string

// The rules. Each order and turn is one whose attempt id is used once by its client.
const (
	RunsOnce      Rule = "an order or turn runs at most once"
	RefusedIsOff  Rule = "what was refused never ran and never runs"
	SuccessWhole  Rule = "a success is a server's, whole"
	ChainExact    Rule = "a turn's body is the whole chain"
	EventsInOrder Rule = "events come in order, none is missing"
	BudgetKept    Rule = "no program is handed more than its budget and one turn"
	BudgetGiven   Rule = "402 only where the budget may be spent"
	TurnFound     Rule = "a turn answered whole is never answered 404"
	OrderKept     Rule = "an acknowledged configuration is read back"
	DrainKept     Rule = "a drained server gets nothing new"
	RouteAllowed  Rule = "requests go where a configuration allows"
)

var allRules = []Rule{RunsOnce, RefusedIsOff, SuccessWhole, ChainExact, EventsInOrder, BudgetKept, BudgetGiven,
	TurnFound, OrderKept, DrainKept, RouteAllowed}

// Bounds are the times of the rules.
type Bounds struct {
	Drain time.Duration // after this a server that is listed as draining gets nothing new
	Apply time.Duration // after this nothing goes by an older configuration
}

// Verdict tells what came of a rule.
type Verdict struct {
	Rule    Rule
	Checked int
	Broken  int
	Why     []string // the first breaches
}

// whyMost is how many breaches of a rule are told in words.
const whyMost = 5

// Served tells whether the answer is a success as the client sees it.
func (q *Request) Served() bool { return q.Answer.Status == http.StatusOK && q.Answer.Whole }

// Refused tells whether the answer says that nothing was done.
func (q *Request) Refused() bool {
	switch q.Answer.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired, http.StatusNotFound:
		return q.Answer.Seal == ""
	}
	return false
}

// judge is one judgement under way.
type judge struct {
	history  *History
	bounds   Bounds
	verdicts map[Rule]*Verdict
	requests map[string]*Request  // by attempt
	arrivals map[string][]Arrival // by attempt
	runs     map[string][]Arrival // arrivals that were not turned away, by attempt
	chains   map[string]string    // what was said up to the end of a turn answered whole
}

// Judge holds a history against all rules.
func Judge(h *History, b Bounds) []Verdict {
	j := newJudge(h, b)
	for i := range h.Requests {
		q := &h.Requests[i]
		j.once(q)
		j.refused(q)
		j.success(q)
		if q.Kind == Turn {
			j.chain(q)
			j.events(q)
			j.found(q)
		}
	}
	j.budgets()
	j.orders()
	for i := range h.Arrivals {
		if a := &h.Arrivals[i]; !a.Misdirected {
			j.drained(a)
			j.allowed(a)
		}
	}
	verdicts := make([]Verdict, 0, len(allRules))
	for _, r := range allRules {
		verdicts = append(verdicts, *j.verdicts[r])
	}
	return verdicts
}

func newJudge(h *History, b Bounds) *judge {
	j := &judge{history: h, bounds: b, verdicts: map[Rule]*Verdict{}, requests: map[string]*Request{},
		arrivals: map[string][]Arrival{}, runs: map[string][]Arrival{}, chains: map[string]string{}}
	for _, r := range allRules {
		j.verdicts[r] = &Verdict{Rule: r}
	}
	for i := range h.Requests {
		j.requests[h.Requests[i].Attempt] = &h.Requests[i]
	}
	for _, a := range h.Arrivals {
		j.arrivals[a.Attempt] = append(j.arrivals[a.Attempt], a)
		if a.Seal != "" {
			j.runs[a.Attempt] = append(j.runs[a.Attempt], a)
		}
	}
	return j
}

// check counts a check of a rule, and a breach with its reason where it doesn't hold.
func (j *judge) check(r Rule, holds bool, format string, args ...any) {
	v := j.verdicts[r]
	v.Checked++
	if holds {
		return
	}
	v.Broken++
	if len(v.Why) < whyMost {
		v.Why = append(v.Why, fmt.Sprintf(format, args...))
	}
}

func (j *judge) once(q *Request) {
	if q.Kind == Read {
		return
	}
	runs := j.runs[q.Attempt]
	j.check(RunsOnce, len(runs) <= 1, "%s ran %d times: %s", q.describe(), len(runs), places(runs))
}

func (j *judge) refused(q *Request) {
	if !q.Refused() {
		return
	}
	runs := j.runs[q.Attempt]
	j.check(RefusedIsOff, len(runs) == 0, "%s was answered %d at %s, and ran: %s", q.describe(), q.Answer.Status, at(q.Answer.At), places(runs))
}

func (j *judge) success(q *Request) {
	if !q.Served() {
		return
	}
	seal := slices.IndexFunc(j.runs[q.Attempt], func(a Arrival) bool { return a.Seal == q.Answer.Seal })
	if seal < 0 {
		j.check(SuccessWhole, false, "%s has the seal %q, no run's of it: %s", q.describe(), q.Answer.Seal, places(j.runs[q.Attempt]))
		return
	}
	run := j.runs[q.Attempt][seal]
	same := run.Whole && q.Answer.Body == run.Body && slices.Equal(q.Answer.Events, run.Events)
	j.check(SuccessWhole, same, "%s got %d bytes and %d events of %d bytes and %d events at %s (written to the end: %v)", q.describe(),
		len(q.Answer.Body), len(q.Answer.Events), len(run.Body), len(run.Events), run.Server, run.Whole)
}

// chainOf returns what was said up to the end of a turn that was answered whole.
func (j *judge) chainOf(attempt string) (string, bool) {
	if attempt == "" {
		return "", true
	}
	if text, ok := j.chains[attempt]; ok {
		return text, true
	}
	q := j.requests[attempt]
	if q == nil || !q.Served() {
		return "", false
	}
	before, ok := j.chainOf(q.Previous)
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
	j.chains[attempt] = text.String()
	return text.String(), true
}

func (j *judge) chain(q *Request) {
	before, known := j.chainOf(q.Previous)
	if !known {
		return // the client went on from a turn that it never had
	}
	for _, a := range j.arrivals[q.Attempt] {
		want := before + q.Input
		j.check(ChainExact, a.Input == want, "%s came to %s with %d bytes, not the %d of its chain; they part at byte %d",
			q.describe(), a.Server, len(a.Input), len(want), parting(a.Input, want))
	}
}

func (j *judge) events(q *Request) {
	if len(q.Answer.Events) == 0 {
		return
	}
	for i, e := range q.Answer.Events {
		if e.ID != fmt.Sprint(i+1) {
			j.check(EventsInOrder, false, "%s: event %d has the id %q", q.describe(), i+1, e.ID)
			return
		}
	}
	for _, run := range j.runs[q.Attempt] {
		if run.Seal != q.Answer.Seal {
			continue
		}
		got := q.Answer.Events
		prefix := len(got) <= len(run.Events) && slices.Equal(got, run.Events[:len(got)])
		j.check(EventsInOrder, prefix, "%s: the %d events are not those that %s wrote", q.describe(), len(got), run.Server)
		return
	}
	j.check(EventsInOrder, false, "%s: %d events of no run (seal %q)", q.describe(), len(q.Answer.Events), q.Answer.Seal)
}

func (j *judge) found(q *Request) {
	before := j.requests[q.Previous]
	if q.Previous == "" || before == nil || !before.Served() {
		return
	}
	j.check(TurnFound, q.Answer.Status != http.StatusNotFound, "%s goes on from %s, which ended whole at %s, and was answered 404 at %s",
		q.describe(), before.Attempt, at(before.Answer.At), at(q.Answer.At))
}

func (j *judge) drained(a *Arrival) {
	listed, ok := j.history.Draining[a.Server]
	if !ok {
		return
	}
	j.check(DrainKept, a.At <= listed+j.bounds.Drain, "%s came to %s at %s, %s after it was listed as draining",
		a.Attempt, a.Server, at(a.At), (a.At - listed).Round(time.Millisecond))
}

func (q *Request) describe() string {
	text := fmt.Sprintf("%s %s (sent at %s, %s", q.Kind, q.Attempt, at(q.Sent), q.Path)
	if q.Program != "" {
		text += ", program " + q.Program
	}
	return text + ")"
}

func places(runs []Arrival) string {
	var all []string
	for _, a := range runs {
		all = append(all, fmt.Sprintf("%s at %s", a.Server, at(a.At)))
	}
	return strings.Join(all, ", ")
}

func at(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }

// parting is the first byte at which two texts differ.
func parting(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}
