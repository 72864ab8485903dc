package simulation

import (
	"time"

	"pipitmux/internal/barograph/replica"
)

// endpoint is where something is reached: a machine by its place, or a client.
type endpoint int

// firstClient is the endpoint of the first client; no world has as many machines.
const firstClient endpoint = 1000

type direction struct{ from, to endpoint }

// network carries messages, unless it loses, doubles or holds them up.
type network struct {
	world  *world
	cuts   map[direction]bool
	lossy  map[direction]float64 // share that is lost on one way
	loss   float64
	double float64
	slow   float64 // share of messages held up for long, so that others overtake them
}

func (n *network) clear() {
	n.loss, n.double, n.slow = 0, 0, 0
	clear(n.cuts)
	clear(n.lossy)
}

// post takes something on its way: it runs on arrival.
func (n *network) post(from, to endpoint, arrive func()) {
	if n.cuts[direction{from, to}] || n.world.Chance(n.loss) || len(n.lossy) > 0 && n.world.Chance(n.lossy[direction{from, to}]) {
		return
	}
	delay := n.world.Between(200*time.Microsecond, n.world.delay)
	if n.slow > 0 && n.world.Chance(n.slow) {
		delay += n.world.Between(0, 3*n.world.timing().ElectionTimeout)
	}
	n.world.After(delay, func() {
		if !n.cuts[direction{from, to}] {
			arrive()
		}
	})
}

// deliver carries a message between members of a group.
func (n *network) deliver(from endpoint, m replica.Message) {
	to := n.world.withID(m.To)
	if to == nil {
		return
	}
	arrive := func() { to.act(func() { to.take(m) }) }
	n.post(from, to.place, arrive)
	if n.double > 0 && n.world.Chance(n.double) {
		n.post(from, to.place, arrive)
	}
}

func (n *network) cutBoth(a, b endpoint) {
	n.cuts[direction{a, b}] = true
	n.cuts[direction{b, a}] = true
}

// call calls a machine from a client or another machine. handle runs there, and may answer
// later, or never. done runs once: false if no answer came in time. What was called may then
// still be carried out: a frozen process finds it when it goes on.
func call[Reply any](w *world, from endpoint, to *machineNode, within time.Duration, handle func(answer func(Reply)), done func(Reply, bool)) {
	open := true
	end := func(reply Reply, ok bool) {
		if open {
			open = false
			done(reply, ok)
		}
	}
	answer := func(reply Reply) {
		finish := func() { end(reply, true) }
		if from == to.place {
			w.After(0, finish)
			return
		}
		w.network.post(to.place, from, finish)
	}
	arrive := func() { to.act(func() { handle(answer) }) }
	if from == to.place {
		arrive()
	} else {
		w.network.post(from, to.place, arrive)
	}
	w.After(within, func() {
		var none Reply
		end(none, false)
	})
}
