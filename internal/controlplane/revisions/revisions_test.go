package revisions

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/delta"
	"oakseam/internal/tier/protocol"
)

func apply(t *testing.T, m *Machine, c Command) Result {
	t.Helper()
	text, err := c.Encode()
	assert.NilError(t, err)
	result, err := ReadResult(m.Apply(text))
	assert.NilError(t, err)
	return result
}

// applyChange applies a change built by a node that has the same state as m.
func applyChange(t *testing.T, m *Machine, base, revision uint64, body string) Result {
	t.Helper()
	c, err := m.NewChange(base, revision, []byte(body))
	assert.NilError(t, err)
	return apply(t, m, Command{Change: c})
}

func TestChangeRequiresTheCurrentBase(t *testing.T) {
	m := New(nil)
	assert.Equal(t, applyChange(t, m, 3, 4, "early"), Conflict)
	assert.Equal(t, applyChange(t, m, 0, 5, "a"), Accepted)
	assert.Equal(t, applyChange(t, m, 0, 6, "late"), Conflict, "two changes on one base")
	assert.Equal(t, applyChange(t, m, 5, 5, "same number"), StaleRevision)
	assert.Equal(t, applyChange(t, m, 5, 9, "b"), Accepted)
	revision, body := m.Configuration()
	assert.Equal(t, revision, uint64(9))
	assert.Equal(t, string(body), "b")
}

func TestRepeatedChangeIsAcknowledged(t *testing.T) {
	m := New(nil)
	first, err := m.NewChange(0, 5, []byte("a"))
	assert.NilError(t, err)
	assert.Equal(t, apply(t, m, Command{Change: first}), Accepted)
	assert.Equal(t, applyChange(t, m, 5, 6, "b"), Accepted)
	assert.Equal(t, apply(t, m, Command{Change: first}), Accepted, "also after later changes")
	assert.Equal(t, applyChange(t, m, 0, 5, "a"), Accepted, "built by a node that has a later revision")
	revision, _ := m.Configuration()
	assert.Equal(t, revision, uint64(6), "the repeated change must not take effect again")
	assert.Equal(t, applyChange(t, m, 0, 5, "other bytes"), Conflict, "the same revision with other bytes is another change")
	assert.Equal(t, applyChange(t, m, 5, 6, "a"), Conflict, "the same bytes on another base are another change")
}

func TestRememberedChangesAreBounded(t *testing.T) {
	m := New(nil)
	for i := range uint64(maxRememberedChanges + 2) {
		assert.Equal(t, applyChange(t, m, i, i+1, fmt.Sprint(i)), Accepted)
	}
	assert.Equal(t, len(m.state.AcceptedChanges), maxRememberedChanges)
	assert.Equal(t, len(m.acceptedDigests), maxRememberedChanges)
	assert.Equal(t, applyChange(t, m, 0, 1, "0"), Conflict, "the oldest changes are forgotten")
	assert.Equal(t, applyChange(t, m, maxRememberedChanges+1, maxRememberedChanges+2, fmt.Sprint(maxRememberedChanges+1)), Accepted)
}

func node(id int, name string, class protocol.Class) protocol.Node {
	return protocol.Node{ID: replica.NodeID(id), Name: name, Class: class, Address: name + ":1"}
}

func TestLaterIncarnationReplacesTheEarlier(t *testing.T) {
	m := New(nil)
	for _, n := range []protocol.Node{node(1, "a", protocol.Storage), node(2, "b", protocol.Storage), node(3, "a", protocol.Storage)} {
		assert.Equal(t, apply(t, m, Command{Register: &n}), Accepted)
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
	assert.Equal(t, apply(t, m, Command{Retire: &Retirement{Node: "other", MinRemaining: 3}}), UnknownNode)
	assert.Equal(t, apply(t, m, Command{Retire: &Retirement{Node: "s0", MinRemaining: 3}}), Accepted)
	assert.Equal(t, apply(t, m, Command{Retire: &Retirement{Node: "s0", MinRemaining: 3}}), Accepted, "repeated")
	assert.Equal(t, apply(t, m, Command{Retire: &Retirement{Node: "s1", MinRemaining: 3}}), TooFewNodes)
	emptied, retiring := m.Emptied("s0")
	assert.Assert(t, !emptied && retiring)
	assert.Equal(t, apply(t, m, Command{Membership: &MembershipUpdate{Partition: 0, Change: 7, Voters: []replica.NodeID{2, 3, 4}}}), Accepted)
	emptied, _ = m.Emptied("s0")
	assert.Assert(t, emptied)
	assert.Equal(t, apply(t, m, Command{Membership: &MembershipUpdate{Partition: 0, Change: 6, Voters: []replica.NodeID{1, 2, 3}}}), Conflict, "outdated update")
}

func TestReturnedDirectoryIsNotModified(t *testing.T) {
	m := New(nil)
	n := node(1, "a", protocol.Storage)
	apply(t, m, Command{Register: &n})
	apply(t, m, Command{Assign: &Assignment{Partitions: [][]replica.NodeID{{1}}}})
	before := m.Directory()
	apply(t, m, Command{Membership: &MembershipUpdate{Partition: 0, Change: 2, Voters: []replica.NodeID{9}}})
	assert.Equal(t, before.Partitions[0].Voters[0], replica.NodeID(1))
}

func TestSnapshotRestoresTheWholeState(t *testing.T) {
	m := New(nil)
	n := node(1, "a", protocol.Core)
	apply(t, m, Command{Register: &n})
	applyChange(t, m, 0, 5, "a")
	notifications := 0
	other := New(func() { notifications++ })
	assert.NilError(t, other.Restore(m.Snapshot()))
	assert.Equal(t, notifications, 1)
	assert.DeepEqual(t, other.Directory(), m.Directory())
	assert.Equal(t, applyChange(t, other, 0, 5, "a"), Accepted, "remembered changes are restored, too")
	assert.DeepEqual(t, other.Snapshot(), m.Snapshot())
	assert.ErrorContains(t, other.Restore([]byte{0xff}), "restore")
}

func TestUnreadableCommandChangesNothing(t *testing.T) {
	m := New(func() { t.Fatal("change reported") })
	_, err := ReadResult(m.Apply([]byte("no command")))
	assert.NilError(t, err)
	_, err = ReadResult([]byte{200})
	assert.ErrorType(t, err, &ResultError{})
}

// A node that is behind gets the steps from its revision, or the whole configuration.
func TestStepsReachTheNewestConfiguration(t *testing.T) {
	m := New(nil)
	bodies := map[uint64]string{0: ""}
	for i := range uint64(maxSteps + 10) {
		bodies[i+1] = fmt.Sprint("body ", i+1)
		assert.Equal(t, applyChange(t, m, i, i+1, bodies[i+1]), Accepted)
	}
	newest := uint64(maxSteps + 10)
	assert.Equal(t, len(m.Since(newest)), 0)
	for _, from := range []uint64{0, 9, 10, 11, newest - 1, newest + 5} {
		steps := m.Since(from)
		known := from >= 10 && from < newest
		assert.Equal(t, len(steps) == int(newest-from), known, "from %d: %d steps", from, len(steps))
		body := ""
		if known {
			body = bodies[from]
		}
		for _, s := range steps {
			next, err := delta.Apply([]byte(body), s.Patch)
			assert.NilError(t, err)
			body = string(next)
		}
		assert.Equal(t, body, bodies[newest], "from %d", from)
	}
	assert.Equal(t, m.steps.size <= maxStepBytes, true)
	other := New(nil)
	assert.NilError(t, other.Restore(m.Snapshot()))
	_, body := other.Configuration()
	assert.Equal(t, string(body), bodies[newest])
	assert.Equal(t, len(other.Since(newest-1)), 1)
	assert.Equal(t, applyChange(t, other, newest, newest+1, "on"), Accepted)
	assert.Equal(t, len(other.Since(newest)), 1)
}

func TestStepsAreBoundedBySize(t *testing.T) {
	var s recentSteps
	s.add(Step{Base: 1, Revision: 2, Patch: make([]byte, maxStepBytes/2)})
	s.add(Step{Base: 2, Revision: 3, Patch: make([]byte, maxStepBytes/2+1)})
	assert.Equal(t, len(s.list), 1)
	s.add(Step{Base: 3, Revision: 4, Patch: make([]byte, maxStepBytes+1)})
	assert.Equal(t, len(s.list), 0)
	assert.Equal(t, s.size, 0)
}

// A patch that does not fit the current configuration must change nothing, on all members alike.
func TestMismatchedPatchChangesNothing(t *testing.T) {
	m := New(nil)
	assert.Equal(t, applyChange(t, m, 0, 5, "first"), Accepted)
	valid, err := m.NewChange(5, 6, []byte("second"))
	assert.NilError(t, err)
	foreign, err := New(nil).NewChange(0, 6, []byte("second"))
	assert.NilError(t, err)
	before := string(m.Snapshot())
	for name, c := range map[string]Change{
		"without a patch":    {Base: 5, Revision: 6, Digest: valid.Digest},
		"of another base":    {Base: 5, Revision: 6, Digest: valid.Digest, Patch: foreign.Patch},
		"truncated":          {Base: 5, Revision: 6, Digest: valid.Digest, Patch: valid.Patch[:20]},
		"of another content": {Base: 5, Revision: 6, Digest: foreign.Digest, Patch: valid.Patch},
	} {
		assert.Equal(t, apply(t, m, Command{Change: &c}), Unreadable, name)
		assert.Equal(t, string(m.Snapshot()), before, name)
	}
	assert.Equal(t, apply(t, m, Command{Change: valid}), Accepted)
}
