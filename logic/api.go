// Package logic is the load balancing policy of one node in a tier of HTTP
// proxies. It chooses the server of a request, the timeout of each attempt,
// whether and where to retry, and whether to reject the request at once.
//
// A node owns one Balancer. It reports events through Handle and carries out
// the returned actions in their order. The package does no I/O, reads no clock
// and starts no goroutine. It is deterministic: the same events at the same
// times with the same seed give the same actions.
//
// This file declares settings, events and actions. The policy is in:
//
//   - constants.go: tuning constants
//   - balancer.go: state, event dispatch, worth and deadline of a request
//   - choose.go: choice of server, admission control, timeout θ, alternative
//   - attempt.go: attempts, outcomes, retries, final answers
//   - guard.go: which sends are allowed: rules, limits, cold servers, outliers
//   - list.go: service discovery, subset of the fleet that a node sends to
//   - learn.go: learning from outcomes and load reports
//   - curve.go: latency histograms, rates
//
// Saved state is in state.go, figures for operators in view.go.
package logic

import (
	"errors"
	"fmt"
	"time"
)

// ServerID identifies a server. It is only compared for equality.
type ServerID string

// RequestID identifies a request. Callers never reuse one.
type RequestID string

// Effect says whether a request may run more than once.
type Effect uint8

// The effects of a class of requests.
const (
	Safe   Effect = iota // idempotent: may be repeated and rejected freely
	Keyed                // servers within Class.Group drop repeats for Class.Window
	Unsafe               // must never run twice
)

// DedupScope says which servers drop repeats of a Keyed request together.
type DedupScope uint8

// The deduplication scopes of a Keyed class.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // the servers of one zone
	DedupCell                   // the servers of one cell
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Aim         time.Duration // latency target: an answer within it earns the full worth
	AimStretch  float64       // the aim grows by this multiple of Request.WorkHint
	Usual       time.Duration // latency assumed before any answer, 0: a third of Aim
	Deadline    time.Duration // how long a client waits in all, including its own retries
	Prompt      time.Duration // timeouts are chosen so that a retry answers within this time, 0: by the deadline
	Worth       float64       // value of an answer in time, 0: unknown, the paper's example payoffs apply
	LateWorth   float64       // share of the worth that a later answer earns, 0 to 1
	Effect      Effect
	Group       DedupScope    // for Keyed: the deduplication scope
	Window      time.Duration // for Keyed: how long repeats are dropped
	Stream      bool          // answers are streamed and Started events reported
	Resumable   bool          // for Stream: another attempt may resume the answer, also from its middle
	MaxAttempts int           // attempts allowed per request, 0: Settings.MaxAttempts applies
}

// Tenant is a customer who shares the fleet.
type Tenant struct {
	Name        string
	QuotaPerSec float64 // over all nodes
}

// ReportInFlight is the name in Settings.ReportFields of the number of requests
// in flight at a server, running and queued. If reports lack it, the number of
// queued requests, "pending", is used instead.
const ReportInFlight = "held"

// Settings configures a node. A duration of 0 means "not stated".
type Settings struct {
	Zone           string // zone of this node
	Nodes          int    // nodes that share the work, including this one
	Number         int    // index of this node, from 0
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64       // factor of the worth of a request beyond its tenant's quota
	Tick           time.Duration // resolution of the caller's clock
	ReportFields   []string      // names of the values in a load report
	Slots          bool          // Server.Capacity counts requests run at once, as reports do

	MustSubscribe  bool          // the server list is only sent after Subscribe or Fetch
	AskWithin      time.Duration // without a subscription the list must be requested this often
	DrainGrace     time.Duration // sends to a draining server must stop within this time
	ColdFrom       float64       // share of its capacity that a server has at its start, at least
	WarmWithin     time.Duration // a server reaches its full capacity within this time
	FallMultiple   float64       // load above this multiple of its present capacity brings a cold server down
	FallAfter      time.Duration // when it lasts this long
	AnswerSlack    time.Duration // a final answer may come this long after the client's deadline
	MaxAttempts    int           // attempts allowed per request, 0: no limit
	SecondCopies   bool          // hedging: two attempts of a request may be in flight together
	CanCancel      bool          // Cancel actions may be used
	MaxRetryAfter  time.Duration // longest Retry-After that rejected clients respect, 0: none
	LateFailCharge float64       // cost of a request that fails after its aim, as a share of its worth
	ConnIdle       time.Duration // idle connections are closed after this time
	CrossCharge    float64       // cost of an attempt in another zone, as a share of a request's worth
	ConnectCharge  float64       // cost of opening a connection, as a share of a request's worth
}

// check returns an error for settings that no decision can be made with.
func (s *Settings) check() error {
	if err := checkClasses(s.Classes); err != nil {
		return err
	}
	if s.Nodes < 0 || s.Number < 0 || s.ColdFrom < 0 || s.ColdFrom > 1 || s.FallMultiple < 0 || s.MaxAttempts < 0 {
		return errors.New("settings: a value is out of range")
	}
	return nil
}

// checkClasses returns an error for classes that no decision can be made with.
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

// Event is what a node reports to its Balancer. Only the types of this package
// implement it.
type Event interface{ event() }

// ListKind says what a ServerList contains.
type ListKind uint8

// The kinds of server list.
const (
	ListFull    ListKind = iota // every server; missing ones are gone
	ListChanges                 // only the changed servers
	ListCached                  // every server as last known, possibly outdated
	ListFailed                  // no list: a Subscribe or Fetch failed, or the subscription broke
)

// ServerState is the state of a server in service discovery.
type ServerState uint8

// The states of a listed server.
const (
	Serving  ServerState = iota // takes requests
	Draining                    // finishes its requests and gets no new ones
	Gone                        // removed; only in ListChanges
)

// Server is one entry of a server list.
type Server struct {
	ID        ServerID
	Capacity  float64 // relative to other servers
	State     ServerState
	StartedAt time.Duration // start of its process on the clock of Handle, 0: long ago
	Kind      string        // servers of one kind share latency statistics
	Zone      string
	Cell      int
}

// ServerList reports servers or their changes. The Balancer keeps no reference
// to Servers after Handle returns.
type ServerList struct {
	Kind    ListKind
	Servers []Server
}

// Request is a client's request, which must get exactly one final answer. The
// Balancer keeps Preferred until then.
type Request struct {
	ID            RequestID
	Class         string
	Retry         bool          // the client marked it as a retry
	ClientTimeout time.Duration // how long the client still waits for this try
	Tenant        string        // "" if there are no tenants
	WorkHint      time.Duration // expected work on a standard core, 0: unknown
	BodyPending   bool          // the body is not complete: only one attempt is made, which is no load yet
	Worth         float64       // of this request, above 0 and finite; 0: that of its class
	Preferred     []ServerID    // servers known to have part of its prompt cached, best first

	MaxAttempts int      // attempts allowed for this request, 0: as for its class
	Avoid       ServerID // gets it only if there is no other server, "": none
}

// Whole reports that the body of a request with BodyPending is complete. Its
// aim and deadline, and the timers set for it so far, only start now.
type Whole struct {
	ID       RequestID
	BodyTime time.Duration // time since the Request event
}

// Started reports that the streamed answer of an attempt has begun. From then on
// the attempt belongs to the client and no timeout applies to it.
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
	Failed               // the server returned an error; it may have run
	QueueFull            // rejected by a full queue; it never ran
	TimedOut             // no answer in time; it may have run
	ConnectFailed        // no connection; it never ran
	Reset                // the connection broke; it may have run
	Canceled             // canceled by the node; it may have run
	NotSent              // never sent
)

// NeverRan reports whether the result proves that the attempt did not run.
func (r Result) NeverRan() bool { return r == QueueFull || r == ConnectFailed || r == NotSent }

// Outcome reports how an attempt ended. There is one for every Send.
type Outcome struct {
	ID      RequestID
	Attempt int // the sends of a request are numbered from 0 in their order
	Result  Result
	Final   bool // the request has its final answer
	Server  ServerID
	Latency time.Duration // since the attempt was sent
	Report  []float64     // the server's load report, ordered as Settings.ReportFields, nil: none
}

// ClientGone reports that the client has disconnected; no answer is needed.
type ClientGone struct{ ID RequestID }

// Wake reports that a timer set with SetTimer has expired.
type Wake struct{ Token uint64 }

// Probed reports the result of a probe that the node made on its own; the
// Balancer requests none.
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

// Action is what a Balancer tells its node to do. Only the types of this package
// implement it.
type Action interface{ action() }

// Send starts an attempt.
type Send struct {
	ID      RequestID
	Server  ServerID
	Timeout time.Duration // of the attempt
}

// Cancel cancels an attempt.
type Cancel struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer that tells the client that a retry is harmless.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // how long the client should wait, 0: no advice
}

// Fail is a final answer after which the request may have run.
type Fail struct{ ID RequestID }

// SetTimer requests a Wake event with the token after the given time.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// Subscribe asks discovery for all changes from now on. Exactly one ServerList answers it.
type Subscribe struct{}

// Fetch asks discovery for the whole list once. Exactly one ServerList answers it.
type Fetch struct{}

// CloseIdle closes this node's idle connections to a server.
type CloseIdle struct{ Server ServerID }

// Log writes a line to the node's log.
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
