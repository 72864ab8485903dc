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

	"pipitmux/internal/cli"
	"pipitmux/internal/emulator"
	"pipitmux/internal/fault"
	"pipitmux/internal/fleet"
)

// Troubles of a short day in two sites: one is lost with its nodes and comes back cold
// while the other is overloaded; then what one sends the other is lost, as requests and answers.
// Connections cost something, so that nodes keep them and have some open as the cut begins.
const siteTroubles = `
prices: {handshake: 0.02}
troubles:
  - {kind: zone_loss, at_s: 2, for_s: 2, size: 1, zone: a, lag_s: 0.5}
  - {kind: shared_slow, at_s: 3, for_s: 2, size: 2}
  - {kind: cut, at_s: 6, for_s: 1.5, zone: a, to: b}
`

// A site with two of four real nodes is killed with -9, its backends fall silent, and it
// comes back with old lists, the nodes before their backends; then a cut in one direction.
// No rule is broken, requests and answers were lost in the cut, and the fleet serves again.
func TestSiteLossOfRealNodes(t *testing.T) {
	sc, r := fourNodes(t, siteTroubles)
	assert.Positive(t, r.LostInPartitions)
	s, err := fault.SummarizeSiteLoss(sc, r, "processes")
	require.NoError(t, err)
	assert.Less(t, s.ReturnOvershoot, s.OvershootLimit)
	assert.Less(t, s.GDuring, s.GBefore, "half of the fleet was gone")
	assert.Greater(t, s.GAfter, s.GBefore/2, "and came back")
	for _, h := range []string{"zone_loss", "zone_loss over", "cut", "cut over"} {
		assert.Contains(t, happened(r), h)
	}
}

// fourNodes plays ten seconds of four real nodes in two sites with the troubles, and wants
// every rule kept.
func fourNodes(t *testing.T, troubles string) (*emulator.Scenario, *emulator.Result) {
	day, _, _ := strings.Cut(onSockets, "troubles:")
	day = strings.NewReplacer("seconds: 5", "seconds: 10", "count: 2", "count: 4", "per_second: 30", "per_second: 120").Replace(day)
	sc, err := emulator.Parse("four.yaml", []byte(day+troubles))
	require.NoError(t, err)
	sc.Nodes.Zones = []string{"a", "b", "a", "b"}
	return sc, playProcesses(t, sc)
}

// stated is a figure that no seed draws.
func stated(v float64) emulator.Range { return emulator.Range{From: v, To: v} }

// playProcesses plays a day of real nodes, whose logs it prints where that fails.
func playProcesses(t *testing.T, sc *emulator.Scenario) *emulator.Result {
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

// Twenty real nodes and all backends start cold together, some nodes with several times the
// traffic of others; then each node starts anew and three backends make room for new ones,
// while all are cold. No backend is felled by the sum of what all send, nor by chance allowed for.
func TestColdFleetOfRealNodes(t *testing.T) {
	sc, err := emulator.Read("../../deploy/lab/cold-fleet.yaml")
	require.NoError(t, err)
	sc.Seconds, sc.Nodes.Count = stated(9), stated(20)
	for i, s := range []float64{1, 3, 2} {
		sc.Troubles[i].AtS = stated(s)
	}
	sc.Troubles[0].DurationS, sc.Troubles[1].DurationS = stated(0.5), stated(3)
	r := playProcesses(t, sc)
	p, err := fault.SummarizePowerLoss(sc, r, "processes")
	require.NoError(t, err)
	assert.True(t, p.Clean())
	assert.Less(t, p.Overshoot, p.OvershootLimit, "with nothing put down to chance")
	assert.Greater(t, p.Overshoot, 0.5, "cold backends were used")
	for _, h := range []string{"power_loss over", "restart_nodes", "replace"} {
		assert.Contains(t, happened(r), h)
	}
	t.Logf("most to a cold backend %.2f of %.2f", p.Overshoot, p.OvershootLimit)
}

// Four real nodes are killed with -9 in one instant and all backends and the registry fall
// silent; all start again, at once and then in a random order with the registry late. No
// backend is felled, no rule broken, none that was gone is sent to, and service comes back.
func TestPowerLossOfRealNodes(t *testing.T) {
	sc, r := fourNodes(t, `
troubles:
  - {kind: replace, at_s: 0.2, for_s: 0.1, part: 0.17}
  - {kind: power_loss, at_s: 2, for_s: 0.5}
  - {kind: power_loss, at_s: 5, for_s: 0.5, spread_s: 0.6, lag_s: 0.5}
`)
	p, err := fault.SummarizePowerLoss(sc, r, "processes")
	require.NoError(t, err)
	assert.True(t, p.Clean())
	assert.Greater(t, p.GFirst60S, p.GBefore/3, "service came back twice, the backends still cold")
	n := 0
	for _, h := range happened(r) {
		if h == "power_loss over" {
			n++
		}
	}
	assert.Equal(t, 2, n)
}

func happened(r *emulator.Result) (what []string) {
	for _, h := range r.FaultEvents {
		what = append(what, h.Kind)
	}
	return what
}

// The report's keys are there, the same day gives the same bytes, and a scenario without
// a loss is turned down by name.
func TestSiteLossEmulated(t *testing.T) {
	args := []string{"fault", "site-loss", "../../deploy/lab/site-loss.yaml", "--emulated", "--json", "--seed", "3"}
	code, first, errs := lab(args...)
	require.Equal(t, cli.ExitOK, code, errs)
	_, second, _ := lab(args...)
	assert.Equal(t, first, second)
	var s map[string]any
	require.NoError(t, json.Unmarshal([]byte(first), &s))
	for _, k := range []string{"unanswered", "double_effects", "late_drain_sends", "felled_backends", "refused_by_worth", "return_overshoot",
		"g_before", "g_during", "g_after", "ideal_during", "steady_after_s"} {
		assert.Contains(t, s, k)
	}
	bad := filepath.Join(t.TempDir(), "calm.yaml")
	day, _, _ := strings.Cut(onSockets, "troubles:")
	require.NoError(t, os.WriteFile(bad, []byte(day), 0o600))
	code, _, errs = lab("fault", "site-loss", bad)
	assert.Equal(t, cli.ExitUsage, code)
	assert.Contains(t, errs, "no such loss at a stated time: zone_loss or cut")
	code, _, errs = lab("emulate", "../../deploy/lab/site-loss.yaml", "--set", "troubles.0.kind=cut")
	assert.Equal(t, cli.ExitUsage, code)
	assert.Contains(t, errs, "troubles.0.to")
}
