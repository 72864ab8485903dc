package emulator

import (
	"encoding/json"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/audit"
	"oakseam/internal/baselines"
	"oakseam/internal/core"
	"oakseam/logic"
)

const smallScenario = `
name: small
seconds: 12
tick_ms: 5
zones: [{name: a, traffic: 1, backends: 1}, {name: b, traffic: 1, backends: 1}]
nodes: {count: 3, start_ms: 300, notice_s: 1}
fleet: {size: 8}
kinds:
  - {name: k, share: 1, cores: 2, speed: 1, speed_cv: 0.1, queue_per_core: 10, thrash: 0.3, thrash_at: 6,
     cold_from: 0.2, cold_s: 10, pause_every_s: 4, pause_ms: 60, error_rate: 0.001}
crowded: {at: 6, over_s: 1.5, slower: 2.5, below: 0.3, rest_s: 2, most_s: 10}
connections: {rtts: 2, work_us: 1500, idle_s: 5, timeout_ms: 120, cap_per_core: 200, full_tax: 0.2}
reports: {fields: [queue], every_ms: 300, delay_ms: 100, noise: 0.05}
discovery: {notice_s: 0.5, silent_notice_s: 3, add_s: 0.4, every_ms: 300, spread_ms: 50, lines_per_s: 500, call_lines: 20}
arrivals: {load: 0.5, shape: wave, swing: 0.3, period_s: 6}
clients: {retries: 2, try_share: 0.6, backoff_ms: 50, honour: 0.5}
classes:
  - {name: topup, share: 0.6, work_ms: 100, cv: 0.4, attempt_noise: 0.2, aim_ms: 400, deadline_ms: 2000, worth: 8, effect: unsafe}
  - {name: reading, share: 0.3, work_ms: 100, cv: 0.4, aim_ms: 800, deadline_ms: 3000, worth: 2, effect: keyed, group: zone, window_s: 15}
  - {name: lookup, share: 0.1, work_ms: 50, cv: 0.4, aim_ms: 800, deadline_ms: 3000, worth: 1, late_worth: 0.5, effect: safe}
prices: {waste: 0.05, handshake: 0.02, late_fail: 0.04, cross_zone: 0.01}
`

func parseSmall(t *testing.T, more string) *Scenario {
	t.Helper()
	scenario, err := Parse("small.yaml", []byte(smallScenario+more))
	require.NoError(t, err)
	return scenario
}

func run(t *testing.T, scenario *Scenario, seed uint64, options Options) *Result {
	t.Helper()
	r, err := Run(scenario, seed, options)
	require.NoError(t, err)
	return r
}

// Under every kind of fault the module keeps the rules and answers every request. Most kinds must
// lower the score, compared with the same run without a fault.
func TestModuleKeepsRulesUnderEveryFault(t *testing.T) {
	faultless := run(t, parseSmall(t, ""), 1, Options{})
	assert.Greater(t, faultless.Score, 0.85)
	assert.Zero(t, faultless.Answers["duplicate"])
	for _, fault := range []string{
		"{kind: vanish, at_s: 2, for_s: 4, part: 0.3}", "{kind: slow, at_s: 2, for_s: 6, part: 0.3, size: 8}",
		"{kind: hang, at_s: 2, for_s: 6, part: 0.3}", "{kind: fast_errors, at_s: 2, for_s: 6, part: 0.3, size: 0.9}",
		"{kind: zone_loss, at_s: 2, for_s: 4, zone: a, size: 0.2}", "{kind: zone_loss, at_s: 2, for_s: 4, zone: a, size: 0.9}",
		"{kind: shared_slow, at_s: 2, for_s: 6, size: 2.5}", "{kind: restart_nodes, at_s: 3, for_s: 4}",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			r := run(t, parseSmall(t, "troubles: ["+fault+"]"), 1, Options{})
			assert.True(t, r.Rules.Clean(), "%+v", r.Violations)
			assert.Less(t, r.Score, faultless.Score)
			assert.Equal(t, faultless.Operations, r.Operations, "a fault must not change the clients")
			for name, c := range r.Classes {
				assert.Greater(t, c.Score, 0.1, name)
			}
		})
	}
	for _, fault := range []string{"{kind: replace, at_s: 1, for_s: 6, part: 0.5}",
		"{kind: discovery_down, at_s: 1, for_s: 8}", "{kind: discovery_slow, at_s: 0, for_s: 8, size: 20}"} {
		r := run(t, parseSmall(t, "troubles: ["+fault+"]"), 1, Options{})
		assert.True(t, r.Rules.Clean(), "%s: %+v", fault, r.Violations)
		assert.NotEmpty(t, r.FaultEvents)
	}
}

// The same seed must give the same bytes on one core or several, alone or next to other runs. Another
// seed must give another result.
func TestSameSeedGivesSameBytes(t *testing.T) {
	const randomFaults = "incidental: {count: 3, of: [{kind: vanish, for_s: 3, part: 0.2}, {kind: slow, for_s: [2, 6], part: 0.3, size: [3, 9]}, {kind: zone_loss, for_s: 3, size: [0, 1]}]}"
	scenario := parseSmall(t, randomFaults)
	text := func(policy string, seed uint64, workers int) string {
		r, err := Run(scenario, seed, Options{Policy: policy, Workers: workers})
		if err != nil {
			return err.Error()
		}
		out, _ := json.Marshal(r)
		return string(out)
	}
	for _, policy := range Policies() {
		before := runtime.GOMAXPROCS(1)
		want := text(policy, 7, 1)
		runtime.GOMAXPROCS(4)
		got := make([]string, 4)
		var group sync.WaitGroup
		for i := range got {
			group.Go(func() { got[i] = text(policy, 7, i*i) })
		}
		group.Wait()
		runtime.GOMAXPROCS(before)
		for _, g := range got {
			require.Equal(t, want, g, policy)
		}
		require.NotEqual(t, want, text(policy, 8, 1), policy)
	}
}

// Reference policies may score badly and overload cold backends, but under faults they must keep the
// rules on answers, retries and draining.
func TestReferencePoliciesKeepRules(t *testing.T) {
	scenario := parseSmall(t, `troubles:
  - {kind: replace, at_s: 1, for_s: 6, part: 0.4}
  - {kind: hang, at_s: 2, for_s: 4, part: 0.3}
  - {kind: zone_loss, at_s: 5, for_s: 3, zone: b, size: 0.2}
  - {kind: fast_errors, at_s: 7, for_s: 3, part: 0.3, size: 0.8}`)
	for _, policy := range Policies() {
		r := run(t, scenario, 2, Options{Policy: policy})
		assert.Zero(t, r.Rules.Unanswered+r.Rules.DuplicateEffects+r.Rules.LateDrainSends, "%s: %+v", policy, r.Violations)
		if strings.HasSuffix(policy, "+budget") {
			assert.Positive(t, r.Retries, policy)
		}
		assert.Equal(t, r.ClientRequests, r.Answers["served"]+r.Answers["refused"]+r.Answers["failed"], policy)
	}
}

// modifiedPolicy is a reference policy whose actions are changed, to break a rule on purpose.
type modifiedPolicy struct {
	*baselines.Policy
	modify func(now time.Duration, ev logic.Event, out []logic.Action) []logic.Action
}

func (b *modifiedPolicy) Handle(now time.Duration, ev logic.Event) []logic.Action {
	return b.modify(now, ev, b.Policy.Handle(now, ev))
}

// The auditor must report a policy that breaks a rule: this rule and no other, with the request and
// the events that led to it.
func TestAuditorReportsRuleViolations(t *testing.T) {
	pass := func(_ time.Duration, _ logic.Event, out []logic.Action) []logic.Action { return out }
	without := func(out []logic.Action, drop func(logic.Action) bool) []logic.Action {
		var kept []logic.Action
		for _, a := range out {
			if !drop(a) {
				kept = append(kept, a)
			}
		}
		return kept
	}
	for _, tt := range []struct {
		name, more string
		modify     func(now time.Duration, ev logic.Event, out []logic.Action) []logic.Action
		rule       audit.Rule
		event      string
	}{
		{"unmodified", "", pass, "", ""},
		{"omits failure answers", "troubles: [{kind: hang, at_s: 2, for_s: 6, part: 0.4}]",
			func(_ time.Duration, _ logic.Event, out []logic.Action) []logic.Action {
				return without(out, func(a logic.Action) bool { _, fail := a.(logic.Fail); return fail })
			}, audit.Unanswered, "received"},
		{"rejects requests that may have run", "troubles: [{kind: hang, at_s: 2, for_s: 6, part: 0.4}]",
			func(_ time.Duration, _ logic.Event, out []logic.Action) []logic.Action {
				for i, a := range out {
					if f, ok := a.(logic.Fail); ok {
						out[i] = logic.Reject{ID: f.ID}
					}
				}
				return out
			}, audit.DuplicateEffect, "refused"},
		{"sends every request twice", "", func(_ time.Duration, _ logic.Event, out []logic.Action) []logic.Action {
			for _, a := range out {
				if s, ok := a.(logic.Send); ok {
					return append(append([]logic.Action{}, out...), s)
				}
			}
			return out
		}, audit.DuplicateEffect, "sent"},
		{"ignores draining", "troubles: [{kind: replace, at_s: 1, for_s: 4, part: 0.5}]", nil, audit.LateDrain, "told"},
		{"overloads cold backends", "troubles: [{kind: vanish, at_s: 1, for_s: 2, part: 0.25}]", nil, audit.BackendOverloaded, "overloaded"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			more := "limits: {attempts: 5}\n" + tt.more
			r := run(t, parseSmall(t, more), 3, Options{NewModule: func(s logic.Settings, seed uint64) (core.Module, error) {
				p, err := baselines.New("least_outstanding", s, seed)
				switch tt.name {
				case "ignores draining":
					return &drainUnawarePolicy{p, nil}, err
				case "overloads cold backends":
					return &coldestFirstPolicy{p, nil}, err
				}
				return &modifiedPolicy{p, tt.modify}, err
			}})
			counts := map[audit.Rule]int{audit.Unanswered: r.Rules.Unanswered, audit.DuplicateEffect: r.Rules.DuplicateEffects,
				audit.LateDrain: r.Rules.LateDrainSends, audit.BackendOverloaded: r.Rules.OverloadedBackends}
			for rule, n := range counts {
				if rule == tt.rule {
					assert.Positive(t, n, rule)
				} else {
					assert.Zero(t, n, rule)
				}
			}
			if tt.rule != "" {
				require.NotEmpty(t, r.Violations)
				assert.Contains(t, strings.Join(r.Violations[0].Events, "\n"), tt.event)
			}
		})
	}
}

// drainUnawarePolicy is never told that a backend drains.
type drainUnawarePolicy struct {
	*baselines.Policy
	seen map[logic.ServerID]logic.Server
}

func (d *drainUnawarePolicy) Handle(now time.Duration, ev logic.Event) []logic.Action {
	if l, ok := ev.(logic.ServerList); ok {
		for i := range l.Servers {
			if l.Servers[i].State == logic.Draining {
				l.Servers[i].State = logic.Serving
			}
		}
		ev = l
	}
	return d.Policy.Handle(now, ev)
}

// coldestFirstPolicy sends every request to a backend that started within the run.
type coldestFirstPolicy struct {
	*baselines.Policy
	startTimes map[logic.ServerID]time.Duration
}

func (e *coldestFirstPolicy) Handle(now time.Duration, ev logic.Event) []logic.Action {
	if l, ok := ev.(logic.ServerList); ok {
		if e.startTimes == nil {
			e.startTimes = map[logic.ServerID]time.Duration{}
		}
		for _, s := range l.Servers {
			if delete(e.startTimes, s.ID); s.State == logic.Serving && s.StartedAt > 0 {
				e.startTimes[s.ID] = s.StartedAt
			}
		}
	}
	out := e.Policy.Handle(now, ev)
	for i, a := range out {
		if s, ok := a.(logic.Send); ok {
			for id := range e.startTimes {
				s.Server = id
			}
			out[i] = s
		}
	}
	return out
}

func TestInvalidScenarioErrorNamesKey(t *testing.T) {
	for text, want := range map[string]string{
		"seconds: -1":        "bad.yaml:1: seconds: must lie from",
		"seconds: [3, 2]":    "bad.yaml:1: seconds: ",
		"seconds: soon":      "bad.yaml:1: seconds: a number or a pair",
		"secnds: 1":          "bad.yaml:1: secnds: unknown key; allowed here: name, policy, seconds",
		"name: x\nzones: []": "bad.yaml:2: zones: at least one",
		strings.Replace(smallScenario, "size: 8", "size: 0", 1):                                                      "fleet.size: must lie from 1",
		strings.Replace(smallScenario, "cores: 2", "cores: 0", 1):                                                    "kinds.0.cores: must lie from 1",
		strings.Replace(smallScenario, "speed: 1,", "speed: 0,", 1):                                                  "kinds.0.speed: must lie from 0.001",
		strings.Replace(smallScenario, "{size: 8}", "{backends: [{kind: k, zone: a, speed: 0}]}", 1):                 "fleet.backends.0.speed: must be above 0",
		strings.Replace(smallScenario, "work_ms: 100", "work_ms: 0", 1):                                              "classes.0.work_ms",
		strings.Replace(smallScenario, "deadline_ms: 2000", "deadline_ms: 1", 1):                                     "classes.0.deadline_ms",
		strings.Replace(smallScenario, "load: 0.5", "load: 0", 1):                                                    "arrivals.load",
		strings.Replace(smallScenario, "effect: safe", "effect: sage", 1):                                            `classes.2.effect: "sage" is not one of safe, keyed, unsafe`,
		strings.Replace(smallScenario, "shape: wave", "shape: square", 1):                                            "arrivals.shape",
		smallScenario + "troubles: [{kind: flood, at_s: 1, for_s: 1}]":                                               "troubles.0.kind",
		smallScenario + "troubles: [{kind: slow, at_s: -1, for_s: 1, size: 2}]":                                      "troubles.0.at_s",
		smallScenario + "troubles: [{kind: hang, at_s: 1, for_s: 1, on: [8]}]":                                       "troubles.0.on: 8 is no backend",
		smallScenario + "goal: {whole: 0.5, worst_class: 0.4}":                                                       "goal: the parts add up to",
		strings.Replace(smallScenario, "count: 3", "count: 3, shares: [1, 0]", 1):                                    "nodes.shares.1: must be over 0",
		smallScenario + "troubles: [{kind: peer_loss, at_s: 1, for_s: 1, size: 0.2}]":                                "troubles.0.kind: the nodes don't talk",
		smallScenario + "troubles: [{kind: peer_cut, at_s: 1, for_s: 1, zone: a}]\npeers: {bytes_per_s: 512}":        "troubles.0.to",
		smallScenario + "troubles: [{kind: peer_cut, at_s: 1, for_s: 1, zone: a, to: a}]\npeers: {bytes_per_s: 512}": "troubles.0.to: must be another",
		smallScenario + "peers: {loss: 0.2}":                                                                         "peers.bytes_per_s: must lie from 256",
		smallScenario + "peers: {bytes_per_s: 512, loss: 1}":                                                         "peers.loss",
		smallScenario + "peers: {bytes_per_s: 512, delay_ms: -1}":                                                    "peers.delay_ms",
		smallScenario + "name: again":                                                                                "name",
		"a: &x [*x]":                                                                                                 "bad.yaml:1",
		"- 1":                                                                                                        "bad.yaml:1",
	} {
		_, err := Parse("bad.yaml", []byte(text))
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
	_, err := Run(parseSmall(t, ""), 1, Options{Policy: "best"})
	assert.ErrorContains(t, err, `policy "best": unknown`)
}

// A backend must become congested by all the requests that it holds, however many cores it has, and
// only if the load lasts. It stays congested after the load is gone, and is charged for once.
func TestCongestionOutlastsLoadAndIsChargedOnce(t *testing.T) {
	for _, tt := range []struct {
		requests int
		duration time.Duration
		want     int
	}{{6, 3 * time.Second, 0}, {7, time.Second, 0}, {7, 2 * time.Second, 1}} {
		scenario := parseSmall(t, "")
		scenario.Prices = Penalties{CongestedBackends: fixedRange(.8)}
		sim := newSimulation(scenario, 1)
		sim.stats.offeredWorth = 1 // without offered worth there are no penalties
		b := sim.backends[0]
		b.hangs = 1 // its requests never finish
		sim.now = time.Second
		b.update(func() { b.running = make([]*job, 2); b.waiting = make([]*job, tt.requests-2) })
		sim.scheduleAfter(tt.duration, func() { b.update(func() { b.running, b.waiting = nil, nil }) })
		for len(sim.queue.heap) > 0 && sim.queue.heap[0].at <= tt.duration+2*time.Second {
			e := sim.queue.pop()
			sim.now = e.at
			e.run()
		}
		assert.Equal(t, tt.want, sim.congestions, "%+v", tt)
		assert.Equal(t, tt.want == 1, b.congested)
		assert.InDelta(t, .8/8*float64(tt.want), sim.buildResult("", 1).ScoreParts["prices"], 1e-9)
	}
}

// A run can be aborted. A panic of a module must end one request and not the run.
func TestAbortedRunAndModulePanic(t *testing.T) {
	_, err := Run(parseSmall(t, ""), 1, Options{Progress: func(_, _ time.Duration) bool { return false }})
	if err != nil { // a run with few events ends before progress is called
		assert.ErrorIs(t, err, ErrAborted)
	}
	n := 0
	r := run(t, parseSmall(t, ""), 1, Options{NewModule: func(s logic.Settings, seed uint64) (core.Module, error) {
		p, err := baselines.New("p2c", s, seed)
		return &modifiedPolicy{p, func(_ time.Duration, ev logic.Event, out []logic.Action) []logic.Action {
			if _, ok := ev.(logic.Request); ok {
				if n++; n%50 == 0 {
					panic("on purpose")
				}
			}
			return out
		}}, err
	}})
	assert.Greater(t, r.Answers["failed"], n/60)
	assert.Zero(t, r.Rules.Unanswered)
}

func FuzzScenario(f *testing.F) {
	f.Add(smallScenario)
	f.Add("seconds: [1, 2]\nzones: [{name: a}]")
	f.Add("a: &b\n  - *b\n")
	f.Fuzz(func(t *testing.T, text string) {
		if scenario, err := Parse("f.yaml", []byte(text)); err == nil {
			require.NotEmpty(t, scenario.Zones)
		}
	})
}

// The frontend distributes clients by the nodes' shares, in turn. A node that returns must not get
// the share of its absence in a burst.
func TestFrontendDistributesByShares(t *testing.T) {
	sim := newSimulation(parseSmall(t, ""), 1)
	sim.scenario.Nodes.Shares = []float64{5, 1, 2}
	distribute := func(clients int) []int {
		got := make([]int, len(sim.nodes))
		for range clients {
			got[sim.frontend.pick(0).number]++
		}
		return got
	}
	for _, n := range sim.nodes {
		n.alive, n.zone = true, 0
	}
	sim.frontend.admitLiveNodes()
	for range 10 {
		assert.Equal(t, []int{5, 1, 2}, distribute(8))
	}
	sim.nodes[0].inRotation = false
	assert.Equal(t, []int{0, 100, 200}, distribute(300))
	sim.nodes[0].inRotation = true
	assert.InDeltaSlice(t, []int{5, 1, 2}, distribute(8), 1)
}

func TestEventQueueOrder(t *testing.T) {
	var q eventQueue
	var got []int
	push := func(at time.Duration, rank uint64, n int) { q.push(at, rank, nil, func() { got = append(got, n) }) }
	push(5, afterOthers, 4)
	push(5, 0, 2)
	push(9, 0, 5)
	push(5, 0, 3)
	push(1, afterOthers, 1)
	for len(q.heap) > 0 {
		e := q.pop()
		e.run()
	}
	assert.Equal(t, []int{1, 2, 3, 4, 5}, got)
}
