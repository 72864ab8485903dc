// Package baselines implements textbook load-balancing policies with the interface of the decision
// module, as a baseline for its results. They follow their public descriptions and keep the
// platform's rules on retries, rejections and draining. None of them protects cold backends or
// rejects a request that has no chance of success. Like the module they do no I/O and read no
// clock, and the same events with the same seed give the same actions.
//
// The selection methods and their sources:
//
//   - random: uniform choice.
//   - round_robin: each backend in turn, from a random start.
//   - least_outstanding: the backend with the fewest requests of this node in flight, ties broken
//     at random (NGINX least_conn, HAProxy leastconn).
//   - p2c: of two random backends the one with fewer requests in flight (Mitzenmacher, "The Power
//     of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001).
//   - peak_ewma: of two random backends the one with the lower cost, which is a peak-sensitive
//     moving average of its latency times one more than its requests in flight (Finagle's
//     PeakEwma).
//   - weighted: random, in proportion to the capacity that the registry reports.
//
// The retry modes: none, or budget, which retries a failed request once if its class allows that
// and a token bucket has a token. Each request earns a tenth of a token, each second one more, and
// at most ten are saved (Finagle's RetryBudget).
package baselines

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"oakseam/logic"
)

// Selections and RetryModes list the names that New accepts, in the order of printed lists.
var (
	Selections = []string{"random", "round_robin", "least_outstanding", "p2c", "peak_ewma", "weighted"}
	RetryModes = []string{"none", "budget"}
)

const (
	ewmaDecayTime = 10 * time.Second // Finagle's default decay time
	unseenLatency = time.Millisecond // assumed for a backend that has not answered yet

	tokensPerRequest = 0.1
	maxTokens        = 10.0 // limit of saved tokens
	tokensPerSecond  = 1.0  // in addition, so that a node with little traffic may retry, too

	minSubscribeBackoff = time.Second // after the first failed call to the registry
	maxSubscribeBackoff = 6 * time.Second
)

// Tokens of timers. Every request has one of its own, beyond firstRequestTimer.
const (
	subscribeTimer uint64 = iota + 1
	firstRequestTimer
)

// Policy is the policy of one node.
type Policy struct {
	settings     logic.Settings
	rng          *rand.Rand
	selectServer func(p *Policy, pool []*server) *server
	retryBudget  bool
	classes      map[string]*logic.Class
	actions      []logic.Action
	now          time.Duration
	started      bool

	servers       map[logic.ServerID]*server
	ready         []*server
	readyCapacity float64
	nextIndex     int
	requests      map[logic.RequestID]*request
	byTimer       map[uint64]*request
	lastTimer     uint64
	tokens        float64
	refilledAt    time.Duration
	failedCalls   int // calls to the registry that failed in a row
}

// server is a backend of the list.
type server struct {
	logic.Server
	inFlight   int
	latency    float64 // moving average in seconds
	observedAt time.Duration
}

// request is a request that is not answered, or that still has open attempts.
type request struct {
	id           logic.RequestID
	timer        uint64
	class        *logic.Class
	deadline     time.Duration
	attempts     []attempt
	openAttempts int
	retried      bool
	closed       bool
}

// attempt is one attempt of a request.
type attempt struct {
	server *server
	zone   string
	cell   int
	sentAt time.Duration
	open   bool
	mayRun bool // the backend may have processed it, or may still
}

// New returns the policy of a name: a selection method, or selection+retry mode.
func New(name string, s logic.Settings, seed uint64) (*Policy, error) {
	selection, retryMode, _ := strings.Cut(name, "+")
	selectServer, ok := selections[selection]
	if !ok || retryMode != "" && !slices.Contains(RetryModes, retryMode) {
		return nil, fmt.Errorf("policy %q: not one of %s, each alone or with +%s", name,
			strings.Join(Selections, ", "), strings.Join(RetryModes, " or +"))
	}
	if len(s.Classes) == 0 {
		return nil, errors.New("settings: no classes")
	}
	p := &Policy{settings: s, rng: rand.New(rand.NewPCG(seed, 0x5851f42d4c957f2d)), selectServer: selectServer, retryBudget: retryMode == "budget",
		classes: map[string]*logic.Class{}, servers: map[logic.ServerID]*server{}, requests: map[logic.RequestID]*request{},
		byTimer: map[uint64]*request{}, lastTimer: firstRequestTimer, tokens: maxTokens}
	for i := range s.Classes {
		p.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	return p, nil
}

// Handle handles an event and returns the resulting actions, which are valid until the next call.
func (p *Policy) Handle(now time.Duration, ev logic.Event) []logic.Action {
	p.actions = p.actions[:0]
	if !p.started {
		p.started, p.now, p.refilledAt = true, now, now
		if p.settings.MustSubscribe {
			p.emit(logic.SetTimer{Token: subscribeTimer, After: time.Duration(p.rng.Int64N(int64(100 * time.Millisecond)))})
		}
	}
	p.now = max(p.now, now)
	switch e := ev.(type) {
	case logic.Request:
		p.handleRequest(e)
	case logic.Outcome:
		p.handleOutcome(e)
	case logic.ClientGone:
		if r := p.requests[e.ID]; r != nil {
			p.closeRequest(r)
		}
	case logic.Wake:
		p.handleTimer(e.Token)
	case logic.ServerList:
		p.handleServerList(e)
	}
	return p.actions
}

func (p *Policy) emit(a logic.Action) { p.actions = append(p.actions, a) }

func (p *Policy) handleTimer(token uint64) {
	if token == subscribeTimer {
		p.emit(logic.Subscribe{})
	} else if r := p.byTimer[token]; r != nil && !r.closed {
		p.answerUnserved(r)
	}
}

func (p *Policy) handleRequest(event logic.Request) {
	class := p.classes[event.Class]
	if class == nil || p.requests[event.ID] != nil {
		if class == nil {
			p.emit(logic.Reject{ID: event.ID})
		}
		return
	}
	p.lastTimer++
	r := &request{id: event.ID, timer: p.lastTimer, class: class, deadline: p.now + min(event.ClientTimeout, class.Deadline)}
	p.requests[r.id], p.byTimer[r.timer] = r, r
	p.tokens = min(p.tokens+tokensPerRequest, maxTokens)
	left := r.deadline - p.now
	if left <= 0 || !p.send(r) {
		p.answerUnserved(r)
		return
	}
	p.emit(logic.SetTimer{Token: r.timer, After: left})
}

// send sends a request to a backend that the policy selects among the allowed ones. It returns
// false if there is none or the request has no attempt left.
func (p *Policy) send(r *request) bool {
	pool := p.ready
	if len(r.attempts) > 0 {
		pool = slices.DeleteFunc(slices.Clone(pool), func(s *server) bool { return !p.allowed(r, s) })
	}
	if len(pool) == 0 || p.settings.MaxAttempts > 0 && len(r.attempts) >= p.settings.MaxAttempts {
		return false
	}
	s := p.selectServer(p, pool)
	s.inFlight++
	r.openAttempts++
	r.attempts = append(r.attempts, attempt{server: s, zone: s.Zone, cell: s.Cell, sentAt: p.now, open: true, mayRun: true})
	p.emit(logic.Send{ID: r.id, Server: s.ID, Timeout: r.deadline - p.now})
	return true
}

// allowed reports whether a further attempt at s cannot have an effect twice and is not a retry at
// a backend that has just failed.
func (p *Policy) allowed(r *request, s *server) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.server == s && len(p.ready) > 1 {
			return false
		}
		if !a.mayRun {
			continue
		}
		switch r.class.Effect {
		case logic.Unsafe:
			return false
		case logic.Keyed:
			if p.now-a.sentAt >= r.class.Window || r.class.Group == logic.DedupZone && a.zone != s.Zone ||
				r.class.Group == logic.DedupCell && a.cell != s.Cell {
				return false
			}
		}
	}
	return true
}

// handleOutcome handles the end of an attempt.
func (p *Policy) handleOutcome(o logic.Outcome) {
	r := p.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].open {
		return
	}
	a := &r.attempts[o.Attempt]
	a.open, a.mayRun = false, !(o.Result == logic.QueueFull || o.Result == logic.ConnectFailed || o.Result == logic.NotSent)
	a.server.inFlight--
	r.openAttempts--
	a.server.recordLatency(p.now, o.Latency.Seconds())
	switch {
	case r.closed:
		p.forget(r)
	case o.Final:
		p.closeRequest(r)
	case r.openAttempts == 0 && !p.retry(r):
		p.answerUnserved(r)
	}
}

// retry sends a failed request again if the retry budget has a token.
func (p *Policy) retry(r *request) bool {
	if !p.retryBudget || r.retried || r.deadline <= p.now {
		return false
	}
	p.tokens = min(p.tokens+tokensPerSecond*(p.now-p.refilledAt).Seconds(), maxTokens)
	p.refilledAt = p.now
	if p.tokens < 1 || !p.send(r) {
		return false
	}
	p.tokens--
	r.retried = true
	return true
}

// answerUnserved rejects a request if that is harmless, that is, if nothing ran or a client may
// repeat it, and fails it otherwise.
func (p *Policy) answerUnserved(r *request) {
	retrySafe := r.class.Effect == logic.Safe || r.class.Effect == logic.Keyed && r.class.Group == logic.DedupAll ||
		!slices.ContainsFunc(r.attempts, func(t attempt) bool { return t.mayRun })
	if retrySafe {
		p.emit(logic.Reject{ID: r.id, RetryAfter: p.settings.MaxRetryAfter})
	} else {
		p.emit(logic.Fail{ID: r.id})
	}
	p.closeRequest(r)
}

// closeRequest ends a request that has its answer and cancels its open attempts.
func (p *Policy) closeRequest(r *request) {
	if r.closed {
		return
	}
	r.closed = true
	if p.settings.CanCancel {
		for i := range r.attempts {
			if r.attempts[i].open {
				p.emit(logic.Cancel{ID: r.id, Attempt: i})
			}
		}
	}
	p.forget(r)
}

// forget drops the timer of a request, and the request itself once no attempt is open.
func (p *Policy) forget(r *request) {
	delete(p.byTimer, r.timer)
	if r.openAttempts == 0 {
		delete(p.requests, r.id)
	}
}

// handleServerList applies a list of backends, or schedules another call if the last one failed.
func (p *Policy) handleServerList(list logic.ServerList) {
	switch {
	case list.Kind == logic.ListFailed:
		p.failedCalls++
		backoff := min(minSubscribeBackoff<<min(p.failedCalls-1, 5), maxSubscribeBackoff)
		p.emit(logic.SetTimer{Token: subscribeTimer, After: backoff/2 + time.Duration(p.rng.Int64N(int64(backoff/2)))})
		return
	case list.Kind == logic.ListFull || list.Kind == logic.ListChanges:
		p.failedCalls = 0
	}
	if list.Kind != logic.ListChanges {
		listed := make(map[logic.ServerID]bool, len(list.Servers))
		for _, entry := range list.Servers {
			listed[entry.ID] = true
		}
		for id := range p.servers {
			if !listed[id] {
				delete(p.servers, id)
			}
		}
	}
	for _, entry := range list.Servers {
		s := p.servers[entry.ID]
		switch {
		case entry.State == logic.Gone:
			delete(p.servers, entry.ID)
			continue
		case s == nil || s.StartedAt != entry.StartedAt:
			s = &server{}
			p.servers[entry.ID] = s
		}
		if !(entry.Capacity > 0) {
			entry.Capacity = 1
		}
		s.Server = entry
	}
	p.ready, p.readyCapacity = p.ready[:0], 0
	for _, s := range p.servers {
		if s.State == logic.Serving {
			p.ready = append(p.ready, s)
		}
	}
	slices.SortFunc(p.ready, func(a, b *server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, s := range p.ready {
		p.readyCapacity += s.Capacity
	}
	if p.nextIndex == 0 && len(p.ready) > 0 {
		p.nextIndex = p.rng.IntN(len(p.ready))
	}
}

// selections holds the selection methods by name.
var selections = map[string]func(*Policy, []*server) *server{
	"random": func(p *Policy, pool []*server) *server { return pool[p.rng.IntN(len(pool))] },
	"round_robin": func(p *Policy, pool []*server) *server {
		p.nextIndex++
		return pool[p.nextIndex%len(pool)]
	},
	"least_outstanding": func(p *Policy, pool []*server) *server {
		from, best := p.rng.IntN(len(pool)), (*server)(nil)
		for i := range pool {
			if s := pool[(from+i)%len(pool)]; best == nil || s.inFlight < best.inFlight {
				best = s
			}
		}
		return best
	},
	"p2c": func(p *Policy, pool []*server) *server {
		a, b := p.twoRandom(pool)
		if b.inFlight < a.inFlight {
			return b
		}
		return a
	},
	"peak_ewma": func(p *Policy, pool []*server) *server {
		a, b := p.twoRandom(pool)
		if b.expectedCost(p.now) < a.expectedCost(p.now) {
			return b
		}
		return a
	},
	"weighted": func(p *Policy, pool []*server) *server {
		sum := p.readyCapacity
		if len(pool) != len(p.ready) {
			sum = 0
			for _, s := range pool {
				sum += s.Capacity
			}
		}
		point := p.rng.Float64() * sum
		for _, s := range pool {
			if point -= s.Capacity; point < 0 {
				return s
			}
		}
		return pool[len(pool)-1]
	},
}

// twoRandom draws two different backends, or the only one twice.
func (p *Policy) twoRandom(pool []*server) (a, b *server) {
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

// recordLatency updates the moving average, which rises at once and falls over ewmaDecayTime.
func (s *server) recordLatency(now time.Duration, latency float64) {
	weight := math.Exp(-float64(now-s.observedAt) / float64(ewmaDecayTime))
	s.observedAt = now
	if latency > s.latency {
		s.latency = latency
	} else {
		s.latency = s.latency*weight + latency*(1-weight)
	}
}

// expectedCost returns the latency average, decayed to now, times one more than the requests in
// flight.
func (s *server) expectedCost(now time.Duration) float64 {
	cost := s.latency * math.Exp(-float64(now-s.observedAt)/float64(ewmaDecayTime))
	return max(cost, unseenLatency.Seconds()) * float64(s.inFlight+1)
}
