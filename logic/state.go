package logic

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// A Balancer exports what it has learned, so that a process that replaces another on the same node need not
// start from nothing. No decisions are made in this file.

// learned is the saved state in JSON, by the names of the Go fields. Times are on the clock of Handle.
type learned struct {
	Peak    float64   // Balancer.peakRate
	Full    float64   // Balancer.fullCapacity
	Usual   float64   // Balancer.onTimeShare
	Missed  float64   // Balancer.missedShare
	Worth   float64   // Balancer.meanWorth
	Held    float64   // Balancer.meanReport
	Cov     float64   // reportModel.covariance
	Sq      float64   // reportModel.meanSquare
	Common  float64   // Balancer.typicalFailures
	Served  savedRate // Balancer.servedWork
	Span    savedRate // Balancer.capacityTime
	Asked   savedRate // Balancer.demand
	Classes map[string]savedClass
	Kinds   map[string]savedCurve
	Servers map[ServerID]savedServer
}

// savedRate is a saved rate.
type savedRate struct {
	Sum float64
	At  time.Duration // updatedAt
}

// savedClass is a saved classStats.
type savedClass struct {
	Scale float64       // median
	Seen  float64       // samples
	Hint  float64       // meanHint
	Usual time.Duration // usualTimeout
	Votes int           // usualVotes
	Brief float64       // lateTryShare
	Lost  float64       // unservedShare
}

// savedCurve is a saved latencyCurve.
type savedCurve struct {
	Done []float64     // answered
	Cut  []float64     // censored
	Aged time.Duration // agedAt
}

// savedServer holds the latencies and failures of a server process.
type savedServer struct {
	Born    time.Duration // StartedAt, tells one process of a server from the next
	Until   time.Duration // ejectedUntil
	Judged  time.Duration // ejectedAt
	Stats   savedCurve    // latencies
	Bad     int           // failures
	BadPart float64       // failureShare
}

func (r *rate) export() savedRate { return savedRate{r.sum, r.updatedAt} }

func (c *latencyCurve) export() savedCurve { return savedCurve{c.answered[:], c.censored[:], c.agedAt} }

// ExportLearned returns what was learned so far, for ImportLearned and ImportAfterRestart.
func (b *Balancer) ExportLearned() ([]byte, error) {
	l := learned{
		Peak: b.peakRate, Full: b.fullCapacity, Usual: b.onTimeShare, Missed: b.missedShare, Worth: b.meanWorth, Held: b.meanReport,
		Cov: b.reports.covariance, Sq: b.reports.meanSquare, Common: b.typicalFailures,
		Served: b.servedWork.export(), Span: b.capacityTime.export(), Asked: b.demand.export(),
		Classes: map[string]savedClass{}, Kinds: map[string]savedCurve{}, Servers: map[ServerID]savedServer{},
	}
	for n, c := range b.classes {
		l.Classes[n] = savedClass{c.median, c.samples, c.meanHint, c.usualTimeout, c.usualVotes, c.lateTryShare, c.unservedShare}
	}
	for n, k := range b.kinds {
		l.Kinds[n] = k.export()
	}
	for id, s := range b.servers {
		l.Servers[id] = savedServer{s.StartedAt, s.ejectedUntil, s.ejectedAt, s.latencies.export(), s.failures, s.failureShare}
	}
	return json.Marshal(l)
}

// ImportLearned takes over what ExportLearned returned, for the classes and servers that are known here too.
// It changes nothing if a value is invalid.
func (b *Balancer) ImportLearned(text []byte) error {
	l, err := b.restore(text)
	if err != nil {
		return err
	}
	b.peakRate, b.fullCapacity, b.onTimeShare, b.missedShare, b.meanWorth, b.meanReport = l.Peak, l.Full, l.Usual, l.Missed, l.Worth, l.Held
	b.reports, b.typicalFailures = reportModel{l.Cov, l.Sq}, l.Common
	b.servedWork, b.capacityTime, b.demand = rate{l.Served.Sum, l.Served.At}, rate{l.Span.Sum, l.Span.At}, rate{l.Asked.Sum, l.Asked.At}
	b.firstEventAt = 0 // the demand is known, not still rising
	return nil
}

// ImportAfterRestart takes over what stays valid after the node was stopped: latencies by class and kind of
// server, and the latencies and ejections of servers that are still the same processes. The learned load is left
// out, as the fleet may have stopped too: a fleet that starts cold would look like one that lost its capacity.
func (b *Balancer) ImportAfterRestart(text []byte) error {
	_, err := b.restore(text)
	return err
}

func (b *Balancer) restore(text []byte) (*learned, error) {
	l := &learned{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, err
	}
	if err := l.check(); err != nil {
		return nil, err
	}
	for n, c := range l.Classes {
		if k := b.classes[n]; k != nil {
			k.median, k.samples, k.meanHint, k.usualTimeout, k.usualVotes = c.Scale, c.Seen, c.Hint, c.Usual, c.Votes
			k.lateTryShare, k.unservedShare = c.Brief, c.Lost
		}
	}
	for n, k := range l.Kinds {
		b.kindCurve(n).restore(k)
	}
	for id, o := range l.Servers {
		if s := b.servers[id]; s != nil && s.StartedAt == o.Born { // nothing is known of a new process
			s.ejectedUntil, s.ejectedAt, s.failures, s.failureShare = o.Until, o.Judged, o.Bad, o.BadPart
			s.latencies.restore(o.Stats)
		}
	}
	return l, nil
}

func (c *latencyCurve) restore(l savedCurve) {
	copy(c.answered[:], l.Done)
	copy(c.censored[:], l.Cut)
	c.agedAt, c.valid = l.Aged, false
}

// check returns an error for values that can't have been learned.
func (l *learned) check() error {
	values := []float64{l.Peak, l.Full, l.Usual, l.Missed, l.Worth, l.Held, l.Sq, l.Common, l.Served.Sum, l.Span.Sum, l.Asked.Sum}
	for n, c := range l.Classes {
		if !(c.Scale > 0) {
			return fmt.Errorf("learned state: class %s: median latency %v must be above 0", n, c.Scale)
		}
		if c.Brief > 1 || c.Lost > 1 {
			return fmt.Errorf("learned state: class %s: shares %v and %v must not exceed 1", n, c.Brief, c.Lost)
		}
		values = append(values, c.Seen, c.Hint, c.Brief, c.Lost)
	}
	curves := slices.Collect(maps.Values(l.Kinds))
	for _, s := range l.Servers {
		curves = append(curves, s.Stats)
		values = append(values, s.BadPart, float64(s.Bad))
	}
	for _, c := range curves {
		if len(c.Done) != bins+1 || len(c.Cut) != bins+1 {
			return errors.New("learned state: a histogram has the wrong number of bins")
		}
		values = append(append(values, c.Done...), c.Cut...)
	}
	if !(l.Usual > 0) || l.Usual > 1 || l.Missed > 1 || slices.ContainsFunc(values, func(v float64) bool { return !(v >= 0) || math.IsInf(v, 0) }) {
		return errors.New("learned state: a value is out of range")
	}
	return nil
}
