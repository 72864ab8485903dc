package logic

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one node. It is not safe for concurrent use.
type Balancer struct {
	cfg               Settings
	rng               *rand.Rand
	started           bool
	now, firstEventAt time.Duration
	seq, scanID       uint64 // of the newest request and of the newest scan for candidates
	actions           []Action
	classes           map[string]*class
	tenants           map[string]*quota
	servers           map[ServerID]*server
	kinds             map[string]*latencyCurve
	requests          map[RequestID]*request
	bySeq             map[uint64]*request
	lingering         []*request // closed with outcomes missing, oldest first

	ready   []*server // servers that take requests, in the order they were listed
	ring    []*server // the same in the order of their hashes, equal on all nodes
	subset  []*server // the part of the ring that this node sends to
	scratch []*server // candidates of the present decision

	subsetCapacity, warmCapacity float64 // of the subset and of its warm servers
	maxCapacity                  float64 // largest capacity of a ready server
	onTimeShare                  float64 // long-run share of the admitted requests answered in time
	sendTokens, retryTokens      float64 // sends and retries allowed now
	servedWork, capacityTime     rate    // work done by warm servers of the subset; seconds of capacity
	peakRate, fullCapacity       float64 // decaying maxima of rate per capacity, and of ready capacity
	capacityLeft, toleratedLoss  float64 // share of full capacity that is left; share whose loss did no harm
	fleetSlowdown                float64 // EWMA of the logarithm of all servers' latency over hinted work
	demand                       rate    // work requested
	missedShare                  float64 // EWMA of the share of the admitted worth not answered in time
	rejectedShare                float64 // EWMA of the share of the most valuable requests rejected at once
	meanWorth                    float64 // EWMA of the worth of requests
	reportField                  int     // index of the load report's requests in flight, -1: none
	meanReport                   float64 // EWMA of that value
	typicalFailures              float64 // failure share of the median server
	reports                      reportModel
	discovery                    discoveryState

	subsetAt, sendTokensAt, typicalAt time.Duration // of the newest subset, sendTokens, typicalFailures
}

// class is a class of requests as configured, with the statistics kept under its name.
type class struct {
	Class
	reward, penalty, retryCost float64 // R, V and c2 of the paper
	*classStats
}

type classStats struct {
	median        float64       // latency in seconds of a request of mean work
	samples       float64       // answers that the median is computed from
	meanHint      float64       // mean work hint in seconds
	usualTimeout  time.Duration // what clients mostly wait for a try
	usualVotes    int           // how many more tries had it than not
	lateTryShare  float64       // share of tries that seem to follow others whose aim is over
	unservedShare float64       // share of first tries that were not served: only those bring late tries
}

// server is a listed server and what this node knows of it.
type server struct {
	Server
	listed                  bool
	inflight                int
	lastAnswer, lastSent    time.Duration   // the last answer left an idle connection
	abandoned               []time.Duration // until when attempts that timed out may run and count as load
	latencies               latencyCurve
	failures                int     // consecutive
	failureShare            float64 // EWMA
	ejectedAt, ejectedUntil time.Duration
	reportedLoad            float64       // in flight by the last load report, plus this node's sends since
	coldTokens              float64       // sends allowed while it is cold
	reportedAt, refilledAt  time.Duration // of reportedLoad (0: no report) and of coldTokens
	lastScan, hash          uint64        // the last scan for candidates that saw it; place on the ring
	// Where requests hint their work, limit bounds what this node has out to it (0: none yet). It shrinks at
	// twice that latency or more, as with two requests a core, which soon slows it more; otherwise it grows.
	limit, slowdown float64 // slowdown: EWMA of the logarithm of its latency over the hinted work
	minLatency      float64 // in seconds, mostly network time
}

type attempt struct {
	server                *server
	zone                  string
	cell                  int
	queue                 float64 // logarithm of the server's reported queue over the mean one
	sentAt                time.Duration
	open, mayRun, started bool // its outcome is missing, it may have run, its answer streams
}

// request is a client's request that is owed an answer or an outcome.
type request struct {
	id                         RequestID
	seq                        uint64
	class                      *class
	aim, deadline              time.Duration // when an answer of full worth, and the final one, is due
	usualTime, cost            float64       // usual seconds for it; its work relative to the mean
	worth                      float64       // what it earns; less beyond its tenant's quota
	attempts                   []attempt
	inflight, maxAttempts      int // attempts out and allowed, 0: any number
	load                       int // of each attempt, 0 until the body is complete
	alternative                *server
	source                     Request
	retried, closed, streaming bool
	lateTry                    bool          // by its client timeout it is a late try, whose aim is over
	loadUnknown                bool          // no attempt, or its end tells nothing of load
	startedAt, closedAt        time.Duration // of the stream and the request
}

// New returns a Balancer for one node. Equal seeds and events give equal actions.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		servers: map[ServerID]*server{}, kinds: map[string]*latencyCurve{},
		tenants: map[string]*quota{}, requests: map[RequestID]*request{}, bySeq: map[uint64]*request{},
		seq: firstRequestToken, retryTokens: maxRetryTokens, sendTokens: maxSendTokens, onTimeShare: 1,
		reportField: -1, reports: reportModel{covariance: 0.5, meanSquare: 1},
	}
	for _, t := range s.Tenants {
		part := quotaSlack * t.QuotaPerSec / float64(max(s.Nodes, 1))
		most := max(part*quotaBurst.Seconds(), minQuota)
		b.tenants[t.Name] = &quota{perSecond: part, tokens: most, maxTokens: most}
	}
	for i, f := range s.ReportFields {
		if f == ReportInFlight || f == "pending" && b.reportField < 0 {
			b.reportField = i
		}
	}
	return b, b.SetClasses(s.Classes)
}

// SetClasses replaces the classes. A class of a known name keeps its statistics, requests in flight keep
// their class. Where New would return an error, SetClasses returns it and changes nothing.
func (b *Balancer) SetClasses(classes []Class) error {
	if err := checkClasses(classes); err != nil {
		return err
	}
	known := b.classes
	b.classes = map[string]*class{}
	for _, c := range classes {
		b.classes[c.Name] = newClass(c)
		if old := known[c.Name]; old != nil {
			b.classes[c.Name].classStats = old.classStats
		}
	}
	return nil
}

func newClass(c Class) *class {
	n := &class{c, exampleReward, examplePenalty, exampleRetryCost, &classStats{}}
	n.median = cmp.Or(c.Usual, c.Aim/3).Seconds()
	if c.Worth > 0 {
		n.reward, n.penalty = c.Worth, c.Worth*examplePenalty/exampleReward
		n.retryCost = c.Worth * retryCostFactor * exampleRetryCost / exampleReward
	}
	return n
}

// Handle takes an event and returns its actions, valid until the next call. Time never runs backwards.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.actions = b.actions[:0]
	if !b.started {
		b.started, b.now, b.firstEventAt = true, now, now
		b.servedWork.updatedAt, b.demand.updatedAt = now, now
		b.scheduleFirstCall()
	}
	b.now = max(b.now, now)
	b.purgeLingering()
	switch e := ev.(type) {
	case Request:
		b.handleRequest(e)
	case Outcome:
		b.handleOutcome(e)
	case Started:
		b.handleStarted(e)
	case Whole:
		if r := b.requests[e.ID]; r != nil && r.load == 0 { // from now on its attempts count as load
			r.aim, r.deadline, r.load = r.aim+e.BodyTime, r.deadline+e.BodyTime, 1
			for i := range r.attempts {
				r.attempts[i].server.inflight += r.inflight
			}
		}
	case ClientGone:
		if r := b.requests[e.ID]; r != nil && !r.closed {
			b.closeRequest(r, false)
		}
	case Wake:
		b.handleWake(e.Token)
	case Probed:
		b.handleReport(b.servers[e.Server], e.Report)
	case ServerList:
		b.handleList(e)
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) handleWake(token uint64) {
	switch r := b.bySeq[token/2]; {
	case token == askToken:
		b.callDiscovery()
	case r == nil || r.closed || r.streaming:
	case token%2 == 0: // the final answer goes out, whatever outcome is missing
		b.answerUnserved(r)
	case r.inflight == 1 && len(r.attempts) == 1 && !r.retried: // timed out: the retry runs beside the first
		b.retry(r)
	}
}

func (b *Balancer) handleRequest(q Request) {
	if b.requests[q.ID] != nil {
		return // a duplicate: the request is in progress
	}
	c := b.classes[q.Class]
	if c == nil {
		b.emit(Reject{ID: q.ID}) // unknown class and effect, but nothing has run
		return
	}
	r := b.admit(q, c)
	b.demand.add(b.now, r.cost)
	left := r.deadline - b.now
	if left < minTimeout {
		b.answerUnserved(r)
		return
	}
	b.emit(SetTimer{Token: 2 * r.seq, After: left})
	b.sendFirst(r)
}

func (b *Balancer) admit(q Request, c *class) *request {
	b.seq++
	r := &request{id: q.ID, seq: b.seq, class: c, usualTime: c.median, cost: 1, loadUnknown: true, source: q}
	if r.maxAttempts, r.load = cmp.Or(q.MaxAttempts, c.MaxAttempts, b.cfg.MaxAttempts), 1; q.BodyPending {
		r.maxAttempts, r.load = 1, 0
	}
	// The answer still has to travel to the client and is seen up to a tick late.
	aim := c.Aim + time.Duration(c.AimStretch*float64(q.WorkHint)) - 2*b.cfg.Tick
	if h := q.WorkHint.Seconds(); h > 0 {
		c.meanHint = cmp.Or(c.meanHint, h)
		c.meanHint += (h - c.meanHint) * medianStep
		r.cost = h / c.meanHint
		// About half of the usual latency is the request's own work, half is queueing behind others.
		r.usualTime = c.median * (0.5 + 0.5*r.cost)
	}
	timeout := min(q.ClientTimeout, c.Deadline)
	aim -= c.elapsed(r, timeout, aim)
	if r.worth = cmp.Or(max(q.Worth, 0), c.reward); b.overShare(q.Tenant) {
		r.worth *= b.cfg.OverShareWorth
	}
	b.meanWorth = cmp.Or(b.meanWorth, c.reward)
	b.meanWorth += (r.worth - b.meanWorth) * medianStep
	r.aim, r.deadline = b.now+aim, b.now+timeout
	if c.LateWorth == 0 {
		r.deadline = min(r.deadline, r.aim)
	}
	b.requests[r.id], b.bySeq[r.seq] = r, r
	return r
}

// overShare counts a request and reports whether it exceeds this node's part of its tenant's quota. Such
// requests are worth little and are rejected first, which protects tenants that keep to their quota.
func (b *Balancer) overShare(tenant string) bool {
	t := b.tenants[tenant]
	if t == nil {
		return false
	}
	t.tokens, t.updatedAt = min(t.tokens+t.perSecond*(b.now-t.updatedAt).Seconds(), t.maxTokens), b.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

type quota struct {
	perSecond, tokens, maxTokens float64
	updatedAt                    time.Duration
}

// elapsed estimates the time since a request's first try. A client timeout that is not the usual one marks
// a late try cut short by the deadline: its answer may be worth nothing and would delay others. A try whose
// aim is over follows tries that were not served; if such tries are more, clients just have little patience.
func (c *class) elapsed(r *request, timeout, aim time.Duration) time.Duration {
	passed := c.Deadline - timeout
	switch d := timeout - c.usualTimeout; {
	case c.usualVotes > 0 && max(d, -d) <= c.Deadline/50:
		c.usualVotes, passed = min(c.usualVotes+1, maxVotes), 0
	case c.usualVotes > 0:
		c.usualVotes--
	default:
		c.usualTimeout, c.usualVotes, passed = timeout, 1, 0
	}
	c.lateTryShare, c.unservedShare = c.lateTryShare*(1-missedStep), c.unservedShare*(1-missedStep)
	if r.lateTry = passed >= aim; !r.lateTry {
		c.unservedShare += missedStep // undone when it is served
	} else if c.lateTryShare += missedStep; c.lateTryShare > max(c.unservedShare, maxLateTryShare) {
		return 0
	}
	return passed
}
