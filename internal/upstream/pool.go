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

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
)

// restFor is how long a connection rests before it is used again. A server that answers
// twice does so within some milliseconds: what came meanwhile is seen before the next request is
// written, and is not taken for its answer.
const restFor = 10 * time.Millisecond

// Pool holds the connections to all servers. Idle ones are kept by place, so
// that none to an earlier process of a server is used for its successor.
type Pool struct {
	codec Codec
	opt   Options
	count *counters.Set
	log   *slog.Logger
	dial  func(ctx context.Context, network, addr string) (net.Conn, error)

	restFor time.Duration

	mu   sync.Mutex
	open int                       // connections open or opening
	idle map[core.Instance][]*conn // the latest used last
	rest *restLimits               // nil: nothing is learned of it
	at   map[core.Instance]int     // connections open or opening, by place

	gatesMu sync.Mutex
	gates   map[core.Instance]map[*gate]struct{} // of attempts that have not begun
}

type conn struct {
	net.Conn
	in    *bufio.Reader
	left  int // bytes that may still be read of the present answer
	place core.Instance
	since time.Time // idle since

	dialed time.Duration // how long it took to come up
	rested time.Duration // before its present request, 0: it is new
	keep   time.Duration // how long its server keeps it idle, 0: it doesn't say
	stray  bool          // an answer to another request came on it
}

// Read reads what the present answer may still bring.
func (c *conn) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooMuch
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

var errNoSockets = errors.New("no socket left for a connection")

// take returns an idle connection to the place, or a new one.
func (p *Pool) take(ctx context.Context, at core.Instance) (*conn, error) {
	for {
		c, fresh := p.pop(at)
		if c == nil {
			break
		}
		// A connection that the server has closed would take the request and lose it: a
		// harmless failure would turn into a Reset, which an unsafe class can't repeat.
		if fresh && c.quiet() {
			p.count.Add("conn.reused")
			return c, nil
		}
		p.give(c, false)
	}
	if !p.reserve(at) {
		return nil, errNoSockets
	}
	begun := time.Now()
	nc, err := p.dial(ctx, "tcp", at.Endpoint)
	if err != nil {
		p.release(at)
		return nil, err
	}
	p.count.Add("conn.opened")
	c := &conn{Conn: nc, place: at, dialed: time.Since(begun)}
	c.in = bufio.NewReaderSize(c, 4096)
	return c, nil
}

// mayRest is how long an idle connection may have rested and be used by now; p.mu is held.
func (p *Pool) mayRest(c *conn, now time.Time) time.Duration {
	most := p.opt.IdleTimeout
	if c.keep > 0 {
		most = min(most, max(c.keep-statedSlack, c.keep/2))
	}
	if p.rest == nil {
		return most
	}
	return min(most, p.rest.allowed(c.place, now))
}

// broke learns from an attempt that broke on a connection after being out for so long.
func (p *Pool) broke(c *conn, err error, out time.Duration) {
	if p.rest == nil || !resetAtOnce(c, err, out) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.rested == 0 {
		p.rest.reset(c.place, time.Now())
		return
	}
	p.count.Add("conn.forgotten")
	p.rest.forgotten(c.place, c.rested, time.Now())
}

// pop takes an idle connection to a place, and tells whether it may still be used. Where nothing
// says that servers forget connections, it is the one that rested longest, so that all that a
// burst left stay in use; else the one that was used last.
func (p *Pool) pop(at core.Instance) (c *conn, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, now := p.idle[at], time.Now()
	rested := slices.IndexFunc(list, func(c *conn) bool { return now.Sub(c.since) < p.restFor })
	if rested < 0 {
		rested = len(list) // none is too young
	}
	if rested == 0 {
		return nil, false
	}
	i := rested - 1
	if p.rest != nil && p.rest.allowed(at, now) >= p.opt.IdleTimeout {
		i = 0
	}
	c = list[i]
	p.idle[at] = slices.Delete(list, i, i+1)
	c.rested = now.Sub(c.since)
	return c, c.rested < p.mayRest(c, now)
}

// reserve books a socket; where none is left, the longest idle connection goes, to the same
// place where that has its most.
func (p *Pool) reserve(at core.Instance) bool {
	p.mu.Lock()
	oldest, booked := (*conn)(nil), true
	switch {
	case p.full(at):
		oldest = p.popFirst(at)
		booked = oldest != nil
	case p.open >= p.opt.MaxConns:
		oldest = p.popOldest()
		booked = oldest != nil
	}
	if oldest != nil {
		p.unbook(oldest.place) // its socket is the one booked
	}
	if booked {
		p.open++
		p.at[at]++
	}
	p.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	if !booked {
		p.count.Add("conn.limit")
	}
	return booked
}

// full tells whether a place has its most connections; p.mu is held.
func (p *Pool) full(at core.Instance) bool {
	if p.opt.MaxConnsPerPlace == nil {
		return false
	}
	most := p.opt.MaxConnsPerPlace(at)
	return most > 0 && p.at[at] >= most
}

// SetMaxConns changes how many connections may be open. The longest idle over it are closed.
func (p *Pool) SetMaxConns(most int) {
	p.mu.Lock()
	p.opt.MaxConns = most
	var over []*conn
	for n := p.open - most; n > 0; n-- {
		oldest := p.popOldest()
		if oldest == nil {
			break
		}
		over = append(over, oldest)
	}
	p.mu.Unlock()
	p.closeAll(over)
}

// popOldest takes the longest idle connection; p.mu is held.
func (p *Pool) popOldest() *conn {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].since.Before(oldest.since)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return nil
	}
	return p.popFirst(oldest.place)
}

// popFirst takes the longest idle connection to a place; p.mu is held.
func (p *Pool) popFirst(at core.Instance) *conn {
	list := p.idle[at]
	if len(list) == 0 {
		return nil
	}
	p.idle[at] = list[1:]
	return list[0]
}

func (p *Pool) release(at core.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unbook(at)
}

// unbook gives a socket back; p.mu is held.
func (p *Pool) unbook(at core.Instance) {
	p.open--
	if p.at[at]--; p.at[at] == 0 {
		delete(p.at, at)
	}
}

// give takes a connection back: to be used again, or to be closed.
func (p *Pool) give(c *conn, reusable bool) {
	if !reusable {
		c.Close()
		p.release(c.place)
		return
	}
	c.SetDeadline(time.Time{}) // what bounded a long body
	c.since = time.Now()
	p.mu.Lock()
	p.idle[c.place] = append(p.idle[c.place], c)
	p.mu.Unlock()
}

// CloseIdle closes the idle connections to a place. It does not block.
func (p *Pool) CloseIdle(at core.Instance) {
	p.mu.Lock()
	list := p.idle[at]
	delete(p.idle, at)
	p.mu.Unlock()
	if len(list) > 0 {
		go p.closeAll(list)
	}
}

func (p *Pool) closeAll(list []*conn) {
	for _, c := range list {
		p.give(c, false)
	}
}

// ReapIdle closes idle connections clearly before the servers would, until quit is closed.
func (p *Pool) ReapIdle(quit <-chan struct{}) {
	tick := time.NewTicker(max(p.opt.IdleTimeout/10, time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-quit:
			return
		case now := <-tick.C:
			p.closeAll(p.stale(now))
		}
	}
}

func (p *Pool) stale(now time.Time) (old []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for at, list := range p.idle {
		keep := list[:0:0]
		for _, c := range list {
			if now.Sub(c.since) >= p.mayRest(c, now) {
				old = append(old, c)
			} else {
				keep = append(keep, c)
			}
		}
		if p.idle[at] = keep; len(keep) == 0 {
			delete(p.idle, at)
		}
	}
	return old
}

// quiet tells whether nothing has come on an idle connection: no bytes, which
// would belong to no request, and no close.
func (c *conn) quiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
