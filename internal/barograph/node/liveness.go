package node

import (
	"context"
	"sync"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/protocol"
)

const (
	// aliveWithin is how long a node may take to say that it is there.
	probeTimeout = 250 * time.Millisecond
	// handOverWithin is how long a process that ends waits for others to own its groups.
	handOverTimeout      = 400 * time.Millisecond
	handOverPollInterval = 20 * time.Millisecond
)

// Alive returns those of the nodes that answer now. It is asked only where a group needs
// another member: a directory also holds nodes that are down.
func (n *Node) Alive(ctx context.Context, nodes []protocol.Node) []protocol.Node {
	answers := make([]bool, len(nodes))
	var done sync.WaitGroup
	for i, o := range nodes {
		if o.ID == n.Self.ID {
			answers[i] = true
			continue
		}
		done.Go(func() { answers[i] = n.answers(ctx, o) })
	}
	done.Wait()
	var alive []protocol.Node
	for i, o := range nodes {
		if answers[i] {
			alive = append(alive, o)
		}
	}
	return alive
}

// answers tells whether that very incarnation of a node is there.
func (n *Node) answers(ctx context.Context, o protocol.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	args := protocol.HelloArgs{Self: n.Self}
	var reply protocol.HelloReply
	err := n.Pool.Call(ctx, o.Address, "Replica.Hello", &args, &reply)
	return err == nil && reply.Self.ID == o.ID
}

// HandOver gives the groups that this node owns to others, as far as that goes quickly:
// a process that is told to end needn't be missed first.
func (n *Node) TransferLeaderships() {
	for until := time.Now().Add(handOverTimeout); time.Now().Before(until); time.Sleep(handOverPollInterval) {
		owned := 0
		for _, status := range n.Host.Statuses() {
			if !status.LeaderReady {
				continue
			}
			owned++
			if to := successor(status); to != 0 {
				n.Host.TransferLeadership(status.Group, to)
			}
		}
		if owned == 0 {
			return
		}
	}
}

// successor is the voter that holds most of an owner's log, 0 where there is none.
func successor(s replica.Status) replica.NodeID {
	best := replica.NodeID(0)
	for _, id := range s.Members.Voters {
		if id != s.Self && (best == 0 || s.MatchIndex[id] > s.MatchIndex[best]) {
			best = id
		}
	}
	return best
}
