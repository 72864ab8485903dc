package node

import (
	"context"
	"sync"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/protocol"
)

const (
	// deliverWithin bounds one delivery: what is later is sent anew by the group.
	deliverWithin = time.Second
	// deliveriesMost is how many deliveries to one node may be under way. More would only
	// queue behind a node that doesn't read; groups send again what is lost.
	deliveriesMost = 16
)

// transport carries messages between members of groups. It never blocks, and loses what
// can't be sent.
type transport struct {
	addresses *Addresses
	pool      *link.Pool

	mu    sync.Mutex
	under map[replica.NodeID]int // deliveries under way
}

// Send implements host.Transport.
func (t *transport) Send(to replica.NodeID, messages []replica.Message) {
	n, ok := t.addresses.Find(to)
	if !ok || !t.begin(to) {
		return
	}
	go t.deliver(n, messages)
}

func (t *transport) begin(to replica.NodeID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.under[to] >= deliveriesMost {
		return false
	}
	t.under[to]++
	return true
}

func (t *transport) deliver(to protocol.Node, messages []replica.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), deliverWithin)
	defer cancel()
	args := protocol.DeliverArgs{Messages: messages}
	var reply protocol.Nothing
	// A delivery that fails is lost: the groups send again.
	_ = t.pool.Call(ctx, to.Address, "Replica.Deliver", &args, &reply)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.under[to.ID]--
	if t.under[to.ID] <= 0 {
		delete(t.under, to.ID)
	}
}
