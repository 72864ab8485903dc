package lifecycle

import "time"

// DrainSchedule says when which clients are moved elsewhere. All times count from the call that starts it.
type DrainSchedule struct {
	CloseIdleFrom     time.Duration // idle sessions are closed evenly from then on
	CloseIdleUntil    time.Duration // until then; spreading keeps their clients from reconnecting elsewhere all at once
	CloseSessionsFrom time.Duration // responses close their sessions from then on
	AcceptUntil       time.Duration // requests are accepted until then; 0: as long as they arrive
}

// Timing holds the schedules of a process.
type Timing struct {
	Drain DrainSchedule // for a drain
	Stop  DrainSchedule // for a stop
	// ListenFor is how long new connections are still accepted after a stop: the frontend
	// sends some for a while, and those refused would be lost.
	ListenFor time.Duration
}

// NodeTiming is for a node whose frontend polls its readiness often.
var NodeTiming = Timing{
	Drain: DrainSchedule{
		// New connections arrive for 0.2 s after a draining node's first "not ready", which
		// comes at most 0.1 s after the call.
		CloseIdleFrom:  350 * time.Millisecond,
		CloseIdleUntil: 1600 * time.Millisecond,
		// A request that arrives more than 2 s after the call must not be open 4 s after it,
		// but may take as long as its class allows. Only a slow header or body on a session
		// that could not be closed brings a request so late.
		AcceptUntil: 1900 * time.Millisecond,
	},
	Stop: DrainSchedule{
		// After SIGTERM new connections arrive for 0.2 to 0.4 s. A request that is unanswered
		// at the end counts as lost if it arrived 0.7 s after SIGTERM or later.
		CloseIdleFrom:  450 * time.Millisecond,
		CloseIdleUntil: 620 * time.Millisecond,
		// An accepted request must be answered by the earliest moment at which the process may
		// be killed: the longest deadline and 0.7 s after SIGTERM. Later requests are rejected.
		AcceptUntil: 600 * time.Millisecond,
	},
	ListenFor: 500 * time.Millisecond,
}

// tierSchedule is the schedule of a machine in a tier. Its balancer polls the readiness every
// second and removes the machine after two misses, so new connections arrive for 2 s and the
// duration of the last poll. Until then responses need not close their sessions, and all
// requests are accepted.
var tierSchedule = DrainSchedule{
	CloseIdleFrom:     2200 * time.Millisecond,
	CloseIdleUntil:    2800 * time.Millisecond,
	CloseSessionsFrom: 2200 * time.Millisecond,
}

// TierTiming is for a machine behind a balancer that polls every second.
var TierTiming = Timing{Drain: tierSchedule, Stop: tierSchedule, ListenFor: 2600 * time.Millisecond}
