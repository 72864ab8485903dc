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
func (m *StateMachine) Phase() Phase { return m.phase }

func (m *StateMachine) setPhase(p Phase, now time.Time) {
	m.phase, m.phaseStart, m.idleClosedUntil = p, now, now
}

// StartServing ends the start. A process told to drain before that stays draining.
func (m *StateMachine) StartServing(now time.Time) {
	m.started = true
	if m.phase == Starting {
		m.setPhase(Serving, now)
	}
}

// Drain starts moving clients elsewhere. A second call does not restart the schedule.
func (m *StateMachine) Drain(now time.Time) error {
	switch m.phase {
	case Stopping:
		return ErrStopping
	case Draining:
		return nil
	}
	m.setPhase(Draining, now)
	return nil
}

// Resume ends a drain. Without a drain it changes nothing.
func (m *StateMachine) Resume(now time.Time) error {
	switch {
	case m.phase == Stopping:
		return ErrStopping
	case m.phase == Draining && m.started:
		m.setPhase(Serving, now)
	case m.phase == Draining:
		m.setPhase(Starting, now)
	}
	return nil
}

// Stop enters the last phase, whatever the current one is.
func (m *StateMachine) Stop(now time.Time) {
	if m.phase != Stopping {
		m.setPhase(Stopping, now)
	}
}

// IsDraining reports whether clients are being moved elsewhere, to drain or to stop.
func (m *StateMachine) IsDraining() bool { return m.phase >= Draining }

// schedule returns the drain schedule of the current phase.
func (m *StateMachine) schedule() DrainSchedule {
	if m.phase == Stopping {
		return m.timing.Stop
	}
	return m.timing.Drain
}

// ClosesSession reports whether a response given now closes its client session.
func (m *StateMachine) ClosesSession(now time.Time) bool {
	return m.IsDraining() && now.Sub(m.phaseStart) >= m.schedule().CloseSessionsFrom
}

// AcceptsRequest reports whether a request that arrives now is accepted.
func (m *StateMachine) AcceptsRequest(now time.Time) bool {
	acceptUntil := m.schedule().AcceptUntil
	return !m.IsDraining() || acceptUntil == 0 || now.Sub(m.phaseStart) < acceptUntil
}

// IdleSessionsToClose returns how many of the idle client sessions to close now. Called
// repeatedly, it spreads the closing evenly.
func (m *StateMachine) IdleSessionsToClose(now time.Time, idle int) int {
	if !m.IsDraining() {
		return 0
	}
	schedule := m.schedule()
	begin, end := m.phaseStart.Add(schedule.CloseIdleFrom), m.phaseStart.Add(schedule.CloseIdleUntil)
	if m.idleClosedUntil.Before(begin) {
		m.idleClosedUntil = begin
	}
	switch {
	case !now.After(m.idleClosedUntil) || idle <= 0:
		return 0
	case !now.Before(end):
		m.idleClosedUntil = now
		return idle
	}
	due := int(int64(idle) * int64(now.Sub(m.idleClosedUntil)) / int64(end.Sub(m.idleClosedUntil)))
	if due > 0 { // otherwise the interval grows until one is due
		m.idleClosedUntil = now
	}
	return due
}
