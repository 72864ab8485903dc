package logic

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one node. It is not safe for concurrent use.
type Balancer struct {
	cfg                   Settings
	rng                   *rand.Rand
	started               bool
	now, birth            time.Duration // and its first event's
	seq, stamp            uint64
	out                   []Action
	classes               map[string]*class
	tenants               map[string]*quota
	servers               map[ServerID]*server
	kinds                 map[string]*curve
	ready                 []*server // servers that take requests, in the order they were listed
	ring                  []*server // the same in the order of their hashes, alike at all nodes
	near                  []*server // the part of the ring that this node sends to
	nearSum, warmSum      float64   // the capacity of those near, and of the warm ones among them
	top                   float64   // largest capacity among the ready ones
	reqs                  map[RequestID]*request
	bySeq                 map[uint64]*request
	linger                []*request // ended, with outcomes still to come, oldest first
	cand                  []*server  // scratch
	usual                 float64    // part of the requests let in that is served in time, in the long run
	room                  float64    // sends that may be made
	budget                float64    // retries that may be sent
	served, span          rate       // answers of near and warm servers, seconds of capacity they took,
	peak                  float64    // and the most per second and capacity that was seen
	full                  float64    // the most capacity of the ready servers, slowly forgotten
	left, borne           float64    // the part of that which is left, and the part whose loss did no harm
	strain                float64    // logarithm of the latency of all servers against the hinted work lately
	asked                 rate       // what was asked, by work
	missed                float64    // part of the worth let in lately that was not served in time
	turned                float64    // part lately refused at once of the requests that are worth most
	worth                 float64    // mean worth of the requests lately
	field                 int        // which value of a load report tells of requests held, -1: none
	held                  float64    // mean of that value lately
	trust                 trust
	common                float64       // part of answers that were bad lately at the middle server
	nearAt, roomAt, drawn time.Duration // when near was drawn, room brought up to date, common counted
	ask                   asking
}

// class is a class of requests as told at one time, and what was learned of those of its name.
type class struct {
	Class
	r, v, c2 float64
	*habits
}

type habits struct {
	scale float64       // median latency in seconds, for a request of usual size
	seen  float64       // answers behind scale
	hint  float64       // mean work hint in seconds
	usual time.Duration // what clients mostly wait for a try
	votes int           // how many more tries said so than not
	brief float64       // part of its tries that are brief
	lost  float64       // and part that are not, and were not served: a late try follows one of those
}

// server is a listed server and what this node knows of it.
type server struct {
	Server
	listed        bool
	inflight      int
	used, sent    time.Duration   // when it last answered, leaving an idle connection, and was sent to
	ghosts        []time.Duration // until when cut attempts count as work it still has
	stats         curve
	bad           int           // bad answers in a row
	badPart       float64       // part of its answers that were bad lately
	judged, until time.Duration // when it was last set aside, and till when
	report        float64       // requests held by the last load report, and this node's sends since
	reported      time.Duration // when that came
	tokens        float64       // cold budget left
	filled        time.Duration // when tokens was brought up to date
	mark, place   uint64        // seen by the present search; on the ring
	// Where requests tell their work, what this node may have out to it (0: none learned): less while
	// it takes twice that or more, as with two requests a core, which soon slows it further; else more.
	limit, slow float64 // and the logarithm of its latency against that work lately
	base        float64 // the least that an answer took, most of it the way
}

type attempt struct {
	s                   *server
	zone                string
	cell                int
	queue               float64 // logarithm of the reported queue against the mean one
	sent                time.Duration
	open, mayRun, begun bool // begun: its answer streams
}

// request is a client's request that is owed an answer or an outcome.
type request struct {
	id                         RequestID
	seq                        uint64
	class                      *class
	end, aim                   time.Duration // when the final answer is due, and one of full worth
	unit                       float64       // seconds that this request is expected to take, usually
	cost                       float64       // its work against a usual one's
	worth                      float64       // what it earns, within its tenant's share or beyond
	tries                      []attempt
	open, most, work           int // attempts out, allowed (0: any); load of each, none while it comes
	alt                        *server
	told                       Request
	retried, closed, streaming bool
	brief                      bool // its client waits so briefly that, were it late, its aim is over
	idle                       bool // the end of its last attempt, or that there was none, tells of no load
	closedAt, began            time.Duration
}

// New returns a Balancer for one node. Equal seeds and events give equal actions.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg: s, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		servers: map[ServerID]*server{}, kinds: map[string]*curve{},
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
		if f == ReportInFlight || f == "pending" && b.field < 0 {
			b.field = i
		}
	}
	return b, b.SetClasses(s.Classes)
}

// SetClasses replaces the classes. One of a known name keeps what was learned of it; requests under way keep
// theirs. Where New would return an error it returns that and changes nothing.
func (b *Balancer) SetClasses(classes []Class) error {
	if err := checkClasses(classes); err != nil {
		return err
	}
	known := b.classes
	b.classes = map[string]*class{}
	for _, c := range classes {
		b.classes[c.Name] = newClass(c)
		if old := known[c.Name]; old != nil {
			b.classes[c.Name].habits = old.habits
		}
	}
	return nil
}

func newClass(c Class) *class {
	n := &class{c, exampleR, exampleV, exampleC2, &habits{scale: cmp.Or(c.Usual, c.Aim/3).Seconds()}}
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
			r.aim, r.end, r.work = r.aim+e.BodyTime, r.end+e.BodyTime, 1
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

func (b *Balancer) request(q Request) {
	if b.reqs[q.ID] != nil {
		return // known already: its answer is under way
	}
	c := b.classes[q.Class]
	if c == nil {
		b.do(Reject{ID: q.ID}) // nothing is known of what it may do, and nothing has run
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

func (b *Balancer) admit(q Request, c *class) *request {
	b.seq++
	r := &request{id: q.ID, seq: b.seq, class: c, unit: c.scale, cost: 1, idle: true, told: q}
	if r.most, r.work = cmp.Or(q.MaxAttempts, c.MaxAttempts, b.cfg.MaxAttempts), 1; q.BodyPending {
		r.most, r.work = 1, 0
	}
	// An answer still has to travel to the client and is seen a tick late.
	aim := c.Aim + time.Duration(c.AimStretch*float64(q.WorkHint)) - 2*b.cfg.Tick
	if h := q.WorkHint.Seconds(); h > 0 {
		c.hint = cmp.Or(c.hint, h)
		c.hint += (h - c.hint) * scaleStep
		r.cost = h / c.hint
		// Half of a usual latency is the request's own work, half is waiting for others'.
		r.unit = c.scale * (0.5 + 0.5*r.cost)
	}
	expires := min(q.ClientTimeout, c.Deadline)
	aim -= c.passed(r, expires, aim)
	if r.worth = cmp.Or(max(q.Worth, 0), c.r); b.overShare(q.Tenant) {
		r.worth *= b.cfg.OverShareWorth
	}
	b.worth = cmp.Or(b.worth, c.r)
	b.worth += (r.worth - b.worth) * scaleStep
	r.aim, r.end = b.now+aim, b.now+expires
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
	t.left, t.at = min(t.left+t.perSecond*(b.now-t.at).Seconds(), t.most), b.now
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
