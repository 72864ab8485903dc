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

// Watch answers with what is newer than the caller has, when there is something.
func (s *controlCalls) Watch(args *protocol.WatchArgs, reply *protocol.WatchReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait)
	defer cancel()
	if args.Confirmed {
		reply.Confirmed = s.c.confirm(ctx)
	}
	for {
		changed := s.c.news.changed()
		if s.c.collect(args, reply) || args.Confirmed {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Coordinator) confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWithin)
	defer cancel()
	return c.node.Confirm(ctx, protocol.ConfigurationGroup) == nil
}

// collect fills in what is newer, and tells whether anything is.
func (c *Coordinator) collect(args *protocol.WatchArgs, reply *protocol.WatchReply) bool {
	news := false
	c.node.Host.Peek(protocol.ConfigurationGroup, func(m host.Machine) {
		machine := m.(*revisions.Machine)
		if revision, body := machine.Configuration(); revision > args.Revision {
			reply.Revision, reply.Configuration, news = revision, body, true
		}
		if d := machine.Directory(); d.Version > args.Directory {
			reply.Directory, news = &d, true
		}
	})
	for partition := range protocol.ServicePartitions {
		c.node.Host.Peek(protocol.ServiceGroup(partition), func(m host.Machine) {
			lists, version := m.(*servers.Machine).Lists()
			if version > args.Services[partition] {
				reply.Services[partition], news = version, true
				reply.Lists = append(reply.Lists, lists...)
			}
		})
	}
	return news
}
