// Package turnclient reaches the storage nodes that keep turns and budgets: it finds the
// owner of a program's partition and goes on to the next one where ownership moves.
package turnclient

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/follow"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/protocol"
)

const (
	// tryWithin bounds one call. An owner that froze says nothing; another may have been
	// elected by then.
	tryWithin = 450 * time.Millisecond
	// tryPause is the pause where no owner is known.
	tryPause = 20 * time.Millisecond
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
	owners    map[int]replica.NodeID // of partitions, as last seen
}

// New returns a Client that knows no node yet.
func New(pool *link.Pool) *Client {
	return &Client{pool: pool, owners: map[int]replica.NodeID{}}
}

// Learn takes a directory on.
func (c *Client) Learn(d protocol.Directory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory = d
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
			if !pause(ctx, tryPause) {
				return ErrUnavailable
			}
			continue
		}
		one, cancel := context.WithTimeout(ctx, tryWithin)
		outcome, owner := call(one, partition, address)
		cancel()
		switch outcome {
		case protocol.TurnGranted, protocol.TurnSpent, protocol.TurnMissing, protocol.TurnClosed:
			c.owned(partition, at)
			return nil
		}
		c.owned(partition, owner)
		if owner != 0 && owner != at && ctx.Err() == nil {
			continue
		}
		if !pause(ctx, tryPause) {
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
	if n, known := follow.NodeAddress(&c.directory, c.owners[partition]); known {
		return partition, n.ID, n.Address, true
	}
	voters := c.directory.Partitions[partition].Voters
	for i := range voters {
		if n, known := follow.NodeAddress(&c.directory, voters[(turn+i)%len(voters)]); known {
			return partition, n.ID, n.Address, true
		}
	}
	return partition, 0, "", false
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
		for _, reply := range c.ask(ctx, attempt) {
			if reply.Found {
				return reply.History, true, nil
			}
			for _, partition := range reply.Without {
				without[partition] = true
			}
		}
		if partitions := c.partitions(); partitions > 0 && len(without) == partitions {
			return nil, false, nil
		}
		if !pause(ctx, tryPause) {
			return nil, false, ErrUnsure
		}
	}
}

// ask asks all storage nodes at once.
func (c *Client) ask(ctx context.Context, attempt string) []protocol.FindReply {
	ctx, cancel := context.WithTimeout(ctx, tryWithin)
	defer cancel()
	nodes := c.storages()
	replies := make([]protocol.FindReply, len(nodes))
	var done sync.WaitGroup
	for i, n := range nodes {
		done.Go(func() {
			args := protocol.FindArgs{Attempt: attempt, Within: tryWithin}
			var reply protocol.FindReply
			if c.pool.Call(ctx, n.Address, "Turns.Find", &args, &reply) == nil {
				replies[i] = reply
			}
		})
	}
	done.Wait()
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

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
