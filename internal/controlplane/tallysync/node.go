// Package tallysync replicates tallies between the core nodes without a leader: each node writes its
// own log, pushes it to the others, and fetches from them what it lacks. An add is acknowledged when
// enough disks have synced it. Where too few core nodes answer, storage nodes hold the missing copies until
// enough core nodes have them. Where a cut leaves fewer disks than required, all that can be reached are
// enough; after the cut, the nodes exchange what the other side wrote.
//
// A node tells others only of entries that are synced on its own disk.
package tallysync

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/wait"
)

// DefaultMergeBound is the usual bound on the time from the end of a cut until all nodes hold the same.
const DefaultMergeBound = 3 * time.Second

const (
	// minInterval and maxInterval bound the time between two exchanges with a node. The nodes should be
	// able to make mergeExchanges exchanges within the merge bound.
	minInterval    = 25 * time.Millisecond
	maxInterval    = 150 * time.Millisecond
	mergeExchanges = 20
	// unreachableTicks is the number of ticks in a row without an answer after which a node counts as
	// unreachable. A waiting caller leaves after one second, and must get its answer before.
	unreachableTicks = 4
	// startTicks is the same for the first answer after the start. Meanwhile callers turn to other nodes.
	startTicks = 8
	// startPatience is how long, in merge bounds, a process that has not reached the required number of
	// nodes since its start waits for them before it concludes that it is behind a cut.
	startPatience = 2
	// exchangeIntervals is the timeout of one exchange, in intervals.
	exchangeIntervals = 2
	// addTimeout bounds an add: a caller without an answer for a second turns to another node.
	addTimeout = 800 * time.Millisecond
	// maxMessageBytes bounds the entries of one message and of one transaction.
	maxMessageBytes = 64 << 10
	// fullDiskRetryInterval is the time between two attempts to write to a full disk.
	fullDiskRetryInterval = 200 * time.Millisecond
	// stalledAfter is how long a write may take until the node refuses further ones: a caller that is
	// refused at once still has the time to ask another node.
	stalledAfter = 250 * time.Millisecond
)

// Errors of Add and Total. After any other error than ErrUncertain nothing was written.
var (
	// ErrNotReady: the node has not reached enough other nodes since its start, or its disk is full or
	// does not respond.
	ErrNotReady = errors.New("tallies are not available on this node now")
	// ErrConflict: the id came before with another amount.
	ErrConflict = errors.New("the memberId was counted with another amount")
	// ErrTooLarge: the total would not fit into 64 bits.
	ErrTooLarge = errors.New("the total would be too large")
	// ErrUncertain: the add is or may be written, but not on enough nodes. It may be repeated.
	ErrUncertain = errors.New("the add is not on enough nodes yet")
)

// Store holds the logs durably. Append makes runs durable in one commit. Complete tells a disk that was
// emptied, and does not hold what other nodes count on, from any other one. store.Tallies states the
// whole contract.
type Store interface {
	Origin() tallies.Origin
	Complete() bool
	SetComplete() error
	Load(add func(tallies.Run) error) error
	Append(runs []tallies.Run) error
}

// Transport makes calls to other nodes: Exchange to core nodes, Hold to storage nodes.
type Transport interface {
	Exchange(ctx context.Context, address string, args *ExchangeArgs, reply *ExchangeReply) error
	Hold(ctx context.Context, address string, args *HoldArgs, reply *HoldReply) error
}

// Options configure a Node.
type Options struct {
	Self            protocol.Node
	ToleratedLosses int // number of machines that may be lost at once
	Store           Store
	Transport       Transport
	Members         func() []protocol.Node // the known core and storage nodes; may contain this one
	MergeBound      time.Duration          // 0 for DefaultMergeBound
}

// Node holds the tallies of one core node.
type Node struct {
	self           protocol.Node
	requiredCopies int           // one more than the tolerated losses
	interval       time.Duration // between two exchanges with a node, and between two ticks
	patienceTicks  int           // number of ticks after which a process that has not joined takes silence for a cut
	store          Store
	transport      Transport
	members        func() []protocol.Node
	queued         chan struct{} // signals that changes wait for the writer
	stopped        chan struct{} // closed when Run ends
	loops          sync.WaitGroup
	// calledFromOtherZone is what ObserveCallers set, or nil.
	calledFromOtherZone func(within time.Duration) bool

	mu         sync.Mutex
	state      *tallies.State // holds only what is synced
	changes    []*change      // wait for the writer
	peers      map[string]*peer
	pulling    *peer // the peer from which entries are being fetched
	ready      bool
	joined     bool // this process has reached the required number of nodes at the same time
	aloneTicks int  // since the start, without having joined
	ended      bool
	complete   bool      // the disk holds what it held when other nodes counted on it; see Store
	writing    time.Time // when the write in progress began; zero: none
	waiting    map[*waitingAdd]struct{}
	adopting   int           // calls that wait until adds are on enough core nodes
	progress   chan struct{} // closed when copies are to be checked again
	holders    holderSet
	degraded   degradedPeriod
}

// New returns a node with what the store holds. It takes part once Run is called.
func New(options Options) (*Node, error) {
	bound := options.MergeBound
	if bound <= 0 {
		bound = DefaultMergeBound
	}
	interval := min(max(bound/mergeExchanges, minInterval), maxInterval)
	n := &Node{
		self: options.Self, requiredCopies: options.ToleratedLosses + 1, interval: interval, patienceTicks: int(startPatience * bound / interval),
		store: options.Store, transport: options.Transport, members: options.Members,
		queued: make(chan struct{}, 1), stopped: make(chan struct{}), progress: make(chan struct{}), waiting: map[*waitingAdd]struct{}{},
		state: tallies.New(options.Store.Origin()), peers: map[string]*peer{}, complete: options.Store.Complete(),
	}
	err := options.Store.Load(func(run tallies.Run) error {
		_, err := n.state.Apply(run)
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "load tallies")
	}
	return n, nil
}

// Run exchanges entries with the other nodes until ctx ends or the disk fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer n.loops.Wait()
	defer n.end()
	defer cancel()
	written := make(chan error, 1)
	n.loops.Go(func() { written <- n.write(ctx) })
	ticker := time.NewTicker(n.interval)
	defer ticker.Stop()
	n.updateMembers(ctx)
	last := time.Now()
	for {
		select {
		case err := <-written:
			return err
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		n.updateMembers(ctx)
		n.tick(time.Since(last))
		last = time.Now()
	}
}

// end refuses further calls and ends those that wait.
func (n *Node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ready, n.ended = false, true
	close(n.stopped)
}

// Add adds an amount to a tally under an id, and returns once it is on enough nodes.
func (n *Node) Add(ctx context.Context, tally, member string, amount int64) error {
	ctx, cancel := context.WithTimeout(ctx, addTimeout)
	defer cancel()
	c := &change{entry: &tallies.Entry{Tally: tally, Member: member, Amount: amount}}
	if err := n.enqueueReady(c); err != nil {
		return err
	}
	result, err := n.await(ctx, c)
	if err != nil {
		return err
	}
	return n.awaitCopies(ctx, *c.entry, result.position)
}

// Total returns the total of a tally as far as this node knows, which includes all adds that it
// acknowledged.
func (n *Node) Total(tally string) (int64, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.ready {
		return 0, ErrNotReady
	}
	return n.state.Total(tally), nil
}

// Status describes a node's tallies.
type Status struct {
	Ready     bool
	Entries   int // of all logs
	Members   int // known nodes, including this one
	Reachable int // of these
}

// Status returns the current status.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Status{Ready: n.ready, Entries: n.state.Entries(), Members: len(n.peers) + 1, Reachable: n.reachableNodes()}
}

// updateMembers starts and ends the exchanges as nodes come and go.
func (n *Node) updateMembers(ctx context.Context) {
	members := n.members()
	n.mu.Lock()
	defer n.mu.Unlock()
	current := make(map[string]bool, len(members))
	for _, member := range members {
		if member.Class != protocol.Core || member.Address == n.self.Address || member.ID == n.self.ID {
			continue
		}
		current[member.Address] = true
		n.updatePeer(ctx, member)
	}
	for address, p := range n.peers {
		if !current[address] {
			p.stop()
			delete(n.peers, address)
			n.notifyWaiting()
		}
	}
	n.updateHolders(ctx, members)
}

// updatePeer starts the exchanges with a node that is new. n.mu must be held.
func (n *Node) updatePeer(ctx context.Context, member protocol.Node) {
	p := n.peers[member.Address]
	if p == nil {
		peerCtx, stop := context.WithCancel(ctx)
		p = newPeer(member.Address, stop)
		n.peers[member.Address] = p
		n.loops.Go(func() { n.exchangeRepeatedly(peerCtx, p) })
	}
	p.zone = member.Zone
}

// tick counts the nodes that have not answered since the last tick, which ended some time ago. Ticks
// rather than time are counted, because a process that stood still could not hear from anybody. After
// a long pause the count starts again, and of two ticks that come at once the second does not count.
func (n *Node) tick(elapsed time.Duration) {
	if elapsed < n.interval/2 {
		return
	}
	paused := elapsed >= unreachableTicks*n.interval
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if paused && p.reachable {
			p.missedTicks, p.unheardTicks = 0, 0
		}
		p.missedTicks++
		if p.reachable && p.missedTicks >= unreachableTicks {
			p.reachable = false
			n.notifyWaiting()
			klog.InfoS("A core node is unreachable for tallies", "address", p.address, "zone", p.zone, "reachable", n.reachableNodes(), "members", len(n.peers)+1)
		}
		p.unheardTicks++
		p.settled = p.settled || p.unheardTicks >= startTicks
	}
	n.tickHolders(paused)
	n.updateJoined()
	n.countAlone()
	n.updateReadiness()
	if n.reachableNodes() >= n.requiredCopies {
		n.degraded.end()
	}
}

// updateReadiness lets this node take calls once it holds what enough known nodes do, or has given up
// waiting for the others. n.mu must be held.
func (n *Node) updateReadiness() {
	if n.ready || n.ended || len(n.peers)+1 < n.requiredCopies || !n.heardEnough() {
		return
	}
	n.ready = true
	if !n.complete {
		n.complete = true
		n.enqueue(&change{complete: true})
	}
	klog.InfoS("Tallies are available", "entries", n.state.Entries(), "reachable", n.reachableNodes(), "members", len(n.peers)+1)
}

// heardEnough reports whether this node holds all adds that were acknowledged with the required number
// of copies before it started. It does if fewer disks than that can hold such an add without this
// node: those of core nodes and holders that it has not heard from, of core nodes that it does not know
// yet, and those that have lost their copy. If all known nodes have answered or been given up, there is
// nothing more to wait for. n.mu must be held.
func (n *Node) heardEnough() bool {
	unheard, emptied := 0, 0
	unknown := max(n.smallestCore()-len(n.peers)-1, 0)
	if !n.complete {
		emptied++
	}
	for _, p := range n.peers {
		switch {
		case !p.settled:
			unheard++
		case !p.complete:
			emptied++
		}
	}
	for _, h := range n.holders.byAddress {
		if !h.settled {
			unheard++
		}
	}
	return unheard == 0 || unheard+unknown+emptied < n.requiredCopies
}

// smallestCore is the least number of core nodes that outlives the tolerated losses with the required
// number of nodes.
func (n *Node) smallestCore() int { return 2*n.requiredCopies - 1 }

// await returns the result of a change.
func (n *Node) await(ctx context.Context, c *change) (changeResult, error) {
	select {
	case result := <-c.done:
		return result, result.err
	case <-ctx.Done():
	case <-n.stopped:
	}
	return changeResult{}, ErrUncertain
}

// write is the only writer of the store and the state. It returns when ctx ends or the disk fails.
func (n *Node) write(ctx context.Context) error {
	for {
		select {
		case <-n.queued:
		case <-ctx.Done():
			return nil
		}
		for changes := n.takeChanges(); len(changes) > 0; changes = n.takeChanges() {
			if err := n.commit(ctx, changes); err != nil {
				return err
			}
		}
	}
}

// appendRuns makes runs durable. While the disk is full, it repeats the same write: the store allows
// no other one before.
func (n *Node) appendRuns(ctx context.Context, runs []tallies.Run) error {
	n.setWriting(time.Now())
	defer n.setWriting(time.Time{})
	for reported := false; ; reported = true {
		err := n.store.Append(runs)
		if !errors.Is(err, store.ErrFull) {
			return err
		}
		if !reported {
			klog.ErrorS(err, "The disk is full; no adds to tallies are accepted until there is space")
		}
		if !wait.For(ctx, fullDiskRetryInterval) {
			return err
		}
	}
}

func (n *Node) setWriting(since time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if since.IsZero() && n.diskStalled() {
		klog.InfoS("A write of tallies took long; adds were refused meanwhile", "duration", time.Since(n.writing))
	}
	n.writing = since
}

// diskStalled reports whether a write takes too long, because the disk is full or does not respond.
// n.mu must be held.
func (n *Node) diskStalled() bool {
	return !n.writing.IsZero() && time.Since(n.writing) > stalledAfter
}
