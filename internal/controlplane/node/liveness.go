package node

import (
	"context"
	"sync"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

const (
	// probeTimeout is how long a node may take to answer a liveness probe.
	probeTimeout = 250 * time.Millisecond
	// handOverTimeout is how long an ending process waits until other nodes lead its groups.
	handOverTimeout      = 400 * time.Millisecond
	handOverPollInterval = 20 * time.Millisecond
)

// Alive returns those of the nodes that respond now. It is called only when a group needs
// another member, since a directory also lists nodes that are down.
func (n *Node) Alive(ctx context.Context, nodes []protocol.Node) []protocol.Node {
	responds := make([]bool, len(nodes))
	var done sync.WaitGroup
	for i, o := range nodes {
		if o.ID == n.Self.ID {
			responds[i] = true
			continue
		}
		done.Go(func() { responds[i] = n.responds(ctx, o) })
	}
	done.Wait()
	var alive []protocol.Node
	for i, o := range nodes {
		if responds[i] {
			alive = append(alive, o)
		}
	}
	return alive
}

// responds reports whether the given incarnation of a node responds.
func (n *Node) responds(ctx context.Context, o protocol.Node) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	args := protocol.HelloArgs{Self: n.Self, WithoutNodes: true}
	var reply protocol.HelloReply
	err := n.Pool.Call(ctx, o.Address, "Replica.Hello", &args, &reply)
	return err == nil && reply.Self.ID == o.ID
}

// TransferLeaderships transfers this node's leaderships to other nodes within a short time,
// so that the groups need not detect the end of this process by a timeout.
func (n *Node) TransferLeaderships() {
	for until := time.Now().Add(handOverTimeout); time.Now().Before(until); time.Sleep(handOverPollInterval) {
		led := 0
		for _, status := range n.Host.Statuses() {
			if !status.LeaderReady {
				continue
			}
			led++
			if to := successor(status); to != 0 {
				n.Host.TransferLeadership(status.Group, to)
			}
		}
		if led == 0 {
			return
		}
	}
}

// successor returns the other voter that holds most of the leader's log, 0 if there is none.
func successor(s replica.Status) replica.NodeID {
	best := replica.NodeID(0)
	for _, id := range s.Members.Voters {
		if id != s.Self && (best == 0 || s.MatchIndex[id] > s.MatchIndex[best]) {
			best = id
		}
	}
	return best
}
