package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/wait"
)

const (
	// tryPause is how long a call waits before it looks for a group's owner again.
	retryInterval = 25 * time.Millisecond
	// tryWithin bounds one try at one node. One that froze must not use up the whole time.
	attemptTimeout = 800 * time.Millisecond
)

// ErrUncertain tells that a command may or may not have been carried out.
var ErrUnknownOutcome = errors.New("the outcome of the command isn't known")

// ErrNobody tells that no owner was found in time: nothing was carried out.
var ErrNoLeader = errors.New("the group has no owner that can be reached")

// replicaCalls are the calls that members of groups make to each other.
type replicaService struct{ node *Node }

// Hello introduces two processes to each other.
func (c *replicaService) Hello(args *protocol.HelloArgs, reply *protocol.HelloReply) error {
	c.node.learnNodes(args.Self)
	reply.Self = c.node.Self
	reply.Nodes = c.node.Addresses.All()
	return nil
}

// Deliver takes messages of other members in.
func (c *replicaService) Deliver(args *protocol.DeliverArgs, _ *protocol.Nothing) error {
	c.node.Host.Deliver(args.Messages)
	return nil
}

// Propose hands a command to a group that this node owns.
func (c *replicaService) Propose(args *protocol.ProposeArgs, reply *protocol.ProposeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	result, err := c.node.Host.Propose(ctx, args.Group, args.Command)
	reply.Result = result
	reply.Outcome, reply.Owner = OutcomeOf(err)
	return nil
}

// Index proves that this node owns a group, and tells how far it has applied.
func (c *replicaService) Index(args *protocol.IndexArgs, reply *protocol.IndexReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	err := c.node.Host.Read(ctx, args.Group, func(host.StateMachine) {})
	reply.Outcome, reply.Owner = OutcomeOf(err)
	if err == nil {
		reply.Index, _ = c.node.Host.Applied(args.Group)
	}
	return nil
}

// OutcomeOf gives a failure the form that calls hand back, and who is the owner where that is
// known. A proposal that a deposed owner took may still come into force.
func OutcomeOf(err error) (protocol.Outcome, replica.NodeID) {
	var notOwner *replica.NotLeaderError
	owner := replica.NodeID(0)
	if errors.As(err, &notOwner) {
		owner = notOwner.Leader
	}
	var unknown *host.UnknownOutcomeError
	switch {
	case err == nil:
		return protocol.Done, 0
	case errors.As(err, &unknown):
		return protocol.Unknown, owner
	case notOwner != nil:
		return protocol.NotOwner, owner
	}
	return protocol.Unavailable, 0
}

// Submit has a command carried out by the group's owner, wherever that is, and returns
// the result of its application. Commands must be such that a second application changes
// nothing: one whose outcome is unknown is handed in again.
func (n *Node) Submit(ctx context.Context, group replica.GroupID, command []byte) ([]byte, error) {
	uncertain := false
	var result []byte
	err := n.callLeader(ctx, group, func(ctx context.Context, at protocol.Node) (protocol.Outcome, replica.NodeID) {
		var outcome protocol.Outcome
		var owner replica.NodeID
		result, outcome, owner = n.propose(ctx, at, group, command)
		uncertain = uncertain || outcome == protocol.Unknown
		return outcome, owner
	})
	if err != nil && uncertain {
		return nil, ErrUnknownOutcome
	}
	return result, err
}

func (n *Node) propose(ctx context.Context, at protocol.Node, group replica.GroupID, command []byte) ([]byte, protocol.Outcome, replica.NodeID) {
	if at.ID == n.Self.ID {
		result, err := n.Host.Propose(ctx, group, command)
		outcome, owner := OutcomeOf(err)
		return result, outcome, owner
	}
	args := protocol.ProposeArgs{Group: group, Command: command, Within: attemptTimeout}
	var reply protocol.ProposeReply
	err := n.Pool.Call(ctx, at.Address, "Replica.Propose", &args, &reply)
	if err != nil {
		return nil, callOutcome(err), 0
	}
	return reply.Result, reply.Outcome, reply.Owner
}

// callOutcome tells what is known of a call that failed on its way.
func callOutcome(err error) protocol.Outcome {
	if errors.Is(err, link.ErrUnreachable) {
		return protocol.Unavailable
	}
	return protocol.Unknown
}

// Confirm waits until this node has applied all that the group had committed when it was
// called. It fails where no owner answers.
func (n *Node) ReadBarrier(ctx context.Context, group replica.GroupID) error {
	var index uint64
	err := n.callLeader(ctx, group, func(ctx context.Context, at protocol.Node) (protocol.Outcome, replica.NodeID) {
		args := protocol.IndexArgs{Group: group, Within: attemptTimeout}
		var reply protocol.IndexReply
		calls := &replicaService{n}
		var err error
		if at.ID == n.Self.ID {
			err = calls.Index(&args, &reply)
		} else {
			err = n.Pool.Call(ctx, at.Address, "Replica.Index", &args, &reply)
		}
		if err != nil {
			return protocol.Unavailable, 0
		}
		index = reply.Index
		return reply.Outcome, reply.Owner
	})
	if err != nil {
		return err
	}
	for {
		applied, changed := n.Host.Applied(group)
		if applied >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrNoLeader
		}
	}
}

// find tries the owner of a group, as far as it is known, then the other nodes that may
// know it, until the call is done or ctx ends.
func (n *Node) callLeader(ctx context.Context, group replica.GroupID, try func(context.Context, protocol.Node) (protocol.Outcome, replica.NodeID)) error {
	hint := n.leaderOf(group)
	others := 0
	for {
		at, ok := n.Addresses.Find(hint)
		if !ok {
			at = n.fallbackNode(group, others)
			others++
		}
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		outcome, owner := try(attemptCtx, at)
		cancel()
		if outcome == protocol.Done {
			return nil
		}
		if hint = owner; owner == 0 || owner == at.ID {
			hint = 0
			if local := n.leaderOf(group); local != at.ID {
				hint = local
			}
			if !wait.For(ctx, retryInterval) {
				return ErrNoLeader
			}
		}
		if ctx.Err() != nil {
			return ErrNoLeader
		}
	}
}

// ownerOf is the owner of a group as far as this node knows, 0: not at all.
func (n *Node) leaderOf(group replica.GroupID) replica.NodeID {
	status, err := n.Host.Status(group)
	if err != nil {
		return 0
	}
	return status.Leader
}

// another picks one of the nodes that may know a group's owner, in turn.
func (n *Node) fallbackNode(group replica.GroupID, turn int) protocol.Node {
	var nodes []protocol.Node
	if status, err := n.Host.Status(group); err == nil {
		for _, id := range status.Members.Voters {
			if v, ok := n.Addresses.Find(id); ok {
				nodes = append(nodes, v)
			}
		}
	}
	if len(nodes) == 0 {
		for _, o := range n.Addresses.All() {
			if o.Class == protocol.Core {
				nodes = append(nodes, o)
			}
		}
	}
	if len(nodes) == 0 {
		return n.Self
	}
	return nodes[turn%len(nodes)]
}
