package simulation

import (
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/virtualclock"
)

// endpoint is the address of a node or a client.
type endpoint int

// firstClient is the address of the first client. No world has that many nodes.
const firstClient endpoint = 1000

type link struct{ from, to endpoint }

// network delivers messages, and may lose, duplicate or delay them.
type network struct {
	world        *world
	cutLinks     map[link]bool
	linkLossRate map[link]float64     // loss rate of single links
	quality      virtualclock.Quality // delayed messages are overtaken by others
}

func (n *network) clear() {
	n.quality = virtualclock.Quality{}
	clear(n.cutLinks)
	clear(n.linkLossRate)
}

// send sends a message. arrive runs on its arrival.
func (n *network) send(from, to endpoint, arrive func()) {
	if n.cutLinks[link{from, to}] || n.world.Chance(n.quality.Loss) || len(n.linkLossRate) > 0 && n.world.Chance(n.linkLossRate[link{from, to}]) {
		return
	}
	delay := n.world.Between(200*time.Microsecond, n.world.maxDelay)
	if n.quality.Delayed > 0 && n.world.Chance(n.quality.Delayed) {
		delay += n.world.Between(0, 3*n.world.timing().ElectionTimeout)
	}
	n.world.After(delay, func() {
		if !n.cutLinks[link{from, to}] {
			arrive()
		}
	})
}

// deliver sends a message between members of a group.
func (n *network) deliver(from endpoint, m replica.Message) {
	to := n.world.nodeByID(m.To)
	if to == nil {
		return
	}
	arrive := func() { to.execute(func() { to.receive(m) }) }
	n.send(from, to.address, arrive)
	if n.quality.Duplicated > 0 && n.world.Chance(n.quality.Duplicated) {
		n.send(from, to.address, arrive)
	}
}

// cut cuts the link in one direction.
func (n *network) cut(from, to endpoint) { n.cutLinks[link{from, to}] = true }

func (n *network) cutBoth(a, b endpoint) {
	n.cutLinks[link{a, b}] = true
	n.cutLinks[link{b, a}] = true
}

// call sends a request from a client or node to a node. handle runs there and may answer later or
// never. done runs once, with false if no answer came in time. The request may still be executed
// then: a frozen process handles it when it resumes.
func call[Reply any](w *world, from endpoint, to *simulatedNode, within time.Duration, handle func(answer func(Reply)), done func(Reply, bool)) {
	open := true
	end := func(reply Reply, ok bool) {
		if open {
			open = false
			done(reply, ok)
		}
	}
	answer := func(reply Reply) {
		finish := func() { end(reply, true) }
		if from == to.address {
			w.After(0, finish)
			return
		}
		w.network.send(to.address, from, finish)
	}
	arrive := func() { to.execute(func() { handle(answer) }) }
	if from == to.address {
		arrive()
	} else {
		w.network.send(from, to.address, arrive)
	}
	w.After(within, func() {
		var none Reply
		end(none, false)
	})
}
