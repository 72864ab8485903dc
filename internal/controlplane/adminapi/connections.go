package adminapi

import (
	"net"
	"sync"
)

// boundedListener limits the number of open connections. More connections wait in the
// listener's queue until one is closed.
type boundedListener struct {
	net.Listener
	slots  chan struct{} // one element for each open connection
	closed chan struct{}
	once   sync.Once
}

func newBoundedListener(listener net.Listener, maxConnections int) *boundedListener {
	return &boundedListener{
		Listener: listener,
		slots:    make(chan struct{}, maxConnections),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a free slot, then for a connection.
func (b *boundedListener) Accept() (net.Conn, error) {
	select {
	case b.slots <- struct{}{}:
	case <-b.closed:
		return nil, net.ErrClosed
	}
	accepted, err := b.Listener.Accept()
	if err != nil {
		b.release()
		return nil, err
	}
	return &boundedConn{Conn: accepted, release: sync.OnceFunc(b.release)}, nil
}

// Close ends pending calls of Accept.
func (b *boundedListener) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}

func (b *boundedListener) release() { <-b.slots }

// boundedConn is a connection that frees its slot when it is closed.
type boundedConn struct {
	net.Conn
	release func()
}

// Close closes the connection. It may be called more than once.
func (p *boundedConn) Close() error {
	err := p.Conn.Close()
	p.release()
	return err
}

// CloseWrite closes the write half, so that net/http lets a client read the response before it
// closes the connection.
func (p *boundedConn) CloseWrite() error {
	if half, ok := p.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
