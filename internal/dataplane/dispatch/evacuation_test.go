package dispatch

import (
	"context"
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

const evacuationService = "tools"

// newEvacuationDispatcher returns a Dispatcher in zone z0 with the service.
func newEvacuationDispatcher(t *testing.T) *Dispatcher {
	t.Helper()
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
	return d
}

// list sets the servers of the service.
func (d *Dispatcher) list(servers []protocol.Server) {
	d.UpdateServers(protocol.ServicePartition(evacuationService), []protocol.ServerList{{Service: evacuationService, Version: 1, Servers: servers}})
}

// acceptingZones returns the zones of the servers that requests may be sent or stick to.
func acceptingZones(t *testing.T, d *Dispatcher, servers []protocol.Server) map[string]int {
	t.Helper()
	zoneOf := map[string]string{}
	for _, s := range servers {
		zoneOf[s.ID] = s.Zone
	}
	zones := map[string]int{}
	d.mu.Lock()
	for _, c := range d.services[evacuationService].servers {
		zones[zoneOf[string(c.id)]]++
	}
	d.mu.Unlock()
	for i := range 50 {
		for _, id := range d.PreferredServers(evacuationService, fmt.Sprint("program-", i)) {
			assert.Assert(t, zones[zoneOf[string(id)]] > 0, "program-%d sticks to a server of %s", i, zoneOf[string(id)])
		}
	}
	return zones
}

// The servers of an evacuated zone leave the subset and the preferences, others take their place, and
// they come back when the zone is taken back.
func TestEvacuatedZoneIsReplacedByOthers(t *testing.T) {
	d, servers := newEvacuationDispatcher(t), serversInThreeZones(15)
	d.list(servers)
	assert.DeepEqual(t, acceptingZones(t, d, servers), map[string]int{"z0": minSubsetSize})
	d.SetEvacuatedZones([]string{"z0"})
	zones := acceptingZones(t, d, servers)
	assert.Equal(t, zones["z0"], 0)
	assert.Equal(t, zones["z1"]+zones["z2"], minSubsetSize)
	d.list(servers[1:]) // a list that comes later, also one from the platform, changes nothing
	assert.Equal(t, acceptingZones(t, d, servers)["z0"], 0)
	d.mu.Lock()
	_, known := d.evacuations.takenBackAt["z0"]
	d.mu.Unlock()
	assert.Assert(t, !known)
	began := time.Now()
	d.SetEvacuatedZones(nil)
	assert.DeepEqual(t, acceptingZones(t, d, servers), map[string]int{"z0": minSubsetSize})
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.evacuations.takenBackAt["z0"]
	assert.Assert(t, !at.Before(began) && !at.After(time.Now()))
}

// The servers that were avoided only because their zone was evacuated need no replacements once it is
// taken back: a larger subset would open connections for nothing.
func TestSubsetDoesNotGrowWhenAZoneIsTakenBack(t *testing.T) {
	d, servers := newEvacuationDispatcher(t), serversInThreeZones(15)
	d.list(servers)
	d.SetEvacuatedZones([]string{"z0"})
	late := core.BackendCounts{Listed: 45, Avoided: 15, Draining: 15}
	d.services[evacuationService].setBackendCounts(late) // as the event loop reports
	d.SetEvacuatedZones(nil)
	assert.DeepEqual(t, acceptingZones(t, d, servers), map[string]int{"z0": minSubsetSize})
	d.services[evacuationService].setBackendCounts(late) // of the list before, reported after the change
	d.list(servers)
	assert.DeepEqual(t, acceptingZones(t, d, servers), map[string]int{"z0": minSubsetSize})
}

// A process that restarts learns of the evacuation before the configuration and the lists.
func TestZoneEvacuatedBeforeTheFirstListGetsNothing(t *testing.T) {
	d, servers := newEvacuationDispatcher(t), serversInThreeZones(3)
	d.SetEvacuatedZones([]string{"z1"})
	assert.Assert(t, !d.Ready())
	d.list(servers)
	assert.DeepEqual(t, acceptingZones(t, d, servers), map[string]int{"z0": 3, "z2": 3})
	assert.Assert(t, d.Ready())
}

// With all servers evacuated requests must not wait for a server: they are answered at once.
func TestNothingWaitsWhenAllServersAreEvacuated(t *testing.T) {
	d, servers := newEvacuationDispatcher(t), serversInThreeZones(3)
	waiting, cancel := context.WithCancel(t.Context())
	cancel()
	d.SetEvacuatedZones([]string{"z0", "z1", "z2"})
	s := d.services[evacuationService]
	assert.Assert(t, d.EventLoop(waiting, evacuationService) != nil)
	assert.Assert(t, !s.hadServer, "no list has come yet")
	d.list(servers)
	assert.Assert(t, s.hadServer)
	assert.Assert(t, !d.Ready())
}

// A service whose servers drain for another reason is not ready because its zone is evacuated.
func TestDrainingServersStayDrainingAfterAnEvacuation(t *testing.T) {
	d, servers := newEvacuationDispatcher(t), serversInThreeZones(1)
	for i := range servers {
		servers[i].Draining = true
	}
	d.SetEvacuatedZones([]string{"z0", "z1", "z2"})
	d.list(servers)
	assert.Assert(t, !d.services[evacuationService].hadServer)
	d.SetEvacuatedZones(nil)
	assert.Equal(t, len(acceptingZones(t, d, servers)), 0)
}

// A node that starts after a Finish, or was out of touch from before the Begin, hears of both only later. What
// it already knows must not make the servers cold once more.
func TestZoneReturnedUnseenIsColdOnlyForTheRestOfItsWarmup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Options{Zone: "z0", Name: "edge-1", MaxConns: 10, Budget: message.NewBudget(1 << 20), Counters: counters.New(),
			Log: slog.New(slog.DiscardHandler), Warmup: testWarmupLimits})
		t.Cleanup(d.Close)
		other := warmServer("b")
		other.Zone = "z1"
		d.AddReturnedZones([]protocol.ReturnedZone{{Zone: "z0", Version: 2, Age: time.Second}, {Zone: "z1", Version: 2, Age: time.Minute}})
		setList(d, warmServer("a"), other)
		d.Configure(warmupConfiguration(t, testWarmup.Seconds()))
		assert.DeepEqual(t, serving(t, d), []string{"b"})
		setList(d, warmServer("a"), warmServer("late"), other)
		assert.DeepEqual(t, serving(t, d), []string{"b"})
		time.Sleep(testWarmup - time.Second + 2*warmupMargin)
		assert.DeepEqual(t, serving(t, d), []string{"a", "b", "late"})
		d.AddReturnedZones([]protocol.ReturnedZone{{Zone: "z0", Version: 2}}) // a core node that has restarted counts anew
		assert.DeepEqual(t, serving(t, d), []string{"a", "b", "late"})
		d.AddReturnedZones([]protocol.ReturnedZone{{Zone: "z0", Version: 4}})
		assert.DeepEqual(t, serving(t, d), []string{"b"})
	})
}
