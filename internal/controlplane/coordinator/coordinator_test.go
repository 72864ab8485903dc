package coordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/controlplane/controlplanetest"
	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/protocol"
)

// testTimeout bounds waits that normally end at once.
const testTimeout = 20 * time.Second

// newSingleNode starts a core node that is the only one. If run is false its groups have no
// leader.
func newSingleNode(t *testing.T, run bool) *Coordinator {
	t.Helper()
	const address = "127.0.0.1:1"
	n, err := node.Open(node.Options{Name: "c", Class: protocol.Core, Address: address, DataDir: t.TempDir(), Bootstrap: true, Seeds: []string{address}})
	assert.NilError(t, err)
	c, err := New(Options{Node: n, Bootstrap: true, Seeds: []string{address}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	if run {
		done.Go(func() { n.Host.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		done.Wait()
		n.Pool.Close()
		n.Close()
	})
	for _, group := range Groups() {
		if run {
			controlplanetest.AwaitLeader(t, n, group, testTimeout)
		}
	}
	return c
}

func configuration(revision uint64) []byte {
	return fmt.Appendf(nil, `{"configRevision":%d,"virtualServers":[],"pools":[]}`, revision)
}

func TestConfigurationIsReplacedAndShown(t *testing.T) {
	c := newSingleNode(t, true)
	ctx := t.Context()
	_, err := c.Show(ctx)
	assert.ErrorIs(t, err, adminapi.ErrNoConfiguration)
	assert.Equal(t, c.Replace(ctx, 0, configuration(5)).Result, adminapi.ReplaceAccepted)
	assert.Equal(t, c.Replace(ctx, 0, configuration(5)).Result, adminapi.ReplaceAccepted, "repeated")
	assert.Equal(t, c.Replace(ctx, 0, configuration(6)).Result, adminapi.ReplaceConflict)
	assert.Equal(t, c.Replace(ctx, 5, configuration(5)).Result, adminapi.ReplaceInvalid)
	assert.Equal(t, c.Replace(ctx, 5, []byte("{")).Result, adminapi.ReplaceInvalid)
	assert.Equal(t, c.Replace(ctx, 5, configuration(9)).Result, adminapi.ReplaceAccepted)
	assert.Equal(t, c.Replace(ctx, 0, configuration(5)).Result, adminapi.ReplaceAccepted, "repeated while another configuration is in force")
	body, err := c.Show(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(body), string(configuration(9)))
}

// A change on a base that is not in force must not enter the log. A late attempt could take
// effect once the base is in force, although the change was rejected.
func TestChangeOnAFutureBaseIsNotProposed(t *testing.T) {
	c := newSingleNode(t, true)
	before, err := c.node.Host.Status(protocol.ConfigurationGroup)
	assert.NilError(t, err)
	assert.Equal(t, c.Replace(t.Context(), 7, configuration(8)).Result, adminapi.ReplaceConflict)
	after, err := c.node.Host.Status(protocol.ConfigurationGroup)
	assert.NilError(t, err)
	assert.Equal(t, after.LastIndex, before.LastIndex)
}

// Without a leader no call may be finally rejected.
func TestNothingIsDecidedWithoutALeader(t *testing.T) {
	c := newSingleNode(t, false)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, base := range []uint64{0, 7} {
		assert.Equal(t, c.Replace(ctx, base, configuration(8)).Result, adminapi.ReplaceUncertain)
	}
	_, err := c.Show(ctx)
	assert.ErrorIs(t, err, adminapi.ErrUnavailable)
	assert.Equal(t, c.RetireBegin(ctx, "s", 0), adminapi.RetireUncertain)
	_, err = c.RetireShow(ctx, "s")
	assert.ErrorIs(t, err, adminapi.ErrUnavailable)
	_, held := (&listerTask{c}).Held()
	assert.Assert(t, !held)
}

func TestLeaderHoldsTheListerTask(t *testing.T) {
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
	assert.ErrorIs(t, err, adminapi.ErrUnknownNode)
	assert.Equal(t, c.RetireBegin(ctx, "other", 0), adminapi.RetireUnknownNode)
	assert.Equal(t, c.RetireBegin(ctx, "s0", 0), adminapi.RetireAccepted)
	assert.Equal(t, c.RetireBegin(ctx, "s0", 0), adminapi.RetireAccepted, "repeated")
	assert.Equal(t, c.RetireBegin(ctx, "s1", 0), adminapi.RetireTooFew)
	state, err := c.RetireShow(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, state, adminapi.RetireInProgress, "the partitions are not assigned yet")
	assert.NilError(t, c.submit(ctx, &revisions.Command{Assign: &revisions.Assignment{Partitions: [][]replica.NodeID{{1, 2, 3}, {2, 3, 4}}}}))
	state, err = c.RetireShow(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, state, adminapi.RetireInProgress)
	assert.NilError(t, c.submit(ctx, &revisions.Command{Membership: &revisions.MembershipUpdate{Partition: 0, Change: 4, Voters: []replica.NodeID{2, 3, 4}}}))
	state, err = c.RetireShow(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, state, adminapi.RetireCompleted)
}

func TestNotifierWakesAllWaiters(t *testing.T) {
	n := newNotifier()
	first, second := n.changed(), n.changed()
	n.notifyAll()
	<-first
	<-second
	select {
	case <-n.changed():
		t.Fatal("woken without a change")
	default:
	}
}
