package core

import (
	"container/heap"
	"time"

	"oakseam/logic"
)

// FireTimers passes the due timers to the module. beforeEach, if not nil, is called before
// each of them, to handle events that must not wait for a timer.
func (e *Engine) FireTimers(beforeEach func()) {
	for now := e.env.Now(); len(e.timers) > 0 && !e.timers[0].due.After(now); {
		t := heap.Pop(&e.timers).(timer)
		if beforeEach != nil {
			beforeEach()
		}
		e.dispatch("", logic.Wake{Token: t.token})
	}
}

// NextTimer returns when the next timer is due, false where none is set.
func (e *Engine) NextTimer() (time.Time, bool) {
	if len(e.timers) == 0 {
		return time.Time{}, false
	}
	return e.timers[0].due, true
}

// timer is a scheduled Wake.
type timer struct {
	due   time.Time
	token uint64
}

// timers is a heap ordered by due time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}
