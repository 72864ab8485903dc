package rpc

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// peer is the state of a Pool for one address.
type peer struct {
	address string
	options *Options

	mu        sync.Mutex
	forgotten bool
	current   *connection
	dialing   *dial         // dial in progress, shared by all callers; nil if none
	failure   error         // error of the last dial, if it failed
	backoff   time.Duration // backoff after the next failure
	retryAt   time.Time     // calls before this time fail without a dial
}

// dial is one dial, shared by callers. Its result is set when done is closed.
type dial struct {
	done       chan struct{}
	connection *connection
	err        error
}

// connect returns the current connection or waits for a dial.
func (p *peer) connect(ctx context.Context) (*connection, error) {
	current, dialing, err := p.connectionOrDial()
	if current != nil || err != nil {
		return current, err
	}
	select {
	case <-dialing.done:
		return dialing.connection, dialing.err
	case <-ctx.Done():
		return nil, &UnreachableError{Address: p.address, Cause: ctx.Err()}
	}
}

// connectionOrDial returns the connection if it is usable, otherwise the dial to wait
// for, which it starts if necessary.
func (p *peer) connectionOrDial() (*connection, *dial, error) {
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
	if p.dialing != nil {
		return nil, p.dialing, nil
	}
	if p.forgotten {
		return nil, nil, &UnreachableError{Address: p.address, Cause: ErrForgotten}
	}
	if now.Before(p.retryAt) {
		return nil, nil, &UnreachableError{Address: p.address, Cause: errors.Join(ErrBackoff, p.failure)}
	}
	p.dialing = &dial{done: make(chan struct{})}
	go p.dial(p.dialing)
	return nil, p.dialing, nil
}

// dial dials and notifies all waiting callers. Only the dial timeout bounds it,
// because the caller that started it may give up.
func (p *peer) dial(dialing *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.DialTimeout)
	defer cancel()
	defer close(dialing.done)
	socket, err := p.open(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	if err == nil && p.forgotten {
		_ = socket.Close()
		err = ErrForgotten
	}
	if err != nil {
		p.recordFailure(err)
		dialing.err = &UnreachableError{Address: p.address, Cause: err}
		return
	}
	p.backoff, p.failure = 0, nil
	p.current = newConnection(p.address, socket, p.options)
	dialing.connection = p.current
}

// open connects and waits for the server's greeting.
func (p *peer) open(ctx context.Context) (net.Conn, error) {
	socket, err := p.options.Dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	if err := readGreeting(ctx, socket); err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "greeting")
	}
	return socket, nil
}

// readGreeting reads the greeting and clears the read deadline.
func readGreeting(ctx context.Context, socket net.Conn) error {
	deadline, _ := ctx.Deadline()
	if err := socket.SetReadDeadline(deadline); err != nil {
		return err
	}
	var received [len(greeting)]byte
	if _, err := io.ReadFull(socket, received[:]); err != nil {
		return err
	}
	if string(received[:]) != greeting {
		return ErrMalformed
	}
	return socket.SetReadDeadline(time.Time{})
}

// recordFailure records a failed dial and the time of the next one. p.mu must be
// held.
func (p *peer) recordFailure(err error) {
	if p.backoff == 0 {
		p.backoff = p.options.InitialBackoff
	}
	p.failure = err
	p.retryAt = p.options.Now().Add(p.backoff)
	p.backoff = min(2*p.backoff, p.options.MaxBackoff)
}

// forget closes the connection, including one that is being dialed.
func (p *peer) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgotten = true
	if p.current != nil {
		p.current.close(ErrForgotten)
	}
}
