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
// on as many as must survive the tolerated losses, or on all that can be waited for if these are fewer;
// and not only in one zone, if a node of another one is waited for. n.mu must be held.
func (n *Node) copied(position tallies.Position) bool {
	copies, otherZoneHolds := n.copies(position)
	awaited, inOtherZone := n.awaitedNodes()
	if copies < min(n.requiredCopies, awaited) {
		return false
	}
	return otherZoneHolds || n.requiredCopies == 1 || !inOtherZone
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

// updateJoined records that this process has reached the required number of nodes. n.mu must be held.
func (n *Node) updateJoined() {
	if n.joined || n.answeringNodes() < n.requiredCopies {
		return
	}
	n.joined = true
	klog.InfoS("Enough core nodes were reached for adds to tallies", "reachable", n.reachableNodes(), "members", len(n.peers)+1)
}

// countAlone counts a tick in which this process has not joined. n.mu must be held.
func (n *Node) countAlone() {
	if n.joined {
		return
	}
	n.aloneTicks++
	if n.aloneTicks == n.patienceTicks {
		klog.InfoS("Too few core nodes were reached for tallies since the start", "reachable", n.reachableNodes(), "members", len(n.peers)+1, "takenForCut", n.takesAdds())
	}
}

// answeringNodes returns the number of nodes, including this one, that are reachable and have told what
// they hold. n.mu must be held.
func (n *Node) answeringNodes() int {
	answering := 1
	for _, p := range n.peers {
		if p.reachable && p.vector != nil {
			answering++
		}
	}
	return answering
}

// takesAdds reports whether silence of too many nodes may count as a cut. A process that was in touch
// with enough of them has lost them to a cut, since no more than the tolerated losses are lost at once.
// To a process that has just started the others may be silent because they are yet to start, so it waits
// longer. Nodes that answer, but not with what they hold, are behind no cut. n.mu must be held.
func (n *Node) takesAdds() bool {
	return n.joined || n.aloneTicks >= n.patienceTicks && n.reachableNodes() < n.requiredCopies
}

// awaitedNodes returns the number of nodes, including this one, whose copies an add may wait for, and
// whether one of them is in another zone. These are the reachable ones. Behind a cut that leaves fewer
// than the required copies, an add does not also wait for a disk that is full or does not respond.
// n.mu must be held.
func (n *Node) awaitedNodes() (awaited int, inOtherZone bool) {
	cutOff := n.reachableNodes() < n.requiredCopies
	awaited = 1
	for _, p := range n.peers {
		if !p.reachable || cutOff && p.stalled {
			continue
		}
		awaited++
		inOtherZone = inOtherZone || p.zone != n.self.Zone
	}
	return awaited, inOtherZone
}

// recordAnswer records that a node answered a call of this node, which proves both directions of the
// link. n.mu must be held.
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
