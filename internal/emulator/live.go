package emulator

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"oakseam/internal/audit"
	"oakseam/internal/core"
	"oakseam/internal/membership"
	"oakseam/logic"
)

// LiveRun plays a scenario in real time with real nodes. The models of clients, backends and
// registry are the same, but all traffic between them and the nodes goes over the sockets of an
// Environment. One goroutine owns the run; everything else reaches it through a queue.
type LiveRun struct {
	sim           *simulation
	scenario      *Scenario
	seed          uint64
	environment   Environment
	events        chan func()
	startedAt     time.Time
	done          chan struct{}
	requests      map[string]*requestState
	startingNodes int // nodes that are not ready yet

	mu             sync.Mutex
	visibleChanges []int           // how much of the registry's change log each node may see
	changed        []chan struct{} // closed when that grows
	watchBroken    []chan struct{} // closed when a node's watches break
}

// Environment is the real part of a live run: sockets and processes. Its methods are called one
// after the other by the goroutine that owns the run, and must not block.
type Environment interface {
	// StartNode starts a node with its cached list and calls LiveRun.NodeReady when it is ready.
	StartNode(node int, revision int64, known []core.Backend)
	// KillNode ends a node's process at once.
	KillNode(node int)
	// SetBackend sets the state of a backend's machine. The first call creates the machine.
	SetBackend(number int, state MachineState)
	// SetPartition sets whether new connections of a node to a backend fail. Open connections stay
	// open, and are reset when the partition heals.
	SetPartition(node, backend int, cut bool)
	// SendRequest sends a client's request to a node. It calls LiveRun.RequestStarted and then
	// LiveRun.RequestDone once.
	SendRequest(ClientRequest)
}

// ClientRequest is one request of a client.
type ClientRequest struct {
	ID      string
	Class   logic.Class
	Key     string // of a keyed class
	Node    int
	Retry   bool
	Timeout time.Duration
}

// NewLiveRun sets up a run. Nothing happens before Run.
func NewLiveRun(scenario *Scenario, seed uint64) *LiveRun {
	l := &LiveRun{scenario: scenario, seed: seed, events: make(chan func(), 4096), done: make(chan struct{}), requests: map[string]*requestState{}}
	l.sim = newSimulation(scenario, seed)
	l.sim.live = l
	for range l.sim.nodes {
		l.visibleChanges = append(l.visibleChanges, 0)
		l.changed = append(l.changed, make(chan struct{}))
		l.watchBroken = append(l.watchBroken, make(chan struct{}))
	}
	return l
}

// NodeZones returns the zone of each node.
func (l *LiveRun) NodeZones() (zones []string) {
	for _, n := range l.sim.nodes {
		zones = append(zones, l.sim.scenario.Zones[n.zone].Name)
	}
	return zones
}

// Settings returns the settings of a node's module.
func (l *LiveRun) Settings(node int) logic.Settings {
	return l.sim.scenario.moduleSettings(l.sim.scenario.Zones[l.sim.nodes[node].zone].Name, node, len(l.sim.nodes))
}

// ConnectTimeout returns how long opening a connection to a backend may take.
func (l *LiveRun) ConnectTimeout() time.Duration { return l.sim.scenario.Conns.ConnectTimeoutMS.ms() }

// post runs a function on the goroutine that owns the run.
func (l *LiveRun) post(run func()) {
	select {
	case l.events <- run:
	case <-l.done:
	}
}

// Run plays the scenario. It returns ErrAborted if ctx ended the run.
func (l *LiveRun) Run(ctx context.Context, environment Environment, progress func(at, of time.Duration)) (*Result, error) {
	sim := l.sim
	l.environment, l.startedAt = environment, time.Now()
	sim.startTime = l.startedAt
	defer close(l.done)
	for _, b := range sim.backends {
		l.updateBackend(b)
	}
	l.startingNodes = len(sim.nodes)
	for _, n := range sim.nodes {
		n.start()
	}
	end, last := time.Duration(0), time.Duration(0)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		sim.now = max(time.Since(l.startedAt), sim.now)
		for len(sim.queue.heap) > 0 && sim.queue.heap[0].at <= sim.now {
			e := sim.queue.pop()
			sim.events++
			e.run()
			sim.now = max(time.Since(l.startedAt), sim.now)
		}
		if l.startingNodes == 0 && end == 0 {
			sim.startTraffic(l.scenario, l.seed)
			end = sim.now + sim.scenario.Seconds.sec()
			last = end + sim.settleTime()
		}
		if sim.err != nil {
			return nil, sim.err
		}
		if last > 0 && sim.now >= last {
			return sim.buildResult("node", l.seed), nil
		}
		progress(min(sim.now, max(end, 1)), max(end, 1))
		next := sim.now + 100*time.Millisecond
		if len(sim.queue.heap) > 0 {
			next = min(next, sim.queue.heap[0].at)
		}
		timer.Reset(max(next-time.Since(l.startedAt), 0))
		select {
		case run := <-l.events:
			sim.now = max(time.Since(l.startedAt), sim.now)
			run()
		case <-timer.C:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrAborted, context.Cause(ctx))
		}
	}
}

// Fail ends the run with an error of the environment.
func (l *LiveRun) Fail(err error) { l.post(func() { l.sim.fail(err) }) }

// startNode starts a node with the list that it held last.
func (l *LiveRun) startNode(n *node) {
	seen := len(l.sim.registry.changes)
	l.mu.Lock()
	l.visibleChanges[n.number] = seen
	l.mu.Unlock()
	l.environment.StartNode(n.number, firstRevision+int64(seen), l.sim.backendList(n.knownStates))
}

// firstRevision is the revision of the list at the start of the run.
const firstRevision = 1

// NodeReady tells that a node is ready.
func (l *LiveRun) NodeReady(node int) {
	l.post(func() {
		n := l.sim.nodes[node]
		n.alive = true
		l.sim.peerNetwork.nodeStarted(n)
		if l.startingNodes > 0 {
			l.startingNodes--
		} else {
			l.sim.frontend.noticeNode(n)
		}
	})
}

// PeerBytesPerSecond returns how much a node may send to its peers, 0 if nodes do not talk.
func (l *LiveRun) PeerBytesPerSecond() float64 { return l.sim.scenario.Peers.BytesPerSecond.From }

// DatagramDelays counts a datagram from one node to another and returns the delay of each copy that
// arrives; none if it is lost.
func (l *LiveRun) DatagramDelays(from, to, length int) []time.Duration {
	l.post(func() { l.sim.peerNetwork.countBytes(length) })
	return l.sim.peerNetwork.datagrams.copyDelays(from, to)
}

// RecordPeerState tells that a node considers another to be in a state.
func (l *LiveRun) RecordPeerState(by, about int, s membership.State) {
	l.post(func() { l.sim.peerNetwork.recordState(by, about, s) })
}

// NodeCrashed tells that a node's process ended by itself.
func (l *LiveRun) NodeCrashed(node int, err error) {
	l.post(func() { l.sim.fail(fmt.Errorf("node %d crashed: %w", node, err)) })
}

// updateBackend passes the state of a backend to the environment. A nil LiveRun is a run in virtual
// time.
func (l *LiveRun) updateBackend(b *backend) {
	if l == nil || l.environment == nil {
		return
	}
	l.environment.SetBackend(b.number, b.state)
}

// sendRequest passes a client's request to the environment.
func (l *LiveRun) sendRequest(request *requestState, timeout time.Duration) {
	l.requests[request.id] = request
	key := ""
	c := request.operation.class.moduleClass()
	if c.Effect == logic.Keyed {
		key = "k" + strconv.FormatUint(request.operation.id, 36)
	}
	l.sim.scheduleAt(request.deadline, afterOthers, func() { request.finish(timedOut, 0) })
	l.environment.SendRequest(ClientRequest{ID: request.id, Class: c, Key: key, Node: request.node.number, Timeout: timeout, Retry: l.sim.scenario.Clients.MarksRetry && request.operation.requests > 1})
}

// RequestStarted tells that a client begins to write a request. A second call for the same request
// has no effect: the client writes again if the node closed the connection meanwhile.
func (l *LiveRun) RequestStarted(id string, timeout time.Duration) {
	l.post(func() {
		if request := l.requests[id]; request != nil && !request.writeStarted {
			request.writeStarted = true
			l.sim.auditor.RequestReceived(l.sim.now, request.node.number, id, request.operation.id, request.operation.class.Name, timeout)
			if request.nodeRestarted() {
				l.sim.auditor.ClientLeft(l.sim.now, id)
			}
		}
	})
}

// nodeRestarted reports whether the node has been killed since the request was sent to it, whether
// or not it runs again. Then no answer is due.
func (request *requestState) nodeRestarted() bool {
	return !request.node.alive || request.node.epoch != request.nodeEpoch
}

// RequestOutcome is the end of a request as its client saw it.
type RequestOutcome struct {
	Answer     audit.Answer // None: no complete response arrived
	FullySent  bool         // the last byte was written; otherwise no part of the request counts as received
	TimedOut   bool         // the client waited until its timeout
	RetryAfter time.Duration
}

// RequestDone tells how a request ended.
func (l *LiveRun) RequestDone(id string, v RequestOutcome) {
	l.post(func() {
		request := l.requests[id]
		if request == nil {
			return
		}
		sim := l.sim
		died := request.nodeRestarted()
		switch {
		case v.Answer != audit.NoAnswer:
			if !died { // otherwise the response was in transit when the node was killed, and no answer was due
				sim.auditor.RequestAnswered(sim.now, id, v.Answer)
			}
			sim.stats.recordAnswer([...]core.AnswerKind{audit.Served: core.Served, audit.Rejected: core.Rejected, audit.Failed: core.Failed}[v.Answer])
			request.answered = true
			request.finish([...]requestResult{audit.Served: served, audit.Rejected: rejected, audit.Failed: failed}[v.Answer], v.RetryAfter)
		case !v.FullySent:
			sim.auditor.ClientLeft(sim.now, id)
			request.finish(unreachable, 0)
		case v.TimedOut:
			request.finish(timedOut, 0) // an answer was due: the auditor sees that none came
		case died:
			request.finish(connectionBroken, 0)
		default:
			sim.auditor.RequestAnswered(sim.now, id, audit.NoAnswer)
			request.finish(connectionBroken, 0)
		}
	})
}

// BackendReceived tells that a complete request arrived at a backend, over a new connection (fresh)
// or a reused one. reply is called once, unless the machine is silent or the returned function is
// called first; it must not block. The returned function tells that the node gave the request up.
func (l *LiveRun) BackendReceived(backend, node int, id string, newConnection bool, reply func(logic.Result, []float64)) (gone func()) {
	var a *attempt
	l.post(func() {
		sim := l.sim
		request, b, n := l.requests[id], sim.backends[backend], sim.nodes[node]
		if request == nil {
			sim.fail(fmt.Errorf("backend %s received request %q, which no client sent", b.id, id))
			return
		}
		a = &attempt{node: n, backend: b, nodeEpoch: n.epoch, processEpoch: b.processEpoch, request: request, written: true, reply: reply}
		if n.alive && request.nodeEpoch == n.epoch { // else its node was killed while the request was on its way
			a.recordSend()
		}
		connectWork := 0.0
		if newConnection {
			connectWork = sim.scenario.Conns.HandshakeWorkUS.From / 1e6
			sim.handshakes++
		}
		if sim.dropIfPartitioned(n.zone, b.zone) {
			return
		}
		sim.scheduleAfter(sim.networkDelay(n.zone, b.zone), func() { a.arrive(connectWork) })
	})
	return func() {
		l.post(func() {
			if a != nil && !a.ended {
				a.ended = true
				l.sim.auditor.AttemptEnded(l.sim.now, id, string(a.backend.id), false, "given up")
				a.backend.cancel(a)
			}
		})
	}
}

// replyOverSocket sends the response to an attempt over its socket.
func (a *attempt) replyOverSocket(r logic.Result, report []float64, extraDelay time.Duration) {
	sim := a.backend.sim
	if sim.dropIfPartitioned(a.backend.zone, a.node.zone) {
		return // the node waits until its timeout
	}
	sim.scheduleAfter(extraDelay+sim.networkDelay(a.backend.zone, a.node.zone), func() {
		if a.ended {
			return
		}
		a.ended = true
		sim.auditor.AttemptEnded(sim.now, a.request.id, string(a.backend.id), r == logic.QueueFull, resultNames[r])
		a.reply(r, report)
	})
}

// BackendUp reports whether a backend's process is up. Call it from methods of an Environment only.
func (l *LiveRun) BackendUp(backend int) bool { return l.sim.backends[backend].state == Up }

// AdjustConnections tells that a node opened (1) or closed (-1) a connection to a backend.
func (l *LiveRun) AdjustConnections(backend, by int) {
	l.post(func() {
		b := l.sim.backends[backend]
		b.update(func() { b.openConns = max(b.openConns+by, 0) })
	})
}

// scheduleChanges lets each node see the registry's changes, at its next round.
func (l *LiveRun) scheduleChanges() {
	sim, n := l.sim, len(l.sim.registry.changes)
	for i := range sim.nodes {
		sim.scheduleAt(sim.registry.nextRound(), 0, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			if n > l.visibleChanges[i] {
				l.visibleChanges[i] = n
				close(l.changed[i])
				l.changed[i] = make(chan struct{})
			}
		})
	}
}

// breakWatches breaks the watches of all nodes.
func (l *LiveRun) breakWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.watchBroken {
		close(l.watchBroken[i])
		l.watchBroken[i] = make(chan struct{})
	}
}

// ListUpdate is a list as sent to a node: all backends, or only those that changed.
type ListUpdate struct {
	Revision int64
	Full     bool
	Backends []core.Backend
}

// FetchList serves a node's call for the full list when its turn comes. It returns false if the
// call fails.
func (l *LiveRun) FetchList(node int) (ListUpdate, bool) {
	type reply struct {
		list ListUpdate
		ok   bool
	}
	c := make(chan reply, 1)
	l.post(func() {
		sim, d := l.sim, l.sim.registry
		answer := func(ok bool) {
			r := reply{ok: ok && d.outages == 0}
			if r.ok {
				r.list = ListUpdate{Revision: firstRevision + int64(len(d.changes)), Full: true, Backends: d.fullList()}
				l.mu.Lock()
				l.visibleChanges[node] = max(l.visibleChanges[node], len(d.changes))
				l.mu.Unlock()
			}
			c <- r
		}
		if d.outages > 0 {
			answer(false)
		} else if served, ok := d.reserve(sim.now); ok {
			sim.scheduleAt(served, 0, func() { answer(true) })
		} else {
			sim.scheduleAfter(sim.scenario.Discovery.TimeoutMS.ms(), func() { answer(false) })
		}
	})
	select {
	case r := <-c:
		return r.list, r.ok
	case <-l.done:
		return ListUpdate{}, false
	}
}

// WaitForChanges waits until a node may see more than a revision and returns what changed since. It
// returns false if the watch breaks or stop is closed.
func (l *LiveRun) WaitForChanges(node int, revision int64, stop <-chan struct{}) (ListUpdate, bool) {
	for {
		l.mu.Lock()
		visible, change, broken := l.visibleChanges[node], l.changed[node], l.watchBroken[node]
		l.mu.Unlock()
		if firstRevision+int64(visible) > revision {
			c := make(chan ListUpdate, 1)
			l.post(func() {
				from := max(int(revision-firstRevision), 0)
				c <- ListUpdate{Revision: firstRevision + int64(visible), Backends: l.sim.registry.changesBetween(from, visible)}
			})
			select {
			case out := <-c:
				return out, true
			case <-l.done:
				return ListUpdate{}, false
			}
		}
		select {
		case <-change:
		case <-broken:
			return ListUpdate{}, false
		case <-stop:
			return ListUpdate{}, false
		case <-l.done:
			return ListUpdate{}, false
		}
	}
}

// ListDelivered tells that a list was written to a node.
func (l *LiveRun) ListDelivered(node int, list ListUpdate) {
	l.post(func() { l.sim.nodes[node].recordList(list.Backends, list.Full) })
}

// BackendNumber returns the number of the backend at an endpoint.
func (l *LiveRun) BackendNumber(endpoint string) (int, error) {
	if len(endpoint) < 2 || endpoint[0] != 'b' {
		return 0, fmt.Errorf("%q is not a backend endpoint of this run", endpoint)
	}
	return strconv.Atoi(endpoint[1:])
}
