// Every decision of the balancer is in this file, its interface in api.go. Order: constants, state, events,
// first pick, time-out, retry, final answers, cold and drain guards, discovery, learning.

package logic

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// The paper's example figures; where a class states its worth, V and c2 keep their ratio to R.
	exampleR, exampleV, exampleC2 = 20.0, 50.0, 10.0
	retryPrice                    = 3.0 // but c2 this many times: a copy also delays all who wait behind it

	realChance  = 0.60 // below this chance of an answer in time a request is refused at once,
	chanceLeast = 0.50 // where the class is worth more than most, no lower than this
	chanceMost  = 0.70 // and where it is worth less, no higher than this
	trialShare  = 0.10 // but for this part: who refuses all learns nothing more
	clearBeat   = 0.05 // a payoff that is higher by this part of R+V is clearly better
	nearBest    = 0.03 // alternatives within this part of R+V of the best are as good as it
	thetaSteps  = 16   // time-outs tried between 0 and the time left
	thetaSpread = 0.10 // a chosen time-out is spread by up to this part, against retry waves
	subsetLeast = 8    // servers that a node of a large fleet sends to, at least,
	coverLeast  = 4    // and so many that each server has this many nodes on the mean
	scanAll     = 16   // up to this many servers are all looked at, else a sample of that size
	drawTries   = 6    // draws by capacity before the last one is taken as it is

	roomGain  = 1.25  // sends earned by a request served in time, where usually all are: less is sent
	roomLeast = 0.5   // when less comes back, so that no jam outlives its cause; so many a second at least
	roomMost  = 10.0  // sends that may be saved up; twice that may be owed, or a burst in vain lasts
	jamMissed = 0.1   // where more than this part of the worth let in is missed, sends are held to that
	usualStep = 0.003 // how fast the part usually served in time is followed
	briefMost = 0.15  // up to this part of a class's tries are late ones

	retryShare = 0.10 // retries earned by each request served in time: the retry budget
	retryBurst = 10.0 // retries that may be saved up

	halfLife   = 8 * time.Second        // of what was learned of one server
	kindLife   = 20 * time.Second       // of what was learned of a kind of server
	priorCount = 2.0                    // answers that the kind's curve counts for in a server's
	baseCount  = 4.0                    // answers that the built-in curve counts for in a kind's
	curveLife  = 250 * time.Millisecond // a computed curve is reused for this long
	votesMost  = 50                     // so many tries fix what a class's clients usually wait
	missStep   = 0.02                   // how fast the part of the worth missed is followed
	scaleStep  = 0.06                   // how fast a class's median latency is followed

	outlierAfter = 2               // bad answers in a row that set a server aside,
	outlierRare  = 0.01            // where chance would bring them less often than this,
	outlierFirst = 2 * time.Second // for this long at first, doubling
	outlierMost  = 8 * time.Second // and at most for this long
	badStep      = 0.05            // how fast the part of a server's answers that are bad is followed

	quotaSlack = 1.3             // nodes get uneven parts of the traffic: so much of an even part is within
	quotaLeast = 10.0            // and of small parts so many requests, or chance alone would exceed them
	quotaSaved = 3 * time.Second // a tenant's part may be saved up for this long

	coldShare = 1.5              // times its part of the traffic, by its warmth, goes to a cold server
	coldBurst = 0.5              // of the window of the cold rule may be saved up and sent at once
	peakLife  = 30 * time.Second // half-life of the most that a warm server was seen to serve
	thinRate  = 5.0              // a node that sends a server fewer a second learns too late what it bears
	fullLife  = 8 * time.Second  // half-life of the most that the ready servers could do
	borneStep = 0.04             // part of the lost capacity that an answer in half its aim shows to be
	borneFall = 0.20             // no loss, and that one later or missed shows to be one after all
	rateLife  = 5 * time.Second  // half-life of this node's own throughput

	reportLife = 300 * time.Millisecond // half-life of what a load report tells
	trustStep  = 0.03                   // how fast the worth of load reports is followed

	askFirst    = time.Second / 2        // first pause after a failed call to discovery, doubling
	askMost     = 900 * time.Millisecond // longest such pause: two, with two turns of 2 s, stay below 6 s
	askSpread   = 20 * time.Millisecond  // first calls are spread over this for each node
	askPatience = 15 * time.Second       // a call without an answer for this long is made again
	lingerFor   = time.Minute            // an outcome that has not come by then never will
	minWithin   = 100 * time.Microsecond // no attempt is sent with less time than this

	// Sends out to a server at first and at most, the cut of a slow answer, the doublings one answer counts
	// at most (none alone cuts), latencies until what is out may be lost; how fast latency is followed.
	limitFirst, limitMost, limitCut, slowMost, silentAfter = 2.0, 64.0, 0.5, 4.0, 16.0
	paceStep, strainStep                                   = 0.2, 0.08 // of one server, of all
)

// Tokens of the module's own timers; those of requests come after.
const tokenAsk, firstRequestToken uint64 = 1, 2

// Balancer makes the decisions of one node. It is not safe for concurrent use.
type Balancer struct {
	cfg        Settings
	rng        *rand.Rand
	started    bool
	now, birth time.Duration // and its first event's
	seq, stamp uint64
	out        []Action
	classes    map[string]*class
	tenants    map[string]*quota
	servers    map[ServerID]*server
	kinds      map[string]*curve
	ready      []*server     // servers that take requests, in the order they were listed
	ring       []*server     // the same in the order of their hashes, alike at all nodes
	near       []*server     // the part of the ring that this node sends to
	nearAt     time.Duration // when that was drawn
	nearSum    float64       // the capacity of those near
	warmSum    float64       // and of the warm ones among them
	top        float64       // largest capacity among the ready ones
	reqs       map[RequestID]*request
	bySeq      map[uint64]*request
	linger     []*request    // ended, with outcomes still to come, oldest first
	cand       []*server     // scratch
	usual      float64       // part of the requests let in that is served in time, in the long run
	room       float64       // sends that may be made
	roomAt     time.Duration // when that was brought up to date
	budget     float64       // retries that may be sent
	served     rate          // what the near and warm servers answered,
	span       rate          // seconds of their capacity that this took,
	peak       float64       // and the most per second and capacity that was seen
	full       float64       // the most capacity of the ready servers, slowly forgotten
	left       float64       // the part of that which is left
	borne      float64       // and the part whose loss did no harm
	strain     float64       // logarithm of the latency of all servers against the hinted work lately
	asked      rate          // what was asked, by work
	missed     float64       // part of the worth let in lately that was not served in time
	turned     float64       // part lately refused at once of the requests that are worth most
	worth      float64       // mean worth of the requests lately
	field      int           // which value of a load report tells of the requests a server has, -1: none
	held       float64       // mean of that value lately
	trust      trust
	common     float64       // part of answers that were bad lately at the middle one of the servers
	drawn      time.Duration // when that was counted
	ask        asking
}

// class is a class of requests and what was learned of it.
type class struct {
	Class
	r, v, c2 float64
	scale    float64       // median latency in seconds, for a request of usual size
	seen     float64       // answers behind scale
	hint     float64       // mean work hint in seconds
	usual    time.Duration // what clients mostly wait for a try
	votes    int           // how many more tries said so than not
	brief    float64       // part of its tries that are brief
	lost     float64       // and part that are not, and were not served: a late try follows one of those
}

// server is a listed server and what this node knows of it.
type server struct {
	Server
	listed     bool
	inflight   int
	used, sent time.Duration   // when it last answered, which left an idle connection, and was last sent to
	ghosts     []time.Duration // until when cut attempts count as work it still has
	stats      curve
	bad        int           // bad answers in a row
	badPart    float64       // part of its answers that were bad lately
	judged     time.Duration // when it was last set aside
	until      time.Duration // set aside till then
	report     float64       // requests held by the last load report, and this node's sends since
	reported   time.Duration // when that came
	tokens     float64       // cold budget left
	filled     time.Duration // when tokens was brought up to date
	mark       uint64
	place      uint64 // on the ring
	// Where requests tell their work, what this node may have out to it (0: none learned): less while
	// it takes twice that or more, as with two requests a core, which soon slows it further; else more.
	limit, slow float64 // and the logarithm of its latency against that work lately
	base        float64 // the least that an answer took, most of it the way
}

// attempt is one send of a request.
type attempt struct {
	s            *server
	zone         string
	cell         int
	queue        float64 // logarithm of the reported queue against the mean one
	sent         time.Duration
	open, mayRun bool
}

// request is a client's request that is owed an answer or an outcome.
type request struct {
	id                         RequestID
	seq                        uint64
	class                      *class
	end                        time.Duration // the final answer is given by then
	aim                        time.Duration // an answer by then earns the full worth
	unit                       float64       // seconds that this request is expected to take, usually
	cost                       float64       // its work against a usual one's
	worth                      float64       // what it earns, within its tenant's share or beyond
	tries                      []attempt
	open                       int
	most                       int // attempts allowed, 0: no limit
	work                       int // an attempt's load on its server: none while the request still comes
	alt                        *server
	retried, closed, streaming bool
	brief                      bool // its client waits so briefly that, were it late, its aim is over
	idle                       bool // the end of its last attempt, or that there was none, tells of no load
	closedAt                   time.Duration
}

// New returns a Balancer for one node. Equal seeds and events give equal actions.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		classes: map[string]*class{}, servers: map[ServerID]*server{}, kinds: map[string]*curve{},
		tenants: map[string]*quota{}, reqs: map[RequestID]*request{}, bySeq: map[uint64]*request{},
		seq: firstRequestToken, budget: retryBurst, room: roomMost, usual: 1, field: -1,
		trust: trust{cov: 0.5, sq: 1},
	}
	for _, t := range s.Tenants {
		part := quotaSlack * t.QuotaPerSec / float64(max(s.Nodes, 1))
		most := max(part*quotaSaved.Seconds(), quotaLeast)
		b.tenants[t.Name] = &quota{perSecond: part, left: most, most: most}
	}
	for i, f := range s.ReportFields {
		if f == ReportHeld || f == "pending" && b.field < 0 {
			b.field = i
		}
	}
	for _, c := range s.Classes {
		b.classes[c.Name] = newClass(c)
	}
	return b, nil
}

func newClass(c Class) *class {
	n := &class{Class: c, r: exampleR, v: exampleV, c2: exampleC2, scale: c.Aim.Seconds() / 3}
	if c.Worth > 0 {
		n.r, n.v, n.c2 = c.Worth, c.Worth*exampleV/exampleR, c.Worth*retryPrice*exampleC2/exampleR
	}
	return n
}

// Handle takes an event and returns the actions it calls for, valid until the next call. No time runs back.
func (b *Balancer) Handle(now time.Duration, ev Event) []Action {
	b.out = b.out[:0]
	if !b.started {
		b.started, b.now, b.birth = true, now, now
		b.served.at, b.asked.at = now, now
		b.firstAsk()
	}
	b.now = max(b.now, now)
	b.purge()
	switch e := ev.(type) {
	case Request:
		b.request(e)
	case Outcome:
		b.outcome(e)
	case Started:
		b.stream(e)
	case Whole:
		if r := b.reqs[e.ID]; r != nil && r.work == 0 { // what was no load so far is now
			r.aim, r.end, r.work = r.aim+e.Took, r.end+e.Took, 1
			for i := range r.tries {
				r.tries[i].s.inflight += r.open
			}
		}
	case ClientGone:
		if r := b.reqs[e.ID]; r != nil && !r.closed {
			b.close(r, false)
		}
	case Wake:
		b.wake(e.Token)
	case Probed:
		b.reported(b.servers[e.Server], e.Report)
	case ServerList:
		b.list(e)
	}
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) wake(token uint64) {
	switch r := b.bySeq[token/2]; {
	case token == tokenAsk:
		b.askDue()
	case r == nil || r.closed || r.streaming:
	case token%2 == 0: // guards every final answer: whatever outcome is missing, the answer goes out
		b.finish(r)
	case r.open == 1 && len(r.tries) == 1 && !r.retried: // overdue: the retry goes out beside it
		b.retry(r)
	}
}

// request decides about a new request.
func (b *Balancer) request(q Request) {
	if b.reqs[q.ID] != nil {
		return // known already: its answer is under way
	}
	c := b.classes[q.Class]
	if c == nil {
		b.do(Refuse{ID: q.ID}) // nothing is known of what it may do, and nothing has run
		return
	}
	r := b.admit(q, c)
	b.asked.add(b.now, r.cost)
	left := r.end - b.now
	if left < minWithin {
		b.finish(r)
		return
	}
	b.do(SetTimer{Token: 2 * r.seq, After: left})
	b.first(r)
}

// admit sets up the state of a request.
func (b *Balancer) admit(q Request, c *class) *request {
	b.seq++
	r := &request{id: q.ID, seq: b.seq, class: c, unit: c.scale, cost: 1, idle: true}
	if r.most, r.work = b.cfg.MaxAttempts, 1; q.Coming {
		r.most, r.work = 1, 0
	}
	aim := c.Aim + time.Duration(c.AimStretch*float64(q.Hint))
	if h := q.Hint.Seconds(); h > 0 {
		c.hint = cmp.Or(c.hint, h)
		c.hint += (h - c.hint) * scaleStep
		r.cost = h / c.hint
		// Half of a usual latency is the request's own work, half is waiting for others'.
		r.unit = c.scale * (0.5 + 0.5*r.cost)
	}
	expires := min(q.Expires, c.Deadline)
	aimLeft := aim - 2*b.cfg.Tick // an answer still has to travel to the client and is seen a tick late
	aimLeft -= c.passed(r, expires, aimLeft)
	if r.worth = c.r; b.overShare(q.Tenant) {
		r.worth *= b.cfg.OverShareWorth
	}
	b.worth = cmp.Or(b.worth, c.r)
	b.worth += (r.worth - b.worth) * scaleStep
	r.aim, r.end = b.now+aimLeft, b.now+expires
	if c.LateWorth == 0 {
		r.end = min(r.end, r.aim)
	}
	b.reqs[r.id], b.bySeq[r.seq] = r, r
	return r
}

// overShare counts a request and tells whether it is beyond this node's part of its tenant's share. It guards
// tenants that keep to theirs: what is beyond is worth little and is refused first.
func (b *Balancer) overShare(tenant string) bool {
	t := b.tenants[tenant]
	if t == nil {
		return false
	}
	t.left = min(t.left+t.perSecond*(b.now-t.at).Seconds(), t.most)
	t.at = b.now
	if t.left < 1 {
		return true
	}
	t.left--
	return false
}

// quota is this node's part of a tenant's share.
type quota struct {
	perSecond, left, most float64
	at                    time.Duration
}

// passed is the time since the first try of a request, as its client's wait tells: where that is not what
// clients mostly wait, it is a late try whose time is cut by the deadline; such were served, at the cost of
// others, when an answer was worth nothing any more. Tries with their aim over are few, though, as each
// follows others: where many wait so briefly, clients lack patience.
func (c *class) passed(r *request, expires, aim time.Duration) time.Duration {
	lack := c.Deadline - expires
	switch d := expires - c.usual; {
	case c.votes > 0 && max(d, -d) <= c.Deadline/50:
		c.votes, lack = min(c.votes+1, votesMost), 0
	case c.votes > 0:
		c.votes--
	default:
		c.usual, c.votes, lack = expires, 1, 0
	}
	c.brief, c.lost = c.brief*(1-missStep), c.lost*(1-missStep)
	if r.brief = lack >= aim; !r.brief {
		c.lost += missStep // till it is served
	} else if c.brief += missStep; c.brief > max(c.lost, briefMost) {
		return 0
	}
	return lack
}

// first makes the first send of a request, or refuses it.
func (b *Balancer) first(r *request) {
	pick, theta, alt := b.choose(r)
	if r.worth >= b.worth {
		b.turned *= 1 - missStep
	}
	if pick == nil {
		if r.worth >= b.worth {
			b.turned += missStep
		}
		b.finish(r)
		return
	}
	r.alt = alt
	if b.cfg.SecondCopies && alt != nil {
		// The first attempt is not cut at θ: where a cut stops no work it would only throw away the answer,
		// and a cut says less of the server than its answer.
		b.do(SetTimer{Token: 2*r.seq + 1, After: theta})
		theta = r.end - b.now
	}
	b.send(r, pick, theta)
}

// choose returns the server of the first send, its time-out and alternative; none without a real chance.
func (b *Balancer) choose(r *request) (*server, time.Duration, *server) {
	left := r.end - b.now
	cand := b.gather(nil, r)
	if len(cand) == 0 {
		return nil, 0, nil
	}
	pick := b.cheapest(r, b.idlest(cand), cand)
	best, bestPay := pick, b.plain(r, pick, 0)
	for _, s := range cand {
		if p := b.plain(r, s, 0); p > bestPay {
			best, bestPay = s, p
		}
	}
	// Sending what will miss its aim keeps a jam alive: the queues serve only the late. A few go all the
	// same, or a class refused once would be refused for ever; fewer the more was sent in vain.
	need := b.enough(r)*(r.class.r+r.class.v) - r.class.v
	b.room, b.roomAt = min(b.room+roomLeast*(b.now-b.roomAt).Seconds(), roomMost), b.now
	// Where capacity has gone and this node's part of the load is thin, what is left is not known to bear the
	// load, and crowded it stays slow: less is let in at once, least of what is worth much, then more as what
	// is let in comes back soon. So it is where many nodes share each server and all answers take over twice
	// their work: a limit of one from each node is more than a server bears.
	b.borne = min(b.borne, 1-b.left)
	shared := min(float64(len(b.ring)-len(b.near)), 1)
	over := max(1-b.left-b.borne, (b.strain-math.Ln2)*shared)
	if b.rng.Float64()*max(r.worth, 1e-9) < over*b.worth {
		return nil, 0, nil
	}
	trials := trialShare
	if b.missed > jamMissed { // else many are sent at once for another reason
		if trials *= b.room / roomMost; b.room < 1 {
			return nil, 0, nil
		}
	}
	if bestPay < need && b.rng.Float64() >= trials {
		// Rather than refuse, one goes to a server set aside that stands idle and has a chance.
		for range scanAll {
			s := b.draw(b.ready)
			if p := b.plain(r, s, 0); p > bestPay && s.aside(b.now) && s.load(b.now) == 0 && b.maySend(r, s) {
				pick, best, bestPay = s, s, p
			}
		}
		if bestPay < need {
			return nil, 0, nil
		}
	}
	theta, alt, pay := b.theta(r, pick, left)
	if best != pick && bestPay > pay+clearBeat*(r.class.r+r.class.v) {
		// Any of the candidates that are about as good as the best, drawn by capacity.
		floor := bestPay - nearBest*(r.class.r+r.class.v)
		for _, s := range cand {
			if b.plain(r, s, 0) >= floor {
				pick = s
				break
			}
		}
		theta, alt, _ = b.theta(r, pick, left)
	}
	return pick, theta, alt
}

// enough is the chance below which a request is refused. In a jam the work that is let in displaces other
// work, so it has to earn what other work would: a class worth little is refused sooner than one worth much,
// and altogether where that much worth is missed among what was let in.
func (b *Balancer) enough(r *request) float64 {
	share := b.worth / max(r.worth, 1e-9)
	return max(min(max(realChance*math.Sqrt(share), chanceLeast), chanceMost),
		min(b.missed*share+b.turned*max(share-1, 0), 1))
}

// idlest returns the first candidate without work of this node, else the one with the least for its capacity.
func (b *Balancer) idlest(cand []*server) *server {
	best := cand[0]
	for _, s := range cand {
		if s.load(b.now)*best.Capacity < best.load(b.now)*s.Capacity {
			best = s
		}
	}
	return best
}

// cheapest returns a candidate that costs less to send to than the pick, in crossings and new connections,
// has no more work of this node and whose worse payoff, if any, is outweighed by that.
func (b *Balancer) cheapest(r *request, pick *server, cand []*server) *server {
	price := b.price(pick)
	scale := b.worth / r.class.r
	least := b.gain(r, pick, 0) - price*scale
	for _, s := range cand {
		p := b.price(s)
		if p < price && s.load(b.now) <= pick.load(b.now) && b.gain(r, s, 0)-p*scale >= least {
			pick, price = s, p
		}
	}
	return pick
}

// price is what a send costs, as a part of a request's worth, whatever comes of it.
func (b *Balancer) price(s *server) float64 {
	p := 0.0
	if s.Zone != b.cfg.Zone {
		p = b.cfg.CrossCharge
	}
	if s.inflight > 0 || s.used == 0 || b.now-s.used >= b.cfg.ConnIdle {
		p += b.cfg.ConnectCharge
	}
	return p
}

// gather draws candidates in random order by capacity: all of a small subset, a sample of a large one, or
// where nobody of it may be sent to, all there are. It leaves out servers that may not be sent to now; those
// set aside only come where there is no other. With first, a server, it gathers for a retry after that one.
func (b *Balancer) gather(first *server, r *request) []*server {
	pool := b.subset()
	b.cand, b.stamp = b.cand[:0], b.stamp+1
	for i := 0; i < scanAll && len(pool) > 0; i++ {
		b.consider(b.draw(pool), first, r)
	}
	if len(b.cand) == 0 {
		pool = b.ready
	}
	if n := len(pool); n > 0 && (n <= scanAll || len(b.cand) == 0) {
		from := b.rng.IntN(n)
		for i := range pool {
			b.consider(pool[(from+i)%n], first, r)
		}
	}
	fit := 0
	for _, s := range b.cand {
		if !s.aside(b.now) {
			b.cand[fit] = s
			fit++
		}
	}
	if fit == 0 && b.rng.Float64() < trialShare {
		fit = len(b.cand)
	}
	return b.cand[:fit]
}

func (b *Balancer) consider(s, first *server, r *request) {
	if s.mark == b.stamp || s == first || !b.maySend(r, s) ||
		first != nil && r.class.Effect == Keyed && !r.class.sees(first.Zone, first.Cell, s) {
		return
	}
	s.mark = b.stamp
	b.cand = append(b.cand, s)
}

// sees tells whether the server drops the repeats of what was sent to a zone and cell.
func (c *class) sees(zone string, cell int, s *server) bool {
	return (c.Group != GroupZone || zone == s.Zone) && (c.Group != GroupCell || cell == s.Cell)
}

// draw returns a random server, likelier the more capacity it has now.
func (b *Balancer) draw(pool []*server) *server {
	for i := 0; ; i++ {
		s := pool[b.rng.IntN(len(pool))]
		if i == drawTries || b.rng.Float64()*b.top <= s.Capacity*b.warmth(s) {
			return s
		}
	}
}

// serves tells whether the server was not said to drain or be gone.
func (s *server) serves() bool { return s.listed && s.State == Serving }

// load is the work that the server has of this node: what is out, and what was cut and may go on.
func (s *server) load(now time.Duration) float64 {
	s.ghosts = slices.DeleteFunc(s.ghosts, func(until time.Duration) bool { return until <= now })
	return float64(s.inflight + len(s.ghosts))
}

// aside tells whether the server is set aside as an outlier.
func (s *server) aside(now time.Duration) bool { return s.bad >= outlierAfter && now < s.until }

// gain is the part of the worth to expect from a server sent a request after a pause, until its end.
func (b *Balancer) gain(r *request, s *server, pause time.Duration) float64 {
	at := b.now + pause
	g := b.chance(r, s, min(r.aim, r.end)-at)
	if late := r.class.LateWorth; late > 0 && r.end > r.aim {
		g += late * (b.chance(r, s, r.end-at) - g)
	}
	return g
}

// plain is the payoff of a server without a retry, R·F − V·(1−F).
func (b *Balancer) plain(r *request, s *server, pause time.Duration) float64 {
	g := b.gain(r, s, pause)
	return r.class.r*g - r.class.v*(1-g)
}

// theta returns the time-out that maximises the paper's payoff for a first send to s, and the alternative;
// the time left and none where plain waiting pays at least as much. It also returns the payoff.
func (b *Balancer) theta(r *request, s *server, left time.Duration) (time.Duration, *server, float64) {
	wait := b.plain(r, s, 0)
	if b.budget < 1 || !b.mayRetry(r) {
		return left, nil, wait
	}
	alt := b.alternative(r, s)
	if alt == nil {
		return left, nil, wait
	}
	best, bestPay := left, wait
	for i := 1; i < thetaSteps; i++ {
		t := left * time.Duration(i) / thetaSteps
		if p := b.retryPay(r, s, alt, t); p > bestPay {
			best, bestPay = t, p
		}
	}
	if best == left {
		return left, nil, wait
	}
	best += time.Duration(float64(best) * thetaSpread * (2*b.rng.Float64() - 1))
	return best, alt, bestPay
}

// retryPay is R·F1(θ) + (1−F1(θ))·{−c2 + R·F2(d−θ) − V·(1−F2(d−θ))}.
func (b *Balancer) retryPay(r *request, s, alt *server, theta time.Duration) float64 {
	c := r.class
	done := b.chance(r, s, theta)
	full := b.chance(r, s, min(theta, r.aim-b.now))
	return c.r*(full+c.LateWorth*(done-full)) + (1-done)*(-c.c2+b.plain(r, alt, theta))
}

// alternative returns the server other than s with the best payoff, or one about as good.
func (b *Balancer) alternative(r *request, s *server) *server {
	half := (r.end - b.now) / 2
	cand := b.gather(s, r)
	best, bestPay := (*server)(nil), math.Inf(-1)
	for _, a := range cand {
		if p := b.plain(r, a, half); p > bestPay {
			best, bestPay = a, p
		}
	}
	// Spread over the near best: equal histograms would send all nodes to one server.
	floor := bestPay - nearBest*(r.class.r+r.class.v)
	for _, a := range cand {
		if b.plain(r, a, half) >= floor && a.load(b.now) <= best.load(b.now) {
			return a
		}
	}
	return best
}

// mayRetry tells whether the class lets a request go again that may have run.
func (b *Balancer) mayRetry(r *request) bool {
	return r.class.Effect != Unsafe && !r.retried && !r.class.Stream &&
		(r.most == 0 || len(r.tries)+1 < r.most)
}

// maySend tells whether no rule forbids a send to the server now. All that is out for long may be lost.
func (b *Balancer) maySend(r *request, s *server) bool {
	free := s.limit == 0 || (b.now-s.sent).Seconds() > silentAfter*(s.base+r.cost*r.class.hint)
	return s.serves() && (free || s.load(b.now) < s.limit) && b.mayTake(s) && b.mayRepeat(r, s)
}

// mayRepeat tells whether a further attempt to s can double no effect.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	if r.most > 0 && len(r.tries) >= r.most {
		return false
	}
	if !b.cfg.SecondCopies && r.open > 0 {
		return false
	}
	for i := range r.tries {
		t := &r.tries[i]
		if !t.mayRun {
			continue
		}
		switch r.class.Effect {
		case Unsafe:
			return false
		case Keyed:
			if b.now-t.sent >= r.class.Window || !r.class.sees(t.zone, t.cell, s) {
				return false
			}
		}
	}
	return true
}

// send starts an attempt.
func (b *Balancer) send(r *request, s *server, within time.Duration) {
	s.inflight += r.work
	if b.outlier(s) {
		s.until = b.now + outlierPause(s.bad) // one trial at a time
	}
	if b.warmth(s) < 1 {
		s.tokens -= r.cost
	}
	t := attempt{s: s, zone: s.Zone, cell: s.Cell, queue: b.queue(s), sent: b.now, open: true, mayRun: true}
	s.report, s.sent = s.report+1, b.now
	b.room = max(b.room-1, -2*roomMost)
	r.tries = append(r.tries, t)
	r.open++
	b.do(Send{ID: r.id, Server: s.ID, Within: within})
}

func outlierPause(bad int) time.Duration {
	return min(outlierFirst<<min(bad-outlierAfter, 10), outlierMost)
}

// outcome takes the end of an attempt.
func (b *Balancer) outcome(o Outcome) {
	r := b.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.tries) || !r.tries[o.Attempt].open {
		return
	}
	t := &r.tries[o.Attempt]
	t.open, t.mayRun, r.idle = false, !o.Result.NeverRan(), o.Result == ConnectFailed || o.Result >= Canceled
	t.s.inflight -= r.work
	r.open--
	if o.Result == TimedOut || o.Result == Canceled {
		// A cut may not stop the work: the longer an attempt took, the longer it may still take.
		t.s.ghosts = append(t.s.ghosts, b.now+o.Latency)
	}
	b.learn(r, t, o)
	if b.cfg.ConnectCharge == 0 && t.s.inflight == 0 {
		// Many nodes' idle connections fill a server's table: it slows down, then turns others away. Opening
		// one anew is dearer only where it has a price.
		b.do(CloseIdle{Server: t.s.ID})
	}
	switch {
	case r.closed:
		b.forget(r)
	case o.Final:
		b.close(r, o.Result == OK)
	case !r.streaming && r.open == 0 && !b.retry(r):
		b.finish(r)
	}
}

// retry sends a request to its alternative, or the next best; false where it may not.
func (b *Balancer) retry(r *request) bool {
	left := r.end - b.now
	last := &r.tries[len(r.tries)-1]
	if left < minWithin || last.mayRun && (!b.mayRetry(r) || b.budget < 1) {
		return false
	}
	alt := r.alt
	if alt == nil || alt.aside(b.now) || !b.maySend(r, alt) {
		alt = b.alternative(r, last.s)
	}
	if alt == nil || b.gain(r, alt, 0) < realChance {
		return false
	}
	r.alt = nil
	if last.mayRun {
		r.retried = true
		b.budget--
	}
	b.send(r, alt, left)
	return true
}

// stream notes that an answer has begun: it has no deadline any more.
func (b *Balancer) stream(e Started) {
	r := b.reqs[e.ID]
	if r == nil || r.closed || e.Attempt < 0 || e.Attempt >= len(r.tries) {
		return
	}
	r.streaming = true
	b.learn(r, &r.tries[e.Attempt], Outcome{Result: OK, Latency: e.Latency})
}

// finish gives the final answer of a request that was not served.
func (b *Balancer) finish(r *request) {
	// Too late to be worth anything: a refusal would only ask the client for more of it.
	late := r.aim-b.now < minWithin && r.class.LateWorth == 0 && r.class.Effect != Safe
	if late || !b.mayRefuse(r) {
		b.do(Fail{ID: r.id})
	} else {
		b.do(Refuse{ID: r.id, RetryAfter: b.cfg.MaxRetryAfter})
	}
	b.close(r, false)
}

// mayRefuse tells whether a refusal, which calls a repetition harmless, is true.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == GroupAll ||
		!slices.ContainsFunc(r.tries, func(t attempt) bool { return t.mayRun })
}

// close ends a request and calls off what is still out for it.
func (b *Balancer) close(r *request, served bool) {
	r.closed, r.closedAt = true, b.now
	if served && !r.brief {
		r.class.lost = max(r.class.lost-missStep, 0)
	}
	if !served && r.idle && b.now < r.aim-b.cfg.Tick { // its client left, or no connection came up: no jam
		b.room += float64(r.open)
	} else if len(r.tries) > 0 {
		miss := 1.0
		if served && b.now <= r.aim {
			miss = 0
			b.room += roomGain / b.usual
			b.budget = min(b.budget+retryShare, retryBurst)
		}
		step := borneStep
		if !served || r.aim-b.now < r.class.Aim/2 {
			step = -borneFall // it waited: let in more, and what is left is crowded
		}
		b.borne = max(b.borne+(1-b.left)*step, 0)
		b.usual += (1 - miss - b.usual) * usualStep
		b.missed += (miss - b.missed) * missStep * min(r.worth/b.worth, 1/missStep)
	}
	if b.cfg.CanCancel && !r.streaming {
		for i := range r.tries {
			if r.tries[i].open {
				b.do(Cancel{ID: r.id, Attempt: i})
			}
		}
	}
	if r.open > 0 {
		b.linger = append(b.linger, r)
	}
	b.forget(r)
}

// forget drops an ended request whose outcomes are all in.
func (b *Balancer) forget(r *request) {
	delete(b.bySeq, r.seq)
	if r.open == 0 {
		delete(b.reqs, r.id)
	}
}

// purge drops ended requests whose outcomes never came.
func (b *Balancer) purge() {
	for len(b.linger) > 0 && (b.linger[0].open == 0 || b.now-b.linger[0].closedAt > lingerFor) {
		r := b.linger[0]
		b.linger[0], b.linger = nil, b.linger[1:]
		for i := range r.tries {
			if t := &r.tries[i]; t.open {
				t.open = false
				t.s.inflight -= r.work
			}
		}
		r.open = 0
		delete(b.reqs, r.id)
	}
}

// warmth is the share of its capacity that a server surely has by now.
func (b *Balancer) warmth(s *server) float64 {
	if s.Born <= 0 || b.cfg.WarmWithin <= 0 {
		return 1
	}
	age := float64(b.now-s.Born) / float64(b.cfg.WarmWithin)
	return min(max(b.cfg.ColdFrom+(1-b.cfg.ColdFrom)*max(age, 0), 0.01), 1)
}

// mayTake tells whether a ready server may be sent something now. A cold one is held to this node's share of
// what the server can do: a warm server of its size was seen to serve so much of this node, and that, times
// the warmth, is safe however many nodes there are. What is served in a jam tells nothing of that: by it,
// cold servers would stand idle while the warm ones are overrun.
func (b *Balancer) mayTake(s *server) bool {
	w := b.warmth(s)
	if w >= 1 {
		return true
	}
	b.subset()
	per := b.peak
	if b.warmSum == 0 { // no warm server to go by: all are cold, what is asked is shared among them
		known := max(1-math.Exp2(-float64(b.now-b.birth)/float64(rateLife)), 0.1) // of a rate by now
		per = b.asked.perSecond(b.now) / known / max(b.nearSum, 1e-9)
	}
	flow := coldShare * w * per * s.Capacity
	most := flow * coldBurst * b.cfg.FallAfter.Seconds()
	s.tokens, s.filled = min(s.tokens+flow*(b.now-s.filled).Seconds(), most), b.now
	return s.tokens > 0
}

// list takes news of the servers.
func (b *Balancer) list(l ServerList) {
	b.ask.answered(b, l.Kind)
	if l.Kind == ListFailed {
		return
	}
	if l.Kind != ListChanges {
		for _, s := range b.servers {
			s.listed = false // order does not matter: every server gets the same
		}
	}
	for _, e := range l.Servers {
		b.entry(e)
	}
	maps.DeleteFunc(b.servers, func(_ ServerID, s *server) bool { return !s.listed })
	b.index(l.Servers)
}

// entry takes one server of a list.
func (b *Balancer) entry(e Server) {
	s := b.servers[e.ID]
	if s != nil && (e.State == Gone || s.Born != e.Born) { // another process under an id is another server
		s.listed, s.State = false, Gone
		delete(b.servers, e.ID)
		s = nil
	}
	if e.State == Gone {
		return
	}
	if s == nil {
		// New: the budget starts at a random point so that nodes do not open together.
		h := fnv.New64a()
		h.Write([]byte(e.ID))
		s = &server{filled: b.now, tokens: -b.rng.Float64(), place: h.Sum64()}
		b.servers[e.ID] = s
	}
	if !(e.Capacity > 0) {
		e.Capacity = 1
	}
	s.Server, s.listed = e, true
}

// index lists the servers that take requests, the old in their old order, the new in that of the news.
func (b *Balancer) index(news []Server) {
	old := b.ready
	b.ready, b.stamp = make([]*server, 0, len(b.servers)), b.stamp+1
	b.top, b.near = 0, b.near[:0]
	for _, s := range old {
		b.enlist(s)
	}
	for _, e := range news {
		if s := b.servers[e.ID]; s != nil {
			b.enlist(s)
		}
	}
	b.ring = append(b.ring[:0], b.ready...)
	slices.SortFunc(b.ring, func(s, o *server) int {
		return cmp.Or(cmp.Compare(s.place, o.place), cmp.Compare(s.ID, o.ID))
	})
}

// subset returns the servers that this node sends to. In a large fleet they are a part of all: each gets more
// of the node's requests, so it is known better and its connections stay in use. The servers stand on a ring
// by hash, the nodes at even distances, so each server has about equally many nodes.
func (b *Balancer) subset() []*server {
	if b.now-b.nearAt < curveLife && len(b.near) > 0 {
		return b.near
	}
	n, nodes := len(b.ring), max(b.cfg.Nodes, 1)
	b.span.add(b.now, b.warmSum*(b.now-b.nearAt).Seconds())
	b.served.age(b.now)
	gap := float64(b.now - b.nearAt)
	fade := math.Exp2(-gap / float64(peakLife))
	b.peak = max(b.served.sum/max(b.span.sum, cmp.Or(b.warmSum, b.nearSum), 1e-9), b.peak*fade)
	b.near, b.nearAt, b.nearSum, b.warmSum = b.near[:0], b.now, 0, 0
	want := min(max(subsetLeast, (n*coverLeast+nodes-1)/nodes), n)
	need, able, fit := 0.0, 0.0, 0.0 // needed yet: cold ones and those set aside count for what they can do
	for _, s := range b.ring {
		need += s.Capacity * float64(want) / float64(n)
		able += s.Capacity * b.warmth(s)
	}
	_, at := math.Modf(float64(b.cfg.Number) * math.Phi)
	for i, from := 0, int(at*float64(n)); i < min(n, 2*want) && (need > 1e-9 || i < want); i++ {
		s := b.ring[(from+i)%n]
		b.near, b.nearSum = append(b.near, s), b.nearSum+s.Capacity
		if b.warmth(s) >= 1 {
			b.warmSum += s.Capacity
		}
		if !s.aside(b.now) {
			fit += s.Capacity
			need -= s.Capacity * b.warmth(s)
		}
	}
	b.full = max(able, able+(b.full-able)*math.Exp2(-gap/float64(fullLife)))
	if b.left = able / b.full * fit / b.nearSum; b.asked.perSecond(b.now) > thinRate*float64(len(b.near)) {
		b.left = 1
	}
	return b.near
}

func (b *Balancer) enlist(s *server) {
	if s.mark == b.stamp || !s.serves() {
		return
	}
	s.mark = b.stamp
	b.ready = append(b.ready, s)
	b.top = max(b.top, s.Capacity)
}

// asking is the state of this node's calls to discovery.
type asking struct {
	subscribed, pending bool
	since               time.Duration // of the call that is out
	failures            int
}

// firstAsk sets the time of the first call, spread by the number of nodes, which may all start together.
func (b *Balancer) firstAsk() {
	if !b.cfg.MustSubscribe {
		return
	}
	spread := min(askSpread*time.Duration(max(b.cfg.Nodes, 1)), 2*b.askLimit())
	b.do(SetTimer{Token: tokenAsk, After: time.Duration(b.rng.Float64() * float64(spread))})
}

// askLimit is the longest pause between calls while there is no subscription.
func (b *Balancer) askLimit() time.Duration {
	return min(askMost, cmp.Or(b.cfg.AskWithin/2, askMost))
}

// askDue calls discovery where there is no subscription and no call is out.
func (b *Balancer) askDue() {
	if b.ask.subscribed || b.ask.pending && b.now-b.ask.since < askPatience {
		return
	}
	b.ask.pending, b.ask.since = true, b.now
	b.do(Subscribe{})
	b.do(SetTimer{Token: tokenAsk, After: askPatience})
}

// answered takes note of a list as the answer to a call.
func (a *asking) answered(b *Balancer, kind ListKind) {
	if !b.cfg.MustSubscribe || kind == ListCached {
		return
	}
	if kind != ListFailed {
		if a.pending {
			a.pending, a.subscribed, a.failures = false, true, 0
		}
		return
	}
	a.pending, a.subscribed = false, false
	a.failures++
	if a.failures&(a.failures-1) == 0 { // ever fewer lines of a trouble that goes on
		b.do(Log{Text: fmt.Sprintf("discovery call failed %d times in a row", a.failures)})
	}
	pause := float64(min(askFirst<<min(a.failures-1, 5), b.askLimit())) * (0.5 + 0.5*b.rng.Float64())
	b.do(SetTimer{Token: tokenAsk, After: time.Duration(pause)})
}

// reported takes a load report.
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
	if queue == 0 {
		return
	}
	t.cov += (queue*latency - t.cov) * trustStep
	t.sq += (queue*queue - t.sq) * trustStep
}

func (t *trust) slope() float64 { return min(max(t.cov/max(t.sq, 0.01), 0), 1) }

// learn takes what an outcome tells.
func (b *Balancer) learn(r *request, t *attempt, o Outcome) {
	s := t.s
	b.reported(s, o.Report)
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

// outlier tells whether a server has had more bad answers in a row than what befalls all alike would bring.
// Where connections break at every one, or all are jammed, setting one after the other aside jams the rest.
func (b *Balancer) outlier(s *server) bool {
	if b.now-b.drawn >= curveLife && len(b.ready) > 0 {
		parts := make([]float64, len(b.ready))
		for i, o := range b.ready {
			parts[i] = o.badPart
		}
		slices.Sort(parts)
		b.common, b.drawn = parts[(len(parts)-1)/2], b.now
	}
	return s.bad >= outlierAfter && math.Pow(b.common, float64(s.bad)) < outlierRare
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

// Histograms count latencies in units of what is usual, in bins of a quarter of an octave from 1/8 to 32.
const (
	binsPerOctave = 4
	lowestOctave  = 3
	bins          = 32
)

// curve is an ageing histogram of latencies and the survival curve drawn from it.
type curve struct {
	done        [bins + 1]float64 // answered; the last bin holds what came past any deadline
	cut         [bins + 1]float64 // censored: cut off in this bin
	surv        [bins]float64     // chance to take longer than the upper edge of each bin
	aged, drawn time.Duration
	valid       bool
}

func position(x float64) float64 { return (math.Log2(x) + lowestOctave) * binsPerOctave }

// add counts a latency.
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
	if now <= c.aged {
		return
	}
	f := math.Exp2(-float64(now-c.aged) / float64(life))
	for i := range c.done {
		c.done[i] *= f
		c.cut[i] *= f
	}
	c.aged = now
}

// survival is the chance to take longer than x.
func (c *curve) survival(now, life time.Duration, prior *curve, x float64) float64 {
	if !c.valid || now-c.drawn > curveLife {
		c.draw(now, life, prior)
	}
	p := position(x)
	if p <= 0 {
		return 1
	}
	i := int(p)
	if i >= bins {
		return c.surv[bins-1]
	}
	before := 1.0
	if i > 0 {
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
	if now > r.at {
		r.sum *= math.Exp2(-float64(now-r.at) / float64(rateLife))
		r.at = now
	}
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
