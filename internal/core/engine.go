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
