package audit

import (
	"fmt"
	"time"

	"oakseam/logic"
)

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
		s += " request " + e.requestID
	}
	if e.node >= 0 {
		s += fmt.Sprintf(" node %d", e.node)
	}
	if e.server != "" {
		s += " backend " + e.server
	}
	return s
}

// addEvent appends an event while there is space for it.
func (o *operation) addEvent(at time.Duration, what, requestID string, node int, server string) {
	if len(o.events) < maxEventsPerOperation {
		o.events = append(o.events, event{at, what, requestID, server, node})
	}
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
			return "an unsafe request was sent again while an earlier attempt may have run"
		case c.Effect == logic.Keyed && at-earlier.at >= c.Window:
			return "a keyed request was sent again after its window"
		case c.Effect == logic.Keyed && (c.Group == logic.DedupZone && earlier.zone != zone || c.Group == logic.DedupCell && earlier.cell != cell):
			return "a keyed request was sent again outside the group that drops repeats"
		}
	}
	return ""
}
