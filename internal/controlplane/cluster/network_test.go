package cluster

import (
	"context"
	"net"
	"sync"
	"time"

	"oakseam/internal/wait"
)

// link is one direction between two nodes, by their addresses.
type link struct{ from, to string }

// network carries the connections that nodes open to each other. A cut link is silent: it holds
// what is sent back until the link is whole again, and connections across it don't open.
type network struct {
	closed context.Context

	mu      sync.Mutex
	cut     map[link]bool
	changed chan struct{} // closed at the next change of cut
	delay   time.Duration // of everything that is sent
}

// newNetwork returns a network without cuts that carries until closed ends.
func newNetwork(closed context.Context) *network {
	return &network{closed: closed, cut: map[link]bool{}, changed: make(chan struct{})}
}

// separate cuts the links between the two sides in both directions.
func (n *network) separate(side, other []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, from := range side {
		for _, to := range other {
			n.cut[link{from, to}], n.cut[link{to, from}] = true, true
		}
	}
	n.announceLocked()
}

// replaceFaults makes these links the only ones that are cut, and delays all that is sent.
func (n *network) replaceFaults(cut []link, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	for _, l := range cut {
		n.cut[l] = true
	}
	n.delay = delay
	n.announceLocked()
}

// heal makes all links whole.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.announceLocked()
}

func (n *network) announceLocked() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// awaitWhole waits until a link is whole.
func (n *network) awaitWhole(ctx context.Context, l link) error {
	for {
		n.mu.Lock()
		cut, changed := n.cut[l], n.changed
		n.mu.Unlock()
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-n.closed.Done():
			return n.closed.Err()
		}
	}
}

// dialFrom returns how the node with an address connects to others.
func (n *network) dialFrom(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, protocol, to string) (net.Conn, error) {
		return n.dial(ctx, protocol, link{from, to}, to)
	}
}

// dial connects to an endpoint of the node at the end of a link.
func (n *network) dial(ctx context.Context, protocol string, there link, endpoint string) (net.Conn, error) {
	back := link{there.to, there.from}
	for _, l := range []link{there, back} {
		if err := n.awaitWhole(ctx, l); err != nil {
			return nil, err
		}
	}
	var dialer net.Dialer
	remote, err := dialer.DialContext(ctx, protocol, endpoint)
	if err != nil {
		return nil, err
	}
	local, carried := net.Pipe()
	go n.carry(there, carried, remote)
	go n.carry(back, remote, carried)
	return local, nil
}

// currentDelay returns the delay of what is sent now.
func (n *network) currentDelay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay
}

// carry passes bytes on, and the end of the connection after them, while the link is whole.
func (n *network) carry(l link, from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 64<<10)
	for {
		count, readErr := from.Read(buffer)
		if delay := n.currentDelay(); delay > 0 {
			wait.For(n.closed, delay)
		}
		if n.awaitWhole(n.closed, l) != nil {
			return
		}
		if _, err := to.Write(buffer[:count]); err != nil || readErr != nil {
			return
		}
	}
}
