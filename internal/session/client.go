package session

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"pipitmux/internal/core"
	"pipitmux/internal/figures"
	"pipitmux/internal/ingress"
)

// api answers a request to a backend.
func (f *Frontend) api(w http.ResponseWriter, r *http.Request, conn *ingress.Conn) {
	c := &client{answer: make(chan core.Answer, 1)}
	// Open requests count here, not sessions: silent ones are shed, and while they stand at the
	// limit those that ask must not be turned away for them.
	defer f.open.Add(-1)
	over := f.open.Add(1) > f.mostOpen.Load()
	request, in, err := f.read(w, r, conn, c)
	if err != nil && !errors.Is(err, ingress.ErrBudgetExhausted) {
		f.malformed(w, err)
		return
	}
	defer in.Close()
	why := ""
	switch {
	case errors.Is(err, ingress.ErrBudgetExhausted):
		why = "answer.no-room"
	case over:
		why = "answer.req-limit"
	case !f.AcceptsRequests():
		why = "answer.draining"
	}
	if why != "" {
		if !in.Stop() { // what is still to come of the body is not read
			w.Header().Set("Connection", "close")
		}
		f.turnAway(w, request.Class, why)
		return
	}
	if !request.BodyPending {
		c.take(f.opt.Figures)
	}
	defer c.leave()
	request.Session = c
	if err := f.owner.Submit(*request); err != nil {
		f.turnAway(w, request.Class, "answer.queue-limit")
		return
	}
	var a core.Answer
	select {
	case a = <-c.answer:
	case <-f.RespondNow():
		f.owner.ClientGone(request.ID, c)
		select { // an answer that has come goes before the failure
		case a = <-c.answer:
		default:
			a.Kind = core.Failed
		}
	case <-in.Failed():
		f.owner.ClientGone(request.ID, c)
		f.malformed(w, errors.New("body: it did not come whole"))
		return
	case <-r.Context().Done():
		// The body has been read, so net/http watches the connection: the client has left.
		// One that has only ended its sending must not take net/http's empty 200 for an answer.
		f.owner.ClientGone(request.ID, c)
		panic(http.ErrAbortHandler)
	}
	if request.BodyPending && !in.Stop() {
		// An answer before the request's end. What is still to come of it is not read.
		w.Header().Set("Connection", "close")
	}
	f.answer(w, request.Class, a)
}

// client is one client session's wait for its answer.
type client struct {
	answer chan core.Answer

	mu    sync.Mutex
	left  bool
	taken *figures.Set // counts the request as open, nil: not yet
}

// Answer never blocks: there is one answer, and room for it. What nobody waits for any
// more is closed.
func (c *client) Answer(a core.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		discard(a)
		return
	}
	c.answer <- a
}

func discard(a core.Answer) {
	if r, ok := a.Reply.(io.Closer); ok {
		r.Close()
	}
}

// take counts the request as one that is open.
func (c *client) take(f *figures.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.left && c.taken == nil {
		c.taken = f
		f.Open(1)
	}
}

// leave ends the wait.
func (c *client) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	select {
	case a := <-c.answer:
		discard(a)
	default:
	}
	if c.taken != nil {
		c.taken.Open(-1)
	}
}
