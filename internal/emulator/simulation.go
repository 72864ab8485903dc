package emulator

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"oakseam/internal/audit"
	"oakseam/internal/baselines"
	"oakseam/internal/core"
	"oakseam/logic"
)

// Policies lists the valid values of a scenario's policy.
func Policies() []string {
	out := []string{"module"}
	for _, p := range baselines.Selections {
		out = append(out, p, p+"+budget")
	}
	return out
}

// ModuleFactory creates the module of one node.
type ModuleFactory func(logic.Settings, uint64) (core.Module, error)

// FactoryFor returns the factory of a policy's modules.
func FactoryFor(name string) (ModuleFactory, error) {
	if name == "module" {
		return func(s logic.Settings, seed uint64) (core.Module, error) { return logic.New(s, seed) }, nil
	}
	if _, err := baselines.New(name, logic.Settings{Classes: []logic.Class{{}}}, 0); err != nil {
		return nil, fmt.Errorf("policy %q: unknown; there are %v", name, Policies())
	}
	return func(s logic.Settings, seed uint64) (core.Module, error) { return baselines.New(name, s, seed) }, nil
}

// virtualStart is the wall-clock time at which a run in virtual time begins.
var virtualStart = time.Unix(1_000_000_000, 0)

// simulation is the state of a run.
type simulation struct {
	scenario   *Scenario // with every Range drawn
	newModule  ModuleFactory
	rng        *rand.Rand // for the run as a whole; nodes, backends and clients have their own
	clientRNG  *rand.Rand
	networkRNG *rand.Rand
	startTime  time.Time // start of the run as wall-clock time
	now        time.Duration
	tick       time.Duration
	queue      eventQueue
	events     int
	err        error

	backends    []*backend
	partitions  map[[2]int]int // number of active faults that drop messages from one zone to another
	byEndpoint  map[string]*backend
	nodes       []*node
	registry    *registry
	frontend    *frontend
	peerNetwork *peerNetwork // nil: the nodes do not talk to each other
	traffic     *traffic
	auditor     *audit.Auditor
	stats       *statistics

	attempts         int
	retries          int
	sendsToCold      int
	crossZoneSends   int
	handshakes       int
	congestions      int
	lostInPartitions int
	staleSends       int
	workRequested    float64
	workWasted       float64
	faultEvents      []FaultEvent
	live             *LiveRun // nil in virtual time
	workers          int
	deferEffects     bool // nodes run in parallel: their effects on the simulation are deferred
	batch            []*node
}

// FaultEvent is a fault, or another event that changed the state of the fleet.
type FaultEvent struct {
	AtSeconds float64 `json:"at_s"`
	Kind      string  `json:"what"`
	Target    string  `json:"on,omitempty"`
}

// ErrAborted is returned if the caller ended the run early.
var ErrAborted = errors.New("the run was aborted")

// Options holds the parameters of a run other than its scenario.
type Options struct {
	Policy    string                               // overrides the scenario's policy
	NewModule ModuleFactory                        // overrides the named policy, for tests
	Progress  func(at, of time.Duration) (on bool) // called now and then; false ends the run with ErrAborted
	Workers   int                                  // nodes that run in parallel, 0: one; it does not affect the result
}

// Run plays the scenario in virtual time with a seed.
func Run(scenario *Scenario, seed uint64, options Options) (*Result, error) {
	name := cmp.Or(options.Policy, scenario.Policy)
	newModule := options.NewModule
	if newModule == nil {
		var err error
		if newModule, err = FactoryFor(name); err != nil {
			return nil, err
		}
	}
	sim := newSimulation(scenario, seed)
	sim.newModule = newModule
	sim.workers = max(options.Workers, 1)
	for _, n := range sim.nodes {
		sim.scheduleAfter(time.Duration(sim.rng.Float64()*float64(sim.scenario.Nodes.StartMS.ms())), n.start)
	}
	// Clients start when all nodes are ready.
	sim.scheduleAfter(sim.scenario.Nodes.StartMS.ms(), func() { sim.startTraffic(scenario, seed) })
	end := sim.scenario.Nodes.StartMS.ms() + sim.scenario.Seconds.sec()
	last := end + sim.settleTime()
	for lastCheck := 0; len(sim.queue.heap) > 0 && sim.err == nil; lastCheck = sim.events >> 16 {
		e := sim.queue.pop()
		if e.at > last {
			break
		}
		sim.now = e.at
		sim.events++
		if e.node == nil {
			e.run()
		} else {
			sim.runNodeBatch(e)
		}
		if sim.events>>16 != lastCheck && options.Progress != nil && !options.Progress(min(sim.now, end), end) {
			return nil, ErrAborted
		}
	}
	if sim.err != nil {
		return nil, sim.err
	}
	sim.now = last
	return sim.buildResult(name, seed), nil
}

// runNodeBatch runs the events of all nodes that are next at the current instant. Each node runs
// by itself, on several cores if there are workers. Their effects on the simulation are
// applied afterwards, in the order of the nodes, so that the number of cores has no influence.
func (sim *simulation) runNodeBatch(first event) {
	add := func(e event) {
		if len(e.node.inbox) == 0 {
			sim.batch = append(sim.batch, e.node)
		}
		e.node.inbox = append(e.node.inbox, e.run)
	}
	add(first)
	for len(sim.queue.heap) > 0 && sim.queue.heap[0].node != nil && sim.queue.heap[0].at == sim.now {
		add(sim.queue.pop())
		sim.events++
	}
	batch := sim.batch
	slices.SortFunc(batch, func(a, b *node) int { return cmp.Compare(a.number, b.number) })
	sim.deferEffects = true
	if at := min(sim.workers, len(batch)); at > 1 {
		var next atomic.Int64
		work := func() {
			for i := int(next.Add(1)) - 1; i < len(batch); i = int(next.Add(1)) - 1 {
				batch[i].runInbox()
			}
		}
		var group sync.WaitGroup
		for range at - 1 {
			group.Go(work)
		}
		work()
		group.Wait()
	} else {
		for _, n := range batch {
			n.runInbox()
		}
	}
	sim.deferEffects = false
	for _, n := range batch {
		for i, run := range n.effects {
			n.effects[i] = nil
			run()
		}
		n.effects = n.effects[:0]
	}
	sim.batch = batch[:0]
}

// newSimulation sets up a run. No event is scheduled for nodes and clients yet.
func newSimulation(scenario *Scenario, seed uint64) *simulation {
	sim := &simulation{byEndpoint: map[string]*backend{}, partitions: map[[2]int]int{}, startTime: virtualStart}
	sim.rng = rand.New(rand.NewPCG(seed, 1))
	sim.clientRNG = rand.New(rand.NewPCG(seed, 2))
	sim.networkRNG = rand.New(rand.NewPCG(seed, 3))
	sim.scenario = scenario.draw(rand.New(rand.NewPCG(seed, 4)))
	sim.tick = sim.scenario.TickMS.ms()
	sim.auditor = audit.New(sim.scenario.auditRules())
	sim.createFleet()
	sim.traffic = newTraffic(sim)
	sim.stats = newStatistics(sim)
	sim.registry = newRegistry(sim)
	sim.peerNetwork = newPeerNetwork(sim, seed)
	sim.frontend = &frontend{sim: sim, credit: make([]float64, len(sim.nodes))}
	return sim
}

// startTraffic starts the clients and schedules the faults.
func (sim *simulation) startTraffic(scenario *Scenario, seed uint64) {
	sim.stats.start = sim.now + warmUpPeriod
	sim.frontend.admitLiveNodes()
	// Faults have their own random source, so that all policies meet the same faults.
	sim.scheduleFaults(scenario, sim.now, rand.New(rand.NewPCG(seed, 5)))
	sim.traffic.start()
	sim.stats.sampleCapacity()
}

func (sim *simulation) fail(err error) {
	if sim.err == nil {
		sim.err = err
	}
}

// settleTime returns how long requests may still be in progress after the last arrival.
func (sim *simulation) settleTime() time.Duration {
	d := time.Duration(0)
	for i := range sim.scenario.Classes {
		d = max(d, sim.scenario.Classes[i].DeadlineMS.ms())
	}
	return 2*d + time.Second
}

// scheduleAt runs an event of the simulation at an instant, now if that has passed.
func (sim *simulation) scheduleAt(at time.Duration, rank uint64, run func()) {
	sim.queue.push(max(at, sim.now), rank, nil, run)
}

// scheduleAfter runs an event of the simulation after a delay.
func (sim *simulation) scheduleAfter(d time.Duration, run func()) {
	sim.queue.push(sim.now+max(d, 0), 0, nil, run)
}

func (sim *simulation) wallTime() time.Time                   { return sim.startTime.Add(sim.now) }
func (sim *simulation) wallTimeAt(at time.Duration) time.Time { return sim.startTime.Add(at) }
func (sim *simulation) virtualTime(t time.Time) time.Duration { return t.Sub(sim.startTime) }

// recordFault adds a fault event to the result.
func (sim *simulation) recordFault(what, on string) {
	sim.faultEvents = append(sim.faultEvents, FaultEvent{sim.now.Seconds(), what, on})
}

// sinceUnixEpoch returns the start time of a backend as the registry reports it. 0 stays 0 and
// means long ago.
func (sim *simulation) sinceUnixEpoch(at time.Duration) time.Duration {
	if at == 0 {
		return 0
	}
	return time.Duration(sim.startTime.UnixNano()) + at
}

// nextTick returns the tick at which a node handles input of an instant.
func (sim *simulation) nextTick(at time.Duration) time.Duration {
	if sim.tick == 0 {
		return at
	}
	return (at + sim.tick - 1) / sim.tick * sim.tick
}

// networkDelay draws the one-way delay between two zones.
func (sim *simulation) networkDelay(from, to int) time.Duration {
	d := sim.scenario.Net.SameMS
	if from != to {
		d = sim.scenario.Net.CrossMS
	}
	return sim.jitteredDelay(d)
}

// jitteredDelay draws a delay with jitter and, if the message is lost once, a retransmission.
func (sim *simulation) jitteredDelay(d Range) time.Duration {
	f := 1.0
	if j := sim.scenario.Net.Jitter.From; j > 0 {
		f = max(1+j*sim.networkRNG.NormFloat64(), .1)
	}
	out := time.Duration(float64(d.ms()) * f)
	if l := sim.scenario.Net.Loss.From; l > 0 && sim.networkRNG.Float64() < l {
		out += sim.scenario.Net.RetransmitMS.ms()
	}
	return out
}

// createFleet creates the nodes and backends.
func (sim *simulation) createFleet() {
	scenario := sim.scenario
	nodes := max(len(scenario.Nodes.Zones), 1)
	if len(scenario.Nodes.Zones) == 0 {
		nodes = int(scenario.Nodes.Count.From)
	}
	for i := range nodes {
		n := &node{sim: sim, number: i, zone: i % len(scenario.Zones), knownStates: map[int]logic.ServerState{}, toldGone: map[logic.ServerID]bool{}}
		if len(scenario.Nodes.Zones) > 0 {
			n.zone = scenario.zoneIndex(scenario.Nodes.Zones[i])
		}
		sim.nodes = append(sim.nodes, n)
	}
	if len(scenario.Fleet.Backends) > 0 {
		for _, s := range scenario.Fleet.Backends {
			k := &scenario.Kinds[slices.IndexFunc(scenario.Kinds, func(k BackendKind) bool { return k.Name == s.Kind })]
			b := sim.addBackend(k, scenario.zoneIndex(s.Zone), 0)
			if s.Speed.From > 0 {
				b.speed = s.Speed.From
			}
		}
		return
	}
	size := int(scenario.Fleet.Size.From)
	kinds := apportion(size, scenario.Kinds, func(k *BackendKind) float64 { return k.FleetShare.From })
	zones := apportion(size, scenario.Zones, func(z *Zone) float64 { return z.Backends.From })
	sim.rng.Shuffle(size, func(i, j int) { kinds[i], kinds[j] = kinds[j], kinds[i] })
	for i := range size {
		sim.addBackend(&scenario.Kinds[kinds[i]], zones[i], 0)
	}
}

// apportion distributes n places by weight with the largest-remainder method; the weights count
// as equal if all are 0. It returns, for each place, the index of the item that gets it.
func apportion[T any](n int, of []T, weight func(*T) float64) []int {
	sum := 0.0
	for i := range of {
		sum += weight(&of[i])
	}
	type part struct {
		index     int
		count     int
		remainder float64
	}
	parts := make([]part, len(of))
	left := n
	for i := range of {
		quota := float64(n) / float64(len(of))
		if sum > 0 {
			quota = float64(n) * weight(&of[i]) / sum
		}
		parts[i] = part{i, int(quota), quota - math.Floor(quota)}
		left -= parts[i].count
	}
	slices.SortStableFunc(parts, func(a, b part) int { return cmp.Compare(b.remainder, a.remainder) })
	for i := range left {
		parts[i%len(parts)].count++
	}
	slices.SortFunc(parts, func(a, b part) int { return cmp.Compare(a.index, b.index) })
	// Deal them out in turn, so that neighbouring places go to different items.
	var out []int
	for len(out) < n {
		for i := range parts {
			if parts[i].count > 0 {
				parts[i].count--
				out = append(out, parts[i].index)
			}
		}
	}
	return out
}

func (s *Scenario) zoneIndex(name string) int {
	return slices.IndexFunc(s.Zones, func(z Zone) bool { return z.Name == name })
}

// cellSize is the number of backends with consecutive numbers that make up a cell.
const cellSize = 6

// addBackend creates a backend.
func (sim *simulation) addBackend(k *BackendKind, zone, generation int) *backend {
	number := len(sim.backends)
	b := &backend{sim: sim, number: number, id: backendID(number, generation), kind: k, zone: zone, cell: number / cellSize, slowdown: 1,
		speed: k.Speed.From, rng: rand.New(rand.NewPCG(sim.rng.Uint64(), 6))}
	if cv := k.SpeedCV.From; cv > 0 {
		b.speed *= max(1+cv*b.rng.NormFloat64(), .3)
	}
	if b.weight = k.Weight.From; b.weight == 0 {
		b.weight = float64(k.Cores) * k.Speed.From
	}
	b.progressAt = sim.now
	b.nextSample = sim.now + time.Duration(b.rng.Float64()*float64(sim.scenario.Reports.IntervalMS.ms()))
	sim.backends = append(sim.backends, b)
	sim.byEndpoint["b"+strconv.Itoa(number)] = b
	b.schedulePause()
	return b
}

// recordAccepted tells the auditor that a backend accepted a request.
func (sim *simulation) recordAccepted(b *backend, a *attempt) {
	request := a.request
	sim.auditor.RequestRan(sim.now, request.operation.id, request.id, string(b.id), sim.scenario.Zones[b.zone].Name, b.cell)
}

// requestFinished sends the response to a request whose work is done.
func (sim *simulation) requestFinished(b *backend, j *job) {
	a := j.attempt
	if a.ended || a.request.answered {
		sim.workWasted += j.work
	}
	r := logic.OK
	if e := b.kind.ErrorRate.From; e > 0 && b.rng.Float64() < e {
		r = logic.Failed
	}
	a.end(r, b.loadReport(), 0)
}

// auditRules returns the rules as the auditor expects them.
func (s *Scenario) auditRules() audit.Rules {
	r := audit.Rules{AnswerSlack: s.Rules.AnswerSlackMS.ms(), DrainGrace: s.Rules.DrainGraceMS.ms(),
		OverloadMultiple: s.Rules.FallMultiple.From, OverloadWindow: s.Rules.FallAfterMS.ms()}
	mean, sum := 0.0, 0.0
	for i := range s.Classes {
		c := &s.Classes[i]
		r.Classes = append(r.Classes, c.moduleClass())
		mean += c.Share.From * c.WorkMS.From / 1000
		sum += c.Share.From
	}
	r.OverloadSlack = s.Rules.FallSlack.From * mean / sum
	return r
}
