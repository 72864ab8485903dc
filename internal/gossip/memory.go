package gossip

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"
)

// memoryQueue is how many datagrams wait unread at most.
const memoryQueue = 256

// Network is a network in memory. Its faults apply to what is sent from then on.
type Network struct {
	mu    sync.Mutex
	ports map[string]*Memory
	rng   *rand.Rand
	loss  float64 // parts of the datagrams: lost,
	twice float64 // delivered twice,
	swap  float64 // held back until the next one to the same receiver
	fate  Fate    // in place of those parts
	after func(time.Duration, func())
}

// Fate is what becomes of a datagram: how long each of its copies takes; none: it is lost.
type Fate func(from, to string) []time.Duration

// NewNetwork returns one without faults, whose chances are drawn from the source.
func NewNetwork(rng *rand.Rand) *Network {
	return &Network{ports: map[string]*Memory{}, rng: rng}
}

// Fault sets the parts of datagrams that are lost, come twice and change places.
func (n *Network) Fault(loss, twice, swap float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.twice, n.swap = loss, twice, swap
}

// Pace has datagrams take their time by a clock of the caller's, virtual or not: after calls
// back when one comes. Both are called under the network's lock.
func (n *Network) Pace(fate Fate, after func(time.Duration, func())) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fate, n.after = fate, after
}

// Listen returns the Transport of an address, in place of a closed one's.
func (n *Network) Listen(addr string) *Memory { return n.ListenFunc(addr, nil) }

// ListenFunc is Listen for a network with a clock: what comes is told in place of being received.
func (n *Network) ListenFunc(addr string, heard func(from string, datagram []byte)) *Memory {
	n.mu.Lock()
	defer n.mu.Unlock()
	m := &Memory{net: n, addr: addr, heard: heard, in: make(chan packet, memoryQueue), over: make(chan struct{})}
	n.ports[addr] = m
	return m
}

// arrive delivers a datagram to who has the address by now.
func (n *Network) arrive(to string, p packet) {
	n.mu.Lock()
	there := n.ports[to]
	n.mu.Unlock()
	if there != nil {
		there.put(p)
	}
}

type packet struct {
	from string
	text []byte
}

// Memory is the Transport on a Network.
type Memory struct {
	net   *Network
	addr  string
	heard func(from string, datagram []byte)
	in    chan packet
	held  []packet // changing places, under the network's lock
	over  chan struct{}
	once  sync.Once
}

// Addr implements Transport.
func (m *Memory) Addr() string { return m.addr }

// Send implements Transport.
func (m *Memory) Send(to string, datagram []byte) error {
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
	if n.fate != nil {
		for _, d := range n.fate(m.addr, to) {
			p := packet{m.addr, bytes.Clone(datagram)}
			n.after(d, func() { n.arrive(to, p) })
		}
		return nil
	}
	there := n.ports[to]
	if there == nil || n.rng.Float64() < n.loss {
		return nil
	}
	p := packet{m.addr, bytes.Clone(datagram)}
	if n.rng.Float64() < n.swap && len(there.held) < memoryQueue {
		there.held = append(there.held, p)
		return nil
	}
	if n.rng.Float64() < n.twice {
		there.put(packet{p.from, bytes.Clone(p.text)})
	}
	there.put(p) // its bytes are the receiver's from here on
	for _, h := range there.held {
		there.put(h)
	}
	there.held = there.held[:0]
	return nil
}

func (m *Memory) put(p packet) {
	if m.heard != nil {
		m.heard(p.from, p.text)
		return
	}
	select {
	case m.in <- p:
	default: // a slow reader's loss
	}
}

// Receive implements Transport.
func (m *Memory) Receive() (string, []byte, error) {
	if m.closed() {
		return "", nil, ErrClosed
	}
	select {
	case p := <-m.in:
		return p.from, p.text, nil
	case <-m.over:
		return "", nil, ErrClosed
	}
}

func (m *Memory) closed() bool {
	select {
	case <-m.over:
		return true
	default:
		return false
	}
}

// Close implements Transport.
func (m *Memory) Close() error {
	m.once.Do(func() {
		close(m.over)
		m.net.mu.Lock()
		defer m.net.mu.Unlock()
		if m.net.ports[m.addr] == m {
			delete(m.net.ports, m.addr)
		}
	})
	return nil
}
