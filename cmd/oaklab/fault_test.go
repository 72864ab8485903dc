package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/cli"
	"oakseam/internal/emulator"
	"oakseam/internal/fault"
	"oakseam/internal/fleet"
)

// siteFaults are the faults of a short run in two sites. One site is lost with its nodes and comes back
// cold while the other is overloaded. Then everything that one site sends to the other is lost, both
// requests and responses. Connections have a cost, so that nodes keep them and have some open when the
// partition begins.
const siteFaults = `
prices: {handshake: 0.02}
troubles:
  - {kind: zone_loss, at_s: 2, for_s: 2, size: 1, zone: a, lag_s: 0.5}
  - {kind: shared_slow, at_s: 3, for_s: 2, size: 2}
  - {kind: cut, at_s: 6, for_s: 1.5, zone: a, to: b}
`

// TestRealNodesKeepRulesInSiteLoss guards against a broken rule or a fleet that doesn't recover when a
// site is lost: two of four real nodes are killed with -9, their backends stop answering, and the site
// comes back with old lists, the nodes before their backends. A one-way partition follows, which must
// lose requests and responses.
func TestRealNodesKeepRulesInSiteLoss(t *testing.T) {
	sc, r := runFourNodes(t, siteFaults)
	assert.Positive(t, r.LostInPartitions)
	s, err := fault.SummarizeSiteLoss(sc, r, "processes")
	require.NoError(t, err)
	assert.Less(t, s.ReturnOvershoot, s.OvershootLimit)
	assert.Less(t, s.GDuring, s.GBefore, "half of the fleet was lost")
	assert.Greater(t, s.GAfter, s.GBefore/2, "the site came back")
	for _, h := range []string{"zone_loss", "zone_loss over", "cut", "cut over"} {
		assert.Contains(t, happenedFaults(r), h)
	}
}

// runFourNodes runs four real nodes in two sites for 10 s with the given faults, and checks that no
// rule is broken.
func runFourNodes(t *testing.T, faults string) (*emulator.Scenario, *emulator.Result) {
	scenario, _, _ := strings.Cut(shortScenario, "troubles:")
	scenario = strings.NewReplacer("seconds: 5", "seconds: 10", "count: 2", "count: 4", "per_second: 30", "per_second: 120").Replace(scenario)
	sc, err := emulator.Parse("four.yaml", []byte(scenario+faults))
	require.NoError(t, err)
	sc.Nodes.Zones = []string{"a", "b", "a", "b"}
	return sc, runProcesses(t, sc)
}

// fixed returns a value that doesn't depend on the seed.
func fixed(v float64) emulator.Range { return emulator.Range{From: v, To: v} }

// runProcesses runs a scenario with real nodes and checks that no rule is broken. On failure it prints
// the nodes' logs.
func runProcesses(t *testing.T, sc *emulator.Scenario) *emulator.Result {
	t.Helper()
	dir := t.TempDir()
	r, err := fleet.Run(t.Context(), sc, 1, fleet.Options{Program: buildNode(t, dir), Sockets: 512, MemoryMB: 64, LogDir: dir, Progress: func(_, _ time.Duration) {}})
	if err != nil || !r.Rules.Clean() {
		logs, _ := filepath.Glob(dir + "/*.log")
		for _, l := range logs {
			text, _ := os.ReadFile(l)
			t.Logf("%s:\n%s", l, text)
		}
	}
	require.NoError(t, err)
	assert.True(t, r.Rules.Clean(), "%+v", r.Violations)
	return r
}

// TestRealNodesSpareColdBackends guards against cold backends that are overloaded by what all nodes
// together send. Twenty real nodes and all backends start cold at the same time, some nodes with several
// times the traffic of others. Then each node restarts and three backends are replaced, while all are
// cold. The limit is checked without the allowance for chance.
func TestRealNodesSpareColdBackends(t *testing.T) {
	sc, err := emulator.Read("../../deploy/lab/cold-fleet.yaml")
	require.NoError(t, err)
	sc.Seconds, sc.Nodes.Count = fixed(9), fixed(20)
	for i, seconds := range []float64{1, 3, 2} {
		sc.Troubles[i].AtS = fixed(seconds)
	}
	sc.Troubles[0].DurationS, sc.Troubles[1].DurationS = fixed(0.5), fixed(3)
	r := runProcesses(t, sc)
	p, err := fault.SummarizePowerLoss(sc, r, "processes")
	require.NoError(t, err)
	assert.True(t, p.Clean())
	assert.Less(t, p.Overshoot, p.OvershootLimit, "without an allowance for chance")
	assert.Greater(t, p.Overshoot, 0.5, "cold backends were used")
	for _, h := range []string{"power_loss over", "restart_nodes", "replace"} {
		assert.Contains(t, happenedFaults(r), h)
	}
	t.Logf("largest overshoot of a cold backend %.2f, limit %.2f", p.Overshoot, p.OvershootLimit)
}

// TestRealNodesRecoverFromPowerLoss guards against overloaded backends, broken rules, requests to
// backends that are gone, and a fleet that doesn't recover after a power loss. Four real nodes are
// killed with -9 at the same time, and all backends and the registry stop answering. All restart, first
// at the same time and then in a random order with the registry late.
func TestRealNodesRecoverFromPowerLoss(t *testing.T) {
	sc, r := runFourNodes(t, `
troubles:
  - {kind: replace, at_s: 0.2, for_s: 0.1, part: 0.17}
  - {kind: power_loss, at_s: 2, for_s: 0.5}
  - {kind: power_loss, at_s: 5, for_s: 0.5, spread_s: 0.6, lag_s: 0.5}
`)
	p, err := fault.SummarizePowerLoss(sc, r, "processes")
	require.NoError(t, err)
	assert.True(t, p.Clean())
	assert.Greater(t, p.GFirst60S, p.GBefore/3, "service came back twice while the backends were still cold")
	n := 0
	for _, h := range happenedFaults(r) {
		if h == "power_loss over" {
			n++
		}
	}
	assert.Equal(t, 2, n)
}

// happenedFaults returns the kinds of the faults of a run, in their order.
func happenedFaults(r *emulator.Result) (kinds []string) {
	for _, h := range r.FaultEvents {
		kinds = append(kinds, h.Kind)
	}
	return kinds
}

// TestSiteLossCommand guards against missing keys in the report, results that differ between equal
// runs, and a scenario without a loss that is accepted or reported without the kinds of loss.
func TestSiteLossCommand(t *testing.T) {
	args := []string{"fault", "site-loss", "../../deploy/lab/site-loss.yaml", "--emulated", "--json", "--seed", "3"}
	code, first, errs := runOaklab(args...)
	require.Equal(t, cli.ExitOK, code, errs)
	_, second, _ := runOaklab(args...)
	assert.Equal(t, first, second)
	var s map[string]any
	require.NoError(t, json.Unmarshal([]byte(first), &s))
	for _, k := range []string{"unanswered", "double_effects", "late_drain_sends", "felled_backends", "refused_by_worth", "return_overshoot",
		"g_before", "g_during", "g_after", "ideal_during", "steady_after_s"} {
		assert.Contains(t, s, k)
	}
	bad := filepath.Join(t.TempDir(), "calm.yaml")
	scenario, _, _ := strings.Cut(shortScenario, "troubles:")
	require.NoError(t, os.WriteFile(bad, []byte(scenario), 0o600))
	code, _, errs = runOaklab("fault", "site-loss", bad)
	assert.Equal(t, cli.ExitUsage, code)
	assert.Contains(t, errs, "no such loss at a stated time: zone_loss or cut")
	code, _, errs = runOaklab("emulate", "../../deploy/lab/site-loss.yaml", "--set", "troubles.0.kind=cut")
	assert.Equal(t, cli.ExitUsage, code)
	assert.Contains(t, errs, "troubles.0.to")
}
