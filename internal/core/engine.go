package core

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"time"

	"oakseam/internal/logging"
	"oakseam/logic"
)

// Module makes the decisions. *logic.Balancer is the one that a node runs; the lab
// substitutes other policies. The actions it returns are valid until the next call.
type Module interface {
	Handle(now time.Duration, ev logic.Event) []logic.Action
}

// Counters counts the events of an Engine by name.
type Counters interface{ Add(name string) }

// Environment is what an Engine needs from the process that runs it. A node has the
// machine's clock and its own queue; the lab has a virtual clock.
type Environment struct {
	Now func() time.Time
	// Post has the result of an attempt handled by the engine. Any goroutine may call it.
	Post      func(func())
	Transport Transport
	Registry  Registry
	Counters  Counters
	Log       *slog.Logger
}

// Engine handles the events of one node around its module: requests, results of attempts,
// lists and timers come in, attempts and final answers go out. It starts no goroutine, reads
// no clock but its Environment's, and is not safe for concurrent use. EventLoop runs it for a
// node and the emulator on a virtual clock, so both do exactly the same.
type Engine struct {
	env      Environment
	module   Module
	settings logic.Settings
	pending  []func() // events that the engine raised itself

	origin    time.Time
	eventTime time.Time // of the event that the module handles: its attempts and timers count from there
	requests  map[logic.RequestID]*requestState
	instances map[logic.ServerID]Instance
	backends  map[logic.ServerID]Backend
	timers    timers
	serving   bool // a listed backend takes requests
}

// requestState is a request from its arrival until it is answered and its attempts have ended.
type requestState struct {
	Request
	class          *logic.Class // nil: unknown
	deadline       time.Time
	attempts       []attemptState
	inFlight       int              // attempts that have not ended
	done           bool             // answered, or its client has gone
	streaming      bool             // the answer is still arriving
	failure        any              // the latest Reply that is passed on if no attempt serves the request, nil: none
	deferredTimers []logic.SetTimer // start when the last byte of the request arrives
}

type attemptState struct {
	started  time.Time
	deadline time.Time
	timeout  time.Duration // as set by the module
	server   logic.ServerID
	cancel   func()
	neverRan bool // it has ended and did not run
	stream   stream
}

// NewEngine returns an Engine for the module, which must have been made with the
// same settings.
func NewEngine(m Module, s logic.Settings, env Environment) *Engine {
	return &Engine{
		env: env, module: m, settings: s, origin: env.Now(),
		requests: map[logic.RequestID]*requestState{}, instances: map[logic.ServerID]Instance{},
		backends: map[logic.ServerID]Backend{},
	}
}

// avoidanceReporter is a module that reports how many backends it avoids.
type avoidanceReporter interface{ CountAvoided(time.Duration) int }

// BackendCounts returns how many backends are listed, and how many of these the module
// avoids now, if it reports that.
func (e *Engine) BackendCounts() (listed, avoided int) {
	if m, ok := e.module.(avoidanceReporter); ok {
		avoided = m.CountAvoided(e.moduleTime(e.env.Now()))
	}
	return len(e.backends), avoided
}

// stateTransferrer is a module that exports what it has learned and imports it from another.
type stateTransferrer interface {
	ExportLearned() ([]byte, error)
	ImportLearned([]byte) error
	ImportAfterRestart([]byte) error
}

// The optional interfaces are found by type assertion, so a renamed method would go unnoticed.
var (
	_ avoidanceReporter = (*logic.Balancer)(nil)
	_ stateTransferrer  = (*logic.Balancer)(nil)
)

// ExportModuleState returns what the module has learned, empty if it exports nothing.
func (e *Engine) ExportModuleState() []byte {
	m, ok := e.module.(stateTransferrer)
	if !ok {
		return nil
	}
	text, err := m.ExportLearned()
	if err != nil {
		e.env.Log.Warn("module: cannot export the learned state", logging.Cause, err)
	}
	return text
}

// ImportModuleState has the module adopt what another module learned: all of it where this
// module continues at the same instant, otherwise only what stays valid across a restart.
func (e *Engine) ImportModuleState(text []byte, full bool) {
	if m, ok := e.module.(stateTransferrer); ok {
		load := m.ImportAfterRestart
		if full {
			load = m.ImportLearned
		}
		if err := load(text); err != nil {
			e.env.Log.Warn("module: learned state not imported", logging.Cause, err)
		}
	}
}

// Backends returns the list of backends, sorted by ID.
func (e *Engine) Backends() []Backend {
	return slices.SortedFunc(maps.Values(e.backends), func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
}

// HasServingBackend reports whether a backend is known that takes requests.
func (e *Engine) HasServingBackend() bool { return e.serving }

// RunPending handles the events that earlier ones have raised. It must be called after
// each event.
func (e *Engine) RunPending() {
	for len(e.pending) > 0 {
		event := e.pending[0]
		e.pending = e.pending[1:]
		event()
	}
}

// moduleTime returns the module's time: Unix time as it was at the start, monotonic from
// then on. A backend's start, given in Unix time, then needs no conversion and has the same
// value in every list; the module takes a changed value for a restart.
func (e *Engine) moduleTime(t time.Time) time.Duration {
	return time.Duration(e.origin.UnixNano()) + t.Sub(e.origin)
}

// dispatch passes an event to the module and executes the actions it returns. A panic
// of the module fails the request that the event is about, and no other.
func (e *Engine) dispatch(id logic.RequestID, ev logic.Event) {
	defer func() {
		if p := recover(); p != nil {
			e.env.Counters.Add("module.panic")
			e.env.Log.Error("module: panic", "event", fmt.Sprintf("%T", ev), logging.Request, id, logging.Cause, p, "stack", string(debug.Stack()))
			e.answer(id, Answer{Kind: Failed})
		}
	}()
	e.eventTime = e.env.Now()
	for _, a := range e.module.Handle(e.moduleTime(e.eventTime), ev) {
		_, arrival := ev.(logic.Request)
		t, timer := a.(logic.SetTimer)
		if r := e.requests[id]; arrival && timer && r != nil && r.BodyPending {
			r.deferredTimers = append(r.deferredTimers, t)
			continue
		}
		e.execute(a)
	}
}

func (e *Engine) execute(a logic.Action) {
	switch a := a.(type) {
	case logic.Send:
		e.send(a)
	case logic.Cancel:
		// The module's last timer for a request and the timeout of its attempt are due at the
		// same instant. An attempt past its deadline ends as timed out: if it were canceled, a
		// hanging backend would not be blamed, or only by chance.
		// A stream that answers its request ends when its reader closes it.
		if r := e.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			if t := &r.attempts[a.Attempt]; e.eventTime.Before(t.deadline) && !t.stream.isAnswer {
				t.cancel()
			}
		}
	case logic.Reject:
		e.answer(a.ID, Answer{Kind: Rejected, RetryAfter: a.RetryAfter})
	case logic.Fail:
		e.answer(a.ID, Answer{Kind: Failed})
	case logic.SetTimer:
		heap.Push(&e.timers, timer{due: e.eventTime.Add(a.After), token: a.Token})
	case logic.Subscribe:
		if e.env.Registry != nil {
			e.env.Registry.Subscribe()
		}
	case logic.Fetch:
		if e.env.Registry != nil {
			e.env.Registry.Fetch()
		}
	case logic.CloseIdle:
		if i, ok := e.instances[a.Server]; ok {
			e.env.Transport.CloseIdle(i)
		}
	case logic.Log:
		e.env.Log.Info("module: " + a.Text)
	}
}

// Request handles a new request. Its Session receives one answer unless ClientGone comes first.
func (e *Engine) Request(r Request) {
	id := logic.RequestID(r.ID)
	e.env.Counters.Add("req.taken")
	if e.requests[id] != nil {
		e.env.Counters.Add("answer.duplicate")
		r.Session.Answer(Answer{Kind: Duplicate})
		return
	}
	var class *logic.Class
	for i := range e.settings.Classes {
		if c := &e.settings.Classes[i]; c.Name == r.Class {
			class = c
			if r.Timeout <= 0 || r.Timeout > c.Deadline {
				r.Timeout = c.Deadline
			}
		}
	}
	state := &requestState{Request: r, class: class, deadline: r.Arrived.Add(r.Timeout)}
	e.requests[id] = state
	if r.BodyPending {
		state.Arrived = e.env.Now()
		state.deadline = state.Arrived.Add(maxBodyTime)
	}
	request := logic.Request{ID: id, Class: r.Class, Retry: r.Retry, Tenant: r.Tenant, WorkHint: r.WorkHint, ClientTimeout: r.Timeout, BodyPending: r.BodyPending,
		Preferred: r.PreferredServers, Worth: r.Worth, MaxAttempts: r.MaxAttempts, Avoid: r.AvoidedServer}
	if !r.BodyPending {
		// The time that the request spent in the queue counts against the client's timeout.
		request.ClientTimeout = state.deadline.Sub(e.env.Now())
	}
	e.dispatch(id, request)
}

// maxBodyTime is longer than any frontend lets a body take.
const maxBodyTime = time.Hour

// BodyComplete starts the timeouts of a request whose last byte has arrived, and of its attempt.
func (e *Engine) BodyComplete(id logic.RequestID, session Session) {
	r := e.requests[id]
	if r == nil || r.done || r.Session != session || !r.BodyPending {
		return
	}
	now := e.env.Now()
	r.BodyPending = false
	r.deadline = now.Add(r.Timeout)
	for i := range r.attempts {
		a := &r.attempts[i]
		a.started, a.deadline = now, now.Add(a.timeout)
	}
	e.dispatch(id, logic.Whole{ID: id, BodyTime: now.Sub(r.Arrived)})
	for _, t := range r.deferredTimers {
		e.execute(t)
	}
	r.deferredTimers = nil
}

// ClientGone drops the request that the session has in flight under the ID. Where two clients
// use the same ID, the second must not drop the first one's request.
func (e *Engine) ClientGone(id logic.RequestID, session Session) {
	r := e.requests[id]
	if r == nil || r.done || r.Session != session {
		return
	}
	e.abandon(id, r)
	e.release(id, r)
}

// abandon ends a request without an answer, since its client has gone.
func (e *Engine) abandon(id logic.RequestID, r *requestState) {
	e.env.Counters.Add("client.gone")
	r.done = true
	r.dropFailure()
	e.dispatch(id, logic.ClientGone{ID: id})
}

// answer gives a request its final answer, unless it has one.
func (e *Engine) answer(id logic.RequestID, a Answer) {
	r := e.requests[id]
	if r == nil || r.done {
		return
	}
	r.done = true
	a.MayHaveRun, a.Attempts = a.Kind == Rejected && r.mayHaveRun(), len(r.attempts)
	if f := r.failure; f != nil && a.Kind != Served {
		a, r.failure = Answer{Kind: Failed, Reply: f, Attempts: a.Attempts}, nil
		e.env.Counters.Add("answer.passed")
	}
	r.dropFailure()
	e.env.Counters.Add(answerCounts[a.Kind])
	if a.Kind != Served && e.env.Log.Enabled(context.Background(), slog.LevelDebug) {
		e.env.Log.LogAttrs(context.Background(), slog.LevelDebug, "request not served", slog.String(logging.Request, string(id)),
			slog.String("class", r.Class), slog.String(logging.Cause, answerCounts[a.Kind][len("answer."):]), slog.Int("attempts", len(r.attempts)))
	}
	r.Session.Answer(a)
	r.Call = nil
	e.release(id, r)
}

// release forgets a request that is done and has no attempt in flight.
func (e *Engine) release(id logic.RequestID, r *requestState) {
	if r.done && r.inFlight == 0 {
		delete(e.requests, id)
	}
}

// send starts an attempt. Every Send gets one Outcome, even where nothing can be sent.
func (e *Engine) send(a logic.Send) {
	r := e.requests[a.ID]
	if r == nil {
		e.env.Log.Error("module: send for an unknown request", logging.Request, a.ID)
		return
	}
	now := e.eventTime
	deadline := now.Add(a.Timeout)
	if a.Timeout <= 0 || deadline.After(r.deadline) {
		deadline = r.deadline
	}
	n := len(r.attempts)
	r.attempts = append(r.attempts, attemptState{started: now, deadline: deadline, timeout: a.Timeout, server: a.Server, cancel: func() {}})
	r.inFlight++
	instance, known := e.instances[a.Server]
	if limit := e.maxAttempts(r); r.done || !known || !deadline.After(now) || limit > 0 && n >= limit {
		e.pending = append(e.pending, func() { e.attemptEvent(a.ID, n, AttemptResult{Result: logic.NotSent, At: now}) })
		return
	}
	e.env.Counters.Add("attempt.sent")
	attempt := Attempt{Call: r.Call, Instance: instance, Deadline: deadline, StartBefore: r.startBefore()}
	if r.BodyPending {
		attempt.Deadline, attempt.Timeout = time.Time{}, min(a.Timeout, r.Timeout)
	}
	r.attempts[n].cancel = e.env.Transport.Start(attempt, func(result AttemptResult) {
		e.env.Post(func() { e.attemptEvent(a.ID, n, result) })
	})
}

// mayHaveRun reports whether an attempt was sent that is not known to have never run.
func (r *requestState) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attemptState) bool { return !a.neverRan })
}

// maxAttempts returns how many attempts a request may have. 0: any number.
func (e *Engine) maxAttempts(r *requestState) int {
	if r.MaxAttempts > 0 {
		return r.MaxAttempts
	}
	if r.class != nil && r.class.MaxAttempts > 0 {
		return r.class.MaxAttempts
	}
	return e.settings.MaxAttempts
}

// startBefore returns when a further attempt of a keyed request must have started, zero where
// it may start at any time. Backends deduplicate repeats within a window only, and a connection
// that is established late may use up all of it.
func (r *requestState) startBefore() (limit time.Time) {
	if r.class == nil || r.class.Effect != logic.Keyed {
		return limit
	}
	for _, a := range r.attempts[:len(r.attempts)-1] {
		if windowEnd := a.started.Add(r.class.Window); !a.neverRan && (limit.IsZero() || windowEnd.Before(limit)) {
			limit = windowEnd
		}
	}
	return limit
}

// The full names of the counters are constants: building them for each event would be a
// large part of the event's cost.
var (
	answerCounts = [...]string{Served: "answer.served", Rejected: "answer.refused", Failed: "answer.failed",
		Duplicate: "answer.duplicate"}
	outcomeCounts = [...]string{logic.OK: "outcome.ok", logic.Failed: "outcome.error", logic.QueueFull: "outcome.queue-full",
		logic.TimedOut: "outcome.timed-out", logic.ConnectFailed: "outcome.connect-failed", logic.Reset: "outcome.reset",
		logic.Canceled: "outcome.canceled", logic.NotSent: "outcome.moot"}
	listCounts = [...]string{logic.ListFull: "list.full", logic.ListChanges: "list.changes",
		logic.ListCached: "list.cached", logic.ListFailed: "list.failed"}
)

// attemptEvent handles the end of an attempt, or the start of its stream. The first OK
// answers the request.
func (e *Engine) attemptEvent(id logic.RequestID, n int, result AttemptResult) {
	if result.Streaming {
		e.streamStarted(id, n, result)
		return
	}
	e.env.Counters.Add(outcomeCounts[result.Result])
	r := e.requests[id]
	if r == nil {
		e.env.Log.Error("attempt of an unknown request ended", logging.Request, id, logging.Attempt, n)
		return
	}
	if result.ClientGone && !r.done {
		e.abandon(id, r)
	}
	t := &r.attempts[n]
	t.neverRan = result.Result.NeverRan()
	r.inFlight--
	if r.BodyPending {
		t.started = result.At // no backend has started on it
	}
	// Checked first, so that no attributes are built for a line that is not logged.
	if e.env.Log.Enabled(context.Background(), slog.LevelDebug) {
		e.env.Log.LogAttrs(context.Background(), slog.LevelDebug, "attempt ended", slog.String(logging.Request, string(id)),
			slog.String(logging.Backend, string(t.server)), slog.Int(logging.Attempt, n),
			slog.String(logging.Cause, outcomeCounts[result.Result][len("outcome."):]), slog.Duration("took", result.At.Sub(t.started)))
	}
	switch {
	case result.Result == logic.OK && !r.done:
		e.answer(id, Answer{Kind: Served, Reply: result.Reply})
	case result.PassThrough && !r.done:
		r.dropFailure()
		r.failure = result.Reply
	default:
		discard(result.Reply)
	}
	latency := max(result.At.Sub(t.started), 0)
	if t.stream.started {
		latency = t.stream.latency
	}
	if t.stream.isAnswer {
		r.streaming = false
	}
	// While the answer streams, the end of another attempt does not finish the request.
	e.dispatch(id, logic.Outcome{
		ID: id, Attempt: n, Result: result.Result, Final: r.done && !r.streaming, Server: t.server,
		Latency: latency, Report: result.LoadReport,
	})
	e.release(id, r)
}

// UpdateBackends handles a list of backends. The connections to a process that is gone,
// was restarted or has moved are closed. Attempts that have not started are withdrawn where
// their backend leaves, and decided again.
func (e *Engine) UpdateBackends(kind logic.ListKind, backends []Backend) {
	e.env.Counters.Add(listCounts[kind])
	servers := make([]logic.Server, 0, len(backends))
	previous := e.instances
	if kind == logic.ListFull || kind == logic.ListCached {
		e.instances = make(map[logic.ServerID]Instance, len(backends))
		e.backends = make(map[logic.ServerID]Backend, len(backends))
	}
	for _, b := range backends {
		instance := Instance{ID: b.ID, Endpoint: b.Endpoint, Started: b.StartedAt}
		if old, ok := previous[b.ID]; ok && (old != instance || b.State != logic.Serving) {
			e.env.Transport.Withdraw(old)
			if old != instance || b.State == logic.Gone {
				e.env.Transport.CloseIdle(old)
			}
		}
		if b.State == logic.Gone {
			delete(e.instances, b.ID)
			delete(e.backends, b.ID)
		} else {
			e.instances[b.ID], e.backends[b.ID] = instance, b
		}
		servers = append(servers, b.Server)
	}
	if kind == logic.ListFull || kind == logic.ListCached {
		e.closeRemoved(previous)
	}
	e.serving = false
	for _, b := range e.backends {
		e.serving = e.serving || b.State == logic.Serving
	}
	e.dispatch("", logic.ServerList{Kind: kind, Servers: servers})
}

// closeRemoved closes the connections to the instances that a full list no longer has, sorted
// by ID: the same list must have the same effects in the same order.
func (e *Engine) closeRemoved(previous map[logic.ServerID]Instance) {
	var removed []Instance
	for id, i := range previous {
		if _, ok := e.instances[id]; !ok {
			removed = append(removed, i)
		}
	}
	slices.SortFunc(removed, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, i := range removed {
		e.env.Transport.Withdraw(i)
		e.env.Transport.CloseIdle(i)
	}
}
