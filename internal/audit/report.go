package audit

import (
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
