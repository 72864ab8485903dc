// Package core runs the decision module of one node. One goroutine owns the
// module, the table of requests and the timers. Frontends, transports and the
// registry reach it through queues only, and it never waits for any of them. The
// event handling itself is in Engine, which the lab also drives on a virtual clock.
//
// The package knows no protocol. A further frontend passes its requests to Submit
// and receives their answers, and so uses the same decisions and rules.
package core

import (
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"oakseam/internal/counters"
	"oakseam/logic"
)

// Request is a request that a frontend has received.
type Request struct {
	ID    string
	Class string
	// Retry is set if the client marked the request as a repeat of an earlier one.
	Retry bool
	// Tenant is the name, in the settings, of the tenant that sent the request. Empty: not given.
	Tenant string
	// WorkHint is the client's estimate of the work. 0: not given.
	WorkHint time.Duration
	// PreferredServers hold part of the request's prompt, best first.
	PreferredServers []logic.ServerID
	// Worth is the value of serving the request. 0: that of its class.
	Worth float64
	// AvoidedServer gets the request only if there is no other backend.
	AvoidedServer logic.ServerID
	// MaxAttempts is how many attempts the request may have. 0: as many as its class.
	MaxAttempts int
	Arrived     time.Time
	// Timeout is how long the client waits, from Arrived. 0: the deadline of the class.
	Timeout time.Duration
	// AnswerDeadline is when a long answer, which is passed on as it arrives, must have come whole.
	// Zero: no limit once it has begun.
	AnswerDeadline time.Time
	// Call is passed to the transport unread.
	Call any
	// BodyPending is set while the last byte has not arrived; BodyComplete reports
	// its arrival. Such a request can have one attempt only.
	BodyPending bool
	Session     Session
}

// Session is the side of a frontend that waits for an answer.
type Session interface {
	// Answer receives the one final answer of a request. It must not block.
	Answer(Answer)
}

// AnswerKind says how a request was answered.
type AnswerKind uint8

// The kinds of Answer.
const (
	// Served means that Reply is a backend's response.
	Served AnswerKind = iota
	// Rejected means that the client can safely retry.
	Rejected
	// Failed makes no promise about whether the request ran. A Reply is a backend's
	// own failure, to be passed on.
	Failed
	// Duplicate means that another request with the same ID is still in flight.
	Duplicate
)

// Answer is the final answer of a request.
type Answer struct {
	Kind       AnswerKind
	RetryAfter time.Duration
	// MayHaveRun is set on a rejection after an attempt that may have run: retrying
	// is then safe only because the request is repeatable.
	MayHaveRun bool
	// Attempts is how many attempts were sent.
	Attempts int
	// Server is the backend whose streamed response this is, otherwise empty.
	Server logic.ServerID
	// Reply is set where Kind is Served. Where Kind is Failed it may be set: it is then the
	// latest failure that a backend responded with, and goes to the client unchanged, even
	// in place of a rejection. Only transports that set PassThrough produce such replies.
	// The receiver of a Reply that is an io.Closer closes it.
	Reply any
}

// Instance is the running process of a backend and its address.
type Instance struct {
	ID       logic.ServerID
	Endpoint string
	// Started is the start of the process in Unix time. A restarted backend holds none
	// of its old connections.
	Started time.Duration
}

// Attempt is one send of a request to a backend.
type Attempt struct {
	Call     any
	Instance Instance
	// Deadline is for the whole response, streamed ones too, unless it is a long one that is
	// passed on as it arrives. It is zero for a request whose last byte has not arrived.
	Deadline time.Time
	// AnswerDeadline applies in place of Deadline once a long response is passed on. Zero: no limit.
	AnswerDeadline time.Time
	// Timeout applies from that last byte where Deadline is zero.
	Timeout time.Duration
	// StartBefore is when the attempt's first byte must have been written. Zero: no limit.
	StartBefore time.Time
}

// AttemptResult is how an attempt ended, or reports that its streamed response has started.
type AttemptResult struct {
	Result logic.Result
	// Reply is set for an OK and with PassThrough. An io.Closer is closed if nobody
	// receives it.
	Reply any
	// LoadReport holds the backend's reported load. nil: none was sent.
	LoadReport []float64
	At         time.Time
	// ClientGone is set if the attempt was not started because the client has left.
	ClientGone bool
	// Streaming is set on an OK whose Reply is still arriving. The end of the attempt is
	// reported after the Reply is closed.
	Streaming bool
	// PassThrough is set where Reply is a backend's own failure, which becomes the answer
	// if no other attempt serves the request.
	PassThrough bool
}

// Transport carries attempts to backends. Its methods must not block.
type Transport interface {
	// Start begins an attempt, calls done once, and returns a function that cancels it. For a
	// streamed response done is called twice: with Streaming when the response starts, and
	// without when its Reply was closed. The final Result is then OK if the Reply was read to
	// its end, Reset if the backend broke it off, TimedOut if the deadline passed, and Canceled
	// if it was closed or canceled before its end.
	Start(a Attempt, done func(AttemptResult)) (cancel func())
	// Withdraw ends the attempts to an instance that have not started, as NotSent. None starts
	// after it.
	Withdraw(Instance)
	// CloseIdle closes the idle connections to an instance.
	CloseIdle(Instance)
}

// Registry delivers the list of backends. Its methods must not block; each call
// is answered by exactly one UpdateBackends. It may be nil if the settings don't
// set MustSubscribe.
type Registry interface {
	Subscribe()
	Fetch()
}

// Backend is a backend of a list.
type Backend struct {
	logic.Server
	Endpoint string
}

const (
	// maxQueuedEvents bounds the events that wait for the loop. Senders that find the queue
	// full wait; the loop itself waits for nobody, so the queue always empties.
	maxQueuedEvents = 1024
	// maxUrgentEvents bounds the list updates that wait for the loop.
	maxUrgentEvents = 64
)

// EventLoop runs an Engine in a goroutine of its own.
type EventLoop struct {
	engine *Engine
	queue  chan func()
	urgent chan func() // list updates, handled ahead of what waits in queue
	quit   chan struct{}
	ready  atomic.Bool

	backendCounts func(BackendCounts) // observer of the list's size; nil: none
	reportedAt    time.Time
}

// backendCountsInterval is the maximum age of the counts that an observer has.
const backendCountsInterval = 200 * time.Millisecond

// ObserveBackendCounts sets a function that the loop tells the numbers of backends. It must be
// called before Run; observe must not block.
func (l *EventLoop) ObserveBackendCounts(observe func(BackendCounts)) {
	l.backendCounts = observe
}

func (l *EventLoop) reportBackendCounts() {
	if now := time.Now(); l.backendCounts != nil && now.Sub(l.reportedAt) >= backendCountsInterval/2 {
		l.reportedAt = now
		l.backendCounts(l.engine.BackendCounts())
	}
}

// NewEventLoop returns an EventLoop that Run has yet to start.
func NewEventLoop(s logic.Settings, seed uint64, count *counters.Set, log *slog.Logger) (*EventLoop, error) {
	m, err := logic.New(s, seed)
	if err != nil {
		return nil, err
	}
	l := &EventLoop{queue: make(chan func(), maxQueuedEvents), urgent: make(chan func(), maxUrgentEvents), quit: make(chan struct{})}
	l.engine = NewEngine(m, s, Environment{Now: time.Now, Post: func(event func()) { l.queue <- event }, Counters: count, Log: log})
	return l, nil
}

// ErrQueueFull reports that a request could not be queued in time; nothing of it has run.
var ErrQueueFull = errors.New("the request queue is full")

// submitTimeout is how long a request may wait for a free place in the queue.
const submitTimeout = 100 * time.Millisecond

// Submit queues a request. Its Session receives one answer unless ClientGone comes first.
func (l *EventLoop) Submit(r Request) error {
	event := func() { l.engine.Request(r) }
	select {
	case l.queue <- event:
		return nil
	default:
	}
	t := time.NewTimer(submitTimeout)
	defer t.Stop()
	select {
	case l.queue <- event:
		return nil
	case <-t.C:
		return ErrQueueFull
	}
}

// ClientGone reports that the client of a request has left. It gets no answer after that.
func (l *EventLoop) ClientGone(id string, session Session) {
	l.queue <- func() { l.engine.ClientGone(logic.RequestID(id), session) }
}

// BodyComplete reports that the last byte of a request has arrived.
func (l *EventLoop) BodyComplete(id string, session Session) {
	l.queue <- func() { l.engine.BodyComplete(logic.RequestID(id), session) }
}

// UpdateBackends delivers a list of the registry. It is handled ahead of everything that
// waits: a drain must not queue behind requests that would be sent to the draining backend.
func (l *EventLoop) UpdateBackends(kind logic.ListKind, backends []Backend) {
	l.urgent <- func() {
		l.engine.UpdateBackends(kind, backends)
		l.ready.Store(l.engine.HasServingBackend())
	}
}

// Snapshot is the state that a node hands over to its successor.
type Snapshot struct {
	Backends []Backend
	// ModuleState is what the module has learned, empty if the module exports none.
	ModuleState []byte
}

// Snapshot returns the current list of backends and what the module has learned,
// or false if the loop does not handle the call within the timeout.
func (l *EventLoop) Snapshot(timeout time.Duration) (Snapshot, bool) {
	result := make(chan Snapshot, 1)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case l.urgent <- func() { result <- Snapshot{l.engine.Backends(), l.engine.ExportModuleState()} }:
	case <-t.C:
		return Snapshot{}, false
	}
	select {
	case s := <-result:
		return s, true
	case <-t.C:
		return Snapshot{}, false
	}
}

// ImportModuleState has the module adopt what another module learned: all of it, or only
// what stays valid across a restart. It must be called after the first list.
func (l *EventLoop) ImportModuleState(text []byte, full bool) {
	l.urgent <- func() { l.engine.ImportModuleState(text, full) }
}

// Reconfigure replaces the request classes, for requests that arrive later.
func (l *EventLoop) Reconfigure(classes []logic.Class) {
	l.urgent <- func() { l.engine.Reconfigure(classes) }
}

// Ready reports whether the node knows a backend that takes requests.
func (l *EventLoop) Ready() bool { return l.ready.Load() }

// Stop ends Run.
func (l *EventLoop) Stop() { close(l.quit) }

// Run handles events and timers until Stop.
func (l *EventLoop) Run(t Transport, r Registry) {
	l.engine.env.Transport, l.engine.env.Registry = t, r
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		// Queued events go before due timers: an answer that has arrived is not thrown
		// away because the loop was late. Events that are queued meanwhile wait for the
		// next round, so a full queue cannot delay a timer for long.
		for n := len(l.queue); n > 0; n-- {
			l.handleUrgent()
			(<-l.queue)()
			l.engine.RunPending()
		}
		l.handleUrgent()
		l.engine.RunPending()
		l.engine.FireTimers(l.handleUrgent)
		l.engine.RunPending()
		l.reportBackendCounts()
		alarm.Reset(l.untilNextTimer())
		select {
		case event := <-l.urgent:
			event()
		case event := <-l.queue:
			l.handleUrgent()
			event()
		case <-alarm.C:
		case <-l.quit:
			return
		}
		l.engine.RunPending()
	}
}

// handleUrgent handles every list update that waits.
func (l *EventLoop) handleUrgent() {
	for {
		select {
		case event := <-l.urgent:
			event()
		default:
			return
		}
	}
}

func (l *EventLoop) untilNextTimer() time.Duration {
	at, pending := l.engine.NextTimer()
	wait := time.Hour
	if pending {
		wait = max(time.Until(at), 0)
	}
	if l.backendCounts != nil {
		wait = min(wait, backendCountsInterval)
	}
	return wait
}

// String formats an instance for logs.
func (i Instance) String() string { return fmt.Sprintf("%s at %s", i.ID, i.Endpoint) }
