package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
)

// A zone's age counts from when this node first saw it taken back, anew after each evacuation.
func TestReturnedZoneCountsFromWhenItWasFirstSeen(t *testing.T) {
	var r zoneReturns
	start := time.Now()
	assert.Equal(t, len(r.observe(map[string]uint64{}, start)), 0)
	assert.DeepEqual(t, r.observe(map[string]uint64{"z": 2}, start), []protocol.ReturnedZone{{Zone: "z", Version: 2}})
	later := start.Add(time.Minute)
	assert.DeepEqual(t, r.observe(map[string]uint64{"z": 2, "a": 4}, later), []protocol.ReturnedZone{{Zone: "a", Version: 4}, {Zone: "z", Version: 2, Age: time.Minute}})
	assert.DeepEqual(t, r.observe(map[string]uint64{"z": 4}, later), []protocol.ReturnedZone{{Zone: "z", Version: 4}})
	assert.Equal(t, len(r.observe(map[string]uint64{}, later)), 0)
	assert.DeepEqual(t, r.observe(map[string]uint64{"z": 4}, later), []protocol.ReturnedZone{{Zone: "z", Version: 4}})
	assert.Equal(t, len(r.observe(map[string]uint64{"z": 4}, later.Add(routing.MaxWarmup))), 0, "no server is cold for so long")
}

// A caller without a directory, or with an older one, hears which zones were taken back.
func TestDirectoryIsSentWithTheZonesThatWereTakenBack(t *testing.T) {
	c := newNodeWithZones(t, true)
	before := c.Directory().Version
	assert.Equal(t, c.Evacuate(t.Context(), order("z", true)), adminapi.EvacuateAccepted)
	assert.Equal(t, c.Evacuate(t.Context(), order("z", false)), adminapi.EvacuateAccepted)
	for _, held := range []uint64{0, before} {
		var reply protocol.WatchReply
		c.collectChanges(&protocol.WatchArgs{Directory: held, AcceptsChanges: true}, &reply)
		assert.Equal(t, len(reply.ReturnedZones), 1)
		assert.Equal(t, reply.ReturnedZones[0].Zone, "z")
		assert.Equal(t, reply.ReturnedZones[0].Version, uint64(2))
	}
}
