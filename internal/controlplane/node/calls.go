package node

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/wait"
)

const (
	// retryInterval is how long a call waits before it looks for a group's leader again.
	retryInterval = 25 * time.Millisecond
	// attemptTimeout bounds one attempt at one node, so that a frozen node does not use up the
	// caller's whole time.
	attemptTimeout = 800 * time.Millisecond
)

// ErrUnknownOutcome reports that a command may or may not have been applied.
var ErrUnknownOutcome = errors.New("the outcome of the command is unknown")

// ErrNoLeader reports that no leader was found in time and nothing was applied.
var ErrNoLeader = errors.New("the group has no reachable leader")

// replicaService serves the calls between members of groups.
type replicaService struct{ node *Node }

// Hello exchanges the identities of two processes and returns the known nodes, unless the caller
// knows the same.
func (c *replicaService) Hello(args *protocol.HelloArgs, reply *protocol.HelloReply) error {
	c.node.learnNodes(args.Self)
	reply.Self = c.node.Self
	if !args.WithoutNodes && args.KnownNodes != c.node.Addresses.Digest() {
		reply.Nodes = c.node.Addresses.All()
	}
	return nil
}

// Deliver accepts messages of other members.
func (c *replicaService) Deliver(args *protocol.DeliverArgs, _ *protocol.Nothing) error {
	c.node.Host.Deliver(args.Messages)
	return nil
}

// Propose proposes a command to a group that this node leads.
func (c *replicaService) Propose(args *protocol.ProposeArgs, reply *protocol.ProposeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	result, err := c.node.Host.Propose(ctx, args.Group, args.Command)
	reply.Result = result
	reply.Outcome, reply.Owner = OutcomeOf(err)
	return nil
}

// Index confirms that this node leads a group, and returns its applied index.
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

// OutcomeOf converts an error to the outcome sent in replies, with the leader if it is known.
// A proposal that a deposed leader accepted may still be committed.
func OutcomeOf(err error) (protocol.Outcome, replica.NodeID) {
	var notLeader *replica.NotLeaderError
	leader := replica.NodeID(0)
	if errors.As(err, &notLeader) {
		leader = notLeader.Leader
	}
	var unknown *host.UnknownOutcomeError
	switch {
	case err == nil:
		return protocol.Done, 0
	case errors.As(err, &unknown):
		return protocol.Unknown, leader
	case notLeader != nil:
		return protocol.NotOwner, leader
	}
	return protocol.Unavailable, 0
}

// Submit has the group's leader apply a command, on whichever node it is, and returns the
// result. Commands must be idempotent: one whose outcome is unknown is submitted again.
func (n *Node) Submit(ctx context.Context, group replica.GroupID, command []byte) ([]byte, error) {
	mayBeApplied := false
	var result []byte
	err := n.callLeader(ctx, group, func(ctx context.Context, at protocol.Node) (protocol.Outcome, replica.NodeID) {
		var outcome protocol.Outcome
		var leader replica.NodeID
		result, outcome, leader = n.propose(ctx, at, group, command)
		mayBeApplied = mayBeApplied || outcome == protocol.Unknown
		return outcome, leader
	})
	if err != nil && mayBeApplied {
		return nil, ErrUnknownOutcome
	}
	return result, err
}

// propose proposes a command at one node.
func (n *Node) propose(ctx context.Context, at protocol.Node, group replica.GroupID, command []byte) ([]byte, protocol.Outcome, replica.NodeID) {
	if at.ID == n.Self.ID {
		result, err := n.Host.Propose(ctx, group, command)
		outcome, leader := OutcomeOf(err)
		return result, outcome, leader
	}
	args := protocol.ProposeArgs{Group: group, Command: command, Within: attemptTimeout}
	var reply protocol.ProposeReply
	err := n.Pool.Call(ctx, at.Address, "Replica.Propose", &args, &reply)
	if err != nil {
		return nil, callOutcome(err), 0
	}
	return reply.Result, reply.Outcome, reply.Owner
}

// callOutcome returns what is known after a call failed in transit.
func callOutcome(err error) protocol.Outcome {
	if errors.Is(err, rpc.ErrUnreachable) {
		return protocol.Unavailable
	}
	return protocol.Unknown
}

// ReadBarrier waits until this node has applied everything that the group had committed when
// ReadBarrier was called. It fails if no leader responds.
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

// callLeader calls try with the leader of a group, as far as it is known, then with other
// nodes that may know it, until the outcome is Done or ctx ends.
func (n *Node) callLeader(ctx context.Context, group replica.GroupID, try func(context.Context, protocol.Node) (protocol.Outcome, replica.NodeID)) error {
	hint := n.leaderOf(group)
	fallbacks := 0
	for {
		at, ok := n.Addresses.Find(hint)
		if !ok {
			at = n.fallbackNode(group, fallbacks)
			fallbacks++
		}
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		outcome, leader := try(attemptCtx, at)
		cancel()
		if outcome == protocol.Done {
			return nil
		}
		if hint = leader; leader == 0 || leader == at.ID {
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

// leaderOf returns the leader of a group as far as this node knows, otherwise 0.
func (n *Node) leaderOf(group replica.GroupID) replica.NodeID {
	status, err := n.Host.Status(group)
	if err != nil {
		return 0
	}
	return status.Leader
}

// fallbackNode returns one of the nodes that may know a group's leader, in rotation.
func (n *Node) fallbackNode(group replica.GroupID, attempt int) protocol.Node {
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
	return nodes[attempt%len(nodes)]
}
