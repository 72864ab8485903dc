package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"pipitmux/logic"
)

// Machine is how a backend's machine is.
type Machine uint8

// What a machine may be.
const (
	Up     Machine = iota // its process serves
	Silent                // nothing comes up, nothing comes back
	Down                  // no process listens
)

// backend is the model of one backend. All requests in work progress at the same
// rate, so one account of progress serves for all: a request that starts when the
// account stands at p and needs work w is done when it stands at p+w.
type backend struct {
	w      *world
	no     int
	id     logic.ServerID
	kind   *Kind
	zone   int
	cell   int
	speed  float64
	weight float64
	rng    *rand.Rand

	state    Machine
	draining bool
	retired  bool          // replaced by another for good
	born     time.Duration // 0: long ago
	epoch    int           // of its process: jobs and connections of an earlier one are gone

	slow    float64 // product of what slows it
	failing float64 // share of requests that it fails at once
	hanging int
	paused  bool
	crowded bool
	ever    bool // it was so at some time

	running  []*job
	waiting  []*job // from first on
	first    int
	conns    int // open
	progress float64
	at       time.Duration // when progress was brought up to date
	rate     float64       // work a second, of each request in work
	plan     int           // the latest completion planned; earlier ones are void

	overSince, restSince, crowdedAt time.Duration // 0: not so

	// load reports: what was seen at the last instants of looking
	looks    [lookMost]look
	looked   int
	nextLook time.Duration
}

const lookMost = 8

type look struct {
	at          time.Duration
	held, queue int
}

// job is a request at a backend.
type job struct {
	att  *attempt
	work float64
	done float64 // the account's mark at which it is
}

func (b *backend) slots() int {
	return max(int(b.kind.SlotsPerCore.From*float64(b.kind.Cores)), 1)
}
func (b *backend) queued() int { return len(b.waiting) - b.first }
func (b *backend) held() int   { return len(b.running) + b.queued() }

// warmth is the share of its capacity that it has.
func (b *backend) warmth() float64 {
	if b.born == 0 || b.kind.ColdS.From == 0 {
		return 1
	}
	age := float64(b.w.now-b.born) / float64(b.kind.ColdS.sec())
	if age >= 1 {
		return 1
	}
	return b.kind.ColdFrom.From + (1-b.kind.ColdFrom.From)*age
}

// capacity is the work a second that it can do now, on standard cores.
func (b *backend) capacity() float64 {
	c := b.speed * float64(b.kind.Cores) * b.warmth() / b.slow
	if b.crowded {
		c /= b.w.sc.Crowded.Slower.From
	}
	return c
}

// bearable is the work a second that it could do at its warmth, were nothing
// else wrong: what a cold start makes it unable to bear is measured by that.
func (b *backend) bearable() float64 { return b.speed * float64(b.kind.Cores) * b.warmth() }

// advance brings the account of progress up to now.
func (b *backend) advance() {
	b.progress += b.rate * (b.w.now - b.at).Seconds()
	b.at = b.w.now
}

// changed works out the rate anew and plans the next completion. It belongs
// after each change, with advance before it.
func (b *backend) changed() {
	b.judgeCrowd()
	n := len(b.running)
	b.rate = 0
	if n > 0 && !b.paused && b.hanging == 0 && b.state == Up {
		r := b.capacity() / float64(max(n, b.kind.Cores))
		if over := float64(b.held()) - b.kind.ThrashAt.From*float64(b.kind.Cores); over > 0 && b.kind.ThrashAt.From > 0 {
			r /= 1 + b.kind.Thrash.From*over/(b.kind.ThrashAt.From*float64(b.kind.Cores))
		}
		if most := b.connCap(); most > 0 {
			r *= 1 - b.w.sc.Conns.FullTax.From*min(float64(b.conns)/float64(most), 1)
		}
		b.rate = r
	}
	b.plan++
	if b.rate == 0 {
		return
	}
	next := b.running[0].done
	for _, j := range b.running[1:] {
		next = min(next, j.done)
	}
	wait := time.Duration(math.Ceil(max(next-b.progress, 0) / b.rate * 1e9))
	if cold := time.Second / 4; b.warmth() < 1 && wait > cold {
		wait = cold // its rate rises meanwhile
	}
	plan := b.plan
	b.w.after(wait, func() {
		if plan == b.plan {
			b.advance()
			b.complete()
		}
	})
}

// complete ends the requests whose work is done.
func (b *backend) complete() {
	left := b.running[:0]
	var done []*job
	for _, j := range b.running {
		if j.done <= b.progress+1e-9 {
			done = append(done, j)
		} else {
			left = append(left, j)
		}
	}
	if len(done) > 0 {
		b.see()
	}
	b.running = left
	b.begin()
	b.changed()
	for _, j := range done {
		b.w.finished(b, j)
	}
}

// begin takes waiting requests into work.
func (b *backend) begin() {
	for b.queued() > 0 && len(b.running) < b.slots() {
		j := b.waiting[b.first]
		b.waiting[b.first] = nil
		if b.first++; b.first > 64 && b.first*2 > len(b.waiting) {
			b.waiting = append(b.waiting[:0], b.waiting[b.first:]...)
			b.first = 0
		}
		b.start(j)
	}
}

func (b *backend) start(j *job) {
	j.done = b.progress + j.work
	b.running = append(b.running, j)
}

// arrive takes a request whose last byte has come, and the work of opening its connection.
func (b *backend) arrive(a *attempt, opening float64) {
	c := a.try.op.class
	work := a.try.op.work
	if cv := c.AttemptNoise.From; cv > 0 {
		work *= lognormal(b.rng, 1, cv)
	}
	b.w.workAsked += work
	if b.warmth() < 1 && b.w.audit.WorkArrived(b.w.now, string(b.id), work+opening, b.bearable()) {
		b.w.happened("felled", string(b.id))
		b.stop(Down)
		b.w.news(b, b.w.sc.Discovery.SilentNoticeS.sec())
		a.end(logic.Reset, nil, 0)
		return
	}
	switch {
	case b.hanging > 0:
		b.w.ran(b, a) // taken, and never answered
		return
	case b.failing > 0 && b.rng.Float64() < b.failing:
		a.end(logic.Failed, b.report(), time.Millisecond)
		return
	}
	b.see()
	b.advance()
	j := &job{att: a, work: work + opening}
	switch {
	case len(b.running) < b.slots():
		b.start(j)
	case float64(b.queued()) < b.kind.QueuePerCore.From*float64(b.kind.Cores):
		b.waiting = append(b.waiting, j)
	default:
		a.end(logic.QueueFull, b.report(), 0)
		return
	}
	a.job = j
	// A repeat is dropped by what the group has taken, so that is the moment that counts:
	// work that was given up may wait in a jam for longer than repeats are dropped.
	b.w.ran(b, a)
	b.changed()
}

// dropped is told that a node gave an attempt up: whether that stops any work
// depends on the kind.
func (b *backend) dropped(a *attempt) {
	if b.kind.Cancel == "none" || a.job == nil {
		return
	}
	b.see()
	b.advance()
	for i := b.first; i < len(b.waiting); i++ {
		if b.waiting[i] == a.job {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.changed()
			return
		}
	}
	if b.kind.Cancel != "all" {
		return
	}
	for i, j := range b.running {
		if j == a.job {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.begin()
			b.changed()
			return
		}
	}
}

// set changes something that its rate depends on.
func (b *backend) set(change func()) {
	b.advance()
	change()
	b.changed()
}

// stop ends its process: what it held is lost. A silent machine says nothing; a
// process that dies resets its connections.
func (b *backend) stop(to Machine) {
	b.advance()
	b.see()
	lost := append([]*job{}, b.running...)
	lost = append(lost, b.waiting[b.first:]...)
	b.running, b.waiting, b.first, b.conns = nil, nil, 0, 0
	b.epoch++
	b.state, b.crowded, b.overSince, b.restSince = to, false, 0, 0
	b.changed()
	b.w.live.backend(b)
	if to == Down {
		for _, j := range lost {
			j.att.end(logic.Reset, nil, 0)
		}
	}
}

// rise starts a new process, cold.
func (b *backend) rise() {
	b.epoch++
	b.state, b.born, b.draining = Up, max(b.w.now, 1), false
	b.at = b.w.now
	b.w.audit.BackendStarted(string(b.id))
	b.changed()
	b.w.live.backend(b)
	b.w.news(b, b.w.sc.Discovery.AddS.sec())
}

// judgeCrowd follows the state of being crowded, which outlasts its cause.
func (b *backend) judgeCrowd() {
	c := &b.w.sc.Crowded
	if c.At.From == 0 {
		return
	}
	now := b.w.now
	if !b.crowded {
		if float64(b.held()) <= c.At.From {
			b.overSince = 0
		} else if b.overSince == 0 {
			b.overSince = now
			b.w.after(c.OverS.sec(), func() { b.set(func() {}) })
		} else if now-b.overSince >= c.OverS.sec() {
			b.crowded, b.ever, b.crowdedAt, b.restSince, b.overSince = true, true, now, 0, 0
			b.w.crowdings++
			b.w.after(c.MostS.sec(), func() { b.set(func() {}) })
		}
		return
	}
	switch {
	case now-b.crowdedAt >= c.MostS.sec():
		b.crowded = false
	case float64(b.held()) >= c.Below.From*float64(b.kind.Cores):
		b.restSince = 0
	case b.restSince == 0:
		b.restSince = now
		b.w.after(c.RestS.sec(), func() { b.set(func() {}) })
	case now-b.restSince >= c.RestS.sec():
		b.crowded = false
	}
}

func (b *backend) connCap() int {
	return int(b.w.sc.Conns.CapPerCore.From * float64(b.kind.Cores))
}

// see notes what a look at its queue showed at each instant of looking that has
// passed since the last change. It belongs before each change.
func (b *backend) see() {
	every := b.w.sc.Reports.EveryMS.ms()
	if len(b.w.sc.Reports.Fields) == 0 || b.w.now < b.nextLook {
		return
	}
	// Only the latest looks are of use.
	if missed := (b.w.now - b.nextLook) / every; missed > lookMost {
		b.nextLook += (missed - lookMost) * every
	}
	for b.nextLook <= b.w.now {
		b.looks[b.looked%lookMost] = look{b.nextLook, b.held(), b.queued()}
		b.looked++
		b.nextLook += every
	}
}

// report is what an answer tells of its load, nil where nothing is known yet.
func (b *backend) report() []float64 {
	fields := b.w.sc.Reports.Fields
	if len(fields) == 0 {
		return nil
	}
	b.see()
	until := b.w.now - b.w.sc.Reports.DelayMS.ms()
	for i := b.looked - 1; i >= max(b.looked-lookMost, 0); i-- {
		l := b.looks[i%lookMost]
		if l.at > until {
			continue
		}
		out := make([]float64, len(fields))
		for f, name := range fields {
			out[f] = float64(l.queue)
			if name == "held" {
				out[f] = float64(l.held)
			}
			out[f] = math.Round(max(out[f]*(1+b.w.sc.Reports.Noise.From*b.rng.NormFloat64()), 0))
		}
		return out
	}
	return nil
}

// pause has it stand still now and then.
func (b *backend) pause() {
	every := b.kind.PauseEveryS.sec()
	if every == 0 || b.kind.PauseMS.From == 0 {
		return
	}
	b.w.after(time.Duration(b.rng.ExpFloat64()*float64(every)), func() {
		b.set(func() { b.paused = true })
		b.w.after(time.Duration((0.5+b.rng.Float64())*float64(b.kind.PauseMS.ms())), func() {
			b.set(func() { b.paused = false })
			if !b.retired {
				b.pause()
			}
		})
	})
}

// lognormal draws with a mean and a coefficient of variation.
func lognormal(r *rand.Rand, mean, cv float64) float64 {
	if cv == 0 {
		return mean
	}
	v := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(v)*r.NormFloat64()-v/2)
}

func backendID(no, generation int) logic.ServerID {
	id := "b" + strconv.Itoa(no)
	if generation > 0 {
		id += "." + strconv.Itoa(generation)
	}
	return logic.ServerID(id)
}
