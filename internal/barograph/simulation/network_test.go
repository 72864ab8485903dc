package simulation

import (
	"time"

	"pipitmux/internal/barograph/replica"
)

// endpoint is where something is reached: a machine by its place, or a client.
type endpoint int

// firstClient is the endpoint of the first client; no world has as many machines.
const firstClient endpoint = 1000

type link struct{ from, to endpoint }

// network carries messages, unless it loses, doubles or holds them up.
type network struct {
	world           *world
	cutLinks        map[link]bool
	linkLossRate    map[link]float64 // share that is lost on one way
	lossRate        float64
	duplicationRate float64
	slowRate        float64 // share of messages held up for long, so that others overtake them
}

func (n *network) clear() {
	n.lossRate, n.duplicationRate, n.slowRate = 0, 0, 0
	clear(n.cutLinks)
	clear(n.linkLossRate)
}

// post takes something on its way: it runs on arrival.
func (n *network) send(from, to endpoint, arrive func()) {
	if n.cutLinks[link{from, to}] || n.world.Chance(n.lossRate) || len(n.linkLossRate) > 0 && n.world.Chance(n.linkLossRate[link{from, to}]) {
		return
	}
	delay := n.world.Between(200*time.Microsecond, n.world.maxDelay)
	if n.slowRate > 0 && n.world.Chance(n.slowRate) {
		delay += n.world.Between(0, 3*n.world.timing().ElectionTimeout)
	}
	n.world.After(delay, func() {
		if !n.cutLinks[link{from, to}] {
			arrive()
		}
	})
}

// deliver carries a message between members of a group.
func (n *network) deliver(from endpoint, m replica.Message) {
	to := n.world.nodeByID(m.To)
	if to == nil {
		return
	}
	arrive := func() { to.execute(func() { to.receive(m) }) }
	n.send(from, to.address, arrive)
	if n.duplicationRate > 0 && n.world.Chance(n.duplicationRate) {
		n.send(from, to.address, arrive)
	}
}

func (n *network) cutBoth(a, b endpoint) {
	n.cutLinks[link{a, b}] = true
	n.cutLinks[link{b, a}] = true
}

// call calls a machine from a client or another machine. handle runs there, and may answer
// later, or never. done runs once: false if no answer came in time. What was called may then
// still be carried out: a frozen process finds it when it goes on.
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
