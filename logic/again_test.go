package logic

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request that must not run twice and was turned away unseen goes on to another server, each time, as long
// as attempts are allowed and there is one; then its refusal is true.
func TestUnsafeTurnedAwayGoesOnToOtherServers(t *testing.T) {
	for _, tt := range []struct{ most, servers, want int }{{2, 6, 2}, {3, 6, 3}, {5, 6, 5}, {6, 6, 6}, {0, 6, 6}, {4, 2, 2}, {4, 1, 1}, {1, 6, 1}} {
		for seed := range 20 {
			cfg := testSettings()
			cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Effect: Unsafe, MaxAttempts: tt.most}}
			cfg.MaxAttempts = 0
			b, err := New(cfg, uint64(seed))
			require.NoError(t, err)
			b.Handle(0, ServerList{Kind: ListFull, Servers: alike(tt.servers)})
			tried, last := turnedAway(b, ms, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms})
			name := fmt.Sprintf("%+v seed %d: %v", tt, seed, tried)
			assert.Len(t, tried, tt.want, name)
			each := map[ServerID]bool{}
			for _, id := range tried {
				each[id] = true
			}
			assert.Len(t, each, len(tried), "no server twice: %s", name)
			assert.Len(t, of[Reject](last), 1, name)
			assert.Empty(t, of[Fail](last), name)
		}
	}
}

// Once an attempt may have run it goes nowhere else, and without time left none is made.
func TestUnsafeStopsWhereItMayHaveRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		second Outcome
		at     time.Duration
		fails  bool
	}{
		{"may have run", Outcome{ID: "r", Attempt: 1, Result: Reset, Latency: ms}, 3 * ms, true},
		{"no time left", Outcome{ID: "r", Attempt: 1, Result: QueueFull, Latency: ms}, 301*ms - minWithin/2, true},
		{"no chance left", Outcome{ID: "r", Attempt: 1, Result: QueueFull, Latency: ms}, 260 * ms, false},
	} {
		cfg := testSettings()
		cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 300 * ms, Effect: Unsafe}}
		b := newNode(t, cfg, alike(6)...)
		first := of[Send](b.Handle(ms, Request{ID: "r", Class: "c", ClientTimeout: 300 * ms}))
		require.Len(t, first, 1)
		second := of[Send](b.Handle(2*ms, Outcome{ID: "r", Result: ConnectFailed, Server: first[0].Server, Latency: ms}))
		require.Len(t, second, 1, tt.name)
		tt.second.Server = second[0].Server
		out := b.Handle(tt.at, tt.second)
		assert.Empty(t, of[Send](out), tt.name)
		assert.Equal(t, tt.fails, len(of[Fail](out)) == 1, tt.name)
		assert.Equal(t, !tt.fails, len(of[Reject](out)) == 1, tt.name)
	}
}
