package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/core"
	"oakseam/internal/dataplane/events"
	"oakseam/internal/message"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
	"oakseam/internal/wait"
)

const (
	// admitTimeout is how long a turn waits for its partition. It is longer than the election of a
	// new leader takes.
	admitTimeout = 2 * time.Second
	// isolatedAdmitTimeout replaces it while the zone is cut off: a leader in the zone answers sooner, and
	// for any other leader the client should come back through another zone.
	isolatedAdmitTimeout = 200 * time.Millisecond
	// persistTimeout is how long the end of a stream waits until its turn is stored.
	persistTimeout = 3 * time.Second
	// settleTimeout bounds reporting an attempt without a complete answer to its partition.
	settleTimeout = 20 * time.Second
	// reportPollInterval is how often AwaitReports looks.
	reportPollInterval = 5 * time.Millisecond
	// turnRetryAfter is the Retry-After while a turn's partition has no leader.
	turnRetryAfter = 400 * time.Millisecond
	// minBudgetRetention is how long the budget of a program is kept after its last turn at least, where
	// its route does not store turns. maxBudgetRetention bounds what a client may ask for.
	minBudgetRetention = time.Minute
	maxBudgetRetention = time.Hour
	// finishTimes is how many times the time that a program has left it may take.
	finishTimes = 2
	// outputWeight is how many prompt tokens one output token counts for.
	outputWeight = 10
	// typicalTurnSize is the size of a typical turn in prompt tokens.
	typicalTurnSize = 4000.0
)

// isTurn reports whether the request is a turn of a program, which is stored and counted against
// the program's budget.
func (x *exchange) isTurn() bool {
	return x.route.Class == routing.Streaming && (x.route.Retained || x.request.Header.Get(budgetHeader) != "") &&
		x.request.Header.Get(programHeader) != ""
}

// turn is an exchange that is a turn of a program.
type turn struct {
	*exchange
	program         string
	previous        string
	maxTokens       uint64
	importedHistory []byte // text of the earlier turns, if another partition stores it
	token           uint64 // random; tells this node apart from another one with the same attempt
	output          events.Collector
}

func (x *exchange) serveTurn() {
	t := &turn{exchange: x, program: x.request.Header.Get(programHeader), token: rand.Uint64()}
	if x.route.Retained {
		t.previous = x.request.Header.Get(previousHeader)
	}
	_, t.maxTokens = x.tokens()
	history, ok := t.admit()
	if !ok {
		return
	}
	body := x.body
	if len(history) > 0 {
		body = append(history[:len(history):len(history)], x.body...)
	}
	a := t.dispatch(submission{body: body, affinity: t.request.Header.Get(sessionHeader), worth: t.worth()})
	t.finish(a, history)
}

// worth grows with the size of the turn. The priority is that of the route.
func (t *turn) worth() float64 {
	in, out := t.tokens()
	return 0.3 + 0.7*float64(in+outputWeight*out)/typicalTurnSize
}

// admit reserves the turn's tokens and returns the text of the earlier turns. If it returns false
// the request has already been answered.
func (t *turn) admit() ([]byte, bool) {
	timeout := admitTimeout
	if t.gateway.isolated() {
		timeout = isolatedAdmitTimeout
	}
	ctx, cancel := context.WithTimeout(t.request.Context(), min(timeout, time.Until(t.deadline)))
	defer cancel()
	args := protocol.AdmitArgs{
		Program: t.program, Attempt: t.attempt, Previous: t.previous, Most: t.maxTokens, Budget: t.budget(), Keep: t.retention(), Token: t.token,
	}
	var cached []byte
	cached, args.Known = t.gateway.history.Get(t.previous)
	reply, err := t.gateway.opt.Turns.Admit(ctx, args)
	if args.Known {
		reply.History = cached
	}
	if err == nil && reply.Outcome == protocol.TurnNotFound {
		history, found, findErr := t.gateway.opt.Turns.Find(ctx, t.previous)
		switch {
		case findErr != nil:
			err = findErr
		case !found:
			t.gateway.opt.Counters.Add("answer.no-turn")
			http.Error(t.writer, "no such turn", http.StatusNotFound)
			return nil, false
		default:
			t.importedHistory, args.Imported = history, true
			reply, err = t.gateway.opt.Turns.Admit(ctx, args)
			reply.History = history
		}
	}
	switch {
	case err != nil:
		t.settle(0) // a reservation may have been made
		t.gateway.reject(t.writer, turnRetryAfter, "answer.no-partition")
		return nil, false
	case reply.Outcome == protocol.TurnBudgetExhausted:
		t.gateway.opt.Counters.Add("answer.spent")
		http.Error(t.writer, "the budget is spent", http.StatusPaymentRequired)
		return nil, false
	case reply.Outcome != protocol.TurnGranted:
		t.gateway.reject(t.writer, turnRetryAfter, "answer.closed")
		return nil, false
	}
	return reply.History, true
}

// budget returns how many tokens all turns of the program may output together. Without a valid
// header there is no bound.
func (t *turn) budget() uint64 {
	n, err := strconv.ParseUint(t.request.Header.Get(budgetHeader), 10, 62)
	if err != nil {
		return 1 << 62
	}
	return n
}

// finish forwards the answer and ends the attempt. Delivered tokens are counted, and a complete turn
// is stored before the client learns that it is complete.
func (t *turn) finish(a core.Answer, before []byte) {
	reply, _ := a.Reply.(*message.Reply)
	if reply == nil || reply.Rest == nil || a.Kind != core.Served {
		t.settle(0)
		t.respond(a, nil)
		return
	}
	stored := false
	defer func() {
		if !stored {
			t.settle(t.deliveredTokens())
		}
	}()
	reply.Rest = &tee{ReadCloser: reply.Rest, to: &t.output}
	t.respond(a, func() bool {
		if stored = t.persist(); stored && t.route.Retained {
			t.gateway.history.Put(t.attempt, before, t.body, t.output.Output())
		}
		return stored
	})
}

// deliveredTokens returns the maximum number of tokens that the client may have received.
func (t *turn) deliveredTokens() uint64 {
	tokensPerEvent := max(t.active.tokensPerEvent[t.service], 1)
	return t.output.Started() * tokensPerEvent
}

// persist stores a complete turn durably and reports whether that succeeded.
func (t *turn) persist() bool {
	ctx, cancel := context.WithTimeout(context.Background(), persistTimeout)
	defer cancel()
	args := t.finishArgs(t.deliveredTokens())
	if t.route.Retained {
		args.Whole, args.Previous, args.Imported, args.Input, args.Output = true, t.previous, t.importedHistory, t.body, t.output.Output()
	}
	outcome, err := t.gateway.opt.Turns.Finish(ctx, args)
	if err != nil || outcome != protocol.TurnGranted {
		klog.V(1).InfoS("A turn could not be stored", "attempt", t.attempt, "cause", err)
		return false
	}
	return true
}

func (t *turn) finishArgs(tokens uint64) protocol.FinishArgs {
	return protocol.FinishArgs{Program: t.program, Attempt: t.attempt, Tokens: tokens, Keep: t.retention(), Token: t.token}
}

// retention returns how long the program is kept after this turn: as the route says where turns are
// stored, and otherwise, as only the budget is kept, for as long as the program may still go on.
func (t *turn) retention() time.Duration {
	if t.route.Retained {
		return t.route.Retention
	}
	left, err := strconv.ParseFloat(t.request.Header.Get(finishHeader), 64)
	if err != nil || !(left > 0) {
		left = 0
	}
	left = min(finishTimes*left, float64(maxBudgetRetention.Milliseconds()))
	return max(t.route.Retention, minBudgetRetention, time.Duration(left*float64(time.Millisecond)))
}

// settle reports, in the background, how many tokens an attempt without a complete answer has
// delivered. The partition then releases the rest of the reservation.
func (t *turn) settle(tokens uint64) {
	args := t.finishArgs(tokens)
	g := t.gateway
	g.unreported.Add(1)
	go func() {
		defer g.unreported.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		g.opt.Turns.Finish(ctx, args)
	}()
}

// AwaitReports waits until all attempts that have ended are reported to their partitions, or ctx ends.
// It returns how many are not.
func (g *Gateway) AwaitReports(ctx context.Context) int64 {
	for g.unreported.Load() > 0 && wait.For(ctx, reportPollInterval) {
	}
	return g.unreported.Load()
}

// tee also writes what is read to a Collector.
type tee struct {
	io.ReadCloser
	to *events.Collector
}

func (t *tee) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b)
	t.to.Write(b[:n])
	return n, err
}
