package logic

import (
	"math"
	"slices"
	"time"
)

func (s *server) serves() bool { return s.listed && s.State == Serving }

// load is the work that the server has of this node: what is out, and what was cut and may go on.
func (s *server) load(now time.Duration) float64 {
	s.ghosts = slices.DeleteFunc(s.ghosts, func(until time.Duration) bool { return until <= now })
	return float64(s.inflight + len(s.ghosts))
}

func (s *server) aside(now time.Duration) bool { return s.bad >= outlierAfter && now < s.until }

// mayRetry tells whether the class lets a request go again that may have run.
func (b *Balancer) mayRetry(r *request) bool {
	return r.class.Effect != Unsafe && !r.retried && (!r.class.Stream || r.class.Resumable)
}

// maySend tells whether no rule forbids a send to the server now. All that is out for long may be lost.
func (b *Balancer) maySend(r *request, s *server) bool {
	free := s.limit == 0 || (b.now-s.sent).Seconds() > silentAfter*(s.base+r.cost*r.class.hint)
	return s.serves() && (s.ID != r.told.Avoid || len(b.ready) == 1) && (free || s.load(b.now) < s.limit) &&
		b.mayTake(s) && b.mayRepeat(r, s)
}

// mayRepeat tells whether a further attempt goes to a server not tried yet and can double no effect.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	if r.most > 0 && len(r.tries) >= r.most || r.open > 0 && !b.cfg.SecondCopies {
		return false
	}
	c := r.class
	return !slices.ContainsFunc(r.tries, func(t attempt) bool {
		return t.s == s || t.mayRun && (c.Effect == Unsafe ||
			c.Effect == Keyed && (b.now-t.sent >= c.Window || !c.sees(t.zone, t.cell, s)))
	})
}

func outlierPause(bad int) time.Duration {
	return min(outlierFirst<<min(bad-outlierAfter, 10), outlierMost)
}

// mayRefuse tells whether a refusal, which calls a repetition harmless, is true.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == DedupAll ||
		!slices.ContainsFunc(r.tries, func(t attempt) bool { return t.mayRun })
}

// warmth is the share of its capacity that a server surely has by now.
func (b *Balancer) warmth(s *server) float64 {
	if s.StartedAt <= 0 || b.cfg.WarmWithin <= 0 {
		return 1
	}
	age := float64(b.now-s.StartedAt) / float64(b.cfg.WarmWithin)
	return min(max(b.cfg.ColdFrom+(1-b.cfg.ColdFrom)*max(age, 0), 0.01), 1)
}

// mayTake tells whether a ready server may be sent something now. A cold one is held to what a warm server of
// its size was seen to serve of this node, times the warmth, which is safe however many nodes there are. What
// is served in a jam tells nothing of that: cold servers would stand idle while the warm ones are overrun.
func (b *Balancer) mayTake(s *server) bool {
	w := b.warmth(s)
	if w >= 1 {
		return true
	}
	b.subset()
	per := b.peak
	if b.warmSum == 0 { // no warm server to go by: all are cold, what is asked is shared among them
		known := max(1-math.Exp2(-float64(b.now-b.birth)/float64(rateLife)), 0.1) // of a rate by now
		per = b.asked.perSecond(b.now) / known / max(b.nearSum, 1e-9)
	}
	flow := coldShare * w * per * s.Capacity
	most := flow * coldBurst * b.cfg.FallAfter.Seconds()
	s.tokens, s.filled = min(s.tokens+flow*(b.now-s.filled).Seconds(), most), b.now
	return s.tokens > 0
}

// outlier tells whether a server has had more bad answers in a row than what befalls all alike would bring.
// Where connections break at every one, or all are jammed, setting one after the other aside jams the rest.
func (b *Balancer) outlier(s *server) bool {
	if b.now-b.drawn >= curveLife && len(b.ready) > 0 {
		parts := make([]float64, len(b.ready))
		for i, o := range b.ready {
			parts[i] = o.badPart
		}
		slices.Sort(parts)
		b.common, b.drawn = parts[(len(parts)-1)/2], b.now
	}
	return s.bad >= outlierAfter && math.Pow(b.common, float64(s.bad)) < outlierRare
}
