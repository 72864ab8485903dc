package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// first makes the first send of a request, or refuses it.
func (b *Balancer) first(r *request) {
	pick, theta, alt := b.choose(r)
	if r.worth >= b.worth {
		if b.turned *= 1 - missStep; pick == nil {
			b.turned += missStep
		}
	}
	if pick == nil {
		b.finish(r)
		return
	}
	r.alt = alt
	if b.cfg.SecondCopies && alt != nil {
		// It is not cut at θ: a cut that stops no work throws away the answer, which says more of the server.
		b.do(SetTimer{Token: 2*r.seq + 1, After: theta})
		theta = r.end - b.now
	}
	b.send(r, pick, theta)
}

// choose returns the server of the first send, its time-out and alternative; none without a real chance.
func (b *Balancer) choose(r *request) (*server, time.Duration, *server) {
	left := r.end - b.now
	cand := b.gather(nil, r)
	if len(cand) == 0 {
		return nil, 0, nil
	}
	pick := b.cheapest(r, b.idlest(cand), cand)
	bestPay := math.Inf(-1)
	for _, s := range cand {
		bestPay = max(bestPay, b.plain(r, s, 0))
	}
	// Sending what will miss its aim keeps a jam alive: the queues serve only the late. A few go all the
	// same, or a class refused once would be refused for ever; fewer the more was sent in vain.
	need := b.enough(r)*(r.class.r+r.class.v) - r.class.v
	b.room, b.roomAt = min(b.room+roomLeast*(b.now-b.roomAt).Seconds(), roomMost), b.now
	// Where capacity has gone and this node's load is thin, what is left may not bear it, and crowded it
	// stays slow: less is let in at once, by worth, then more as that comes back soon. So it is where many
	// nodes share each server and answers take twice their work: one from each is more than it bears.
	b.borne = min(b.borne, 1-b.left)
	shared := min(float64(len(b.ring)-len(b.near)), 1)
	over := max(1-b.left-b.borne, (b.strain-math.Ln2)*shared)
	if b.rng.Float64()*max(r.worth, 1e-9) < over*b.worth {
		return nil, 0, nil
	}
	trials := trialShare
	if b.missed > jamMissed { // else many are sent at once for another reason
		if trials *= b.room / roomMost; b.room < 1 {
			return nil, 0, nil
		}
	}
	if bestPay < need && b.rng.Float64() >= trials {
		// Rather than refuse, one goes to a server set aside that stands idle and has a chance.
		for range scanAll {
			s := b.draw(b.ready)
			if p := b.plain(r, s, 0); p > bestPay && s.aside(b.now) && s.load(b.now) == 0 && b.maySend(r, s) {
				pick, bestPay = s, p
			}
		}
		if bestPay < need {
			return nil, 0, nil
		}
	}
	if s := b.preferred(r, (bestPay+r.class.v)/(r.class.r+r.class.v)-clearBeat); s != nil {
		pick = s
	}
	theta, alt, pay := b.theta(r, pick, left)
	if bestPay > pay+clearBeat*(r.class.r+r.class.v) {
		// Any of the candidates that are about as good as the best, drawn by capacity.
		floor := bestPay - nearBest*(r.class.r+r.class.v)
		if i := slices.IndexFunc(cand, func(s *server) bool { return b.plain(r, s, 0) >= floor }); i >= 0 {
			pick = cand[i]
		}
		theta, alt, _ = b.theta(r, pick, left)
	}
	return pick, theta, alt
}

// preferred returns the first server that holds part of the prompt, promises such a gain and isn't crowded.
func (b *Balancer) preferred(r *request, least float64) *server {
	for _, id := range r.told.Preferred {
		s := b.servers[id]
		if s != nil && !s.aside(b.now) && b.maySend(r, s) && b.gain(r, s, 0) >= least &&
			s.load(b.now) <= heldLeast+heldTimes*float64(len(b.bySeq))*s.Capacity/b.nearSum {
			return s
		}
	}
	return nil
}

// enough is the chance below which a request is refused. In a jam the work that is let in displaces other
// work, so it has to earn what other work would: a class worth little is refused sooner than one worth much,
// and altogether where that much worth is missed among what was let in.
func (b *Balancer) enough(r *request) float64 {
	share := b.worth / max(r.worth, 1e-9)
	return max(min(max(realChance*math.Sqrt(share), chanceLeast), chanceMost),
		min(b.missed*share+b.turned*max(share-1, 0), 1))
}

// idlest returns the first candidate without work of this node, else the one with the least for its capacity.
func (b *Balancer) idlest(cand []*server) *server {
	return slices.MinFunc(cand, func(s, o *server) int {
		return cmp.Compare(s.load(b.now)*o.Capacity, o.load(b.now)*s.Capacity)
	})
}

// cheapest returns a candidate that costs less to send to than the pick, in crossings and new connections,
// has no more work of this node and whose worse payoff, if any, is outweighed by that.
func (b *Balancer) cheapest(r *request, pick *server, cand []*server) *server {
	price := b.price(pick)
	scale := b.worth / r.class.r
	least := b.gain(r, pick, 0) - price*scale
	for _, s := range cand {
		p := b.price(s)
		if p < price && s.load(b.now) <= pick.load(b.now) && b.gain(r, s, 0)-p*scale >= least {
			pick, price = s, p
		}
	}
	return pick
}

// price is what a send costs, as a part of a request's worth, whatever comes of it.
func (b *Balancer) price(s *server) (p float64) {
	if s.Zone != b.cfg.Zone {
		p = b.cfg.CrossCharge
	}
	if s.inflight > 0 || s.used == 0 || b.now-s.used >= b.cfg.ConnIdle {
		p += b.cfg.ConnectCharge
	}
	return p
}

// gather draws candidates in random order by capacity: all of a small subset, a sample of a large one, or
// where nobody of it may be sent to, all there are. It leaves out servers that may not be sent to now; those
// set aside only come where there is no other. With first, a server, it gathers for a retry after that one.
func (b *Balancer) gather(first *server, r *request) []*server {
	pool := b.subset()
	b.cand, b.stamp = b.cand[:0], b.stamp+1
	for i := 0; i < scanAll && len(pool) > 0; i++ {
		b.consider(b.draw(pool), first, r)
	}
	if len(b.cand) == 0 {
		pool = b.ready
	}
	if n := len(pool); n > 0 && (n <= scanAll || len(b.cand) == 0) {
		from := b.rng.IntN(n)
		for i := range pool {
			b.consider(pool[(from+i)%n], first, r)
		}
	}
	fit := 0
	for _, s := range b.cand {
		if !s.aside(b.now) {
			b.cand[fit] = s
			fit++
		}
	}
	if fit == 0 && b.rng.Float64() < trialShare {
		fit = len(b.cand)
	}
	return b.cand[:fit]
}

func (b *Balancer) consider(s, first *server, r *request) {
	if s.mark == b.stamp || s == first || !b.maySend(r, s) ||
		first != nil && r.class.Effect == Keyed && !r.class.sees(first.Zone, first.Cell, s) {
		return
	}
	s.mark = b.stamp
	b.cand = append(b.cand, s)
}

// sees tells whether the server drops the repeats of what was sent to a zone and cell.
func (c *class) sees(zone string, cell int, s *server) bool {
	return (c.Group != DedupZone || zone == s.Zone) && (c.Group != DedupCell || cell == s.Cell)
}

// draw returns a random server, likelier the more capacity it has now.
func (b *Balancer) draw(pool []*server) *server {
	for i := 0; ; i++ {
		s := pool[b.rng.IntN(len(pool))]
		if i == drawTries || b.rng.Float64()*b.top <= s.Capacity*b.warmth(s) {
			return s
		}
	}
}

// gain is the part of the worth to expect from a server sent a request after a pause, until its end.
func (b *Balancer) gain(r *request, s *server, pause time.Duration) float64 {
	at := b.now + pause
	g := b.chance(r, s, min(r.aim, r.end)-at)
	if late := r.class.LateWorth; late > 0 && r.end > r.aim {
		g += late * (b.chance(r, s, r.end-at) - g)
	}
	return g
}

// plain is the payoff of a server without a retry, R·F − V·(1−F).
func (b *Balancer) plain(r *request, s *server, pause time.Duration) float64 {
	g := b.gain(r, s, pause)
	return r.class.r*g - r.class.v*(1-g)
}

// theta returns the time-out that maximises the paper's payoff for a first send to s, and the alternative;
// the time left and none where plain waiting pays at least as much. It also returns the payoff.
func (b *Balancer) theta(r *request, s *server, left time.Duration) (time.Duration, *server, float64) {
	soon, span := *r, min(cmp.Or(r.class.Prompt, left), left) // as if later answers were lost
	soon.end, soon.aim = b.now+span, min(r.aim, b.now+span)
	best, alt, pay := span, (*server)(nil), b.plain(&soon, s, 0)
	if b.budget >= 1 && b.mayRetry(r) && (r.most == 0 || len(r.tries)+1 < r.most) {
		alt = b.alternative(&soon, s)
	}
	for i := 1; i < thetaSteps && alt != nil; i++ {
		t := span * time.Duration(i) / thetaSteps
		if p := b.retryPay(&soon, s, alt, t); p > pay {
			best, pay = t, p
		}
	}
	if best == span {
		return left, nil, b.plain(r, s, 0)
	}
	spread := 1 + thetaSpread*(2*b.rng.Float64()-1)
	return time.Duration(float64(best) * spread), alt, max(b.plain(r, s, 0), b.retryPay(r, s, alt, best))
}

// retryPay is R·F1(θ) + (1−F1(θ))·{−c2 + R·F2(d−θ) − V·(1−F2(d−θ))}.
func (b *Balancer) retryPay(r *request, s, alt *server, theta time.Duration) float64 {
	c := r.class
	done := b.chance(r, s, theta)
	full := b.chance(r, s, min(theta, r.aim-b.now))
	return c.r*(full+c.LateWorth*(done-full)) + (1-done)*(-c.c2+b.plain(r, alt, theta))
}

// alternative returns the server other than s with the best payoff, or one about as good.
func (b *Balancer) alternative(r *request, s *server) *server {
	half := (r.end - b.now) / 2
	cand := b.gather(s, r)
	if len(cand) == 0 {
		return nil
	}
	pay := func(a *server) float64 { return b.plain(r, a, half) }
	best := slices.MaxFunc(cand, func(a, o *server) int { return cmp.Compare(pay(a), pay(o)) })
	// Spread over the near best: equal histograms would send all nodes to one server.
	floor := pay(best) - nearBest*(r.class.r+r.class.v)
	near := func(a *server) bool { return pay(a) >= floor && a.load(b.now) <= best.load(b.now) }
	return cand[slices.IndexFunc(cand, near)]
}
