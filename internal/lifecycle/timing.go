package lifecycle

import "time"

// DrainSchedule is how clients are sent away. All times count from the call that has them sent away.
type DrainSchedule struct {
	CloseIdleFrom     time.Duration // from then on idle sessions end, evenly, so that
	CloseIdleUntil    time.Duration // by then all have, and their clients don't all connect elsewhere in one instant
	CloseSessionsFrom time.Duration // from then on an answer ends its session
	AcceptUntil       time.Duration // up to then a request that comes is taken, 0: as long as one comes
}

// Timing is when a process that leaves does what.
type Timing struct {
	Drain DrainSchedule // told to drain
	Stop  DrainSchedule // told to end
	// ListenFor is how long new connections are still taken once the process is told to end:
	// who deals them out goes on for a while, and what is turned away is lost.
	ListenFor time.Duration
}

// NodeTiming is that of a node, whose front asks often whether it is ready.
var NodeTiming = Timing{
	Drain: DrainSchedule{
		// After the first no of a node that drains, at most 0.1 s after the call, new
		// connections come for 0.2 s.
		CloseIdleFrom:  350 * time.Millisecond,
		CloseIdleUntil: 1600 * time.Millisecond,
		// What came more than 2 s after the call must not be open 4 s after it, and may take
		// as long as its class lets it. Only a slow head or body on a session that could not
		// be ended brings a request so late.
		AcceptUntil: 1900 * time.Millisecond,
	},
	Stop: DrainSchedule{
		// After SIGTERM new connections come for 0.2 to 0.4 s, and a request found unanswered
		// at the end is lost if it came 0.7 s after it or later.
		CloseIdleFrom:  450 * time.Millisecond,
		CloseIdleUntil: 620 * time.Millisecond,
		// What is taken has to be answered by the earliest moment at which the process may be
		// killed: the longest deadline and 0.7 s after SIGTERM. A request that comes later is
		// refused.
		AcceptUntil: 600 * time.Millisecond,
	},
	ListenFor: 500 * time.Millisecond,
}

// tierLeave is how a machine of a tier sends its clients away. Its balancer asks every second
// whether it is ready and takes it out after two misses, so new connections come for 2 s and
// the last question's time; until then an answer need not end its session, and all requests are
// taken.
var tierSchedule = DrainSchedule{
	CloseIdleFrom:     2200 * time.Millisecond,
	CloseIdleUntil:    2800 * time.Millisecond,
	CloseSessionsFrom: 2200 * time.Millisecond,
}

// TierTiming is that of a machine behind a balancer that asks every second.
var TierTiming = Timing{Drain: tierSchedule, Stop: tierSchedule, ListenFor: 2600 * time.Millisecond}
