package logic

import (
	"math"
	"slices"
	"time"
)

func (s *server) serves() bool { return s.listed && s.State == Serving }

// load counts the server's attempts of this node: open ones, and abandoned ones that may still run.
func (s *server) load(now time.Duration) float64 {
	s.abandoned = slices.DeleteFunc(s.abandoned, func(until time.Duration) bool { return until <= now })
	return float64(s.inflight + len(s.abandoned))
}

func (s *server) ejected(now time.Duration) bool {
	return s.failures >= ejectAfter && now < s.ejectedUntil
}

// mayRetry reports whether a request that may have run may be sent again.
func (b *Balancer) mayRetry(r *request) bool {
	return r.class.Effect != Unsafe && !r.retried && (!r.class.Stream || r.class.Resumable)
}

// maySend reports whether a send is allowed now. After a long pause what is out may be lost: no limit holds.
func (b *Balancer) maySend(r *request, s *server) bool {
	free := s.limit == 0 || (b.now-s.lastSent).Seconds() > silentFactor*(s.minLatency+r.cost*r.class.meanHint)
	return s.serves() && (s.ID != r.source.Avoid || len(b.ready) == 1) && (free || s.load(b.now) < s.limit) &&
		b.coldBudgetLeft(s) && b.mayRepeat(r, s)
}

// mayRepeat reports whether the server is untried and a further attempt there can't double an effect.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	if r.maxAttempts > 0 && len(r.attempts) >= r.maxAttempts || r.inflight > 0 && !b.cfg.SecondCopies {
		return false
	}
	c := r.class
	return !slices.ContainsFunc(r.attempts, func(t attempt) bool {
		return t.server == s || t.mayRun && (c.Effect == Unsafe ||
			c.Effect == Keyed && (b.now-t.sentAt >= c.Window || !c.inDedupScope(t.zone, t.cell, s)))
	})
}

func ejectionPause(bad int) time.Duration {
	return min(minEjection<<min(bad-ejectAfter, 10), maxEjection)
}

// mayReject reports whether a rejection is truthful: it tells the client that a repeat is harmless.
func (b *Balancer) mayReject(r *request) bool {
	return r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == DedupAll ||
		!slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.mayRun })
}

// warmth is the share of its capacity that a starting server is sure to have by now.
func (b *Balancer) warmth(s *server) float64 {
	if s.StartedAt <= 0 || b.cfg.WarmWithin <= 0 {
		return 1
	}
	age := float64(b.now-s.StartedAt) / float64(b.cfg.WarmWithin)
	return min(max(b.cfg.ColdFrom+(1-b.cfg.ColdFrom)*max(age, 0), 0.01), 1)
}

// coldBudgetLeft reports whether a server's warmth allows it a request now. A cold one gets at most what warm
// servers of its size served of this node, times its warmth: safe for any number of nodes. The peak counts,
// as the rate in overload is too low: cold servers would stand idle while warm ones are overrun.
func (b *Balancer) coldBudgetLeft(s *server) bool {
	w := b.warmth(s)
	if w >= 1 {
		return true
	}
	b.refreshSubset()
	rate := b.peakRate
	if b.warmCapacity == 0 { // all are cold and share the demand
		known := max(1-math.Exp2(-float64(b.now-b.firstEventAt)/float64(rateHalfLife)), 0.1) // known by now
		rate = b.demand.perSecond(b.now) / known / max(b.subsetCapacity, 1e-9)
	}
	refill := coldFactor * w * rate * s.Capacity
	burst := refill * coldBurst * b.cfg.FallAfter.Seconds()
	s.coldTokens, s.refilledAt = min(s.coldTokens+refill*(b.now-s.refilledAt).Seconds(), burst), b.now
	return s.coldTokens > 0
}

// isOutlier reports whether a server has failed more often in a row than the typical server would by chance.
// If all fail alike, as by broken connections or overload, ejecting some would overload the others.
func (b *Balancer) isOutlier(s *server) bool {
	if b.now-b.typicalAt >= curveTTL && len(b.ready) > 0 {
		parts := make([]float64, len(b.ready))
		for i, o := range b.ready {
			parts[i] = o.failureShare
		}
		slices.Sort(parts)
		b.typicalFailures, b.typicalAt = parts[(len(parts)-1)/2], b.now
	}
	return s.failures >= ejectAfter && math.Pow(b.typicalFailures, float64(s.failures)) < ejectChance
}
