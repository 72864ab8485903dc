package discovery

import (
	"time"

	"oakseam/internal/core"
	"oakseam/logic"
)

// staleFilter keeps an older list from undoing the drain or removal that a newer one
// reported, however the two arrived: on a watch, on a parallel one, in the response to a
// fetch, or from before this process.
//
// A registry that restarts may number its lists from a lower version, so all else in an older
// list is used: new backends, restarts, drains and removals.
type staleFilter struct {
	now        func() time.Time
	listed     map[logic.ServerID]time.Duration // when each backend's process started
	departures map[logic.ServerID]departure
}

// departure records that a backend's process was reported as draining or gone.
type departure struct {
	state    logic.ServerState
	started  time.Duration // of the process
	revision int64         // of the list that reported it
	at       time.Time
}

// departureRetention is how long a departure is remembered: no list is in transit for longer.
const departureRetention = 5 * time.Minute

func newStaleFilter(now func() time.Time) staleFilter {
	return staleFilter{now: now, listed: map[logic.ServerID]time.Duration{}, departures: map[logic.ServerID]departure{}}
}

// apply returns the backends of a list, corrected by what was reported before. A list
// without a version counts as the newest.
func (f *staleFilter) apply(l *List, backends []core.Backend) []core.Backend {
	now := f.now()
	olderThan := func(d departure) bool { return l.Revision >= 0 && l.Revision < d.revision }
	out, previous := backends[:0], f.listed
	if l.Full {
		f.listed = make(map[logic.ServerID]time.Duration, len(backends))
	}
	for _, b := range backends {
		left, known := f.departures[b.ID]
		switch {
		case known && olderThan(left) && b.StartedAt <= left.started && b.State < left.state:
			b.State = left.state
		case b.State == logic.Serving:
			delete(f.departures, b.ID)
		case known && olderThan(left): // the departure was of an earlier process, or is the same
		default:
			f.departures[b.ID] = departure{b.State, max(b.StartedAt, previous[b.ID]), l.Revision, now}
		}
		if b.State != logic.Gone {
			f.listed[b.ID] = b.StartedAt
		} else if delete(f.listed, b.ID); l.Full {
			continue // a full list omits backends that are gone
		}
		out = append(out, b)
	}
	if l.Full {
		for id, started := range previous {
			_, listed := f.listed[id]
			if left, known := f.departures[id]; !listed && !(known && left.state == logic.Gone) && !(known && olderThan(left)) {
				f.departures[id] = departure{logic.Gone, started, l.Revision, now}
			}
		}
	}
	for id, d := range f.departures {
		if now.Sub(d.at) > departureRetention {
			delete(f.departures, id)
		}
	}
	return out
}
