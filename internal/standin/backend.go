// Package standin plays the parties that a node talks to on loopback: backends,
// the registry, clients and the front that deals them out, and it runs the node
// itself as a process. Tests and the lab share it. A stand-in does what it is
// told and tells what it saw; it knows nothing of how nodes decide, and judges
// nothing.
package standin

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

// Request is what a backend was sent, on which of its connections, from 1.
type Request struct {
	*http.Request
	Body string
	Conn int
}

// Script answers a request by writing the answer's bytes. A connection that it
// returns false for is closed.
type Script func(c *net.TCPConn, r Request) bool

// Backend answers each request by a script.
type Backend struct {
	Addr     string
	Requests chan Request
	Opened   atomic.Int64
	Closed   atomic.Int64 // connections that the node has ended
	l        net.Listener
}

// NewBackend runs a backend on a free port of 127.0.0.1 until Close. Requests are
// also put into Seen, which takes a thousand.
func NewBackend(script Script) (*Backend, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Backend{Addr: l.Addr().String(), Requests: make(chan Request, 1000), l: l}
	go accept(l, func(c *net.TCPConn) { go b.talk(c, int(b.Opened.Add(1)), script) })
	return b, nil
}

// accept hands over each connection, until the listener ends.
func accept(l net.Listener, each func(*net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		each(c.(*net.TCPConn))
	}
}

// Close ends the listener; what is open stays so.
func (b *Backend) Close() { b.l.Close() }

func (b *Backend) talk(c *net.TCPConn, no int, script Script) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			b.Closed.Add(1)
			return
		}
		body, _ := io.ReadAll(r.Body)
		seen := Request{r, string(body), no}
		b.Requests <- seen
		if !script(c, seen) {
			return
		}
	}
}

// WriteResponse writes an answer; the header is whole lines, each with its CRLF.
func WriteResponse(c *net.TCPConn, status int, header, body string) bool {
	fmt.Fprintf(c, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return true
}

// OK serves the request, with a load report.
func OK(c *net.TCPConn, _ Request) bool {
	return WriteResponse(c, 200, "X-Backend-Load: inflight=7,queue=2\r\n", "done")
}

// NoResponse says nothing and keeps the connection.
func NoResponse(*net.TCPConn, Request) bool { return true }

// ResetConnection resets the connection with the request read whole.
func ResetConnection(c *net.TCPConn, _ Request) bool { c.SetLinger(0); return false }

// EndlessResponse writes a text again and again until the node ends the connection.
func EndlessResponse(first, again string) Script {
	return func(c *net.TCPConn, _ Request) bool {
		text := strings.Repeat(again, 1000)
		for _, err := io.WriteString(c, first); err == nil; {
			_, err = io.WriteString(c, text)
		}
		return false
	}
}

// Machine is a listening address whose machine can vanish, lose its process and
// come back. Connections are handed to serve, each in a goroutine of its own.
type Machine struct {
	Addr  string
	held  *ReservedAddress
	serve func(net.Conn)

	mu    sync.Mutex
	l     *net.TCPListener
	conns map[net.Conn]struct{}
	stuff []net.Conn // fill the accept queue of a silent machine
	gate  chan struct{}
	over  bool
}

// NewMachine listens on a free port of the host, which must be of 127.0.0.0/8.
func NewMachine(host string, serve func(net.Conn)) (*Machine, error) {
	held, err := ReserveAddress(host)
	if err != nil {
		return nil, err
	}
	m := &Machine{Addr: held.Addr, held: held, serve: serve, conns: map[net.Conn]struct{}{}}
	if err := m.Up(); err != nil {
		held.Close()
		return nil, err
	}
	return m, nil
}

// Up has its process listen, anew where it was down or silent.
func (m *Machine) Up() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.over || m.l != nil && m.gate == nil {
		return nil
	}
	m.drop()
	l, err := listenShort(m.Addr)
	if err != nil {
		return err
	}
	m.l = l
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
		gate := m.gate
		if m.over || m.l != l {
			m.mu.Unlock()
			c.Close()
			continue
		}
		if gate != nil { // it vanished while this one came up: nobody is there
			m.stuff = append(m.stuff, c)
			m.mu.Unlock()
			<-gate
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

// Blackhole makes the machine silent: what is open stays open and says nothing,
// which is up to serve, and new connections do not come up. For that, it takes
// none any more and fills the short queue of those that wait to be taken.
func (m *Machine) Blackhole() {
	m.mu.Lock()
	if m.l == nil || m.gate != nil || m.over {
		m.mu.Unlock()
		return
	}
	m.gate = make(chan struct{})
	addr := m.Addr
	m.mu.Unlock()
	for range backlog + 4 {
		c, err := net.DialTimeout("tcp", addr, fillWithin)
		if err != nil {
			return // the queue is full
		}
		m.mu.Lock()
		m.stuff = append(m.stuff, c)
		m.mu.Unlock()
	}
}

// Down ends its process: connections are reset, new ones refused.
func (m *Machine) Down() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.drop()
}

// Close is Down for good.
func (m *Machine) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.over = true
	m.drop()
	m.held.Close()
}

func (m *Machine) drop() {
	if m.l != nil {
		unlisten(m.l)
		m.l = nil
	}
	if m.gate != nil {
		close(m.gate)
		m.gate = nil
	}
	for _, c := range m.stuff {
		c.Close()
	}
	m.stuff = nil
	for c := range m.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
	clear(m.conns)
}
