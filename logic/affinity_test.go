package logic

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// affinityNode is a node with equal servers s0 to s5 that answer well within the aim.
func affinityNode(t *testing.T, seed uint64, effect Effect) *Balancer {
	t.Helper()
	cfg := testSettings()
	cfg.SecondCopies = false
	cfg.Classes = []Class{{Name: "c", Aim: 10 * time.Second, Deadline: 20 * time.Second, Worth: 2, Effect: effect}}
	b, err := New(cfg, seed)
	require.NoError(t, err)
	b.Handle(0, ServerList{Kind: ListFull, Servers: alike(6)})
	for _, s := range b.ready {
		answers(s, 1e6, 0.13)
	}
	return b
}

func ask(t *testing.T, b *Balancer, id string, prefer ...ServerID) ServerID {
	t.Helper()
	sends := of[Send](b.Handle(b.now+ms, Request{ID: RequestID(id), Class: "c", ClientTimeout: 20 * time.Second, Preferred: prefer}))
	require.Len(t, sends, 1)
	return sends[0].Server
}

// The first preferred server that is fit gets the first send, whatever the usual pick; where none is fit the
// usual pick stays.
func TestPreferredServerTakesTheFirstSend(t *testing.T) {
	for _, tt := range []struct {
		name   string
		prefer []ServerID
		spoil  func(b *Balancer, s *server) // of s3
		want   ServerID                     // "": the usual
	}{
		{"none", nil, nil, ""},
		{"fit", []ServerID{"s3", "s5"}, nil, "s3"},
		{"in their order", []ServerID{"s5", "s3"}, nil, "s5"},
		{"unknown", []ServerID{"nonesuch", "s5"}, nil, "s5"},
		{"only unknown", []ServerID{"nonesuch"}, nil, ""},
		{"drains", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { s.State = Draining }, "s5"},
		{"set aside", []ServerID{"s3", "s5"}, func(b *Balancer, s *server) {
			s.bad, s.until, b.borne = outlierAfter, time.Hour, 1 // its loss is borne: nothing is refused for it
		}, "s5"},
		{"holds as many as it may", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { s.inflight = 4 }, "s3"},
		{"crowded", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { s.inflight = 5 }, "s5"},
		{"nearly as good", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { mostly(s, 0.97) }, "s3"},
		{"clearly worse", []ServerID{"s3", "s5"}, func(_ *Balancer, s *server) { mostly(s, 0.9) }, "s5"},
		{"clearly worse, no other", []ServerID{"s3"}, func(_ *Balancer, s *server) { mostly(s, 0.9) }, ""},
	} {
		usual := map[ServerID]bool{}
		for seed := range uint64(30) {
			play := func(prefer ...ServerID) ServerID {
				b := affinityNode(t, seed, Safe)
				if tt.spoil != nil {
					tt.spoil(b, b.servers["s3"])
				}
				return ask(t, b, "r", prefer...)
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

// mostly makes a server answer a part of its requests, and the rest never.
func mostly(s *server, part float64) {
	answers(s, 0, 0.13)
	s.stats.add(0, halfLife, 0.13, false)
	s.stats.add(0, halfLife, math.Inf(1), false)
	for i := range s.stats.done {
		s.stats.done[i] *= 1e6
	}
	for i := range bins {
		s.stats.done[i] *= part
	}
	s.stats.done[bins] *= 1 - part
}

// Where all requests prefer one server it takes its bound of them, and the others share the rest.
func TestAPreferredServerIsNotOverrun(t *testing.T) {
	b := affinityNode(t, 1, Safe)
	held := map[ServerID]int{}
	const n = 60
	for i := range n {
		b.room = roomMost
		held[ask(t, b, fmt.Sprint(i), "s0")]++
		bound := heldLeast + heldTimes*float64(i+1)/6
		assert.LessOrEqual(t, float64(held["s0"]), bound+1)
	}
	assert.Greater(t, held["s0"], n/6+2, "more than its even part")
	for _, s := range b.ready {
		assert.Greater(t, held[s.ID], n/12, "%s: %v", s.ID, held)
	}
}

// Whom a request prefers changes nothing of whether it is refused at once.
func TestPreferenceIsNoWayPastARefusal(t *testing.T) {
	refused := 0
	for seed := range uint64(40) {
		play := func(prefer ...ServerID) int {
			b := affinityNode(t, seed, Safe)
			b.classes["c"].scale = 200 // seconds: no server can be in time
			for _, s := range b.ready {
				answers(s, 1e6, 1)
			}
			return len(of[Reject](b.Handle(ms, Request{ID: "r", Class: "c", ClientTimeout: 20 * time.Second, Preferred: prefer})))
		}
		usual := play()
		assert.Equal(t, usual, play("s3"), "seed %d", seed)
		refused += usual
	}
	assert.Greater(t, refused, 20)
	assert.Less(t, refused, 40, "a few are let in all the same")
}

// The time-out and the alternative are those of the preferred server: it answers 97% by 0.25 of a usual latency
// and nothing later, so a retry follows after that.
func TestThetaOfThePreferredServer(t *testing.T) {
	for seed := range uint64(20) {
		b := affinityNode(t, seed, Safe)
		mostly(b.servers["s3"], 0.97)
		b.classes["c"].scale = 10
		sends := of[Send](b.Handle(ms, Request{ID: "r", Class: "c", ClientTimeout: 20 * time.Second, Preferred: []ServerID{"s3"}}))
		require.Len(t, sends, 1)
		require.Equal(t, ServerID("s3"), sends[0].Server)
		assert.Less(t, sends[0].Timeout, 9*time.Second)
		assert.Greater(t, sends[0].Timeout, time.Second)
		require.NotNil(t, b.reqs["r"].alt)
		assert.NotEqual(t, ServerID("s3"), b.reqs["r"].alt.ID)
	}
}

// After a promise of not having run the next preferred server is asked, then any; after what may have run the
// alternative, as ever.
func TestRetryGoesToTheNextPreferred(t *testing.T) {
	for seed := range uint64(20) {
		b := affinityNode(t, seed, Unsafe)
		tried, _ := turnedAway(b, ms, Request{ID: "r", Class: "c", ClientTimeout: 20 * time.Second, Preferred: []ServerID{"s3", "s5"}})
		require.Len(t, tried, 4, "as many as may be")
		assert.Equal(t, []ServerID{"s3", "s5"}, tried[:2])
		assert.NotContains(t, tried[2:], ServerID("s3"))
		assert.NotContains(t, tried[2:], ServerID("s5"))

		b = affinityNode(t, seed, Unsafe)
		b.servers["s5"].inflight = 5
		tried, _ = turnedAway(b, ms, Request{ID: "r", Class: "c", ClientTimeout: 20 * time.Second, Preferred: []ServerID{"s3", "s5", "s4"}})
		assert.Equal(t, []ServerID{"s3", "s4"}, tried[:2], "the crowded one is passed over")

		b = affinityNode(t, seed, Safe)
		require.Equal(t, ServerID("s3"), ask(t, b, "r", "s3", "s5"))
		alt := b.servers["s1"]
		b.reqs["r"].alt = alt
		again := of[Send](b.Handle(b.now+ms, Outcome{ID: "r", Result: Failed, Server: "s3", Latency: ms}))
		require.Len(t, again, 1)
		assert.Equal(t, alt.ID, again[0].Server, "it may have run")
	}
}

// A request's own worth counts in place of its class's: what is worth less is refused sooner, and beyond its
// tenant's share it counts for that part.
func TestWorthOfARequest(t *testing.T) {
	cfg := testSettings()
	cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, Worth: 4}}
	cfg.Tenants = []Tenant{{Name: "t"}}
	cfg.OverShareWorth = 0.25
	b := newNode(t, cfg, alike(2)...)
	admit := func(id RequestID, worth float64, tenant string) *request {
		return b.admit(Request{ID: id, Class: "c", ClientTimeout: 600 * ms, Worth: worth, Tenant: tenant}, b.classes["c"])
	}
	usual, less, more := admit("usual", 0, ""), admit("less", 1, ""), admit("more", 16, "")
	assert.Equal(t, []float64{4, 1, 16}, []float64{usual.worth, less.worth, more.worth})
	assert.Greater(t, b.enough(less), b.enough(usual))
	assert.Less(t, b.enough(more), b.enough(usual))
	assert.EqualValues(t, 4, admit("below 0", -3, "").worth)
	for i := range int(quotaLeast) {
		admit(RequestID(fmt.Sprint(i)), 16, "t")
	}
	assert.EqualValues(t, 4, admit("beyond", 16, "t").worth)
	assert.EqualValues(t, 1, admit("beyond, as its class", 0, "t").worth)
}
