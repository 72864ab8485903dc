// Package logic decides, for one node of a bank of HTTP proxies, which server
// gets a request, how long to wait for it, when to send it once more, and when
// to refuse it.
//
// A node owns one Balancer. It reports what happens as events through Handle
// and carries out the actions that come back, in their order. The package does
// no I/O, reads no clock and starts no goroutine; the same events at the same
// times with the same seed give the same actions.
//
// This file holds the interface. The decisions, by concern:
//
//   - constants.go: the figures that they go by
//   - balancer.go: state, events, what a request is worth and how long it has
//   - choose.go: first pick, early refusal, time-out θ, alternative
//   - attempt.go: sends, outcomes, retries, final answers
//   - guard.go: what may be sent where: rules, limits, cold servers, outliers
//   - list.go: discovery, the part of the fleet that a node sends to
//   - learn.go: what outcomes and load reports tell
//   - curve.go: histograms of latencies, rates
package logic

import (
	"errors"
	"fmt"
	"time"
)

// ServerID names a server. It is compared for equality only.
type ServerID string

// RequestID names a request. A caller never uses one twice.
type RequestID string

// Effect says what a repetition of a request does.
type Effect uint8

// The effects a class of requests can have.
const (
	Safe   Effect = iota // may be repeated and refused freely
	Keyed                // a group of servers drops repeats for a while
	Unsafe               // must never run twice
)

// DedupScope says which servers drop the repeats of a Keyed request.
type DedupScope uint8

// The groups of a Keyed class.
const (
	DedupAll  DedupScope = iota // every server
	DedupZone                   // the servers of one zone
	DedupCell                   // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Aim         time.Duration // an answer within it earns the full worth
	AimStretch  float64       // the aim grows by this multiple of the work hint
	Usual       time.Duration // the latency to assume until answers tell, 0: a third of the aim
	Deadline    time.Duration // what a client waits in all, over its own retries
	Prompt      time.Duration // a time-out is chosen so that the alternative answers within it, 0: by the deadline
	Worth       float64       // 0: unknown, the paper's example figures serve
	LateWorth   float64       // part of the worth kept after the aim, 0 to 1
	Effect      Effect
	Group       DedupScope    // for Keyed
	Window      time.Duration // for Keyed: how long repeats are dropped
	Stream      bool          // answers are streamed: Started events come
	Resumable   bool          // for Stream: a further attempt may take the answer up, also from its middle
	MaxAttempts int           // attempts allowed for one request, 0: Settings.MaxAttempts counts
}

// Tenant describes one customer who shares the fleet.
type Tenant struct {
	Name        string
	QuotaPerSec float64 // requests a second within its share, over all nodes
}

// ReportInFlight is the name in Settings.ReportFields of the count of requests that
// a server holds, running and waiting. Where reports lack it, the count of those
// waiting, "pending", is heeded in its place.
const ReportInFlight = "held"

// Settings is what a node is told at start. Durations of 0 mean "not stated".
type Settings struct {
	Zone           string // the zone this node is in
	Nodes          int    // how many nodes share the work, this one included
	Number         int    // this one's among them, from 0
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64       // worth of a request beyond its tenant's share, as a part
	Tick           time.Duration // the coarseness of the caller's clock
	ReportFields   []string      // names of the values in a load report
	Slots          bool          // a server's Capacity is how many requests it runs at once, as its reports count them

	MustSubscribe  bool          // the server list comes only after Subscribe or Fetch
	AskWithin      time.Duration // without a subscription, the list has to be asked for this often
	DrainGrace     time.Duration // sends to a draining server must have stopped by then
	ColdFrom       float64       // share of its capacity a server has when it starts, at least
	WarmWithin     time.Duration // a started server has its full capacity by then
	FallMultiple   float64       // more than this multiple of the present capacity fells a cold server
	FallAfter      time.Duration // when sent for this long
	AnswerSlack    time.Duration // a final answer may follow the client's deadline by this much
	MaxAttempts    int           // attempts allowed for one request, 0: no limit
	SecondCopies   bool          // two attempts of a request may be out together
	CanCancel      bool          // Cancel may be used
	MaxRetryAfter  time.Duration // the longest pause a refused client heeds, 0: none
	LateFailCharge float64       // price of worth that ended unserved after its aim, as a part
	ConnIdle       time.Duration // idle connections are closed after this
	CrossCharge    float64       // price of an attempt in another zone, as a part of a request's worth
	ConnectCharge  float64       // price of opening a connection, as a part of a request's worth
}

// check reports settings that no decision can be made with.
func (s *Settings) check() error {
	if err := checkClasses(s.Classes); err != nil {
		return err
	}
	if s.Nodes < 0 || s.Number < 0 || s.ColdFrom < 0 || s.ColdFrom > 1 || s.FallMultiple < 0 || s.MaxAttempts < 0 {
		return errors.New("settings: a figure is out of range")
	}
	return nil
}

// checkClasses reports classes that no decision can be made with.
func checkClasses(classes []Class) error {
	if len(classes) == 0 {
		return errors.New("settings: no classes")
	}
	for _, c := range classes {
		switch {
		case c.Name == "":
			return errors.New("settings: a class has no name")
		case c.Aim <= 0 || c.Deadline <= 0:
			return fmt.Errorf("settings: class %s: aim and deadline must be above 0", c.Name)
		case c.Effect == Keyed && c.Window <= 0:
			return fmt.Errorf("settings: class %s: keyed without a window", c.Name)
		case c.MaxAttempts < 0:
			return fmt.Errorf("settings: class %s: attempts below 0", c.Name)
		case c.Worth < 0 || c.LateWorth < 0 || c.LateWorth > 1:
			return fmt.Errorf("settings: class %s: worth out of range", c.Name)
		}
	}
	return nil
}

// Event is what a node reports to its Balancer. The event types of this
// package are the only ones.
type Event interface{ event() }

// ListKind says what a ServerList holds.
type ListKind uint8

// The kinds of server list.
const (
	ListFull    ListKind = iota // every server; who is missing has gone
	ListChanges                 // the changed servers only
	ListCached                  // every server as last known, maybe out of date
	ListFailed                  // no list: a Subscribe or Fetch failed, or the subscription broke
)

// ServerState is what discovery says of a server.
type ServerState uint8

// The states of a listed server.
const (
	Serving  ServerState = iota // takes requests
	Draining                    // finishes what it has; gets nothing new
	Gone                        // left; only in ListChanges
)

// Server is one entry of a server list.
type Server struct {
	ID        ServerID
	Capacity  float64 // relative size, for comparison with other servers
	State     ServerState
	StartedAt time.Duration // when it last started, on the clock of Handle; 0: long ago
	Kind      string
	Zone      string
	Cell      int
}

// ServerList brings news of the servers. The Balancer keeps no reference to
// Servers after Handle returns.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// Request is a client's request. The node owes it one final answer. The Balancer keeps
// Prefer until then.
type Request struct {
	ID            RequestID
	Class         string
	Retry         bool          // the client marked it as a repetition
	ClientTimeout time.Duration // how long the client still waits for this try
	Tenant        string        // "" where there are no tenants
	WorkHint      time.Duration // expected work on a standard core, 0: not known
	BodyPending   bool          // its last byte has not come: one attempt can be made, which is no load yet
	Worth         float64       // of this request, above 0 and finite; 0: its class's
	Preferred     []ServerID    // servers known to hold part of its prompt, best first

	MaxAttempts int      // attempts allowed for this request, 0: its class's
	Avoid       ServerID // gets it only where there is no other server, "": any may
}

// Whole tells that the last byte has come of a request that was told as Coming: its time
// starts only now. The timers set for it until then start now as well.
type Whole struct {
	ID       RequestID
	BodyTime time.Duration // since the Request
}

// Started tells that the streamed answer of an attempt has begun. From then on
// the attempt belongs to the client and no time-out applies to it.
type Started struct {
	ID      RequestID
	Attempt int
	Server  ServerID
	Latency time.Duration // since the attempt was sent
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results of an attempt.
const (
	OK            Result = iota
	Failed               // the server answered with an error; it may have run
	QueueFull            // turned away unseen; it never ran
	TimedOut             // no answer in time; it may have run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Canceled             // called off; it may have run
	NotSent              // never sent
)

// NeverRan tells whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == QueueFull || r == ConnectFailed || r == NotSent }

// Outcome tells how an attempt ended. There is one for every Send.
type Outcome struct {
	ID      RequestID
	Attempt int // the sends of a request are numbered 0, 1, 2 in their order
	Result  Result
	Final   bool // the request is finished; nothing is owed any more
	Server  ServerID
	Latency time.Duration // since the attempt was sent
	Report  []float64     // the server's load report by Settings.ReportFields, nil: none
}

// ClientGone tells that the client has left; nothing is owed any more.
type ClientGone struct{ ID RequestID }

// Wake tells that a timer set with SetTimer is due.
type Wake struct{ Token uint64 }

// Probed hands in the result of a probe that the node made by itself; the
// Balancer asks for none.
type Probed struct {
	Server  ServerID
	Result  Result
	Latency time.Duration
	Report  []float64 // as in Outcome
}

func (ServerList) event() {}
func (Request) event()    {}
func (Started) event()    {}
func (Whole) event()      {}
func (Outcome) event()    {}
func (ClientGone) event() {}
func (Wake) event()       {}
func (Probed) event()     {}

// Action is what a Balancer asks its node to do. The action types of this
// package are the only ones.
type Action interface{ action() }

// Send starts an attempt.
type Send struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration // time-out of the attempt
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer: trying again is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // how long the client should stay away, 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ ID RequestID }

// SetTimer asks for a Wake with the token, After from now.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// Subscribe asks discovery for changes from now on. Exactly one ServerList answers it.
type Subscribe struct{}

// Fetch asks discovery for the whole list once. Exactly one ServerList answers it.
type Fetch struct{}

// CloseIdle closes this node's idle connections to a server.
type CloseIdle struct{ Server ServerID }

// Log is a line for the node's log.
type Log struct{ Text string }

func (Send) action()      {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Subscribe) action() {}
func (Fetch) action()     {}
func (CloseIdle) action() {}
func (Log) action()       {}
