package coordinator

import (
	"context"
	"time"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/barograph/servers"
	"pipitmux/internal/station/protocol"
)

// confirmWithin is how long a question waits for proof that what is known here is the newest.
const readBarrierTimeout = 600 * time.Millisecond

// controlCalls are the calls that other processes make to a core node.
type controlService struct{ c *Coordinator }

// Watch answers with what is newer than the caller has, when there is something, or when this
// node can't vouch any more that there is nothing.
func (s *controlService) Watch(args *protocol.WatchArgs, reply *protocol.WatchReply) error {
	came := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait)
	defer cancel()
	if args.Confirmed {
		reply.Confirmed = s.c.readBarrier(ctx)
	}
	for {
		changed := s.c.updates.changed()
		// Held goes first: a process that stands still amid this looks older, not younger.
		reply.Held = time.Since(came)
		answer := s.c.fillReply(args, reply) || args.Confirmed
		if answer || ctx.Err() != nil {
			return nil
		}
		s.c.waitForChange(ctx, changed, reply)
	}
}

// look fills in what is newer and how far it is vouched for, and tells whether that is to be
// answered at once.
func (c *Coordinator) fillReply(args *protocol.WatchArgs, reply *protocol.WatchReply) bool {
	// The age goes first: what is read after it is as recent at least.
	reply.Age = c.staleness()
	reply.Vouched = reply.Age <= c.staleAfter
	newer := c.collectChanges(args, reply)
	return newer || reply.Vouched == args.Patient
}

// rest waits for newer, until what was vouched for may lapse, or until the question has waited
// for long enough.
func (c *Coordinator) waitForChange(ctx context.Context, changed <-chan struct{}, reply *protocol.WatchReply) {
	again := time.NewTimer(c.staleAfter - min(reply.Age, c.staleAfter/2))
	defer again.Stop()
	select {
	case <-changed:
	case <-again.C:
	case <-ctx.Done():
	}
}

// age is how old what this node tells may be, over all groups that it tells of.
func (c *Coordinator) staleness() time.Duration {
	staleness := c.node.Host.Staleness(protocol.ConfigurationGroup)
	for partition := range protocol.ServicePartitions {
		staleness = max(staleness, c.node.Host.Staleness(protocol.ServiceGroup(partition)))
	}
	return staleness
}

func (c *Coordinator) readBarrier(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readBarrierTimeout)
	defer cancel()
	return c.node.ReadBarrier(ctx, protocol.ConfigurationGroup) == nil
}

// collect fills in what is newer, and tells whether anything is.
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
