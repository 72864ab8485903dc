package audit

import (
	"fmt"
	"time"
)

// BackendListed records that a node was told whether a backend serves. A backend that drains or is
// gone doesn't. For the grace period the first time counts.
func (a *Auditor) BackendListed(at time.Duration, node int, server string, serving bool) {
	a.advance(at)
	k := nodeBackend{node, server}
	if serving {
		delete(a.withdrawn, k)
	} else if _, known := a.withdrawn[k]; !known {
		a.withdrawn[k] = at
	}
}

// WorkArrived records that work reached a cold backend, whether the backend rejected it or not. The
// work is in seconds on one standard core, and capacity is what the backend can do now, in such
// seconds per second. It returns whether the backend is overloaded so much that it fails.
func (a *Auditor) WorkArrived(at time.Duration, server string, work, capacity float64) bool {
	a.advance(at)
	window := a.coldWork[server]
	if window == nil {
		window = &WorkWindow{}
		a.coldWork[server] = window
	}
	if window.overloaded {
		return true
	}
	overloaded := window.Add(at, work, capacity, a.rules)
	if seconds := a.rules.OverloadWindow.Seconds(); seconds > 0 && capacity > 0 {
		a.report.Overshoot = max(a.report.Overshoot, window.sum/(capacity*seconds))
	}
	if overloaded {
		window.overloaded = true
		a.recordViolation(BackendOverloaded, at, -1, "", server, fmt.Sprintf("%.2f s of work within %.1f s at a capacity of %.2f a second",
			window.sum, a.rules.OverloadWindow.Seconds(), capacity), []event{{at, "overloaded", "", server, -1}})
	}
	return window.overloaded
}

// BackendStarted records that a backend restarted and is cold again. The work it was sent before no
// longer counts.
func (a *Auditor) BackendStarted(server string) { delete(a.coldWork, server) }

// WorkWindow adds up the work that a cold backend was sent within a sliding window.
type WorkWindow struct {
	at         []time.Duration
	work       []float64
	sum        float64
	overloaded bool
}

// Add adds work and reports whether the window now holds more than the rules allow for a backend of
// the given present capacity. A window is a budget: a window that has just begun may be spent at once.
func (w *WorkWindow) Add(at time.Duration, work, capacity float64, rules Rules) bool {
	n := 0
	for n < len(w.at) && at-w.at[n] >= rules.OverloadWindow {
		w.sum -= w.work[n]
		n++
	}
	w.at, w.work = append(w.at[n:], at), append(w.work[n:], work)
	w.sum += work
	return rules.OverloadMultiple > 0 && w.sum > rules.OverloadMultiple*capacity*rules.OverloadWindow.Seconds()+rules.OverloadSlack
}
