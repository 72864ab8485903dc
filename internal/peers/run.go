package peers

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"pipitmux/internal/gossip"
	"pipitmux/internal/logging"
	"pipitmux/internal/member"
)

// tick is how often what is due is looked at.
const tickInterval = 50 * time.Millisecond

// listenAgain is how long a taken address is left alone.
const listenRetryInterval = 250 * time.Millisecond

// Options are what a node is told of its fleet.
type Options struct {
	Addrs  []string // of all nodes in the order of their numbers, as this one reaches them; all differ
	Number int      // this one's
	Budget float64  // bytes a second that it may send
	Rng    *rand.Rand
}

// Peers is a node's part in its fleet, running.
type Peers struct {
	options      Options
	log          *slog.Logger
	numberByAddr map[string]int
	mu           sync.Mutex
	engine       *Engine
	start        time.Time
}

// New returns that of a node that has yet to talk.
func New(o Options, log *slog.Logger) *Peers {
	p := &Peers{options: o, log: log, numberByAddr: map[string]int{}, engine: NewEngine(o.Number, len(o.Addrs), o.Budget, o.Rng), start: time.Now()}
	for n, a := range o.Addrs {
		p.numberByAddr[a] = n
	}
	return p
}

// Run talks until ctx ends, over what listen opens. While another process has the address, as
// the one that this one replaces, it tries again. Nothing of a req ever waits for it.
func (p *Peers) Run(ctx context.Context, listen func() (gossip.Transport, error)) {
	t, err := listen()
	for tries := 1; err != nil; tries++ {
		if tries&(tries-1) == 0 {
			p.log.Warn("peers: no address yet", "tries", tries, logging.Cause, err)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listenRetryInterval):
		}
		t, err = listen()
	}
	read := make(chan struct{})
	go func() {
		defer close(read)
		for {
			from, payload, err := t.Receive()
			if errors.Is(err, gossip.ErrClosed) {
				return
			}
			if n, ok := p.numberByAddr[from]; ok && err == nil { // who is not in the list is nobody
				p.runAndSend(t, func(c *Engine, now time.Duration) []Datagram { return c.HandleDatagram(now, n, payload) })
			}
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastStates := map[member.ID]member.State{}
	for {
		select {
		case <-ctx.Done():
			if err := t.Close(); err != nil {
				p.log.Warn("peers: closing", logging.Cause, err)
			}
			<-read
			return
		case <-ticker.C:
			p.runAndSend(t, func(c *Engine, now time.Duration) []Datagram { return c.Tick(now) })
			p.mu.Lock()
			changes := p.engine.Changes(lastStates)
			p.mu.Unlock()
			for _, c := range changes {
				p.log.Info("peer", "number", c.Number, "state", StateName(c.State), "was", StateName(c.Previous), "incarnation", c.Incarnation)
			}
		}
	}
}

// do has the circle do something and sends what comes of it. A datagram that can't be sent is
// lost like any other.
func (p *Peers) runAndSend(t gossip.Transport, what func(*Engine, time.Duration) []Datagram) {
	p.mu.Lock()
	out := what(p.engine, time.Since(p.start))
	p.mu.Unlock()
	for _, d := range out {
		if err := t.Send(p.options.Addrs[d.To], d.Payload); err != nil && !errors.Is(err, gossip.ErrClosed) {
			p.log.Warn("peers: not sent", logging.Cause, err)
		}
	}
}
