package node

import (
	"context"
	"sync"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

const (
	// deliveryTimeout bounds one delivery. deliveryTimeoutPerMiB is added for its payload, so that
	// a slow link can carry it. The group resends what does not arrive in time.
	deliveryTimeout       = time.Second
	deliveryTimeoutPerMiB = time.Second
	// maxDeliveriesInFlight is how many deliveries to one node may be in flight on each of the two
	// connections. More would only queue behind a node that does not read. Groups resend what is
	// lost.
	maxDeliveriesInFlight = 16
)

// transport carries messages between members of groups. It never blocks and drops what cannot
// be sent. Parts of snapshots use a connection of their own, so that heartbeats do not queue
// behind them. Log entries share the heartbeats' connection, because their order relative to
// the heartbeats matters.
type transport struct {
	addresses *AddressBook
	regular   lane
	bulk      lane
}

// lane is one of the two connections to each node.
type lane struct {
	pool *rpc.Pool

	mu       sync.Mutex
	inFlight map[replica.NodeID]int // deliveries in flight
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

// send delivers messages with a payload of size bytes, unless too many are in flight.
func (l *lane) send(to protocol.Node, messages []replica.Message, size int) {
	if l.tryStart(to.ID) {
		go l.deliver(to, messages, deliveryTimeout+deliveryTimeoutPerMiB*time.Duration(size)/(1<<20))
	}
}

// tryStart counts a new delivery, or returns false if too many are in flight.
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

// deliver makes one delivery.
func (l *lane) deliver(to protocol.Node, messages []replica.Message, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	args := protocol.DeliverArgs{Messages: messages}
	var reply protocol.Nothing
	// A failed delivery is lost. The groups resend it.
	_ = l.pool.Call(ctx, to.Address, "Replica.Deliver", &args, &reply)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight[to.ID]--
	if l.inFlight[to.ID] <= 0 {
		delete(l.inFlight, to.ID)
	}
}
