// Package audit judges whether nodes keep the rules, from the outside: it is
// told what passed between clients, nodes, backends and the registry, and knows
// nothing of how anyone decided. The emulator, the loopback fleet and tests use
// the same Auditor. It does no I/O and reads no clock; times are handed in, on
// any one clock, and must not go back.
//
// The rules are those of the platform:
//
//   - a request taken by a node that lives on gets one final answer in time,
//   - a request has no second effect, and is refused only where a repeat is harmless,
//   - a backend gets nothing new once a node has long known that it drains,
//   - a cold backend is not sent more than it can bear by all nodes together.
package audit

import (
	"fmt"
	"slices"
	"time"

	"pipitmux/logic"
)

// Rules are the figures of the rules.
type Rules struct {
	Classes          []logic.Class
	AnswerSlack      time.Duration // a final answer may follow the client's patience by this much
	DrainGrace       time.Duration // sends must have stopped this long after a node was told
	OverloadMultiple float64       // times its capacity fells a cold backend,
	OverloadWindow   time.Duration // when sent within a window of this length
	OverloadSlack    float64       // and this much work more, in seconds on one standard core: chance
}

// Rule names what was broken.
type Rule string

// The rules.
const (
	Unanswered        Rule = "unanswered"
	DuplicateEffect   Rule = "double_effect"
	LateDrain         Rule = "late_drain_send"
	BackendOverloaded Rule = "felled_backend"
)

// Answer is the kind of a final answer as the client sees it.
type Answer uint8

// The kinds of answer. A node that ends a connection without one gives NoAnswer.
const (
	Served Answer = iota
	Rejected
	Failed
	NoAnswer
)

var answerNames = [...]string{"served", "refused", "failed", "no answer"}

// Violation is one breach, with what led to it.
type Violation struct {
	Rule    Rule          `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"req,omitempty"` // the id of the try, empty where a backend is meant
	Node    int           `json:"node"`
	Server  string        `json:"backend,omitempty"`
	Why     string        `json:"why"`
	Events  []string      `json:"events"` // what passed that concerns it, oldest first
}

// Report counts the breaches.
type Report struct {
	Unanswered         int         `json:"unanswered"`
	DuplicateEffects   int         `json:"double_effects"`
	LateDrainSends     int         `json:"late_drain_sends"`
	OverloadedBackends int         `json:"felled_backends"`
	Overshoot          float64     `json:"overshoot"` // the most that a cold backend was sent within a window, as a multiple of its capacity
	Requests           int         `json:"-"`         // requests that were judged
	Violations         []Violation `json:"-"`         // the first detailMost of each rule
}

// Clean tells that no rule was broken.
func (r *Report) Clean() bool {
	return r.Unanswered+r.DuplicateEffects+r.LateDrainSends+r.OverloadedBackends == 0
}

const (
	detailMost = 5  // breaches of a rule that are kept with their events
	notesMost  = 64 // events kept of one request
)

// Auditor follows requests, nodes and backends. It is not safe for concurrent use.
type Auditor struct {
	rules   Rules
	classes map[string]*logic.Class
	longest time.Duration // after this, nothing that concerns a request can still come
	now     time.Duration
	tries   map[string]*try
	ops     map[uint64]*op
	order   []*op // by their first try: the old ones are let go
	told    map[toldKey]time.Duration
	cold    map[string]*WorkWindow
	report  Report
	perRule map[Rule]int
}

type toldKey struct {
	node   int
	server string
}

// try is one request as a node took it.
type try struct {
	id       string
	node     int
	op       *op
	until    time.Duration
	sends    []sent
	answered bool
	judged   bool // one breach of a rule a try is enough
	drained  bool
}

type sent struct {
	server string
	zone   string
	cell   int
	at     time.Duration
	never  bool // proven never to have run
	ended  bool
}

// op is what a client wants done, over all its tries.
type op struct {
	id      uint64
	class   *logic.Class
	began   time.Duration
	tries   []*try
	effects []effect
	notes   []note
	doubled bool
}

// effect is a run that was not dropped as a repeat.
type effect struct {
	zone string
	cell int
	at   time.Duration
}

// note is an event, put into words only where a breach is told.
type note struct {
	at     time.Duration
	what   string
	id     string
	server string
	node   int
}

func (n note) String() string {
	s := fmt.Sprintf("%.6fs %s", n.at.Seconds(), n.what)
	if n.id != "" {
		s += " req " + n.id
	}
	if n.node >= 0 {
		s += fmt.Sprintf(" node %d", n.node)
	}
	if n.server != "" {
		s += " backend " + n.server
	}
	return s
}

// New returns an Auditor that has seen nothing.
func New(r Rules) *Auditor {
	a := &Auditor{rules: r, classes: map[string]*logic.Class{}, tries: map[string]*try{}, ops: map[uint64]*op{},
		told: map[toldKey]time.Duration{}, cold: map[string]*WorkWindow{}, perRule: map[Rule]int{}}
	for i := range r.Classes {
		c := &r.Classes[i]
		a.classes[c.Name] = c
		a.longest = max(a.longest, 3*c.Deadline+c.Window+30*time.Second)
	}
	return a
}

func (a *Auditor) tick(at time.Duration) {
	a.now = max(a.now, at)
	n := 0
	for n < len(a.order) && a.now-a.order[n].began > a.longest {
		a.letGo(a.order[n])
		a.order[n] = nil
		n++
	}
	a.order = a.order[n:]
}

func (a *Auditor) letGo(o *op) {
	for _, t := range o.tries {
		a.overdue(t)
		delete(a.tries, t.id)
	}
	delete(a.ops, o.id)
}

// breach counts a breach, and keeps the first ones of a rule with their events.
func (a *Auditor) breach(r Rule, at time.Duration, node int, request, server, why string, notes []note) {
	switch r {
	case Unanswered:
		a.report.Unanswered++
	case DuplicateEffect:
		a.report.DuplicateEffects++
	case LateDrain:
		a.report.LateDrainSends++
	case BackendOverloaded:
		a.report.OverloadedBackends++
	}
	if a.perRule[r]++; a.perRule[r] > detailMost {
		return
	}
	b := Violation{Rule: r, At: at, Request: request, Node: node, Server: server, Why: why, Events: make([]string, 0, len(notes))}
	for _, n := range notes {
		b.Events = append(b.Events, n.String())
	}
	a.report.Violations = append(a.report.Violations, b)
}

func (o *op) note(at time.Duration, what, id string, node int, server string) {
	if len(o.notes) < notesMost {
		o.notes = append(o.notes, note{at, what, id, server, node})
	}
}

// RequestReceived tells that a node has a whole request. The op names what the client wants
// done: its further tries carry the same. The client waits for patience.
func (a *Auditor) RequestReceived(at time.Duration, node int, id string, operation uint64, class string, patience time.Duration) {
	a.tick(at)
	o := a.ops[operation]
	if o == nil {
		o = &op{id: operation, class: a.classes[class], began: at}
		a.ops[operation] = o
		a.order = append(a.order, o)
	}
	t := &try{id: id, node: node, op: o, until: at + patience}
	o.tries = append(o.tries, t)
	a.tries[id] = t
	a.report.Requests++
	o.note(at, "taken", id, node, "")
}

// AttemptSent tells that a node began to send a request to a backend.
func (a *Auditor) AttemptSent(at time.Duration, node int, id, server, zone string, cell int) {
	a.tick(at)
	if told, ok := a.told[toldKey{node, server}]; ok && at > told+a.rules.DrainGrace {
		var notes []note
		notes = append(notes, note{told, "told that it drains or is gone", "", server, node}, note{at, "sent", id, server, node})
		if t := a.tries[id]; t == nil || !t.drained {
			a.breach(LateDrain, at, node, id, server, fmt.Sprintf("sent %.3f s after the node was told", (at-told).Seconds()), notes)
			if t != nil {
				t.drained = true
			}
		}
	}
	t := a.tries[id]
	if t == nil {
		return
	}
	t.op.note(at, "sent", id, node, server)
	if t.answered && !t.judged {
		t.judged = true
		a.breach(DuplicateEffect, at, node, id, server, "sent after its final answer", t.op.notes)
	}
	if why := t.mayNot(zone, cell, at); why != "" && !t.judged {
		t.judged = true
		a.breach(DuplicateEffect, at, node, id, server, why, t.op.notes)
	}
	t.sends = append(t.sends, sent{server: server, zone: zone, cell: cell, at: at})
}

// mayNot says why a further send could have a second effect, empty if it can't.
func (t *try) mayNot(zone string, cell int, at time.Duration) string {
	c := t.op.class
	if c == nil {
		return ""
	}
	for _, s := range t.sends {
		if s.never {
			continue
		}
		switch {
		case c.Effect == logic.Unsafe:
			return "an unsafe req was sent again while an earlier attempt may have run"
		case c.Effect == logic.Keyed && at-s.at >= c.Window:
			return "a keyed req was sent again after its window"
		case c.Effect == logic.Keyed && (c.Group == logic.DedupZone && s.zone != zone || c.Group == logic.DedupCell && s.cell != cell):
			return "a keyed req was sent again outside the group that drops repeats"
		}
	}
	return ""
}

// AttemptEnded tells how an attempt ended, as far as the node can know: never says that
// it is proven not to have run. Attempts end in any order.
func (a *Auditor) AttemptEnded(at time.Duration, id, server string, never bool, how string) {
	a.tick(at)
	t := a.tries[id]
	if t == nil {
		return
	}
	t.op.note(at, how, id, -1, server)
	for i := range t.sends {
		if s := &t.sends[i]; s.server == server && !s.ended {
			s.ended, s.never = true, never
			return
		}
	}
}

// RequestRan tells that a backend took a request for a client's operation to work on, at
// once or later. That is when it tells a repeat from a new one.
func (a *Auditor) RequestRan(at time.Duration, operation uint64, id, server, zone string, cell int) {
	a.tick(at)
	o := a.ops[operation]
	if o == nil || o.class == nil || o.class.Effect == logic.Safe {
		return
	}
	o.note(at, "ran", id, -1, server)
	if o.class.Effect == logic.Keyed {
		for _, e := range o.effects {
			same := o.class.Group == logic.DedupAll || o.class.Group == logic.DedupZone && e.zone == zone || o.class.Group == logic.DedupCell && e.cell == cell
			if same && at-e.at < o.class.Window {
				return // dropped as a repeat
			}
		}
	}
	if o.effects = append(o.effects, effect{zone, cell, at}); len(o.effects) > 1 && !o.doubled {
		o.doubled = true
		if t := a.tries[id]; t != nil && t.judged {
			return // told by its send already
		}
		a.breach(DuplicateEffect, at, -1, id, server, fmt.Sprintf("an operation of class %s had its effect twice", o.class.Name), o.notes)
	}
}

// RequestAnswered tells the final answer that a client got whole.
func (a *Auditor) RequestAnswered(at time.Duration, id string, kind Answer) {
	a.tick(at)
	t := a.tries[id]
	if t == nil {
		return
	}
	t.op.note(at, answerNames[kind], id, t.node, "")
	switch c := t.op.class; {
	case t.answered:
		a.breach(Unanswered, at, t.node, id, "", "a second final answer", t.op.notes)
		return
	case kind == NoAnswer || at > t.until+a.rules.AnswerSlack:
		t.answered = true
		why := "the node ended the connection without an answer"
		if kind != NoAnswer {
			why = fmt.Sprintf("the answer came %.3f s after the client's patience", (at - t.until).Seconds())
		}
		a.breach(Unanswered, at, t.node, id, "", why, t.op.notes)
		return
	case kind == Rejected && c != nil && (c.Effect == logic.Unsafe || c.Effect == logic.Keyed && c.Group != logic.DedupAll) && !t.judged:
		for _, s := range t.sends {
			if !s.never {
				t.judged = true
				a.breach(DuplicateEffect, at, t.node, id, s.server, "refused, which calls a repeat harmless, though an attempt may have run", t.op.notes)
				break
			}
		}
	}
	t.answered = true
}

// ClientLeft tells that the client stopped waiting before its patience was over:
// nothing is owed any more. A client that waited it out is owed an answer.
func (a *Auditor) ClientLeft(at time.Duration, id string) {
	a.tick(at)
	if t := a.tries[id]; t != nil && !t.answered && at < t.until {
		t.answered = true
		t.op.note(at, "client left", id, t.node, "")
	}
}

// NodeDied tells that a node was killed: what it held is nobody's fault.
func (a *Auditor) NodeDied(at time.Duration, node int) {
	a.tick(at)
	for _, t := range a.tries {
		if t.node == node {
			if !t.answered && at > t.until+a.rules.AnswerSlack {
				continue // it was overdue before
			}
			t.answered = true
		}
	}
	for k := range a.told {
		if k.node == node {
			delete(a.told, k)
		}
	}
}

// BackendListed tells what a node was told of a backend: that it serves, or not.
func (a *Auditor) BackendListed(at time.Duration, node int, server string, serves bool) {
	a.tick(at)
	k := toldKey{node, server}
	if serves {
		delete(a.told, k)
	} else if _, known := a.told[k]; !known {
		a.told[k] = at
	}
}

// WorkArrived tells that work reached a cold backend, turned away or not, in seconds on
// one standard core, and the backend's capacity at that moment in such seconds a
// second. It returns whether that fells it.
func (a *Auditor) WorkArrived(at time.Duration, server string, work, capacity float64) bool {
	a.tick(at)
	p := a.cold[server]
	if p == nil {
		p = &WorkWindow{}
		a.cold[server] = p
	}
	if p.felled {
		return true
	}
	felled := p.Add(at, work, capacity, a.rules)
	if w := a.rules.OverloadWindow.Seconds(); w > 0 && capacity > 0 {
		a.report.Overshoot = max(a.report.Overshoot, p.sum/(capacity*w))
	}
	if felled {
		p.felled = true
		a.breach(BackendOverloaded, at, -1, "", server, fmt.Sprintf("%.2f s of work within %.1f s at a capacity of %.2f a second",
			p.sum, a.rules.OverloadWindow.Seconds(), capacity), []note{{at, "felled", "", server, -1}})
	}
	return p.felled
}

// BackendStarted tells that a backend starts anew, cold; what it was sent before is forgotten.
func (a *Auditor) BackendStarted(server string) { delete(a.cold, server) }

// overdue judges a try whose time is over.
func (a *Auditor) overdue(t *try) {
	if !t.answered && a.now > t.until+a.rules.AnswerSlack {
		t.answered = true
		a.breach(Unanswered, a.now, t.node, t.id, "", "no final answer", t.op.notes)
	}
}

// Finish judges what is still open and returns the report. All that could still
// come must have come; a request whose time is not over by then is not judged.
func (a *Auditor) Finish(at time.Duration) *Report {
	a.now = max(a.now, at)
	for _, o := range a.order {
		for _, t := range o.tries {
			a.overdue(t)
		}
	}
	slices.SortStableFunc(a.report.Violations, func(x, y Violation) int { return int(x.At - y.At) })
	return &a.report
}

// WorkWindow adds up the work that a cold backend was sent in a window.
type WorkWindow struct {
	at     []time.Duration
	work   []float64
	sum    float64
	felled bool
}

// Add counts work and tells whether the window now holds more than the rules
// let a backend of that present capacity bear. A window is a budget: one that
// has just begun may be spent at once.
func (p *WorkWindow) Add(at time.Duration, work, capacity float64, r Rules) bool {
	n := 0
	for n < len(p.at) && at-p.at[n] >= r.OverloadWindow {
		p.sum -= p.work[n]
		n++
	}
	p.at, p.work = append(p.at[n:], at), append(p.work[n:], work)
	p.sum += work
	return r.OverloadMultiple > 0 && p.sum > r.OverloadMultiple*capacity*r.OverloadWindow.Seconds()+r.OverloadSlack
}
