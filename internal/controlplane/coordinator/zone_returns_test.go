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
	assert.Equal(t, len(r.observe(map[string]uint64{}, true, start)), 0)
	assert.DeepEqual(t, r.observe(map[string]uint64{"z": 2}, true, start), []protocol.ReturnedZone{{Zone: "z", Version: 2}})
	later := start.Add(time.Minute)
	assert.DeepEqual(t, r.observe(map[string]uint64{"z": 2, "a": 4}, true, later), []protocol.ReturnedZone{{Zone: "a", Version: 4}, {Zone: "z", Version: 2, Age: time.Minute}})
	assert.DeepEqual(t, r.observe(map[string]uint64{"z": 4}, true, later), []protocol.ReturnedZone{{Zone: "z", Version: 4}})
	assert.Equal(t, len(r.observe(map[string]uint64{}, true, later)), 0)
	assert.DeepEqual(t, r.observe(map[string]uint64{"z": 4}, true, later), []protocol.ReturnedZone{{Zone: "z", Version: 4}})
	assert.Equal(t, len(r.observe(map[string]uint64{"z": 4}, true, later.Add(routing.MaxWarmup))), 0, "no server is cold for so long")
}

// Edges must not take a zone for cold because a core node started that doesn't know how long ago it was taken back.
func TestZoneThatWasTakenBackBeforeTheStartIsNotReported(t *testing.T) {
	var r zoneReturns
	now := time.Now()
	assert.Equal(t, len(r.observe(map[string]uint64{}, false, now)), 0)
	assert.Equal(t, len(r.observe(map[string]uint64{"replayed": 2}, false, now)), 0)
	assert.Equal(t, len(r.observe(map[string]uint64{"replayed": 2, "caught up": 2}, true, now)), 0)
	now = now.Add(time.Second)
	assert.DeepEqual(t, r.observe(map[string]uint64{"replayed": 2, "caught up": 2, "new": 2}, false, now), []protocol.ReturnedZone{{Zone: "new", Version: 2}})
	assert.DeepEqual(t, r.observe(map[string]uint64{"replayed": 4}, true, now), []protocol.ReturnedZone{{Zone: "replayed", Version: 4}})
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
