package logic

import "time"

func (b *Balancer) send(r *request, s *server, timeout time.Duration) {
	s.inflight += r.load
	if b.isOutlier(s) {
		s.ejectedUntil = b.now + ejectionPause(s.failures) // one probe at a time
	}
	if b.warmth(s) < 1 {
		s.coldTokens -= r.cost
	}
	r.attempts = append(r.attempts, attempt{
		server: s, zone: s.Zone, cell: s.Cell, queue: b.logQueue(s), sentAt: b.now, open: true, mayRun: true,
	})
	s.reportedLoad, s.lastSent = s.reportedLoad+1, b.now
	b.sendTokens = max(b.sendTokens-1, -2*maxSendTokens)
	r.inflight++
	b.emit(Send{ID: r.id, Server: s.ID, Timeout: timeout})
}

func (b *Balancer) handleOutcome(o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].open {
		return
	}
	t := &r.attempts[o.Attempt]
	abandoned := o.Result == TimedOut || o.Result == Canceled
	t.open, t.mayRun = false, !o.Result.NeverRan()
	r.loadUnknown = o.Result == ConnectFailed || o.Result >= Canceled || t.started && abandoned
	t.server.inflight -= r.load
	r.inflight--
	if abandoned && !t.started {
		// The server may go on with the work: the longer an attempt took, the longer it may still take.
		t.server.abandoned = append(t.server.abandoned, b.now+o.Latency)
	}
	b.handleReport(t.server, o.Report)
	if !t.started {
		b.learnOutcome(r, t, o)
	} else if !r.closed && (o.Result == Failed || o.Result == Reset) {
		b.recordFailure(t.server, t)
	}
	if b.cfg.ConnectCharge == 0 && t.server.inflight == 0 {
		// Idle connections of many nodes fill a server's table and slow it; a new one costs nothing here.
		b.emit(CloseIdle{Server: t.server.ID})
	}
	switch {
	case r.closed:
		b.forget(r)
	case o.Final || t.started:
		b.closeRequest(r, o.Result == OK)
	case !r.streaming && r.inflight == 0 && !b.retry(r):
		b.answerUnserved(r)
	}
}

// retry sends a request to its alternative or the next best server, and reports whether it did.
func (b *Balancer) retry(r *request) bool {
	left := r.deadline - b.now
	last := &r.attempts[len(r.attempts)-1]
	if left < minTimeout || last.mayRun && (!b.mayRetry(r) || b.retryTokens < 1) {
		return false
	}
	alt := r.alternative
	if alt == nil || alt.ejected(b.now) || !b.maySend(r, alt) {
		alt = b.alternative(r, last.server)
	}
	if alt == nil || b.worthShare(r, alt, 0) < admitChance {
		return false
	}
	if s := b.preferred(r, max(b.worthShare(r, alt, 0)-clearMargin, admitChance)); s != nil && !last.mayRun {
		alt = s
	}
	if last.mayRun {
		r.retried = true
		b.retryTokens--
	}
	b.send(r, alt, left)
	return true
}

// handleStarted learns from the start of a stream. After that no deadline applies and only failures count.
func (b *Balancer) handleStarted(e Started) {
	r := b.requests[e.ID]
	if r == nil || r.closed || r.streaming || e.Attempt < 0 || e.Attempt >= len(r.attempts) ||
		!r.attempts[e.Attempt].open {
		return
	}
	t := &r.attempts[e.Attempt]
	b.cancelOthers(r, e.Attempt)
	r.streaming, r.startedAt, r.loadUnknown, t.started = true, b.now, true, true
	b.learnOutcome(r, t, Outcome{Result: OK, Latency: e.Latency})
}

func (b *Balancer) answerUnserved(r *request) {
	// Too late to be worth anything: a rejection would only invite more late tries.
	late := r.aim-b.now < minTimeout && r.class.LateWorth == 0 && r.class.Effect != Safe
	if late || !b.mayReject(r) {
		b.emit(Fail{ID: r.id})
	} else {
		b.emit(Reject{ID: r.id, RetryAfter: b.cfg.MaxRetryAfter})
	}
	b.closeRequest(r, false)
}

func (b *Balancer) closeRequest(r *request, served bool) {
	at := b.now // of the answer
	if r.closed, r.closedAt = true, b.now; r.streaming {
		at = r.startedAt
	}
	if served && !r.lateTry {
		r.class.unservedShare = max(r.class.unservedShare-missedStep, 0)
	}
	if !served && r.loadUnknown && at < r.aim-b.cfg.Tick { // client left or no connection: no overload
		b.sendTokens += float64(r.inflight)
	} else if len(r.attempts) > 0 {
		miss := 1.0
		if served && at <= r.aim {
			miss = 0
			b.sendTokens += sendTokenGain / b.onTimeShare
			b.retryTokens = min(b.retryTokens+retryTokenGain, maxRetryTokens)
		}
		step := toleranceGain
		if !served || r.aim-at < r.class.Aim/2 {
			step = -toleranceLoss // it queued: admitting more would delay the other requests
		}
		b.toleratedLoss = max(b.toleratedLoss+(1-b.capacityLeft)*step, 0)
		b.onTimeShare += (1 - miss - b.onTimeShare) * onTimeStep
		b.missedShare += (miss - b.missedShare) * missedStep * min(r.worth/b.meanWorth, 1/missedStep)
	}
	b.cancelOthers(r, -1)
	if r.inflight > 0 {
		b.lingering = append(b.lingering, r)
	}
	b.forget(r)
}

// cancelOthers cancels the open attempts except one. A stream that has started belongs to the client.
func (b *Balancer) cancelOthers(r *request, except int) {
	for i, t := range r.attempts {
		if t.open && i != except && b.cfg.CanCancel && !r.streaming {
			b.emit(Cancel{ID: r.id, Attempt: i})
		}
	}
}

func (b *Balancer) forget(r *request) {
	delete(b.bySeq, r.seq)
	if r.inflight == 0 {
		delete(b.requests, r.id)
	}
}

// purgeLingering drops closed requests whose outcomes never came.
func (b *Balancer) purgeLingering() {
	for len(b.lingering) > 0 && (b.lingering[0].inflight == 0 || b.now-b.lingering[0].closedAt > outcomeTTL) {
		r := b.lingering[0]
		b.lingering[0], b.lingering = nil, b.lingering[1:]
		for _, t := range r.attempts {
			if t.open {
				t.server.inflight -= r.load
			}
		}
		delete(b.requests, r.id)
	}
}
