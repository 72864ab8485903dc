package session

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"oakseam/internal/core"
	"oakseam/internal/ingress"
	"oakseam/internal/metrics"
)

// serveAPI handles a request for a backend.
func (f *Frontend) serveAPI(w http.ResponseWriter, r *http.Request, conn *ingress.Conn) {
	p := &pendingAnswer{answer: make(chan core.Answer, 1)}
	// The limit is on open requests, not on sessions: silent sessions are shed, and must not
	// cause rejections while they are at their limit.
	defer f.open.Add(-1)
	overLimit := f.open.Add(1) > f.maxOpen.Load()
	request, in, err := f.readRequest(w, r, conn, p)
	if err != nil && !errors.Is(err, ingress.ErrBudgetExhausted) {
		f.rejectMalformed(w, err)
		return
	}
	defer in.Close()
	counter := ""
	switch {
	case errors.Is(err, ingress.ErrBudgetExhausted):
		counter = "answer.no-room"
	case overLimit:
		counter = "answer.req-limit"
	case !f.AcceptsRequests():
		counter = "answer.draining"
	}
	if counter != "" {
		if !in.Stop() { // the rest of the body is not read
			w.Header().Set("Connection", "close")
		}
		f.rejectUnsubmitted(w, request.Class, counter)
		return
	}
	if !request.BodyPending {
		p.countOpen(f.opt.Metrics)
	}
	defer p.close()
	request.Session = p
	if err := f.loop.Submit(*request); err != nil {
		f.rejectUnsubmitted(w, request.Class, "answer.queue-limit")
		return
	}
	var a core.Answer
	select {
	case a = <-p.answer:
	case <-f.RespondNow():
		f.loop.ClientGone(request.ID, p)
		select { // an answer that has arrived is used instead of the failure
		case a = <-p.answer:
		default:
			a.Kind = core.Failed
		}
	case <-in.Failed():
		f.loop.ClientGone(request.ID, p)
		f.rejectMalformed(w, errors.New("body: it did not come whole"))
		return
	case <-r.Context().Done():
		// The body has been read, so net/http watches the connection: the client has left.
		// A client that has only closed its sending side must not take net/http's empty 200
		// for an answer.
		f.loop.ClientGone(request.ID, p)
		panic(http.ErrAbortHandler)
	}
	if request.BodyPending && !in.Stop() {
		// The answer came before the end of the request. The rest of the request is not read.
		w.Header().Set("Connection", "close")
	}
	f.writeAnswer(w, request.Class, a)
}

// pendingAnswer waits for the answer of one request.
type pendingAnswer struct {
	answer chan core.Answer

	mu        sync.Mutex
	closed    bool
	countedIn *metrics.Set // counts the request as open, nil: not yet
}

// Answer never blocks: there is one answer, and room for it. An answer that nobody waits for
// any more is closed.
func (p *pendingAnswer) Answer(a core.Answer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		discard(a)
		return
	}
	p.answer <- a
}

func discard(a core.Answer) {
	if r, ok := a.Reply.(io.Closer); ok {
		r.Close()
	}
}

// countOpen counts the request as open.
func (p *pendingAnswer) countOpen(f *metrics.Set) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed && p.countedIn == nil {
		p.countedIn = f
		f.AddOpen(1)
	}
}

// close ends the wait.
func (p *pendingAnswer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	select {
	case a := <-p.answer:
		discard(a)
	default:
	}
	if p.countedIn != nil {
		p.countedIn.AddOpen(-1)
	}
}
