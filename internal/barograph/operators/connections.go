package operators

import (
	"net"
	"sync"
)

// bounded accepts no more than a number of connections at once. Others wait in the
// listener's queue until one is closed.
type boundedListener struct {
	net.Listener
	slots  chan struct{} // one element for each open connection
	closed chan struct{}
	once   sync.Once
}

func newBoundedListener(listener net.Listener, most int) *boundedListener {
	return &boundedListener{
		Listener: listener,
		slots:    make(chan struct{}, most),
		closed:   make(chan struct{}),
	}
}

// Accept waits for a place, then for a connection.
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

// Close ends each Accept.
func (b *boundedListener) Close() error {
	b.once.Do(func() { close(b.closed) })
	return b.Listener.Close()
}

func (b *boundedListener) release() { <-b.slots }

// placed is a connection that gives its place free when it is closed.
type boundedConn struct {
	net.Conn
	release func()
}

// Close closes the connection, once or more often.
func (p *boundedConn) Close() error {
	err := p.Conn.Close()
	p.release()
	return err
}

// CloseWrite ends the connection's one half, so that net/http can let a client read an
// answer before it closes the other.
func (p *boundedConn) CloseWrite() error {
	if half, ok := p.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
