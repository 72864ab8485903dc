package revisions

import (
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/controlplanetest"
	"oakseam/internal/tier/protocol"
)

// evacuate applies an order on a version of zone "z" and returns its result.
func evacuate(t *testing.T, m *Machine, base uint64, evacuated bool) Result {
	t.Helper()
	return apply(t, m, Command{Evacuate: &Evacuation{Zone: "z", Base: base, Evacuated: evacuated}})
}

func TestEvacuationIsTakenBack(t *testing.T) {
	m := New(nil)
	version := m.Directory().Version
	assert.Equal(t, evacuate(t, m, 0, true), Accepted)
	assert.DeepEqual(t, m.Directory().EvacuatedZones, []string{"z"})
	assert.Equal(t, m.Directory().Version, version+1)
	assert.Equal(t, evacuate(t, m, 1, false), Accepted)
	assert.Equal(t, len(m.Directory().EvacuatedZones), 0)
	assert.Equal(t, m.Directory().Version, version+2)
	evacuated, zoneVersion := m.Zone("z")
	assert.Assert(t, !evacuated)
	assert.Equal(t, zoneVersion, uint64(2))
}

// A Begin that was read before later orders, and comes after them, must change nothing.
func TestLateBeginDoesNotUndoAFinish(t *testing.T) {
	m := New(nil)
	assert.Equal(t, evacuate(t, m, 0, true), Accepted)
	assert.Equal(t, evacuate(t, m, 1, false), Accepted)
	before := m.Snapshot()
	for _, base := range []uint64{0, 1, 3} {
		assert.Equal(t, evacuate(t, m, base, true), Conflict, "on version %d", base)
	}
	assert.DeepEqual(t, m.Snapshot(), before)
}

// An order that changes nothing counts: one that was built on the same version must not follow it.
func TestRepeatedOrderIncreasesTheVersionOfTheZone(t *testing.T) {
	m := New(nil)
	assert.Equal(t, evacuate(t, m, 0, true), Accepted)
	directory := m.Directory().Version
	assert.Equal(t, evacuate(t, m, 1, true), Accepted)
	assert.Equal(t, m.Directory().Version, directory, "the directory has not changed")
	assert.Equal(t, evacuate(t, m, 1, false), Conflict)
}

func TestZonesAreEvacuatedIndependently(t *testing.T) {
	m := New(nil)
	for _, zone := range []string{"c", "a", "b"} {
		assert.Equal(t, apply(t, m, Command{Evacuate: &Evacuation{Zone: zone, Evacuated: true}}), Accepted)
	}
	held := m.Directory()
	assert.DeepEqual(t, held.EvacuatedZones, []string{"a", "b", "c"})
	assert.Equal(t, apply(t, m, Command{Evacuate: &Evacuation{Zone: "b", Base: 1}}), Accepted)
	assert.DeepEqual(t, m.Directory().EvacuatedZones, []string{"a", "c"})
	assert.DeepEqual(t, held.EvacuatedZones, []string{"a", "b", "c"}) // a directory that was handed out is not modified
}

func TestSnapshotKeepsEvacuationsAndTheirVersions(t *testing.T) {
	m := New(nil)
	assert.Equal(t, evacuate(t, m, 0, true), Accepted)
	assert.Equal(t, evacuate(t, m, 1, false), Accepted)
	assert.Equal(t, apply(t, m, Command{Evacuate: &Evacuation{Zone: "y", Evacuated: true}}), Accepted)
	restored := New(nil)
	assert.NilError(t, restored.Restore(m.Snapshot()))
	assert.DeepEqual(t, restored.Directory(), m.Directory())
	assert.DeepEqual(t, restored.Snapshot(), m.Snapshot())
	assert.Equal(t, evacuate(t, restored, 1, true), Conflict, "a late order after a restart")
	assert.Equal(t, evacuate(t, restored, 2, true), Accepted)
	assert.DeepEqual(t, restored.Directory().EvacuatedZones, []string{"y", "z"})
}

// A snapshot of a build that knew no evacuations has none, and orders follow it.
func TestSnapshotOfEarlierBuildHasNoEvacuations(t *testing.T) {
	m := New(nil)
	assert.NilError(t, m.Restore(controlplanetest.EarlierBytes(t, "snapshot.cbor")))
	evacuated, version := m.Zone("zone-a")
	assert.Assert(t, !evacuated)
	assert.Equal(t, version, uint64(0))
	assert.Equal(t, apply(t, m, Command{Evacuate: &Evacuation{Zone: "zone-a", Evacuated: true}}), Accepted)
	assert.DeepEqual(t, m.Directory().EvacuatedZones, []string{"zone-a"})
}

// A process that is slightly behind learns of an evacuation from a change of the directory.
func TestDirectoryChangeNamesEvacuatedZones(t *testing.T) {
	m := New(nil)
	n := node(1, "a", protocol.Core)
	apply(t, m, Command{Register: &n})
	version := m.Directory().Version
	assert.Equal(t, evacuate(t, m, 0, true), Accepted)
	change, ok := m.DirectorySince(version)
	assert.Assert(t, ok)
	assert.DeepEqual(t, change.EvacuatedZones, []string{"z"})
}
