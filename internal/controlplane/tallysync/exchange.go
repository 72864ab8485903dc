package tallysync

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/tallies"
	"oakseam/internal/tier/rpc"
)

// ExchangeArgs brings the entries that the caller wrote and the called node lacks, and asks for what
// the caller lacks.
type ExchangeArgs struct {
	Address string // of the caller
	Digest  uint64 // of what the caller holds, including the runs
	// Vector tells what the caller holds. It is set if the caller wants what it lacks.
	Vector tallies.Vector
	Runs   []tallies.Run
}

// ExchangeReply tells what the called node holds on its disk. It is sent after the call's runs are
// synced, or with Stalled if they could not be synced in time.
type ExchangeReply struct {
	Same     bool           // the called node holds what the caller's digest stands for
	Vector   tallies.Vector // otherwise
	Runs     []tallies.Run  // some entries that the caller lacks, if it asked
	Complete bool           // the called node's disk holds what it held when others counted on it
	Stalled  bool           // the called node did not store the caller's runs: its disk is full or does not respond
}

// Service serves the calls of other nodes.
type Service struct{ node *Node }

// Service returns the service for calls under the name ServiceName.
func (n *Node) Service() *Service { return &Service{n} }

// ServiceName is the name of the service, exchangeMethod that of its call.
const (
	ServiceName    = "Tally"
	exchangeMethod = ServiceName + ".Exchange"
)

// Exchange stores the caller's entries and tells what this node holds. It answers as well if it cannot
// store them: the caller must not take this node for one behind a cut, and learns what it lacks.
func (s *Service) Exchange(args *ExchangeArgs, reply *ExchangeReply) error {
	n := s.node
	n.heardFrom(args.Address)
	if len(args.Runs) > 0 {
		err := n.receive(context.Background(), args.Runs, n.pushTimeout())
		reply.Stalled = errors.Is(err, ErrNotReady) || errors.Is(err, ErrUncertain)
	}
	return n.answer(args, reply)
}

// answer tells a caller what this node holds, and what the caller lacks of it.
func (n *Node) answer(args *ExchangeArgs, reply *ExchangeReply) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		return ErrNotReady
	}
	reply.Complete = n.complete
	if n.state.Digest() == args.Digest {
		reply.Same = true
		return nil
	}
	reply.Vector = n.state.Vector()
	if args.Vector != nil {
		reply.Runs = n.state.Since(args.Vector, maxMessageBytes)
	}
	return nil
}

// heardFrom starts an exchange with a node that did not answer so far and calls itself now.
func (n *Node) heardFrom(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[address]; p != nil && (!p.settled || !p.reachable) {
		p.notify()
	}
}

func (n *Node) exchangeTimeout() time.Duration { return exchangeIntervals * n.interval }

// pushTimeout is how long this node tries to store what a caller pushes. It leaves time for the reply.
func (n *Node) pushTimeout() time.Duration { return n.exchangeTimeout() - n.interval/2 }

// peer is another core node.
type peer struct {
	address string
	wake    chan struct{} // signals that there may be entries to push, or that the node called
	stop    context.CancelFunc

	// The following is guarded by Node.mu.
	zone         string
	vector       tallies.Vector // what the node said it holds on its disk; nil if it has not answered yet
	reachable    bool
	missedTicks  int  // since its last answer
	unheardTicks int  // since it last told what it holds
	stalled      bool // it answers, but did not store what this node pushed last, or with an error
	settled      bool // this node held what the other one did, or gave up waiting for its first answer
	complete     bool // as it said last
}

// newPeer returns a node that has not answered yet. It counts as reachable at first.
func newPeer(address string, stop context.CancelFunc) *peer {
	return &peer{address: address, wake: make(chan struct{}, 1), stop: stop, reachable: true}
}

// notify starts an exchange unless one is in progress.
func (p *peer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// exchangeRepeatedly makes exchanges with a node until ctx ends: at once if there is something to
// push or to fetch, otherwise regularly.
func (n *Node) exchangeRepeatedly(ctx context.Context, p *peer) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for n.awaitNext(ctx, p, timer) {
		again := true
		for again && ctx.Err() == nil {
			again = n.exchange(ctx, p)
		}
		timer.Reset(n.interval)
	}
}

// awaitNext waits until the next exchange is due. It returns false when ctx has ended.
func (n *Node) awaitNext(ctx context.Context, p *peer, timer *time.Timer) bool {
	for {
		select {
		case <-timer.C:
			return true
		case <-p.wake:
			if n.shouldExchange(p) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// shouldExchange reports whether a node lacks entries of this node, or has not answered so far.
func (n *Node) shouldExchange(p *peer) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unpushed(p) || !p.settled || !p.reachable
}

// unpushed reports whether a node lacks entries of this node. n.mu must be held.
func (n *Node) unpushed(p *peer) bool {
	own := n.state.Own()
	return p.vector != nil && p.vector[own] < n.state.Last(own)
}

// exchange makes one exchange and reports whether the next one should follow at once.
func (n *Node) exchange(ctx context.Context, p *peer) (again bool) {
	args, sent := n.newExchange(p)
	defer n.endPull(p)
	callCtx, cancel := context.WithTimeout(ctx, n.exchangeTimeout())
	defer cancel()
	var reply ExchangeReply
	if err := n.transport.Exchange(callCtx, p.address, args, &reply); err != nil {
		n.recordFailure(p, err)
		return false
	}
	if len(reply.Runs) > 0 {
		if err := n.receive(ctx, reply.Runs, n.exchangeTimeout()); err != nil {
			reply.Runs = nil // fetched again by a later exchange
		}
	}
	return n.finishExchange(p, args, &reply, sent)
}

// newExchange returns the arguments of an exchange, and what this node holds at this time.
func (n *Node) newExchange(p *peer) (*ExchangeArgs, tallies.Vector) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sent := n.state.Vector()
	args := &ExchangeArgs{Address: n.self.Address, Digest: n.state.Digest()}
	if n.unpushed(p) {
		run, _ := n.state.After(n.state.Own(), p.vector[n.state.Own()], maxMessageBytes)
		args.Runs = []tallies.Run{run}
	}
	// One node at a time is asked, as the others are likely to hold the same.
	if sent.Lacks(p.vector) && n.pulling == nil {
		n.pulling = p
		args.Vector = sent
	}
	return args, sent
}

// endPull lets other exchanges fetch entries.
func (n *Node) endPull(p *peer) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pulling == p {
		n.pulling = nil
	}
}

// recordFailure records that a node answered with an error. It is of a build without tallies or is about
// to end, and holds nothing that this node could count on, but it is behind no cut. Where a cut leaves too
// few nodes, adds don't wait for it.
func (n *Node) recordFailure(p *peer, err error) {
	var answer *rpc.RemoteError
	if !errors.As(err, &answer) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p.stalled = true
	n.recordAnswer(p)
}

// finishExchange records an answer and reports whether the next exchange should follow at once.
func (n *Node) finishExchange(p *peer, args *ExchangeArgs, reply *ExchangeReply, sent tallies.Vector) (again bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	own := n.state.Own()
	before := p.vector
	p.vector = reply.Vector
	if reply.Same {
		p.vector = sent
	} else if p.vector == nil {
		p.vector = tallies.Vector{}
	}
	first := !p.settled || !p.reachable
	p.unheardTicks = 0
	n.recordAnswer(p)
	n.updateJoined()
	lacks := n.state.Vector().Lacks(p.vector)
	// What this node held of an emptied disk says nothing of what the disk holds once it is complete.
	completed := reply.Complete && !p.complete
	p.settled, p.complete, p.stalled = p.settled && !completed || !lacks, reply.Complete, reply.Stalled
	n.updateReadiness()
	if lacks && (len(reply.Runs) > 0 || first && args.Vector == nil && n.pulling == nil) {
		return true
	}
	pushed := len(args.Runs) == 0 || p.vector[own] > before[own]
	return pushed && n.unpushed(p)
}

// PoolTransport makes the calls over a pool of connections.
type PoolTransport struct{ pool *rpc.Pool }

// Time limits of the connections for tallies. They are short, so that the first exchange after a cut
// soon follows its end.
const (
	dialTimeout    = 200 * time.Millisecond
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 100 * time.Millisecond
	staleAfter     = 500 * time.Millisecond
)

// NewPoolTransport returns a transport with a pool of its own. A nil dial connects over TCP.
func NewPoolTransport(dial func(ctx context.Context, network, address string) (net.Conn, error)) *PoolTransport {
	return &PoolTransport{pool: rpc.NewPool(rpc.Options{
		Dial: dial, DialTimeout: dialTimeout, InitialBackoff: initialBackoff, MaxBackoff: maxBackoff, StaleAfter: staleAfter,
	})}
}

// Exchange implements Transport.
func (t *PoolTransport) Exchange(ctx context.Context, address string, args *ExchangeArgs, reply *ExchangeReply) error {
	return t.pool.Call(ctx, address, exchangeMethod, args, reply)
}

// Hold implements Transport.
func (t *PoolTransport) Hold(ctx context.Context, address string, args *HoldArgs, reply *HoldReply) error {
	return t.pool.Call(ctx, address, holdMethod, args, reply)
}

// Close closes the connections.
func (t *PoolTransport) Close() { t.pool.Close() }
