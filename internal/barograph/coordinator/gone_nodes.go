package coordinator

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/station/protocol"
)

const (
	// goneEvery is how often the directory's nodes are asked whether they are there, and
	// goneAfter how long one may say nothing before it is forgotten: longer than any repair
	// of a machine that comes back with its disk and its name.
	goneCheckInterval = 15 * time.Second
	removeAfter       = 10 * time.Minute
)

// graveyard remembers since when nodes say nothing.
type silenceTracker map[replica.NodeID]time.Time

// due notes who answers now and returns who has been silent for too long.
func (g silenceTracker) observe(now time.Time, nodes, alive []protocol.Node) []replica.NodeID {
	var gone []replica.NodeID
	for _, n := range nodes {
		since, silent := g[n.ID]
		switch {
		case slices.Contains(alive, n):
			delete(g, n.ID)
		case !silent:
			g[n.ID] = now
		case now.Sub(since) >= removeAfter:
			gone = append(gone, n.ID)
		}
	}
	return gone
}

// clear takes nodes that are gone for good out of the directory, while this node owns the
// configuration.
func (c *Coordinator) removeGoneNodes(ctx context.Context) {
	tick := time.NewTicker(goneCheckInterval)
	defer tick.Stop()
	silent := silenceTracker{}
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		status, err := c.node.Host.Status(protocol.ConfigurationGroup)
		if err != nil || !status.LeaderReady {
			silent = silenceTracker{}
			continue
		}
		nodes := c.Directory().Nodes
		for _, id := range silent.observe(time.Now(), nodes, c.node.Alive(ctx, nodes)) {
			err := c.submit(ctx, &revisions.Command{Forget: id})
			klog.InfoS("A node that is gone leaves the directory", "id", id, "cause", err)
			delete(silent, id)
		}
	}
}
