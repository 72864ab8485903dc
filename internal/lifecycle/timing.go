package lifecycle

import "time"

// Leave is how clients are sent away. All times count from the call that has them sent away.
type Leave struct {
	From   time.Duration // from then on idle sessions end, evenly, so that
	Until  time.Duration // by then all have, and their clients don't all connect elsewhere in one instant
	Closes time.Duration // from then on an answer ends its session
	Takes  time.Duration // up to then a request that comes is taken, 0: as long as one comes
}

// Timing is when a process that leaves does what.
type Timing struct {
	Drain Leave // told to drain
	Stop  Leave // told to end
	// StayOpen is how long new connections are still taken once the process is told to end:
	// who deals them out goes on for a while, and what is turned away is lost.
	StayOpen time.Duration
}

// NodeTiming is that of a node, whose front asks often whether it is ready.
var NodeTiming = Timing{
	Drain: Leave{
		// After the first no of a node that drains, at most 0.1 s after the call, new
		// connections come for 0.2 s.
		From:  350 * time.Millisecond,
		Until: 1600 * time.Millisecond,
		// What came more than 2 s after the call must not be open 4 s after it, and may take
		// as long as its class lets it. Only a slow head or body on a session that could not
		// be ended brings a request so late.
		Takes: 1900 * time.Millisecond,
	},
	Stop: Leave{
		// After SIGTERM new connections come for 0.2 to 0.4 s, and a request found unanswered
		// at the end is lost if it came 0.7 s after it or later.
		From:  450 * time.Millisecond,
		Until: 620 * time.Millisecond,
		// What is taken has to be answered by the earliest moment at which the process may be
		// killed: the longest deadline and 0.7 s after SIGTERM. A request that comes later is
		// refused.
		Takes: 600 * time.Millisecond,
	},
	StayOpen: 500 * time.Millisecond,
}

// tierLeave is how a machine of a tier sends its clients away. Its balancer asks every second
// whether it is ready and takes it out after two misses, so new connections come for 2 s and
// the last question's time; until then an answer need not end its session, and all requests are
// taken.
var tierLeave = Leave{
	From:   2200 * time.Millisecond,
	Until:  2800 * time.Millisecond,
	Closes: 2200 * time.Millisecond,
}

// TierTiming is that of a machine behind a balancer that asks every second.
var TierTiming = Timing{Drain: tierLeave, Stop: tierLeave, StayOpen: 2600 * time.Millisecond}
