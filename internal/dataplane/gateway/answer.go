package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/message"
	"oakseam/internal/tier/routing"
	"oakseam/logic"
)

// copySize is the size of the buffer that a streamed response passes through.
const copySize = 8 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copySize]byte) }}

// waiter waits for the final answer of one request.
type waiter struct {
	answer chan core.Answer

	mu        sync.Mutex
	abandoned bool // nobody waits any longer
}

// Answer implements core.Session. An answer that nobody waits for any longer is closed.
func (w *waiter) Answer(a core.Answer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.abandoned {
		closeReply(a)
		return
	}
	w.answer <- a
}

// abandon ends the wait.
func (w *waiter) abandon() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.abandoned = true
	select {
	case a := <-w.answer:
		closeReply(a)
	default:
	}
}

func closeReply(a core.Answer) {
	if c, ok := a.Reply.(io.Closer); ok {
		c.Close()
	}
}

// answerGrace is how long after the deadline the gateway still waits for the event loop's answer.
// The event loop enforces the deadline itself; this is only a safeguard.
const answerGrace = 300 * time.Millisecond

// submission is what an exchange submits to the event loop of its service.
type submission struct {
	body        []byte
	affinity    string  // key of requests that stick to the same servers, empty: none
	worth       float64 // 0: that of the class
	maxAttempts int     // 0: that of the class

	resumptions   int            // number of earlier submissions whose streams broke off
	lastEventID   string         // last event received from those streams, empty: none
	avoidedServer logic.ServerID // server of the last of those streams
}

// resumptionPrefix makes the id of a resumption differ from those of earlier submissions, which the
// event loop may not have forgotten yet. An HTTP header cannot contain this byte, so no client's id
// does.
const resumptionPrefix = "\x00"

// id returns the request id for the event loop. Servers see the client's own attempt id.
func (s submission) id(attempt string) string {
	return strings.Repeat(resumptionPrefix, s.resumptions) + attempt
}

// dispatch has the request executed by a server of its service, and resumes its stream if needed.
func (x *exchange) dispatch(s submission) core.Answer {
	return x.resumable(x.submit(s), s)
}

// submit submits the request to the event loop of its service and waits for the answer. The request
// is cancelled when the client disconnects.
func (x *exchange) submit(s submission) core.Answer {
	startup, cancel := context.WithDeadline(x.request.Context(), x.arrived.Add(startupWait))
	loop := x.gateway.opt.Dispatcher.EventLoop(startup, x.service)
	cancel()
	timeLeft := time.Until(x.deadline)
	if loop == nil || timeLeft <= 0 {
		return core.Answer{Kind: core.Rejected, RetryAfter: overloadRetryAfter}
	}
	if x.endRequest == nil {
		x.endRequest = x.gateway.opt.Dispatcher.BeginRequest(x.service)
	}
	w := &waiter{answer: make(chan core.Answer, 1)}
	defer w.abandon()
	id := s.id(x.attempt)
	request := core.Request{
		ID: id, Class: x.route.ID(), Arrived: time.Now(), Timeout: timeLeft, AnswerDeadline: x.deadline, Call: withLastEvent(x.upstreamCall(s.body), s.lastEventID), Session: w,
		Worth: s.worth, MaxAttempts: s.maxAttempts, AvoidedServer: s.avoidedServer,
	}
	if x.route.Persistence || s.affinity != "" && x.route.Class == routing.Streaming {
		request.PreferredServers = x.gateway.opt.Dispatcher.PreferredServers(x.service, s.affinity)
	}
	if err := loop.Submit(request); err != nil {
		return core.Answer{Kind: core.Rejected, RetryAfter: overloadRetryAfter}
	}
	late := time.NewTimer(timeLeft + answerGrace)
	defer late.Stop()
	select {
	case a := <-w.answer:
		return a
	case <-late.C:
		loop.ClientGone(id, w)
		return core.Answer{Kind: core.Failed}
	case <-x.request.Context().Done():
		loop.ClientGone(id, w)
		return core.Answer{Kind: clientGone}
	}
}

// clientGone is the kind of answer to a client that has disconnected. It is not a value of package core.
const clientGone core.AnswerKind = 255

// respond sends the final answer to the client. If persist is not nil it is called before the end
// of a complete stream, and the response breaks off unless it returns true.
func (x *exchange) respond(a core.Answer, persist func() bool) {
	count := x.gateway.opt.Counters
	reply, _ := a.Reply.(*message.Reply)
	switch {
	case a.Kind == clientGone:
		count.Add("client.gone")
		panic(http.ErrAbortHandler)
	case reply != nil:
		defer reply.Close()
		x.forward(reply, persist)
	case a.Kind == core.Rejected && !a.MayHaveRun:
		x.gateway.countUnserved("answer.refused", x.service)
		respondRejected(x.writer, max(a.RetryAfter, overloadRetryAfter))
	case a.Kind == core.Duplicate:
		x.gateway.countUnserved("answer.duplicate", x.service)
		http.Error(x.writer, "the id is in use", http.StatusConflict)
	case time.Now().Before(x.deadline):
		x.gateway.countUnserved("answer.failed", x.service)
		http.Error(x.writer, "no server answered", http.StatusBadGateway)
	default:
		x.gateway.countUnserved("answer.late", x.service)
		http.Error(x.writer, "no server answered in time", http.StatusGatewayTimeout)
	}
}

// forward sends a server's response to the client, unchanged except for headers that concern one
// connection only.
func (x *exchange) forward(reply *message.Reply, persist func() bool) {
	h := x.writer.Header()
	for name, values := range reply.Header {
		if !connectionHeaders[name] {
			h[name] = values
		}
	}
	if h.Get("Content-Type") == "" {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
	if _, dated := reply.Header["Date"]; !dated {
		h["Date"] = nil
	}
	if reply.Length != message.UnknownLength && persist == nil {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	}
	x.writer.WriteHeader(max(reply.Status, http.StatusOK))
	if reply.Rest == nil {
		x.writer.Write(reply.Body)
	} else if !x.forwardStream(reply) {
		x.gateway.countUnserved("answer.broken", x.service)
		panic(http.ErrAbortHandler) // makes net/http close the connection before the response is complete
	}
	if persist != nil && !persist() {
		x.gateway.countUnserved("answer.not-kept", x.service)
		panic(http.ErrAbortHandler)
	}
	x.gateway.opt.Counters.Add("answer.served")
}

// forwardStream forwards a streamed response piece by piece as it arrives, and reports whether it
// was complete.
func (x *exchange) forwardStream(reply *message.Reply) bool {
	control := http.NewResponseController(x.writer)
	stop := closeOnClientGone(x.request, reply)
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

// closeOnClientGone closes a server's response when the client disconnects, until stop is called.
func closeOnClientGone(r *http.Request, reply *message.Reply) (stop func() bool) {
	return context.AfterFunc(r.Context(), func() { reply.Rest.Close() })
}
