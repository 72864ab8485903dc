package coordinator

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/protocol"
)

const (
	// goneCheckInterval is how often the directory's nodes are probed. removeAfter is how long one
	// may be silent before it is removed: longer than any repair of a machine that comes back with
	// its disk and its name.
	goneCheckInterval = 15 * time.Second
	removeAfter       = 10 * time.Minute
)

// silenceTracker records since when nodes have not responded.
type silenceTracker map[replica.NodeID]time.Time

// observe records which nodes respond now and returns those that have been silent too long.
func (s silenceTracker) observe(now time.Time, nodes, alive []protocol.Node) []replica.NodeID {
	var gone []replica.NodeID
	for _, n := range nodes {
		since, silent := s[n.ID]
		switch {
		case slices.Contains(alive, n):
			delete(s, n.ID)
		case !silent:
			s[n.ID] = now
		case now.Sub(since) >= removeAfter:
			gone = append(gone, n.ID)
		}
	}
	return gone
}

// removeGoneNodes removes nodes that are permanently gone from the directory, while this node
// leads the configuration group.
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
			klog.InfoS("Removal of a gone node from the directory", "id", id, "cause", err)
			delete(silent, id)
		}
	}
}
