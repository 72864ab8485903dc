package dispatch

import (
	"time"

	"oakseam/internal/tier/routing"
	"oakseam/logic"
)

const (
	// highestPriorityWorth is the worth of a request of the highest priority and of typical size.
	// It is the example figure of the paper. Each lower priority is worth rankDecay times the one
	// above it.
	highestPriorityWorth = 20.0
	rankDecay            = 0.6
	// typicalsPerTarget is how many typical answers fit into a route's latency target. It is the
	// estimate until answers have been measured.
	typicalsPerTarget = 2
	// promptTargets: for requests that may be sent to a second server, timeouts are chosen so that
	// one of the two servers answers within this many latency targets.
	promptTargets = 2
	// defaultClass names the class of a service that no route leads to. The decision module needs
	// at least one class. No route's ID is equal to it: an ID begins with a quote.
	defaultClass = "none"
)

// classesByService returns, for each service, one class per route that may lead to it.
func classesByService(c *routing.Configuration) map[string][]logic.Class {
	classes := map[string][]logic.Class{}
	for i := range c.Routes {
		class := classFromRoute(&c.Routes[i])
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

func classFromRoute(r *routing.Route) logic.Class {
	class := logic.Class{
		Name: r.ID(), Aim: r.Timeout, Deadline: r.Timeout, Prompt: promptTargets * r.TargetLatency, Usual: r.TargetLatency / typicalsPerTarget, Worth: priorityWorth(r.Priority),
		Effect: logic.Unsafe, MaxAttempts: max(r.RetryLimit, 1), Stream: r.Class == routing.Streaming,
	}
	class.Resumable = class.Stream && r.SessionResume
	if r.Class == routing.Idempotent || class.Resumable {
		class.Effect = logic.Safe
	}
	return class
}

// priorityWorth returns the worth of a typical request of a priority. 0 is the highest priority.
func priorityWorth(priority int) float64 {
	worth := highestPriorityWorth
	for range min(max(priority, 0), 9) {
		worth *= rankDecay
	}
	return worth
}
