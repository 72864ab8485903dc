// Package discovery asks the registry for the list of backends, once or as a
// watch, over HTTP/1.1 on plain connections.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
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
)

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
