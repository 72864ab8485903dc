package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

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

// writePlan writes a plan and its scenario to a new folder and returns the plan's path.
func writePlan(t *testing.T, plan string) string {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "tiny.yaml"), []byte(scenario), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "plan.yaml"), []byte(plan), 0o600))
	return filepath.Join(dir, "plan.yaml")
}

// summaryJSON returns the rows of a store without the costs, which depend on the machine.
func summaryJSON(t *testing.T, s *Store) string {
	rows, err := Summarize(s)
	require.NoError(t, err)
	for _, r := range rows {
		r.CostUS = nil
	}
	text, err := json.Marshal(rows)
	require.NoError(t, err)
	return string(text)
}

// noProgress ignores the progress of a run.
func noProgress(_, _ int) {}

// TestMain runs the tests, or, if EXPERIMENT_PLAN is set, an experiment in a process that a test can
// kill.
func TestMain(m *testing.M) {
	if file := os.Getenv("EXPERIMENT_PLAN"); file != "" {
		_, cells, fingerprint, err := Read(file)
		if err != nil {
			panic(err)
		}
		s, err := Open(os.Getenv("EXPERIMENT_DIR"), fingerprint)
		if err != nil {
			panic(err)
		}
		if _, err := Run(context.Background(), cells, s, 3, func(done, total int) { os.Stdout.Write([]byte(".")) }); err != nil {
			panic(err)
		}
		s.Close()
		return
	}
	os.Exit(m.Run())
}

// TestKilledRunsResume guards against a killed run that loses finished cells, runs them again, or ends
// with other results. The number of workers must not change the results either.
func TestKilledRunsResume(t *testing.T) {
	file := writePlan(t, plan)
	_, cells, fingerprint, err := Read(file)
	require.NoError(t, err)
	require.Len(t, cells, 2*2*4*6)
	uninterrupted, err := Open(t.TempDir(), fingerprint)
	require.NoError(t, err)
	defer uninterrupted.Close()
	n, err := Run(t.Context(), cells, uninterrupted, 1, noProgress)
	require.NoError(t, err)
	require.Equal(t, len(cells), n)
	want := summaryJSON(t, uninterrupted)

	dir := t.TempDir()
	stored := 0
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
		s, err := Open(dir, fingerprint)
		require.NoError(t, err, "the store can be opened and is intact after a kill")
		n := 0
		require.NoError(t, s.Each(func(*Record) error { n++; return nil }))
		require.GreaterOrEqual(t, n, stored+min(after, len(cells)-stored), "cells reported as done are stored")
		stored = n
		require.NoError(t, s.Close())
	}
	s, err := Open(dir, fingerprint)
	require.NoError(t, err)
	defer s.Close()
	n, err = Run(t.Context(), cells, s, 4, noProgress)
	require.NoError(t, err)
	assert.Equal(t, len(cells)-stored, n, "stored cells are not run again")
	assert.Equal(t, want, summaryJSON(t, s))

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	empty, err := Open(t.TempDir(), fingerprint)
	require.NoError(t, err)
	defer empty.Close()
	_, err = Run(ctx, cells, empty, 2, noProgress)
	assert.ErrorIs(t, err, context.Canceled)

	var page bytes.Buffer
	require.NoError(t, Report(&page, "tiny <b>", s))
	html := page.String()
	assert.Contains(t, html, "tiny &lt;b&gt;")
	assert.Equal(t, 8*4+1, strings.Count(html, "<svg"), "four plots for each group, and the cost")
	for _, reference := range []string{"http://", "https://", "src=", "<link"} {
		assert.NotContains(t, strings.ReplaceAll(html, "http://www.w3.org/", ""), reference, "the page is self-contained")
	}
}

// TestStoreOfAnotherPlanIsRejected guards against results of different plans in one store, two runs
// that use one store at the same time, and a report that creates an empty store.
func TestStoreOfAnotherPlanIsRejected(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, "one")
	require.NoError(t, err)
	_, err = Open(dir, "one")
	assert.Error(t, err, "two runs in one folder at the same time")
	require.NoError(t, s.Close())
	_, err = Open(dir, "two")
	assert.ErrorIs(t, err, ErrOtherPlan)
	_, err = Open(t.TempDir(), "")
	assert.Error(t, err)
}

// TestStoreOfEndedProcessIsAwaited guards against a store that can't be opened after a kill because the
// kernel still holds the lock of the process that has ended.
func TestStoreOfEndedProcessIsAwaited(t *testing.T) {
	dir := t.TempDir()
	ended := exec.Command(os.Args[0], "-test.run=^$")
	require.NoError(t, ended.Run())
	held, err := Open(dir, "one")
	require.NoError(t, err)
	owner := strconv.Itoa(ended.Process.Pid)
	require.NoError(t, os.WriteFile(filepath.Join(dir, "results.db.pid"), []byte(owner), 0o644))
	time.AfterFunc(lockTimeout+lockTimeout/2, func() { held.Close() })
	s, err := Open(dir, "one")
	require.NoError(t, err)
	require.NoError(t, s.Close())
}

// TestInvalidPlansAreRejected guards against an invalid plan that is accepted, and against an error that
// doesn't name the key.
func TestInvalidPlansAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"name: x":                                                        "scenario: a scenario file is required",
		"scenario: nowhere.yaml":                                         "nowhere.yaml",
		"scenario: tiny.yaml\npolicies: [best]":                          `plan.yaml:2: policies.0: policy "best"`,
		"scenario: tiny.yaml\nseeds: {count: 0}":                         "seeds.count",
		"scenario: tiny.yaml\ngrid: {seconds: []}":                       "grid.seconds: has no values",
		"scenario: tiny.yaml\ngrid: {secnds: [1]}":                       "secnds: unknown key",
		"scenario: tiny.yaml\nvariants: [{name: a}, {name: a}]":          "variants.1.name",
		"scenario: tiny.yaml\nvariants: [{name: a, set: {seconds: -1}}]": "seconds: must lie",
	} {
		_, _, _, err := Read(writePlan(t, text))
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
		}
	}
}

// TestMedianWithInterval guards against a wrong median or interval, and against intervals that change
// from call to call.
func TestMedianWithInterval(t *testing.T) {
	single := MedianWithInterval([]float64{3})
	assert.Equal(t, Interval{3, 3, 3}, single)
	v := []float64{9, 1, 2, 3, 4, 5, 6, 7, 8, 10}
	r := MedianWithInterval(v)
	assert.Equal(t, 5.5, r.Median)
	assert.True(t, r.Low < r.Median && r.Median < r.High && r.Low >= 1 && r.High <= 10)
	assert.Equal(t, r, MedianWithInterval(v), "the same values give the same interval")
	assert.True(t, math.IsNaN(MedianWithInterval(nil).Median))
}
