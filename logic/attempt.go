package logic

import "time"

func (b *Balancer) send(r *request, s *server, within time.Duration) {
	s.inflight += r.work
	if b.outlier(s) {
		s.until = b.now + outlierPause(s.bad) // one trial at a time
	}
	if b.warmth(s) < 1 {
		s.tokens -= r.cost
	}
	t := attempt{s: s, zone: s.Zone, cell: s.Cell, queue: b.queue(s), sent: b.now, open: true, mayRun: true}
	r.tries = append(r.tries, t)
	s.report, s.sent = s.report+1, b.now
	b.room = max(b.room-1, -2*roomMost)
	r.open++
	b.do(Send{ID: r.id, Server: s.ID, Timeout: within})
}

func (b *Balancer) outcome(o Outcome) {
	r := b.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.tries) || !r.tries[o.Attempt].open {
		return
	}
	t := &r.tries[o.Attempt]
	cut := o.Result == TimedOut || o.Result == Canceled
	t.open, t.mayRun = false, !o.Result.NeverRan()
	r.idle = o.Result == ConnectFailed || o.Result >= Canceled || t.begun && cut
	t.s.inflight -= r.work
	r.open--
	if cut && !t.begun {
		// A cut may not stop the work: the longer an attempt took, the longer it may still take.
		t.s.ghosts = append(t.s.ghosts, b.now+o.Latency)
	}
	b.reported(t.s, o.Report)
	if !t.begun {
		b.learn(r, t, o)
	} else if !r.closed && (o.Result == Failed || o.Result == Reset) {
		b.blame(t.s, t)
	}
	if b.cfg.ConnectCharge == 0 && t.s.inflight == 0 {
		// Many nodes' idle connections fill a server's table, which slows it. A new one has no price here.
		b.do(CloseIdle{Server: t.s.ID})
	}
	switch {
	case r.closed:
		b.forget(r)
	case o.Final || t.begun:
		b.close(r, o.Result == OK)
	case !r.streaming && r.open == 0 && !b.retry(r):
		b.finish(r)
	}
}

// retry sends a request to its alternative, or the next best; false where it may not.
func (b *Balancer) retry(r *request) bool {
	left := r.end - b.now
	last := &r.tries[len(r.tries)-1]
	if left < minWithin || last.mayRun && (!b.mayRetry(r) || b.budget < 1) {
		return false
	}
	alt := r.alt
	if alt == nil || alt.aside(b.now) || !b.maySend(r, alt) {
		alt = b.alternative(r, last.s)
	}
	if alt == nil || b.gain(r, alt, 0) < realChance {
		return false
	}
	if s := b.preferred(r, max(b.gain(r, alt, 0)-clearBeat, realChance)); s != nil && !last.mayRun {
		alt = s
	}
	if last.mayRun {
		r.retried = true
		b.budget--
	}
	b.send(r, alt, left)
	return true
}

// stream learns from an answer that has begun. It has no deadline any more; its end tells only of a break.
func (b *Balancer) stream(e Started) {
	r := b.reqs[e.ID]
	if r == nil || r.closed || r.streaming || e.Attempt < 0 || e.Attempt >= len(r.tries) ||
		!r.tries[e.Attempt].open {
		return
	}
	t := &r.tries[e.Attempt]
	b.callOff(r, e.Attempt)
	r.streaming, r.began, r.idle, t.begun = true, b.now, true, true
	b.learn(r, t, Outcome{Result: OK, Latency: e.Latency})
}

// finish gives the final answer of a request that was not served.
func (b *Balancer) finish(r *request) {
	// Too late to be worth anything: a refusal would only ask the client for more of it.
	late := r.aim-b.now < minWithin && r.class.LateWorth == 0 && r.class.Effect != Safe
	if late || !b.mayRefuse(r) {
		b.do(Fail{ID: r.id})
	} else {
		b.do(Reject{ID: r.id, RetryAfter: b.cfg.MaxRetryAfter})
	}
	b.close(r, false)
}

// close ends a request and calls off what is still out for it.
func (b *Balancer) close(r *request, served bool) {
	at := b.now // of the answer
	if r.closed, r.closedAt = true, b.now; r.streaming {
		at = r.began
	}
	if served && !r.brief {
		r.class.lost = max(r.class.lost-missStep, 0)
	}
	if !served && r.idle && at < r.aim-b.cfg.Tick { // its client left, or no connection came up: no jam
		b.room += float64(r.open)
	} else if len(r.tries) > 0 {
		miss := 1.0
		if served && at <= r.aim {
			miss = 0
			b.room += roomGain / b.usual
			b.budget = min(b.budget+retryShare, retryBurst)
		}
		step := borneStep
		if !served || r.aim-at < r.class.Aim/2 {
			step = -borneFall // it waited: let in more, and what is left is crowded
		}
		b.borne = max(b.borne+(1-b.left)*step, 0)
		b.usual += (1 - miss - b.usual) * usualStep
		b.missed += (miss - b.missed) * missStep * min(r.worth/b.worth, 1/missStep)
	}
	b.callOff(r, -1)
	if r.open > 0 {
		b.linger = append(b.linger, r)
	}
	b.forget(r)
}

// callOff ends the attempts that are out, but for one. A stream that has begun is the client's.
func (b *Balancer) callOff(r *request, but int) {
	for i, t := range r.tries {
		if t.open && i != but && b.cfg.CanCancel && !r.streaming {
			b.do(Cancel{ID: r.id, Attempt: i})
		}
	}
}

// forget drops an ended request whose outcomes are all in.
func (b *Balancer) forget(r *request) {
	delete(b.bySeq, r.seq)
	if r.open == 0 {
		delete(b.reqs, r.id)
	}
}

// purge drops ended requests whose outcomes never came.
func (b *Balancer) purge() {
	for len(b.linger) > 0 && (b.linger[0].open == 0 || b.now-b.linger[0].closedAt > lingerFor) {
		r := b.linger[0]
		b.linger[0], b.linger = nil, b.linger[1:]
		for _, t := range r.tries {
			if t.open {
				t.s.inflight -= r.work
			}
		}
		delete(b.reqs, r.id)
	}
}
