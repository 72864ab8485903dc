package fakes

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Frontend is a fake connection-level load balancer. Clients connect to its address only. It
// forwards each connection to one node, where it stays until either side closes it. The caller of
// Dial chooses the node, because the choice is part of the emulator's model.
type Frontend struct {
	Addr     string
	listener net.Listener

	mu          sync.Mutex
	assignments map[string]chan assignment // for new connections, by client address
	open        map[net.Conn]struct{}
	closed      bool
}

// assignTimeout limits how long a connection waits for its assignment to a node.
const assignTimeout = 5 * time.Second

var errAssignTimeout = errors.New("connection was not forwarded to a node in time")

// assignment says to which node a connection goes, and reports whether that node was reached.
type assignment struct {
	address  string
	deadline time.Time
	result   chan<- error
}

// NewFrontend listens on a free port of the host, which must be in 127.0.0.0/8, until Close.
func NewFrontend(host string) (*Frontend, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	f := &Frontend{Addr: l.Addr().String(), listener: l, assignments: map[string]chan assignment{}, open: map[net.Conn]struct{}{}}
	go accept(l, func(c *net.TCPConn) { go f.serve(c) })
	return f, nil
}

// Close closes the listener and all forwarded connections.
func (f *Frontend) Close() {
	f.listener.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for c := range f.open {
		c.Close()
	}
}

// Dial connects to the load balancer, which forwards the connection to a node's address. It fails
// if that address can't be reached; then no node has received a byte.
func (f *Frontend) Dial(address string, deadline time.Time) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", f.Addr, time.Until(deadline))
	if err != nil {
		return nil, err
	}
	result := make(chan error, 1)
	f.assignmentFor(c.LocalAddr()) <- assignment{address, deadline, result}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case err = <-result:
	case <-timeout.C:
		err = &net.OpError{Op: "dial", Net: "tcp", Addr: c.RemoteAddr(), Err: errAssignTimeout}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// assignmentFor returns the channel that passes a connection's assignment from Dial to serve.
// Either side may ask first.
func (f *Frontend) assignmentFor(client net.Addr) chan assignment {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := client.String()
	if f.assignments[key] == nil {
		f.assignments[key] = make(chan assignment, 1)
	}
	return f.assignments[key]
}

func (f *Frontend) serve(client *net.TCPConn) {
	defer client.Close()
	if !f.track(client) {
		return
	}
	defer f.untrack(client)
	var a assignment
	select {
	case a = <-f.assignmentFor(client.RemoteAddr()):
	case <-time.After(assignTimeout): // the connection wasn't opened by Dial
	}
	f.mu.Lock()
	delete(f.assignments, client.RemoteAddr().String())
	f.mu.Unlock()
	if a.result == nil {
		return
	}
	c, err := net.DialTimeout("tcp", a.address, time.Until(a.deadline))
	if err == nil && !f.track(c) {
		c.Close()
		err = net.ErrClosed
	}
	a.result <- err
	if err != nil {
		return
	}
	defer f.untrack(c)
	defer c.Close()
	node := c.(*net.TCPConn)
	done := make(chan struct{})
	go func() {
		defer close(done)
		forward(node, client)
	}()
	forward(client, node)
	<-done
}

// forward copies from one connection to the other until either ends, and closes both. A reset is
// passed on as a reset.
func forward(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		to.SetLinger(0)
		from.SetLinger(0)
	}
	to.Close()
	from.Close()
}

// track records an open connection. It returns false if the load balancer is closed.
func (f *Frontend) track(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.closed {
		f.open[c] = struct{}{}
	}
	return !f.closed
}

func (f *Frontend) untrack(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}
