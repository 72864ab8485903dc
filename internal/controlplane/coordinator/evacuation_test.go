package coordinator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/protocol"
)

// order returns an order that has just been received.
func order(zone string, evacuated bool) adminapi.EvacuationOrder {
	return adminapi.EvacuationOrder{Zone: zone, Evacuated: evacuated, Received: time.Now()}
}

// newNodeWithZones starts a single core node whose settings name the zones "y" and "z".
func newNodeWithZones(t *testing.T, run bool) *Coordinator {
	t.Helper()
	c := newSingleNode(t, run)
	c.zones = []string{"y", "z"}
	return c
}

// lastIndex returns the last index of the configuration group's log.
func lastIndex(t *testing.T, c *Coordinator) uint64 {
	t.Helper()
	status, err := c.node.Host.Status(protocol.ConfigurationGroup)
	assert.NilError(t, err)
	return status.LastIndex
}

func TestZoneIsEvacuatedAndTakenBack(t *testing.T) {
	c := newNodeWithZones(t, true)
	ctx := t.Context()
	assert.Equal(t, c.Evacuate(ctx, order("z", true)), adminapi.EvacuateAccepted)
	assert.DeepEqual(t, c.Directory().EvacuatedZones, []string{"z"})
	assert.Equal(t, c.Evacuate(ctx, order("z", false)), adminapi.EvacuateAccepted)
	assert.Equal(t, len(c.Directory().EvacuatedZones), 0)
}

func TestRepeatedEvacuationOrderWritesNoEntry(t *testing.T) {
	c := newNodeWithZones(t, true)
	ctx := t.Context()
	index := lastIndex(t, c)
	assert.Equal(t, c.Evacuate(ctx, order("z", false)), adminapi.EvacuateAccepted, "taken back before it was evacuated")
	assert.Equal(t, lastIndex(t, c), index)
	assert.Equal(t, c.Evacuate(ctx, order("z", true)), adminapi.EvacuateAccepted)
	index = lastIndex(t, c)
	assert.Equal(t, c.Evacuate(ctx, order("z", true)), adminapi.EvacuateAccepted)
	assert.Equal(t, lastIndex(t, c), index)
}

// An order that a frozen node held while the operator sent it again, and a Finish after it, to other
// nodes must not evacuate the zone again: neither if its caller is gone nor if it is old.
func TestLateBeginDoesNotUndoAFinish(t *testing.T) {
	c := newNodeWithZones(t, true)
	ctx := t.Context()
	assert.Equal(t, c.Evacuate(ctx, order("z", true)), adminapi.EvacuateAccepted)
	assert.Equal(t, c.Evacuate(ctx, order("z", false)), adminapi.EvacuateAccepted)
	index := lastIndex(t, c)
	gone, leave := context.WithCancel(ctx)
	leave()
	assert.Equal(t, c.Evacuate(gone, order("z", true)), adminapi.EvacuateUncertain)
	late := order("z", true)
	late.Received = time.Now().Add(-2 * maxOrderAge)
	assert.Equal(t, c.Evacuate(ctx, late), adminapi.EvacuateUncertain)
	assert.Equal(t, lastIndex(t, c), index, "nothing may be proposed")
	assert.Equal(t, len(c.Directory().EvacuatedZones), 0)
}

// The caller's connection may close a little after its order arrives, when a link is back.
func TestOrderWhoseCallerLeavesDuringTheDecisionIsNotProposed(t *testing.T) {
	c := newNodeWithZones(t, true)
	ctx, leave := context.WithTimeout(t.Context(), callerCheckDelay/2)
	defer leave()
	index := lastIndex(t, c)
	assert.Equal(t, c.Evacuate(ctx, order("z", true)), adminapi.EvacuateUncertain)
	assert.Equal(t, lastIndex(t, c), index)
}

// Of two opposite orders that were decided at once one wins; the other is acknowledged only if the
// zone is as it asked.
func TestConflictingOrderIsAcknowledgedOnlyIfTheZoneIsAsAsked(t *testing.T) {
	c := newNodeWithZones(t, true)
	ctx := t.Context()
	assert.NilError(t, c.submit(ctx, &revisions.Command{Evacuate: &revisions.Evacuation{Zone: "z", Evacuated: true}}))
	assert.Equal(t, c.afterConflict(ctx, order("z", true)), adminapi.EvacuateAccepted)
	assert.Equal(t, c.afterConflict(ctx, order("z", false)), adminapi.EvacuateUncertain)
}

func TestUnknownZoneIsNotEvacuated(t *testing.T) {
	c := newNodeWithZones(t, true)
	ctx := t.Context()
	for _, zone := range []string{"of-a-node", "of-a-server"} {
		assert.Equal(t, c.Evacuate(ctx, order(zone, true)), adminapi.EvacuateUnknownZone)
	}
	registered := protocol.Node{ID: 5, Name: "s", Class: protocol.Storage, Address: "s:1", Zone: "of-a-node"}
	assert.NilError(t, c.submit(ctx, &revisions.Command{Register: &registered}))
	assert.Equal(t, c.Evacuate(ctx, order("of-a-node", true)), adminapi.EvacuateAccepted)
	partition := protocol.ServicePartition("tools")
	listed := servers.Service{Name: "tools", Servers: []protocol.Server{{ID: "i", Zone: "of-a-server"}}}
	publication := &servers.Publication{Epoch: 1, Sequence: 1, Services: []servers.Service{listed}}
	assert.NilError(t, (&listerTask{c}).Publish(ctx, partition, publication))
	assert.Equal(t, c.Evacuate(ctx, order("of-a-server", true)), adminapi.EvacuateAccepted)
}

func TestNoEvacuationIsDecidedWithoutALeader(t *testing.T) {
	c := newNodeWithZones(t, false)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.Equal(t, c.Evacuate(ctx, order("z", true)), adminapi.EvacuateUncertain)
	assert.Equal(t, c.Evacuate(ctx, order("z", false)), adminapi.EvacuateUncertain, "the state is not proven to be as asked")
}
