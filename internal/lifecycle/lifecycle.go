// Package lifecycle decides how a node comes and goes: whether it is ready, when
// answers end their client sessions, which of the idle ones end now, and whether a
// req that comes late is still taken. It is pure: the clock is handed in, and it
// must not know of sockets, signals or consoles.
package lifecycle

import (
	"errors"
	"time"
)

// Phase is where a node stands.
type Phase uint8

// The phases of a node.
const (
	Starting Phase = iota // knows too little to serve
	Serving
	Draining // told to send its clients away; may be told to take them again
	Stopping // told to end
)

var names = [...]string{"starting", "serving", "draining", "stopping"}

// String gives the phase's name.
func (p Phase) String() string { return names[p] }

const (
	// After the first no of a node that drains, at most 0.1 s after the call, new
	// connections come for 0.2 s. From then on idle sessions end, evenly, so that
	// their clients don't all connect elsewhere in one instant.
	drainFrom  = 350 * time.Millisecond
	drainUntil = 1600 * time.Millisecond
	// What came more than 2 s after the call must not be open 4 s after it, and may take
	// as long as its class lets it. Only a slow head or body on a session that could not
	// be ended brings a req so late.
	drainTakes = 1900 * time.Millisecond

	// After SIGTERM new connections come for 0.2 to 0.4 s, and a req found unanswered at
	// the end is lost if it came 0.7 s after it or later.
	stopFrom  = 450 * time.Millisecond
	stopUntil = 620 * time.Millisecond
	// What is taken has to be answered by the earliest moment at which the process may be
	// killed: the longest deadline and 0.7 s after SIGTERM. A req that comes later is refused.
	stopTakes = 600 * time.Millisecond
)

// ErrStopping tells that a node that ends can't be told anything else.
var ErrStopping = errors.New("the node is stopping")

// Node is the life cycle of one process. It is not safe for concurrent use.
type Node struct {
	phase Phase
	since time.Time
	step  time.Time // up to which idle sessions have been ended
	begun bool      // it has served, or would but for a drain
}

// Phase returns where the node stands.
func (n *Node) Phase() Phase { return n.phase }

func (n *Node) enter(p Phase, now time.Time) { n.phase, n.since, n.step = p, now, now }

// Begin ends the start. A node that was told to drain meanwhile goes on draining.
func (n *Node) Begin(now time.Time) {
	n.begun = true
	if n.phase == Starting {
		n.enter(Serving, now)
	}
}

// Drain has clients sent away. Told again, it goes on from the first call.
func (n *Node) Drain(now time.Time) error {
	switch n.phase {
	case Stopping:
		return ErrStopping
	case Draining:
		return nil
	}
	n.enter(Draining, now)
	return nil
}

// Resume has clients taken again. Without a drain it changes nothing.
func (n *Node) Resume(now time.Time) error {
	switch {
	case n.phase == Stopping:
		return ErrStopping
	case n.phase == Draining && n.begun:
		n.enter(Serving, now)
	case n.phase == Draining:
		n.enter(Starting, now)
	}
	return nil
}

// Stop has the node end, whatever it was told before.
func (n *Node) Stop(now time.Time) {
	if n.phase != Stopping {
		n.enter(Stopping, now)
	}
}

// Leaving tells whether an answer ends its client session.
func (n *Node) Leaving() bool { return n.phase >= Draining }

// Takes tells whether a req that has come now is taken.
func (n *Node) Takes(now time.Time) bool {
	switch n.phase {
	case Draining:
		return now.Sub(n.since) < drainTakes
	case Stopping:
		return now.Sub(n.since) < stopTakes
	}
	return true
}

// End returns how many of so many idle client sessions are to end now. Asked again
// and again, it ends them in even steps.
func (n *Node) End(now time.Time, idle int) int {
	from, until := drainFrom, drainUntil
	switch n.phase {
	case Stopping:
		from, until = stopFrom, stopUntil
	case Draining:
	default:
		return 0
	}
	begin, end := n.since.Add(from), n.since.Add(until)
	if n.step.Before(begin) {
		n.step = begin
	}
	switch {
	case !now.After(n.step) || idle <= 0:
		return 0
	case !now.Before(end):
		n.step = now
		return idle
	}
	due := int(int64(idle) * int64(now.Sub(n.step)) / int64(end.Sub(n.step)))
	if due > 0 { // else the step grows until one is due
		n.step = now
	}
	return due
}
