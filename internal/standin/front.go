package standin

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Frontend stands before the nodes: clients connect to its address alone, and it
// passes each connection on to one node, where it stays until either side ends
// it. To which node is told by whoever dials: the front's choice is a model's.
type Frontend struct {
	Addr string
	l    net.Listener

	mu    sync.Mutex
	deals map[string]chan deal // of the connections that come, by their far end
	open  map[net.Conn]struct{}
	over  bool
}

// dealWithin is how long a connection may wait to be dealt out.
const dealWithin = 5 * time.Second

var errLate = errors.New("not dealt out in time")

type deal struct {
	to     string
	until  time.Time
	result chan<- error
}

// NewFrontend listens on a free port of the host, of 127.0.0.0/8, until Close.
func NewFrontend(host string) (*Frontend, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	f := &Frontend{Addr: l.Addr().String(), l: l, deals: map[string]chan deal{}, open: map[net.Conn]struct{}{}}
	go accept(l, func(c *net.TCPConn) { go f.serve(c) })
	return f, nil
}

// Close ends it and the connections that it holds.
func (f *Frontend) Close() {
	f.l.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over = true
	for c := range f.open {
		c.Close()
	}
}

// Dial connects to the front, which deals the connection to a node's address. It
// fails where the front can't reach that, and then no node has seen a byte.
func (f *Frontend) Dial(to string, until time.Time) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", f.Addr, time.Until(until))
	if err != nil {
		return nil, err
	}
	result := make(chan error, 1)
	f.deal(c.LocalAddr()) <- deal{to, until, result}
	late := time.NewTimer(time.Until(until))
	defer late.Stop()
	select {
	case err = <-result:
	case <-late.C:
		err = &net.OpError{Op: "dial", Net: "tcp", Addr: c.RemoteAddr(), Err: errLate}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// deal is where the dealing of a connection is passed: either end may come first.
func (f *Frontend) deal(client net.Addr) chan deal {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := client.String()
	if f.deals[k] == nil {
		f.deals[k] = make(chan deal, 1)
	}
	return f.deals[k]
}

func (f *Frontend) serve(client *net.TCPConn) {
	defer client.Close()
	if !f.keep(client) {
		return
	}
	defer f.forget(client)
	var d deal
	select {
	case d = <-f.deal(client.RemoteAddr()):
	case <-time.After(dealWithin): // not one of Dial's
	}
	f.mu.Lock()
	delete(f.deals, client.RemoteAddr().String())
	f.mu.Unlock()
	if d.result == nil {
		return
	}
	c, err := net.DialTimeout("tcp", d.to, time.Until(d.until))
	if err == nil && !f.keep(c) {
		c.Close()
		err = net.ErrClosed
	}
	d.result <- err
	if err != nil {
		return
	}
	defer f.forget(c)
	defer c.Close()
	node := c.(*net.TCPConn)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		pass(node, client)
	}()
	pass(client, node)
	<-ended
}

// pass hands on what comes until an end, and ends both: a reset stays a reset.
func pass(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		to.SetLinger(0)
		from.SetLinger(0)
	}
	to.Close()
	from.Close()
}

func (f *Frontend) keep(c net.Conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.over {
		f.open[c] = struct{}{}
	}
	return !f.over
}

func (f *Frontend) forget(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, c)
}
