// Package audit checks from the outside whether nodes keep the platform's rules. It
// is notified of what passed between clients, nodes, backends and the registry, and knows
// nothing of how any of them decided. The emulator, the loopback fleet and tests use
// the same Auditor. The package does no I/O and reads no clock: callers pass times,
// all of the same clock, which must not go back.
//
// The rules are:
//
//   - A request that a node received gets one final answer in time, unless the node is killed.
//   - A request takes effect at most once, and is rejected only if a repeat does no harm.
//   - A backend gets no new requests from a node that has known for long that it drains.
//   - All nodes together don't send a cold backend more than it can handle.
package audit

import (
	"fmt"
	"slices"
	"time"

	"oakseam/logic"
)

// Rules holds the limits of the rules.
type Rules struct {
	Classes          []logic.Class
	AnswerSlack      time.Duration // how much later than the client's timeout a final answer may come
	DrainGrace       time.Duration // how long after it was told of a drain a node may still send to the backend
	OverloadMultiple float64       // a cold backend fails if it is sent more than this multiple of its capacity
	OverloadWindow   time.Duration // within a window of this length,
	OverloadSlack    float64       // plus this much work, in seconds on one standard core, as an allowance for chance
}

// Rule names a rule in reports.
type Rule string

// The rules that can be broken.
const (
	Unanswered        Rule = "unanswered"
	DuplicateEffect   Rule = "double_effect"
	LateDrain         Rule = "late_drain_send"
	BackendOverloaded Rule = "felled_backend"
)

// Answer is the kind of final answer that a client sees.
type Answer uint8

// The kinds of answer. NoAnswer means that the node closed the connection without an answer.
const (
	Served Answer = iota
	Rejected
	Failed
	NoAnswer
)

// answerNames holds the texts of answers in the events of a violation.
var answerNames = [...]string{"served", "refused", "failed", "no answer"}

// Violation is one case of a broken rule, with the events that led to it.
type Violation struct {
	Rule    Rule          `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"req,omitempty"` // the request's id; empty if the violation concerns a backend
	Node    int           `json:"node"`
	Server  string        `json:"backend,omitempty"`
	Why     string        `json:"why"`
	Events  []string      `json:"events"` // the events that concern it, oldest first
}

// Report counts the violations.
type Report struct {
	Unanswered         int         `json:"unanswered"`
	DuplicateEffects   int         `json:"double_effects"`
	LateDrainSends     int         `json:"late_drain_sends"`
	OverloadedBackends int         `json:"felled_backends"`
	Overshoot          float64     `json:"overshoot"` // largest amount of work that a cold backend was sent within a window, as a multiple of its capacity
	Requests           int         `json:"-"`         // number of requests that nodes received
	Violations         []Violation `json:"-"`         // the first maxViolationsPerRule of each rule
}

// Clean reports whether no rule was broken.
func (r *Report) Clean() bool {
	return r.Unanswered+r.DuplicateEffects+r.LateDrainSends+r.OverloadedBackends == 0
}

const (
	maxViolationsPerRule  = 5  // violations of one rule that are kept with their events
	maxEventsPerOperation = 64 // events kept of one operation
)

// Auditor tracks requests, nodes and backends and checks the rules. It is not safe for concurrent use.
type Auditor struct {
	rules            Rules
	classes          map[string]*logic.Class
	retention        time.Duration // after this, nothing that concerns an operation can still happen
	now              time.Duration
	requests         map[string]*request           // by id
	operations       map[uint64]*operation         // by id
	order            []*operation                  // in the order of their first requests, so that old ones can be forgotten
	withdrawn        map[nodeBackend]time.Duration // when a node was told that a backend drains or is gone
	coldWork         map[string]*WorkWindow        // by backend
	report           Report
	violationsByRule map[Rule]int
}

// nodeBackend identifies a backend as one node sees it.
type nodeBackend struct {
	node   int
	server string
}

// request is one request that a node received.
type request struct {
	id                string
	node              int
	operation         *operation
	deadline          time.Duration // when the client's timeout expires
	attempts          []attempt
	answered          bool
	duplicateReported bool // at most one DuplicateEffect is reported for each request
	lateDrainReported bool // at most one LateDrain is reported for each request
}

// attempt is one send of a request to a backend.
type attempt struct {
	server   string
	zone     string
	cell     int
	at       time.Duration
	neverRan bool // proven not to have run
	ended    bool
}

// operation is what a client wants done, with all its requests: the first and the client's retries.
type operation struct {
	id                uint64
	class             *logic.Class
	began             time.Duration
	requests          []*request
	effects           []effect
	events            []event
	duplicateReported bool
}

// effect is an execution that the backend did not drop as a repeat.
type effect struct {
	zone string
	cell int
	at   time.Duration
}

// event is something that concerns a request. It is formatted only if a violation reports it.
type event struct {
	at        time.Duration
	what      string
	requestID string
	server    string
	node      int
}

// String formats the event for a report.
func (e event) String() string {
	s := fmt.Sprintf("%.6fs %s", e.at.Seconds(), e.what)
	if e.requestID != "" {
		s += " req " + e.requestID
	}
	if e.node >= 0 {
		s += fmt.Sprintf(" node %d", e.node)
	}
	if e.server != "" {
		s += " backend " + e.server
	}
	return s
}

// New returns an Auditor that has not been told of any event.
func New(r Rules) *Auditor {
	a := &Auditor{rules: r, classes: map[string]*logic.Class{}, requests: map[string]*request{}, operations: map[uint64]*operation{},
		withdrawn: map[nodeBackend]time.Duration{}, coldWork: map[string]*WorkWindow{}, violationsByRule: map[Rule]int{}}
	for i := range r.Classes {
		c := &r.Classes[i]
		a.classes[c.Name] = c
		a.retention = max(a.retention, 3*c.Deadline+c.Window+30*time.Second)
	}
	return a
}

// advance moves the clock and forgets operations that are older than the retention.
func (a *Auditor) advance(at time.Duration) {
	a.now = max(a.now, at)
	n := 0
	for n < len(a.order) && a.now-a.order[n].began > a.retention {
		a.forget(a.order[n])
		a.order[n] = nil
		n++
	}
	a.order = a.order[n:]
}

// forget checks the operation's requests a last time and drops them.
func (a *Auditor) forget(o *operation) {
	for _, r := range o.requests {
		a.checkOverdue(r)
		delete(a.requests, r.id)
	}
	delete(a.operations, o.id)
}

// recordViolation counts a violation, and keeps the first ones of each rule with their events.
func (a *Auditor) recordViolation(rule Rule, at time.Duration, node int, requestID, server, why string, events []event) {
	switch rule {
	case Unanswered:
		a.report.Unanswered++
	case DuplicateEffect:
		a.report.DuplicateEffects++
	case LateDrain:
		a.report.LateDrainSends++
	case BackendOverloaded:
		a.report.OverloadedBackends++
	}
	if a.violationsByRule[rule]++; a.violationsByRule[rule] > maxViolationsPerRule {
		return
	}
	v := Violation{Rule: rule, At: at, Request: requestID, Node: node, Server: server, Why: why, Events: make([]string, 0, len(events))}
	for _, e := range events {
		v.Events = append(v.Events, e.String())
	}
	a.report.Violations = append(a.report.Violations, v)
}

// addEvent appends an event while there is space for it.
func (o *operation) addEvent(at time.Duration, what, requestID string, node int, server string) {
	if len(o.events) < maxEventsPerOperation {
		o.events = append(o.events, event{at, what, requestID, server, node})
	}
}

// RequestReceived records that a node has received a whole request. All requests with which a client
// wants the same thing done have the same operation id. The client waits for the timeout.
func (a *Auditor) RequestReceived(at time.Duration, node int, id string, operationID uint64, class string, timeout time.Duration) {
	a.advance(at)
	o := a.operations[operationID]
	if o == nil {
		o = &operation{id: operationID, class: a.classes[class], began: at}
		a.operations[operationID] = o
		a.order = append(a.order, o)
	}
	r := &request{id: id, node: node, operation: o, deadline: at + timeout}
	o.requests = append(o.requests, r)
	a.requests[id] = r
	a.report.Requests++
	o.addEvent(at, "taken", id, node, "")
}

// AttemptSent records that a node began to send a request to a backend.
func (a *Auditor) AttemptSent(at time.Duration, node int, id, server, zone string, cell int) {
	a.advance(at)
	if told, ok := a.withdrawn[nodeBackend{node, server}]; ok && at > told+a.rules.DrainGrace {
		var events []event
		events = append(events, event{told, "told that it drains or is gone", "", server, node}, event{at, "sent", id, server, node})
		if r := a.requests[id]; r == nil || !r.lateDrainReported {
			a.recordViolation(LateDrain, at, node, id, server, fmt.Sprintf("sent %.3f s after the node was told", (at-told).Seconds()), events)
			if r != nil {
				r.lateDrainReported = true
			}
		}
	}
	r := a.requests[id]
	if r == nil {
		return
	}
	r.operation.addEvent(at, "sent", id, node, server)
	if r.answered && !r.duplicateReported {
		r.duplicateReported = true
		a.recordViolation(DuplicateEffect, at, node, id, server, "sent after its final answer", r.operation.events)
	}
	if why := r.duplicateRisk(zone, cell, at); why != "" && !r.duplicateReported {
		r.duplicateReported = true
		a.recordViolation(DuplicateEffect, at, node, id, server, why, r.operation.events)
	}
	r.attempts = append(r.attempts, attempt{server: server, zone: zone, cell: cell, at: at})
}

// duplicateRisk returns why a further attempt could have a second effect, or "" if it can't.
func (r *request) duplicateRisk(zone string, cell int, at time.Duration) string {
	c := r.operation.class
	if c == nil {
		return ""
	}
	for _, earlier := range r.attempts {
		if earlier.neverRan {
			continue
		}
		switch {
		case c.Effect == logic.Unsafe:
			return "an unsafe req was sent again while an earlier attempt may have run"
		case c.Effect == logic.Keyed && at-earlier.at >= c.Window:
			return "a keyed req was sent again after its window"
		case c.Effect == logic.Keyed && (c.Group == logic.DedupZone && earlier.zone != zone || c.Group == logic.DedupCell && earlier.cell != cell):
			return "a keyed req was sent again outside the group that drops repeats"
		}
	}
	return ""
}

// AttemptEnded records how an attempt ended, as far as the node can know. If neverRan is true, it is
// proven that the backend did not run the request. Attempts can end in any order.
func (a *Auditor) AttemptEnded(at time.Duration, id, server string, neverRan bool, how string) {
	a.advance(at)
	r := a.requests[id]
	if r == nil {
		return
	}
	r.operation.addEvent(at, how, id, -1, server)
	for i := range r.attempts {
		if attempt := &r.attempts[i]; attempt.server == server && !attempt.ended {
			attempt.ended, attempt.neverRan = true, neverRan
			return
		}
	}
}

// RequestRan records that a backend accepted a request of a client's operation, to run it at once or
// later. At this time the backend decides whether the request is a repeat.
func (a *Auditor) RequestRan(at time.Duration, operationID uint64, id, server, zone string, cell int) {
	a.advance(at)
	o := a.operations[operationID]
	if o == nil || o.class == nil || o.class.Effect == logic.Safe {
		return
	}
	o.addEvent(at, "ran", id, -1, server)
	if o.class.Effect == logic.Keyed {
		for _, e := range o.effects {
			same := o.class.Group == logic.DedupAll || o.class.Group == logic.DedupZone && e.zone == zone || o.class.Group == logic.DedupCell && e.cell == cell
			if same && at-e.at < o.class.Window {
				return // dropped as a repeat
			}
		}
	}
	if o.effects = append(o.effects, effect{zone, cell, at}); len(o.effects) > 1 && !o.duplicateReported {
		o.duplicateReported = true
		if r := a.requests[id]; r != nil && r.duplicateReported {
			return // already reported when it was sent
		}
		a.recordViolation(DuplicateEffect, at, -1, id, server, fmt.Sprintf("an operation of class %s had its effect twice", o.class.Name), o.events)
	}
}

// RequestAnswered records the final answer that a client received whole.
func (a *Auditor) RequestAnswered(at time.Duration, id string, kind Answer) {
	a.advance(at)
	r := a.requests[id]
	if r == nil {
		return
	}
	r.operation.addEvent(at, answerNames[kind], id, r.node, "")
	switch c := r.operation.class; {
	case r.answered:
		a.recordViolation(Unanswered, at, r.node, id, "", "a second final answer", r.operation.events)
		return
	case kind == NoAnswer || at > r.deadline+a.rules.AnswerSlack:
		r.answered = true
		why := "the node ended the connection without an answer"
		if kind != NoAnswer {
			why = fmt.Sprintf("the answer came %.3f s after the client's patience", (at - r.deadline).Seconds())
		}
		a.recordViolation(Unanswered, at, r.node, id, "", why, r.operation.events)
		return
	case kind == Rejected && c != nil && (c.Effect == logic.Unsafe || c.Effect == logic.Keyed && c.Group != logic.DedupAll) && !r.duplicateReported:
		for _, attempt := range r.attempts {
			if !attempt.neverRan {
				r.duplicateReported = true
				a.recordViolation(DuplicateEffect, at, r.node, id, attempt.server, "refused, which calls a repeat harmless, though an attempt may have run", r.operation.events)
				break
			}
		}
	}
	r.answered = true
}

// ClientLeft records that a client stopped waiting. If that was before its timeout, the request needs
// no answer. A client that waited until its timeout must have got an answer.
func (a *Auditor) ClientLeft(at time.Duration, id string) {
	a.advance(at)
	if r := a.requests[id]; r != nil && !r.answered && at < r.deadline {
		r.answered = true
		r.operation.addEvent(at, "client left", id, r.node, "")
	}
}

// NodeDied records that a node was killed. The requests that it held need no answer, unless they were
// overdue before.
func (a *Auditor) NodeDied(at time.Duration, node int) {
	a.advance(at)
	for _, r := range a.requests {
		if r.node == node {
			if !r.answered && at > r.deadline+a.rules.AnswerSlack {
				continue // it was overdue before
			}
			r.answered = true
		}
	}
	for k := range a.withdrawn {
		if k.node == node {
			delete(a.withdrawn, k)
		}
	}
}

// BackendListed records that a node was told whether a backend serves. A backend that drains or is
// gone doesn't. For the grace period the first time counts.
func (a *Auditor) BackendListed(at time.Duration, node int, server string, serving bool) {
	a.advance(at)
	k := nodeBackend{node, server}
	if serving {
		delete(a.withdrawn, k)
	} else if _, known := a.withdrawn[k]; !known {
		a.withdrawn[k] = at
	}
}

// WorkArrived records that work reached a cold backend, whether the backend rejected it or not. The
// work is in seconds on one standard core, and capacity is what the backend can do now, in such
// seconds per second. It returns whether the backend is overloaded so much that it fails.
func (a *Auditor) WorkArrived(at time.Duration, server string, work, capacity float64) bool {
	a.advance(at)
	window := a.coldWork[server]
	if window == nil {
		window = &WorkWindow{}
		a.coldWork[server] = window
	}
	if window.overloaded {
		return true
	}
	overloaded := window.Add(at, work, capacity, a.rules)
	if seconds := a.rules.OverloadWindow.Seconds(); seconds > 0 && capacity > 0 {
		a.report.Overshoot = max(a.report.Overshoot, window.sum/(capacity*seconds))
	}
	if overloaded {
		window.overloaded = true
		a.recordViolation(BackendOverloaded, at, -1, "", server, fmt.Sprintf("%.2f s of work within %.1f s at a capacity of %.2f a second",
			window.sum, a.rules.OverloadWindow.Seconds(), capacity), []event{{at, "felled", "", server, -1}})
	}
	return window.overloaded
}

// BackendStarted records that a backend restarted and is cold again. The work it was sent before no
// longer counts.
func (a *Auditor) BackendStarted(server string) { delete(a.coldWork, server) }

// checkOverdue records a violation if a request's time is over and it has no answer.
func (a *Auditor) checkOverdue(r *request) {
	if !r.answered && a.now > r.deadline+a.rules.AnswerSlack {
		r.answered = true
		a.recordViolation(Unanswered, a.now, r.node, r.id, "", "no final answer", r.operation.events)
	}
}

// Finish checks the requests that are still open and returns the report. All events that can still
// happen must have been recorded. A request whose time is not over at this time is not checked.
func (a *Auditor) Finish(at time.Duration) *Report {
	a.now = max(a.now, at)
	for _, o := range a.order {
		for _, r := range o.requests {
			a.checkOverdue(r)
		}
	}
	slices.SortStableFunc(a.report.Violations, func(x, y Violation) int { return int(x.At - y.At) })
	return &a.report
}

// WorkWindow adds up the work that a cold backend was sent within a sliding window.
type WorkWindow struct {
	at         []time.Duration
	work       []float64
	sum        float64
	overloaded bool
}

// Add adds work and reports whether the window now holds more than the rules allow for a backend of
// the given present capacity. A window is a budget: a window that has just begun may be spent at once.
func (w *WorkWindow) Add(at time.Duration, work, capacity float64, rules Rules) bool {
	n := 0
	for n < len(w.at) && at-w.at[n] >= rules.OverloadWindow {
		w.sum -= w.work[n]
		n++
	}
	w.at, w.work = append(w.at[n:], at), append(w.work[n:], work)
	w.sum += work
	return rules.OverloadMultiple > 0 && w.sum > rules.OverloadMultiple*capacity*rules.OverloadWindow.Seconds()+rules.OverloadSlack
}
