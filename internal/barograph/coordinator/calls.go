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
const confirmWithin = 600 * time.Millisecond

// controlCalls are the calls that other processes make to a core node.
type controlCalls struct{ c *Coordinator }

// Watch answers with what is newer than the caller has, when there is something, or when this
// node can't vouch any more that there is nothing.
func (s *controlCalls) Watch(args *protocol.WatchArgs, reply *protocol.WatchReply) error {
	came := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait)
	defer cancel()
	if args.Confirmed {
		reply.Confirmed = s.c.confirm(ctx)
	}
	for {
		changed := s.c.news.changed()
		// Held goes first: a process that stands still amid this looks older, not younger.
		reply.Held = time.Since(came)
		answer := s.c.look(args, reply) || args.Confirmed
		if answer || ctx.Err() != nil {
			return nil
		}
		s.c.rest(ctx, changed, reply)
	}
}

// look fills in what is newer and how far it is vouched for, and tells whether that is to be
// answered at once.
func (c *Coordinator) look(args *protocol.WatchArgs, reply *protocol.WatchReply) bool {
	// The age goes first: what is read after it is as recent at least.
	reply.Age = c.age()
	reply.Vouched = reply.Age <= c.staleAfter
	news := c.collect(args, reply)
	return news || reply.Vouched == args.Patient
}

// rest waits for news, until what was vouched for may lapse, or until the question has waited
// for long enough.
func (c *Coordinator) rest(ctx context.Context, changed <-chan struct{}, reply *protocol.WatchReply) {
	again := time.NewTimer(c.staleAfter - min(reply.Age, c.staleAfter/2))
	defer again.Stop()
	select {
	case <-changed:
	case <-again.C:
	case <-ctx.Done():
	}
}

// age is how old what this node tells may be, over all groups that it tells of.
func (c *Coordinator) age() time.Duration {
	age := c.node.Host.Staleness(protocol.ConfigurationGroup)
	for partition := range protocol.ServicePartitions {
		age = max(age, c.node.Host.Staleness(protocol.ServiceGroup(partition)))
	}
	return age
}

func (c *Coordinator) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	return c.node.Confirm(ctx, protocol.ConfigurationGroup) == nil
}

// collect fills in what is newer, and tells whether anything is.
func (c *Coordinator) collect(args *protocol.WatchArgs, reply *protocol.WatchReply) bool {
	news := false
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		machine := m.(*revisions.Machine)
		if revision, _ := machine.Configuration(); revision > args.Revision && !args.DirectoryOnly {
			reply.Revision, reply.Steps, news = revision, machine.Since(args.Revision), true
		}
		if d := machine.Directory(); d.Version > args.Directory {
			reply.Directory, news = &d, true
		}
	})
	if args.DirectoryOnly {
		return news
	}
	for partition := range protocol.ServicePartitions {
		c.node.Host.ReadLocal(protocol.ServiceGroup(partition), func(m host.StateMachine) {
			lists, version := m.(*servers.Machine).Lists()
			if version > args.Services[partition] {
				reply.Services[partition], news = version, true
				reply.Lists = append(reply.Lists, lists...)
			}
		})
	}
	return news
}
