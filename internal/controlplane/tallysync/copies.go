package tallysync

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/tallies"
)

// awaitCopies waits until an entry is on enough nodes.
func (n *Node) awaitCopies(ctx context.Context, position tallies.Position) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting++
	defer func() { n.waiting-- }()
	for !n.copied(position) {
		progress := n.progress
		n.mu.Unlock()
		err := awaitProgress(ctx, progress, n.stopped)
		n.mu.Lock()
		if err != nil {
			return err
		}
	}
	if copies, _ := n.copies(position); copies < n.requiredCopies {
		n.degraded.count(n.reachableNodes(), len(n.peers)+1)
	}
	return nil
}

func awaitProgress(ctx context.Context, progress, stopped <-chan struct{}) error {
	select {
	case <-progress:
		return nil
	case <-ctx.Done():
	case <-stopped:
	}
	return ErrUncertain
}

// copied reports whether an entry that this node holds is synced on enough nodes to be acknowledged:
// on as many as must survive the tolerated losses, or on all that can be reached if these are fewer;
// and not only in one zone, if another one can be reached. n.mu must be held.
func (n *Node) copied(position tallies.Position) bool {
	copies, otherZoneHolds := n.copies(position)
	if copies < min(n.requiredCopies, n.reachableNodes()) {
		return false
	}
	return otherZoneHolds || n.requiredCopies == 1 || !n.otherZoneReachable()
}

// copies returns the number of nodes, including this one, that have synced an entry, and whether one
// of them is in another zone. n.mu must be held.
func (n *Node) copies(position tallies.Position) (copies int, otherZoneHolds bool) {
	copies = 1
	for _, p := range n.peers {
		if p.vector.Holds(position) {
			copies++
			otherZoneHolds = otherZoneHolds || p.zone != n.self.Zone
		}
	}
	return copies, otherZoneHolds
}

// reachableNodes returns the number of nodes that can be reached, including this one. n.mu must be held.
func (n *Node) reachableNodes() int {
	reachable := 1
	for _, p := range n.peers {
		if p.reachable {
			reachable++
		}
	}
	return reachable
}

// otherZoneReachable reports whether a node in another zone can be reached. n.mu must be held.
func (n *Node) otherZoneReachable() bool {
	for _, p := range n.peers {
		if p.reachable && p.zone != n.self.Zone {
			return true
		}
	}
	return false
}

// recordAnswer records that a node answered a call of this node. n.mu must be held.
func (n *Node) recordAnswer(p *peer) {
	p.missedTicks = 0
	if !p.reachable {
		p.reachable = true
		klog.InfoS("A core node is reachable for tallies again", "address", p.address, "zone", p.zone, "reachable", n.reachableNodes(), "members", len(n.peers)+1)
	}
	n.notifyWaiting()
}

// notifyWaiting lets waiting adds check their copies again. n.mu must be held.
func (n *Node) notifyWaiting() {
	if n.waiting > 0 {
		close(n.progress)
		n.progress = make(chan struct{})
	}
}

// degradedPeriod is a time in which adds are acknowledged with fewer copies than must survive the
// tolerated losses, because a cut leaves too few nodes.
type degradedPeriod struct {
	acknowledged int // adds acknowledged in the period; 0: no such period
	since        time.Time
}

// count counts an add that was acknowledged with fewer copies.
func (d *degradedPeriod) count(reachable, members int) {
	if d.acknowledged == 0 {
		d.since = time.Now()
		klog.InfoS("Adds to tallies are acknowledged with fewer copies than the tolerated losses require", "reachable", reachable, "members", members)
	}
	d.acknowledged++
}

// end ends the period if there is one.
func (d *degradedPeriod) end() {
	if d.acknowledged > 0 {
		klog.InfoS("Adds to tallies have enough copies again", "acknowledgedWithFewer", d.acknowledged, "duration", time.Since(d.since))
		*d = degradedPeriod{}
	}
}
