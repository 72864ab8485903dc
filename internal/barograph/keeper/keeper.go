// Package keeper is a storage node: with others of its class it keeps the turns of
// programs and what the programs may still put out.
package keeper

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/coordinator"
	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/node"
	"pipitmux/internal/barograph/repair"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/barograph/turns"
	"pipitmux/internal/station/follow"
	"pipitmux/internal/station/protocol"
)

const (
	// repairEvery is how often an owner looks whether its partition needs another member.
	repairEvery = 150 * time.Millisecond
	// forgetEvery is how often an owner looks for programs that are kept no longer.
	forgetEvery = 5 * time.Second
	// keepLonger is added to the time for which programs are kept, and forgetMost how many
	// are forgotten at once.
	keepLonger = 10 * time.Second
	forgetMost = 64
	// submitWithin bounds a command of this node's own.
	submitWithin = 2 * time.Second
)

// Keeper is a storage node.
type Keeper struct {
	node     *node.Node
	losses   int
	follower *follow.Follower

	mu       sync.Mutex
	held     map[int]bool // partitions whose group is open here
	planners map[int]*repair.Planner
	reported map[int]uint64 // the change of members that the directory was told of
}

// Options are what a Keeper needs.
type Options struct {
	Node   *node.Node
	Name   string
	Losses int
	Seeds  []string
}

// New restores the groups that the disk holds.
func New(o Options) (*Keeper, error) {
	k := &Keeper{node: o.Node, losses: o.Losses, held: map[int]bool{}, planners: map[int]*repair.Planner{}, reported: map[int]uint64{}}
	k.follower = follow.New(follow.Options{Name: o.Name, Seeds: o.Seeds, ConcurrentCalls: o.Losses + 1, DirectoryOnly: true, Pool: o.Node.Pool, OnUpdate: k.told})
	for _, group := range o.Node.Host.StoredGroups() {
		partition, ok := protocol.TurnPartitionOf(group)
		if !ok {
			continue
		}
		if err := k.open(partition, replica.Members{}); err != nil {
			return nil, errors.Wrapf(err, "partition %d", partition)
		}
	}
	return k, nil
}

// open opens the group of a partition, with its first members where it is new.
func (k *Keeper) open(partition int, first replica.Members) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.held[partition] {
		return nil
	}
	if err := k.node.Host.Add(protocol.TurnGroup(partition), first, nil, turns.New(k.node.Now)); err != nil {
		return err
	}
	k.held[partition] = true
	k.planners[partition] = &repair.Planner{}
	return nil
}

// Follow opens the group of a partition that another member speaks of. It is for
// host.Options.Unknown.
func (k *Keeper) Follow(group replica.GroupID) bool {
	partition, ok := protocol.TurnPartitionOf(group)
	if !ok {
		return false
	}
	if err := k.open(partition, replica.Members{}); err != nil {
		klog.ErrorS(err, "A partition can't be followed", "partition", partition)
		return false
	}
	return true
}

// told takes news of the control plane.
func (k *Keeper) told(n follow.Update) {
	if n.Directory == nil {
		return
	}
	k.node.Learn(*n.Directory)
	for partition, p := range n.Directory.Partitions {
		// Who finds itself among the first members begins the group; a later member is
		// brought in by the group's owner.
		if p.Change != 0 || !slices.Contains(p.Voters, k.node.Self.ID) {
			continue
		}
		if err := k.open(partition, replica.Members{Voters: p.Voters}); err != nil {
			klog.ErrorS(err, "A partition can't be opened", "partition", partition)
		}
	}
}

// Run serves other processes on l until ctx ends or the disk fails.
func (k *Keeper) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go k.follower.Run(ctx)
	go coordinator.Register(ctx, k.node, k.follower.Directory)
	go k.every(ctx, repairEvery, k.tend)
	go k.every(ctx, forgetEvery, k.forget)
	return k.node.Serve(ctx, l, map[string]any{"Turns": &turnCalls{k}})
}

func (k *Keeper) every(ctx context.Context, pause time.Duration, step func(context.Context)) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (k *Keeper) partitions() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.held))
}

// tend sees to the members of the partitions that this node owns.
func (k *Keeper) tend(ctx context.Context) {
	directory := k.follower.Directory()
	if len(directory.Partitions) == 0 {
		return
	}
	var done sync.WaitGroup
	for _, partition := range k.partitions() {
		status, err := k.node.Host.Status(protocol.TurnGroup(partition))
		if err != nil || !status.LeaderReady {
			continue
		}
		done.Go(func() { k.repair(ctx, partition, status, directory) })
	}
	done.Wait()
}

// repair makes one change to a partition's members where one is due, and has the
// directory tell of changes that are made.
func (k *Keeper) repair(ctx context.Context, partition int, status replica.Status, d protocol.Directory) {
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	if k.handOver(status, d) {
		return
	}
	if partition >= len(d.Partitions) {
		return
	}
	nodes := coordinator.OfClass(d, protocol.Storage)
	staying := 0
	for _, n := range nodes {
		if !slices.Contains(d.Retiring, n.Name) {
			staying++
		}
	}
	view := repair.View{Status: status, Now: k.node.Now(), Silent: node.Silent, Nodes: nodes, Retiring: d.Retiring, Voters: coordinator.Voters(k.losses, staying)}
	planner := k.planner(partition)
	if planner.Wanting(view) {
		view.Alive = k.node.Alive(ctx, nodes)
	}
	next, due := planner.Plan(view)
	if !slices.Equal(d.Partitions[partition].Voters, next.Voters) {
		k.report(ctx, partition, status, d)
	}
	if !due || !k.announce(ctx, partition, status, d, next) {
		return
	}
	err := k.node.Host.ChangeMembers(ctx, protocol.TurnGroup(partition), next)
	klog.InfoS("The members of a partition change", "partition", partition, "from", status.Members, "to", next, "cause", err)
}

func (k *Keeper) planner(partition int) *repair.Planner {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.planners[partition]
}

// handOver gives the ownership away where this node is to be emptied and others can do
// without it.
func (k *Keeper) handOver(status replica.Status, d protocol.Directory) bool {
	if !slices.Contains(d.Retiring, k.node.Self.Name) {
		return false
	}
	for _, id := range status.Members.Voters {
		n, known := k.node.Addresses.Find(id)
		if id == k.node.Self.ID || !known || slices.Contains(d.Retiring, n.Name) || status.MatchIndex[id] < status.CommitIndex {
			continue
		}
		return k.node.Host.TransferLeadership(status.Group, id) == nil
	}
	return false
}

// report has the directory tell who keeps a partition now, also where somebody who was
// announced didn't become a voter. Who still is to become one stays announced: if it were taken
// back first, an announcement whose answer is lost could undo itself again and again.
func (k *Keeper) report(ctx context.Context, partition int, status replica.Status, d protocol.Directory) {
	told := d.Partitions[partition]
	if status.ChangePending || slices.Equal(told.Voters, status.Members.Voters) {
		return
	}
	moved := &revisions.Moved{Partition: partition, Change: status.CommitIndex, Voters: status.Members.Voters}
	if told.Change == status.CommitIndex {
		moved.Step = told.Step + 1
	}
	if _, err := k.move(ctx, moved); err != nil {
		klog.V(1).InfoS("The directory isn't told of a partition's members yet", "partition", partition, "cause", err)
	}
}

// announce has the directory tell who is about to become a voter of a partition. Where it is
// false nobody may: the directory is another by now, or the node is to be emptied.
func (k *Keeper) announce(ctx context.Context, partition int, status replica.Status, d protocol.Directory, next replica.Members) bool {
	if len(next.Voters) <= len(status.Members.Voters) {
		return true // nobody becomes a voter: one comes or goes at a time
	}
	moved := &revisions.Moved{Partition: partition, Change: status.CommitIndex, Ahead: true, Voters: next.Voters}
	if told := d.Partitions[partition]; told.Change == status.CommitIndex {
		moved.Step = told.Step + 1
	}
	result, err := k.move(ctx, moved)
	if err != nil || result != revisions.Taken {
		klog.V(1).InfoS("A partition gets no new voter yet", "partition", partition, "result", result, "cause", err)
		return false
	}
	now, err := k.node.Host.Status(status.Group)
	return err == nil && now.Term == status.Term && now.MembersIndex == status.MembersIndex
}

// move tells the directory of a partition's members.
func (k *Keeper) move(ctx context.Context, moved *revisions.Moved) (revisions.Result, error) {
	command := revisions.Command{Moved: moved}
	text, err := command.Encode()
	if err != nil {
		return 0, err
	}
	answer, err := k.node.Submit(ctx, protocol.ConfigurationGroup, text)
	if err != nil {
		return 0, err
	}
	return revisions.ReadResult(answer)
}

// forget drops programs that are kept no longer, in the partitions that this node owns.
func (k *Keeper) forget(ctx context.Context) {
	for _, partition := range k.partitions() {
		group := protocol.TurnGroup(partition)
		status, err := k.node.Host.Status(group)
		if err != nil || !status.LeaderReady {
			continue
		}
		var resting []turns.Rest
		k.node.Host.ReadLocal(group, func(m host.StateMachine) { resting = m.(*turns.Machine).Resting(keepLonger, forgetMost) })
		if len(resting) == 0 {
			continue
		}
		command := turns.Command{Forget: resting}
		if text, err := command.Encode(); err == nil {
			one, cancel := context.WithTimeout(ctx, submitWithin)
			k.node.Host.Propose(one, group, text)
			cancel()
		}
	}
}
