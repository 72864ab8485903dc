package logic

import (
	"cmp"
	"math"
	"time"
)

func (b *Balancer) reported(s *server, report []float64) {
	if s == nil || b.field < 0 || b.field >= len(report) || !(report[b.field] >= 0) {
		return
	}
	s.report, s.reported = report[b.field], b.now
	b.held += (s.report - b.held) * trustStep
}

// queue is the logarithm of what the server's last report says it holds against the mean one; it fades.
func (b *Balancer) queue(s *server) float64 {
	if s.reported == 0 {
		return 0
	}
	fresh := math.Exp2(-float64(b.now-s.reported) / float64(reportLife))
	return fresh * math.Log((1+s.report)/(1+b.held))
}

// trust follows how well the reported queues predict latencies, as the slope of one on the other. Reports
// that come late predict nothing: heeding them would send all nodes to the servers that were idle long ago.
type trust struct{ cov, sq float64 }

func (t *trust) learn(queue, latency float64) {
	if queue != 0 {
		t.cov += (queue*latency - t.cov) * trustStep
		t.sq += (queue*queue - t.sq) * trustStep
	}
}

func (t *trust) slope() float64 { return min(max(t.cov/max(t.sq, 0.01), 0), 1) }

func (b *Balancer) learn(r *request, t *attempt, o Outcome) {
	s := t.s
	x := o.Latency.Seconds() / r.unit
	switch done := o.Result == OK; o.Result {
	case OK, TimedOut, Canceled:
		if done || x > 1 {
			b.trust.learn(t.queue, math.Log(max(x, 1e-3)))
		}
		s.stats.add(b.now, halfLife, x, !done)
		if h := r.class.hint; h > 0 {
			s.limit = cmp.Or(s.limit, limitFirst)
			x := min(math.Log(o.Latency.Seconds()/(s.base/2+r.cost*h)), slowMost*math.Ln2)
			b.strain += (x - b.strain) * strainStep
			if s.slow += (x - s.slow) * paceStep; s.slow > math.Ln2 {
				s.limit = max(s.limit*limitCut, 1)
			} else if s.load(b.now)+1 >= s.limit { // the limit was reached
				s.limit = min(s.limit+1/s.limit, limitMost)
			}
		}
		b.kind(s.Kind).add(b.now, kindLife, x, !done)
		r.class.follow(o.Latency.Seconds()/(0.5+0.5*r.cost), done)
		if done {
			if b.warmth(s) >= 1 {
				b.served.add(b.now, r.cost)
			}
			s.bad, s.used, s.badPart = 0, b.now, s.badPart*(1-badStep)
			s.base = min(cmp.Or(s.base, o.Latency.Seconds()), o.Latency.Seconds())
		} else if o.Result == TimedOut && b.now >= r.aim {
			b.blame(s, t)
		}
	case Failed, Reset, QueueFull, ConnectFailed:
		if o.Result != QueueFull {
			b.room++ // it was no work for anyone
		}
		// An answer past any deadline, and this server's own doing: the kind is not blamed.
		s.stats.add(b.now, halfLife, math.Inf(1), false)
		b.blame(s, t)
	}
}

// blame counts a bad answer; an outlier is set aside, longer each time. What was out then and goes bad as
// well, a jam's worth at once, says nothing new.
func (b *Balancer) blame(s *server, t *attempt) {
	if t.mayRun {
		s.badPart += (1 - s.badPart) * badStep
	}
	if t.sent < s.judged {
		return
	}
	if s.bad++; b.outlier(s) {
		s.until, s.judged = b.now+outlierPause(s.bad), b.now
	}
}

// follow moves the class's median latency. An attempt cut short of it tells nothing.
func (c *class) follow(latency float64, done bool) {
	if !done && latency < c.scale {
		return
	}
	c.seen++
	step := max(scaleStep, 0.5/c.seen)
	c.scale *= math.Pow(1+step, math.Copysign(1, latency-c.scale))
	c.scale = min(max(c.scale, c.Aim.Seconds()/200), c.Deadline.Seconds()*4)
}

// chance is F(t): how likely the server answers within t. Its work for this node stretches what it needs.
func (b *Balancer) chance(r *request, s *server, t time.Duration) float64 {
	if t <= 0 {
		return 0
	}
	x := t.Seconds() / (r.unit * (1 + 0.5*s.load(b.now)) * math.Exp(b.trust.slope()*b.queue(s)))
	return 1 - s.stats.survival(b.now, halfLife, b.kind(s.Kind), x)
}

func (b *Balancer) kind(name string) *curve {
	if b.kinds[name] == nil {
		b.kinds[name] = &curve{}
	}
	return b.kinds[name]
}
