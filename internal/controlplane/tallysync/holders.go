package tallysync

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
)

const (
	// quietTicks is the number of ticks in a row without an answer after which a core node is not counted
	// on: then copies are stored on machines outside the core, before it is known to be unreachable.
	quietTicks = 3
	// holderUnreachableTicks is the number of ticks in a row without an answer after which a holder counts
	// as unreachable.
	holderUnreachableTicks = 3
	// callerWindow is how long ago a machine of another zone may have called this node to count as one that
	// can be reached. An edge calls again after its call was held for watch.LongPollWait.
	callerWindow = 1200 * time.Millisecond
)

// holderPeer is a machine outside the core that can hold copies of adds: a storage machine. Holders are called
// only while too few core nodes answer, and after the start. Except for the channel, the fields are guarded
// by Node.mu.
type holderPeer struct {
	address string
	wake    chan struct{} // signals that there may be adds to copy
	stop    context.CancelFunc

	zone        string
	reachable   bool // counts only while holders are asked
	missedTicks int  // since its last answer
	answered    bool // since holders are asked
	refuses     bool // it stored nothing at the last call: its disk is full or stalls, or its build holds no copies

	settled      bool // this node has all that it held at this node's start, or gave up waiting for it
	unheardTicks int  // since the node knows it
	life         uint64
	fetched      uint64 // position up to which this node has what the holder held, in that life of its process
}

// notify starts a call unless one is in progress.
func (h *holderPeer) notify() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// storing reports whether the holder is a disk that can be counted on. Node.mu must be held.
func (h *holderPeer) storing() bool { return h.reachable && !h.refuses }

// holderSet is the set of holders that a node knows. It is guarded by Node.mu.
type holderSet struct {
	asked     bool // too few core nodes answer, so holders are asked
	byAddress map[string]*holderPeer
}

// updateHolders starts and ends the calls as storage machines come and go. n.mu must be held.
func (n *Node) updateHolders(ctx context.Context, members []protocol.Node) {
	current := make(map[string]bool, len(members))
	for _, member := range members {
		if member.Class != protocol.Storage {
			continue
		}
		current[member.Address] = true
		n.updateHolder(ctx, member)
	}
	for address, h := range n.holders.byAddress {
		if !current[address] {
			h.stop()
			delete(n.holders.byAddress, address)
			n.notifyWaiting()
		}
	}
}

// updateHolder starts the calls to a holder that is new. n.mu must be held.
func (n *Node) updateHolder(ctx context.Context, member protocol.Node) {
	h := n.holders.byAddress[member.Address]
	if h == nil {
		holderCtx, stop := context.WithCancel(ctx)
		h = &holderPeer{address: member.Address, wake: make(chan struct{}, 1), stop: stop, reachable: true}
		if n.holders.byAddress == nil {
			n.holders.byAddress = map[string]*holderPeer{}
		}
		n.holders.byAddress[member.Address] = h
		n.loops.Go(func() { n.holdRepeatedly(holderCtx, h) })
	}
	h.zone = member.Zone
}

// tickHolders counts the holders that have not answered since the last tick, and decides whether they are
// asked. n.mu must be held.
func (n *Node) tickHolders(paused bool) {
	asked := n.recentNodes() < n.requiredCopies
	if asked != n.holders.asked {
		n.askHolders(asked)
		return
	}
	for _, h := range n.holders.byAddress {
		h.unheardTicks++
		h.settled = h.settled || h.unheardTicks >= startTicks
		if paused && h.reachable {
			h.missedTicks = 0
		}
		h.missedTicks++
		if asked && h.reachable && h.missedTicks >= holderUnreachableTicks {
			h.reachable = false
			n.notifyWaiting()
		}
	}
}

// askHolders begins or ends a time in which holders are asked. n.mu must be held.
func (n *Node) askHolders(asked bool) {
	n.holders.asked = asked
	if !asked {
		return
	}
	for _, h := range n.holders.byAddress {
		// The tick that ends now counts: an add that has waited for core nodes since then soon times out.
		h.reachable, h.missedTicks, h.answered = true, 1, false
		h.notify()
	}
	if len(n.holders.byAddress) > 0 {
		klog.InfoS("Too few core nodes answer; storage nodes are asked to hold copies of adds to tallies", "holders", len(n.holders.byAddress), "members", len(n.peers)+1)
	}
}

// recentNodes returns the number of core nodes, including this one, that have told lately what they hold.
// n.mu must be held.
func (n *Node) recentNodes() int {
	recent := 1
	for _, p := range n.peers {
		if p.reachable && p.vector != nil && p.missedTicks < quietTicks {
			recent++
		}
	}
	return recent
}

// storingHolders returns the holders that are asked now and can be counted on. n.mu must be held.
func (n *Node) storingHolders() []*holderPeer {
	if !n.holders.asked {
		return nil
	}
	var storing []*holderPeer
	for _, h := range n.holders.byAddress {
		if h.storing() {
			storing = append(storing, h)
		}
	}
	return storing
}

// ObserveCallers sets a function that reports whether a machine outside the core has called this node from
// another zone within a time. It must be called before Run.
func (n *Node) ObserveCallers(calledFromOtherZone func(within time.Duration) bool) {
	n.calledFromOtherZone = calledFromOtherZone
}

// ownZoneAlone reports whether it looks from here as if the own zone were cut off: no machine outside the
// core answers or calls from another zone, but one of the own zone answers, if one is known. Machines that
// have lost their power are silent too, so without an answer from the own zone nothing is concluded. n.mu
// must be held.
func (n *Node) ownZoneAlone() bool {
	if n.calledFromOtherZone != nil && n.calledFromOtherZone(callerWindow) {
		return false
	}
	known, answers := false, false
	for _, h := range n.holders.byAddress {
		known = known || h.zone == n.self.Zone
		switch {
		case !n.holders.asked || !h.reachable:
		case h.zone != n.self.Zone:
			return false
		default:
			answers = true
		}
	}
	return !known || answers
}

// waitingAdd is an add that waits for copies. It is guarded by Node.mu.
type waitingAdd struct {
	entry    tallies.Entry
	position tallies.Position
	holders  map[string]string // zones of the holders that have synced the entry, by their addresses
}

// preferredHolders returns the addresses of the holders that copies are stored on: as many as copies are
// required, of zones in turn, and for this node always in the same order. n.mu must be held.
func (n *Node) preferredHolders() map[string]bool {
	ranked := slices.DeleteFunc(n.storingHolders(), func(h *holderPeer) bool { return h.missedTicks >= holderUnreachableTicks-1 })
	slices.SortFunc(ranked, func(a, b *holderPeer) int { return cmp.Compare(n.rankOf(a), n.rankOf(b)) })
	ofZone := map[string]int{}
	turn := make(map[*holderPeer]int, len(ranked))
	for _, h := range ranked {
		turn[h] = ofZone[h.zone]
		ofZone[h.zone]++
	}
	slices.SortStableFunc(ranked, func(a, b *holderPeer) int { return cmp.Compare(turn[a], turn[b]) })
	preferred := map[string]bool{}
	for _, h := range ranked[:min(len(ranked), n.requiredCopies)] {
		preferred[h.address] = true
	}
	return preferred
}

func (n *Node) rankOf(h *holderPeer) uint64 { return hashing.Sum64(n.self.Address + "|" + h.address) }

// toCopy returns the waiting adds that a holder should store and has not yet, up to about maxMessageBytes.
// n.mu must be held.
func (n *Node) toCopy(h *holderPeer) []*waitingAdd {
	if !n.holders.asked || len(n.waiting) == 0 || !n.preferredHolders()[h.address] {
		return nil
	}
	var lacking []*waitingAdd
	size := 0
	for add := range n.waiting {
		if _, held := add.holders[h.address]; held {
			continue
		}
		lacking = append(lacking, add)
		if size += add.entry.Bytes(); size >= maxMessageBytes {
			break
		}
	}
	return lacking
}

// wakeHolders starts calls to the holders that copies are stored on. n.mu must be held.
func (n *Node) wakeHolders() {
	if !n.holders.asked {
		return
	}
	for address := range n.preferredHolders() {
		n.holders.byAddress[address].notify()
	}
}
