package replica_test

import (
	"time"

	"pipitmux/internal/barograph/replica"
)

// link is one direction between two nodes.
type link struct{ from, to replica.NodeID }

// network carries messages, unless it loses, doubles or holds them up.
type network struct {
	world  *world
	cuts   map[link]bool
	loss   float64
	double float64
	slow   float64 // share of messages held up for long, so that others overtake them
}

func (n *network) clear() {
	n.loss, n.double, n.slow = 0, 0, 0
	clear(n.cuts)
}

// send takes a message on its way.
func (n *network) send(m replica.Message) {
	if n.cuts[link{m.From, m.To}] || n.world.Chance(n.loss) {
		return
	}
	n.carry(m)
	if n.world.Chance(n.double) {
		n.carry(m)
	}
}

func (n *network) carry(m replica.Message) {
	delay := n.world.Between(200*time.Microsecond, n.world.delay)
	if n.world.Chance(n.slow) {
		delay += n.world.Between(0, 3*simulatedTiming.Election)
	}
	n.world.After(delay, func() {
		if n.cuts[link{m.From, m.To}] || int(m.To) > len(n.world.nodes) {
			return
		}
		receiver := n.world.node(m.To)
		receiver.act(func() { receiver.replica.Step(receiver.clock(), m) })
	})
}

func (n *network) cutBoth(a, b replica.NodeID) {
	n.cuts[link{a, b}] = true
	n.cuts[link{b, a}] = true
}
