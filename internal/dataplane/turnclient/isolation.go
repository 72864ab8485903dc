package turnclient

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/wait"
)

const (
	// quietPeriod is how long after the last answer from another zone the storage nodes are probed.
	quietPeriod = 500 * time.Millisecond
	// isolationInterval is the pause between two checks of whether the zone is isolated.
	isolationInterval = 250 * time.Millisecond
	// minOtherZones is how many other zones must be silent: the loss of a single one cannot be told from a
	// cut, and its clients have nowhere else to go.
	minOtherZones = 2
	// probeWithin bounds the work of a storage node on a probe.
	probeWithin = 100 * time.Millisecond
)

// Isolation detects that the storage nodes of this node's own zone answer while those of all other
// zones are silent: then the zone is cut off and its nodes reach hardly any leader. If all storage
// nodes are silent, no other zone is better off, so the zone does not count as isolated. The same holds
// where only one other zone has storage nodes.
type Isolation struct {
	pool *rpc.Pool
	zone string

	mu        sync.Mutex
	own       []protocol.Node         // storage nodes of this zone
	others    []protocol.Node         // storage nodes of other zones
	isOther   map[replica.NodeID]bool // the nodes of others
	lastHeard time.Time               // last answer from another zone
	isolated  bool
}

// NewIsolation returns an Isolation of a zone that knows no storage nodes.
func NewIsolation(pool *rpc.Pool, zone string) *Isolation {
	return &Isolation{pool: pool, zone: zone}
}

// SetDirectory replaces the directory of nodes.
func (i *Isolation) SetDirectory(directory protocol.Directory) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.own, i.others, i.isOther = nil, nil, map[replica.NodeID]bool{}
	for _, node := range directory.Nodes {
		switch {
		case node.Class != protocol.Storage:
		case node.Zone == i.zone:
			i.own = append(i.own, node)
		default:
			i.others = append(i.others, node)
			i.isOther[node.ID] = true
		}
	}
}

// Isolated reports whether the zone is cut off from the storage nodes of all other zones.
func (i *Isolation) Isolated() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isolated
}

// Run keeps Isolated up to date until ctx ends.
func (i *Isolation) Run(ctx context.Context) {
	for wait.For(ctx, isolationInterval) {
		i.check(ctx)
	}
}

// heard records that a node answered a call.
func (i *Isolation) heard(id replica.NodeID) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.isOther[id] {
		i.lastHeard = time.Now()
	}
}

// check probes the storage nodes, unless another zone has answered recently.
func (i *Isolation) check(ctx context.Context) {
	own, others, quiet := i.nodesToProbe()
	isolated := false
	if quiet && len(own) > 0 && zonesOf(others) >= minOtherZones {
		ownAnswers := i.probe(ctx, own)
		othersAnswer := <-i.probe(ctx, others)
		isolated = !othersAnswer && <-ownAnswers
	}
	i.setIsolated(isolated)
}

// zonesOf returns the number of zones that nodes are in.
func zonesOf(nodes []protocol.Node) int {
	zones := map[string]struct{}{}
	for _, node := range nodes {
		zones[node.Zone] = struct{}{}
	}
	return len(zones)
}

// nodesToProbe returns the storage nodes of this zone and of the others, and whether the others have
// been quiet for quietPeriod.
func (i *Isolation) nodesToProbe() (own, others []protocol.Node, quiet bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.own, i.others, time.Since(i.lastHeard) >= quietPeriod
}

// probe asks nodes at once. The channel receives true as soon as one answers, or false if none does
// within callTimeout.
func (i *Isolation) probe(ctx context.Context, nodes []protocol.Node) <-chan bool {
	result := make(chan bool, 1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	answers := make(chan bool, len(nodes))
	for _, node := range nodes {
		go func() { answers <- i.answers(ctx, node) }()
	}
	go func() {
		defer cancel()
		for range nodes {
			if <-answers {
				result <- true
				return
			}
		}
		result <- false
	}()
	return result
}

// answers reports whether a node answers a search for a turn that does not exist.
func (i *Isolation) answers(ctx context.Context, node protocol.Node) bool {
	args := protocol.FindArgs{Within: probeWithin}
	if i.pool.Call(ctx, node.Address, "Turns.Find", &args, &protocol.FindReply{}) != nil {
		return false
	}
	i.heard(node.ID)
	return true
}

// setIsolated stores and logs whether the zone is isolated. A process that has heard no other zone yet
// cannot tell a cut from nodes that have not started.
func (i *Isolation) setIsolated(isolated bool) {
	i.mu.Lock()
	isolated = isolated && !i.lastHeard.IsZero()
	changed := i.isolated != isolated
	i.isolated = isolated
	i.mu.Unlock()
	if changed {
		klog.InfoS("Reaching the storage nodes of other zones", "zone", i.zone, "reached", !isolated)
	}
}
