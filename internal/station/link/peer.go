package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// peer is what a Pool knows of an address.
type peer struct {
	address string
	options *Options

	mu        sync.Mutex
	forgotten bool
	current   *connection
	dialling  *dial         // under way, for all callers; nil if none is
	failure   error         // of the last dial, if it failed
	backoff   time.Duration // after the next failure
	retryAt   time.Time     // until then callers fail without a dial
}

// dial is one dial, which callers share. Its result is set once done closes.
type dial struct {
	done       chan struct{}
	connection *connection
	err        error
}

// connect returns the connection there is, or waits for a dial.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	current, dialling, err := p.look()
	if current != nil || err != nil {
		return current, err
	}
	select {
	case <-dialling.done:
		return dialling.connection, dialling.err
	case <-ctx.Done():
		return nil, &UnreachableError{Address: p.address, Cause: ctx.Err()}
	}
}

// look returns the connection if it is of use, or else the dial to wait for,
// which it starts if need be.
func (p *peer) look() (*connection, *dial, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.options.Now()
	if p.current != nil && p.current.usable(now) {
		return p.current, nil, nil
	}
	if p.current != nil {
		p.current.retire()
		p.current = nil
	}
	if p.dialling != nil {
		return nil, p.dialling, nil
	}
	if p.forgotten {
		return nil, nil, &UnreachableError{Address: p.address, Cause: ErrForgotten}
	}
	if now.Before(p.retryAt) {
		return nil, nil, &UnreachableError{Address: p.address, Cause: errors.Join(ErrBackoff, p.failure)}
	}
	p.dialling = &dial{done: make(chan struct{})}
	go p.dial(p.dialling)
	return nil, p.dialling, nil
}

// dial dials, and tells all that wait. It is bounded by the dial timeout alone:
// the caller that started it may leave.
func (p *peer) dial(dialling *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.DialTimeout)
	defer cancel()
	defer close(dialling.done)
	socket, err := p.open(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = nil
	if err == nil && p.forgotten {
		_ = socket.Close()
		err = ErrForgotten
	}
	if err != nil {
		p.failed(err)
		dialling.err = &UnreachableError{Address: p.address, Cause: err}
		return
	}
	p.backoff, p.failure = 0, nil
	p.current = newConnection(p.address, socket, p.options)
	dialling.connection = p.current
}

// open connects and waits for the server's greeting.
func (p *peer) open(ctx context.Context) (net.Conn, error) {
	socket, err := p.options.Dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if err := greeted(ctx, socket); err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "greeting")
	}
	return socket, nil
}

// greeted reads the greeting, and leaves the socket without a deadline.
func greeted(ctx context.Context, socket net.Conn) error {
	deadline, _ := ctx.Deadline()
	if err := socket.SetReadDeadline(deadline); err != nil {
		return err
	}
	var got [len(greeting)]byte
	if _, err := io.ReadFull(socket, got[:]); err != nil {
		return err
	}
	if string(got[:]) != greeting {
		return ErrMalformed
	}
	return socket.SetReadDeadline(time.Time{})
}

// failed notes a failed dial and when to dial again. The lock is held.
func (p *peer) failed(err error) {
	if p.backoff == 0 {
		p.backoff = p.options.InitialBackoff
	}
	p.failure = err
	p.retryAt = p.options.Now().Add(p.backoff)
	p.backoff = min(2*p.backoff, p.options.MaxBackoff)
}

// forget closes the connection, also one that is being dialled.
func (p *peer) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgotten = true
	if p.current != nil {
		p.current.end(ErrForgotten)
	}
}
