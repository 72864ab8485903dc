package core

import (
	"io"
	"slices"
	"time"

	"oakseam/internal/logging"
	"oakseam/logic"
)

// stream is the state of an attempt's streamed response.
type stream struct {
	started  bool
	isAnswer bool // it is the request's answer
	// latency is the time until the response started. The module learns from it at the start;
	// the attempt's Outcome repeats the same value, since the length of a stream says nothing
	// about a backend.
	latency time.Duration
}

// streamStarted handles the start of a streamed response. The first one answers the request;
// its attempt stays in flight until the response is closed.
func (e *Engine) streamStarted(id logic.RequestID, n int, result AttemptResult) {
	e.env.Counters.Add("stream.begun")
	r := e.requests[id]
	if r == nil {
		discard(result.Reply)
		e.env.Log.Error("stream of an unknown request started", logging.Request, id, logging.Attempt, n)
		return
	}
	t := &r.attempts[n]
	if r.BodyPending {
		t.started = result.At // no backend has started on it
	}
	t.stream = stream{started: true, isAnswer: !r.done, latency: max(result.At.Sub(t.started), 0)}
	if r.done {
		discard(result.Reply)
		return
	}
	r.streaming = true
	server, latency := t.server, t.stream.latency
	e.answer(id, Answer{Kind: Served, Reply: result.Reply, Server: server})
	e.dispatch(id, logic.Started{ID: id, Attempt: n, Server: server, Latency: latency})
	if result.LoadReport != nil { // passed on now: at the end of the stream it would be stale
		e.dispatch(id, logic.Probed{Server: server, Result: logic.OK, Latency: latency, Report: result.LoadReport})
	}
}

// dropFailure closes the failure that would have been passed on.
func (r *requestState) dropFailure() {
	discard(r.failure)
	r.failure = nil
}

// discard closes a reply that nobody receives.
func discard(reply any) {
	if c, ok := reply.(io.Closer); ok {
		c.Close()
	}
}

// reconfigurable is a module whose request classes can be replaced.
type reconfigurable interface {
	SetClasses([]logic.Class) error
}

var _ reconfigurable = (*logic.Balancer)(nil)

// Reconfigure replaces the request classes, for requests that arrive later, and those of the
// module if it supports that.
func (e *Engine) Reconfigure(classes []logic.Class) {
	if m, ok := e.module.(reconfigurable); ok {
		if err := m.SetClasses(slices.Clone(classes)); err != nil {
			e.env.Log.Error("module: request classes not replaced", logging.Cause, err)
			return
		}
	}
	e.settings.Classes = slices.Clone(classes)
}
