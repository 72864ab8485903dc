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
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		state := m.(*revisions.Machine)
		if revision, _ := state.Configuration(); revision > args.Revision && !args.DirectoryOnly {
			reply.Revision, reply.Steps, newer = revision, state.Since(args.Revision), true
		}
		if d := state.Directory(); d.Version > args.Directory {
			reply.Directory, newer = &d, true
		}
	})
	if args.DirectoryOnly {
		return newer
	}
	for partition := range protocol.ServicePartitions {
		c.node.Host.ReadLocal(protocol.ServiceGroup(partition), func(m host.StateMachine) {
			lists, version := m.(*servers.Machine).Lists()
			if version > args.Services[partition] {
				reply.Services[partition], newer = version, true
				reply.Lists = append(reply.Lists, lists...)
			}
		})
	}
	return newer
}
