package dispatch

import (
	"time"

	"pipitmux/internal/station/routing"
	"pipitmux/logic"
)

const (
	// worthMost is the worth of a request of the highest priority and usual size, the
	// paper's example figure; each further rank is worth rankShare of the one before.
	worthMost = 20.0
	rankShare = 0.6
	// usualShare is how many usual answers fit in a route's target, until answers tell.
	usualShare = 2
	// promptTimes is how many targets an answer that may be sent for again is given to come from
	// either of two servers.
	promptTimes = 2
	// defaultClass is what a service without a route is given: the module needs a class.
	defaultClass = "none"
)

// classesOf makes a class of each route for each service that it may go to.
func classesOf(c *routing.Configuration) map[string][]logic.Class {
	classes := map[string][]logic.Class{}
	for i := range c.Routes {
		class := classOf(&c.Routes[i])
		for _, w := range c.Routes[i].Weights {
			if w.Ratio > 0 {
				classes[w.Pool] = append(classes[w.Pool], class)
			}
		}
	}
	for _, p := range c.Pools {
		if len(classes[p.Name]) == 0 {
			classes[p.Name] = []logic.Class{{Name: defaultClass, Aim: time.Second, Deadline: time.Second, Effect: logic.Unsafe}}
		}
	}
	return classes
}

func classOf(r *routing.Route) logic.Class {
	class := logic.Class{
		Name: r.Name, Aim: r.Timeout, Deadline: r.Timeout, Prompt: promptTimes * r.TargetLatency, Usual: r.TargetLatency / usualShare, Worth: worthOf(r.Priority),
		Effect: logic.Unsafe, MaxAttempts: max(r.RetryLimit, 1), Stream: r.Class == routing.Streaming,
	}
	class.Resumable = class.Stream && r.SessionResume
	if r.Class == routing.Idempotent || class.Resumable {
		class.Effect = logic.Safe
	}
	return class
}

// worthOf is the worth of a usual request of a rank, 0 being the highest.
func worthOf(rank int) float64 {
	worth := worthMost
	for range min(max(rank, 0), 9) {
		worth *= rankShare
	}
	return worth
}
