package core

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"oakseam/internal/logging"
	"oakseam/logic"
)

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
	attempt := Attempt{Call: r.Call, Instance: instance, Deadline: deadline, AnswerDeadline: r.AnswerDeadline, StartBefore: r.startBefore()}
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
