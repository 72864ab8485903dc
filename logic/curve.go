package logic

import (
	"math"
	"time"
)

// Histograms count latencies relative to the usual one, in bins of a quarter of an octave from 1/8 to 32.
const binsPerOctave, octavesBelowOne, bins = 4, 3, 32

// latencyCurve is a decaying histogram of latencies and its survival curve.
type latencyCurve struct {
	answered           [bins + 1]float64 // answers; the last bin holds those past any deadline
	censored           [bins + 1]float64 // attempts abandoned in this bin
	survival           [bins]float64     // chance of a latency above the upper edge of each bin
	agedAt, computedAt time.Duration
	valid              bool
}

func binPosition(x float64) float64 { return (math.Log2(x) + octavesBelowOne) * binsPerOctave }

func (c *latencyCurve) add(now, life time.Duration, x float64, censored bool) {
	c.decay(now, life)
	i, to := int(min(max(binPosition(max(x, 1e-9)), 0), bins)), &c.answered
	if censored {
		to = &c.censored
	}
	to[i]++
	c.valid = false
}

func (c *latencyCurve) decay(now, life time.Duration) {
	f := math.Exp2(-float64(max(now-c.agedAt, 0)) / float64(life))
	for i := range c.answered {
		c.answered[i] *= f
		c.censored[i] *= f
	}
	c.agedAt = max(c.agedAt, now)
}

// chanceAbove is the chance of a relative latency above x.
func (c *latencyCurve) chanceAbove(now, life time.Duration, prior *latencyCurve, x float64) float64 {
	if !c.valid || now-c.computedAt > curveTTL {
		c.compute(now, life, prior)
	}
	p := binPosition(x)
	i, before := int(p), 1.0
	switch {
	case p <= 0:
		return 1
	case i >= bins:
		return c.survival[bins-1]
	case i > 0:
		before = c.survival[i-1]
	}
	return before + (p-float64(i))*(c.survival[i]-before)
}

// compute makes the Kaplan–Meier curve of the histogram and priorWeight answers of the prior's curve.
func (c *latencyCurve) compute(now, life time.Duration, prior *latencyCurve) {
	c.decay(now, life)
	c.computedAt, c.valid = now, true
	count, assumed := builtinWeight, &builtinSurvival
	if prior != nil {
		count, assumed = priorWeight, &prior.survival
		if !prior.valid || now-prior.computedAt > curveTTL {
			prior.compute(now, kindHalfLife, nil)
		}
	}
	risk := 0.0
	for i := range c.answered {
		risk += c.answered[i] + c.censored[i]
	}
	surv, before := 1.0, 1.0
	for i := range c.survival {
		after := assumed[i]
		if n := risk + count*before; n > 1e-9 {
			surv *= 1 - (c.answered[i]+count*(before-after))/n
		}
		c.survival[i] = max(surv, 0)
		risk -= c.answered[i] + c.censored[i]
		before = after
	}
}

// builtinSurvival is the curve assumed at first: log-logistic with the usual latency as its median.
var builtinSurvival = func() (surv [bins]float64) {
	for i := range surv {
		edge := math.Exp2(float64(i+1)/binsPerOctave - octavesBelowOne)
		surv[i] = 1 / (1 + edge*edge*edge)
	}
	return surv
}()

// rate is a decaying count of events.
type rate struct {
	sum       float64
	updatedAt time.Duration
}

func (r *rate) decay(now time.Duration) {
	r.sum *= math.Exp2(-float64(max(now-r.updatedAt, 0)) / float64(rateHalfLife))
	r.updatedAt = max(r.updatedAt, now)
}

func (r *rate) add(now time.Duration, n float64) {
	r.decay(now)
	r.sum += n
}

// perSecond is the recent mean rate; it rises from 0 as it becomes known.
func (r *rate) perSecond(now time.Duration) float64 {
	r.decay(now)
	return r.sum * math.Ln2 / rateHalfLife.Seconds()
}
