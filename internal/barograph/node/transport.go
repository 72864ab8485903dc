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
	// deliverWithin bounds one delivery, and perMegabyte is added for what it carries, so that a
	// narrow link can take it: what is later is sent anew by the group.
	deliveryTimeout       = time.Second
	deliveryTimeoutPerMiB = time.Second
	// deliveriesMost is how many deliveries to one node may be under way on each of the two
	// connections. More would only queue behind a node that doesn't read; groups send again what
	// is lost.
	maxDeliveriesInFlight = 16
)

// transport carries messages between members of groups. It never blocks, and loses what
// can't be sent. Parts of snapshots have a connection of their own, so that heartbeats don't
// queue behind them; entries go with the heartbeats, in whose order they are awaited.
type transport struct {
	addresses *AddressBook
	regular   lane
	bulk      lane
}

// lane is one of the two connections to each node.
type lane struct {
	pool *link.Pool

	mu       sync.Mutex
	inFlight map[replica.NodeID]int // deliveries under way
}

// Send implements host.Transport.
func (t *transport) Send(to replica.NodeID, messages []replica.Message) {
	n, ok := t.addresses.Find(to)
	if !ok {
		return
	}
	var regular []replica.Message
	size := 0
	for _, m := range messages {
		if m.Kind == replica.InstallSnapshot {
			t.bulk.send(n, []replica.Message{m}, m.PayloadSize())
			continue
		}
		regular = append(regular, m)
		size += m.PayloadSize()
	}
	if len(regular) > 0 {
		t.regular.send(n, regular, size)
	}
}

// send delivers messages of some size in bytes, unless too many are under way.
func (l *lane) send(to protocol.Node, messages []replica.Message, size int) {
	if l.tryStart(to.ID) {
		go l.deliver(to, messages, deliveryTimeout+deliveryTimeoutPerMiB*time.Duration(size)/(1<<20))
	}
}

func (l *lane) tryStart(to replica.NodeID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inFlight[to] >= maxDeliveriesInFlight {
		return false
	}
	if l.inFlight == nil {
		l.inFlight = map[replica.NodeID]int{}
	}
	l.inFlight[to]++
	return true
}

func (l *lane) deliver(to protocol.Node, messages []replica.Message, within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	args := protocol.DeliverArgs{Messages: messages}
	var reply protocol.Nothing
	// A delivery that fails is lost: the groups send again.
	_ = l.pool.Call(ctx, to.Address, "Replica.Deliver", &args, &reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[to.ID]--
	if l.inFlight[to.ID] <= 0 {
		delete(l.inFlight, to.ID)
	}
}
