// Package lifecycle decides how a process starts, drains and stops: whether it is ready, when
// responses close their client sessions, how many idle sessions to close now, and whether a
// late request is still accepted. It is pure: the time is passed in. It must not know sockets,
// signals or the console.
package lifecycle

import (
	"errors"
	"time"
)

// Phase is a phase of the life cycle.
type Phase uint8

// The phases of a process.
const (
	Starting Phase = iota // does not know enough to serve
	Serving
	Draining // moves its clients elsewhere; may be resumed
	Stopping // has been told to exit
)

var phaseNames = [...]string{"starting", "serving", "draining", "stopping"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// ErrStopping is returned for calls to a process that is stopping.
var ErrStopping = errors.New("the node is stopping")

// StateMachine is the life cycle of one process. It is not safe for concurrent use.
type StateMachine struct {
	timing          Timing
	phase           Phase
	phaseStart      time.Time
	idleClosedUntil time.Time // time up to which idle sessions have been closed
	started         bool      // serves, or would serve but for a drain
}

// New returns the life cycle of a process that starts.
func New(timing Timing) *StateMachine { return &StateMachine{timing: timing} }

// Phase returns the current phase.
func (n *StateMachine) Phase() Phase { return n.phase }

func (n *StateMachine) setPhase(p Phase, now time.Time) {
	n.phase, n.phaseStart, n.idleClosedUntil = p, now, now
}

// StartServing ends the start. A process told to drain before that stays draining.
func (n *StateMachine) StartServing(now time.Time) {
	n.started = true
	if n.phase == Starting {
		n.setPhase(Serving, now)
	}
}

// Drain starts moving clients elsewhere. A second call does not restart the schedule.
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

// Resume ends a drain. Without a drain it changes nothing.
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

// Stop enters the last phase, whatever the current one is.
func (n *StateMachine) Stop(now time.Time) {
	if n.phase != Stopping {
		n.setPhase(Stopping, now)
	}
}

// IsDraining reports whether clients are being moved elsewhere, to drain or to stop.
func (n *StateMachine) IsDraining() bool { return n.phase >= Draining }

// schedule returns the drain schedule of the current phase.
func (n *StateMachine) schedule() DrainSchedule {
	if n.phase == Stopping {
		return n.timing.Stop
	}
	return n.timing.Drain
}

// ClosesSession reports whether a response given now closes its client session.
func (n *StateMachine) ClosesSession(now time.Time) bool {
	return n.IsDraining() && now.Sub(n.phaseStart) >= n.schedule().CloseSessionsFrom
}

// AcceptsRequest reports whether a request that arrives now is accepted.
func (n *StateMachine) AcceptsRequest(now time.Time) bool {
	acceptUntil := n.schedule().AcceptUntil
	return !n.IsDraining() || acceptUntil == 0 || now.Sub(n.phaseStart) < acceptUntil
}

// IdleSessionsToClose returns how many of the idle client sessions to close now. Called
// repeatedly, it spreads the closing evenly.
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
	if due > 0 { // otherwise the interval grows until one is due
		n.idleClosedUntil = now
	}
	return due
}
