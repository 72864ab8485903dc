package upstream

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/logging"
	"oakseam/internal/message"
)

// reuseDelay is how long a connection stays unused after a response before it is used again. A
// faulty server that responds twice does so within a few milliseconds. After the delay the second
// response is detected before the next request is written, and is not taken for its response.
const reuseDelay = 10 * time.Millisecond

// Pool holds the connections to all servers. Idle connections are kept by core.Instance, which
// identifies a server process, so that a connection to an earlier process of a server is never
// used for its successor.
type Pool struct {
	codec Codec
	opt   Options
	count *counters.Set
	log   *slog.Logger
	dial  func(ctx context.Context, network, addr string) (net.Conn, error)

	reuseDelay time.Duration // the constant, unless a test changes it

	mu         sync.Mutex
	open       int                       // connections open or being opened
	idle       map[core.Instance][]*conn // ordered by last use, the most recent last
	idleLimits *idleLimits               // nil: idle limits are not learned
	connCounts map[core.Instance]int     // connections open or being opened, by instance

	pendingMu sync.Mutex
	pending   map[core.Instance]map[*pendingAttempt]struct{} // attempts that have not been written yet
}

// conn is a connection to a server.
type conn struct {
	net.Conn
	reader    *bufio.Reader
	readLimit int // bytes that may still be read for the present response
	instance  core.Instance
	idleSince time.Time

	dialTime     time.Duration // how long connecting took
	idleTime     time.Duration // how long it was idle before its present request, 0: it is new
	keepAlive    time.Duration // how long the server says that it keeps the connection idle, 0: not stated
	gotMisrouted bool          // a response to another request arrived on it
	returned     bool          // no attempt has it; guarded by the mutex of the pool
}

// Read reads at most as much as the present response may still contain.
func (c *conn) Read(b []byte) (int, error) {
	if c.readLimit <= 0 {
		return 0, errResponseTooLong
	}
	n, err := c.Conn.Read(b[:min(len(b), c.readLimit)])
	c.readLimit -= n
	return n, err
}

// allowLongBody lets the present response be as long as any may be, with its framing.
func (c *conn) allowLongBody() {
	c.readLimit = maxHeadBytes + chunkOverheadFactor*message.MaxBodyBytes
}

var errConnLimit = errors.New("connection limit reached")

// acquire returns an idle connection to an instance, or a new one.
func (p *Pool) acquire(ctx context.Context, instance core.Instance) (*conn, error) {
	for {
		c, usable := p.popIdle(instance)
		if c == nil {
			break
		}
		// A connection that the server has closed would accept the request and lose it. A failure
		// that is safe to retry would become a Reset, which an unsafe class cannot retry.
		if usable && c.nothingReceived() {
			p.count.Add("conn.reused")
			return c, nil
		}
		p.put(c, false)
	}
	if !p.reserveSlot(instance) {
		return nil, errConnLimit
	}
	began := time.Now()
	nc, err := p.dial(ctx, "tcp", instance.Endpoint)
	if err != nil {
		p.releaseSlot(instance)
		return nil, err
	}
	p.count.Add("conn.opened")
	c := &conn{Conn: nc, instance: instance, dialTime: time.Since(began)}
	c.reader = bufio.NewReaderSize(c, 4096)
	return c, nil
}

// maxIdleTime returns how long c may have been idle and still be used now. The caller holds p.mu.
func (p *Pool) maxIdleTime(c *conn, now time.Time) time.Duration {
	limit := p.opt.IdleTimeout
	if c.keepAlive > 0 {
		limit = min(limit, max(c.keepAlive-keepAliveMargin, c.keepAlive/2))
	}
	if p.idleLimits == nil {
		return limit
	}
	return min(limit, p.idleLimits.maxIdle(c.instance, now))
}

// recordBreak learns from an attempt that failed with err on c, the given time after its request
// was written.
func (p *Pool) recordBreak(c *conn, err error, elapsed time.Duration) {
	if p.idleLimits == nil || !isImmediateReset(c, err, elapsed) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleTime == 0 {
		p.idleLimits.recordFreshReset(c.instance, time.Now())
		return
	}
	p.count.Add("conn.forgotten")
	p.idleLimits.recordStaleReset(c.instance, c.idleTime, time.Now())
}

// popIdle removes an idle connection to an instance from the pool and reports whether it may still be
// used. As long as there is no sign that servers drop idle connections, it takes the one that was
// idle longest, so that all connections of a past burst stay in use. Otherwise it takes the one
// that was used last.
func (p *Pool) popIdle(instance core.Instance) (c *conn, usable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, now := p.idle[instance], time.Now()
	ready := slices.IndexFunc(list, func(c *conn) bool { return now.Sub(c.idleSince) < p.reuseDelay })
	if ready < 0 {
		ready = len(list) // all have been idle for the reuse delay
	}
	if ready == 0 {
		return nil, false
	}
	i := ready - 1
	if p.idleLimits != nil && p.idleLimits.maxIdle(instance, now) >= p.opt.IdleTimeout {
		i = 0
	}
	c = list[i]
	c.returned = false
	p.idle[instance] = slices.Delete(list, i, i+1)
	c.idleTime = now.Sub(c.idleSince)
	return c, c.idleTime < p.maxIdleTime(c, now)
}

// reserveSlot reserves a slot for a new connection to an instance and reports whether there is one. If
// a limit is reached, the connection that was idle longest is closed to make room: one to the same
// instance if the limit is that of the instance.
func (p *Pool) reserveSlot(instance core.Instance) bool {
	p.mu.Lock()
	oldest, reserved := (*conn)(nil), true
	switch {
	case p.atInstanceLimit(instance):
		oldest = p.popOldestOf(instance)
		reserved = oldest != nil
	case p.open >= p.opt.MaxConns:
		oldest = p.popOldest()
		reserved = oldest != nil
	}
	if oldest != nil {
		p.freeSlotLocked(oldest.instance) // the new connection takes its slot
	}
	if reserved {
		p.open++
		p.connCounts[instance]++
	}
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	if !reserved {
		p.count.Add("conn.limit")
	}
	return reserved
}

// atInstanceLimit reports whether an instance has reached its connection limit. The caller holds p.mu.
func (p *Pool) atInstanceLimit(instance core.Instance) bool {
	if p.opt.MaxConnsPerInstance == nil {
		return false
	}
	limit := p.opt.MaxConnsPerInstance(instance)
	return limit > 0 && p.connCounts[instance] >= limit
}

// SetMaxConns changes the limit of open connections. It closes idle connections beyond the limit,
// those that were idle longest first.
func (p *Pool) SetMaxConns(limit int) {
	p.mu.Lock()
	p.opt.MaxConns = limit
	var excess []*conn
	for n := p.open - limit; n > 0; n-- {
		oldest := p.popOldest()
		if oldest == nil {
			break
		}
		excess = append(excess, oldest)
	}
	p.mu.Unlock()
	p.closeAll(excess)
}

// popOldest removes the connection that was idle longest. The caller holds p.mu.
func (p *Pool) popOldest() *conn {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return nil
	}
	return p.popOldestOf(oldest.instance)
}

// popOldestOf removes the connection to an instance that was idle longest. The caller holds p.mu.
func (p *Pool) popOldestOf(instance core.Instance) *conn {
	list := p.idle[instance]
	if len(list) == 0 {
		return nil
	}
	p.idle[instance] = list[1:]
	return list[0]
}

// releaseSlot returns the slot of a connection to an instance.
func (p *Pool) releaseSlot(instance core.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeSlotLocked(instance)
}

// freeSlotLocked returns the slot of a connection to an instance. The caller holds p.mu.
func (p *Pool) freeSlotLocked(instance core.Instance) {
	p.open--
	if p.connCounts[instance]--; p.connCounts[instance] == 0 {
		delete(p.connCounts, instance)
	}
}

// put returns the connection of an attempt to the pool, once. It closes the connection unless it is
// reusable.
func (p *Pool) put(c *conn, reusable bool) {
	if !p.markReturned(c) {
		p.count.Add("conn.returned-twice")
		p.log.Error("upstream: connection returned twice", logging.Backend, c.instance.ID)
		return
	}
	if !reusable {
		c.Close()
		p.releaseSlot(c.instance)
		return
	}
	c.SetDeadline(time.Time{}) // remove the deadlines of a long body
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.instance] = append(p.idle[c.instance], c)
}

// markReturned takes a connection from its attempt. It returns false if no attempt has it.
func (p *Pool) markReturned(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !c.returned
	c.returned = true
	return first
}

// CloseIdle closes the idle connections to an instance without blocking.
func (p *Pool) CloseIdle(instance core.Instance) {
	p.mu.Lock()
	list := p.idle[instance]
	delete(p.idle, instance)
	p.mu.Unlock()
	if len(list) > 0 {
		go p.closeAll(list)
	}
}

// closeAll closes connections that were removed from the idle ones.
func (p *Pool) closeAll(list []*conn) {
	for _, c := range list {
		c.Close()
		p.releaseSlot(c.instance)
	}
}

// ReapIdle closes idle connections whose idle time is over, well before the servers would close
// them. It returns when quit is closed.
func (p *Pool) ReapIdle(quit <-chan struct{}) {
	ticker := time.NewTicker(max(p.opt.IdleTimeout/10, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-quit:
			return
		case now := <-ticker.C:
			p.closeAll(p.removeExpired(now))
		}
	}
}

// removeExpired removes the idle connections whose idle time is over, and returns them.
func (p *Pool) removeExpired(now time.Time) (expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for instance, list := range p.idle {
		kept := list[:0:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= p.maxIdleTime(c, now) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if p.idle[instance] = kept; len(kept) == 0 {
			delete(p.idle, instance)
		}
	}
	return expired
}

// nothingReceived reports whether an idle connection has received neither bytes, which would
// belong to no request, and no close.
func (c *conn) nothingReceived() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		nothing = err == syscall.EAGAIN
		return true
	})
	return err == nil && nothing
}
