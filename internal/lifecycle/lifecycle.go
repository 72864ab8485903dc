// Package lifecycle decides how a node comes and goes: whether it is ready, when
// answers end their client sessions, which of the idle ones end now, and whether a
// request that comes late is still taken. It is pure: the clock is handed in, and it
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

// ErrStopping tells that a node that ends can't be told anything else.
var ErrStopping = errors.New("the node is stopping")

// Node is the life cycle of one process. It is not safe for concurrent use.
type Node struct {
	timing Timing
	phase  Phase
	since  time.Time
	step   time.Time // up to which idle sessions have been ended
	begun  bool      // it has served, or would but for a drain
}

// New returns the life cycle of a process that starts.
func New(timing Timing) *Node { return &Node{timing: timing} }

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

// Leaving tells whether the clients are sent away.
func (n *Node) Leaving() bool { return n.phase >= Draining }

// leave is how the clients are sent away in this phase.
func (n *Node) leave() Leave {
	if n.phase == Stopping {
		return n.timing.Stop
	}
	return n.timing.Drain
}

// Closes tells whether an answer that is given now ends its client session.
func (n *Node) Closes(now time.Time) bool {
	return n.Leaving() && now.Sub(n.since) >= n.leave().Closes
}

// Takes tells whether a request that has come now is taken.
func (n *Node) Takes(now time.Time) bool {
	takes := n.leave().Takes
	return !n.Leaving() || takes == 0 || now.Sub(n.since) < takes
}

// End returns how many of so many idle client sessions are to end now. Asked again
// and again, it ends them in even steps.
func (n *Node) End(now time.Time, idle int) int {
	if !n.Leaving() {
		return 0
	}
	leave := n.leave()
	begin, end := n.since.Add(leave.From), n.since.Add(leave.Until)
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
