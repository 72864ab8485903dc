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

	"pipitmux/internal/durable"
	"pipitmux/internal/standin"
)

// Nodes that are killed with -9 together serve again from what each wrote down, while the
// registry says nothing; torn, foreign and other versions' files are refused by name, and
// what is from the future is not learned.
func TestStateOutlivesAKill(t *testing.T) {
	b := newBackend(t, ok)
	dir := t.TempDir()
	own := filepath.Join(dir, "own.yaml")
	require.NoError(t, os.WriteFile(own, []byte("state: {dir: "+dir+"}\n"), 0o600))
	d := newRegistry(t)
	var configs []object
	var nodes []*node
	for range 3 {
		c := configure(t, freeAddr(t), d.Addr, list(0, true), settings())
		n := startWith(t, c, "node", "--config", own)
		receive(t, d.Watch, "a watch") <- line(t, list(9, true, target("s-0", b.Addr, "in_service", 0)))
		configs, nodes = append(configs, c), append(nodes, n)
	}
	for i, n := range nodes {
		n.until("it serves", func() bool { a := n.ask("topup"); return a.status == 200 })
		file := stateFile(dir, configs[i]["listen"].(string))
		n.until("its list is on disk", func() bool {
			text, err := durable.Read(file)
			return err == nil && bytes.Contains(text, []byte(b.Addr))
		})
	}
	for _, n := range nodes {
		require.NoError(t, n.cmd.Process.Kill())
		<-n.end
	}
	restart := func(i int) *node {
		n := startWith(t, configs[i], "node", "--config", own)
		receive(t, d.Watch, "a watch") <- standin.FallSilent
		return n
	}
	n := restart(0)
	assert.Equal(t, 200, n.ask("topup").status, "from its file alone")
	assert.Contains(t, n.log.String(), "learned=true")

	file := stateFile(dir, configs[1]["listen"].(string))
	whole, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, whole[:len(whole)/2], 0o600))
	n = restart(1)
	assert.Equal(t, 503, n.ask("topup").status, "it starts clean")
	assert.Contains(t, n.log.String(), "torn")

	file = stateFile(dir, configs[2]["listen"].(string))
	whole, err = os.ReadFile(file)
	require.NoError(t, err)
	whole[len("oakseam")]++
	require.NoError(t, os.WriteFile(file, whole, 0o600))
	n = restart(2)
	assert.Equal(t, 503, n.ask("topup").status)
	assert.Contains(t, n.log.String(), "of another version")

	// The clock has stepped back by a minute between stop and start.
	p := &place{log: slog.New(slog.DiscardHandler)}
	p.recall(stateFile(dir, configs[0]["listen"].(string)), time.Now().Add(-time.Minute))
	assert.Len(t, p.known.Targets, 1)
	assert.Empty(t, p.learned)
}
