package dispatch

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/counters"
	"pipitmux/internal/message"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/station/routing"
)

// fleet is so many servers in each of three zones.
func fleet(each int) (servers []protocol.Server) {
	for i := range 3 * each {
		servers = append(servers, protocol.Server{ID: fmt.Sprint("i-", i), Zone: fmt.Sprint("z", i%3)})
	}
	return servers
}

func ids(servers []protocol.Server) map[string]bool {
	set := map[string]bool{}
	for _, s := range servers {
		set[s.ID] = true
	}
	return set
}

func TestSubsetsCoverAllServersEvenly(t *testing.T) {
	servers, nodes, size := fleet(15), 69, 8
	by := map[string]int{}
	for n := range nodes {
		chosen := subset(servers, fmt.Sprint("edge-", n), fmt.Sprint("z", n%3), size)
		assert.Equal(t, len(chosen), size)
		for _, s := range chosen {
			assert.Equal(t, s.Zone, fmt.Sprint("z", n%3), "a zone with enough servers is left by nobody")
			by[s.ID]++
		}
	}
	assert.Equal(t, len(by), len(servers), "each server has nodes")
	mean := float64(nodes*size) / float64(len(servers))
	for id, count := range by {
		assert.Assert(t, float64(count) < 2*mean, "%s has %d nodes, %.1f in the mean", id, count, mean)
	}
}

func TestAServerThatGoesChangesLittle(t *testing.T) {
	servers, size := fleet(15), 8
	moved := 0
	for n := range 100 {
		node := fmt.Sprint("edge-", n)
		before := ids(subset(servers, node, "z0", size))
		after := ids(subset(servers[1:], node, "z0", size))
		for id := range after {
			if !before[id] {
				moved++
			}
		}
		if !before["i-0"] {
			assert.DeepEqual(t, before, after)
		}
	}
	assert.Assert(t, moved > 0 && moved <= 100, "one server each at most: %d", moved)
}

func TestSubsetsTakeOtherZonesInWhereTheirOwnHasTooFew(t *testing.T) {
	servers := fleet(3)
	chosen := subset(servers, "edge-1", "z1", 8)
	assert.Equal(t, len(chosen), 8)
	own := 0
	for _, s := range chosen {
		if s.Zone == "z1" {
			own++
		}
	}
	assert.Equal(t, own, 3)
	assert.Equal(t, len(subset(servers, "edge-1", "z9", 8)), 8, "and where it has none")
	assert.Equal(t, len(subset(servers, "edge-1", "z1", 9)), 9)
	assert.Equal(t, len(subset(nil, "edge-1", "z1", 8)), 0)
}

func TestSubsetsKeepDrainingServers(t *testing.T) {
	servers := fleet(15)
	for i := range 30 {
		servers[i].Draining = true
	}
	chosen := subset(servers, "edge-1", "z1", 8)
	taking := 0
	for _, s := range chosen {
		if !s.Draining {
			taking++
		}
	}
	assert.Equal(t, len(chosen), 38)
	assert.Equal(t, taking, 8)
}

func TestSubsetsGrowWithDemandAndShrinkLate(t *testing.T) {
	now := time.Unix(1000, 0)
	var d demand
	assert.Equal(t, subsetSize(0, d.now(now)), subsetLeast)
	for range 20 {
		d.begin(now)
	}
	size := subsetSize(subsetLeast, d.now(now))
	assert.Equal(t, size, 40)
	for range 20 {
		d.end()
	}
	assert.Equal(t, subsetSize(size, d.now(now.Add(busyHalfLife/2))), size, "connections are kept for a while")
	assert.Equal(t, subsetSize(size, d.now(now.Add(2*busyHalfLife))), 10)
	assert.Equal(t, subsetSize(size, d.now(now.Add(10*busyHalfLife))), subsetLeast)
	d.begin(now.Add(10 * busyHalfLife))
	assert.Equal(t, d.most, 1.0, "what was long ago is forgotten")
}

// A node's subset grows as soon as more goes out at once, and is kept when the list changes.
func TestDispatcherFitsTheSubsetToDemand(t *testing.T) {
	d := New(Options{
		Zone: "z0", Name: "edge-1", Conns: 100, Budget: message.NewBudget(1 << 20), Count: counters.New(),
		Log: slog.New(slog.DiscardHandler),
	})
	t.Cleanup(d.Close)
	configuration, err := routing.Parse([]byte(`{"configRevision":1,"virtualServers":[
{"name":"reads","hostHeader":"h","pathPrefix":"/","trafficClass":"idempotent","timeoutMs":5000,"targetLatencyMs":250,"poolName":"tools","retryLimit":2}],
"pools":[{"name":"tools"}]}`))
	assert.NilError(t, err)
	d.Configure(configuration)
	tell := func(servers []protocol.Server) {
		d.Servers(protocol.ServicePartition("tools"), []protocol.ServerList{{Service: "tools", Version: 1, Servers: servers}})
	}
	sentTo := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.services["tools"].servers)
	}
	tell(fleet(15))
	assert.Equal(t, sentTo(), subsetLeast)
	var ends []func()
	for range 10 {
		ends = append(ends, d.Begin("tools"))
	}
	assert.Equal(t, sentTo(), busyTimes*10)
	for _, end := range ends {
		end()
	}
	tell(fleet(15)[1:])
	assert.Equal(t, sentTo(), busyTimes*10, "connections are kept")
	d.services["tools"].avoided.Store(3)
	tell(fleet(15))
	assert.Equal(t, sentTo(), busyTimes*10+3, "others stand in for those that are set aside")
	d.Begin("unknown")()
}
