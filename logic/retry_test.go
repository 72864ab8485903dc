package logic

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An unsafe request that a full queue rejected moves on to another server each time, while attempts are allowed and
// servers are left; then it is rejected truthfully, as it never ran.
func TestRejectedUnsafeAttemptMovesToOtherServers(t *testing.T) {
	for _, tt := range []struct{ most, servers, want int }{{2, 6, 2}, {3, 6, 3}, {5, 6, 5}, {6, 6, 6}, {0, 6, 6}, {4, 2, 2}, {4, 1, 1}, {1, 6, 1}} {
		for seed := range 20 {
			cfg := testSettings()
			cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Effect: Unsafe, MaxAttempts: tt.most}}
			cfg.MaxAttempts = 0
			b, err := New(cfg, uint64(seed))
			require.NoError(t, err)
			b.Handle(0, ServerList{Kind: ListFull, Servers: equalServers(tt.servers)})
			tried, last := rejectAttempts(b, ms, Request{ID: "r", Class: "c", ClientTimeout: 600 * ms})
			name := fmt.Sprintf("%+v seed %d: %v", tt, seed, tried)
			assert.Len(t, tried, tt.want, name)
			each := map[ServerID]bool{}
			for _, id := range tried {
				each[id] = true
			}
			assert.Len(t, each, len(tried), "no server twice: %s", name)
			assert.Len(t, actionsOf[Reject](last), 1, name)
			assert.Empty(t, actionsOf[Fail](last), name)
		}
	}
}

// Once an attempt may have run there is no other, nor without time left.
func TestUnsafeIsNotRetriedIfItMayHaveRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		second Outcome
		at     time.Duration
		fails  bool
	}{
		{"may have run", Outcome{ID: "r", Attempt: 1, Result: Reset, Latency: ms}, 3 * ms, true},
		{"no time left", Outcome{ID: "r", Attempt: 1, Result: QueueFull, Latency: ms}, 301*ms - minTimeout/2, true},
		{"no chance left", Outcome{ID: "r", Attempt: 1, Result: QueueFull, Latency: ms}, 260 * ms, false},
	} {
		cfg := testSettings()
		cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 300 * ms, Effect: Unsafe}}
		b := newTestBalancer(t, cfg, equalServers(6)...)
		first := actionsOf[Send](b.Handle(ms, Request{ID: "r", Class: "c", ClientTimeout: 300 * ms}))
		require.Len(t, first, 1)
		second := actionsOf[Send](b.Handle(2*ms, Outcome{ID: "r", Result: ConnectFailed, Server: first[0].Server, Latency: ms}))
		require.Len(t, second, 1, tt.name)
		tt.second.Server = second[0].Server
		out := b.Handle(tt.at, tt.second)
		assert.Empty(t, actionsOf[Send](out), tt.name)
		assert.Equal(t, tt.fails, len(actionsOf[Fail](out)) == 1, tt.name)
		assert.Equal(t, !tt.fails, len(actionsOf[Reject](out)) == 1, tt.name)
	}
}
