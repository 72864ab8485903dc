package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/cli"
	"oakseam/internal/fakes"
	"oakseam/internal/load"
	"oakseam/internal/simproto"
	"oakseam/logic"
)

// TestStalledNodeRaisesTailLatency guards against a load tool that hides a stall of a real node: each
// request must count from when it was due.
func TestStalledNodeRaisesTailLatency(t *testing.T) {
	dir := t.TempDir()
	program := buildNode(t, dir)
	b, err := fakes.NewBackend(fakes.OK)
	require.NoError(t, err)
	defer b.Close()
	go func() {
		for range b.Requests { // discard the received requests
		}
	}()
	reservation, err := fakes.ReserveAddress("127.0.0.1")
	require.NoError(t, err)
	defer reservation.Close()
	addr := reservation.Addr
	settings := logic.Settings{Nodes: 1, CanCancel: true, ConnIdle: 5 * time.Second, Classes: []logic.Class{
		{Name: "topup", Effect: logic.Unsafe, Aim: 5 * time.Second, Deadline: 10 * time.Second, Worth: 8}}}
	n, err := fakes.StartNode(program, dir, fakes.NodeConfig{Name: "n", Listen: addr, Discovery: "127.0.0.1:1", Seed: "1",
		Limits:   map[string]any{"sockets": 1024},
		Known:    fakes.List{Revision: 1, Full: true, Targets: []fakes.Target{{UID: "s", Endpoint: b.Addr, State: "in_service", Capacity: 1}}},
		Settings: simproto.EncodeSettings(settings, time.Second)}, addr, "127.0.0.1:1", nil)
	require.NoError(t, err)
	defer n.Kill()
	require.NoError(t, n.WaitReady(20*time.Second))
	plan := filepath.Join(dir, "plan.yaml")
	require.NoError(t, os.WriteFile(plan, []byte("seconds: 2\nper_second: 100\neven: true\nclasses: [{name: topup, share: 1, method: POST, path: /api, deadline: 10s}]\n"), 0o600))

	measure := func(during func()) load.ClassReport {
		done := make(chan struct{})
		go func() { defer close(done); during() }()
		code, text, errs := runOaklab("load", plan, "--target", addr, "--json")
		<-done
		var r load.Report
		require.NoError(t, json.Unmarshal([]byte(text), &r), errs)
		if code != cli.ExitOK {
			t.Log(errs) // on a busy machine the tool reports that it was late
		}
		c := r.Classes["topup"]
		assert.Equal(t, c.Sent, c.Status["200"], "all requests are served, also during the stall: %v", c.Status)
		return c
	}
	calm := measure(func() {})
	stalled := measure(func() {
		time.Sleep(700 * time.Millisecond) // any time within the run; the assertions are on the tail
		require.NoError(t, n.Signal(syscall.SIGSTOP))
		time.Sleep(600 * time.Millisecond)
		require.NoError(t, n.Signal(syscall.SIGCONT))
	})
	assert.Greater(t, stalled.LatencyMS.P90, 200.0, "the node was stopped for 0.6 s, 30%% of the time")
	assert.Greater(t, stalled.LatencyMS.P90, 3*calm.LatencyMS.P50)
}
