package dispatch

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/message"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
)

// serversInThreeZones returns perZone servers in each of three zones.
func serversInThreeZones(perZone int) (servers []protocol.Server) {
	for i := range 3 * perZone {
		servers = append(servers, protocol.Server{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%3)})
	}
	return servers
}

func idSet(servers []protocol.Server) map[string]bool {
	set := map[string]bool{}
	for _, s := range servers {
		set[s.ID] = true
	}
	return set
}

func TestSubsetsCoverAllServersEvenly(t *testing.T) {
	servers, nodes, size := serversInThreeZones(15), 69, 8
	nodesByServer := map[string]int{}
	for n := range nodes {
		chosen := subset(servers, fmt.Sprint("edge-", n), fmt.Sprint("z", n%3), size)
		assert.Equal(t, len(chosen), size)
		for _, s := range chosen {
			assert.Equal(t, s.Zone, fmt.Sprint("z", n%3), "a node whose zone has enough servers stays in its zone")
			nodesByServer[s.ID]++
		}
	}
	assert.Equal(t, len(nodesByServer), len(servers), "every server is in the subset of some node")
	mean := float64(nodes*size) / float64(len(servers))
	for id, count := range nodesByServer {
		assert.Assert(t, float64(count) < 2*mean, "server %s is in the subsets of %d nodes, the mean is %.1f", id, count, mean)
	}
}

func TestRemovedServerChangesEachSubsetByAtMostOne(t *testing.T) {
	servers, size := serversInThreeZones(15), 8
	moved := 0
	for n := range 100 {
		node := fmt.Sprint("edge-", n)
		before := idSet(subset(servers, node, "z0", size))
		after := idSet(subset(servers[1:], node, "z0", size))
		for id := range after {
			if !before[id] {
				moved++
			}
		}
		if !before["i-0"] {
			assert.DeepEqual(t, before, after)
		}
	}
	assert.Assert(t, moved > 0 && moved <= 100, "each subset changes by at most one server: %d changes", moved)
}

func TestSubsetsUseOtherZonesWhenOwnZoneIsTooSmall(t *testing.T) {
	servers := serversInThreeZones(3)
	chosen := subset(servers, "edge-1", "z1", 8)
	assert.Equal(t, len(chosen), 8)
	own := 0
	for _, s := range chosen {
		if s.Zone == "z1" {
			own++
		}
	}
	assert.Equal(t, own, 3)
	assert.Equal(t, len(subset(servers, "edge-1", "z9", 8)), 8, "a zone without servers")
	assert.Equal(t, len(subset(servers, "edge-1", "z1", 9)), 9)
	assert.Equal(t, len(subset(nil, "edge-1", "z1", 8)), 0)
}

func TestSubsetsIncludeAllDrainingServers(t *testing.T) {
	servers := serversInThreeZones(15)
	for i := range 30 {
		servers[i].Draining = true
	}
	chosen := subset(servers, "edge-1", "z1", 8)
	accepting := 0
	for _, s := range chosen {
		if !s.Draining {
			accepting++
		}
	}
	assert.Equal(t, len(chosen), 38)
	assert.Equal(t, accepting, 8)
}

func TestSubsetsGrowWithDemandAndShrinkSlowly(t *testing.T) {
	now := time.Unix(1000, 0)
	var d demand
	assert.Equal(t, subsetSize(0, d.decayedPeak(now)), minSubsetSize)
	for range 20 {
		d.begin(now)
	}
	size := subsetSize(minSubsetSize, d.decayedPeak(now))
	assert.Equal(t, size, 40)
	for range 20 {
		d.end()
	}
	assert.Equal(t, subsetSize(size, d.decayedPeak(now.Add(demandHalfLife/2))), size, "a subset must not shrink at once, which would close connections")
	assert.Equal(t, subsetSize(size, d.decayedPeak(now.Add(2*demandHalfLife))), 10)
	assert.Equal(t, subsetSize(size, d.decayedPeak(now.Add(10*demandHalfLife))), minSubsetSize)
	d.begin(now.Add(10 * demandHalfLife))
	assert.Equal(t, d.peak, 1.0, "an old peak must decay")
}

// A node's subset must grow as soon as more requests are in flight, and must not shrink when the
// server list changes.
func TestDispatcherGrowsSubsetWithDemandAndKeepsItOnListChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{
			Zone: "z0", Name: "edge-1", MaxConns: 100, Budget: message.NewBudget(1 << 20), Counters: counters.New(),
			Log: slog.New(slog.DiscardHandler),
		})
		t.Cleanup(d.Close)
		configuration, err := routing.Parse([]byte(`{"configRevision":1,"virtualServers":[
{"name":"reads","hostHeader":"h","pathPrefix":"/","trafficClass":"idempotent","timeoutMs":5000,"targetLatencyMs":250,"poolName":"tools","retryLimit":2}],
"pools":[{"name":"tools"}]}`))
		assert.NilError(t, err)
		d.Configure(configuration)
		updateServers := func(servers []protocol.Server) {
			d.UpdateServers(protocol.ServicePartition("tools"), []protocol.ServerList{{Service: "tools", Version: 1, Servers: servers}})
		}
		subsetLen := func() int {
			d.mu.Lock()
			defer d.mu.Unlock()
			return len(d.services["tools"].servers)
		}
		updateServers(serversInThreeZones(15))
		assert.Equal(t, subsetLen(), minSubsetSize)
		var ends []func()
		for range 10 {
			ends = append(ends, d.BeginRequest("tools"))
		}
		assert.Equal(t, subsetLen(), serversPerRequest*10)
		for _, end := range ends {
			end()
		}
		updateServers(serversInThreeZones(15)[1:])
		assert.Equal(t, subsetLen(), serversPerRequest*10, "the subset size is kept when the list changes")
		synctest.Wait() // the event loop has reported its own count, and does so again only when time has passed
		d.services["tools"].setBackendCounts(core.BackendCounts{Avoided: 4, Draining: 1})
		updateServers(serversInThreeZones(15))
		assert.Equal(t, subsetLen(), serversPerRequest*10+3, "avoided servers are replaced by others")
		d.BeginRequest("unknown")()
	})
}
