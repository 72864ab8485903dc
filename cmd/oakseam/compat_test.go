package main

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/core"
	"oakseam/internal/discovery"
	"oakseam/internal/durable"
	"oakseam/logic"
)

// The fixtures are a node's state file and the state that it hands to its successor, as the build
// before identifiers were renamed wrote them. They must not be regenerated: a node of this build
// starts from such a file, and takes over from such a process, at an upgrade.

func earlierFile(name string) string { return filepath.Join("testdata", "earlier_build", name) }

// earlierAt is when the state file was written.
var earlierAt = time.Date(2026, time.January, 2, 3, 4, 5, 6000000, time.UTC)

// earlierLearned is what the module learned, which is passed on as it is. Package logic has a
// fixture of its own.
const earlierLearned = `{"Peak":1.5}`

// checkEarlierList checks the list in the fixtures, by the values that the balancer gets.
func checkEarlierList(t *testing.T, got discovery.List) {
	t.Helper()
	backends, err := got.Backends()
	require.NoError(t, err)
	want := []core.Backend{
		{Endpoint: "10.2.0.1:9000", Server: logic.Server{ID: "s-1", Capacity: 2.5, State: logic.Serving, Kind: "kind-1", Zone: "zone-a", Cell: 3, StartedAt: 4 * time.Millisecond}},
		{Endpoint: "10.2.0.2:9000", Server: logic.Server{ID: "s-2", Capacity: 5.5, State: logic.Draining, Kind: "kind-2", Zone: "zone-b", Cell: 6, StartedAt: 7 * time.Millisecond}},
	}
	assert.Equal(t, want, backends)
	assert.Equal(t, discovery.NewList(7, true, want), got, "revision, and a full list")
}

// A node must start from the state file of an earlier build, found under its name, and write the
// same bytes.
func TestRestoresStateFileOfEarlierBuild(t *testing.T) {
	const listen = "127.0.0.1:8080"
	raw, err := os.ReadFile(earlierFile("node.state"))
	require.NoError(t, err)
	dir := t.TempDir()
	name := filepath.Join(dir, "oakseam-127.0.0.1-8080.state")
	assert.Equal(t, name, stateFileName(dir, listen))
	require.NoError(t, os.WriteFile(name, raw, 0o600))

	process := &takeover{log: slog.New(slog.DiscardHandler)}
	process.restore(name, earlierAt.Add(time.Minute))
	checkEarlierList(t, process.known)
	assert.Equal(t, earlierLearned, string(process.moduleState))

	// What the module learned is trusted for a minute only, the list for longer.
	late := &takeover{log: slog.New(slog.DiscardHandler)}
	late.restore(name, earlierAt.Add(time.Minute+time.Millisecond))
	checkEarlierList(t, late.known)
	assert.Empty(t, late.moduleState)

	text, err := json.Marshal(savedState{handoverState{process.known, process.moduleState}, earlierAt})
	require.NoError(t, err)
	framed, err := durable.Frame(text)
	require.NoError(t, err)
	assert.True(t, bytes.Equal(raw, framed), "%q", framed)
}

// A node must take the state that a process of an earlier build hands over, and hand the same bytes
// to a process of that build.
func TestTakesStateHandedByEarlierBuild(t *testing.T) {
	raw, err := os.ReadFile(earlierFile("handed.json"))
	require.NoError(t, err)
	process := &takeover{log: slog.New(slog.DiscardHandler)}
	require.NoError(t, process.importState(raw))
	checkEarlierList(t, process.known)
	assert.Equal(t, earlierLearned, string(process.moduleState))
	text, err := json.Marshal(handoverState{process.known, process.moduleState})
	require.NoError(t, err)
	assert.Equal(t, string(raw), string(text))
}
