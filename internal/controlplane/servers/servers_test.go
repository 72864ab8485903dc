package servers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/diff"
	"oakseam/internal/tier/protocol"
)

func apply(t *testing.T, m *Machine, epoch, sequence uint64, services ...Service) []byte {
	t.Helper()
	p := Publication{Epoch: epoch, Sequence: sequence, Services: services}
	text, err := p.Encode()
	assert.NilError(t, err)
	return m.Apply(text)
}

func service(name string, ids ...string) Service {
	s := Service{Name: name}
	for _, id := range ids {
		s.Servers = append(s.Servers, protocol.Server{ID: id})
	}
	return s
}

func TestOutdatedPublicationsAreRejected(t *testing.T) {
	notifications := 0
	m := New(func() { notifications++ })
	assert.DeepEqual(t, apply(t, m, 2, 5, service("p", "a")), Applied)
	for _, past := range [][2]uint64{{2, 5}, {2, 4}, {1, 9}} {
		assert.DeepEqual(t, apply(t, m, past[0], past[1], service("p", "x")), Rejected)
	}
	assert.DeepEqual(t, apply(t, m, 2, 6, service("p", "b")), Applied)
	assert.DeepEqual(t, apply(t, m, 3, 1, service("p", "c")), Applied) // the sequence starts again in a new epoch
	assert.Equal(t, notifications, 3)
	lists, version := m.Lists()
	assert.Equal(t, lists[0].Servers[0].ID, "c")
	assert.Equal(t, version, uint64(3))
}

func TestServicesAreAddedAndRemoved(t *testing.T) {
	m := New(nil)
	apply(t, m, 1, 1, service("q", "a"), service("p", "b"), service("none"))
	before, _ := m.Lists()
	assert.Equal(t, before[0].Service, "p")
	assert.Equal(t, before[1].Service, "q")
	apply(t, m, 1, 2, service("p"), service("q", "a", "c"))
	after, version := m.Lists()
	assert.Equal(t, len(after), 1)
	assert.Equal(t, len(after[0].Servers), 2)
	assert.Equal(t, after[0].Version, version)
	assert.Equal(t, len(before), 2, "returned lists must not be modified")
	assert.Equal(t, len(before[1].Servers), 1)
}

func TestSnapshotRestoresTheWholeState(t *testing.T) {
	m := New(nil)
	apply(t, m, 4, 7, service("p", "a"))
	notifications := 0
	other := New(func() { notifications++ })
	assert.NilError(t, other.Restore(m.Snapshot()))
	assert.Equal(t, notifications, 1)
	assert.DeepEqual(t, other.Snapshot(), m.Snapshot())
	assert.DeepEqual(t, apply(t, other, 4, 7, service("p", "b")), Rejected)
	assert.NilError(t, other.Restore(nil))
	lists, _ := other.Lists()
	assert.Equal(t, len(lists), 0)
	assert.ErrorContains(t, other.Restore([]byte{0xff}), "restore")
}

func TestUnreadablePublicationIsRejected(t *testing.T) {
	m := New(func() { t.Fatal("change reported") })
	assert.DeepEqual(t, m.Apply([]byte("no publication")), Rejected)
}

// The changes since a version, applied to the lists of that version, give the newest lists. A restored
// machine knows none, and many changes are sent as whole lists.
func TestSinceGivesTheChanges(t *testing.T) {
	m := New(nil)
	apply(t, m, 1, 1, service("p", "a", "b", "c", "d"), service("q", "e", "f"))
	lists, version := m.Lists()
	apply(t, m, 1, 2, service("p", "a", "b", "d"))
	apply(t, m, 1, 3, service("q"))
	changes, ok := m.Since(version)
	assert.Assert(t, ok)
	assert.Equal(t, len(changes), 2)
	for _, c := range changes {
		lists = diff.ApplyServers(lists, c)
	}
	newest, _ := m.Lists()
	assert.DeepEqual(t, lists, newest)

	_, ok = m.Since(0)
	assert.Assert(t, !ok, "from nothing the whole lists are smaller")
	_, ok = m.Since(version + 5)
	assert.Assert(t, !ok)
	restored := New(nil)
	assert.NilError(t, restored.Restore(m.Snapshot()))
	_, ok = restored.Since(version)
	assert.Assert(t, !ok, "a snapshot holds no changes")
}

// What is kept for those behind is bounded.
func TestRecentChangesAreBounded(t *testing.T) {
	var r recentChanges
	for version := range uint64(3 * maxRecentChanges) {
		r.add(protocol.ServerListChange{Version: version + 1, Removed: make([]string, 100)})
	}
	assert.Assert(t, r.size <= maxRecentServers)
	assert.Assert(t, len(r.list) <= maxRecentChanges)
	_, ok := r.since(1)
	assert.Assert(t, !ok)
}

// A lister whose replica lags behind does not see that edges already may send to a cold server. Its own choice
// must not come on top.
func TestHoldersStayWhileWarmupLasts(t *testing.T) {
	m := New(nil)
	apply := func(sequence uint64, warmup time.Duration, holders protocol.NodeNames) protocol.NodeNames {
		entry := protocol.Server{ID: "a", Warmup: warmup, WarmupPeriod: sequence, WarmupHolders: holders}
		text, err := (&Publication{Epoch: 1, Sequence: sequence, Services: []Service{{Name: "s", Servers: []protocol.Server{entry}}}}).Encode()
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Apply(text), Applied)
		lists, _ := m.Lists()
		return lists[0].Servers[0].WarmupHolders
	}
	assert.Equal(t, apply(1, time.Second, "edge-1 edge-2"), protocol.NodeNames("edge-1 edge-2"))
	assert.Equal(t, apply(2, time.Second, "edge-3"), protocol.NodeNames("edge-1 edge-2"))
	assert.Equal(t, apply(3, 0, ""), protocol.NodeNames(""))
	assert.Equal(t, apply(4, time.Second, "edge-3"), protocol.NodeNames("edge-3"))
}
