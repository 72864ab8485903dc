package peers

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"oakseam/internal/gossip"
	"oakseam/internal/logging"
	"oakseam/internal/membership"
)

// tickInterval is how often Tick is called.
const tickInterval = 50 * time.Millisecond

// listenRetryInterval is the pause before another attempt to open an address in use.
const listenRetryInterval = 250 * time.Millisecond

// Options configure a node's part in its fleet.
type Options struct {
	Addrs  []string // of all nodes by number, as this node reaches them; all differ
	Number int      // of this node
	Budget float64  // bytes per second that this node may send
	Rng    *rand.Rand
}

// Peers runs a node's part in its fleet.
type Peers struct {
	options      Options
	log          *slog.Logger
	numberByAddr map[string]int
	mu           sync.Mutex
	engine       *Engine
	start        time.Time
}

// New returns Peers that do not communicate before Run.
func New(o Options, log *slog.Logger) *Peers {
	p := &Peers{options: o, log: log, numberByAddr: map[string]int{}, engine: NewEngine(o.Number, len(o.Addrs), o.Budget, o.Rng), start: time.Now()}
	for n, a := range o.Addrs {
		p.numberByAddr[a] = n
	}
	return p
}

// Run communicates until ctx ends, over the transport that listen opens. While another process
// holds the address, such as the one being replaced, it retries. No request ever waits for it.
func (p *Peers) Run(ctx context.Context, listen func() (gossip.Transport, error)) {
	t, err := listen()
	for tries := 1; err != nil; tries++ {
		if tries&(tries-1) == 0 {
			p.log.Warn("peers: cannot listen yet", "tries", tries, logging.Cause, err)
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
			if n, ok := p.numberByAddr[from]; ok && err == nil { // datagrams of unlisted addresses are dropped
				p.runAndSend(t, func(e *Engine, now time.Duration) []Datagram { return e.HandleDatagram(now, n, payload) })
			}
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	lastStates := map[membership.ID]membership.State{}
	for {
		select {
		case <-ctx.Done():
			if err := t.Close(); err != nil {
				p.log.Warn("peers: cannot close the transport", logging.Cause, err)
			}
			<-read
			return
		case <-ticker.C:
			p.runAndSend(t, func(e *Engine, now time.Duration) []Datagram { return e.Tick(now) })
			p.mu.Lock()
			changes := p.engine.Changes(lastStates)
			p.mu.Unlock()
			for _, c := range changes {
				p.log.Info("peer", "number", c.Number, "state", StateName(c.State), "was", StateName(c.Previous), "incarnation", c.Incarnation)
			}
		}
	}
}

// runAndSend runs a step of the engine and sends the resulting datagrams. A datagram that
// cannot be sent is lost like any other.
func (p *Peers) runAndSend(t gossip.Transport, step func(*Engine, time.Duration) []Datagram) {
	p.mu.Lock()
	out := step(p.engine, time.Since(p.start))
	p.mu.Unlock()
	for _, d := range out {
		if err := t.Send(p.options.Addrs[d.To], d.Payload); err != nil && !errors.Is(err, gossip.ErrClosed) {
			p.log.Warn("peers: cannot send a datagram", logging.Cause, err)
		}
	}
}
