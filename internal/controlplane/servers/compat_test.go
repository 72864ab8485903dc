package servers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/controlplanetest"
	"oakseam/internal/tier/protocol"
)

// The fixtures are a publication and a snapshot as the build before identifiers were renamed wrote
// them. They must not be regenerated: a node reads them from its disk after an upgrade, and nodes of
// both builds send them to each other.

func earlierServers() []protocol.Server {
	return []protocol.Server{
		{ID: "s-1", Address: "10.2.0.1:9000", Zone: "zone-a", Capacity: 3, Draining: true, Warmup: 4 * time.Second},
		{ID: "s-2", Address: "10.2.0.2:9000", Zone: "zone-b", Capacity: 5},
	}
}

func earlierPublication() Publication {
	return Publication{Epoch: 6, Sequence: 7, Services: []Service{
		{Name: "tiny", Servers: earlierServers()},
		{Name: "large", Servers: earlierServers()[1:]},
		{Name: "gone"},
	}}
}

// The lister's publications of an earlier build must be read with all their fields, and written in
// the same form.
func TestDecodesPublicationOfEarlierBuild(t *testing.T) {
	controlplanetest.CheckEarlierMessage(t, "publication.cbor", earlierPublication())
	m := New(nil)
	assert.DeepEqual(t, m.Apply(controlplanetest.EarlierBytes(t, "publication.cbor")), []byte{1})
	checkEarlierState(t, m)
	assert.DeepEqual(t, m.Snapshot(), controlplanetest.EarlierBytes(t, "snapshot.cbor"))
}

// A snapshot of an earlier build must be restored whole, and written in the same form.
func TestRestoresSnapshotOfEarlierBuild(t *testing.T) {
	controlplanetest.CheckEarlierSnapshot(t, New(nil), checkEarlierState)
}

// checkEarlierState checks the lists, and that epoch and sequence are known: they tell a late
// publication from a new one.
func checkEarlierState(t *testing.T, m *Machine) {
	t.Helper()
	lists, version := m.Lists()
	assert.Equal(t, version, uint64(3))
	assert.DeepEqual(t, lists, []protocol.ServerList{
		{Service: "large", Version: 2, Servers: earlierServers()[1:]},
		{Service: "tiny", Version: 1, Servers: earlierServers()},
	})
	for _, late := range []Publication{{Epoch: 5, Sequence: 8}, {Epoch: 6, Sequence: 7}} {
		text, err := late.Encode()
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Apply(text), []byte{0})
	}
}
