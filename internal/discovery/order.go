package discovery

import (
	"time"

	"pipitmux/internal/core"
	"pipitmux/logic"
)

// order keeps an older list from bringing back what a newer one has ended, whichever way
// the two came: on a watch, on one beside it, in an answer, from before this process.
//
// A registry that starts again may number its lists from below, so an older list is heeded
// in all else: who is new in it, who has started anew, who has ended.
type order struct {
	now    func() time.Time
	listed map[logic.ServerID]time.Duration // when each started
	ended  map[logic.ServerID]ending
}

// ending is that a backend's process was told to drain or to be gone.
type ending struct {
	state logic.ServerState
	born  time.Duration
	rev   int64 // of the list that told it
	at    time.Time
}

// endingFor is how long an ending is remembered: no list is under way for longer.
const endingFor = 5 * time.Minute

func newOrder(now func() time.Time) order {
	return order{now: now, listed: map[logic.ServerID]time.Duration{}, ended: map[logic.ServerID]ending{}}
}

// sort returns the entries of a list as they hold beside what was told before. A list
// without a version counts as the newest.
func (o *order) sort(l *List, entries []core.Backend) []core.Backend {
	now := o.now()
	older := func(was ending) bool { return l.Revision >= 0 && l.Revision < was.rev }
	out, before := entries[:0], o.listed
	if l.Full {
		o.listed = make(map[logic.ServerID]time.Duration, len(entries))
	}
	for _, e := range entries {
		was, known := o.ended[e.ID]
		switch {
		case known && older(was) && e.StartedAt <= was.born && e.State < was.state:
			e.State = was.state
		case e.State == logic.Serving:
			delete(o.ended, e.ID)
		case known && older(was): // what it ended was an earlier process, or it says the same
		default:
			o.ended[e.ID] = ending{e.State, max(e.StartedAt, before[e.ID]), l.Revision, now}
		}
		if e.State != logic.Gone {
			o.listed[e.ID] = e.StartedAt
		} else if delete(o.listed, e.ID); l.Full {
			continue // in a whole list it is missing
		}
		out = append(out, e)
	}
	if l.Full {
		for id, born := range before {
			_, in := o.listed[id]
			if was, known := o.ended[id]; !in && !(known && was.state == logic.Gone) && !(known && older(was)) {
				o.ended[id] = ending{logic.Gone, born, l.Revision, now}
			}
		}
	}
	for id, e := range o.ended {
		if now.Sub(e.at) > endingFor {
			delete(o.ended, id)
		}
	}
	return out
}
