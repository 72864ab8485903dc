// Package tier checks from the outside whether the serving tier keeps its rules, by what clients,
// servers, applications, the platform's callers and the operator saw of it. It depends on nothing of the tier's
// implementation, does no I/O and reads no clock except in Recorder. All times count from the start
// of a Recorder.
package tier

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Kind is the kind of a request.
type Kind uint8

// The kinds of requests.
const (
	ToolRead  Kind = iota // idempotent tool call, may run more than once
	ToolOrder             // tool call with an effect, must run at most once
	Turn                  // turn of a program, answered with a stream of events
)

var kindNames = [...]string{"tool read", "tool order", "turn"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Event is one event of a stream.
type Event struct {
	ID   string
	Data string
}

// Answer is the response that a client received. The zero value means none.
type Answer struct {
	At     time.Duration // when it ended, complete or not
	First  time.Duration // when its first byte arrived
	Status int           // 0: no complete status line and headers arrived
	Seal   string        // identifies the run at a server, empty: the tier itself answered
	Whole  bool          // the body arrived completely
	Body   string        // empty for streams
	Events []Event       // set for streams only
}

// Request is one attempt of a client, with its own attempt id.
type Request struct {
	Attempt string
	Kind    Kind
	Host    string
	Path    string
	Input   string // the body
	Edge    string // the machine that it was sent to
	Sent    time.Duration
	Answer  Answer

	Program  string // this field and the following are set for turns only
	Previous string // attempt id of the turn that this one continues, empty: none
	Budget   uint64 // tokens that all turns of the program may output
	Most     uint64 // tokens that this turn may output
}

// Arrival is a request as it arrived at a server.
type Arrival struct {
	Attempt string
	Server  string
	Service string
	Zone    string // of the server
	At      time.Duration
	Path    string
	Seal    string // identifies the run; empty: the server rejected the request without running it
	Input   string // the body
	Body    string // of the server's answer, unless it is a stream
	Events  []Event
	Whole   bool // the server completed its answer
	// Misdirected means that the request was meant for an earlier server at the same address, and
	// was rejected for that reason.
	Misdirected bool
}

// AllowedRoute lists the services that a route may lead to.
type AllowedRoute struct {
	Host     string
	Prefix   string // of the path
	Services []string
}

// Configuration is a configuration that an operator sent.
type Configuration struct {
	Revision     uint64
	Base         uint64
	Body         string
	Routes       []AllowedRoute
	Sent         time.Duration
	Acknowledged time.Duration // 0: never
	Refused      bool
	Tries        int
}

// ConfigurationRead is a configuration as it was read back.
type ConfigurationRead struct {
	Asked time.Duration // when the read began
	At    time.Duration // when it ended
	Body  string
}

// History is everything that was observed in a run. It is written as JSON, so the field names are
// part of that format.
type History struct {
	Requests       []Request
	Arrivals       []Arrival
	Configurations []Configuration // in the order in which they were first sent
	Shown          []ConfigurationRead
	Draining       map[string]time.Duration // when the platform first listed a server as draining, by server
	Kills          []string                 // descriptions of the injected faults

	Evacuations  []EvacuationOrder // in the order in which they were first sent
	FinalTraffic Span              // of clients, after all troubles

	Readiness  []Readiness // changes, in order
	Isolations []Isolation
	Cold       []ColdSpan

	TallyAdds   []TallyAdd
	TallyReads  []TallyRead
	Starts      map[string][]time.Duration // when a machine's process was about to start, by machine
	Disruptions []Disruption               // in the order in which they ended
}

// Recorder collects a History. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	history History
}

// NewRecorder returns a Recorder whose times count from now.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), history: History{Draining: map[string]time.Duration{}, Starts: map[string][]time.Duration{}}}
}

// Now returns the time since the start.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// RecordRequest records a request that has ended.
func (r *Recorder) RecordRequest(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, q)
}

// RecordArrival records a request that arrived at a server, and returns its number.
func (r *Recorder) RecordArrival(a Arrival) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Arrivals = append(r.history.Arrivals, a)
	return len(r.history.Arrivals) - 1
}

// RecordEvent records the next event that a server writes in answer to an arrival.
func (r *Recorder) RecordEvent(arrival int, e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.history.Arrivals[arrival]
	a.Events = append(a.Events, e)
}

// RecordFinished records that a server has completed its answer to an arrival.
func (r *Recorder) RecordFinished(arrival int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Arrivals[arrival].Whole = true
}

// RecordOrder records a configuration that is about to be sent, and returns its number.
func (r *Recorder) RecordOrder(c Configuration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Configurations = append(r.history.Configurations, c)
	return len(r.history.Configurations) - 1
}

// RecordOrderResult records the outcome of an order. acknowledged is 0 if it was not acknowledged.
func (r *Recorder) RecordOrderResult(order int, acknowledged time.Duration, refused bool, tries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.history.Configurations[order]
	c.Acknowledged, c.Refused, c.Tries = acknowledged, refused, tries
}

// RecordEvacuation records an order about a zone that is about to be sent, and returns its number.
func (r *Recorder) RecordEvacuation(o EvacuationOrder) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	o.Sent = r.Now()
	r.history.Evacuations = append(r.history.Evacuations, o)
	return len(r.history.Evacuations) - 1
}

// RecordEvacuationTry records that an order was sent once, and whether that acknowledged or refused it.
func (r *Recorder) RecordEvacuationTry(order int, acknowledged, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.history.Evacuations[order]
	o.Tries++
	o.Refused = refused
	if acknowledged {
		o.Acknowledged = r.Now()
	}
}

// RecordFinalTraffic records that clients have used the tier after all troubles, until now.
func (r *Recorder) RecordFinalTraffic(from time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.FinalTraffic = Span{From: from, Until: r.Now()}
}

// RecordReadiness records a change of an edge's readiness.
func (r *Recorder) RecordReadiness(edge string, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Readiness = append(r.history.Readiness, Readiness{Edge: edge, Ready: ready, At: r.Now()})
}

// RecordIsolation records an isolation that ends now.
func (r *Recorder) RecordIsolation(i Isolation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i.Until = r.Now()
	r.history.Isolations = append(r.history.Isolations, i)
}

// RecordCold records that a server is cold from now on for a time.
func (r *Recorder) RecordCold(server string, length time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := r.Now()
	r.history.Cold = append(r.history.Cold, ColdSpan{Server: server, Span: Span{From: from, Until: from + length}})
}

// RecordReadBack records a configuration that was read.
func (r *Recorder) RecordReadBack(read ConfigurationRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Shown = append(r.history.Shown, read)
}

// RecordDraining records that the platform has listed a server as draining. The first time counts.
func (r *Recorder) RecordDraining(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.history.Draining[server]; !known {
		r.history.Draining[server] = r.Now()
	}
}

// RecordFault records the description of an injected fault.
func (r *Recorder) RecordFault(description string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Kills = append(r.history.Kills, description)
}

// RecordTallyAdd records an add that has ended, with all its tries.
func (r *Recorder) RecordTallyAdd(a TallyAdd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.TallyAdds = append(r.history.TallyAdds, a)
}

// RecordTallyRead records a call that read a tally, or failed to.
func (r *Recorder) RecordTallyRead(read TallyRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.TallyReads = append(r.history.TallyReads, read)
}

// RecordStart records that a machine's process is about to be started.
func (r *Recorder) RecordStart(machine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Starts[machine] = append(r.history.Starts[machine], r.Now())
}

// RecordDisruption records a disruption that ends now.
func (r *Recorder) RecordDisruption(d Disruption) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.Until = r.Now()
	r.history.Disruptions = append(r.history.Disruptions, d)
}

// Counts returns how many requests have ended, and how many of them were served.
func (r *Recorder) Counts() (ended, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.history.Requests {
		if r.history.Requests[i].Served() {
			served++
		}
	}
	return len(r.history.Requests), served
}

// History returns a copy of what was recorded so far.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &r.history
	return &History{
		Requests: slices.Clone(h.Requests), Arrivals: slices.Clone(h.Arrivals), Configurations: slices.Clone(h.Configurations),
		Shown: slices.Clone(h.Shown), Draining: maps.Clone(h.Draining), Kills: slices.Clone(h.Kills),
		Evacuations: slices.Clone(h.Evacuations), FinalTraffic: h.FinalTraffic,
		Readiness: slices.Clone(h.Readiness), Isolations: slices.Clone(h.Isolations), Cold: slices.Clone(h.Cold),
		TallyAdds: slices.Clone(h.TallyAdds), TallyReads: slices.Clone(h.TallyReads), Starts: maps.Clone(h.Starts), Disruptions: slices.Clone(h.Disruptions),
	}
}
