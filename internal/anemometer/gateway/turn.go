package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"pipitmux/internal/anemometer/events"
	"pipitmux/internal/core"
	"pipitmux/internal/message"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/station/routing"
)

const (
	// admitWithin is how long a turn waits for its partition: longer than an owner's
	// succession takes.
	admitWithin = 2 * time.Second
	// keepWithin is how long the end of a stream waits until its turn is kept.
	keepWithin = 3 * time.Second
	// settleWithin is how long a try that brought nothing is told to its partition.
	settleWithin = 20 * time.Second
	// turnRetryAfter is told where a turn's partition has no owner for the moment.
	turnRetryAfter = 400 * time.Millisecond
	// outputWeight is how many tokens of a prompt one token put out counts for.
	outputWeight = 10
	// usualSize is the size of a usual turn, in tokens of a prompt.
	usualSize = 4000.0
)

// isTurn tells whether the request is a turn of a program, which is kept and counted.
func (x *exchange) isTurn() bool {
	return x.route.Class == routing.Streaming && (x.route.Retained || x.request.Header.Get(budgetHeader) != "") &&
		x.request.Header.Get(programHeader) != ""
}

// turn is a turn on its way.
type turn struct {
	*exchange
	program  string
	previous string
	most     uint64
	imported []byte // what was said before, where another partition keeps it
	token    uint64 // drawn here: another node with the same try has another
	gathered events.Gatherer
}

func (x *exchange) serveTurn() {
	t := &turn{exchange: x, program: x.request.Header.Get(programHeader), token: rand.Uint64()}
	if x.route.Retained {
		t.previous = x.request.Header.Get(previousHeader)
	}
	_, t.most = x.tokens()
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

// worth grows with the turn's size, the rank being the route's.
func (t *turn) worth() float64 {
	in, out := t.tokens()
	return 0.3 + 0.7*float64(in+outputWeight*out)/usualSize
}

// admit has the turn's tokens reserved and brings what was said before. Where it is false
// the request has been answered.
func (t *turn) admit() ([]byte, bool) {
	ctx, cancel := context.WithTimeout(t.request.Context(), min(admitWithin, time.Until(t.deadline)))
	defer cancel()
	args := protocol.AdmitArgs{
		Program: t.program, Attempt: t.attempt, Previous: t.previous, Most: t.most, Budget: t.budget(), Keep: t.route.Retention, Token: t.token,
	}
	var known []byte
	known, args.Known = t.gateway.history.Get(t.previous)
	reply, err := t.gateway.opt.Turns.Admit(ctx, args)
	if args.Known {
		reply.History = known
	}
	if err == nil && reply.Outcome == protocol.TurnNotFound {
		history, found, unsure := t.gateway.opt.Turns.Find(ctx, t.previous)
		switch {
		case unsure != nil:
			err = unsure
		case !found:
			t.gateway.opt.Count.Add("answer.no-turn")
			http.Error(t.writer, "no such turn", http.StatusNotFound)
			return nil, false
		default:
			t.imported, args.Imported = history, true
			reply, err = t.gateway.opt.Turns.Admit(ctx, args)
			reply.History = history
		}
	}
	switch {
	case err != nil:
		t.settle(0) // a reservation may have been made
		t.gateway.refuse(t.writer, turnRetryAfter, "answer.no-partition")
		return nil, false
	case reply.Outcome == protocol.TurnBudgetExhausted:
		t.gateway.opt.Count.Add("answer.spent")
		http.Error(t.writer, "the budget is spent", http.StatusPaymentRequired)
		return nil, false
	case reply.Outcome != protocol.TurnGranted:
		t.gateway.refuse(t.writer, turnRetryAfter, "answer.closed")
		return nil, false
	}
	return reply.History, true
}

// budget is what the program's turns may put out together. Without a word of it there is
// no bound.
func (t *turn) budget() uint64 {
	n, err := strconv.ParseUint(t.request.Header.Get(budgetHeader), 10, 62)
	if err != nil {
		return 1 << 62
	}
	return n
}

// finish passes the answer on and ends the try: what was handed out is counted, and a
// whole turn is kept before the client learns that it is whole.
func (t *turn) finish(a core.Answer, before []byte) {
	reply, _ := a.Reply.(*message.Reply)
	if reply == nil || reply.Rest == nil || a.Kind != core.Served {
		t.settle(0)
		t.answer(a, nil)
		return
	}
	ended := false
	defer func() {
		if !ended {
			t.settle(t.handedOut())
		}
	}()
	reply.Rest = &tee{ReadCloser: reply.Rest, to: &t.gathered}
	t.answer(a, func() bool {
		if ended = t.keep(); ended && t.route.Retained {
			t.gateway.history.Put(t.attempt, before, t.body, t.gathered.Output())
		}
		return ended
	})
}

// handedOut is how many tokens the client may have got.
func (t *turn) handedOut() uint64 {
	stride := max(t.tables.strides[t.service], 1)
	return t.gathered.Begun() * stride
}

// keep makes a whole turn durable.
func (t *turn) keep() bool {
	ctx, cancel := context.WithTimeout(context.Background(), keepWithin)
	defer cancel()
	args := t.ending(t.handedOut())
	if t.route.Retained {
		args.Whole, args.Previous, args.Imported, args.Input, args.Output = true, t.previous, t.imported, t.body, t.gathered.Output()
	}
	outcome, err := t.gateway.opt.Turns.Finish(ctx, args)
	if err != nil || outcome != protocol.TurnGranted {
		klog.V(1).InfoS("A turn could not be kept", "attempt", t.attempt, "cause", err)
		return false
	}
	return true
}

func (t *turn) ending(tokens uint64) protocol.FinishArgs {
	return protocol.FinishArgs{Program: t.program, Attempt: t.attempt, Tokens: tokens, Keep: t.route.Retention, Token: t.token}
}

// settle tells the partition, in its own time, what a try without a whole answer has
// handed out: the rest of its reservation is free again.
func (t *turn) settle(tokens uint64) {
	args := t.ending(tokens)
	client := t.gateway.opt.Turns
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleWithin)
		defer cancel()
		client.Finish(ctx, args)
	}()
}

// tee shows what is read to another.
type tee struct {
	io.ReadCloser
	to *events.Gatherer
}

func (t *tee) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b)
	t.to.Write(b[:n])
	return n, err
}
