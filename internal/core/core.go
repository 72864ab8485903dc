// Package core runs the decision module of one node. One goroutine owns the
// module, the table of requests and the timers; fronts, backends and the registry
// reach it through queues only, and it never waits for any of them. The steps
// themselves are an Owner's, which the lab drives in virtual time.
//
// The package knows no protocol. A further front hands its requests to Submit and
// takes their answers, and so goes through the same decisions and rules.
package core

import (
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"pipitmux/internal/counters"
	"pipitmux/logic"
)

// Request is a request that a front has taken whole.
type Request struct {
	ID, Class        string
	Retry            bool
	Tenant           string           // who the request belongs to, as the settings name them; empty: not told
	WorkHint         time.Duration    // a guess at its work; 0: not told
	PreferredServers []logic.ServerID // that hold part of its prompt, best first
	Worth            float64          // 0: its class's
	AvoidedServer    logic.ServerID   // gets it only where there is no other backend
	// MaxAttempts is how many attempts the request may have, 0: as many as its class.
	MaxAttempts int
	Arrived     time.Time
	Timeout     time.Duration // how long the client waits, from Arrived; 0: as long as its class lets it
	Call        any           // handed to the backends unread
	BodyPending bool          // its last byte has not come: Whole tells of that. One attempt can be made.
	Session     Session
}

// Session is the side of a front that waits for an answer.
type Session interface {
	// Answer gets the one final answer of a request. It must not block.
	Answer(Answer)
}

// AnswerKind says what an Answer is.
type AnswerKind uint8

// The kinds of Answer.
const (
	Served    AnswerKind = iota // Reply is a backend's answer
	Rejected                    // a refusal: trying again is harmless
	Failed                      // an answer that promises nothing; a Reply is a backend's own failure, to be passed on
	Duplicate                   // the id belongs to a request that is still held
)

// Answer is the final answer of a request.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration
	MayHaveRun bool           // of a refusal: an attempt may have run, it is harmless only since the request may be repeated
	Attempts   int            // that were sent
	Server     logic.ServerID // whose streamed answer it is, else empty
	// Reply is set where Kind is Served. Where Kind is Failed it may be: it then is the newest
	// failure that a backend answered with and that goes to the client unchanged, in the place
	// of a refusal too. Only a carrier that ends attempts with Pass brings such ones. Who gets
	// a Reply that is an io.Closer closes it.
	Reply any
}

// Instance is where a backend's present process is reached.
type Instance struct {
	ID       logic.ServerID
	Endpoint string
	Started  time.Duration // a backend that starts anew holds none of its old connections
}

// Attempt is one send of a request to a backend.
type Attempt struct {
	Call        any
	Instance    Instance
	Deadline    time.Time     // for the whole answer, streamed ones too; zero for a request whose last byte has not come
	Timeout     time.Duration // and then it has so long from that byte
	StartBefore time.Time     // its first byte has to be written before then; zero: whenever
}

// AttemptResult is how an attempt ended, or that its streamed answer has begun.
type AttemptResult struct {
	Result      logic.Result
	Reply       any       // of an OK, or with Pass; an io.Closer is closed where nobody gets it
	LoadReport  []float64 // nil: none came
	At          time.Time
	ClientGone  bool // it was not begun, since the client has left
	Streaming   bool // an OK whose Reply is still coming: the attempt's end is told once the Reply is closed
	PassThrough bool // the Reply is a backend's own failure: it is the request's answer where no other attempt serves it
}

// Transport carries attempts. Its methods must not block.
type Transport interface {
	// Start begins an attempt, calls done once, and returns what calls it off. Of a streamed
	// answer done is called twice: with Begun when it comes, and without when its Reply was
	// closed. Then the Result is OK if the Reply was read whole, Reset if the backend broke it,
	// TimedOut if Until passed, and Canceled if it was closed or called off before its end.
	Start(a Attempt, done func(AttemptResult)) (cancel func())
	// Withdraw ends the attempts to a place that have not begun, as Moot. None begins after it.
	Withdraw(Instance)
	CloseIdle(Instance)
}

// Registry brings the list of backends. Its methods must not block; each call
// is answered by exactly one List. A core whose settings don't say MustSubscribe may have
// none: nil.
type Registry interface {
	Subscribe()
	Fetch()
}

// Backend is a backend of a list.
type Backend struct {
	logic.Server
	Endpoint string
}

// queueLength bounds what waits for the owner. Whoever finds it full waits;
// the owner itself waits for nobody, so the queue always empties.
const queueLength = 1024

// EventLoop runs an Owner in a goroutine of its own.
type EventLoop struct {
	owner  *Engine
	queue  chan func()
	urgent chan func() // news of the list: it goes ahead of what waits in queue
	quit   chan struct{}
	ready  atomic.Bool

	known  func(listed, avoided int) // told what is known of the list, where not nil
	toldAt time.Time
}

// knownEvery is how old what Watch tells may get.
const knownEvery = 200 * time.Millisecond

// ObserveBackendCounts has the owner tell how many backends are listed, and how many of these the
// module avoids. It belongs before Run; tell must not block.
func (c *EventLoop) ObserveBackendCounts(tell func(listed, avoided int)) { c.known = tell }

func (c *EventLoop) publish() {
	if now := time.Now(); c.known != nil && now.Sub(c.toldAt) >= knownEvery/2 {
		c.toldAt = now
		c.known(c.owner.BackendCounts())
	}
}

// NewEventLoop returns a Core that Run has yet to start.
func NewEventLoop(s logic.Settings, seed uint64, count *counters.Set, log *slog.Logger) (*EventLoop, error) {
	m, err := logic.New(s, seed)
	if err != nil {
		return nil, err
	}
	c := &EventLoop{queue: make(chan func(), queueLength), urgent: make(chan func(), 64), quit: make(chan struct{})}
	c.owner = NewEngine(m, s, Environment{Now: time.Now, Post: func(ev func()) { c.queue <- ev }, Counters: count, Log: log})
	return c, nil
}

// ErrQueueFull tells that a request could not be queued in time; nothing of it has run.
var ErrQueueFull = errors.New("the queue of reqs is full")

// submitWithin is how long a request may wait for room in the queue.
const submitWithin = 100 * time.Millisecond

// Submit hands in a request. Its Session gets one answer unless Gone comes first.
func (c *EventLoop) Submit(r Request) error {
	ev := func() { c.owner.Request(r) }
	select {
	case c.queue <- ev:
		return nil
	default:
	}
	t := time.NewTimer(submitWithin)
	defer t.Stop()
	select {
	case c.queue <- ev:
		return nil
	case <-t.C:
		return ErrQueueFull
	}
}

// Gone tells that the client of a request has left. Nothing is owed any more.
func (c *EventLoop) ClientGone(id string, of Session) {
	c.queue <- func() { c.owner.ClientGone(logic.RequestID(id), of) }
}

// Whole tells that the last byte of a request has come.
func (c *EventLoop) BodyComplete(id string, of Session) {
	c.queue <- func() { c.owner.BodyComplete(logic.RequestID(id), of) }
}

// UpdateBackends brings a list of the registry. It is told ahead of everything that
// waits: a drain must not stand behind requests that would be sent to the drained.
func (c *EventLoop) UpdateBackends(kind logic.ListKind, entries []Backend) {
	c.urgent <- func() {
		c.owner.UpdateBackends(kind, entries)
		c.ready.Store(c.owner.HasServingBackend())
	}
}

// Snapshot is what a node's successor takes on.
type Snapshot struct {
	Backends    []Backend
	ModuleState []byte // by the module, empty where it does not tell
}

// Snapshot returns the list of backends as it was last told, and what the module learned,
// or false where the owner does not get to it in time.
func (c *EventLoop) Snapshot(within time.Duration) (Snapshot, bool) {
	got := make(chan Snapshot, 1)
	t := time.NewTimer(within)
	defer t.Stop()
	select {
	case c.urgent <- func() { got <- Snapshot{c.owner.Backends(), c.owner.ExportModuleState()} }:
	case <-t.C:
		return Snapshot{}, false
	}
	select {
	case k := <-got:
		return k, true
	case <-t.C:
		return Snapshot{}, false
	}
}

// ImportModuleState has the module take on what another learned, whole or what holds through a stop. It
// belongs after the first list.
func (c *EventLoop) ImportModuleState(text []byte, whole bool) {
	c.urgent <- func() { c.owner.ImportModuleState(text, whole) }
}

// Reconfigure has the core take on other classes, for requests that come later.
func (c *EventLoop) Reconfigure(classes []logic.Class) {
	c.urgent <- func() { c.owner.Reconfigure(classes) }
}

// Ready tells whether the node knows a backend that takes requests.
func (c *EventLoop) Ready() bool { return c.ready.Load() }

// Stop ends Run.
func (c *EventLoop) Stop() { close(c.quit) }

// Run owns the module until Stop.
func (c *EventLoop) Run(b Transport, d Registry) {
	c.owner.world.Transport, c.owner.world.Registry = b, d
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		// What waits goes before the timers that are due: an answer that has come is not
		// thrown away because the owner was late. What comes meanwhile waits its turn, so
		// a full queue holds no timer up for long.
		for n := len(c.queue); n > 0; n-- {
			c.news()
			(<-c.queue)()
			c.owner.RunPending()
		}
		c.news()
		c.owner.RunPending()
		c.owner.FireTimers(c.news)
		c.owner.RunPending()
		c.publish()
		alarm.Reset(c.untilNext())
		select {
		case ev := <-c.urgent:
			ev()
		case ev := <-c.queue:
			c.news()
			ev()
		case <-alarm.C:
		case <-c.quit:
			return
		}
		c.owner.RunPending()
	}
}

// news takes every list that waits.
func (c *EventLoop) news() {
	for {
		select {
		case ev := <-c.urgent:
			ev()
		default:
			return
		}
	}
}

func (c *EventLoop) untilNext() time.Duration {
	at, any := c.owner.NextTimer()
	wait := time.Hour
	if any {
		wait = max(time.Until(at), 0)
	}
	if c.known != nil {
		wait = min(wait, knownEvery)
	}
	return wait
}

// String names a place in logs.
func (p Instance) String() string { return fmt.Sprintf("%s at %s", p.ID, p.Endpoint) }
