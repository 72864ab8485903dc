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

	"pipitmux/internal/audit"
	"pipitmux/internal/core"
	"pipitmux/internal/rivals"
	"pipitmux/logic"
)

const small = `
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

func scenario(t *testing.T, more string) *Scenario {
	t.Helper()
	sc, err := Parse("small.yaml", []byte(small+more))
	require.NoError(t, err)
	return sc
}

func run(t *testing.T, sc *Scenario, seed uint64, opt Options) *Result {
	t.Helper()
	r, err := Run(sc, seed, opt)
	require.NoError(t, err)
	return r
}

// Whatever goes wrong, the module keeps the rules and all that is asked comes to
// an end; each kind of trouble costs something against the same day without it.
func TestModuleKeepsTheRulesInEachTrouble(t *testing.T) {
	calm := run(t, scenario(t, ""), 1, Options{})
	assert.Greater(t, calm.G, 0.85)
	assert.Zero(t, calm.Answers["duplicate"])
	for _, trouble := range []string{
		"{kind: vanish, at_s: 2, for_s: 4, part: 0.3}", "{kind: slow, at_s: 2, for_s: 6, part: 0.3, size: 8}",
		"{kind: hang, at_s: 2, for_s: 6, part: 0.3}", "{kind: fast_errors, at_s: 2, for_s: 6, part: 0.3, size: 0.9}",
		"{kind: zone_loss, at_s: 2, for_s: 4, zone: a, size: 0.2}", "{kind: zone_loss, at_s: 2, for_s: 4, zone: a, size: 0.9}",
		"{kind: shared_slow, at_s: 2, for_s: 6, size: 2.5}", "{kind: restart_nodes, at_s: 3, for_s: 4}",
	} {
		t.Run(trouble, func(t *testing.T) {
			t.Parallel()
			r := run(t, scenario(t, "troubles: ["+trouble+"]"), 1, Options{})
			assert.True(t, r.Rules.Clean(), "%+v", r.Broken)
			assert.Less(t, r.G, calm.G)
			assert.Equal(t, calm.Requests, r.Requests, "clients are the same in every world")
			for name, c := range r.Classes {
				assert.Greater(t, c.G, 0.1, name)
			}
		})
	}
	for _, trouble := range []string{"{kind: replace, at_s: 1, for_s: 6, part: 0.5}",
		"{kind: discovery_down, at_s: 1, for_s: 8}", "{kind: discovery_slow, at_s: 0, for_s: 8, size: 20}"} {
		r := run(t, scenario(t, "troubles: ["+trouble+"]"), 1, Options{})
		assert.True(t, r.Rules.Clean(), "%s: %+v", trouble, r.Broken)
		assert.NotEmpty(t, r.Happened)
	}
}

// The same seed gives the same bytes on one core or many, alone or beside
// others; another seed gives another day.
func TestSameSeedSameDay(t *testing.T) {
	const rough = "incidental: {count: 3, of: [{kind: vanish, for_s: 3, part: 0.2}, {kind: slow, for_s: [2, 6], part: 0.3, size: [3, 9]}, {kind: zone_loss, for_s: 3, size: [0, 1]}]}"
	sc := scenario(t, rough)
	text := func(policy string, seed uint64, workers int) string {
		r, err := Run(sc, seed, Options{Policy: policy, Workers: workers})
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
		var all sync.WaitGroup
		for i := range got {
			all.Go(func() { got[i] = text(policy, 7, i*i) })
		}
		all.Wait()
		runtime.GOMAXPROCS(before)
		for _, g := range got {
			require.Equal(t, want, g, policy)
		}
		require.NotEqual(t, want, text(policy, 8, 1), policy)
	}
}

// A rival may do badly and fell cold backends, but the rules on answers, repeats
// and drains it keeps, through all that goes wrong.
func TestRivalsKeepTheirRules(t *testing.T) {
	sc := scenario(t, `troubles:
  - {kind: replace, at_s: 1, for_s: 6, part: 0.4}
  - {kind: hang, at_s: 2, for_s: 4, part: 0.3}
  - {kind: zone_loss, at_s: 5, for_s: 3, zone: b, size: 0.2}
  - {kind: fast_errors, at_s: 7, for_s: 3, part: 0.3, size: 0.8}`)
	for _, policy := range Policies() {
		r := run(t, sc, 2, Options{Policy: policy})
		assert.Zero(t, r.Rules.Unanswered+r.Rules.DuplicateEffects+r.Rules.LateDrainSends, "%s: %+v", policy, r.Broken)
		if strings.HasSuffix(policy, "+budget") {
			assert.Positive(t, r.Retries, policy)
		}
		assert.Equal(t, r.Tries, r.Answers["served"]+r.Answers["refused"]+r.Answers["failed"], policy)
	}
}

// bad is a policy that breaks one rule on purpose: a rival with its actions bent.
type bad struct {
	*rivals.Policy
	bend func(now time.Duration, ev logic.Event, out []logic.Action) []logic.Action
}

func (b *bad) Handle(now time.Duration, ev logic.Event) []logic.Action {
	return b.bend(now, ev, b.Policy.Handle(now, ev))
}

// Each broken policy is caught by its rule, with the request and what led to it, and
// by no other rule.
func TestBrokenPoliciesAreCaught(t *testing.T) {
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
		bend       func(now time.Duration, ev logic.Event, out []logic.Action) []logic.Action
		rule       audit.Rule
		event      string
	}{
		{"sound", "", pass, "", ""},
		{"swallows failures", "troubles: [{kind: hang, at_s: 2, for_s: 6, part: 0.4}]",
			func(_ time.Duration, _ logic.Event, out []logic.Action) []logic.Action {
				return without(out, func(a logic.Action) bool { _, fail := a.(logic.Fail); return fail })
			}, audit.Unanswered, "taken"},
		{"refuses what may have run", "troubles: [{kind: hang, at_s: 2, for_s: 6, part: 0.4}]",
			func(_ time.Duration, _ logic.Event, out []logic.Action) []logic.Action {
				for i, a := range out {
					if f, ok := a.(logic.Fail); ok {
						out[i] = logic.Reject{ID: f.ID}
					}
				}
				return out
			}, audit.DuplicateEffect, "refused"},
		{"sends all twice", "", func(_ time.Duration, _ logic.Event, out []logic.Action) []logic.Action {
			for _, a := range out {
				if s, ok := a.(logic.Send); ok {
					return append(append([]logic.Action{}, out...), s)
				}
			}
			return out
		}, audit.DuplicateEffect, "sent"},
		{"never heeds a drain", "troubles: [{kind: replace, at_s: 1, for_s: 4, part: 0.5}]", nil, audit.LateDrain, "told"},
		{"pours all on the cold", "troubles: [{kind: vanish, at_s: 1, for_s: 2, part: 0.25}]", nil, audit.BackendOverloaded, "felled"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			more := "limits: {attempts: 5}\n" + tt.more
			r := run(t, scenario(t, more), 3, Options{Make: func(s logic.Settings, seed uint64) (core.Module, error) {
				p, err := rivals.New("least_outstanding", s, seed)
				switch tt.name {
				case "never heeds a drain":
					return &deaf{p, nil}, err
				case "pours all on the cold":
					return &eager{p, nil}, err
				}
				return &bad{p, tt.bend}, err
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
				require.NotEmpty(t, r.Broken)
				assert.Contains(t, strings.Join(r.Broken[0].Events, "\n"), tt.event)
			}
		})
	}
}

// deaf is never told that a backend drains.
type deaf struct {
	*rivals.Policy
	seen map[logic.ServerID]logic.Server
}

func (d *deaf) Handle(now time.Duration, ev logic.Event) []logic.Action {
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

// eager sends each request to the backend that was born last.
type eager struct {
	*rivals.Policy
	born map[logic.ServerID]time.Duration
}

func (e *eager) Handle(now time.Duration, ev logic.Event) []logic.Action {
	if l, ok := ev.(logic.ServerList); ok {
		if e.born == nil {
			e.born = map[logic.ServerID]time.Duration{}
		}
		for _, s := range l.Servers {
			if delete(e.born, s.ID); s.State == logic.Serving && s.StartedAt > 0 {
				e.born[s.ID] = s.StartedAt
			}
		}
	}
	out := e.Policy.Handle(now, ev)
	for i, a := range out {
		if s, ok := a.(logic.Send); ok {
			for id := range e.born {
				s.Server = id
			}
			out[i] = s
		}
	}
	return out
}

func TestImpossibleScenariosAreRefusedByKey(t *testing.T) {
	for text, want := range map[string]string{
		"seconds: -1":        "bad.yaml:1: seconds: must lie from",
		"seconds: [3, 2]":    "bad.yaml:1: seconds: ",
		"seconds: soon":      "bad.yaml:1: seconds: a number or a pair",
		"secnds: 1":          "bad.yaml:1: secnds: unknown key; allowed here: name, policy, seconds",
		"name: x\nzones: []": "bad.yaml:2: zones: at least one",
		strings.Replace(small, "size: 8", "size: 0", 1):                                                      "fleet.size: must lie from 1",
		strings.Replace(small, "cores: 2", "cores: 0", 1):                                                    "kinds.0.cores: must lie from 1",
		strings.Replace(small, "speed: 1,", "speed: 0,", 1):                                                  "kinds.0.speed: must lie from 0.001",
		strings.Replace(small, "{size: 8}", "{backends: [{kind: k, zone: a, speed: 0}]}", 1):                 "fleet.backends.0.speed: must be above 0",
		strings.Replace(small, "work_ms: 100", "work_ms: 0", 1):                                              "classes.0.work_ms",
		strings.Replace(small, "deadline_ms: 2000", "deadline_ms: 1", 1):                                     "classes.0.deadline_ms",
		strings.Replace(small, "load: 0.5", "load: 0", 1):                                                    "arrivals.load",
		strings.Replace(small, "effect: safe", "effect: sage", 1):                                            `classes.2.effect: "sage" is not one of safe, keyed, unsafe`,
		strings.Replace(small, "shape: wave", "shape: square", 1):                                            "arrivals.shape",
		small + "troubles: [{kind: flood, at_s: 1, for_s: 1}]":                                               "troubles.0.kind",
		small + "troubles: [{kind: slow, at_s: -1, for_s: 1, size: 2}]":                                      "troubles.0.at_s",
		small + "troubles: [{kind: hang, at_s: 1, for_s: 1, on: [8]}]":                                       "troubles.0.on: 8 is no backend",
		small + "goal: {whole: 0.5, worst_class: 0.4}":                                                       "goal: the parts add up to",
		strings.Replace(small, "count: 3", "count: 3, shares: [1, 0]", 1):                                    "nodes.shares.1: must be over 0",
		small + "troubles: [{kind: peer_loss, at_s: 1, for_s: 1, size: 0.2}]":                                "troubles.0.kind: the nodes don't talk",
		small + "troubles: [{kind: peer_cut, at_s: 1, for_s: 1, zone: a}]\npeers: {bytes_per_s: 512}":        "troubles.0.to",
		small + "troubles: [{kind: peer_cut, at_s: 1, for_s: 1, zone: a, to: a}]\npeers: {bytes_per_s: 512}": "troubles.0.to: must be another",
		small + "peers: {loss: 0.2}":                                                                         "peers.bytes_per_s: must lie from 256",
		small + "peers: {bytes_per_s: 512, loss: 1}":                                                         "peers.loss",
		small + "peers: {bytes_per_s: 512, delay_ms: -1}":                                                    "peers.delay_ms",
		small + "name: again": "name",
		"a: &x [*x]":          "bad.yaml:1",
		"- 1":                 "bad.yaml:1",
	} {
		_, err := Parse("bad.yaml", []byte(text))
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
	_, err := Run(scenario(t, ""), 1, Options{Policy: "best"})
	assert.ErrorContains(t, err, `policy "best": unknown`)
}

// A backend gets crowded by all that it holds, whatever its cores, and only where
// that lasts; it stays so when the load is gone, and is paid for once.
func TestCrowded(t *testing.T) {
	for _, tt := range []struct {
		requests int
		for_     time.Duration
		want     int
	}{{6, 3 * time.Second, 0}, {7, time.Second, 0}, {7, 2 * time.Second, 1}} {
		sc := scenario(t, "")
		sc.Prices = Prices{Crowded: fixed(.8)}
		w := newWorld(sc, 1)
		w.tally.worth = 1 // of something asked, or nothing is priced
		b := w.backends[0]
		b.hanging = 1 // what it holds stays
		w.now = time.Second
		b.set(func() { b.running = make([]*job, 2); b.waiting = make([]*job, tt.requests-2) })
		w.after(tt.for_, func() { b.set(func() { b.running, b.waiting = nil, nil }) })
		for len(w.q.heap) > 0 && w.q.heap[0].at <= tt.for_+2*time.Second {
			e := w.q.pop()
			w.now = e.at
			e.do()
		}
		assert.Equal(t, tt.want, w.crowdings, "%+v", tt)
		assert.Equal(t, tt.want == 1, b.crowded)
		assert.InDelta(t, .8/8*float64(tt.want), w.result("", 1).Parts["prices"], 1e-9)
	}
}

// A day can be broken off, and a panic of a module ends one request, not the day.
func TestBrokenOffAndPanics(t *testing.T) {
	_, err := Run(scenario(t, ""), 1, Options{Progress: func(_, _ time.Duration) bool { return false }})
	if err != nil { // a day of fewer events than one look at progress takes just ends
		assert.ErrorIs(t, err, ErrLate)
	}
	n := 0
	r := run(t, scenario(t, ""), 1, Options{Make: func(s logic.Settings, seed uint64) (core.Module, error) {
		p, err := rivals.New("p2c", s, seed)
		return &bad{p, func(_ time.Duration, ev logic.Event, out []logic.Action) []logic.Action {
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
	f.Add(small)
	f.Add("seconds: [1, 2]\nzones: [{name: a}]")
	f.Add("a: &b\n  - *b\n")
	f.Fuzz(func(t *testing.T, text string) {
		if sc, err := Parse("f.yaml", []byte(text)); err == nil {
			require.NotEmpty(t, sc.Zones)
		}
	})
}

// The front deals each node its share, in turn, and what a node is owed while
// it is away does not come as a flood at its return.
func TestFrontDealsByShares(t *testing.T) {
	w := newWorld(scenario(t, ""), 1)
	w.sc.Nodes.Shares = []float64{5, 1, 2}
	dealt := func(clients int) []int {
		got := make([]int, len(w.nodes))
		for range clients {
			got[w.front.pick(0).no]++
		}
		return got
	}
	for _, n := range w.nodes {
		n.alive, n.zone = true, 0
	}
	w.front.all()
	for range 10 {
		assert.Equal(t, []int{5, 1, 2}, dealt(8))
	}
	w.nodes[0].inFront = false
	assert.Equal(t, []int{0, 100, 200}, dealt(300))
	w.nodes[0].inFront = true
	assert.InDeltaSlice(t, []int{5, 1, 2}, dealt(8), 1)
}

func TestQueueOrder(t *testing.T) {
	var q queue
	var got []int
	plan := func(at time.Duration, rank uint64, n int) { q.push(at, rank, nil, func() { got = append(got, n) }) }
	plan(5, late, 4)
	plan(5, 0, 2)
	plan(9, 0, 5)
	plan(5, 0, 3)
	plan(1, late, 1)
	for len(q.heap) > 0 {
		e := q.pop()
		e.do()
	}
	assert.Equal(t, []int{1, 2, 3, 4, 5}, got)
}
