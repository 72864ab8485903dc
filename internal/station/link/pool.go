package link

import (
	"context"
	"net"
	"reflect"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Options are a Pool's. A zero field has the default that stands beside it.
type Options struct {
	DialTimeout        time.Duration // 400 ms, with the greeting
	InitialBackoff     time.Duration // 50 ms after a failed dial, then doubling
	MaxBackoff         time.Duration // 400 ms
	StaleAfter         time.Duration // 1.2 s of silence with calls under way
	MaxUnused          time.Duration // 40 s; an older connection isn't used again; under Limits.Idle
	CallsPerConnection int           // 256; further callers wait
	MessageBytes       int           // 64 MiB, either way; see Limits

	// Now reads the time; time.Now by default.
	Now func() time.Time
	// Dial connects to an address; over TCP by default.
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
		dialer := &net.Dialer{Control: setUserTimeout, KeepAliveConfig: probes}
		o.Dial = dialer.DialContext
	}
	return o
}

// Pool calls the services of Servers, over one connection for each address. It
// is safe for concurrent use.
type Pool struct {
	options Options

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer
}

// NewPool returns a Pool. It dials as calls need it.
func NewPool(options Options) *Pool {
	return &Pool{options: options.withDefaults(), peers: make(map[string]*peer)}
}

// Call calls Name.Method of the Server at host:port and writes its answer to
// what reply points to, or reads over it where reply is nil. Where Call fails,
// reply is as it was. Args are read before Call returns and not after.
//
// Errors: ErrUnreachable (in an *UnreachableError) where the call was never
// written; *UncertainError where it was, and the connection broke, the answer
// couldn't be read or ctx ended first; *RemoteError where the service answered
// with an error; any other where the call can't be written as it is.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	if reply != nil && !writable(reply) {
		return errors.Wrap(ErrReplyType, method)
	}
	err := p.try(ctx, address, method, args, reply)
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) && unreachable.broke && ctx.Err() == nil {
		return p.try(ctx, address, method, args, reply)
	}
	return err
}

// try calls once, over the connection there is or a new one.
func (p *Pool) try(ctx context.Context, address, method string, args, reply any) error {
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

// writable tells whether a reply can be written to.
func writable(reply any) bool {
	pointer := reflect.ValueOf(reply)
	return pointer.Kind() == reflect.Pointer && !pointer.IsNil()
}

// Forget closes the connection to an address and forgets what is known of it.
// Calls under way there fail.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	peer := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if peer != nil {
		peer.forget()
	}
}

// Close forgets all addresses; later calls fail.
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

// peer finds or makes what is known of an address.
func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &UnreachableError{Address: address, Cause: ErrForgotten}
	}
	if known := p.peers[address]; known != nil {
		return known, nil
	}
	fresh := &peer{address: address, options: &p.options}
	p.peers[address] = fresh
	return fresh, nil
}
