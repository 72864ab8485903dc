package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/logging"
	"oakseam/logic"
)

// hedgePolicy says how a caller waits for first replies.
type hedgePolicy struct {
	timeout  time.Duration // of one call's first reply
	delay    time.Duration // until another call is made in parallel; up to a tenth is added
	maxCalls int           // in flight at once
}

// watch watches until a watch ends for any reason but a new address. It also returns
// whether a first list was delivered.
func (c *Client) watch(ctx context.Context, policy hedgePolicy) (replied bool, err error) {
	for {
		addrCtx, leave := context.WithCancel(ctx)
		c.mu.Lock()
		c.leave = leave
		addr := c.addr
		c.mu.Unlock()
		delivered, err := c.watchAddress(addrCtx, addr, policy)
		replied = replied || delivered
		moved := addrCtx.Err() != nil && ctx.Err() == nil
		leave()
		if !moved {
			return replied, err
		}
	}
}

// watchCall is one call for a watch, guarded by Client.deliverMu.
type watchCall struct {
	watch      *hedgedWatch
	cancel     context.CancelFunc
	revision   int64 // of its last list
	superseded bool  // a parallel call has replied
}

// watchEvent is a line of a watch, or its end.
type watchEvent struct {
	call *watchCall
	err  error // nil: a line
}

// hedgedWatch is a watch at one address. A call or a watch that is silent for longer than a healthy one
// would be is hedged: another call is made in parallel, the first of them to reply is kept, and the
// others end. So a lost call costs only a short delay, and one that waits for its turn at the registry
// does not lose it.
type hedgedWatch struct {
	client  *Client
	addr    string
	policy  hedgePolicy
	events  chan watchEvent
	calls   []*watchCall // in flight; changed by watchAddress only, under Client.deliverMu
	running sync.WaitGroup
	hedge   *time.Timer
	due     time.Time // of the next hedged call
	replied bool
}

// watchAddress watches at one address until no call is in flight, or ctx ends.
func (c *Client) watchAddress(ctx context.Context, addr string, policy hedgePolicy) (replied bool, err error) {
	ctx, stop := context.WithCancel(ctx)
	w := &hedgedWatch{client: c, addr: addr, policy: policy, events: make(chan watchEvent), hedge: time.NewTimer(time.Hour)}
	defer w.running.Wait()
	defer stop()
	defer w.hedge.Stop()
	w.open(ctx)
	for {
		select {
		case <-ctx.Done():
			return w.replied, ctx.Err()
		case <-w.hedge.C:
			w.scheduleHedge(policy.delay)
			if len(w.calls) < policy.maxCalls {
				w.open(ctx)
			}
		case event := <-w.events:
			if event.err == nil {
				w.lineReceived()
			} else if w.callEnded(event); len(w.calls) == 0 {
				return w.replied, event.err
			}
		}
	}
}

// scheduleHedge sets the time of the next hedged call.
func (w *hedgedWatch) scheduleHedge(delay time.Duration) {
	w.due = time.Now().Add(delay)
	w.hedge.Reset(delay)
}

// open makes a call.
func (w *hedgedWatch) open(ctx context.Context) {
	c := w.client
	path := fmt.Sprintf("/v1/endpoints?stream=1&index=%d", c.Revision())
	callCtx, cancel := context.WithCancel(ctx)
	call := &watchCall{watch: w, cancel: cancel, revision: -1}
	c.deliverMu.Lock()
	w.calls = append(w.calls, call)
	c.deliverMu.Unlock()
	w.scheduleHedge(w.policy.delay + rand.N(w.policy.delay/10))
	post := func(err error) {
		select {
		case w.events <- watchEvent{call, err}:
		case <-ctx.Done():
		}
	}
	w.running.Go(func() { post(c.readWatch(callCtx, call, w.addr, path, w.policy.timeout, func() { post(nil) })) })
}

// lineReceived defers the next hedged call.
func (w *hedgedWatch) lineReceived() {
	w.replied = true
	w.scheduleHedge(watchHedgeDelay + rand.N(watchHedgeDelay/10))
}

// callEnded drops a call that has ended, and moves the next hedged call forward if the remaining ones
// have not replied since.
func (w *hedgedWatch) callEnded(event watchEvent) {
	event.call.cancel()
	w.client.deliverMu.Lock()
	w.calls = slices.DeleteFunc(w.calls, func(call *watchCall) bool { return call == event.call })
	superseded := event.call.superseded
	w.client.deliverMu.Unlock()
	if superseded || len(w.calls) == 0 {
		return
	}
	w.client.log.Info("registry: hedged call failed", logging.Cause, event.err)
	// Only moved forward: calls that end one after the other would otherwise defer the next one forever.
	if delay := hedgeRetryDelay + rand.N(hedgeRetryDelay); time.Now().Add(delay).Before(w.due) {
		w.scheduleHedge(delay)
	}
}

// readWatch delivers lists until the watch ends, which it always does with an error. onLine is
// called for each list and each empty line.
func (c *Client) readWatch(ctx context.Context, w *watchCall, addr, path string, timeout time.Duration, onLine func()) error {
	return c.call(ctx, addr, path, timeout, func(body *bufio.Reader, received func()) error {
		for replied := false; ; replied = true {
			l, err := readList(body)
			if err != nil {
				return err
			}
			received()
			if l == nil {
				l = &List{Revision: -1} // an empty first line is the reply that nothing has changed
				if replied {
					l = nil
				}
			}
			if err := c.accept(w, l); err != nil {
				return err
			}
			onLine()
		}
	})
}

// errSuperseded ends a watch after a parallel one has replied first.
var errSuperseded = errors.New("a parallel call has replied first")

// accept delivers what a watch received, a list or nil for an empty line, in the order of the
// lists. A nil watch is a call for the full list.
func (c *Client) accept(w *watchCall, l *List) error {
	c.deliverMu.Lock()
	defer c.deliverMu.Unlock()
	if w != nil && w.superseded {
		return errSuperseded
	}
	var backends []core.Backend
	if l != nil {
		var err error
		if backends, err = l.Backends(); err != nil {
			return err
		}
		if w != nil && l.Revision >= 0 {
			if l.Revision < w.revision {
				return fmt.Errorf("rev: %d after %d", l.Revision, w.revision)
			}
			w.revision = l.Revision
		}
	}
	if w != nil {
		for _, other := range w.watch.calls {
			if other.superseded = other != w; other.superseded {
				other.cancel()
			}
		}
	}
	if l == nil {
		return nil
	}
	backends = c.filter.apply(l, backends)
	if l.Revision >= 0 {
		c.mu.Lock()
		c.revision = l.Revision
		c.mu.Unlock()
	}
	kind := logic.ListChanges
	if l.Full {
		kind = logic.ListFull
	}
	c.deliver(kind, backends)
	return nil
}
