package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/node"
	"pipitmux/internal/barograph/operators"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/station/protocol"
)

// testWithin bounds each wait of a test that should not wait.
const testTimeout = 20 * time.Second

// alone starts a core node that is the only one. Where runs is false its groups have no owner.
func newSingleNode(t *testing.T, runs bool) *Coordinator {
	t.Helper()
	const address = "127.0.0.1:1"
	n, err := node.Open(node.Options{Name: "c", Class: protocol.Core, Address: address, DataDir: t.TempDir(), Bootstrap: true, Seeds: []string{address}})
	assert.NilError(t, err)
	c, err := New(Options{Node: n, Bootstrap: true, Seeds: []string{address}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	if runs {
		done.Go(func() { n.Host.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		done.Wait()
		n.Pool.Close()
		n.Close()
	})
	for _, group := range Groups() {
		if runs {
			awaitLeader(t, n, group)
		}
	}
	return c
}

func awaitLeader(t *testing.T, n *node.Node, group replica.GroupID) {
	t.Helper()
	for {
		_, changed := n.Host.Applied(group)
		status, err := n.Host.Status(group)
		assert.NilError(t, err)
		if status.LeaderReady {
			return
		}
		select {
		case <-changed:
		case <-time.After(testTimeout):
			t.Fatal("no owner")
		}
	}
}

func configuration(revision uint64) []byte {
	return fmt.Appendf(nil, `{"configRevision":%d,"virtualServers":[],"pools":[]}`, revision)
}

func TestConfigurationIsReplacedAndShown(t *testing.T) {
	c := newSingleNode(t, true)
	ctx := t.Context()
	_, err := c.Show(ctx)
	assert.ErrorIs(t, err, operators.ErrNoConfiguration)
	assert.Equal(t, c.Replace(ctx, 0, configuration(5)).Result, operators.ReplaceAccepted)
	assert.Equal(t, c.Replace(ctx, 0, configuration(5)).Result, operators.ReplaceAccepted, "sent again")
	assert.Equal(t, c.Replace(ctx, 0, configuration(6)).Result, operators.ReplaceConflict)
	assert.Equal(t, c.Replace(ctx, 5, configuration(5)).Result, operators.ReplaceInvalid)
	assert.Equal(t, c.Replace(ctx, 5, []byte("{")).Result, operators.ReplaceInvalid)
	assert.Equal(t, c.Replace(ctx, 5, configuration(9)).Result, operators.ReplaceAccepted)
	assert.Equal(t, c.Replace(ctx, 0, configuration(5)).Result, operators.ReplaceAccepted, "sent again, though another is in force")
	body, err := c.Show(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(body), string(configuration(9)))
}

// A change on a base that isn't in force must not stand in the log: a late try of it could
// come into force once the base has, though it was refused.
func TestChangeOnAFutureBaseIsNotProposed(t *testing.T) {
	c := newSingleNode(t, true)
	before, err := c.node.Host.Status(protocol.ConfigurationGroup)
	assert.NilError(t, err)
	assert.Equal(t, c.Replace(t.Context(), 7, configuration(8)).Result, operators.ReplaceConflict)
	after, err := c.node.Host.Status(protocol.ConfigurationGroup)
	assert.NilError(t, err)
	assert.Equal(t, after.LastIndex, before.LastIndex)
}

// Without an owner nothing is refused.
func TestNothingIsDecidedWithoutAnOwner(t *testing.T) {
	c := newSingleNode(t, false)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, base := range []uint64{0, 7} {
		assert.Equal(t, c.Replace(ctx, base, configuration(8)).Result, operators.ReplaceUncertain)
	}
	_, err := c.Show(ctx)
	assert.ErrorIs(t, err, operators.ErrUnavailable)
	assert.Equal(t, c.RetireBegin(ctx, "s", 0), operators.RetireUncertain)
	_, err = c.RetireShow(ctx, "s")
	assert.ErrorIs(t, err, operators.ErrUnavailable)
	_, held := (&listerTask{c}).Held()
	assert.Assert(t, !held)
}

func TestDutyIsHeldByTheOwner(t *testing.T) {
	c := newSingleNode(t, true)
	epoch, held := (&listerTask{c}).Held()
	assert.Assert(t, held)
	assert.Equal(t, epoch, uint64(1))
}

func TestRetirement(t *testing.T) {
	c := newSingleNode(t, true)
	ctx := t.Context()
	for i := range 4 {
		n := protocol.Node{ID: replica.NodeID(i + 1), Name: fmt.Sprint("s", i), Class: protocol.Storage, Address: fmt.Sprint("s:", i)}
		assert.NilError(t, c.submit(ctx, &revisions.Command{Register: &n}))
	}
	_, err := c.RetireShow(ctx, "s0")
	assert.ErrorIs(t, err, operators.ErrUnknownNode)
	assert.Equal(t, c.RetireBegin(ctx, "other", 0), operators.RetireUnknownNode)
	assert.Equal(t, c.RetireBegin(ctx, "s0", 0), operators.RetireAccepted)
	assert.Equal(t, c.RetireBegin(ctx, "s0", 0), operators.RetireAccepted, "again")
	assert.Equal(t, c.RetireBegin(ctx, "s1", 0), operators.RetireTooFew)
	state, err := c.RetireShow(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, state, operators.RetireInProgress, "the partitions aren't dealt out yet")
	assert.NilError(t, c.submit(ctx, &revisions.Command{Assign: &revisions.Assignment{Partitions: [][]replica.NodeID{{1, 2, 3}, {2, 3, 4}}}}))
	state, err = c.RetireShow(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, state, operators.RetireInProgress)
	assert.NilError(t, c.submit(ctx, &revisions.Command{Membership: &revisions.MembershipUpdate{Partition: 0, Change: 4, Voters: []replica.NodeID{2, 3, 4}}}))
	state, err = c.RetireShow(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, state, operators.RetireCompleted)
}

func TestNewsWakeAllWhoWait(t *testing.T) {
	n := newNotifier()
	first, second := n.changed(), n.changed()
	n.notifyAll()
	<-first
	<-second
	select {
	case <-n.changed():
		t.Fatal("there is nothing newer")
	default:
	}
}
