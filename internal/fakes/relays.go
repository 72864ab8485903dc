package fakes

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relays forward datagrams between the nodes of a fleet and inject faults. There is one relay for
// each ordered pair of nodes: the sender sends to its address, and the receiver gets the datagrams
// from the address of the relay for the opposite direction, so that it can answer. Relays lose,
// delay and duplicate datagrams, and can cut a path in one direction.
type Relays struct {
	mu        sync.Mutex
	rng       *rand.Rand
	delivery  func(from, to, length int) []time.Duration
	nodes     []*net.UDPAddr   // where each node listens
	sockets   [][]*net.UDPConn // by sender, then receiver
	forwarded map[[2]int]int   // number of datagrams, by sender and receiver
	running   sync.WaitGroup
}

// NewRelays starts the relays of nodes that listen on the given addresses.
func NewRelays(nodes []string, seed uint64) (*Relays, error) {
	r := &Relays{rng: rand.New(rand.NewPCG(seed, 5)), forwarded: map[[2]int]int{}}
	r.SetFaults(0, nil)
	for _, n := range nodes {
		address, err := net.ResolveUDPAddr("udp4", n)
		if err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, address)
	}
	for range nodes {
		row := make([]*net.UDPConn, len(nodes))
		r.sockets = append(r.sockets, row)
		for to := range nodes {
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				r.Close()
				return nil, err
			}
			row[to] = c
		}
	}
	for from := range nodes {
		for to := range nodes {
			r.running.Add(1)
			go r.forward(from, to)
		}
	}
	return r, nil
}

// Peers returns the addresses at which a node reaches each node, itself included, in their order.
func (r *Relays) Peers(from int) (addresses []string) {
	for _, c := range r.sockets[from] {
		addresses = append(addresses, c.LocalAddr().String())
	}
	return addresses
}

// SetFaults sets the share of datagrams that is lost, and which paths are cut. A nil cut cuts none.
func (r *Relays) SetFaults(loss float64, cut func(from, to int) bool) {
	r.SetDelivery(func(from, to, _ int) []time.Duration {
		if r.rng.Float64() < loss || cut != nil && cut(from, to) {
			return nil
		}
		return []time.Duration{0}
	})
}

// SetDelivery sets the function that decides about each datagram. It returns the delay of each copy
// that is delivered; without one, the datagram is lost. It is called by one goroutine at a time.
func (r *Relays) SetDelivery(delivery func(from, to, length int) []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delivery = delivery
}

// maxDatagramBytes limits what a relay reads of a datagram.
const maxDatagramBytes = 2048

// forward reads the datagrams of one path and delivers them.
func (r *Relays) forward(from, to int) {
	defer r.running.Done()
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := r.sockets[from][to].ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.mu.Lock()
		copies := r.delivery(from, to, n)
		if len(copies) > 0 {
			r.forwarded[[2]int{from, to}]++
		}
		r.mu.Unlock()
		for _, delay := range copies {
			datagram := bytes.Clone(buf[:n])
			deliver := func() { r.sockets[to][from].WriteToUDP(datagram, r.nodes[to]) } // a datagram that can't be sent is lost
			if delay > 0 {
				time.AfterFunc(delay, deliver)
			} else {
				deliver()
			}
		}
	}
}

// Forwarded returns how many datagrams were forwarded from one node to another.
func (r *Relays) Forwarded(from, to int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.forwarded[[2]int{from, to}]
}

// Close stops the relays.
func (r *Relays) Close() {
	for _, row := range r.sockets {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	r.running.Wait()
}
