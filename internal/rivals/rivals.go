// Package rivals holds textbook balancing policies behind the interface of the
// decision module, so that its figures can be compared with something. They are
// written from their public descriptions and keep the platform's rules on
// repeats, refusals and drains; none guards cold backends or refuses for lack
// of a chance. Like the module they do no I/O and read no clock, and the same
// events with the same seed give the same actions.
//
// The picks, with their sources:
//
//   - random: uniform choice.
//   - round_robin: each backend in turn, from a random start.
//   - least_outstanding: the backend with the fewest reqs of this node out, ties
//     by chance (NGINX least_conn, HAProxy leastconn).
//   - p2c: two drawn at random, the one with fewer out (Mitzenmacher, "The Power
//     of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001).
//   - peak_ewma: two drawn at random, the lower latency cost, a peak-sensitive
//     moving average times one more than what is out (Finagle's PeakEwma).
//   - weighted: drawn in proportion to the capacity that the director tells.
//
// The retries: none, or budget, which sends a failed req once more where its
// class allows it while a token bucket lets it: a tenth of a token is earned by
// each req and one a second besides, and ten are saved at most (Finagle's
// RetryBudget).
package rivals

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pipitmux/logic"
)

// Picks and Retries name what New takes, in the order in which lists show them.
var (
	Selections = []string{"random", "round_robin", "least_outstanding", "p2c", "peak_ewma", "weighted"}
	RetryModes = []string{"none", "budget"}
)

const (
	ewmaTime   = 10 * time.Second // Finagle's default decay time
	ewmaUnseen = time.Millisecond // cost assumed of a backend that never answered, per req out

	earned    = 0.1  // tokens earned by a req
	savedMost = 10.0 // tokens saved at most
	perSecond = 1.0  // tokens earned a second besides, so that a quiet node may retry

	askPause = time.Second // between failed calls to the director, at first
	askMost  = 6 * time.Second
)

const (
	tokenAsk uint64 = iota + 1
	firstReq
)

// Policy is one node's rival.
type Policy struct {
	cfg     logic.Settings
	rng     *rand.Rand
	choose  func(p *Policy, pool []*server) *server
	budget  bool
	classes map[string]*logic.Class
	out     []logic.Action
	now     time.Duration
	begun   bool

	servers map[logic.ServerID]*server
	ready   []*server
	sum     float64 // capacity of the ready ones
	turn    int
	reqs    map[logic.RequestID]*req
	bySeq   map[uint64]*req
	seq     uint64
	tokens  float64
	filled  time.Duration
	failed  int // calls to the director in a row
}

type server struct {
	logic.Server
	out  int
	cost float64 // moving average of its latency in seconds
	seen time.Duration
}

type req struct {
	id      logic.RequestID
	seq     uint64
	class   *logic.Class
	end     time.Duration
	tries   []attempt
	open    int
	retried bool
	closed  bool
}

type attempt struct {
	s      *server
	zone   string
	cell   int
	sent   time.Duration
	open   bool
	mayRun bool
}

// New returns the policy of a name: a pick, or pick+retry.
func New(name string, s logic.Settings, seed uint64) (*Policy, error) {
	pick, retry, _ := strings.Cut(name, "+")
	choose, ok := picks[pick]
	if !ok || retry != "" && !slices.Contains(RetryModes, retry) {
		return nil, fmt.Errorf("policy %q: not one of %s, each alone or with +%s", name,
			strings.Join(Selections, ", "), strings.Join(RetryModes, " or +"))
	}
	if len(s.Classes) == 0 {
		return nil, errors.New("settings: no classes")
	}
	p := &Policy{cfg: s, rng: rand.New(rand.NewPCG(seed, 0x5851f42d4c957f2d)), choose: choose, budget: retry == "budget",
		classes: map[string]*logic.Class{}, servers: map[logic.ServerID]*server{}, reqs: map[logic.RequestID]*req{},
		bySeq: map[uint64]*req{}, seq: firstReq, tokens: savedMost}
	for i := range s.Classes {
		p.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	return p, nil
}

// Handle takes an event and returns the actions it calls for, valid until the next call.
func (p *Policy) Handle(now time.Duration, ev logic.Event) []logic.Action {
	p.out = p.out[:0]
	if !p.begun {
		p.begun, p.now, p.filled = true, now, now
		if p.cfg.MustSubscribe {
			p.do(logic.SetTimer{Token: tokenAsk, After: time.Duration(p.rng.Int64N(int64(100 * time.Millisecond)))})
		}
	}
	p.now = max(p.now, now)
	switch e := ev.(type) {
	case logic.Request:
		p.request(e)
	case logic.Outcome:
		p.outcome(e)
	case logic.ClientGone:
		if r := p.reqs[e.ID]; r != nil {
			p.close(r)
		}
	case logic.Wake:
		p.wake(e.Token)
	case logic.ServerList:
		p.list(e)
	}
	return p.out
}

func (p *Policy) do(a logic.Action) { p.out = append(p.out, a) }

func (p *Policy) wake(token uint64) {
	if token == tokenAsk {
		p.do(logic.Subscribe{})
	} else if r := p.bySeq[token]; r != nil && !r.closed {
		p.finish(r)
	}
}

func (p *Policy) request(q logic.Request) {
	c := p.classes[q.Class]
	if c == nil || p.reqs[q.ID] != nil {
		if c == nil {
			p.do(logic.Reject{ID: q.ID})
		}
		return
	}
	p.seq++
	r := &req{id: q.ID, seq: p.seq, class: c, end: p.now + min(q.ClientTimeout, c.Deadline)}
	p.reqs[r.id], p.bySeq[r.seq] = r, r
	p.tokens = min(p.tokens+earned, savedMost)
	left := r.end - p.now
	if left <= 0 || !p.send(r) {
		p.finish(r)
		return
	}
	p.do(logic.SetTimer{Token: r.seq, After: left})
}

// send sends a req to the backend that the policy picks among those allowed.
func (p *Policy) send(r *req) bool {
	pool := p.ready
	if len(r.tries) > 0 {
		pool = slices.DeleteFunc(slices.Clone(pool), func(s *server) bool { return !p.allowed(r, s) })
	}
	if len(pool) == 0 || p.cfg.MaxAttempts > 0 && len(r.tries) >= p.cfg.MaxAttempts {
		return false
	}
	s := p.choose(p, pool)
	s.out++
	r.open++
	r.tries = append(r.tries, attempt{s: s, zone: s.Zone, cell: s.Cell, sent: p.now, open: true, mayRun: true})
	p.do(logic.Send{ID: r.id, Server: s.ID, Timeout: r.end - p.now})
	return true
}

// allowed tells whether a further attempt to s can double no effect, and is not
// a second go at a backend that has just failed.
func (p *Policy) allowed(r *req, s *server) bool {
	for i := range r.tries {
		t := &r.tries[i]
		if t.s == s && len(p.ready) > 1 {
			return false
		}
		if !t.mayRun {
			continue
		}
		switch r.class.Effect {
		case logic.Unsafe:
			return false
		case logic.Keyed:
			if p.now-t.sent >= r.class.Window || r.class.Group == logic.DedupZone && t.zone != s.Zone ||
				r.class.Group == logic.DedupCell && t.cell != s.Cell {
				return false
			}
		}
	}
	return true
}

func (p *Policy) outcome(o logic.Outcome) {
	r := p.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.tries) || !r.tries[o.Attempt].open {
		return
	}
	t := &r.tries[o.Attempt]
	t.open, t.mayRun = false, !(o.Result == logic.QueueFull || o.Result == logic.ConnectFailed || o.Result == logic.NotSent)
	t.s.out--
	r.open--
	t.s.observe(p.now, o.Latency.Seconds())
	switch {
	case r.closed:
		p.forget(r)
	case o.Final:
		p.close(r)
	case r.open == 0 && !p.again(r):
		p.finish(r)
	}
}

// again sends a failed req once more where the budget has a token for it.
func (p *Policy) again(r *req) bool {
	if !p.budget || r.retried || r.end <= p.now {
		return false
	}
	p.tokens = min(p.tokens+perSecond*(p.now-p.filled).Seconds(), savedMost)
	p.filled = p.now
	if p.tokens < 1 || !p.send(r) {
		return false
	}
	p.tokens--
	r.retried = true
	return true
}

func (p *Policy) finish(r *req) {
	harmless := r.class.Effect == logic.Safe || r.class.Effect == logic.Keyed && r.class.Group == logic.DedupAll ||
		!slices.ContainsFunc(r.tries, func(t attempt) bool { return t.mayRun })
	if harmless {
		p.do(logic.Reject{ID: r.id, RetryAfter: p.cfg.MaxRetryAfter})
	} else {
		p.do(logic.Fail{ID: r.id})
	}
	p.close(r)
}

func (p *Policy) close(r *req) {
	if r.closed {
		return
	}
	r.closed = true
	if p.cfg.CanCancel {
		for i := range r.tries {
			if r.tries[i].open {
				p.do(logic.Cancel{ID: r.id, Attempt: i})
			}
		}
	}
	p.forget(r)
}

func (p *Policy) forget(r *req) {
	delete(p.bySeq, r.seq)
	if r.open == 0 {
		delete(p.reqs, r.id)
	}
}

func (p *Policy) list(l logic.ServerList) {
	switch {
	case l.Kind == logic.ListFailed:
		p.failed++
		pause := min(askPause<<min(p.failed-1, 5), askMost)
		p.do(logic.SetTimer{Token: tokenAsk, After: pause/2 + time.Duration(p.rng.Int64N(int64(pause/2)))})
		return
	case l.Kind == logic.ListFull || l.Kind == logic.ListChanges:
		p.failed = 0
	}
	if l.Kind != logic.ListChanges {
		named := make(map[logic.ServerID]bool, len(l.Servers))
		for _, e := range l.Servers {
			named[e.ID] = true
		}
		for id := range p.servers {
			if !named[id] {
				delete(p.servers, id)
			}
		}
	}
	for _, e := range l.Servers {
		s := p.servers[e.ID]
		switch {
		case e.State == logic.Gone:
			delete(p.servers, e.ID)
			continue
		case s == nil || s.StartedAt != e.StartedAt:
			s = &server{}
			p.servers[e.ID] = s
		}
		if !(e.Capacity > 0) {
			e.Capacity = 1
		}
		s.Server = e
	}
	p.ready, p.sum = p.ready[:0], 0
	for _, s := range p.servers {
		if s.State == logic.Serving {
			p.ready = append(p.ready, s)
		}
	}
	slices.SortFunc(p.ready, func(a, b *server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, s := range p.ready {
		p.sum += s.Capacity
	}
	if p.turn == 0 && len(p.ready) > 0 {
		p.turn = p.rng.IntN(len(p.ready))
	}
}

var picks = map[string]func(*Policy, []*server) *server{
	"random": func(p *Policy, pool []*server) *server { return pool[p.rng.IntN(len(pool))] },
	"round_robin": func(p *Policy, pool []*server) *server {
		p.turn++
		return pool[p.turn%len(pool)]
	},
	"least_outstanding": func(p *Policy, pool []*server) *server {
		from, best := p.rng.IntN(len(pool)), (*server)(nil)
		for i := range pool {
			if s := pool[(from+i)%len(pool)]; best == nil || s.out < best.out {
				best = s
			}
		}
		return best
	},
	"p2c": func(p *Policy, pool []*server) *server {
		a, b := p.two(pool)
		if b.out < a.out {
			return b
		}
		return a
	},
	"peak_ewma": func(p *Policy, pool []*server) *server {
		a, b := p.two(pool)
		if b.load(p.now) < a.load(p.now) {
			return b
		}
		return a
	},
	"weighted": func(p *Policy, pool []*server) *server {
		sum := p.sum
		if len(pool) != len(p.ready) {
			sum = 0
			for _, s := range pool {
				sum += s.Capacity
			}
		}
		x := p.rng.Float64() * sum
		for _, s := range pool {
			if x -= s.Capacity; x < 0 {
				return s
			}
		}
		return pool[len(pool)-1]
	},
}

// two draws two different backends where there are two.
func (p *Policy) two(pool []*server) (a, b *server) {
	i := p.rng.IntN(len(pool))
	if len(pool) == 1 {
		return pool[i], pool[i]
	}
	j := p.rng.IntN(len(pool) - 1)
	if j >= i {
		j++
	}
	return pool[i], pool[j]
}

// observe follows the latency: up at once, down over ewmaTime.
func (s *server) observe(now time.Duration, latency float64) {
	w := math.Exp(-float64(now-s.seen) / float64(ewmaTime))
	s.seen = now
	if latency > s.cost {
		s.cost = latency
	} else {
		s.cost = s.cost*w + latency*(1-w)
	}
}

func (s *server) load(now time.Duration) float64 {
	cost := s.cost * math.Exp(-float64(now-s.seen)/float64(ewmaTime))
	return max(cost, ewmaUnseen.Seconds()) * float64(s.out+1)
}
