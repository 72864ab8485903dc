package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	audit "pipitmux/internal/audit/tier"
	"pipitmux/internal/cli"
	"pipitmux/internal/tierlab"
)

// buildTier builds the tier's programs into a folder and returns options that name them.
func buildTier(t *testing.T, dir string) tierlab.Options {
	t.Helper()
	out, err := exec.Command("go", "build", "-o", dir, "../anemometer", "../barograph").CombinedOutput()
	require.NoError(t, err, "%s", out)
	opt := tierlab.Default()
	opt.Anemometer, opt.Barograph = filepath.Join(dir, "anemometer"), filepath.Join(dir, "barograph")
	opt.Network, opt.LogDir = "127.30", dir // beside a run of the command
	return opt
}

// The whole tier as processes serves clients while storage machines, the configuration's
// owner and an edge are lost and come back and servers are released: every rule is looked
// at and kept, and nearly all that was asked is served.
func TestTierOfProcesses(t *testing.T) {
	dir := t.TempDir()
	opt := buildTier(t, dir)
	opt.Seconds, opt.Agents = 8, 12
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
		assert.Positive(t, v.Checked, "%s", v.Rule)
	}
	for _, kind := range []audit.Kind{audit.ToolRead, audit.ToolOrder, audit.Turn} {
		c := r.Report.Kinds[kind]
		assert.Greater(t, c.Sent, 50, "%s", kind)
		assert.Greater(t, c.Served, c.Sent*3/4, "%s", kind)
	}
	assert.Positive(t, r.Report.BudgetExhausted, "programs with a small budget")
	assert.Greater(t, r.Report.Acknowledged, 3, "configurations")
	assert.Len(t, r.Report.Faults, 8)
}

// A program that isn't there, and one that ends at once, are told.
func TestTierWithoutPrograms(t *testing.T) {
	code, _, errs := lab("tier", "--barograph", "/bin/false")
	assert.Equal(t, cli.Misuse, code, "there is no anemometer beside the test")
	assert.Contains(t, errs, "anemometer")
	code, _, errs = lab("tier", "--network", "127.31", "--anemometer", "/bin/false", "--barograph", "/bin/false")
	assert.Equal(t, cli.Failed, code)
	assert.Contains(t, errs, tierlab.ErrCrashed.Error())
}
