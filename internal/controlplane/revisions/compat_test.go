package revisions

import (
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/controlplanetest"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// The fixtures are commands and a snapshot as the build before identifiers were renamed wrote them.
// They must not be regenerated: a node reads them from its disk after an upgrade, and nodes of both
// builds send them to each other.

// The bodies of the fixture's configurations, and the patch that leads from the first to the second.
const (
	earlierBody     = `{"routes":[{"service":"tiny"}]}`
	earlierNextBody = `{"routes":[{"service":"tiny"},{"service":"large"}]}`
)

// earlierCommands returns the commands in the order in which they were applied.
func earlierCommands(t *testing.T) []earlierCommand {
	return []earlierCommand{
		{"change_first", Command{Change: &Change{Base: 0, Revision: 5, Digest: DigestOf(0, []byte(earlierBody)), Patch: controlplanetest.EarlierBytes(t, "first.patch")}}},
		{"change_next", Command{Change: &Change{Base: 5, Revision: 8, Digest: DigestOf(5, []byte(earlierNextBody)), Patch: controlplanetest.EarlierBytes(t, "next.patch")}}},
		{"register_core", Command{Register: &protocol.Node{ID: 1<<63 + 1, Name: "core-1", Class: 2, Address: "10.1.0.1:7380", Zone: "zone-a"}}},
		{"register_storage_1", Command{Register: &protocol.Node{ID: 2, Name: "storage-1", Class: 3, Address: "10.1.0.2:7381", Zone: "zone-b"}}},
		{"register_storage_2", Command{Register: &protocol.Node{ID: 3, Name: "storage-2", Class: 3, Address: "10.1.0.3:7381", Zone: "zone-c"}}},
		{"register_storage_3", Command{Register: &protocol.Node{ID: 4, Name: "storage-3", Class: 3, Address: "10.1.0.4:7381", Zone: "zone-d"}}},
		{"assign", Command{Assign: &Assignment{Partitions: [][]replica.NodeID{{2, 3}, {3}}}}},
		{"moved", Command{Membership: &MembershipUpdate{Partition: 1, Change: 6, Step: 7, Announced: true, Voters: []replica.NodeID{3, 2}}}},
		{"retire", Command{Retire: &Retirement{Node: "storage-2", MinRemaining: 1}}},
		{"forget", Command{Forget: 4}},
	}
}

type earlierCommand struct {
	name    string
	command Command
}

// earlierDirectory is the directory after all commands.
func earlierDirectory() protocol.Directory {
	return protocol.Directory{
		Version: 8,
		Nodes: []protocol.Node{
			{ID: 1<<63 + 1, Name: "core-1", Class: 2, Address: "10.1.0.1:7380", Zone: "zone-a"},
			{ID: 2, Name: "storage-1", Class: 3, Address: "10.1.0.2:7381", Zone: "zone-b"},
			{ID: 3, Name: "storage-2", Class: 3, Address: "10.1.0.3:7381", Zone: "zone-c"},
		},
		Retiring:   []string{"storage-2"},
		Partitions: []protocol.PartitionMembers{{Voters: []replica.NodeID{2, 3}}, {Change: 6, Step: 7, Voters: []replica.NodeID{3, 2}}},
	}
}

// A command of an earlier build must be read with all its fields, and written in the same form.
func TestDecodesCommandsOfEarlierBuild(t *testing.T) {
	for _, c := range earlierCommands(t) {
		t.Run(c.name, func(t *testing.T) {
			controlplanetest.CheckEarlierMessage(t, c.name+".cbor", c.command)
		})
	}
}

// The log of an earlier build must lead to the state that it led to there.
func TestAppliesCommandsOfEarlierBuild(t *testing.T) {
	m := New(nil)
	for _, c := range earlierCommands(t) {
		assert.DeepEqual(t, m.Apply(controlplanetest.EarlierBytes(t, c.name+".cbor")), []byte{1})
	}
	checkEarlierState(t, m)
	chain := m.Since(5)
	assert.DeepEqual(t, chain, []protocol.ConfigurationStep{{Base: 5, Revision: 8, Patch: controlplanetest.EarlierBytes(t, "next.patch")}})
	conflict := Command{Change: &Change{Base: 7, Revision: 9}}
	text, err := conflict.Encode()
	assert.NilError(t, err)
	assert.DeepEqual(t, m.Apply(text), []byte{2})
	assert.DeepEqual(t, m.Apply(nil), []byte{6})
}

// A snapshot of an earlier build must be restored whole, and written in the same form.
func TestRestoresSnapshotOfEarlierBuild(t *testing.T) {
	controlplanetest.CheckEarlierSnapshot(t, New(nil), checkEarlierState)
}

// checkEarlierState checks the state after all commands, also that both changes are remembered.
func checkEarlierState(t *testing.T, m *Machine) {
	t.Helper()
	revision, body := m.Configuration()
	assert.Equal(t, revision, uint64(8))
	assert.Equal(t, string(body), earlierNextBody)
	assert.DeepEqual(t, m.Directory(), earlierDirectory())
	for _, name := range []string{"change_first.cbor", "change_next.cbor"} {
		assert.DeepEqual(t, m.Apply(controlplanetest.EarlierBytes(t, name)), []byte{1})
	}
}
