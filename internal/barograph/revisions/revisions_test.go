package revisions

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/protocol"
)

func apply(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	text, err := c.Encode()
	assert.NilError(t, err)
	result, err := ReadResult(m.Apply(text))
	assert.NilError(t, err)
	return result
}

func change(base, revision uint64, body string) Command {
	return Command{Change: &Change{Base: base, Revision: revision, Body: []byte(body)}}
}

func TestChangesAreComparedAndSet(t *testing.T) {
	m := New(nil)
	assert.Equal(t, apply(t, m, change(3, 4, "early")), Conflict)
	assert.Equal(t, apply(t, m, change(0, 5, "a")), Taken)
	assert.Equal(t, apply(t, m, change(0, 6, "late")), Conflict, "two changes on one base")
	assert.Equal(t, apply(t, m, change(5, 5, "same number")), Stale)
	assert.Equal(t, apply(t, m, change(5, 9, "b")), Taken)
	revision, body := m.Configuration()
	assert.Equal(t, revision, uint64(9))
	assert.Equal(t, string(body), "b")
}

func TestTakenChangeIsAcknowledgedAgain(t *testing.T) {
	m := New(nil)
	first := change(0, 5, "a")
	assert.Equal(t, apply(t, m, first), Taken)
	assert.Equal(t, apply(t, m, change(5, 6, "b")), Taken)
	assert.Equal(t, apply(t, m, first), Taken, "also behind later ones")
	revision, _ := m.Configuration()
	assert.Equal(t, revision, uint64(6), "and it doesn't come into force again")
	assert.Equal(t, apply(t, m, change(0, 5, "other bytes")), Conflict, "the same number is not the same change")
	assert.Equal(t, apply(t, m, change(5, 6, "a")), Conflict, "nor are the same bytes on another base")
}

func TestHistoryIsBounded(t *testing.T) {
	m := New(nil)
	for i := range uint64(takenMost + 2) {
		assert.Equal(t, apply(t, m, change(i, i+1, fmt.Sprint(i))), Taken)
	}
	assert.Equal(t, len(m.state.Taken), takenMost)
	assert.Equal(t, len(m.known), takenMost)
	assert.Equal(t, apply(t, m, change(0, 1, "0")), Conflict, "the oldest are forgotten")
	assert.Equal(t, apply(t, m, change(takenMost+1, takenMost+2, fmt.Sprint(takenMost+1))), Taken)
}

func node(id int, name string, class protocol.Class) protocol.Node {
	return protocol.Node{ID: replica.NodeID(id), Name: name, Class: class, Address: name + ":1"}
}

func TestLaterIncarnationTakesTheEarliersPlace(t *testing.T) {
	m := New(nil)
	for _, n := range []protocol.Node{node(1, "a", protocol.Storage), node(2, "b", protocol.Storage), node(3, "a", protocol.Storage)} {
		assert.Equal(t, apply(t, m, Command{Register: &n}), Taken)
	}
	nodes := m.Directory().Nodes
	assert.Equal(t, len(nodes), 2)
	assert.Equal(t, nodes[1].ID, replica.NodeID(3))
}

func TestRetirement(t *testing.T) {
	m := New(nil)
	for i := range 4 {
		n := node(i+1, fmt.Sprint("s", i), protocol.Storage)
		apply(t, m, Command{Register: &n})
	}
	apply(t, m, Command{Assign: &Assignment{Partitions: [][]replica.NodeID{{1, 2, 3}, {2, 3, 4}}}})
	assert.Equal(t, apply(t, m, Command{Retire: &Retirement{Node: "other", Least: 3}}), Missing)
	assert.Equal(t, apply(t, m, Command{Retire: &Retirement{Node: "s0", Least: 3}}), Taken)
	assert.Equal(t, apply(t, m, Command{Retire: &Retirement{Node: "s0", Least: 3}}), Taken, "again")
	assert.Equal(t, apply(t, m, Command{Retire: &Retirement{Node: "s1", Least: 3}}), TooFew)
	emptied, retiring := m.Emptied("s0")
	assert.Assert(t, !emptied && retiring)
	assert.Equal(t, apply(t, m, Command{Moved: &Moved{Partition: 0, Change: 7, Voters: []replica.NodeID{2, 3, 4}}}), Taken)
	emptied, _ = m.Emptied("s0")
	assert.Assert(t, emptied)
	assert.Equal(t, apply(t, m, Command{Moved: &Moved{Partition: 0, Change: 6, Voters: []replica.NodeID{1, 2, 3}}}), Conflict, "news of the past")
}

func TestDirectoryThatWasHandedOutStaysAsItIs(t *testing.T) {
	m := New(nil)
	n := node(1, "a", protocol.Storage)
	apply(t, m, Command{Register: &n})
	apply(t, m, Command{Assign: &Assignment{Partitions: [][]replica.NodeID{{1}}}})
	before := m.Directory()
	apply(t, m, Command{Moved: &Moved{Partition: 0, Change: 2, Voters: []replica.NodeID{9}}})
	assert.Equal(t, before.Partitions[0].Voters[0], replica.NodeID(1))
}

func TestSnapshotHoldsAll(t *testing.T) {
	m := New(nil)
	n := node(1, "a", protocol.Core)
	apply(t, m, Command{Register: &n})
	apply(t, m, change(0, 5, "a"))
	told := 0
	other := New(func() { told++ })
	assert.NilError(t, other.Restore(m.Snapshot()))
	assert.Equal(t, told, 1)
	assert.DeepEqual(t, other.Directory(), m.Directory())
	assert.Equal(t, apply(t, other, change(0, 5, "a")), Taken, "the history too")
	assert.DeepEqual(t, other.Snapshot(), m.Snapshot())
	assert.ErrorContains(t, other.Restore([]byte{0xff}), "restore")
}

func TestUnreadableCommandChangesNothing(t *testing.T) {
	m := New(func() { t.Fatal("told of a change") })
	_, err := ReadResult(m.Apply([]byte("no command")))
	assert.NilError(t, err)
	_, err = ReadResult([]byte{200})
	assert.ErrorType(t, err, &ResultError{})
}
