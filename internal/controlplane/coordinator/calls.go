package coordinator

import (
	"context"
	"time"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/protocol"
)

// readBarrierTimeout is how long a Watch call waits for proof that this node's state is current.
const readBarrierTimeout = 600 * time.Millisecond

// controlService serves the calls of other processes to a core node.
type controlService struct{ coordinator *Coordinator }

// Watch returns what is newer than the caller's state, as soon as there is something. It also
// returns when this node can no longer vouch that there is nothing newer.
func (s *controlService) Watch(args *protocol.WatchArgs, reply *protocol.WatchReply) error {
	received := time.Now()
	if !args.DirectoryOnly {
		s.coordinator.edges.record(args.Node, args.Zone, received)
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait)
	defer cancel()
	if args.Confirmed {
		reply.Confirmed = s.coordinator.readBarrier(ctx)
	}
	for {
		changed := s.coordinator.updates.changed()
		// Held is measured first, so that a process paused in between appears older, not younger.
		reply.Held = time.Since(received)
		respond := s.coordinator.fillReply(args, reply) || args.Confirmed
		if respond || ctx.Err() != nil {
			return nil
		}
		s.coordinator.waitForChange(ctx, changed, reply)
	}
}

// fillReply sets what is newer and whether this node vouches for its state. It reports whether
// the reply is to be sent now: when something is newer, or as soon as this node vouches (for a
// patient call) or does not vouch (for any other call).
func (c *Coordinator) fillReply(args *protocol.WatchArgs, reply *protocol.WatchReply) bool {
	// The staleness is taken first: the state read after it is at least as recent.
	reply.Age = c.staleness()
	reply.Vouched = reply.Age <= c.staleAfter
	newer := c.collectChanges(args, reply)
	return newer || reply.Vouched == args.Patient
}

// waitForChange waits for a change, until this node may no longer vouch for its state, or until
// the call's time is over.
func (c *Coordinator) waitForChange(ctx context.Context, changed <-chan struct{}, reply *protocol.WatchReply) {
	recheck := time.NewTimer(c.staleAfter - min(reply.Age, c.staleAfter/2))
	defer recheck.Stop()
	select {
	case <-changed:
	case <-recheck.C:
	case <-ctx.Done():
	}
}

// staleness is the bound on the age of this node's state, over all groups it reports.
func (c *Coordinator) staleness() time.Duration {
	staleness := c.node.Host.Staleness(protocol.ConfigurationGroup)
	for partition := range protocol.ServicePartitions {
		staleness = max(staleness, c.node.Host.Staleness(protocol.ServiceGroup(partition)))
	}
	return staleness
}

// readBarrier reports whether this node's configuration was proven current in time.
func (c *Coordinator) readBarrier(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readBarrierTimeout)
	defer cancel()
	return c.node.ReadBarrier(ctx, protocol.ConfigurationGroup) == nil
}

// collectChanges sets what is newer in the reply, and reports whether anything is.
func (c *Coordinator) collectChanges(args *protocol.WatchArgs, reply *protocol.WatchReply) bool {
	newer := false
	recent := c.configurationIsRecent()
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		state := m.(*revisions.Machine)
		if revision, _ := state.Configuration(); revision > args.Revision && !args.DirectoryOnly {
			reply.Revision, reply.Steps, newer = revision, state.Since(args.Revision), true
		}
		if addDirectory(state, args, reply) {
			reply.ReturnedZones, newer = c.returns.observe(state.ReturnedZones(), recent, time.Now()), true
		}
	})
	if args.DirectoryOnly {
		return newer
	}
	for partition := range protocol.ServicePartitions {
		c.node.Host.ReadLocal(protocol.ServiceGroup(partition), func(m host.StateMachine) {
			newer = addLists(m.(*servers.Machine), partition, args, reply) || newer
		})
	}
	return newer
}

// addDirectory adds a newer directory to the reply, as a change if the caller can apply one. It
// reports whether there is a newer one.
func addDirectory(state *revisions.Machine, args *protocol.WatchArgs, reply *protocol.WatchReply) bool {
	directory := state.Directory()
	if directory.Version <= args.Directory {
		return false
	}
	if args.AcceptsChanges {
		if change, ok := state.DirectorySince(args.Directory); ok {
			reply.DirectoryChange = change
			return true
		}
	}
	reply.Directory = &directory
	return true
}

// addLists adds the newer lists of a partition to the reply, as changes if the caller can apply them.
// It reports whether there are newer ones.
func addLists(state *servers.Machine, partition int, args *protocol.WatchArgs, reply *protocol.WatchReply) bool {
	lists, version := state.Lists()
	if version <= args.Services[partition] {
		return false
	}
	reply.Services[partition] = version
	if args.AcceptsChanges {
		if changes, ok := state.Since(args.Services[partition]); ok {
			reply.ListChanges = append(reply.ListChanges, changes...)
			return true
		}
	}
	reply.Lists = append(reply.Lists, lists...)
	return true
}
