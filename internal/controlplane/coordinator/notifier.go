package coordinator

import (
	"sync"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
)

// notifier wakes all goroutines that wait for a change.
type notifier struct {
	mu   sync.Mutex
	next chan struct{}
}

func newNotifier() *notifier { return &notifier{next: make(chan struct{})} }

// notifyAll wakes all waiters.
func (n *notifier) notifyAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.next)
	n.next = make(chan struct{})
}

// changed returns a channel that is closed at the next change.
func (n *notifier) changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// rankNodes returns nodes in a group's rendezvous order.
func rankNodes(group replica.GroupID, nodes []protocol.Node) []protocol.Node {
	return hashing.Rank(string(group), nodes, func(n protocol.Node) uint64 { return uint64(n.ID) })
}
