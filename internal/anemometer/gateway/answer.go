package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/message"
	"pipitmux/internal/station/routing"
	"pipitmux/logic"
)

// copySize is what a stream passes through.
const copySize = 8 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// waiter waits for the one final answer of a request.
type waiter struct {
	answer chan core.Answer

	mu   sync.Mutex
	left bool
}

// Answer implements core.Session. What nobody waits for any more is closed.
func (w *waiter) Answer(a core.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		discard(a)
		return
	}
	w.answer <- a
}

// leave ends the wait.
func (w *waiter) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
	select {
	case a := <-w.answer:
		discard(a)
	default:
	}
}

func discard(a core.Answer) {
	if c, ok := a.Reply.(io.Closer); ok {
		c.Close()
	}
}

// overdue is how long after the deadline an answer of the owner is waited for: it keeps
// the deadline itself.
const overdue = 300 * time.Millisecond

// submission is what an exchange hands to its service's owner.
type submission struct {
	body        []byte
	affinity    string  // line of turns that keeps to the same servers, empty: to none
	worth       float64 // 0: its class's
	maxAttempts int     // 0: its class's

	again     int            // how many submissions' streams broke off before
	lastEvent string         // of those streams, empty: none has come
	avoid     logic.ServerID // the server of the last of them
}

// resumedPrefix sets the id of a further submission apart from earlier ones', which may not
// have been forgotten yet. No client's id holds such a byte.
const resumedPrefix = "\x00"

// id names the submission to the owner; servers see the client's id.
func (s submission) id(attempt string) string {
	return strings.Repeat(resumedPrefix, s.again) + attempt
}

// dispatch has the request carried out by its service's servers.
func (x *exchange) dispatch(s submission) core.Answer {
	return x.resumable(x.submit(s), s)
}

// submit hands the request to its service's owner and waits for the answer. A client that
// leaves ends it.
func (x *exchange) submit(s submission) core.Answer {
	starting, cancel := context.WithDeadline(x.request.Context(), x.arrived.Add(startingWait))
	owner := x.gateway.opt.Dispatcher.Owner(starting, x.service)
	cancel()
	left := time.Until(x.deadline)
	if owner == nil || left <= 0 {
		return core.Answer{Kind: core.Rejected, RetryAfter: pressedRetryAfter}
	}
	if x.ended == nil {
		x.ended = x.gateway.opt.Dispatcher.Begin(x.service)
	}
	w := &waiter{answer: make(chan core.Answer, 1)}
	defer w.leave()
	id := s.id(x.attempt)
	request := core.Request{
		ID: id, Class: x.route.Name, Arrived: time.Now(), Timeout: left, Call: withLastEvent(x.call(s.body), s.lastEvent), Session: w,
		Worth: s.worth, MaxAttempts: s.maxAttempts, AvoidedServer: s.avoid,
	}
	if x.route.Persistence || s.affinity != "" && x.route.Class == routing.Streaming {
		request.PreferredServers = x.gateway.opt.Dispatcher.Prefer(x.service, s.affinity)
	}
	if err := owner.Submit(request); err != nil {
		return core.Answer{Kind: core.Rejected, RetryAfter: pressedRetryAfter}
	}
	late := time.NewTimer(left + overdue)
	defer late.Stop()
	select {
	case a := <-w.answer:
		return a
	case <-late.C:
		owner.ClientGone(id, w)
		return core.Answer{Kind: core.Failed}
	case <-x.request.Context().Done():
		owner.ClientGone(id, w)
		return core.Answer{Kind: gone}
	}
}

// gone is the kind of answer to a client that has left.
const gone core.AnswerKind = 255

// answer gives the final answer. Before the end of a whole stream, kept is asked where it
// is not nil: without its consent the answer breaks off.
func (x *exchange) answer(a core.Answer, kept func() bool) {
	count := x.gateway.opt.Count
	reply, _ := a.Reply.(*message.Reply)
	switch {
	case a.Kind == gone:
		count.Add("client.gone")
		panic(http.ErrAbortHandler)
	case reply != nil:
		defer reply.Close()
		x.pass(reply, kept)
	case a.Kind == core.Rejected && !a.MayHaveRun:
		x.gateway.refuse(x.writer, max(a.RetryAfter, pressedRetryAfter), "answer.refused")
	case a.Kind == core.Duplicate:
		x.gateway.count("answer.duplicate")
		http.Error(x.writer, "the id is in use", http.StatusConflict)
	case time.Now().Before(x.deadline):
		x.gateway.count("answer.failed")
		http.Error(x.writer, "no server answered", http.StatusBadGateway)
	default:
		x.gateway.count("answer.late")
		http.Error(x.writer, "no server answered in time", http.StatusGatewayTimeout)
	}
}

// pass hands a server's answer on, unchanged but for what concerns the connection.
func (x *exchange) pass(reply *message.Reply, kept func() bool) {
	h := x.writer.Header()
	for name, values := range reply.Header {
		if !connectionHeaders[name] {
			h[name] = values
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // nothing is guessed about a server's bytes
	}
	if _, dated := reply.Header["Date"]; !dated {
		h["Date"] = nil
	}
	if reply.Length != message.UnknownLength && kept == nil {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	x.writer.WriteHeader(max(reply.Status, http.StatusOK))
	if reply.Rest == nil {
		x.writer.Write(reply.Body)
	} else if !x.passStream(reply) {
		x.gateway.count("answer.broken")
		panic(http.ErrAbortHandler) // net/http's way to end a session short of its answer
	}
	if kept != nil && !kept() {
		x.gateway.count("answer.not-kept")
		panic(http.ErrAbortHandler)
	}
	x.gateway.opt.Count.Add("answer.served")
}

// passStream passes a long answer on, each piece as it comes, and tells whether it was whole.
func (x *exchange) passStream(reply *message.Reply) bool {
	control := http.NewResponseController(x.writer)
	stop := closeWhenGone(x.request, reply)
	defer stop()
	buffer := copyBuffers.Get().(*[copySize]byte)
	defer copyBuffers.Put(buffer)
	if len(reply.Body) == 0 {
		control.Flush()
	} else if _, err := x.writer.Write(reply.Body); err != nil || control.Flush() != nil {
		return false
	}
	for {
		n, err := reply.Rest.Read(buffer[:])
		if n > 0 {
			if _, failed := x.writer.Write(buffer[:n]); failed != nil || control.Flush() != nil {
				return false
			}
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// closeWhenGone ends a server's answer when its client leaves.
func closeWhenGone(r *http.Request, reply *message.Reply) (stop func()) {
	over := make(chan struct{})
	go func() {
		select {
		case <-r.Context().Done():
			reply.Rest.Close()
		case <-over:
		}
	}()
	return func() { close(over) }
}
