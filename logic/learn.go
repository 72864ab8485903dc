package logic

import (
	"cmp"
	"math"
	"time"
)

func (b *Balancer) handleReport(s *server, report []float64) {
	if s == nil || b.reportField < 0 || b.reportField >= len(report) || !(report[b.reportField] >= 0) {
		return
	}
	s.reportedLoad, s.reportedAt = report[b.reportField], b.now
	b.meanReport += (s.reportedLoad - b.meanReport) * reportStep
}

// logQueue is the logarithm of the server's last reported load over the mean one. It decays.
func (b *Balancer) logQueue(s *server) float64 {
	if s.reportedAt == 0 {
		return 0
	}
	fresh := math.Exp2(-float64(b.now-s.reportedAt) / float64(reportHalfLife))
	return fresh * math.Log((1+s.reportedLoad)/(1+b.meanReport))
}

// reportModel tracks how well reported queues predict latencies, as a regression slope. Outdated reports
// predict nothing: using them would send all nodes to the servers that were idle long ago.
type reportModel struct{ covariance, meanSquare float64 }

func (t *reportModel) observe(queue, latency float64) {
	if queue != 0 {
		t.covariance += (queue*latency - t.covariance) * reportStep
		t.meanSquare += (queue*queue - t.meanSquare) * reportStep
	}
}

func (t *reportModel) slope() float64 { return min(max(t.covariance/max(t.meanSquare, 0.01), 0), 1) }

func (b *Balancer) learnOutcome(r *request, t *attempt, o Outcome) {
	s := t.server
	x := o.Latency.Seconds() / r.usualTime
	switch done := o.Result == OK; o.Result {
	case OK, TimedOut, Canceled:
		if done || x > 1 {
			b.reports.observe(t.queue, math.Log(max(x, 1e-3)))
		}
		s.latencies.add(b.now, serverHalfLife, x, !done)
		if h := r.class.meanHint; h > 0 {
			s.limit = cmp.Or(s.limit, initialLimit)
			x := min(math.Log(o.Latency.Seconds()/(s.minLatency/2+r.cost*h)), maxSlowdown*math.Ln2)
			b.fleetSlowdown += (x - b.fleetSlowdown) * fleetSlowdownStep
			if s.slowdown += (x - s.slowdown) * slowdownStep; s.slowdown > math.Ln2 {
				s.limit = max(s.limit*limitDecrease, 1)
			} else if s.load(b.now)+1 >= s.limit { // the limit was in use
				s.limit = min(s.limit+1/s.limit, maxLimit)
			}
		}
		b.kindCurve(s.Kind).add(b.now, kindHalfLife, x, !done)
		r.class.updateMedian(o.Latency.Seconds()/(0.5+0.5*r.cost), done)
		if done {
			if b.warmth(s) >= 1 {
				b.servedWork.add(b.now, r.cost)
			}
			s.failures, s.lastAnswer, s.failureShare = 0, b.now, s.failureShare*(1-failureStep)
			s.minLatency = min(cmp.Or(s.minLatency, o.Latency.Seconds()), o.Latency.Seconds())
		} else if o.Result == TimedOut && b.now >= r.aim {
			b.recordFailure(s, t)
		}
	case Failed, Reset, QueueFull, ConnectFailed:
		if o.Result != QueueFull {
			b.sendTokens++ // it caused no load
		}
		// Counts as an answer past any deadline, of this server alone: its kind is not at fault.
		s.latencies.add(b.now, serverHalfLife, math.Inf(1), false)
		b.recordFailure(s, t)
	}
}

// recordFailure counts a failure; an outlier is ejected, longer each time. Attempts sent before the last
// ejection count no more: an overload fails many at once, which says nothing new.
func (b *Balancer) recordFailure(s *server, t *attempt) {
	if t.mayRun {
		s.failureShare += (1 - s.failureShare) * failureStep
	}
	if t.sentAt < s.ejectedAt {
		return
	}
	if s.failures++; b.isOutlier(s) {
		s.ejectedUntil, s.ejectedAt = b.now+ejectionPause(s.failures), b.now
	}
}

// updateMedian moves the class's median latency. An attempt abandoned before the median tells nothing.
func (c *class) updateMedian(latency float64, done bool) {
	if !done && latency < c.median {
		return
	}
	c.samples++
	step := max(medianStep, 0.5/c.samples)
	c.median *= math.Pow(1+step, math.Copysign(1, latency-c.median))
	c.median = min(max(c.median, c.Aim.Seconds()/200), c.Deadline.Seconds()*4)
}

// answerChance is F(t), the chance of an answer within t. The server's load of this node stretches latencies.
func (b *Balancer) answerChance(r *request, s *server, t time.Duration) float64 {
	if t <= 0 {
		return 0
	}
	x := t.Seconds() / (r.usualTime * (1 + 0.5*s.load(b.now)) * math.Exp(b.reports.slope()*b.logQueue(s)))
	return 1 - s.latencies.chanceAbove(b.now, serverHalfLife, b.kindCurve(s.Kind), x)
}

func (b *Balancer) kindCurve(name string) *latencyCurve {
	if b.kinds[name] == nil {
		b.kinds[name] = &latencyCurve{}
	}
	return b.kinds[name]
}
