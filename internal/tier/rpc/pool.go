package rpc

import (
	"context"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Options configure a Pool. Zero fields get the defaults given beside them.
type Options struct {
	DialTimeout        time.Duration // 400 ms, including the greeting
	InitialBackoff     time.Duration // 50 ms after a failed dial; doubles with each further failure
	MaxBackoff         time.Duration // 400 ms
	StaleAfter         time.Duration // 1.2 s; a connection silent for longer with calls in progress is replaced
	MaxUnused          time.Duration // 40 s; a connection unused for longer is replaced; must be less than Limits.IdleTimeout
	CallsPerConnection int           // 256; further calls wait
	MessageBytes       int           // 64 MiB, in both directions; see Limits

	// Now returns the current time; time.Now by default.
	Now func() time.Time
	// Dial connects to an address; TCP by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, 400*time.Millisecond)
	setDefault(&o.InitialBackoff, 50*time.Millisecond)
	setDefault(&o.MaxBackoff, 400*time.Millisecond)
	setDefault(&o.StaleAfter, 1200*time.Millisecond)
	setDefault(&o.MaxUnused, 40*time.Second)
	setDefault(&o.CallsPerConnection, 256)
	setDefault(&o.MessageBytes, 64<<20)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Dial == nil {
		dialer := &net.Dialer{Control: setUserTimeout, KeepAliveConfig: keepAlive}
		o.Dial = dialer.DialContext
	}
	return o
}

// Pool calls the services of Servers over one connection per address. It is safe
// for concurrent use.
type Pool struct {
	options Options

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer
}

// NewPool returns a Pool. It dials on demand.
func NewPool(options Options) *Pool {
	return &Pool{options: options.withDefaults(), peers: make(map[string]*peer)}
}

// Call calls Name.Method of the Server at host:port and stores the result in the
// value that reply points to. A nil reply discards the result. If Call fails,
// reply is unchanged. Call does not read args after it has returned.
//
// Errors: an *UnreachableError, which matches ErrUnreachable, if the call was
// never written; an *UncertainError if it was written and the connection failed,
// the reply could not be decoded or ctx ended first; a *RemoteError if the
// service returned an error; any other error if the call cannot be encoded.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	if reply != nil && !isPointer(reply) {
		return errors.Wrap(ErrReplyType, method)
	}
	err := p.callOnce(ctx, address, method, args, reply)
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && unreachable.connectionLost && ctx.Err() == nil {
		return p.callOnce(ctx, address, method, args, reply)
	}
	return err
}

// callOnce calls once, over the current connection or a new one.
func (p *Pool) callOnce(ctx context.Context, address, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return &UnreachableError{Address: address, Cause: err}
	}
	peer, err := p.peer(address)
	if err != nil {
		return err
	}
	connection, err := peer.connect(ctx)
	if err != nil {
		return err
	}
	return connection.call(ctx, method, args, reply)
}

// isPointer reports whether reply is a non-nil pointer.
func isPointer(reply any) bool {
	pointer := reflect.ValueOf(reply)
	return pointer.Kind() == reflect.Pointer && !pointer.IsNil()
}

// Forget closes the connection to an address and discards its state. Calls in
// progress there fail.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	peer := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if peer != nil {
		peer.forget()
	}
}

// Close forgets all addresses. Later calls fail.
func (p *Pool) Close() {
	p.mu.Lock()
	peers := p.peers
	p.peers = nil
	p.closed = true
	p.mu.Unlock()
	for _, peer := range peers {
		peer.forget()
	}
}

// peer returns the state of an address and creates it if necessary.
func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &UnreachableError{Address: address, Cause: ErrForgotten}
	}
	if known := p.peers[address]; known != nil {
		return known, nil
	}
	added := &peer{address: address, options: &p.options}
	p.peers[address] = added
	return added, nil
}
