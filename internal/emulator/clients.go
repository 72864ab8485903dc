package emulator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"oakseam/internal/arrivals"
	"oakseam/internal/audit"
	"oakseam/internal/core"
	"oakseam/logic"
)

// operation is what a client wants done, over all its requests.
type operation struct {
	sim               *simulation
	id                uint64
	class             *Class
	zone              int
	work              float64 // seconds on a standard core
	startedAt         time.Duration
	requests          int
	honoursRetryAfter bool
}

// requestState is one request of an operation and its state. It is the core.Session that the node answers and
// the Call that its attempts carry.
type requestState struct {
	operation    *operation
	id           string
	node         *node
	nodeEpoch    int
	deadline     time.Duration // until which the client waits
	attempts     int           // sent for it
	answered     bool          // by the node
	finished     bool          // from the client's point of view
	writeStarted bool          // in a live run: writing it has begun
}

// traffic creates the clients' operations.
type traffic struct {
	sim          *simulation
	rate         float64 // mean, per second
	arrivals     *arrivals.Generator
	classWeights []float64 // cumulative shares of the classes
	zoneWeights  []float64 // cumulative weights of the zones
	startedAt    time.Duration
	nextArrival  time.Duration // due time of the next operation; arrivals count from it, not from when it was handled
	end          time.Duration
	operations   uint64
	requests     uint64
}

// newTraffic computes the rate of operations and the cumulative weights.
func newTraffic(sim *simulation) *traffic {
	t := &traffic{sim: sim}
	mean, sum := 0.0, 0.0
	for i := range sim.scenario.Classes {
		c := &sim.scenario.Classes[i]
		sum += c.Share.From
		mean += c.Share.From * c.WorkMS.From / 1000
		t.classWeights = append(t.classWeights, sum)
	}
	mean /= sum
	all := 0.0
	for i := range sim.scenario.Zones {
		all += sim.scenario.Zones[i].Traffic.From
		t.zoneWeights = append(t.zoneWeights, all)
	}
	t.rate = sim.scenario.Arrivals.PerSecond.From
	if t.rate == 0 {
		capacity := 0.0
		for _, b := range sim.backends {
			capacity += b.speed * float64(b.kind.Cores)
		}
		t.rate = sim.scenario.Arrivals.Load.From * capacity / mean
	}
	return t
}

// start begins the arrivals.
func (t *traffic) start() {
	a := &t.sim.scenario.Arrivals
	t.arrivals = arrivals.New(arrivals.Schedule{PerSecond: t.rate, Shape: a.Shape, Amplitude: a.Swing.From, Period: a.PeriodS.sec(), Phase: a.Phase.From}, t.sim.clientRNG)
	t.startedAt, t.end = t.sim.now, t.sim.now+t.sim.scenario.Seconds.sec()
	t.scheduleNext()
}

// scheduleNext schedules the next operation.
func (t *traffic) scheduleNext() {
	t.nextArrival = t.startedAt + t.arrivals.Next()
	t.sim.scheduleAt(t.nextArrival, 0, func() {
		if t.nextArrival >= t.end || t.sim.scenario.MaxRequests > 0 && t.operations >= uint64(t.sim.scenario.MaxRequests) {
			return
		}
		t.startOperation(t.sim.clientRNG)
		t.scheduleNext()
	})
}

// startOperation begins an operation. All its properties are drawn here, so that all policies
// meet the same clients.
func (t *traffic) startOperation(rng *rand.Rand) {
	t.operations++
	op := &operation{sim: t.sim, id: t.operations, class: &t.sim.scenario.Classes[arrivals.WeightedIndex(t.classWeights, rng)], startedAt: t.nextArrival}
	if t.zoneWeights[len(t.zoneWeights)-1] > 0 {
		op.zone = arrivals.WeightedIndex(t.zoneWeights, rng)
	} else {
		op.zone = rng.IntN(len(t.zoneWeights))
	}
	op.work = lognormal(rng, op.class.WorkMS.From/1000, op.class.CV.From)
	op.honoursRetryAfter = rng.Float64() < t.sim.scenario.Clients.HonourRetryAfter.From
	t.sim.stats.recordOperation(op)
	op.sendRequest()
}

// deadline is when the client gives up the operation.
func (op *operation) deadline() time.Duration { return op.startedAt + op.class.DeadlineMS.ms() }

// sendRequest sends one request of the operation through the frontend of its zone. It sends nothing
// once the deadline has passed: in a live run the timer that calls it may fire late.
func (op *operation) sendRequest() {
	sim := op.sim
	left := op.deadline() - sim.now
	if left <= 0 {
		sim.stats.recordUnserved(op, timedOut)
		return
	}
	op.requests++
	timeout := min(time.Duration(sim.scenario.Clients.RequestTimeoutShare.From*float64(op.class.DeadlineMS.ms())), left)
	n := sim.frontend.pick(op.zone)
	if n == nil {
		sim.scheduleAfter(sim.jitteredDelay(sim.scenario.Net.ClientMS), func() { op.retry(unreachable, 0) })
		return
	}
	sim.traffic.requests++
	request := &requestState{operation: op, id: strconv.FormatUint(sim.traffic.requests, 36), node: n, deadline: sim.now + timeout}
	delay := sim.jitteredDelay(sim.scenario.Net.ClientMS)
	if n.zone != op.zone {
		delay += sim.networkDelay(n.zone, op.zone)
	}
	sim.scheduleAfter(delay, func() {
		switch {
		case n.unreachable: // silent: the client learns nothing and times out
			sim.scheduleAt(request.deadline, 0, func() { request.finish(unreachable, 0) })
		case !n.alive:
			sim.scheduleAfter(delay, func() { request.finish(unreachable, 0) })
		default:
			request.deliver(timeout)
		}
	})
}

// deliver hands the request to its node.
func (request *requestState) deliver(timeout time.Duration) {
	sim, n := request.operation.sim, request.node
	request.nodeEpoch = n.epoch
	if sim.live != nil {
		sim.live.sendRequest(request, timeout)
		return
	}
	n.requests[request] = struct{}{}
	arrived := sim.now
	sim.auditor.RequestReceived(arrived, n.number, request.id, request.operation.id, request.operation.class.Name, timeout)
	n.schedule(arrived, func() {
		n.engine.Request(core.Request{ID: request.id, Class: request.operation.class.Name, Retry: sim.scenario.Clients.MarksRetry && request.operation.requests > 1,
			Arrived: sim.wallTimeAt(arrived), Timeout: timeout, Call: request, Session: request})
	})
	sim.scheduleAt(request.deadline, afterOthers, func() { request.finish(timedOut, 0) })
	// The client hangs up only after the latest time at which an answer was due.
	sim.scheduleAt(arrived+timeout+sim.scenario.Rules.AnswerSlackMS.ms()+sim.tick+time.Millisecond, afterOthers, func() {
		if !request.answered && n.epoch == request.nodeEpoch {
			delete(n.requests, request)
			n.schedule(sim.now, func() { n.engine.ClientGone(logic.RequestID(request.id), request) })
		}
	})
}

// requestResult is the result of a request as its client sees it.
type requestResult uint8

const (
	served requestResult = iota
	rejected
	failed
	unreachable      // no part of the request was received
	connectionBroken // the connection broke after the request was sent
	timedOut
)

// Answer implements core.Session.
func (request *requestState) Answer(a core.Answer) {
	request.node.effect(func() { request.handleAnswer(a) })
}

// handleAnswer records the node's answer and sends it to the client.
func (request *requestState) handleAnswer(a core.Answer) {
	sim := request.operation.sim
	request.answered = true
	delete(request.node.requests, request)
	kinds := [...]audit.Answer{core.Served: audit.Served, core.Rejected: audit.Rejected, core.Failed: audit.Failed, core.Duplicate: audit.Failed}
	sim.auditor.RequestAnswered(sim.now, request.id, kinds[a.Kind])
	sim.stats.recordAnswer(a.Kind)
	result := [...]requestResult{core.Served: served, core.Rejected: rejected, core.Failed: failed, core.Duplicate: failed}[a.Kind]
	delay := sim.jitteredDelay(sim.scenario.Net.ClientMS)
	if request.node.zone != request.operation.zone {
		delay += sim.networkDelay(request.node.zone, request.operation.zone)
	}
	sim.scheduleAfter(delay, func() { request.finish(result, a.RetryAfter) })
}

// nodeDied handles the death of the node while it held the request.
func (request *requestState) nodeDied() {
	request.answered = true
	if !request.node.unreachable { // a silent machine sends nothing: the client times out
		request.operation.sim.scheduleAfter(request.operation.sim.jitteredDelay(request.operation.sim.scenario.Net.ClientMS), func() { request.finish(connectionBroken, 0) })
	}
}

// finish ends the request at the client, which may retry.
func (request *requestState) finish(result requestResult, retryAfter time.Duration) {
	if request.finished {
		return
	}
	request.finished = true
	op := request.operation
	if result == served {
		op.sim.stats.recordServed(op)
		return
	}
	op.retry(result, retryAfter)
}

// retry sends the operation again where that is harmless and can still succeed.
func (op *operation) retry(result requestResult, retryAfter time.Duration) {
	sim := op.sim
	retrySafe := result == rejected || result == unreachable
	switch effects[op.class.Effect] {
	case logic.Safe:
		retrySafe = true
	case logic.Keyed:
		retrySafe = retrySafe || dedupScopes[op.class.Group] == logic.DedupAll && sim.now-op.startedAt < op.class.WindowS.sec()
	}
	backoff := sim.scenario.Clients.BackoffMS.ms() << min(op.requests-1, 10)
	delay := time.Duration((0.5 + sim.retryRNG(op).Float64()) * float64(backoff))
	if op.honoursRetryAfter && retryAfter > 0 {
		delay = max(delay, min(retryAfter, sim.scenario.Clients.MaxRetryAfterMS.ms()))
	}
	if !retrySafe || op.requests > int(sim.scenario.Clients.Retries.From) || sim.now+delay >= op.deadline() {
		sim.stats.recordUnserved(op, result)
		return
	}
	sim.scheduleAfter(delay, op.sendRequest)
}

// retryRNG returns a random source for one backoff of an operation. It is separate, so that a
// policy whose clients retry more often does not change the draws of other clients.
func (sim *simulation) retryRNG(op *operation) *rand.Rand {
	return rand.New(rand.NewPCG(op.id, uint64(op.requests)))
}

// sortedRequests returns the requests in the order of their ids.
func (sim *simulation) sortedRequests(m map[*requestState]struct{}) []*requestState {
	out := make([]*requestState, 0, len(m))
	for request := range m {
		out = append(out, request)
	}
	slices.SortFunc(out, func(a, b *requestState) int {
		return cmp.Or(cmp.Compare(len(a.id), len(b.id)), cmp.Compare(a.id, b.id))
	})
	return out
}

// frontend distributes clients to the nodes of their zone that it considers alive, by the nodes'
// traffic shares, otherwise round-robin.
type frontend struct {
	sim      *simulation
	position int
	credit   []float64 // of each node, in clients, if traffic shares are set
}

// admitLiveNodes puts all live nodes into rotation.
func (f *frontend) admitLiveNodes() {
	for _, n := range f.sim.nodes {
		n.inRotation = n.alive
	}
}

// pick returns a node of the zone, a node of another zone if the zone has none, or nil if there is
// none at all.
func (f *frontend) pick(zone int) *node {
	shares := f.sim.scenario.Nodes.Shares
	for _, sameZone := range []bool{true, false} {
		f.position++
		var next *node
		all := 0.0
		for i := range f.sim.nodes {
			n := f.sim.nodes[(f.position+i)%len(f.sim.nodes)]
			if !n.inRotation || (n.zone == zone) != sameZone {
				continue
			}
			if len(shares) == 0 {
				return n
			}
			share := shares[n.number%len(shares)]
			f.credit[n.number] += share
			if all += share; next == nil || f.credit[n.number] > f.credit[next.number] {
				next = n
			}
		}
		if next != nil {
			f.credit[next.number] -= all
			return next
		}
	}
	return nil
}

// noticeNode updates, after the notice delay, whether the node is in rotation.
func (f *frontend) noticeNode(n *node) {
	f.sim.scheduleAfter(f.sim.scenario.Nodes.NoticeDelayS.sec(), func() { n.inRotation = n.alive && !n.unreachable })
}
