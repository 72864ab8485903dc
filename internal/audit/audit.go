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
	o.addEvent(at, "received", id, node, "")
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
			why = fmt.Sprintf("the answer came %.3f s after the client's timeout", (at - r.deadline).Seconds())
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
