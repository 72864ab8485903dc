// Package turnclient reaches the storage nodes that keep turns and budgets: it finds the
// owner of a program's partition and goes on to the next one where ownership moves.
package turnclient

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/follow"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/wait"
)

const (
	// tryWithin bounds one call. An owner that froze says nothing; another may have been
	// elected by then.
	tryWithin = 450 * time.Millisecond
	// tryPause is the pause where no owner is known.
	tryPause = 20 * time.Millisecond
	// avoidFor is how long a node that didn't answer is asked after all others.
	avoidFor = 700 * time.Millisecond
)

// ErrUnavailable tells that no owner answered in time. What was asked may have been done.
var ErrUnavailable = errors.New("the program's partition can't be reached")

// ErrUnsure tells that not every partition could be asked.
var ErrUnsure = errors.New("it isn't sure whether the turn is kept")

// Client calls storage nodes.
type Client struct {
	pool *link.Pool

	mu        sync.Mutex
	directory protocol.Directory
	owners    map[int]replica.NodeID       // of partitions, as last seen
	silent    map[replica.NodeID]time.Time // when a node last didn't answer
}

// New returns a Client that knows no node yet.
func New(pool *link.Pool) *Client {
	return &Client{pool: pool, owners: map[int]replica.NodeID{}, silent: map[replica.NodeID]time.Time{}}
}

// Learn takes a directory on.
func (c *Client) Learn(d protocol.Directory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory = d
	maps.DeleteFunc(c.silent, func(id replica.NodeID, _ time.Time) bool {
		_, known := follow.FindNode(&d, id)
		return !known
	})
}

// Ready tells whether the partitions of the turns are known.
func (c *Client) Ready() bool { return c.partitions() > 0 }

// Admit reserves a turn's tokens and brings what was said before. It tries until ctx ends.
func (c *Client) Admit(ctx context.Context, args protocol.AdmitArgs) (protocol.AdmitReply, error) {
	var last protocol.AdmitReply
	args.Within = tryWithin
	err := c.try(ctx, args.Program, func(ctx context.Context, partition int, address string) (protocol.TurnOutcome, replica.NodeID) {
		args.Partition = partition
		var reply protocol.AdmitReply
		if err := c.pool.Call(ctx, address, "Turns.Admit", &args, &reply); err != nil {
			return protocol.TurnUnknown, 0
		}
		last = reply
		return reply.Outcome, reply.Owner
	})
	return last, err
}

// Finish ends a try. It tries until ctx ends.
func (c *Client) Finish(ctx context.Context, args protocol.FinishArgs) (protocol.TurnOutcome, error) {
	var last protocol.TurnOutcome
	args.Within = tryWithin
	err := c.try(ctx, args.Program, func(ctx context.Context, partition int, address string) (protocol.TurnOutcome, replica.NodeID) {
		args.Partition = partition
		var reply protocol.FinishReply
		if err := c.pool.Call(ctx, address, "Turns.Finish", &args, &reply); err != nil {
			return protocol.TurnUnknown, 0
		}
		last = reply.Outcome
		return reply.Outcome, reply.Owner
	})
	return last, err
}

// caller makes one call at an address about a partition.
type caller func(ctx context.Context, partition int, address string) (protocol.TurnOutcome, replica.NodeID)

// try calls the owner of the program's partition, whoever that turns out to be, until the
// call is answered by it or ctx ends.
func (c *Client) try(ctx context.Context, program string, call caller) error {
	for turn := 0; ; turn++ {
		partition, at, address, ok := c.target(program, turn)
		if !ok {
			if !wait.For(ctx, tryPause) {
				return ErrUnavailable
			}
			continue
		}
		one, cancel := context.WithTimeout(ctx, tryWithin)
		outcome, owner := call(one, partition, address)
		cancel()
		switch outcome {
		case protocol.TurnGranted, protocol.TurnBudgetExhausted, protocol.TurnNotFound, protocol.TurnClosed:
			c.owned(partition, at)
			return nil
		}
		if outcome == protocol.TurnUnknown {
			c.avoid(at)
		}
		c.owned(partition, owner)
		if owner != 0 && owner != at && ctx.Err() == nil && !c.avoided(owner) {
			continue
		}
		if !wait.For(ctx, tryPause) {
			return ErrUnavailable
		}
	}
}

// target is the owner of the program's partition as last seen, or one of its members in
// turn.
func (c *Client) target(program string, turn int) (partition int, at replica.NodeID, address string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if partition = c.directory.TurnPartition(program); partition < 0 {
		return partition, 0, "", false
	}
	order := append([]replica.NodeID{c.owners[partition]}, rotated(c.directory.Partitions[partition].Voters, turn)...)
	for _, mayBeSilent := range []bool{false, true} {
		for _, id := range order {
			n, known := follow.FindNode(&c.directory, id)
			if known && (mayBeSilent || time.Since(c.silent[id]) >= avoidFor) {
				return partition, n.ID, n.Address, true
			}
		}
	}
	return partition, 0, "", false
}

// rotated returns the nodes from the one at a turn on.
func rotated(nodes []replica.NodeID, turn int) []replica.NodeID {
	if len(nodes) == 0 {
		return nil
	}
	from := turn % len(nodes)
	return slices.Concat(nodes[from:], nodes[:from])
}

// avoid notes that a node didn't answer.
func (c *Client) avoid(id replica.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[id] = time.Now()
}

func (c *Client) avoided(id replica.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.silent[id]) < avoidFor
}

func (c *Client) owned(partition int, owner replica.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owners[partition] = owner
}

// Find looks for a turn in all partitions. It is false without an error only where each
// partition's owner has said so.
func (c *Client) Find(ctx context.Context, attempt string) (history []byte, found bool, err error) {
	without := map[int]bool{}
	for {
		nodes, partitions := c.storages(), c.partitions()
		one, cancel := context.WithTimeout(ctx, tryWithin)
		replies := c.ask(one, nodes, attempt)
		// A node that is lost says nothing: as soon as the others are sure, so is the answer.
		for range nodes {
			reply := <-replies
			if reply.Found {
				cancel()
				return reply.History, true, nil
			}
			for _, partition := range reply.Without {
				without[partition] = true
			}
			if partitions > 0 && len(without) == partitions {
				cancel()
				return nil, false, nil
			}
		}
		cancel()
		if !wait.For(ctx, tryPause) {
			return nil, false, ErrUnsure
		}
	}
}

// ask asks all storage nodes at once. Each gives one reply, an empty one where it fails.
func (c *Client) ask(ctx context.Context, nodes []protocol.Node, attempt string) <-chan protocol.FindReply {
	replies := make(chan protocol.FindReply, len(nodes))
	for _, n := range nodes {
		go func() {
			args := protocol.FindArgs{Attempt: attempt, Within: tryWithin}
			var reply protocol.FindReply
			if c.pool.Call(ctx, n.Address, "Turns.Find", &args, &reply) != nil {
				reply = protocol.FindReply{}
			}
			replies <- reply
		}()
	}
	return replies
}

func (c *Client) partitions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.directory.Partitions)
}

func (c *Client) storages() []protocol.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(c.directory.Nodes), func(n protocol.Node) bool { return n.Class != protocol.Storage })
}
