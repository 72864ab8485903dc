package core

import (
	"io"
	"slices"
	"time"

	"pipitmux/internal/logging"
	"pipitmux/logic"
)

// stream is what an attempt's streamed answer has come to.
type stream struct {
	begun   bool
	answers bool // it is the request's answer
	// latency is of its begin. The module learns from it then and once more from the attempt's
	// Outcome, which so tells it again: how long an answer streams says nothing of a backend.
	latency time.Duration
}

// begun takes the begin of a streamed answer. The first one answers the request; its attempt
// stays open until the answer is closed.
func (o *Engine) begun(id logic.RequestID, n int, e AttemptResult) {
	o.world.Counters.Add("stream.begun")
	r := o.requests[id]
	if r == nil {
		discard(e.Reply)
		o.world.Log.Error("a stream began of a req that is not held", logging.Request, id, logging.Attempt, n)
		return
	}
	t := &r.attempts[n]
	if r.BodyPending {
		t.at = e.At // no backend has begun on it
	}
	t.stream = stream{begun: true, answers: !r.over, latency: max(e.At.Sub(t.at), 0)}
	if r.over {
		discard(e.Reply)
		return
	}
	r.streams = true
	server, latency := t.server, t.stream.latency
	o.answer(id, Answer{Kind: Served, Reply: e.Reply, Server: server})
	o.tell(id, logic.Started{ID: id, Attempt: n, Server: server, Latency: latency})
	if e.LoadReport != nil { // told now: at the stream's end it would be old
		o.tell(id, logic.Probed{Server: server, Result: logic.OK, Latency: latency, Report: e.LoadReport})
	}
}

// dropFailure closes the failure that would have been passed on.
func (r *held) dropFailure() {
	discard(r.failure)
	r.failure = nil
}

// discard closes a reply that nobody gets.
func discard(reply any) {
	if c, ok := reply.(io.Closer); ok {
		c.Close()
	}
}

// reconfigurable is a module that takes on other classes.
type reconfigurable interface {
	SetClasses([]logic.Class) error
}

var _ reconfigurable = (*logic.Balancer)(nil)

// Reconfigure takes on other classes for requests that come later, and has the module do so
// where it can.
func (o *Engine) Reconfigure(classes []logic.Class) {
	if m, ok := o.module.(reconfigurable); ok {
		if err := m.SetClasses(slices.Clone(classes)); err != nil {
			o.world.Log.Error("module: the classes stay as they were", logging.Cause, err)
			return
		}
	}
	o.settings.Classes = slices.Clone(classes)
}
