package coordinator

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/wait"
)

const (
	// maxOrderAge is the age from which an evacuation order is no longer proposed. Its operator has
	// probably sent it again to another node, and may have sent the opposite order since.
	maxOrderAge = time.Second
	// callerCheckDelay is how long an order waits before it is proposed. A caller that gave up closes
	// its connection; behind a healed link the close arrives a round trip after the order.
	callerCheckDelay = 50 * time.Millisecond
)

// Evacuate implements adminapi.Authority. An order may change the zone only if no other order did since
// this node received it: while this one waited, the operator may have turned to another node, and have
// sent the opposite order since. So the version that this node has applied on receipt must still be the
// version that a majority confirms, and the one that the change is made on. A node that has fallen
// behind rejects an order, too.
func (c *Coordinator) Evacuate(ctx context.Context, order adminapi.EvacuationOrder) adminapi.EvacuateOutcome {
	if !c.knowsZone(order.Zone) {
		return adminapi.EvacuateUnknownZone
	}
	_, onReceipt := c.appliedZone(order.Zone)
	evacuated, version, err := c.readZone(ctx, order.Zone)
	switch {
	case err != nil:
		return adminapi.EvacuateUncertain
	case evacuated == order.Evacuated:
		return adminapi.EvacuateAccepted
	case version != onReceipt:
		klog.InfoS("An evacuation order was overtaken by another one, or this node had fallen behind", "zone", order.Zone, "evacuated", order.Evacuated, "version", version, "versionOnReceipt", onReceipt)
		return adminapi.EvacuateUncertain
	case !wait.For(ctx, callerCheckDelay) || ctx.Err() != nil || time.Since(order.Received) > maxOrderAge:
		return adminapi.EvacuateUncertain
	}
	command := &revisions.Command{Evacuate: &revisions.Evacuation{Zone: order.Zone, Base: version, Evacuated: order.Evacuated}}
	switch c.execute(ctx, command) {
	case revisions.Accepted:
		return adminapi.EvacuateAccepted
	case revisions.Conflict:
		return c.afterConflict(ctx, order)
	}
	return adminapi.EvacuateUncertain
}

// afterConflict returns the outcome of an order when another one was accepted first.
func (c *Coordinator) afterConflict(ctx context.Context, order adminapi.EvacuationOrder) adminapi.EvacuateOutcome {
	evacuated, _, err := c.readZone(ctx, order.Zone)
	if err == nil && evacuated == order.Evacuated {
		return adminapi.EvacuateAccepted
	}
	return adminapi.EvacuateUncertain
}

// readZone returns the state and version of a zone, linearizable.
func (c *Coordinator) readZone(ctx context.Context, zone string) (evacuated bool, version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := c.node.ReadBarrier(ctx, protocol.ConfigurationGroup); err != nil {
		return false, 0, err
	}
	c.observeReturnedZones()
	evacuated, version = c.appliedZone(zone)
	return evacuated, version, nil
}

// appliedZone returns the state and version of a zone that this node has applied.
func (c *Coordinator) appliedZone(zone string) (evacuated bool, version uint64) {
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		evacuated, version = m.(*revisions.Machine).Zone(zone)
	})
	return evacuated, version
}

// knowsZone reports whether a zone is in the settings, or has a node or a server.
func (c *Coordinator) knowsZone(zone string) bool {
	if slices.Contains(c.zones, zone) {
		return true
	}
	if slices.ContainsFunc(c.Directory().Nodes, func(n protocol.Node) bool { return n.Zone == zone }) {
		return true
	}
	for partition := range protocol.ServicePartitions {
		if c.hasServerIn(partition, zone) {
			return true
		}
	}
	return false
}

// hasServerIn reports whether a service of a partition has a server in a zone.
func (c *Coordinator) hasServerIn(partition int, zone string) (found bool) {
	c.node.Host.ReadLocal(protocol.ServiceGroup(partition), func(m host.StateMachine) {
		lists, _ := m.(*servers.Machine).Lists()
		found = slices.ContainsFunc(lists, func(list protocol.ServerList) bool {
			return slices.ContainsFunc(list.Servers, func(s protocol.Server) bool { return s.Zone == zone })
		})
	})
	return found
}
