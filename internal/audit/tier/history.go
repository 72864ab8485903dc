// Package tier judges from the outside whether the serving tier keeps its rules: by what
// clients, servers, the platform's callers and the operator saw of it. It knows nothing
// of how the tier works, does no I/O and reads no clock. All times count from one moment.
package tier

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Kind is what a request wants.
type Kind uint8

// The kinds of requests.
const (
	Read  Kind = iota // of a tool, may be carried out more than once
	Order             // to a tool, must not
	Turn              // of a program, is answered by events
)

var kindNames = [...]string{"tool read", "tool order", "turn"}

// String names the kind.
func (k Kind) String() string { return kindNames[k] }

// Event is one event of a stream.
type Event struct{ ID, Data string }

// Answer is what a client got. The zero value is none.
type Answer struct {
	At     time.Duration // when it ended, whole or not
	First  time.Duration // when its first byte came
	Status int           // 0: no head came whole
	Seal   string        // of the server that gave it, empty where the tier answered itself
	Whole  bool          // the body came to its stated end
	Body   string        // not of streams
	Events []Event       // of streams
}

// Request is one try of a client's, with an attempt id of its own.
type Request struct {
	Attempt string
	Kind    Kind
	Host    string
	Path    string
	Input   string // the body
	Sent    time.Duration
	Answer  Answer

	Program  string // of turns, as are the following
	Previous string // the attempt that it goes on from, empty: none
	Budget   uint64 // tokens that the program may be handed
	Most     uint64 // tokens that this turn may put out
}

// Arrival is a request as it came to a server.
type Arrival struct {
	Attempt string
	Server  string
	Service string
	At      time.Duration
	Path    string
	Seal    string // names the run; empty: the server turned the request away and did nothing
	Input   string // the body
	Body    string // of the answer that it gave, not of streams
	Events  []Event
	Whole   bool // the server wrote its answer to the end
	// Misdirected tells that it was meant for an earlier server at the address, and was turned
	// away for that.
	Misdirected bool
}

// Allowed tells to which services a route may lead.
type Allowed struct {
	Host, Prefix string
	Services     []string
}

// Configuration is what an operator ordered.
type Configuration struct {
	Revision     uint64
	Base         uint64
	Body         string
	Routes       []Allowed
	Sent         time.Duration
	Acknowledged time.Duration // 0: never
	Refused      bool
	Tries        int
}

// Shown is a configuration as it was read back.
type Shown struct {
	Asked, At time.Duration
	Body      string
}

// History is all that was seen.
type History struct {
	Requests       []Request
	Arrivals       []Arrival
	Configurations []Configuration // in the order in which they were first sent
	Shown          []Shown
	Draining       map[string]time.Duration // when the platform first listed a server as draining
	Kills          []string                 // in words
}

// Recorder gathers a History. It is safe for concurrent use.
type Recorder struct {
	start time.Time

	mu      sync.Mutex
	history History
}

// NewRecorder returns one whose times count from now.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now(), history: History{Draining: map[string]time.Duration{}}}
}

// Now is the time since the start.
func (r *Recorder) Now() time.Duration { return time.Since(r.start) }

// Requested tells of a request that has ended.
func (r *Recorder) Requested(q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Requests = append(r.history.Requests, q)
}

// Arrived tells of a request at a server, which then has it in hand, and returns its number.
func (r *Recorder) Arrived(a Arrival) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Arrivals = append(r.history.Arrivals, a)
	return len(r.history.Arrivals) - 1
}

// Wrote tells of the next event that a server writes in answer to an arrival.
func (r *Recorder) Wrote(arrival int, e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.history.Arrivals[arrival]
	a.Events = append(a.Events, e)
}

// Finished tells that a server has written its answer to an arrival to the end.
func (r *Recorder) Finished(arrival int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Arrivals[arrival].Whole = true
}

// Ordered tells of a configuration that is about to be sent, and returns its number.
func (r *Recorder) Ordered(c Configuration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Configurations = append(r.history.Configurations, c)
	return len(r.history.Configurations) - 1
}

// Decided tells how an order ended; acknowledged 0: it was not.
func (r *Recorder) Decided(order int, acknowledged time.Duration, refused bool, tries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.history.Configurations[order]
	c.Acknowledged, c.Refused, c.Tries = acknowledged, refused, tries
}

// ReadBack tells of a configuration that was read.
func (r *Recorder) ReadBack(s Shown) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Shown = append(r.history.Shown, s)
}

// ListedDraining tells that the platform has listed a server as draining.
func (r *Recorder) ListedDraining(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.history.Draining[server]; !known {
		r.history.Draining[server] = r.Now()
	}
}

// Killed tells of a trouble, in words.
func (r *Recorder) Killed(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Kills = append(r.history.Kills, what)
}

// Counts are how many requests have ended, and how many of them were served.
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

// History returns what was gathered so far.
func (r *Recorder) History() *History {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := &r.history
	return &History{
		Requests: slices.Clone(h.Requests), Arrivals: slices.Clone(h.Arrivals), Configurations: slices.Clone(h.Configurations),
		Shown: slices.Clone(h.Shown), Draining: maps.Clone(h.Draining), Kills: slices.Clone(h.Kills),
	}
}
