package replica_test

import (
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/virtualclock"
)

// link is one direction between two nodes.
type link struct{ from, to replica.NodeID }

// network delivers messages and may lose, duplicate or delay them.
type network struct {
	simulation *simulation
	cuts       map[link]bool
	quality    virtualclock.Quality // delayed messages are overtaken by others
}

func (n *network) clear() {
	n.quality = virtualclock.Quality{}
	clear(n.cuts)
}

// cut cuts the link in one direction.
func (n *network) cut(from, to replica.NodeID) { n.cuts[link{from, to}] = true }

// send sends a message unless it gets lost.
func (n *network) send(m replica.Message) {
	if n.cuts[link{m.From, m.To}] || n.simulation.Chance(n.quality.Loss) {
		return
	}
	n.carry(m)
	if n.simulation.Chance(n.quality.Duplicated) {
		n.carry(m)
	}
}

func (n *network) carry(m replica.Message) {
	delay := n.simulation.Between(200*time.Microsecond, n.simulation.maxDelay)
	if n.simulation.Chance(n.quality.Delayed) {
		delay += n.simulation.Between(0, 3*simulatedTiming.ElectionTimeout)
	}
	n.simulation.After(delay, func() {
		if n.cuts[link{m.From, m.To}] || int(m.To) > len(n.simulation.nodes) {
			return
		}
		receiver := n.simulation.node(m.To)
		receiver.do(func() { receiver.replica.Step(receiver.clock(), m) })
	})
}

func (n *network) cutBoth(a, b replica.NodeID) {
	n.cuts[link{a, b}] = true
	n.cuts[link{b, a}] = true
}
