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

var phaseNames = [...]string{"starting", "serving", "draining", "stopping"}

// String gives the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// ErrStopping tells that a node that ends can't be told anything else.
var ErrStopping = errors.New("the node is stopping")

// StateMachine is the life cycle of one process. It is not safe for concurrent use.
type StateMachine struct {
	timing          Timing
	phase           Phase
	phaseStart      time.Time
	idleClosedUntil time.Time // up to which idle sessions have been ended
	started         bool      // it has served, or would but for a drain
}

// New returns the life cycle of a process that starts.
func New(timing Timing) *StateMachine { return &StateMachine{timing: timing} }

// Phase returns where the node stands.
func (n *StateMachine) Phase() Phase { return n.phase }

func (n *StateMachine) setPhase(p Phase, now time.Time) {
	n.phase, n.phaseStart, n.idleClosedUntil = p, now, now
}

// StartServing ends the start. A node that was told to drain meanwhile goes on draining.
func (n *StateMachine) StartServing(now time.Time) {
	n.started = true
	if n.phase == Starting {
		n.setPhase(Serving, now)
	}
}

// Drain has clients sent away. Told again, it goes on from the first call.
func (n *StateMachine) Drain(now time.Time) error {
	switch n.phase {
	case Stopping:
		return ErrStopping
	case Draining:
		return nil
	}
	n.setPhase(Draining, now)
	return nil
}

// Resume has clients taken again. Without a drain it changes nothing.
func (n *StateMachine) Resume(now time.Time) error {
	switch {
	case n.phase == Stopping:
		return ErrStopping
	case n.phase == Draining && n.started:
		n.setPhase(Serving, now)
	case n.phase == Draining:
		n.setPhase(Starting, now)
	}
	return nil
}

// Stop has the node end, whatever it was told before.
func (n *StateMachine) Stop(now time.Time) {
	if n.phase != Stopping {
		n.setPhase(Stopping, now)
	}
}

// IsDraining tells whether the clients are sent away.
func (n *StateMachine) IsDraining() bool { return n.phase >= Draining }

// leave is how the clients are sent away in this phase.
func (n *StateMachine) schedule() DrainSchedule {
	if n.phase == Stopping {
		return n.timing.Stop
	}
	return n.timing.Drain
}

// ClosesSession tells whether an answer that is given now ends its client session.
func (n *StateMachine) ClosesSession(now time.Time) bool {
	return n.IsDraining() && now.Sub(n.phaseStart) >= n.schedule().CloseSessionsFrom
}

// AcceptsRequest tells whether a request that has come now is taken.
func (n *StateMachine) AcceptsRequest(now time.Time) bool {
	acceptUntil := n.schedule().AcceptUntil
	return !n.IsDraining() || acceptUntil == 0 || now.Sub(n.phaseStart) < acceptUntil
}

// IdleSessionsToClose returns how many of so many idle client sessions are to end now. Asked again
// and again, it ends them in even steps.
func (n *StateMachine) IdleSessionsToClose(now time.Time, idle int) int {
	if !n.IsDraining() {
		return 0
	}
	schedule := n.schedule()
	begin, end := n.phaseStart.Add(schedule.CloseIdleFrom), n.phaseStart.Add(schedule.CloseIdleUntil)
	if n.idleClosedUntil.Before(begin) {
		n.idleClosedUntil = begin
	}
	switch {
	case !now.After(n.idleClosedUntil) || idle <= 0:
		return 0
	case !now.Before(end):
		n.idleClosedUntil = now
		return idle
	}
	due := int(int64(idle) * int64(now.Sub(n.idleClosedUntil)) / int64(end.Sub(n.idleClosedUntil)))
	if due > 0 { // else the step grows until one is due
		n.idleClosedUntil = now
	}
	return due
}
