package turnclient

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/wait"
)

// maxFindPause is the longest pause between two rounds of a search. It begins with retryPause and
// doubles, because after a loss of many nodes many searches go on at once.
const maxFindPause = 160 * time.Millisecond

// ErrUnsure means that not every partition could be asked for a turn.
var ErrUnsure = errors.New("not all partitions answered whether they store the turn")

// Find searches all partitions for a turn. It returns false without an error only if the leader of
// every partition has said that it does not store the turn.
func (c *Client) Find(ctx context.Context, attempt string) (history []byte, found bool, err error) {
	without := map[int]bool{}
	for pause := retryPause; ; pause = min(2*pause, maxFindPause) {
		reply, decided := c.findRound(ctx, attempt, without)
		if decided {
			return reply.History, reply.Found, nil
		}
		if !wait.For(ctx, pause) {
			return nil, false, ErrUnsure
		}
	}
}

// findRound asks the nodes of all partitions that have not yet said that they do not store the turn,
// and adds those that say so. It reports whether the search is decided.
func (c *Client) findRound(ctx context.Context, attempt string, without map[int]bool) (protocol.FindReply, bool) {
	nodes, partitions := c.nodesToAsk(without), c.partitions()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	replies := c.findOnAll(ctx, nodes, attempt)
	// A lost node does not answer, so the search ends as soon as the others have covered all
	// partitions.
	for range nodes {
		reply := <-replies
		if reply.Found {
			return reply, true
		}
		for _, partition := range reply.Without {
			without[partition] = true
		}
		if partitions > 0 && len(without) == partitions {
			return protocol.FindReply{}, true
		}
	}
	return protocol.FindReply{}, false
}

// findOnAll asks nodes at once. Each gives one reply, an empty one if the call fails.
func (c *Client) findOnAll(ctx context.Context, nodes []protocol.Node, attempt string) <-chan protocol.FindReply {
	replies := make(chan protocol.FindReply, len(nodes))
	for _, n := range nodes {
		go func() {
			args := protocol.FindArgs{Attempt: attempt, Within: callTimeout}
			var reply protocol.FindReply
			if c.pool.Call(ctx, n.Address, "Turns.Find", &args, &reply) != nil {
				reply = protocol.FindReply{}
			}
			replies <- reply
		}()
	}
	return replies
}

// nodesToAsk returns the storage nodes that may lead a partition that is not in without. A member
// that the directory does not list yet may lead too, so all are asked before any has answered.
func (c *Client) nodesToAsk(without map[int]bool) []protocol.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	voters := map[replica.NodeID]bool{}
	for partition, members := range c.directory.Partitions {
		if without[partition] {
			continue
		}
		for _, id := range members.Voters {
			voters[id] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(c.directory.Nodes), func(n protocol.Node) bool {
		return n.Class != protocol.Storage || len(without) > 0 && !voters[n.ID]
	})
}
