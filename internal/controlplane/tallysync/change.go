package tallysync

import (
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallies"
)

// change waits for the writer: an add of this node, runs that another node sent, adds that a holder holds
// copies of, or that the disk is complete now.
type change struct {
	entry     *tallies.Entry // the add, or nil
	runs      []tallies.Run
	held      []tallies.Entry
	replicate bool // the held adds are to get copies on enough core nodes
	complete  bool
	done      chan changeResult // receives the result once it is durable
}

// changeResult is the result of a change.
type changeResult struct {
	position tallies.Position   // of an add's entry
	held     []tallies.Position // of the entries for held adds
	err      error
}

// enqueueReady queues an add if the node may accept it.
func (n *Node) enqueueReady(c *change) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.ready || !n.takesAdds() || n.diskStalled() {
		return ErrNotReady
	}
	n.enqueue(c)
	return nil
}

// receive stores runs that another node sent, and returns once they are durable. After the timeout it
// returns ErrUncertain.
func (n *Node) receive(ctx context.Context, runs []tallies.Run, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c := &change{runs: runs}
	if err := n.enqueueReceived(c); err != nil {
		return err
	}
	_, err := n.await(ctx, c)
	return err
}

// enqueueReceived queues runs unless the disk stalls: the queue must not grow meanwhile.
func (n *Node) enqueueReceived(c *change) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.diskStalled() {
		return ErrNotReady
	}
	n.enqueue(c)
	return nil
}

// enqueue queues a change for the writer. n.mu must be held.
func (n *Node) enqueue(c *change) {
	c.done = make(chan changeResult, 1)
	n.changes = append(n.changes, c)
	select {
	case n.queued <- struct{}{}:
	default:
	}
}

// takeChanges returns the queued changes of one transaction.
func (n *Node) takeChanges() []*change {
	n.mu.Lock()
	defer n.mu.Unlock()
	count, size := 0, 0
	for count < len(n.changes) && size < maxMessageBytes {
		size += n.changes[count].bytes()
		count++
	}
	taken := n.changes[:count:count]
	n.changes = n.changes[count:]
	return taken
}

func (c *change) bytes() int {
	size := 0
	for i := range c.runs {
		size += c.runs[i].Bytes()
	}
	for i := range c.held {
		size += c.held[i].Bytes()
	}
	return size
}

// commit makes changes durable, applies them and delivers their results.
func (n *Node) commit(ctx context.Context, changes []*change) error {
	t := n.plan(changes)
	if len(t.runs) > 0 {
		if err := n.appendRuns(ctx, t.runs); err != nil {
			return errors.Wrap(err, "write tallies")
		}
		n.apply(t)
	}
	for i, c := range changes {
		if c.complete {
			if err := n.recordComplete(); err != nil {
				return err
			}
		}
		c.done <- t.results[i]
	}
	return nil
}

// recordComplete records that the disk is complete. On a full disk it does not: then the next start
// waits for more nodes than it had to.
func (n *Node) recordComplete() error {
	n.setWriting(time.Now())
	defer n.setWriting(time.Time{})
	if err := n.store.SetComplete(); err != nil && !errors.Is(err, store.ErrFull) {
		return errors.Wrap(err, "record that the tallies are complete")
	}
	return nil
}

// apply applies what is durable now, and starts exchanges if this node wrote some of it.
func (n *Node) apply(t *transaction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, run := range t.runs {
		conflicts, err := n.state.Apply(run)
		if err != nil {
			klog.ErrorS(err, "A stored run of tallies cannot be applied") // unreachable: plan has checked it
		}
		for _, c := range conflicts {
			klog.InfoS("An id came with two amounts; the smaller one counts", "tally", c.Tally, "memberId", c.Member, "counted", c.Counted, "ignored", c.Ignored)
		}
	}
	if len(t.own) > 0 {
		for _, p := range n.peers {
			if p.reachable {
				p.notify()
			}
		}
	}
}

// transaction is what one commit writes.
type transaction struct {
	runs    []tallies.Run
	own     []tallies.Entry
	results []changeResult // of the changes, in their order
	ends    map[tallies.Origin]uint64
	staged  map[addKey]stagedAdd
	sums    map[string]int64 // sum of the own adds by tally
}

// addKey identifies an add.
type addKey struct{ tally, member string }

// stagedAdd is an own add of the transaction.
type stagedAdd struct {
	amount   int64
	position tallies.Position
}

// plan returns the transaction for changes. Received runs come first, because they may continue this
// node's own log.
func (n *Node) plan(changes []*change) *transaction {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := &transaction{
		results: make([]changeResult, len(changes)),
		ends:    map[tallies.Origin]uint64{}, staged: map[addKey]stagedAdd{}, sums: map[string]int64{},
	}
	for i, c := range changes {
		t.results[i].err = n.planRuns(t, c.runs)
	}
	for i, c := range changes {
		for _, entry := range c.held {
			t.results[i].held = append(t.results[i].held, n.planHeld(t, entry, c.replicate))
		}
		if c.entry != nil {
			t.results[i].position, t.results[i].err = n.planAdd(t, *c.entry)
		}
	}
	if len(t.own) > 0 {
		own := n.state.Own()
		t.runs = append(t.runs, tallies.Run{Origin: own, First: n.endOf(t, own) + 1, Entries: t.own})
	}
	return t
}

// endOf returns the end of a log after the received runs of a transaction. n.mu must be held.
func (n *Node) endOf(t *transaction, origin tallies.Origin) uint64 {
	return max(n.state.Last(origin), t.ends[origin])
}

// planRuns adds the new part of received runs. n.mu must be held.
func (n *Node) planRuns(t *transaction, runs []tallies.Run) error {
	for _, run := range runs {
		clipped, err := tallies.ClipAfter(run, n.endOf(t, run.Origin))
		if err != nil {
			return err
		}
		if len(clipped.Entries) > 0 {
			t.runs = append(t.runs, clipped)
			t.ends[run.Origin] = clipped.First + uint64(len(clipped.Entries)) - 1
		}
	}
	return nil
}

// planAdd returns the position of an add, and adds an entry to this node's log if there is none yet.
// An id that only another node's log contains gets an entry here too, so that this node can see to
// its copies; it counts once. n.mu must be held.
func (n *Node) planAdd(t *transaction, entry tallies.Entry) (tallies.Position, error) {
	key := addKey{tally: entry.Tally, member: entry.Member}
	if staged, repeated := t.staged[key]; repeated {
		return staged.position, sameAmount(staged.amount, entry.Amount)
	}
	record, known := n.state.Find(entry.Tally, entry.Member)
	if known {
		if err := sameAmount(record.Amount, entry.Amount); err != nil {
			return tallies.Position{}, err
		}
		if record.Position.Origin == n.state.Own() || n.copied(record.Position, nil) {
			return record.Position, nil
		}
	} else if n.state.Total(entry.Tally) > math.MaxInt64-t.sums[entry.Tally]-entry.Amount {
		return tallies.Position{}, ErrTooLarge
	}
	return n.appendOwn(t, entry), nil
}

// planHeld returns the position of an add that a holder holds a copy of, and adds an entry to this node's
// log if there is none yet. Like a merge, it refuses nothing: of two amounts the smaller one counts. If the
// add is to be replicated, an entry of another node's log is enough only if it is on enough nodes. n.mu must
// be held.
func (n *Node) planHeld(t *transaction, entry tallies.Entry, replicate bool) tallies.Position {
	staged, repeated := t.staged[addKey{tally: entry.Tally, member: entry.Member}]
	if repeated && staged.amount <= entry.Amount {
		return staged.position
	}
	record, known := n.state.Find(entry.Tally, entry.Member)
	if known && record.Amount <= entry.Amount {
		if !replicate || record.Position.Origin == n.state.Own() || n.onEnoughNodes(record.Position) {
			return record.Position
		}
	}
	return n.appendOwn(t, entry)
}

// appendOwn adds an entry to this node's log and returns its position. n.mu must be held.
func (n *Node) appendOwn(t *transaction, entry tallies.Entry) tallies.Position {
	own := n.state.Own()
	t.own = append(t.own, entry)
	position := tallies.Position{Origin: own, Sequence: n.endOf(t, own) + uint64(len(t.own))}
	t.staged[addKey{tally: entry.Tally, member: entry.Member}] = stagedAdd{amount: entry.Amount, position: position}
	t.sums[entry.Tally] += entry.Amount
	return position
}

func sameAmount(counted, amount int64) error {
	if counted != amount {
		return ErrConflict
	}
	return nil
}
