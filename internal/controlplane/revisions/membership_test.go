package revisions

import (
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/diff"
	"oakseam/internal/tier/protocol"
)

// newAssignedMachine returns a machine with four storage nodes and one partition, whose voters
// are the first three.
func newAssignedMachine(t *testing.T) *Machine {
	m := New(nil)
	for i, name := range []string{"s1", "s2", "s3", "s4"} {
		n := node(i+1, name, protocol.Storage)
		apply(t, m, Command{Register: &n})
	}
	apply(t, m, Command{Assign: &Assignment{Partitions: [][]replica.NodeID{{1, 2, 3}}}})
	return m
}

func membershipUpdate(change, step uint64, ahead bool, voters ...replica.NodeID) Command {
	return Command{Membership: &MembershipUpdate{Change: change, Step: step, Announced: ahead, Voters: voters}}
}

func retire(name string) Command { return Command{Retire: &Retirement{Node: name, MinRemaining: 3}} }

func TestRetiringNodeCannotBeAnnounced(t *testing.T) {
	m := newAssignedMachine(t)
	assert.Equal(t, apply(t, m, retire("s4")), Accepted)
	assert.Equal(t, apply(t, m, membershipUpdate(5, 0, true, 1, 2, 3, 4)), Conflict)
	emptied, _ := m.Emptied("s4")
	assert.Assert(t, emptied)
}

func TestAnnouncedNodeDoesNotCountAsEmptied(t *testing.T) {
	m := newAssignedMachine(t)
	assert.Equal(t, apply(t, m, membershipUpdate(5, 0, true, 1, 2, 3, 4)), Accepted)
	assert.Equal(t, apply(t, m, retire("s4")), Accepted)
	emptied, _ := m.Emptied("s4")
	assert.Assert(t, !emptied)
	assert.Equal(t, apply(t, m, membershipUpdate(5, 1, true, 1, 2, 3, 4)), Accepted, "the node is listed already")
	assert.Equal(t, apply(t, m, membershipUpdate(5, 2, false, 1, 2, 3)), Accepted, "withdrawn")
	emptied, _ = m.Emptied("s4")
	assert.Assert(t, emptied)
	assert.Equal(t, apply(t, m, membershipUpdate(5, 3, true, 1, 2, 3, 4)), Conflict)
}

// Late and repeated updates must not revert the directory.
func TestOutdatedMembershipUpdatesAreRejected(t *testing.T) {
	m := newAssignedMachine(t)
	assert.Equal(t, apply(t, m, membershipUpdate(5, 0, false, 1, 2, 3)), Accepted)
	assert.Equal(t, apply(t, m, membershipUpdate(5, 1, true, 1, 2, 3, 4)), Accepted)
	for _, late := range []Command{membershipUpdate(5, 0, false, 1, 2, 3), membershipUpdate(5, 1, false, 1, 2, 3), membershipUpdate(5, 3, false, 1, 2, 3), membershipUpdate(4, 2, false, 1, 2, 3)} {
		assert.Equal(t, apply(t, m, late), Conflict)
	}
	assert.Equal(t, len(m.Directory().Partitions[0].Voters), 4)
	assert.Equal(t, apply(t, m, membershipUpdate(6, 0, false, 2, 3, 4)), Accepted)
	assert.Equal(t, len(m.Directory().Partitions[0].Voters), 3)
}

// Members that are in force are recorded even when one of them is retiring.
func TestMembersInForceAreRecordedWhileRetiring(t *testing.T) {
	m := newAssignedMachine(t)
	assert.Equal(t, apply(t, m, retire("s4")), Accepted)
	assert.Equal(t, apply(t, m, membershipUpdate(5, 0, false, 1, 2, 4)), Accepted)
	emptied, _ := m.Emptied("s4")
	assert.Assert(t, !emptied)
}

func TestNodeIsNotEmptiedBeforePartitionsAreAssigned(t *testing.T) {
	m := New(nil)
	for i, name := range []string{"s1", "s2", "s3", "s4"} {
		n := node(i+1, name, protocol.Storage)
		apply(t, m, Command{Register: &n})
	}
	assert.Equal(t, apply(t, m, retire("s1")), Accepted)
	emptied, retiring := m.Emptied("s1")
	assert.Assert(t, !emptied && retiring)
}

// The change since a version of the directory leads to the newest one. A restored machine knows no
// earlier versions.
func TestDirectorySinceGivesTheChange(t *testing.T) {
	m := newAssignedMachine(t)
	base := m.Directory()
	assert.Equal(t, apply(t, m, membershipUpdate(5, 0, true, 1, 2, 3, 4)), Accepted)
	assert.Equal(t, apply(t, m, membershipUpdate(5, 1, false, 2, 3, 4)), Accepted)
	assert.Equal(t, apply(t, m, retire("s1")), Accepted)
	for range 2 { // the second is remembered
		change, ok := m.DirectorySince(base.Version)
		assert.Assert(t, ok)
		assert.Equal(t, len(change.Nodes), 0)
		got, err := diff.ApplyDirectory(base, *change)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, m.Directory())
	}
	_, ok := m.DirectorySince(m.Directory().Version)
	assert.Assert(t, !ok)
	restored := New(nil)
	assert.NilError(t, restored.Restore(m.Snapshot()))
	_, ok = restored.DirectorySince(base.Version)
	assert.Assert(t, !ok)
	for i := range 2 * maxRecentDirectories {
		n := node(10+i, "core", protocol.Core)
		apply(t, m, Command{Register: &n})
	}
	_, ok = m.DirectorySince(base.Version)
	assert.Assert(t, !ok, "what is kept is bounded")
}
