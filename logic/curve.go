package logic

import (
	"math"
	"time"
)

// Histograms count latencies in units of what is usual, in bins of a quarter of an octave from 1/8 to 32.
const binsPerOctave, lowestOctave, bins = 4, 3, 32

// curve is an ageing histogram of latencies and the survival curve drawn from it.
type curve struct {
	done        [bins + 1]float64 // answered; the last bin holds what came past any deadline
	cut         [bins + 1]float64 // censored: cut off in this bin
	surv        [bins]float64     // chance to take longer than the upper edge of each bin
	aged, drawn time.Duration
	valid       bool
}

func position(x float64) float64 { return (math.Log2(x) + lowestOctave) * binsPerOctave }

func (c *curve) add(now, life time.Duration, x float64, censored bool) {
	c.age(now, life)
	i, to := int(min(max(position(max(x, 1e-9)), 0), bins)), &c.done
	if censored {
		to = &c.cut
	}
	to[i]++
	c.valid = false
}

func (c *curve) age(now, life time.Duration) {
	f := math.Exp2(-float64(max(now-c.aged, 0)) / float64(life))
	for i := range c.done {
		c.done[i] *= f
		c.cut[i] *= f
	}
	c.aged = max(c.aged, now)
}

// survival is the chance to take longer than x.
func (c *curve) survival(now, life time.Duration, prior *curve, x float64) float64 {
	if !c.valid || now-c.drawn > curveLife {
		c.draw(now, life, prior)
	}
	p := position(x)
	i, before := int(p), 1.0
	switch {
	case p <= 0:
		return 1
	case i >= bins:
		return c.surv[bins-1]
	case i > 0:
		before = c.surv[i-1]
	}
	return before + (p-float64(i))*(c.surv[i]-before)
}

// draw computes the Kaplan–Meier curve of the histogram and priorCount answers of the prior's curve.
func (c *curve) draw(now, life time.Duration, prior *curve) {
	c.age(now, life)
	c.drawn, c.valid = now, true
	count, assumed := baseCount, &basic
	if prior != nil {
		count, assumed = priorCount, &prior.surv
		if !prior.valid || now-prior.drawn > curveLife {
			prior.draw(now, kindLife, nil)
		}
	}
	risk := 0.0
	for i := range c.done {
		risk += c.done[i] + c.cut[i]
	}
	surv, before := 1.0, 1.0
	for i := range c.surv {
		after := assumed[i]
		if n := risk + count*before; n > 1e-9 {
			surv *= 1 - (c.done[i]+count*(before-after))/n
		}
		c.surv[i] = max(surv, 0)
		risk -= c.done[i] + c.cut[i]
		before = after
	}
}

// basic is the curve assumed at first: log-logistic with the usual latency as its median.
var basic = func() (surv [bins]float64) {
	for i := range surv {
		edge := math.Exp2(float64(i+1)/binsPerOctave - lowestOctave)
		surv[i] = 1 / (1 + edge*edge*edge)
	}
	return surv
}()

// rate is an ageing count of events.
type rate struct {
	sum float64
	at  time.Duration
}

func (r *rate) age(now time.Duration) {
	r.sum *= math.Exp2(-float64(max(now-r.at, 0)) / float64(rateLife))
	r.at = max(r.at, now)
}

func (r *rate) add(now time.Duration, n float64) {
	r.age(now)
	r.sum += n
}

// perSecond is the mean rate lately; it rises from 0 as it becomes known.
func (r *rate) perSecond(now time.Duration) float64 {
	r.age(now)
	return r.sum * math.Ln2 / rateLife.Seconds()
}
