package standin

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Relays stand between the nodes of a fleet: one for each ordered pair, at whose address the
// first reaches the second, and from which the second hears of the first. They lose datagrams,
// hold them up, double them and cut one way.
type Relays struct {
	mu     sync.Mutex
	rng    *rand.Rand
	fate   func(from, to, length int) []time.Duration
	nodes  []*net.UDPAddr   // where each node listens
	pairs  [][]*net.UDPConn // by who sends, then by whom to
	passed map[[2]int]int   // datagrams, by the same
	ended  sync.WaitGroup
}

// NewRelays opens those of nodes that listen at the addresses.
func NewRelays(nodes []string, seed uint64) (*Relays, error) {
	r := &Relays{rng: rand.New(rand.NewPCG(seed, 5)), passed: map[[2]int]int{}}
	r.SetFaults(0, nil)
	for _, n := range nodes {
		at, err := net.ResolveUDPAddr("udp4", n)
		if err != nil {
			return nil, err
		}
		r.nodes = append(r.nodes, at)
	}
	for range nodes {
		row := make([]*net.UDPConn, len(nodes))
		r.pairs = append(r.pairs, row)
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
			r.ended.Add(1)
			go r.carry(from, to)
		}
	}
	return r, nil
}

// Peers returns the addresses at which the node of a number reaches each of all.
func (r *Relays) Peers(from int) (out []string) {
	for _, c := range r.pairs[from] {
		out = append(out, c.LocalAddr().String())
	}
	return out
}

// SetFaults sets the part of datagrams that is lost, and who is not heard by whom; nil: all are.
func (r *Relays) SetFaults(loss float64, cut func(from, to int) bool) {
	r.SetDelivery(func(from, to, _ int) []time.Duration {
		if r.rng.Float64() < loss || cut != nil && cut(from, to) {
			return nil
		}
		return []time.Duration{0}
	})
}

// SetDelivery sets what becomes of a datagram: how long each of its copies takes; none: it is lost.
// It is asked by one goroutine at a time.
func (r *Relays) SetDelivery(fate func(from, to, length int) []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fate = fate
}

// relayBuffer is the most bytes that a relay reads of a datagram.
const relayBuffer = 2048

func (r *Relays) carry(from, to int) {
	defer r.ended.Done()
	buf := make([]byte, relayBuffer)
	for {
		n, _, err := r.pairs[from][to].ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.mu.Lock()
		copies := r.fate(from, to, n)
		if len(copies) > 0 {
			r.passed[[2]int{from, to}]++
		}
		r.mu.Unlock()
		for _, d := range copies {
			text := bytes.Clone(buf[:n])
			pass := func() { r.pairs[to][from].WriteToUDP(text, r.nodes[to]) } // one that can't be sent is lost
			if d > 0 {
				time.AfterFunc(d, pass)
			} else {
				pass()
			}
		}
	}
}

// Forwarded is how many datagrams went from one to another.
func (r *Relays) Forwarded(from, to int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.passed[[2]int{from, to}]
}

// Close ends them.
func (r *Relays) Close() {
	for _, row := range r.pairs {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
	r.ended.Wait()
}
