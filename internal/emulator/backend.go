package emulator

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"oakseam/logic"
)

// MachineState is the state of a backend's machine.
type MachineState uint8

// States of a machine.
const (
	Up     MachineState = iota // the process serves
	Silent                     // the machine does not respond at all
	Down                       // the machine responds, but no process listens
)

// backend models one backend. All running requests progress at the same rate, so a single
// progress counter serves all of them: a request that starts at counter value p and needs work w
// is done at p+w.
type backend struct {
	sim    *simulation
	number int
	id     logic.ServerID
	kind   *BackendKind
	zone   int
	cell   int
	speed  float64
	weight float64
	rng    *rand.Rand

	state        MachineState
	draining     bool
	retired      bool          // replaced by another backend for good
	startedAt    time.Duration // 0: long ago
	processEpoch int           // number of the process; jobs and connections of earlier ones are void

	slowdown      float64 // product of the active slowdowns
	errorShare    float64 // share of requests that fail at once
	hangs         int
	paused        bool
	congested     bool
	everCongested bool // was congested at some time in the run

	running        []*job
	waiting        []*job // from queueHead on
	queueHead      int
	openConns      int
	progress       float64
	progressAt     time.Duration // when progress was last brought up to date
	rate           float64       // work per second of each running request
	completionPlan int           // number of the latest scheduled completion; earlier ones are void

	// Start of each phase of congestion, 0: not in it.
	overloadedSince time.Duration
	recoveringSince time.Duration
	congestedSince  time.Duration

	// Queue samples for load reports, as a ring.
	samples     [maxSamples]loadSample
	sampleCount int
	nextSample  time.Duration
}

// maxSamples is the number of samples kept. Reports use only the latest ones.
const maxSamples = 8

// loadSample is the load at one sampling instant.
type loadSample struct {
	at       time.Duration
	inFlight int
	queued   int
}

// job is a request at a backend.
type job struct {
	attempt *attempt
	work    float64
	doneAt  float64 // progress counter at which it is done
}

// slots returns the number of requests that can run at the same time.
func (b *backend) slots() int {
	return max(int(b.kind.SlotsPerCore.From*float64(b.kind.Cores)), 1)
}

// queued returns the number of waiting requests.
func (b *backend) queued() int { return len(b.waiting) - b.queueHead }

// inFlight returns the number of running and waiting requests.
func (b *backend) inFlight() int { return len(b.running) + b.queued() }

// warmFraction returns the share of its capacity that is available, below 1 after a cold start.
func (b *backend) warmFraction() float64 {
	if b.startedAt == 0 || b.kind.ColdS.From == 0 {
		return 1
	}
	age := float64(b.sim.now-b.startedAt) / float64(b.kind.ColdS.sec())
	if age >= 1 {
		return 1
	}
	return b.kind.ColdFrom.From + (1-b.kind.ColdFrom.From)*age
}

// capacity returns the work per second that it can do now, in seconds on a standard core.
func (b *backend) capacity() float64 {
	c := b.speed * float64(b.kind.Cores) * b.warmFraction() / b.slowdown
	if b.congested {
		c /= b.sim.scenario.Crowded.Slowdown.From
	}
	return c
}

// warmCapacity returns the work per second that it could do if nothing but a cold start slowed
// it. It is the measure of what overloads a cold backend.
func (b *backend) warmCapacity() float64 { return b.speed * float64(b.kind.Cores) * b.warmFraction() }

// advanceProgress brings the progress counter up to the current time.
func (b *backend) advanceProgress() {
	b.progress += b.rate * (b.sim.now - b.progressAt).Seconds()
	b.progressAt = b.sim.now
}

// reschedule recomputes the rate and schedules the next completion. Call it after each change
// that affects the rate, with advanceProgress before the change.
func (b *backend) reschedule() {
	b.updateCongestion()
	n := len(b.running)
	b.rate = 0
	if n > 0 && !b.paused && b.hangs == 0 && b.state == Up {
		r := b.capacity() / float64(max(n, b.kind.Cores))
		if over := float64(b.inFlight()) - b.kind.ThrashAt.From*float64(b.kind.Cores); over > 0 && b.kind.ThrashAt.From > 0 {
			r /= 1 + b.kind.Thrash.From*over/(b.kind.ThrashAt.From*float64(b.kind.Cores))
		}
		if limit := b.maxConns(); limit > 0 {
			r *= 1 - b.sim.scenario.Conns.FullTableCost.From*min(float64(b.openConns)/float64(limit), 1)
		}
		b.rate = r
	}
	b.completionPlan++
	if b.rate == 0 {
		return
	}
	next := b.running[0].doneAt
	for _, j := range b.running[1:] {
		next = min(next, j.doneAt)
	}
	delay := time.Duration(math.Ceil(max(next-b.progress, 0) / b.rate * 1e9))
	if cold := time.Second / 4; b.warmFraction() < 1 && delay > cold {
		delay = cold // look again soon: the rate rises meanwhile
	}
	plan := b.completionPlan
	b.sim.scheduleAfter(delay, func() {
		if plan == b.completionPlan {
			b.advanceProgress()
			b.completeJobs()
		}
	})
}

// completeJobs ends the requests whose work is done.
func (b *backend) completeJobs() {
	left := b.running[:0]
	var done []*job
	for _, j := range b.running {
		if j.doneAt <= b.progress+1e-9 {
			done = append(done, j)
		} else {
			left = append(left, j)
		}
	}
	if len(done) > 0 {
		b.sampleLoad()
	}
	b.running = left
	b.startQueued()
	b.reschedule()
	for _, j := range done {
		b.sim.requestFinished(b, j)
	}
}

// startQueued moves waiting requests to free slots.
func (b *backend) startQueued() {
	for b.queued() > 0 && len(b.running) < b.slots() {
		j := b.waiting[b.queueHead]
		b.waiting[b.queueHead] = nil
		if b.queueHead++; b.queueHead > 64 && b.queueHead*2 > len(b.waiting) {
			b.waiting = append(b.waiting[:0], b.waiting[b.queueHead:]...)
			b.queueHead = 0
		}
		b.start(j)
	}
}

func (b *backend) start(j *job) {
	j.doneAt = b.progress + j.work
	b.running = append(b.running, j)
}

// receive handles a request whose last byte has arrived. connectWork is the work of accepting its
// connection, 0 for a reused one.
func (b *backend) receive(a *attempt, connectWork float64) {
	c := a.request.operation.class
	work := a.request.operation.work
	if cv := c.AttemptNoise.From; cv > 0 {
		work *= lognormal(b.rng, 1, cv)
	}
	b.sim.workRequested += work
	if b.warmFraction() < 1 && b.sim.auditor.WorkArrived(b.sim.now, string(b.id), work+connectWork, b.warmCapacity()) {
		b.sim.recordFault("felled", string(b.id))
		b.stop(Down)
		b.sim.reportChange(b, b.sim.scenario.Discovery.SilentNoticeDelayS.sec())
		a.end(logic.Reset, nil, 0)
		return
	}
	switch {
	case b.hangs > 0:
		b.sim.recordAccepted(b, a) // accepted and never answered
		return
	case b.errorShare > 0 && b.rng.Float64() < b.errorShare:
		a.end(logic.Failed, b.loadReport(), time.Millisecond)
		return
	}
	b.sampleLoad()
	b.advanceProgress()
	j := &job{attempt: a, work: work + connectWork}
	switch {
	case len(b.running) < b.slots():
		b.start(j)
	case float64(b.queued()) < b.kind.QueuePerCore.From*float64(b.kind.Cores):
		b.waiting = append(b.waiting, j)
	default:
		a.end(logic.QueueFull, b.loadReport(), 0)
		return
	}
	a.job = j
	// The group drops a repeat of a request that it has accepted, so the time of acceptance counts
	// here: work that was given up may stay queued for longer than repeats are dropped.
	b.sim.recordAccepted(b, a)
	b.reschedule()
}

// cancel is called when a node gives up an attempt. The kind of the backend decides whether that
// stops the work.
func (b *backend) cancel(a *attempt) {
	if b.kind.Cancel == "none" || a.job == nil {
		return
	}
	b.sampleLoad()
	b.advanceProgress()
	for i := b.queueHead; i < len(b.waiting); i++ {
		if b.waiting[i] == a.job {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.reschedule()
			return
		}
	}
	if b.kind.Cancel != "all" {
		return
	}
	for i, j := range b.running {
		if j == a.job {
			b.running = append(b.running[:i], b.running[i+1:]...)
			b.startQueued()
			b.reschedule()
			return
		}
	}
}

// update makes a change that affects the rate.
func (b *backend) update(change func()) {
	b.advanceProgress()
	change()
	b.reschedule()
}

// stop ends the process. Its requests are lost. A silent machine sends nothing; a process that
// dies resets its connections.
func (b *backend) stop(to MachineState) {
	b.advanceProgress()
	b.sampleLoad()
	lost := append([]*job{}, b.running...)
	lost = append(lost, b.waiting[b.queueHead:]...)
	b.running, b.waiting, b.queueHead, b.openConns = nil, nil, 0, 0
	b.processEpoch++
	b.state, b.congested, b.overloadedSince, b.recoveringSince = to, false, 0, 0
	b.reschedule()
	b.sim.live.updateBackend(b)
	if to == Down {
		for _, j := range lost {
			j.attempt.end(logic.Reset, nil, 0)
		}
	}
}

// restart starts a new process, which is cold.
func (b *backend) restart() {
	b.processEpoch++
	b.state, b.startedAt, b.draining = Up, max(b.sim.now, 1), false
	b.progressAt = b.sim.now
	b.sim.auditor.BackendStarted(string(b.id))
	b.reschedule()
	b.sim.live.updateBackend(b)
	b.sim.reportChange(b, b.sim.scenario.Discovery.AddDelayS.sec())
}

// updateCongestion enters or leaves the congested state, which outlasts its cause.
func (b *backend) updateCongestion() {
	c := &b.sim.scenario.Crowded
	if c.AboveHeld.From == 0 {
		return
	}
	now := b.sim.now
	if !b.congested {
		if float64(b.inFlight()) <= c.AboveHeld.From {
			b.overloadedSince = 0
		} else if b.overloadedSince == 0 {
			b.overloadedSince = now
			b.sim.scheduleAfter(c.TriggerS.sec(), func() { b.update(func() {}) })
		} else if now-b.overloadedSince >= c.TriggerS.sec() {
			b.congested, b.everCongested, b.congestedSince, b.recoveringSince, b.overloadedSince = true, true, now, 0, 0
			b.sim.congestions++
			b.sim.scheduleAfter(c.MaxS.sec(), func() { b.update(func() {}) })
		}
		return
	}
	switch {
	case now-b.congestedSince >= c.MaxS.sec():
		b.congested = false
	case float64(b.inFlight()) >= c.RecoverBelow.From*float64(b.kind.Cores):
		b.recoveringSince = 0
	case b.recoveringSince == 0:
		b.recoveringSince = now
		b.sim.scheduleAfter(c.RecoverS.sec(), func() { b.update(func() {}) })
	case now-b.recoveringSince >= c.RecoverS.sec():
		b.congested = false
	}
}

// maxConns returns the limit of open connections, 0: none.
func (b *backend) maxConns() int {
	return int(b.sim.scenario.Conns.MaxPerCore.From * float64(b.kind.Cores))
}

// sampleLoad records the load at every sampling instant since the last change. Call it before
// each change of the load.
func (b *backend) sampleLoad() {
	every := b.sim.scenario.Reports.IntervalMS.ms()
	if len(b.sim.scenario.Reports.Fields) == 0 || b.sim.now < b.nextSample {
		return
	}
	// Only the latest samples are used.
	if missed := (b.sim.now - b.nextSample) / every; missed > maxSamples {
		b.nextSample += (missed - maxSamples) * every
	}
	for b.nextSample <= b.sim.now {
		b.samples[b.sampleCount%maxSamples] = loadSample{b.nextSample, b.inFlight(), b.queued()}
		b.sampleCount++
		b.nextSample += every
	}
}

// loadReport returns the load report of a response, nil if no sample is old enough.
func (b *backend) loadReport() []float64 {
	fields := b.sim.scenario.Reports.Fields
	if len(fields) == 0 {
		return nil
	}
	b.sampleLoad()
	until := b.sim.now - b.sim.scenario.Reports.DelayMS.ms()
	for i := b.sampleCount - 1; i >= max(b.sampleCount-maxSamples, 0); i-- {
		l := b.samples[i%maxSamples]
		if l.at > until {
			continue
		}
		out := make([]float64, len(fields))
		for f, name := range fields {
			out[f] = float64(l.queued)
			if name == "held" {
				out[f] = float64(l.inFlight)
			}
			out[f] = math.Round(max(out[f]*(1+b.sim.scenario.Reports.Noise.From*b.rng.NormFloat64()), 0))
		}
		return out
	}
	return nil
}

// schedulePause schedules the next random pause of the backend.
func (b *backend) schedulePause() {
	every := b.kind.PauseEveryS.sec()
	if every == 0 || b.kind.PauseMS.From == 0 {
		return
	}
	b.sim.scheduleAfter(time.Duration(b.rng.ExpFloat64()*float64(every)), func() {
		b.update(func() { b.paused = true })
		b.sim.scheduleAfter(time.Duration((0.5+b.rng.Float64())*float64(b.kind.PauseMS.ms())), func() {
			b.update(func() { b.paused = false })
			if !b.retired {
				b.schedulePause()
			}
		})
	})
}

// lognormal draws from a lognormal distribution with a mean and a coefficient of variation.
func lognormal(rng *rand.Rand, mean, cv float64) float64 {
	if cv == 0 {
		return mean
	}
	v := math.Log(1 + cv*cv)
	return mean * math.Exp(math.Sqrt(v)*rng.NormFloat64()-v/2)
}

// backendID returns the server ID of a backend; generation counts replacements.
func backendID(number, generation int) logic.ServerID {
	id := "b" + strconv.Itoa(number)
	if generation > 0 {
		id += "." + strconv.Itoa(generation)
	}
	return logic.ServerID(id)
}
