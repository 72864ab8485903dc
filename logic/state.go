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

// What a Balancer has learned can be taken on by another of the same node, so that a
// process that replaces one does not begin anew. Nothing is decided here.

// learned is the form of it. Times are on the clock of Handle.
type learned struct {
	Peak, Full, Usual, Missed, Worth, Held, Cov, Sq, Common float64
	Served, Span, Asked                                     learnedRate
	Classes                                                 map[string]learnedClass
	Kinds                                                   map[string]learnedCurve
	Servers                                                 map[ServerID]learnedServer
}

type learnedRate struct {
	Sum float64
	At  time.Duration
}

type learnedClass struct {
	Scale, Seen, Hint float64
	Usual             time.Duration
	Votes             int
	Brief, Lost       float64 // of the clients' patience
}

type learnedCurve struct {
	Done, Cut []float64
	Aged      time.Duration
}

type learnedServer struct {
	Born, Until, Judged time.Duration
	Stats               learnedCurve
	Bad                 int
	BadPart             float64
}

func (r *rate) form() learnedRate { return learnedRate{r.sum, r.at} }

func (c *curve) form() learnedCurve { return learnedCurve{c.done[:], c.cut[:], c.aged} }

// ExportLearned returns what was learned so far.
func (b *Balancer) ExportLearned() ([]byte, error) {
	l := learned{
		Peak: b.peak, Full: b.full, Usual: b.usual, Missed: b.missed, Worth: b.worth, Held: b.held,
		Cov: b.trust.cov, Sq: b.trust.sq, Common: b.common,
		Served: b.served.form(), Span: b.span.form(), Asked: b.asked.form(),
		Classes: map[string]learnedClass{}, Kinds: map[string]learnedCurve{}, Servers: map[ServerID]learnedServer{},
	}
	for n, c := range b.classes {
		l.Classes[n] = learnedClass{c.scale, c.seen, c.hint, c.usual, c.votes, c.brief, c.lost}
	}
	for n, k := range b.kinds {
		l.Kinds[n] = k.form()
	}
	for id, s := range b.servers {
		l.Servers[id] = learnedServer{s.StartedAt, s.until, s.judged, s.stats.form(), s.bad, s.badPart}
	}
	return json.Marshal(l)
}

// ImportLearned takes on what Learned returned, for the classes and servers that are known here
// too. It changes nothing where a figure can't be one.
func (b *Balancer) ImportLearned(text []byte) error {
	l, err := b.recall(text)
	if err != nil {
		return err
	}
	b.peak, b.full, b.usual, b.missed, b.worth, b.held = l.Peak, l.Full, l.Usual, l.Missed, l.Worth, l.Held
	b.trust, b.common = trust{l.Cov, l.Sq}, l.Common
	b.served, b.span, b.asked = rate{l.Served.Sum, l.Served.At}, rate{l.Span.Sum, l.Span.At}, rate{l.Asked.Sum, l.Asked.At}
	b.birth = 0 // the rate asked is known
	return nil
}

// ImportAfterRestart takes on what holds through a stop of the node: how long reqs take, by class and
// kind of server, and the judgements on servers that are still the same processes. What it
// had learned of the load speaks of a fleet that may have stopped as well: by it, a fleet
// that starts cold would be taken for one that has lost its capacity.
func (b *Balancer) ImportAfterRestart(text []byte) error {
	_, err := b.recall(text)
	return err
}

func (b *Balancer) recall(text []byte) (*learned, error) {
	l := &learned{}
	if err := json.Unmarshal(text, l); err != nil {
		return nil, err
	}
	if err := l.check(); err != nil {
		return nil, err
	}
	for n, c := range l.Classes {
		if k := b.classes[n]; k != nil {
			k.scale, k.seen, k.hint, k.usual, k.votes = c.Scale, c.Seen, c.Hint, c.Usual, c.Votes
			k.brief, k.lost = c.Brief, c.Lost
		}
	}
	for n, k := range l.Kinds {
		b.kind(n).take(k)
	}
	for id, o := range l.Servers {
		if s := b.servers[id]; s != nil && s.StartedAt == o.Born { // another process of it is not known
			s.until, s.judged, s.bad, s.badPart = o.Until, o.Judged, o.Bad, o.BadPart
			s.stats.take(o.Stats)
		}
	}
	return l, nil
}

func (c *curve) take(l learnedCurve) {
	copy(c.done[:], l.Done)
	copy(c.cut[:], l.Cut)
	c.aged, c.valid = l.Aged, false
}

// check reports figures that nothing can have learned.
func (l *learned) check() error {
	figures := []float64{l.Peak, l.Full, l.Usual, l.Missed, l.Worth, l.Held, l.Sq, l.Common, l.Served.Sum, l.Span.Sum, l.Asked.Sum}
	for n, c := range l.Classes {
		if !(c.Scale > 0) {
			return fmt.Errorf("learned: class %s: a median latency of %v", n, c.Scale)
		}
		if c.Brief > 1 || c.Lost > 1 {
			return fmt.Errorf("learned: class %s: parts of %v and %v", n, c.Brief, c.Lost)
		}
		figures = append(figures, c.Seen, c.Hint, c.Brief, c.Lost)
	}
	curves := slices.Collect(maps.Values(l.Kinds))
	for _, s := range l.Servers {
		curves = append(curves, s.Stats)
		figures = append(figures, s.BadPart, float64(s.Bad))
	}
	for _, c := range curves {
		if len(c.Done) != bins+1 || len(c.Cut) != bins+1 {
			return errors.New("learned: a histogram of another form")
		}
		figures = append(append(figures, c.Done...), c.Cut...)
	}
	if !(l.Usual > 0) || l.Usual > 1 || l.Missed > 1 || slices.ContainsFunc(figures, func(v float64) bool { return !(v >= 0) || math.IsInf(v, 0) }) {
		return errors.New("learned: a figure is out of range")
	}
	return nil
}
