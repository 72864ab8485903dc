package core

import (
	"container/heap"
	"time"

	"pipitmux/logic"
)

// FireTimers tells the timers that are due. Before each, ahead is called where it is
// not nil: what may not wait for a timer goes there.
func (o *Engine) FireTimers(ahead func()) {
	for now := o.world.Now(); len(o.timers) > 0 && !o.timers[0].at.After(now); {
		t := heap.Pop(&o.timers).(timer)
		if ahead != nil {
			ahead()
		}
		o.tell("", logic.Wake{Token: t.token})
	}
}

// NextTimer returns when the next timer is due, false where none is set.
func (o *Engine) NextTimer() (time.Time, bool) {
	if len(o.timers) == 0 {
		return time.Time{}, false
	}
	return o.timers[0].at, true
}

// timer is a Wake that is to come.
type timer struct {
	at    time.Time
	token uint64
}

// timers is a heap by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
