package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const scenario = `
name: tiny
seconds: 3
zones: [{name: a, traffic: 1, backends: 1}]
nodes: {count: 1}
fleet: {size: 4}
kinds: [{name: k, share: 1, cores: 2, queue_per_core: 10}]
arrivals: {per_second: 40}
classes: [{name: topup, share: 1, work_ms: 50, cv: 0.4, aim_ms: 400, deadline_ms: 2000, worth: 8, effect: unsafe}]
`

const plan = `
name: tiny
scenario: tiny.yaml
policies: [module, p2c]
seeds: {from: 5, count: 6}
variants: [{name: calm}, {name: hang, set: {troubles: [{kind: hang, at_s: 1, for_s: 1, part: 0.25}], nodes.count: 2}}]
grid: {fleet.size: [4, 6], arrivals.per_second: [20, 60]}
`

func write(t *testing.T, plan string) string {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "tiny.yaml"), []byte(scenario), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "plan.yaml"), []byte(plan), 0o600))
	return filepath.Join(dir, "plan.yaml")
}

func table(t *testing.T, s *Store) string {
	rows, err := Summarize(s)
	require.NoError(t, err)
	for _, r := range rows {
		r.CostUS = nil
	}
	text, err := json.Marshal(rows)
	require.NoError(t, err)
	return string(text)
}

func none(_, _ int) {}

// TestMain runs, on demand, an experiment in a process that can be killed.
func TestMain(m *testing.M) {
	if file := os.Getenv("EXPERIMENT_PLAN"); file != "" {
		_, list, print, err := Read(file)
		if err != nil {
			panic(err)
		}
		s, err := Open(os.Getenv("EXPERIMENT_DIR"), print)
		if err != nil {
			panic(err)
		}
		if _, err := Run(context.Background(), list, s, 3, func(done, of int) { os.Stdout.Write([]byte(".")) }); err != nil {
			panic(err)
		}
		s.Close()
		return
	}
	os.Exit(m.Run())
}

// A run killed after any number of cells goes on to the same table, plays no
// cell again that it kept, and the number of workers does not show.
func TestKilledRunsGoOn(t *testing.T) {
	file := write(t, plan)
	_, list, print, err := Read(file)
	require.NoError(t, err)
	require.Len(t, list, 2*2*4*6)
	whole, err := Open(t.TempDir(), print)
	require.NoError(t, err)
	defer whole.Close()
	n, err := Run(t.Context(), list, whole, 1, none)
	require.NoError(t, err)
	require.Equal(t, len(list), n)
	want := table(t, whole)

	dir := t.TempDir()
	kept := 0
	for _, after := range []int{1, 2, 7, 20} {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "EXPERIMENT_PLAN="+file, "EXPERIMENT_DIR="+dir)
		out, err := cmd.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, cmd.Start())
		for range after {
			if _, err := out.Read(make([]byte, 1)); err != nil {
				break
			}
		}
		cmd.Process.Kill()
		cmd.Wait()
		s, err := Open(dir, print)
		require.NoError(t, err, "the folder is free and sound after a kill")
		n := 0
		require.NoError(t, s.Each(func(*Record) error { n++; return nil }))
		require.GreaterOrEqual(t, n, kept+min(after, len(list)-kept), "what was said to be done is kept")
		kept = n
		require.NoError(t, s.Close())
	}
	s, err := Open(dir, print)
	require.NoError(t, err)
	defer s.Close()
	n, err = Run(t.Context(), list, s, 4, none)
	require.NoError(t, err)
	assert.Equal(t, len(list)-kept, n, "kept cells are not played again")
	assert.Equal(t, want, table(t, s))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	empty, err := Open(t.TempDir(), print)
	require.NoError(t, err)
	defer empty.Close()
	_, err = Run(ctx, list, empty, 2, none)
	assert.ErrorIs(t, err, context.Canceled)

	var page bytes.Buffer
	require.NoError(t, Report(&page, "tiny <b>", s))
	html := page.String()
	assert.Contains(t, html, "tiny &lt;b&gt;")
	assert.Equal(t, 8*4+1, strings.Count(html, "<svg"), "four plots a panel, and the cost")
	for _, outside := range []string{"http://", "https://", "src=", "<link"} {
		assert.NotContains(t, strings.ReplaceAll(html, "http://www.w3.org/", ""), outside, "the page needs nothing else")
	}
}

func TestResultsOfAnotherPlanAreKeptApart(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, "one")
	require.NoError(t, err)
	_, err = Open(dir, "one")
	assert.Error(t, err, "two runs at once in one folder")
	require.NoError(t, s.Close())
	_, err = Open(dir, "two")
	assert.ErrorIs(t, err, ErrOtherPlan)
	_, err = Open(t.TempDir(), "")
	assert.Error(t, err)
}

func TestPlanFaults(t *testing.T) {
	for text, want := range map[string]string{
		"name: x":                                                        "scenario: a scenario file is wanted",
		"scenario: nowhere.yaml":                                         "nowhere.yaml",
		"scenario: tiny.yaml\npolicies: [best]":                          `plan.yaml:2: policies.0: policy "best"`,
		"scenario: tiny.yaml\nseeds: {count: 0}":                         "seeds.count",
		"scenario: tiny.yaml\ngrid: {seconds: []}":                       "grid.seconds: has no values",
		"scenario: tiny.yaml\ngrid: {secnds: [1]}":                       "secnds: unknown key",
		"scenario: tiny.yaml\nvariants: [{name: a}, {name: a}]":          "variants.1.name",
		"scenario: tiny.yaml\nvariants: [{name: a, set: {seconds: -1}}]": "seconds: must lie",
	} {
		_, _, _, err := Read(write(t, text))
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
		}
	}
}

func TestMedian(t *testing.T) {
	one := MedianWithInterval([]float64{3})
	assert.Equal(t, Interval{3, 3, 3}, one)
	v := []float64{9, 1, 2, 3, 4, 5, 6, 7, 8, 10}
	r := MedianWithInterval(v)
	assert.Equal(t, 5.5, r.Median)
	assert.True(t, r.Low < r.Median && r.Median < r.High && r.Low >= 1 && r.High <= 10)
	assert.Equal(t, r, MedianWithInterval(v), "the same values, the same interval")
	assert.True(t, math.IsNaN(MedianWithInterval(nil).Median))
}
