package gossip

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"
)

// memoryQueue is how many datagrams wait unread at most.
const maxUnread = 256

// Network is a network in memory. Its faults apply to what is sent from then on.
type MemoryNetwork struct {
	mu         sync.Mutex
	transports map[string]*MemoryTransport
	rng        *rand.Rand
	loss       float64      // parts of the datagrams: lost,
	duplicate  float64      // delivered twice,
	reorder    float64      // held back until the next one to the same receiver
	delivery   DeliveryFunc // in place of those parts
	schedule   func(time.Duration, func())
}

// Fate is what becomes of a datagram: how long each of its copies takes; none: it is lost.
type DeliveryFunc func(from, to string) []time.Duration

// NewNetwork returns one without faults, whose chances are drawn from the source.
func NewMemoryNetwork(rng *rand.Rand) *MemoryNetwork {
	return &MemoryNetwork{transports: map[string]*MemoryTransport{}, rng: rng}
}

// Fault sets the parts of datagrams that are lost, come twice and change places.
func (n *MemoryNetwork) SetFaults(loss, duplicate, reorder float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.duplicate, n.reorder = loss, duplicate, reorder
}

// Pace has datagrams take their time by a clock of the caller's, virtual or not: after calls
// back when one comes. Both are called under the network's lock.
func (n *MemoryNetwork) SetDelivery(delivery DeliveryFunc, schedule func(time.Duration, func())) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delivery, n.schedule = delivery, schedule
}

// Listen returns the Transport of an address, in place of a closed one's.
func (n *MemoryNetwork) Listen(addr string) *MemoryTransport { return n.ListenFunc(addr, nil) }

// ListenFunc is Listen for a network with a clock: what comes is told in place of being received.
func (n *MemoryNetwork) ListenFunc(addr string, handler func(from string, datagram []byte)) *MemoryTransport {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &MemoryTransport{net: n, addr: addr, handler: handler, inbox: make(chan packet, maxUnread), done: make(chan struct{})}
	n.transports[addr] = m
	return m
}

// arrive delivers a datagram to who has the address by now.
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

// Memory is the Transport on a Network.
type MemoryTransport struct {
	net       *MemoryNetwork
	addr      string
	handler   func(from string, datagram []byte)
	inbox     chan packet
	reordered []packet // changing places, under the network's lock
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
	receiver.enqueue(p) // its bytes are the receiver's from here on
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
	default: // a slow reader's loss
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
