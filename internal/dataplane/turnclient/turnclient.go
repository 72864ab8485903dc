// Package turnclient calls the storage nodes that store turns and token budgets. It finds the leader
// of a program's partition and tries other nodes when leadership moves.
package turnclient

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/tier/watch"
	"oakseam/internal/wait"
)

const (
	// callTimeout bounds one call. A frozen leader does not answer, and another node may have been
	// elected within this time.
	callTimeout = 450 * time.Millisecond
	// retryPause is the pause between calls while no leader is known.
	retryPause = 20 * time.Millisecond
	// unresponsiveFor is how long a node that did not answer is tried only after all others.
	unresponsiveFor = 700 * time.Millisecond
)

// ErrUnavailable means that no leader answered in time. The call may nevertheless have taken effect.
var ErrUnavailable = errors.New("the leader of the program's partition did not answer in time")

// Client calls storage nodes.
type Client struct {
	pool      *rpc.Pool
	isolation *Isolation

	mu                sync.Mutex
	directory         protocol.Directory
	leaders           map[int]replica.NodeID       // last known leader by partition
	unresponsiveSince map[replica.NodeID]time.Time // when a node last failed to answer
}

// New returns a Client without a directory. Answers of storage nodes are reported to isolation.
func New(pool *rpc.Pool, isolation *Isolation) *Client {
	return &Client{pool: pool, isolation: isolation, leaders: map[int]replica.NodeID{}, unresponsiveSince: map[replica.NodeID]time.Time{}}
}

// SetDirectory replaces the directory of nodes and partitions.
func (c *Client) SetDirectory(d protocol.Directory) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directory = d
	maps.DeleteFunc(c.unresponsiveSince, func(id replica.NodeID, _ time.Time) bool {
		_, known := watch.FindNode(&d, id)
		return !known
	})
}

// Ready reports whether the partitions of turns are known.
func (c *Client) Ready() bool { return c.partitions() > 0 }

// Admit reserves a turn's tokens and returns the text of the earlier turns. It retries until ctx ends.
func (c *Client) Admit(ctx context.Context, args protocol.AdmitArgs) (protocol.AdmitReply, error) {
	var last protocol.AdmitReply
	args.Within = callTimeout
	err := c.callLeader(ctx, args.Program, func(ctx context.Context, at target) (protocol.TurnOutcome, replica.NodeID) {
		args.Partition, args.Relay = at.partition, at.relay
		var reply protocol.AdmitReply
		if err := c.pool.Call(ctx, at.node.Address, "Turns.Admit", &args, &reply); err != nil {
			return protocol.TurnUnknown, 0
		}
		last = reply
		return reply.Outcome, reply.Owner
	})
	return last, err
}

// Finish ends an attempt. It retries until ctx ends.
func (c *Client) Finish(ctx context.Context, args protocol.FinishArgs) (protocol.TurnOutcome, error) {
	var last protocol.TurnOutcome
	args.Within = callTimeout
	err := c.callLeader(ctx, args.Program, func(ctx context.Context, at target) (protocol.TurnOutcome, replica.NodeID) {
		args.Partition, args.Relay = at.partition, at.relay
		var reply protocol.FinishReply
		if err := c.pool.Call(ctx, at.node.Address, "Turns.Finish", &args, &reply); err != nil {
			return protocol.TurnUnknown, 0
		}
		last = reply.Outcome
		return reply.Outcome, reply.Owner
	})
	return last, err
}

// target is where a call about a program goes to.
type target struct {
	partition int
	node      protocol.Node
	relay     bool // the leader is known but does not answer; the node is to pass the call on to it
}

// partitionCall makes one call. It returns the outcome and the leader that the node names.
type partitionCall func(ctx context.Context, at target) (protocol.TurnOutcome, replica.NodeID)

// callLeader calls the leader of the program's partition until the leader answers or ctx ends. Nodes
// that are not the leader point to it, or pass the call on if it does not answer here.
func (c *Client) callLeader(ctx context.Context, program string, call partitionCall) error {
	for round := 0; ; round++ {
		at, ok := c.target(program, round)
		if !ok {
			if !wait.For(ctx, retryPause) {
				return ErrUnavailable
			}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		outcome, leader := call(callCtx, at)
		cancel()
		if outcome != protocol.TurnUnknown {
			c.isolation.heard(at.node.ID)
		}
		switch outcome {
		case protocol.TurnGranted, protocol.TurnBudgetExhausted, protocol.TurnNotFound, protocol.TurnClosed:
			if !at.relay {
				c.setLeader(at.partition, at.node.ID)
			}
			return nil
		}
		if outcome == protocol.TurnUnknown {
			c.markUnresponsive(at.node.ID)
		}
		if !at.relay || leader != 0 {
			c.setLeader(at.partition, leader)
		}
		if leader != 0 && leader != at.node.ID && ctx.Err() == nil && (!c.isUnresponsive(leader) || !at.relay) {
			continue
		}
		if !wait.For(ctx, retryPause) {
			return ErrUnavailable
		}
	}
}

// target returns the last known leader of the program's partition, or else one of its voters in
// rotation. Unresponsive nodes come last.
func (c *Client) target(program string, round int) (at target, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.partition = c.directory.TurnPartition(program); at.partition < 0 {
		return at, false
	}
	leader := c.leaders[at.partition]
	order := append([]replica.NodeID{leader}, rotate(c.directory.Partitions[at.partition].Voters, round)...)
	for _, allowUnresponsive := range []bool{false, true} {
		for _, id := range order {
			n, known := watch.FindNode(&c.directory, id)
			if known && (allowUnresponsive || time.Since(c.unresponsiveSince[id]) >= unresponsiveFor) {
				at.node, at.relay = n, leader != 0 && id != leader
				return at, true
			}
		}
	}
	return at, false
}

// rotate returns the nodes rotated left by round.
func rotate(nodes []replica.NodeID, round int) []replica.NodeID {
	if len(nodes) == 0 {
		return nil
	}
	from := round % len(nodes)
	return slices.Concat(nodes[from:], nodes[:from])
}

// markUnresponsive records that a node did not answer.
func (c *Client) markUnresponsive(id replica.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsiveSince[id] = time.Now()
}

func (c *Client) isUnresponsive(id replica.NodeID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Since(c.unresponsiveSince[id]) < unresponsiveFor
}

func (c *Client) setLeader(partition int, leader replica.NodeID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaders[partition] = leader
}

func (c *Client) partitions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.directory.Partitions)
}
