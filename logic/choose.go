package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func (b *Balancer) sendFirst(r *request) {
	pick, timeout, alt := b.choose(r)
	if r.worth >= b.meanWorth {
		if b.rejectedShare *= 1 - missedStep; pick == nil {
			b.rejectedShare += missedStep
		}
	}
	if pick == nil {
		b.answerUnserved(r)
		return
	}
	r.alternative = alt
	if b.cfg.SecondCopies && alt != nil {
		// The first attempt goes on: cutting it may stop no work, and its answer tells more of the server.
		b.emit(SetTimer{Token: 2*r.seq + 1, After: timeout})
		timeout = r.deadline - b.now
	}
	b.send(r, pick, timeout)
}

// choose returns the server, timeout and alternative of the first attempt; no server to reject the request.
func (b *Balancer) choose(r *request) (*server, time.Duration, *server) {
	left := r.deadline - b.now
	candidates := b.gatherCandidates(nil, r)
	if len(candidates) == 0 {
		return nil, 0, nil
	}
	pick := b.cheapest(r, b.leastLoaded(candidates), candidates)
	best := math.Inf(-1)
	for _, s := range candidates {
		best = max(best, b.payoff(r, s, 0))
	}
	// Sending requests that will miss their aim sustains an overload: the queues serve only late ones. A few
	// are sent anyway, or a rejected class would stay rejected forever; fewer as more of them miss it.
	need := b.requiredChance(r)*(r.class.reward+r.class.penalty) - r.class.penalty
	b.sendTokens = min(b.sendTokens+minSendRate*(b.now-b.sendTokensAt).Seconds(), maxSendTokens)
	b.sendTokensAt = b.now
	// After a loss of capacity, which a node that sends little learns too late, it admits less, by worth, and
	// more again as answers come soon; so too if many nodes share servers and answers take twice their work.
	b.toleratedLoss = min(b.toleratedLoss, 1-b.capacityLeft)
	shared := min(float64(len(b.ring)-len(b.subset)), 1)
	over := max(1-b.capacityLeft-b.toleratedLoss, (b.fleetSlowdown-math.Ln2)*shared)
	if b.rng.Float64()*max(r.worth, 1e-9) < over*b.meanWorth {
		return nil, 0, nil
	}
	trials := probeShare
	if b.missedShare > overloadShare { // else a burst of sends has another cause
		if trials *= b.sendTokens / maxSendTokens; b.sendTokens < 1 {
			return nil, 0, nil
		}
	}
	if best < need && b.rng.Float64() >= trials {
		// Rather than reject, try an ejected server that is idle and has a chance.
		for range sampleSize {
			s := b.randomServer(b.ready)
			if p := b.payoff(r, s, 0); p > best && s.ejected(b.now) && s.load(b.now) == 0 && b.maySend(r, s) {
				pick, best = s, p
			}
		}
		if best < need {
			return nil, 0, nil
		}
	}
	if s := b.preferred(r, (best+r.class.penalty)/(r.class.reward+r.class.penalty)-clearMargin); s != nil {
		pick = s
	}
	timeout, alt, pay := b.bestTimeout(r, pick, left)
	if best > pay+clearMargin*(r.class.reward+r.class.penalty) {
		// Take any candidate about as good as the best; they were drawn by capacity.
		floor := best - tieMargin*(r.class.reward+r.class.penalty)
		nearBest := func(s *server) bool { return b.payoff(r, s, 0) >= floor }
		if i := slices.IndexFunc(candidates, nearBest); i >= 0 {
			pick = candidates[i]
		}
		timeout, alt, _ = b.bestTimeout(r, pick, left)
	}
	return pick, timeout, alt
}

// preferred returns the first preferred server that isn't overloaded and promises at least this worth share.
func (b *Balancer) preferred(r *request, least float64) *server {
	for _, id := range r.source.Preferred {
		s := b.servers[id]
		if s != nil && !s.ejected(b.now) && b.maySend(r, s) && b.worthShare(r, s, 0) >= least &&
			s.load(b.now) <= minAffinityLoad+affinityScale*float64(len(b.bySeq))*s.Capacity/b.subsetCapacity {
			return s
		}
	}
	return nil
}

// requiredChance is the chance of an answer in time below which a request is rejected. In overload admitted
// work displaces other work and must earn as much: a class worth little is rejected sooner than one worth
// much, and entirely if that much of the admitted worth is missed.
func (b *Balancer) requiredChance(r *request) float64 {
	share := b.meanWorth / max(r.worth, 1e-9)
	return max(min(max(admitChance*math.Sqrt(share), minAdmitChance), maxAdmitChance),
		min(b.missedShare*share+b.rejectedShare*max(share-1, 0), 1))
}

// leastLoaded returns the first candidate with the least load of this node relative to its capacity.
func (b *Balancer) leastLoaded(candidates []*server) *server {
	return slices.MinFunc(candidates, func(s, o *server) int {
		return cmp.Compare(s.load(b.now)*o.Capacity, o.load(b.now)*s.Capacity)
	})
}

// cheapest returns a candidate with no more load than pick whose lower send cost outweighs any lower payoff.
func (b *Balancer) cheapest(r *request, pick *server, candidates []*server) *server {
	price := b.sendCost(pick)
	scale := b.meanWorth / r.class.reward
	least := b.worthShare(r, pick, 0) - price*scale
	for _, s := range candidates {
		p := b.sendCost(s)
		if p < price && s.load(b.now) <= pick.load(b.now) && b.worthShare(r, s, 0)-p*scale >= least {
			pick, price = s, p
		}
	}
	return pick
}

// sendCost is the cost of a send by zone crossing and a new connection, as a share of a request's worth.
func (b *Balancer) sendCost(s *server) (p float64) {
	if s.Zone != b.cfg.Zone {
		p = b.cfg.CrossCharge
	}
	if s.inflight > 0 || s.lastAnswer == 0 || b.now-s.lastAnswer >= b.cfg.ConnIdle {
		p += b.cfg.ConnectCharge
	}
	return p
}

// gatherCandidates draws candidates in random order by capacity: all of a small subset, a sample of a large
// one, or all servers if none of the subset may be sent to. Servers that may not be sent to are left out;
// ejected ones only come if there is no other. If first is set, candidates are for a retry after that server.
func (b *Balancer) gatherCandidates(first *server, r *request) []*server {
	pool := b.refreshSubset()
	b.scratch, b.scanID = b.scratch[:0], b.scanID+1
	for i := 0; i < sampleSize && len(pool) > 0; i++ {
		b.addCandidate(b.randomServer(pool), first, r)
	}
	if len(b.scratch) == 0 {
		pool = b.ready
	}
	if n := len(pool); n > 0 && (n <= sampleSize || len(b.scratch) == 0) {
		from := b.rng.IntN(n)
		for i := range pool {
			b.addCandidate(pool[(from+i)%n], first, r)
		}
	}
	usable := 0
	for _, s := range b.scratch {
		if !s.ejected(b.now) {
			b.scratch[usable] = s
			usable++
		}
	}
	if usable == 0 && b.rng.Float64() < probeShare {
		usable = len(b.scratch)
	}
	return b.scratch[:usable]
}

func (b *Balancer) addCandidate(s, first *server, r *request) {
	if s.lastScan == b.scanID || s == first || !b.maySend(r, s) ||
		first != nil && r.class.Effect == Keyed && !r.class.inDedupScope(first.Zone, first.Cell, s) {
		return
	}
	s.lastScan = b.scanID
	b.scratch = append(b.scratch, s)
}

// inDedupScope reports whether the server drops repeats of what was sent to a zone and cell.
func (c *class) inDedupScope(zone string, cell int, s *server) bool {
	return (c.Group != DedupZone || zone == s.Zone) && (c.Group != DedupCell || cell == s.Cell)
}

// randomServer returns a random server, weighted by its present capacity.
func (b *Balancer) randomServer(pool []*server) *server {
	for i := 0; ; i++ {
		s := pool[b.rng.IntN(len(pool))]
		if i == maxDraws || b.rng.Float64()*b.maxCapacity <= s.Capacity*b.warmth(s) {
			return s
		}
	}
}

// worthShare is the expected share of the worth, by the deadline, if s gets the request after a pause.
func (b *Balancer) worthShare(r *request, s *server, pause time.Duration) float64 {
	at := b.now + pause
	g := b.answerChance(r, s, min(r.aim, r.deadline)-at)
	if late := r.class.LateWorth; late > 0 && r.deadline > r.aim {
		g += late * (b.answerChance(r, s, r.deadline-at) - g)
	}
	return g
}

// payoff is the expected payoff without a retry, R·F − V·(1−F).
func (b *Balancer) payoff(r *request, s *server, pause time.Duration) float64 {
	g := b.worthShare(r, s, pause)
	return r.class.reward*g - r.class.penalty*(1-g)
}

// bestTimeout returns the timeout θ that maximises the paper's payoff for a first attempt at s, with the
// alternative and the payoff; the time left and no alternative if waiting pays at least as much.
func (b *Balancer) bestTimeout(r *request, s *server, left time.Duration) (time.Duration, *server, float64) {
	soon, span := *r, min(cmp.Or(r.class.Prompt, left), left) // as if later answers were worthless
	soon.deadline, soon.aim = b.now+span, min(r.aim, b.now+span)
	best, alt, pay := span, (*server)(nil), b.payoff(&soon, s, 0)
	if b.retryTokens >= 1 && b.mayRetry(r) && (r.maxAttempts == 0 || len(r.attempts)+1 < r.maxAttempts) {
		alt = b.alternative(&soon, s)
	}
	for i := 1; i < timeoutSteps && alt != nil; i++ {
		t := span * time.Duration(i) / timeoutSteps
		if p := b.retryPayoff(&soon, s, alt, t); p > pay {
			best, pay = t, p
		}
	}
	if best == span {
		return left, nil, b.payoff(r, s, 0)
	}
	spread := 1 + timeoutJitter*(2*b.rng.Float64()-1)
	return time.Duration(float64(best) * spread), alt, max(b.payoff(r, s, 0), b.retryPayoff(r, s, alt, best))
}

// retryPayoff is R·F1(θ) + (1−F1(θ))·{−c2 + R·F2(d−θ) − V·(1−F2(d−θ))}.
func (b *Balancer) retryPayoff(r *request, s, alt *server, timeout time.Duration) float64 {
	c := r.class
	done := b.answerChance(r, s, timeout)
	full := b.answerChance(r, s, min(timeout, r.aim-b.now))
	return c.reward*(full+c.LateWorth*(done-full)) + (1-done)*(-c.retryCost+b.payoff(r, alt, timeout))
}

// alternative returns the server other than s with the best payoff, or one about as good.
func (b *Balancer) alternative(r *request, s *server) *server {
	half := (r.deadline - b.now) / 2
	candidates := b.gatherCandidates(s, r)
	if len(candidates) == 0 {
		return nil
	}
	pay := func(a *server) float64 { return b.payoff(r, a, half) }
	best := slices.MaxFunc(candidates, func(a, o *server) int { return cmp.Compare(pay(a), pay(o)) })
	// Spread over the near best: with equal histograms all nodes would pick one server.
	floor := pay(best) - tieMargin*(r.class.reward+r.class.penalty)
	near := func(a *server) bool { return pay(a) >= floor && a.load(b.now) <= best.load(b.now) }
	return candidates[slices.IndexFunc(candidates, near)]
}
