package gossip

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"
)

// maxUnread is the maximum number of unread datagrams; further ones are dropped.
const maxUnread = 256

// MemoryNetwork is an in-memory datagram network. Changed faults apply to datagrams sent later.
type MemoryNetwork struct {
	mu         sync.Mutex
	transports map[string]*MemoryTransport
	rng        *rand.Rand
	loss       float64      // share of datagrams that are lost
	duplicate  float64      // share delivered twice
	reorder    float64      // share held back until the next datagram to the same receiver
	delivery   DeliveryFunc // replaces the three shares if set
	schedule   func(time.Duration, func())
}

// DeliveryFunc returns the delay of each copy of a datagram; no delays mean that it is lost.
type DeliveryFunc func(from, to string) []time.Duration

// NewMemoryNetwork returns a network without faults. The source decides on faults set later.
func NewMemoryNetwork(rng *rand.Rand) *MemoryNetwork {
	return &MemoryNetwork{transports: map[string]*MemoryTransport{}, rng: rng}
}

// SetFaults sets the shares of datagrams that are lost, duplicated and reordered.
func (n *MemoryNetwork) SetFaults(loss, duplicate, reorder float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.duplicate, n.reorder = loss, duplicate, reorder
}

// SetDelivery delays datagrams by a clock of the caller, real or virtual: schedule calls a
// function after a delay. Both functions are called with the network's lock held.
func (n *MemoryNetwork) SetDelivery(delivery DeliveryFunc, schedule func(time.Duration, func())) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delivery, n.schedule = delivery, schedule
}

// Listen returns the transport of an address and replaces a closed one.
func (n *MemoryNetwork) Listen(addr string) *MemoryTransport { return n.ListenFunc(addr, nil) }

// ListenFunc is Listen for a network with a clock: datagrams go to the handler instead of Receive.
func (n *MemoryNetwork) ListenFunc(addr string, handler func(from string, datagram []byte)) *MemoryTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &MemoryTransport{net: n, addr: addr, handler: handler, inbox: make(chan packet, maxUnread), done: make(chan struct{})}
	n.transports[addr] = m
	return m
}

// deliver hands a datagram to the transport that has the address at this moment.
func (n *MemoryNetwork) deliver(to string, p packet) {
	n.mu.Lock()
	receiver := n.transports[to]
	n.mu.Unlock()
	if receiver != nil {
		receiver.enqueue(p)
	}
}

type packet struct {
	from    string
	payload []byte
}

// MemoryTransport is the Transport on a MemoryNetwork.
type MemoryTransport struct {
	net       *MemoryNetwork
	addr      string
	handler   func(from string, datagram []byte)
	inbox     chan packet
	reordered []packet // held back for reordering, under the network's lock
	done      chan struct{}
	once      sync.Once
}

// Addr implements Transport.
func (m *MemoryTransport) Addr() string { return m.addr }

// Send implements Transport.
func (m *MemoryTransport) Send(to string, datagram []byte) error {
	switch {
	case m.closed():
		return ErrClosed
	case len(datagram) > MaxDatagram:
		return ErrTooLong
	case len(datagram) == 0:
		return nil
	}
	n := m.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delivery != nil {
		for _, d := range n.delivery(m.addr, to) {
			p := packet{m.addr, bytes.Clone(datagram)}
			n.schedule(d, func() { n.deliver(to, p) })
		}
		return nil
	}
	receiver := n.transports[to]
	if receiver == nil || n.rng.Float64() < n.loss {
		return nil
	}
	p := packet{m.addr, bytes.Clone(datagram)}
	if n.rng.Float64() < n.reorder && len(receiver.reordered) < maxUnread {
		receiver.reordered = append(receiver.reordered, p)
		return nil
	}
	if n.rng.Float64() < n.duplicate {
		receiver.enqueue(packet{p.from, bytes.Clone(p.payload)})
	}
	receiver.enqueue(p) // the receiver owns the bytes from here on
	for _, h := range receiver.reordered {
		receiver.enqueue(h)
	}
	receiver.reordered = receiver.reordered[:0]
	return nil
}

func (m *MemoryTransport) enqueue(p packet) {
	if m.handler != nil {
		m.handler(p.from, p.payload)
		return
	}
	select {
	case m.inbox <- p:
	default: // the reader is slow: dropped
	}
}

// Receive implements Transport.
func (m *MemoryTransport) Receive() (string, []byte, error) {
	if m.closed() {
		return "", nil, ErrClosed
	}
	select {
	case p := <-m.inbox:
		return p.from, p.payload, nil
	case <-m.done:
		return "", nil, ErrClosed
	}
}

func (m *MemoryTransport) closed() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// Close implements Transport.
func (m *MemoryTransport) Close() error {
	m.once.Do(func() {
		close(m.done)
		m.net.mu.Lock()
		defer m.net.mu.Unlock()
		if m.net.transports[m.addr] == m {
			delete(m.net.transports, m.addr)
		}
	})
	return nil
}
