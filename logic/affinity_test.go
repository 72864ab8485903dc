package logic

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newAffinityBalancer returns a node with equal servers s0 to s5 that answer well within the aim.
func newAffinityBalancer(t *testing.T, seed uint64, effect Effect) *Balancer {
	t.Helper()
	cfg := testSettings()
	cfg.SecondCopies = false
	cfg.Classes = []Class{{Name: "c", Aim: 10 * time.Second, Deadline: 20 * time.Second, Worth: 2, Effect: effect}}
	b, err := New(cfg, seed)
	require.NoError(t, err)
	b.Handle(0, ServerList{Kind: ListFull, Servers: equalServers(6)})
	for _, s := range b.ready {
		setLatencies(s, 1e6, 0.13)
	}
	return b
}

func sendPreferring(t *testing.T, b *Balancer, id string, prefer ...ServerID) ServerID {
	t.Helper()
	sends := actionsOf[Send](b.Handle(b.now+ms, Request{ID: RequestID(id), Class: "c", ClientTimeout: 20 * time.Second, Preferred: prefer}))
	require.Len(t, sends, 1)
	return sends[0].Server
}

// The first preferred server that is fit gets the first attempt, whatever the usual pick; if none is fit, the
// usual pick stays.
func TestPreferredServerGetsFirstAttempt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		prefer []ServerID
		modify func(b *Balancer, s *server) // changes s3
		want   ServerID                     // "": the usual pick
	}{
		{"none", nil, nil, ""},
		{"fit", []ServerID{"s3", "s5"}, nil, "s3"},
		{"in their order", []ServerID{"s5", "s3"}, nil, "s5"},
		{"unknown", []ServerID{"nonesuch", "s5"}, nil, "s5"},
		{"only unknown", []ServerID{"nonesuch"}, nil, ""},
		{"draining", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { s.State = Draining }, "s5"},
		{"ejected", []ServerID{"s3", "s5"}, func(b *Balancer, s *server) {
			s.failures, s.ejectedUntil, b.toleratedLoss = ejectAfter, time.Hour, 1 // its loss is tolerated: nothing is rejected for it
		}, "s5"},
		{"holds as many as it may", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { s.inflight = 4 }, "s3"},
		{"overloaded", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { s.inflight = 5 }, "s5"},
		{"nearly as good", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { setAnswerShare(s, 0.97) }, "s3"},
		{"clearly worse", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { setAnswerShare(s, 0.9) }, "s5"},
		{"clearly worse, no other", []ServerID{"s3"}, func(_ *Balancer, s *server) { setAnswerShare(s, 0.9) }, ""},
	} {
		usual := map[ServerID]bool{}
		for seed := range uint64(30) {
			play := func(prefer ...ServerID) ServerID {
				b := newAffinityBalancer(t, seed, Safe)
				if tt.modify != nil {
					tt.modify(b, b.servers["s3"])
				}
				return sendPreferring(t, b, "r", prefer...)
			}
			plain := play()
			usual[plain] = true
			want := tt.want
			if want == "" {
				want = plain
			}
			assert.Equal(t, want, play(tt.prefer...), "%s, seed %d", tt.name, seed)
		}
		assert.Greater(t, len(usual), 2, "%s: the usual pick differs by seed", tt.name)
	}
}

// setAnswerShare makes a server answer this share of its requests, and the rest never.
func setAnswerShare(s *server, part float64) {
	setLatencies(s, 0, 0.13)
	s.latencies.add(0, serverHalfLife, 0.13, false)
	s.latencies.add(0, serverHalfLife, math.Inf(1), false)
	for i := range s.latencies.answered {
		s.latencies.answered[i] *= 1e6
	}
	for i := range bins {
		s.latencies.answered[i] *= part
	}
	s.latencies.answered[bins] *= 1 - part
}

// If all requests prefer one server, it takes its bound of them and the others share the rest.
func TestPreferredServerIsNotOverloaded(t *testing.T) {
	b := newAffinityBalancer(t, 1, Safe)
	held := map[ServerID]int{}
	const n = 60
	for i := range n {
		b.sendTokens = maxSendTokens
		held[sendPreferring(t, b, fmt.Sprint(i), "s0")]++
		bound := minAffinityLoad + affinityScale*float64(i+1)/6
		assert.LessOrEqual(t, float64(held["s0"]), bound+1)
	}
	assert.Greater(t, held["s0"], n/6+2, "more than its even part")
	for _, s := range b.ready {
		assert.Greater(t, held[s.ID], n/12, "%s: %v", s.ID, held)
	}
}

// Preferred servers don't change whether a request is rejected at once.
func TestPreferenceDoesNotBypassRejection(t *testing.T) {
	rejected := 0
	for seed := range uint64(40) {
		play := func(prefer ...ServerID) int {
			b := newAffinityBalancer(t, seed, Safe)
			b.classes["c"].median = 200 // seconds: no server can be in time
			for _, s := range b.ready {
				setLatencies(s, 1e6, 1)
			}
			return len(actionsOf[Reject](b.Handle(ms, Request{ID: "r", Class: "c", ClientTimeout: 20 * time.Second, Preferred: prefer})))
		}
		usual := play()
		assert.Equal(t, usual, play("s3"), "seed %d", seed)
		rejected += usual
	}
	assert.Greater(t, rejected, 20)
	assert.Less(t, rejected, 40, "a few are sent as probes")
}

// Timeout and alternative are those of the preferred server: it answers 97% by 0.25 of a usual latency
// and nothing later, so a retry follows after that.
func TestTimeoutIsComputedForPreferredServer(t *testing.T) {
	for seed := range uint64(20) {
		b := newAffinityBalancer(t, seed, Safe)
		setAnswerShare(b.servers["s3"], 0.97)
		b.classes["c"].median = 10
		sends := actionsOf[Send](b.Handle(ms, Request{ID: "r", Class: "c", ClientTimeout: 20 * time.Second, Preferred: []ServerID{"s3"}}))
		require.Len(t, sends, 1)
		require.Equal(t, ServerID("s3"), sends[0].Server)
		assert.Less(t, sends[0].Timeout, 9*time.Second)
		assert.Greater(t, sends[0].Timeout, time.Second)
		require.NotNil(t, b.requests["r"].alternative)
		assert.NotEqual(t, ServerID("s3"), b.requests["r"].alternative.ID)
	}
}

// After an attempt that never ran the next preferred server is tried, then any; after one that may have run, the
// alternative.
func TestRetryGoesToNextPreferredServer(t *testing.T) {
	for seed := range uint64(20) {
		b := newAffinityBalancer(t, seed, Unsafe)
		tried, _ := rejectAttempts(b, ms, Request{ID: "r", Class: "c", ClientTimeout: 20 * time.Second, Preferred: []ServerID{"s3", "s5"}})
		require.Len(t, tried, 4, "as many as allowed")
		assert.Equal(t, []ServerID{"s3", "s5"}, tried[:2])
		assert.NotContains(t, tried[2:], ServerID("s3"))
		assert.NotContains(t, tried[2:], ServerID("s5"))

		b = newAffinityBalancer(t, seed, Unsafe)
		b.servers["s5"].inflight = 5
		tried, _ = rejectAttempts(b, ms, Request{ID: "r", Class: "c", ClientTimeout: 20 * time.Second, Preferred: []ServerID{"s3", "s5", "s4"}})
		assert.Equal(t, []ServerID{"s3", "s4"}, tried[:2], "the overloaded one is skipped")

		b = newAffinityBalancer(t, seed, Safe)
		require.Equal(t, ServerID("s3"), sendPreferring(t, b, "r", "s3", "s5"))
		alt := b.servers["s1"]
		b.requests["r"].alternative = alt
		retries := actionsOf[Send](b.Handle(b.now+ms, Outcome{ID: "r", Result: Failed, Server: "s3", Latency: ms}))
		require.Len(t, retries, 1)
		assert.Equal(t, alt.ID, retries[0].Server, "it may have run")
	}
}

// A request's own worth replaces that of its class: a lower worth is rejected sooner, and beyond the tenant's quota
// only a share of it counts.
func TestRequestWorthOverridesClassWorth(t *testing.T) {
	cfg := testSettings()
	cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Worth: 4}}
	cfg.Tenants = []Tenant{{Name: "t"}}
	cfg.OverShareWorth = 0.25
	b := newTestBalancer(t, cfg, equalServers(2)...)
	admit := func(id RequestID, worth float64, tenant string) *request {
		return b.admit(Request{ID: id, Class: "c", ClientTimeout: 600 * ms, Worth: worth, Tenant: tenant}, b.classes["c"])
	}
	usual, less, more := admit("usual", 0, ""), admit("less", 1, ""), admit("more", 16, "")
	assert.Equal(t, []float64{4, 1, 16}, []float64{usual.worth, less.worth, more.worth})
	assert.Greater(t, b.requiredChance(less), b.requiredChance(usual))
	assert.Less(t, b.requiredChance(more), b.requiredChance(usual))
	assert.EqualValues(t, 4, admit("below 0", -3, "").worth)
	for i := range int(minQuota) {
		admit(RequestID(fmt.Sprint(i)), 16, "t")
	}
	assert.EqualValues(t, 4, admit("beyond", 16, "t").worth)
	assert.EqualValues(t, 1, admit("beyond, as its class", 0, "t").worth)
}
