package main

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/durable"
	"oakseam/internal/fakes"
)

// Nodes killed together with SIGKILL must serve again from their state files while the registry
// is silent. Torn files and those of other versions must be rejected with the reason, and learned
// state from the future must not be used.
func TestStateSurvivesKill(t *testing.T) {
	b := newBackend(t, ok)
	dir := t.TempDir()
	optionsFile := filepath.Join(dir, "own.yaml")
	require.NoError(t, os.WriteFile(optionsFile, []byte("state: {dir: "+dir+"}\n"), 0o600))
	d := newRegistry(t)
	var configs []object
	var nodes []*node
	for range 3 {
		c := configure(t, freeAddr(t), d.Addr, list(0, true), settings())
		n := startWith(t, c, "node", "--config", optionsFile)
		receive(t, d.Watches, "a watch") <- line(t, list(9, true, target("s-0", b.Addr, "in_service", 0)))
		configs, nodes = append(configs, c), append(nodes, n)
	}
	for i, n := range nodes {
		n.waitUntil("the node serves", func() bool { a := n.ask("topup"); return a.status == 200 })
		file := stateFileName(dir, configs[i]["listen"].(string))
		n.waitUntil("the list is on disk", func() bool {
			text, err := durable.Read(file)
			return err == nil && bytes.Contains(text, []byte(b.Addr))
		})
	}
	for _, n := range nodes {
		require.NoError(t, n.cmd.Process.Kill())
		<-n.exit
	}
	restart := func(i int) *node {
		n := startWith(t, configs[i], "node", "--config", optionsFile)
		receive(t, d.Watches, "a watch") <- fakes.FallSilent
		return n
	}
	n := restart(0)
	assert.Equal(t, 200, n.ask("topup").status, "served from its state file alone")
	assert.Contains(t, n.log.String(), "learned=true")

	file := stateFileName(dir, configs[1]["listen"].(string))
	content, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, content[:len(content)/2], 0o600))
	n = restart(1)
	assert.Equal(t, 503, n.ask("topup").status, "starts without state")
	assert.Contains(t, n.log.String(), "torn")

	file = stateFileName(dir, configs[2]["listen"].(string))
	content, err = os.ReadFile(file)
	require.NoError(t, err)
	content[len("oakseam")]++
	require.NoError(t, os.WriteFile(file, content, 0o600))
	n = restart(2)
	assert.Equal(t, 503, n.ask("topup").status)
	assert.Contains(t, n.log.String(), "of another version")

	// The clock was set back by a minute between stop and start.
	handoff := &takeover{log: slog.New(slog.DiscardHandler)}
	handoff.restore(stateFileName(dir, configs[0]["listen"].(string)), time.Now().Add(-time.Minute))
	assert.Len(t, handoff.known.Targets, 1)
	assert.Empty(t, handoff.moduleState)
}
