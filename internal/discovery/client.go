// Package discovery asks the registry for the list of backends, once or as a
// watch, over HTTP/1.1 on plain connections.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/logging"
	"oakseam/logic"
)

const (
	connectTimeout = time.Second
	// silenceTimeout is how long a watch may send nothing complete before it counts as broken:
	// a healthy one sends at least an empty line every 2 s, and a silent one would hide every
	// further drain. Changes that it misses count as delivered 6 s after it fell silent; what is
	// left of these is for the new call.
	silenceTimeout = 3500 * time.Millisecond
	// callTimeout bounds a call that the module asked for. It may wait for its turn at a
	// registry that many nodes share.
	callTimeout = 5 * time.Second
	// firstReplyHedgeDelay is how long a call may be without a first reply before another is
	// made in parallel: registries answer or refuse within 2 s. Up to a tenth is added as jitter.
	firstReplyHedgeDelay = 2200 * time.Millisecond
	// watchHedgeDelay is how long a watch may be silent before another call is made in
	// parallel: its empty lines are 2 s apart. Up to a tenth is added as jitter. What a silent
	// watch misses counts as delivered 6 s after it fell silent: 2.75 s until the first hedged
	// call, 2.42 s in case that one is lost, and the rest for the reply to the next one.
	watchHedgeDelay = 2500 * time.Millisecond
	// hedgeRetryDelay is the delay after which a refused hedged call is made again. Up to as
	// long again is added as jitter.
	hedgeRetryDelay = 300 * time.Millisecond
	// agentHedgeDelay is the hedge delay for the agent that lists are pushed to. It answers at
	// once and calls cost it nothing: a call without a first reply is lost, or the agent is
	// silent or slow. So another call is made each time, and each may wait for silenceTimeout.
	agentHedgeDelay = 400 * time.Millisecond
	// agentRetryDelay is the pause before a watch that the module does not ask for is made
	// again. What the agent has counts as delivered at once, after an outage as well.
	agentRetryDelay = 100 * time.Millisecond
	maxListBytes    = 4 << 20
)

// List is the registry's form of a list of backends.
type List struct {
	// Revision is the version of the list, below 0 if it has none.
	Revision int64 `json:"rev"`
	// Full is set if the list has every backend, not only the changed ones.
	Full    bool     `json:"all"`
	Targets []Target `json:"targets"`
}

// Target is a backend in a List.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	PodGroup int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	// BootMS is when the backend started, in milliseconds of Unix time.
	BootMS int64 `json:"boot_ms"`
}

var states = map[string]logic.ServerState{
	"in_service": logic.Serving, "terminating": logic.Draining, "terminated": logic.Gone,
}

// Backends converts a list to the backends that package core uses. It fails if the list
// contradicts itself.
func (l *List) Backends() ([]core.Backend, error) {
	backends := make([]core.Backend, 0, len(l.Targets))
	seen := make(map[string]int, len(l.Targets))
	for i, t := range l.Targets {
		state, ok := states[t.State]
		if !ok {
			return nil, fmt.Errorf("targets.%d.state: unknown state %q", i, t.State)
		}
		if t.UID == "" {
			return nil, fmt.Errorf("targets.%d.uid: missing", i)
		}
		if _, _, err := net.SplitHostPort(t.Endpoint); err != nil && state != logic.Gone {
			return nil, fmt.Errorf("targets.%d.endpoint: %w", i, err)
		}
		if first, ok := seen[t.UID]; ok && l.Full && l.Targets[first] != t {
			return nil, fmt.Errorf("targets.%d.uid: %q is also the uid of targets.%d, with other values", i, t.UID, first)
		}
		seen[t.UID] = i
		backends = append(backends, core.Backend{Endpoint: t.Endpoint, Server: logic.Server{
			ID: logic.ServerID(t.UID), Capacity: t.Capacity, State: state, Kind: t.Model, Zone: t.Zone,
			Cell: t.PodGroup, StartedAt: time.Duration(max(t.BootMS, 0)) * time.Millisecond,
		}})
	}
	return backends, nil
}

// NewList returns backends in the registry's form, the inverse of List.Backends.
func NewList(revision int64, full bool, backends []core.Backend) List {
	l := List{Revision: revision, Full: full, Targets: make([]Target, 0, len(backends))}
	for _, b := range backends {
		t := Target{UID: string(b.ID), Endpoint: b.Endpoint, Zone: b.Zone, Model: b.Kind, PodGroup: b.Cell,
			Capacity: b.Capacity, BootMS: b.StartedAt.Milliseconds()}
		for name, state := range states {
			if state == b.State {
				t.State = name
			}
		}
		l.Targets = append(l.Targets, t)
	}
	return l
}

// Client calls the registry at one address. Each Subscribe and each Fetch is
// answered by one list; a failed call by ListFailed.
type Client struct {
	deliver func(logic.ListKind, []core.Backend)
	log     *slog.Logger
	dial    func(ctx context.Context, network, addr string) (net.Conn, error)

	deliverMu sync.Mutex // held while a list is delivered, locked before mu: lists are delivered in one order
	filter    staleFilter

	mu       sync.Mutex
	addr     string
	revision int64
	leave    context.CancelFunc // ends the current watch for one at a new address
	stop     context.CancelFunc // ends the current watch
	done     chan struct{}      // closed when the current watch has ended
}

var _ core.Registry = (*Client)(nil)

// New returns a Client that has yet to call. known is the list that the node has
// already, with its version.
func New(addr string, known List, deliver func(logic.ListKind, []core.Backend), log *slog.Logger) *Client {
	c := &Client{addr: addr, revision: known.Revision, deliver: deliver, log: log, dial: new(net.Dialer).DialContext,
		filter: newStaleFilter(time.Now)}
	if backends, err := known.Backends(); err == nil {
		c.filter.apply(&known, backends)
	}
	return c
}

// Revision returns the version of the list that was last delivered.
func (c *Client) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Fetch asks for the full list. It does not block.
func (c *Client) Fetch() {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		c.mu.Lock()
		addr := c.addr
		c.mu.Unlock()
		err := c.call(ctx, addr, "/v1/endpoints", callTimeout, func(body *bufio.Reader, _ func()) error {
			l := List{Revision: -1}
			if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&l); err != nil {
				return err
			}
			l.Full = true // the call is for the full list
			return c.accept(nil, &l)
		})
		if err != nil {
			c.log.Warn("registry: fetching the list failed", logging.Cause, err)
			c.deliver(logic.ListFailed, nil)
		}
	}()
}

// Subscribe starts a watch in place of the current one. It does not block.
func (c *Client) Subscribe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	previous, stopPrevious := c.done, c.stop
	done := make(chan struct{})
	c.stop, c.done = stop, done
	go func() {
		defer close(done)
		if previous != nil { // its reply, or its failure, is delivered before this one's
			stopPrevious()
			<-previous
		}
		replied, err := c.watch(ctx, hedgePolicy{callTimeout, firstReplyHedgeDelay, 3})
		if ctx.Err() != nil && replied {
			return // replaced: the module takes this watch for the new one
		}
		c.log.Warn("registry: watch failed", logging.Cause, err)
		c.deliver(logic.ListFailed, nil)
	}()
}

// KeepWatching watches until ctx ends, for a module that does not ask for lists: they are
// pushed to an agent on the node's own machine.
func (c *Client) KeepWatching(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		replied, err := c.watch(ctx, hedgePolicy{silenceTimeout, agentHedgeDelay, int(silenceTimeout/agentHedgeDelay) + 1})
		if failures++; replied {
			failures = 1
		}
		if failures&(failures-1) == 0 { // at powers of two, so that a long outage logs few lines
			c.log.Warn("registry: watch failed", "failures", failures, logging.Cause, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(agentRetryDelay/2 + rand.N(agentRetryDelay/2)):
		}
	}
}

// SetAddress moves to the registry at another address: the current watch ends and continues
// there. The module is not notified of a failure, so it assumes no drain and makes no further call,
// and a call that waits for its list still gets one.
func (c *Client) SetAddress(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	if c.leave != nil {
		c.leave()
	}
}

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
	parallel   *[]*watchCall // the calls in flight, this one included
	cancel     context.CancelFunc
	revision   int64 // of its last list
	superseded bool  // a parallel call has replied
}

// watchEvent is a line of a watch, or its end.
type watchEvent struct {
	call *watchCall
	err  error // nil: a line
}

// watchAddress watches at one address until no call is in flight. A call or a watch
// that is silent for longer than a healthy one would be is hedged: another call is made in
// parallel, the first of them to reply is kept, and the others end. So a lost call costs only
// a short delay, and one that waits for its turn at the registry does not lose it.
func (c *Client) watchAddress(ctx context.Context, addr string, policy hedgePolicy) (replied bool, err error) {
	ctx, stop := context.WithCancel(ctx)
	var ended sync.WaitGroup
	defer ended.Wait()
	defer stop()
	events := make(chan watchEvent)
	var calls []*watchCall // in flight; guarded by deliverMu, except for the reads of this goroutine
	hedge := time.NewTimer(time.Hour)
	defer hedge.Stop()
	var due time.Time // of the next hedged call
	scheduleHedge := func(delay time.Duration) {
		due = time.Now().Add(delay)
		hedge.Reset(delay)
	}
	open := func() {
		c.mu.Lock()
		path := fmt.Sprintf("/v1/endpoints?stream=1&index=%d", c.revision)
		c.mu.Unlock()
		callCtx, cancel := context.WithCancel(ctx)
		w := &watchCall{parallel: &calls, cancel: cancel, revision: -1}
		c.deliverMu.Lock()
		calls = append(calls, w)
		c.deliverMu.Unlock()
		scheduleHedge(policy.delay + rand.N(policy.delay/10))
		post := func(err error) {
			select {
			case events <- watchEvent{w, err}:
			case <-ctx.Done():
			}
		}
		ended.Go(func() { post(c.readWatch(callCtx, w, addr, path, policy.timeout, func() { post(nil) })) })
	}
	for open(); ; {
		select {
		case <-ctx.Done():
			return replied, ctx.Err()
		case <-hedge.C:
			if scheduleHedge(policy.delay); len(calls) < policy.maxCalls {
				open()
			}
		case event := <-events:
			if event.err == nil {
				replied = true
				scheduleHedge(watchHedgeDelay + rand.N(watchHedgeDelay/10))
				continue
			}
			event.call.cancel()
			c.deliverMu.Lock()
			calls = slices.DeleteFunc(calls, func(w *watchCall) bool { return w == event.call })
			superseded := event.call.superseded
			c.deliverMu.Unlock()
			if len(calls) == 0 {
				return replied, event.err
			}
			if !superseded { // the remaining calls have not replied since
				c.log.Info("registry: hedged call failed", logging.Cause, event.err)
				// Only moved forward: calls that end one after the other would otherwise defer
				// the next one forever.
				if delay := hedgeRetryDelay + rand.N(hedgeRetryDelay); time.Now().Add(delay).Before(due) {
					scheduleHedge(delay)
				}
			}
		}
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
		for _, other := range *w.parallel {
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

// readList reads a list, over however many lines, or an empty line, which is nil.
func readList(in *bufio.Reader) (*List, error) {
	for {
		b, err := in.ReadByte()
		switch {
		case err != nil:
			return nil, err
		case b == '\n':
			return nil, nil
		case b == ' ' || b == '\t' || b == '\r':
			continue
		}
		if err := in.UnreadByte(); err != nil {
			return nil, err
		}
		l := &List{Revision: -1}
		if err := json.NewDecoder(io.LimitReader(braceReader{in}, maxListBytes)).Decode(l); err != nil {
			return nil, err
		}
		// The end of the list's last line is not an empty line, if it has arrived already.
		if b, err := in.Peek(min(in.Buffered(), 1)); err == nil && len(b) == 1 && b[0] == '\n' {
			in.Discard(1)
		}
		return l, nil
	}
}

// braceReader reads up to a closing brace at a time. A list ends with one, so a decoder that
// reads from it consumes nothing of what follows.
type braceReader struct{ in *bufio.Reader }

func (r braceReader) Read(p []byte) (int, error) {
	if _, err := r.in.Peek(1); err != nil {
		return 0, err
	}
	part, err := r.in.Peek(min(r.in.Buffered(), len(p)))
	if i := bytes.IndexByte(part, '}'); i >= 0 {
		part = part[:i+1]
	}
	n := copy(p, part)
	r.in.Discard(n)
	return n, err
}

// call sends a GET and has read consume the body of its 200 response. The first part of the
// body must be complete within the timeout; received reports a complete part, and restarts the
// silence timeout.
func (c *Client) call(ctx context.Context, addr, path string, timeout time.Duration, read func(body *bufio.Reader, received func()) error) error {
	dialCtx, stop := context.WithTimeout(ctx, min(timeout, connectTimeout))
	defer stop()
	conn, err := c.dial(dialCtx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	conn.SetWriteDeadline(time.Now().Add(connectTimeout))
	conn.SetReadDeadline(time.Now().Add(timeout))
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", path, addr); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	// The body is not closed, only the connection: closing the body would first read a watch
	// to its end, and one that broke at a line would be kept for as long as empty lines come.
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", path, res.Status)
	}
	return read(bufio.NewReader(res.Body), func() { conn.SetReadDeadline(time.Now().Add(silenceTimeout)) })
}
