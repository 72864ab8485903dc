package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"oakseam/internal/tier/protocol"
)

const (
	// edgeTimeout is how long after its last call an edge still counts as following the control plane.
	edgeTimeout = 4 * time.Second
	// edgeCollectInterval is how often the node that holds the lister's task asks the other core nodes for
	// the edges that follow them. edgeCollectTimeout bounds each call.
	edgeCollectInterval = 2 * time.Second
	edgeCollectTimeout  = 500 * time.Millisecond
)

// edgeRegistry knows the edges that follow this node, or another core node. The zero value knows none.
type edgeRegistry struct {
	mu    sync.Mutex
	edges map[string]knownEdge // by name
}

// knownEdge is an edge and when it called a core node.
type knownEdge struct {
	zone        string
	calledHere  time.Time // zero if it has not called this node
	calledOther time.Time // when another core node last told of it; zero if none has
}

// lastCall returns the time of the edge's last call that is known.
func (e knownEdge) lastCall() time.Time {
	if e.calledOther.After(e.calledHere) {
		return e.calledOther
	}
	return e.calledHere
}

// record records a call of an edge to this node.
func (r *edgeRegistry) record(name, zone string, now time.Time) {
	r.update(name, func(e *knownEdge) { e.zone, e.calledHere = cmp.Or(zone, e.zone), now })
}

// recordOthers records the edges that another core node knows.
func (r *edgeRegistry) recordOthers(edges []protocol.EdgeNode, now time.Time) {
	for _, edge := range edges {
		r.update(edge.Name, func(e *knownEdge) { e.zone, e.calledOther = cmp.Or(edge.Zone, e.zone), now })
	}
}

func (r *edgeRegistry) update(name string, change func(*knownEdge)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.edges == nil {
		r.edges = map[string]knownEdge{}
	}
	e := r.edges[name]
	change(&e)
	r.edges[name] = e
}

// all returns the edges that follow any core node, sorted by name, and forgets those that are gone.
func (r *edgeRegistry) all(now time.Time) []protocol.EdgeNode {
	return r.since(now, knownEdge.lastCall)
}

// here returns the edges that follow this node.
func (r *edgeRegistry) here(now time.Time) []protocol.EdgeNode {
	return r.since(now, func(e knownEdge) time.Time { return e.calledHere })
}

func (r *edgeRegistry) since(now time.Time, calledAt func(knownEdge) time.Time) []protocol.EdgeNode {
	r.mu.Lock()
	defer r.mu.Unlock()
	var edges []protocol.EdgeNode
	for name, e := range r.edges {
		if now.Sub(e.lastCall()) > edgeTimeout {
			delete(r.edges, name)
		} else if now.Sub(calledAt(e)) <= edgeTimeout {
			edges = append(edges, protocol.EdgeNode{Name: name, Zone: e.zone})
		}
	}
	slices.SortFunc(edges, func(a, b protocol.EdgeNode) int { return cmp.Compare(a.Name, b.Name) })
	return edges
}

// calledFromOtherZone reports whether an edge of another zone than the given one has called this node within a time.
func (r *edgeRegistry) calledFromOtherZone(zone string, within time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, e := range r.edges {
		if e.zone != zone && e.zone != "" && now.Sub(e.calledHere) < within {
			return true
		}
	}
	return false
}

// Edges returns the edges that follow this node. The core node that lists the servers asks for them.
func (s *controlService) Edges(_ *protocol.Nothing, reply *protocol.EdgesReply) error {
	reply.Edges = s.coordinator.edges.here(time.Now())
	return nil
}

// collectEdges asks the other core nodes for their edges while this node holds the lister's task, until ctx
// ends. Edges call only some of the core nodes.
func (c *Coordinator) collectEdges(ctx context.Context) {
	tick := time.NewTicker(edgeCollectInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if status, err := c.node.Host.Status(protocol.ListerTask); err == nil && status.LeaderReady {
			c.collectEdgesOnce(ctx)
		}
	}
}

// collectEdgesOnce asks all other core nodes at once. Nodes that do not answer, and those of a build before
// the call existed, are left out.
func (c *Coordinator) collectEdgesOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, edgeCollectTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, other := range NodesOfClass(c.Directory(), protocol.Core) {
		if other.ID != c.node.Self.ID {
			calls.Go(func() { c.collectEdgesFrom(ctx, other.Address) })
		}
	}
	calls.Wait()
}

func (c *Coordinator) collectEdgesFrom(ctx context.Context, address string) {
	var reply protocol.EdgesReply
	asked := time.Now()
	if err := c.node.Pool.Call(ctx, address, "Control.Edges", &protocol.Nothing{}, &reply); err == nil {
		c.edges.recordOthers(reply.Edges, asked)
	}
}
