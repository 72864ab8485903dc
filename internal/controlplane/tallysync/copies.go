package tallysync

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/tallies"
)

// awaitCopies waits until an entry is on enough disks.
func (n *Node) awaitCopies(ctx context.Context, entry tallies.Entry, position tallies.Position) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	add := &waitingAdd{entry: entry, position: position, holders: map[string]string{}}
	n.waiting[add] = struct{}{}
	defer delete(n.waiting, add)
	n.wakeHolders()
	if err := n.awaitLocked(ctx, func() bool { return n.copied(position, add.holders) }); err != nil {
		return err
	}
	if copies, _ := n.copies(position, add.holders); copies < n.requiredCopies {
		n.degraded.count(n.reachableNodes(), len(n.peers)+1)
	}
	return nil
}

// awaitCoreCopies waits until each of some entries is on enough core nodes.
func (n *Node) awaitCoreCopies(ctx context.Context, positions []tallies.Position) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.adopting++
	defer func() { n.adopting-- }()
	for _, position := range positions {
		if err := n.awaitLocked(ctx, func() bool { return n.onEnoughNodes(position) }); err != nil {
			return err
		}
	}
	return nil
}

// awaitLocked waits until a condition holds. n.mu must be held; it is released meanwhile.
func (n *Node) awaitLocked(ctx context.Context, holds func() bool) error {
	for !holds() {
		progress := n.progress
		n.mu.Unlock()
		err := awaitProgress(ctx, progress, n.stopped)
		n.mu.Lock()
		if err != nil {
			return err
		}
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

// copied reports whether an entry that this node holds is synced on enough disks to be acknowledged: on as
// many as must survive the tolerated losses, and not only in one zone if a disk of another one can be waited
// for. The disks are those of core nodes, and of the holders that have synced it. Fewer are enough only if
// no more can be reached and that looks like a cut. n.mu must be held.
func (n *Node) copied(position tallies.Position, held map[string]string) bool {
	copies, otherZoneHolds := n.copies(position, held)
	awaited, inOtherZone := n.awaitedDisks()
	required := n.requiredCopies
	if n.takesSilenceForCut() {
		required = min(required, awaited)
	}
	if copies < required {
		return false
	}
	return otherZoneHolds || n.requiredCopies == 1 || !inOtherZone
}

// onEnoughNodes reports whether an entry that this node holds is synced on enough core nodes. n.mu must be
// held.
func (n *Node) onEnoughNodes(position tallies.Position) bool {
	copies, _ := n.copies(position, nil)
	return copies >= n.requiredCopies
}

// copies returns the number of disks, including this node's, on which an entry is synced, and whether one
// of them is in another zone. The second argument are the zones of the holders that have synced it. n.mu
// must be held.
func (n *Node) copies(position tallies.Position, held map[string]string) (copies int, otherZoneHolds bool) {
	copies = 1
	for _, p := range n.peers {
		if p.vector.Holds(position) {
			copies++
			otherZoneHolds = otherZoneHolds || p.zone != n.self.Zone
		}
	}
	for _, zone := range held {
		copies++
		otherZoneHolds = otherZoneHolds || zone != n.self.Zone
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

// takesAdds reports whether adds can be acknowledged, as far as this node knows: on enough disks, or behind
// a cut. A process that was in touch with enough core nodes waits to learn which of them it is. To one that
// has just started the others may be silent because they are yet to start, so without enough disks it waits
// longer. Nodes that answer, but not with what they hold, are behind no cut. n.mu must be held.
func (n *Node) takesAdds() bool {
	if n.answeringNodes()+n.answeringHolders() >= n.requiredCopies {
		return true
	}
	if !n.joined && (n.aloneTicks < n.patienceTicks || n.reachableNodes() >= n.requiredCopies) {
		return false
	}
	return n.reachableDisks() >= n.requiredCopies || n.ownZoneAlone()
}

// answeringHolders returns the number of holders that have answered since they are asked, and store what
// they are sent. n.mu must be held.
func (n *Node) answeringHolders() int {
	answering := 0
	for _, h := range n.storingHolders() {
		if h.answered {
			answering++
		}
	}
	return answering
}

// reachableDisks returns the number of machines with a disk for adds that can be reached, including this
// one. n.mu must be held.
func (n *Node) reachableDisks() int { return n.reachableNodes() + len(n.storingHolders()) }

// takesSilenceForCut reports whether an add may be acknowledged on fewer disks than must survive the
// tolerated losses, because no more can be reached and that looks like a cut. n.mu must be held.
func (n *Node) takesSilenceForCut() bool {
	return n.reachableDisks() < n.requiredCopies && n.ownZoneAlone()
}

// awaitedDisks returns the number of disks, including this node's, whose copies an add may wait for, and
// whether one of them is in another zone. These are the reachable ones. Where they are fewer than the
// required copies, an add does not also wait for a core node whose disk is full or does not respond. n.mu
// must be held.
func (n *Node) awaitedDisks() (awaited int, inOtherZone bool) {
	tooFew := n.reachableDisks() < n.requiredCopies
	awaited = 1
	for _, p := range n.peers {
		if !p.reachable || tooFew && p.stalled {
			continue
		}
		awaited++
		inOtherZone = inOtherZone || p.zone != n.self.Zone
	}
	for _, h := range n.storingHolders() {
		awaited++
		inOtherZone = inOtherZone || h.zone != n.self.Zone
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

// notifyWaiting lets those that wait for copies check them again. n.mu must be held.
func (n *Node) notifyWaiting() {
	if len(n.waiting)+n.adopting > 0 {
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
