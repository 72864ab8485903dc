package tallysync

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/rpc"
)

// HoldArgs asks a holder to store copies of adds, and for what it holds.
type HoldArgs struct {
	Entries []tallies.Entry
	Fetch   bool // whether the caller wants what the holder holds
	// After is the position, in a life of the holder's process, up to which the caller has what it holds.
	Life  uint64
	After uint64
}

// HoldReply tells what a holder did.
type HoldReply struct {
	Refused bool   // the entries are not stored: the disk is full or does not respond, or too much is held
	Life    uint64 // identifies the life of the holder's process
	// Held are adds that the holder holds after the caller's position, Last is the position of the last one.
	Held []tallies.Entry
	Last uint64
	More bool // whether more follow
}

// AdoptArgs brings adds that a holder holds copies of.
type AdoptArgs struct{ Entries []tallies.Entry }

// AdoptReply says that the adds are on enough core nodes, so that the copies are no longer needed.
type AdoptReply struct{}

// HolderServiceName is the name of a holder's service, holdMethod that of its call. adoptMethod is the
// call of a core node by which a holder hands its copies over.
const (
	HolderServiceName = "TallyCopies"
	holdMethod        = HolderServiceName + ".Hold"
	adoptMethod       = ServiceName + ".Adopt"
)

// holdRepeatedly calls a holder until ctx ends: regularly while holders are asked or until this node has
// what it held, and at once if there are adds to copy.
func (n *Node) holdRepeatedly(ctx context.Context, h *holderPeer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-h.wake:
		case <-ctx.Done():
			return
		}
		due, again := true, true
		for again && ctx.Err() == nil {
			due, again = n.hold(ctx, h)
		}
		if due {
			timer.Reset(n.interval)
		}
	}
}

// hold makes one call to a holder if one is due, and reports whether it was, and whether the next one
// should follow at once.
func (n *Node) hold(ctx context.Context, h *holderPeer) (due, again bool) {
	args, copied, due := n.newHold(h)
	if !due {
		return false, false
	}
	callCtx, cancel := context.WithTimeout(ctx, n.exchangeTimeout())
	defer cancel()
	var reply HoldReply
	if err := n.transport.Hold(callCtx, h.address, args, &reply); err != nil {
		n.recordHoldFailure(h, err)
		return true, false
	}
	if len(reply.Held) > 0 {
		if err := n.storeHeld(ctx, reply.Held); err != nil {
			return true, false // fetched again by a later call
		}
	}
	return true, n.finishHold(h, args, &reply, copied)
}

// newHold returns the arguments of a call and the adds that it copies, or false if no call is due.
func (n *Node) newHold(h *holderPeer) (args *HoldArgs, copied []*waitingAdd, due bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.holders.asked && h.settled {
		return nil, nil, false
	}
	args = &HoldArgs{Fetch: !h.settled, Life: h.life, After: h.fetched}
	copied = n.toCopy(h)
	for _, add := range copied {
		args.Entries = append(args.Entries, add.entry)
	}
	return args, copied, true
}

// storeHeld stores adds that a holder holds, unless this node holds them already.
func (n *Node) storeHeld(ctx context.Context, entries []tallies.Entry) error {
	ctx, cancel := context.WithTimeout(ctx, n.exchangeTimeout())
	defer cancel()
	c := &change{held: entries}
	if err := n.enqueueReceived(c); err != nil {
		return err
	}
	_, err := n.await(ctx, c)
	return err
}

// recordHoldFailure records that a holder answered with an error: it runs, but holds no copies.
func (n *Node) recordHoldFailure(h *holderPeer, err error) {
	var answer *rpc.RemoteError
	if !errors.As(err, &answer) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	h.refuses = true
	n.recordHolderAnswer(h)
	h.settled = true
	n.updateReadiness()
}

// finishHold records an answer and reports whether the next call should follow at once.
func (n *Node) finishHold(h *holderPeer, args *HoldArgs, reply *HoldReply, copied []*waitingAdd) (again bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h.refuses = reply.Refused
	if args.Fetch {
		h.life, h.fetched = reply.Life, reply.Last
		h.settled = h.settled || !reply.More
	}
	if !reply.Refused {
		for _, add := range copied {
			add.holders[h.address] = h.zone
		}
	}
	n.recordHolderAnswer(h)
	n.updateReadiness()
	return !h.settled && reply.More || !reply.Refused && len(n.toCopy(h)) > 0
}

// recordHolderAnswer records that a holder answered a call of this node. n.mu must be held.
func (n *Node) recordHolderAnswer(h *holderPeer) {
	h.missedTicks, h.reachable, h.answered = 0, true, true
	n.notifyWaiting()
}

// Adopt stores adds that a holder holds copies of, and returns once they are on enough core nodes.
func (s *Service) Adopt(args *AdoptArgs, _ *AdoptReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), addTimeout)
	defer cancel()
	return s.node.adopt(ctx, args.Entries)
}

func (n *Node) adopt(ctx context.Context, entries []tallies.Entry) error {
	if err := n.takesCopies(); err != nil {
		return err
	}
	c := &change{held: entries, replicate: true}
	if err := n.enqueueReceived(c); err != nil {
		return err
	}
	result, err := n.await(ctx, c)
	if err != nil {
		return err
	}
	if err := n.awaitCoreCopies(ctx, result.held); err != nil {
		return err
	}
	klog.V(1).InfoS("Adds to tallies of which storage nodes held copies are on enough core nodes", "adds", len(entries))
	return nil
}

// takesCopies refuses copies while too few core nodes answer to replace them.
func (n *Node) takesCopies() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended || n.recentNodes() < n.requiredCopies {
		return ErrNotReady
	}
	return nil
}
