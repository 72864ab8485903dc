package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/cli"
	"oakseam/internal/tierlab"
)

// buildTier builds the tier's programs in a folder and returns options that name them.
func buildTier(t *testing.T, dir string) tierlab.Options {
	t.Helper()
	out, err := exec.Command("go", "build", "-o", dir, "../oakseam-edge", "../oakseam-control").CombinedOutput()
	require.NoError(t, err, "%s", out)
	opt := tierlab.Default()
	opt.EdgeProgram, opt.ControlProgram = filepath.Join(dir, "oakseam-edge"), filepath.Join(dir, "oakseam-control")
	opt.LogDir = dir
	return opt
}

// harshRules can only be checked by a run with Options.Harsh, as they need a zone that is cut off.
var harshRules = []audit.Rule{audit.IsolatedEdgeNotReady, audit.IsolatedZoneCounts}

// TestTierKeepsRulesUnderFaults guards against a tier that breaks a rule or stops serving while storage
// machines, the leader of the configuration and an edge are lost and come back, and servers are
// released. Every rule but harshRules must be checked at least once, and nearly all requests served.
func TestTierKeepsRulesUnderFaults(t *testing.T) {
	dir := t.TempDir()
	opt := buildTier(t, dir)
	opt.Seconds, opt.Agents = 16, 12
	r, err := tierlab.Run(t.Context(), opt)
	if err != nil || !r.Clean() {
		logs, _ := filepath.Glob(dir + "/*.log")
		for _, l := range logs {
			text, _ := os.ReadFile(l)
			t.Logf("%s:\n%s", l, text)
		}
	}
	require.NoError(t, err)
	assert.Empty(t, r.Crashed)
	for _, v := range r.Report.Verdicts {
		assert.Zero(t, v.Broken, "%s: %v", v.Rule, v.Violations)
		assert.True(t, v.Checked > 0 || slices.Contains(harshRules, v.Rule), "%s", v.Rule)
	}
	for _, kind := range []audit.Kind{audit.ToolRead, audit.ToolOrder, audit.Turn} {
		c := r.Report.Kinds[kind]
		assert.Greater(t, c.Sent, 50, "%s", kind)
		assert.Greater(t, c.Served, c.Sent*3/4, "%s", kind)
	}
	assert.Positive(t, r.Report.BudgetExhausted, "programs with a small budget")
	assert.Greater(t, r.Report.Acknowledged, 3, "configurations")
	assert.Greater(t, r.Report.Tallies.Acknowledged, r.Report.Tallies.Adds*9/10, "adds to tallies")
	assert.Greater(t, r.Report.Tallies.ReadsServed(), 50, "totals")
	assert.Equal(t, r.Report.EvacuationsAcknowledged, 3)
	assert.Len(t, r.Report.Faults, 8)
}

// TestTierReportsMissingPrograms guards against a run that doesn't report a missing program, or one
// that exits at once.
func TestTierReportsMissingPrograms(t *testing.T) {
	code, _, errs := runOaklab("tier", "--control-program", "/bin/false")
	assert.Equal(t, cli.ExitUsage, code, "there is no oakseam-edge in the test's folder")
	assert.Contains(t, errs, "oakseam-edge")
	code, _, errs = runOaklab("tier", "--network", "127.31", "--edge-program", "/bin/false", "--control-program", "/bin/false")
	assert.Equal(t, cli.ExitFailure, code)
	assert.Contains(t, errs, tierlab.ErrCrashed.Error())
}
