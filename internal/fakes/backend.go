// Package fakes provides fakes of what a node talks to on loopback: backends,
// the registry, the load balancer that spreads clients over nodes, and the network
// between nodes. It also runs the node itself as a process. Tests and the lab share
// it. A fake does what it is told and reports what it saw. It knows nothing of how
// nodes decide, and checks nothing.
package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Request is a request that a backend received, with the number of the connection it came on, from 1.
type Request struct {
	*http.Request
	Body string
	Conn int
}

// Script writes the response to a request. It returns false to close the connection.
type Script func(c *net.TCPConn, r Request) bool

// Backend is a fake backend that answers each request with a script.
type Backend struct {
	Addr     string
	Requests chan Request
	Opened   atomic.Int64
	Closed   atomic.Int64 // connections that the node closed
	listener net.Listener
}

// NewBackend runs a backend on a free port of 127.0.0.1 until Close. It also sends each request
// to Requests, whose buffer holds 1000.
func NewBackend(script Script) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Addr: l.Addr().String(), Requests: make(chan Request, 1000), listener: l}
	go accept(l, func(c *net.TCPConn) { go b.serve(c, int(b.Opened.Add(1)), script) })
	return b, nil
}

// accept calls handle for each new connection until the listener is closed.
func accept(l net.Listener, handle func(*net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		handle(c.(*net.TCPConn))
	}
}

// Close closes the listener. Open connections stay open.
func (b *Backend) Close() { b.listener.Close() }

func (b *Backend) serve(c *net.TCPConn, number int, script Script) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			b.Closed.Add(1)
			return
		}
		body, _ := io.ReadAll(r.Body)
		seen := Request{r, string(body), number}
		b.Requests <- seen
		if !script(c, seen) {
			return
		}
	}
}

// WriteResponse writes a response and returns true. Each line of header ends with CRLF.
func WriteResponse(c *net.TCPConn, status int, header, body string) bool {
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return true
}

// OK answers with status 200 and a load report.
func OK(c *net.TCPConn, _ Request) bool {
	return WriteResponse(c, 200, "X-Backend-Load: inflight=7,queue=2\r\n", "done")
}

// NoResponse writes nothing and keeps the connection open.
func NoResponse(*net.TCPConn, Request) bool { return true }

// ResetConnection resets the connection after the whole request was read.
func ResetConnection(c *net.TCPConn, _ Request) bool { c.SetLinger(0); return false }

// EndlessResponse writes first, and then again repeatedly until the node closes the connection.
func EndlessResponse(first, again string) Script {
	return func(c *net.TCPConn, _ Request) bool {
		text := strings.Repeat(again, 1000)
		for _, err := io.WriteString(c, first); err == nil; {
			_, err = io.WriteString(c, text)
		}
		return false
	}
}

// Machine is a listening address whose machine can become unreachable, lose its process and
// come back. Each connection is passed to serve in its own goroutine.
type Machine struct {
	Addr        string
	reservation *ReservedAddress
	serve       func(net.Conn)

	mu          sync.Mutex
	listener    *net.TCPListener
	conns       map[net.Conn]struct{}
	queueFiller []net.Conn    // fill the accept queue of an unreachable machine
	blackholed  chan struct{} // not nil while the machine is unreachable; closed when that ends
	closed      bool
}

// NewMachine listens on a free port of the host, which must be in 127.0.0.0/8.
func NewMachine(host string, serve func(net.Conn)) (*Machine, error) {
	reservation, err := ReserveAddress(host)
	if err != nil {
		return nil, err
	}
	m := &Machine{Addr: reservation.Addr, reservation: reservation, serve: serve, conns: map[net.Conn]struct{}{}}
	if err := m.Up(); err != nil {
		reservation.Close()
		return nil, err
	}
	return m, nil
}

// Up makes the machine's process listen again after Down or Blackhole.
func (m *Machine) Up() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.listener != nil && m.blackholed == nil {
		return nil
	}
	m.reset()
	l, err := listenShortQueue(m.Addr)
	if err != nil {
		return err
	}
	m.listener = l
	go m.accept(l)
	return nil
}

func (m *Machine) accept(l *net.TCPListener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		blackholed := m.blackholed
		if m.closed || m.listener != l {
			m.mu.Unlock()
			c.Close()
			continue
		}
		if blackholed != nil { // the machine became unreachable while this connection was being accepted
			m.queueFiller = append(m.queueFiller, c)
			m.mu.Unlock()
			<-blackholed
			continue
		}
		m.conns[c] = struct{}{}
		m.mu.Unlock()
		go func() {
			defer func() {
				m.mu.Lock()
				delete(m.conns, c)
				m.mu.Unlock()
				c.Close()
			}()
			m.serve(c)
		}()
	}
}

// Blackhole makes the machine unreachable. Open connections stay open, and serve must send nothing
// on them. New connections are not established: the machine stops accepting, and Blackhole fills
// the short accept queue.
func (m *Machine) Blackhole() {
	m.mu.Lock()
	if m.listener == nil || m.blackholed != nil || m.closed {
		m.mu.Unlock()
		return
	}
	m.blackholed = make(chan struct{})
	addr := m.Addr
	m.mu.Unlock()
	for range backlog + 4 {
		c, err := net.DialTimeout("tcp", addr, fillTimeout)
		if err != nil {
			return // the queue is full
		}
		m.mu.Lock()
		m.queueFiller = append(m.queueFiller, c)
		m.mu.Unlock()
	}
}

// Down ends the machine's process: connections are reset and new ones refused.
func (m *Machine) Down() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reset()
}

// Close ends the machine's process for good and releases the address.
func (m *Machine) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.reset()
	m.reservation.Close()
}

// reset closes the listener and resets all connections. The caller holds mu.
func (m *Machine) reset() {
	if m.listener != nil {
		shutdownListener(m.listener)
		m.listener = nil
	}
	if m.blackholed != nil {
		close(m.blackholed)
		m.blackholed = nil
	}
	for _, c := range m.queueFiller {
		c.Close()
	}
	m.queueFiller = nil
	for c := range m.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	clear(m.conns)
}
