// Package storage is a storage node: with others of its class it replicates the turns of
// programs and the programs' remaining token budgets. It also holds copies of adds to tallies
// while too few core nodes can be reached.
package storage

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/coordinator"
	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/repair"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/controlplane/tallysync"
	"oakseam/internal/controlplane/turns"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/watch"
)

const (
	// repairInterval is how often a leader checks whether its partition needs another member.
	repairInterval = 150 * time.Millisecond
	// forgetInterval is how often a leader looks for programs whose retention has passed.
	forgetInterval = 5 * time.Second
	// retentionSlack is added to the retention of programs. maxForgottenAtOnce is how many are
	// forgotten with one command.
	retentionSlack     = 10 * time.Second
	maxForgottenAtOnce = 64
	// submitTimeout bounds a command that this node itself submits.
	submitTimeout = 2 * time.Second
)

// Node is a storage node.
type Node struct {
	node            *node.Node
	toleratedLosses int
	follower        *watch.Follower
	holder          *tallysync.Holder

	mu             sync.Mutex
	openPartitions map[int]bool // partitions whose group runs here
	planners       map[int]*repair.Planner
	reported       map[int]uint64 // not read: membership changes that were reported to the directory
}

// Options configure a Node.
type Options struct {
	Node            *node.Node
	Name            string
	ToleratedLosses int
	Seeds           []string
	Holder          *tallysync.Holder // holds copies of adds to tallies; nil if this node holds none
}

// New restores the groups that are stored on the disk.
func New(options Options) (*Node, error) {
	n := &Node{node: options.Node, toleratedLosses: options.ToleratedLosses, holder: options.Holder, openPartitions: map[int]bool{}, planners: map[int]*repair.Planner{}, reported: map[int]uint64{}}
	n.follower = watch.New(watch.Options{Name: options.Name, Seeds: options.Seeds, ConcurrentCalls: options.ToleratedLosses + 1, DirectoryOnly: true, Pool: options.Node.Pool, OnUpdate: n.applyUpdate})
	for _, group := range options.Node.Host.StoredGroups() {
		partition, ok := protocol.TurnPartitionOf(group)
		if !ok {
			continue
		}
		if err := n.open(partition, replica.Members{}); err != nil {
			return nil, errors.Wrapf(err, "partition %d", partition)
		}
	}
	return n, nil
}

// open starts the group of a partition, with its initial members if it is new.
func (n *Node) open(partition int, first replica.Members) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.openPartitions[partition] {
		return nil
	}
	if err := n.node.Host.Add(protocol.TurnGroup(partition), first, nil, turns.New(n.node.Now)); err != nil {
		return err
	}
	n.openPartitions[partition] = true
	n.planners[partition] = &repair.Planner{}
	return nil
}

// JoinGroup starts the group of a partition that another member mentions. It is meant for
// host.Options.OnUnknownGroup.
func (n *Node) JoinGroup(group replica.GroupID) bool {
	partition, ok := protocol.TurnPartitionOf(group)
	if !ok {
		return false
	}
	if err := n.open(partition, replica.Members{}); err != nil {
		klog.ErrorS(err, "Joining a partition's group failed", "partition", partition)
		return false
	}
	return true
}

// applyUpdate applies an update from the control plane.
func (n *Node) applyUpdate(update watch.Update) {
	if update.Directory == nil {
		return
	}
	n.node.Learn(*update.Directory)
	for partition, p := range update.Directory.Partitions {
		// An initial member creates the group itself. A later member is added by the
		// group's leader.
		if p.Change != 0 || !slices.Contains(p.Voters, n.node.Self.ID) {
			continue
		}
		if err := n.open(partition, replica.Members{Voters: p.Voters}); err != nil {
			klog.ErrorS(err, "Starting a partition's group failed", "partition", partition)
		}
	}
}

// Run serves other processes on l until ctx ends or the disk fails.
func (n *Node) Run(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	services := map[string]any{"Turns": &turnsService{n}}
	if n.holder != nil {
		services[tallysync.HolderServiceName] = n.holder.Service()
		go n.handOverCopies(ctx, cancel)
	}
	go n.follower.Run(ctx)
	go coordinator.Register(ctx, n.node, n.follower.Directory)
	go n.runEvery(ctx, repairInterval, n.maintainPartitions)
	go n.runEvery(ctx, forgetInterval, n.forgetIdlePrograms)
	err := n.node.Serve(ctx, l, services)
	if cause := context.Cause(ctx); err == nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// handOverCopies hands copies of adds over until ctx ends. If their disk fails, it ends the node by cancel.
func (n *Node) handOverCopies(ctx context.Context, cancel context.CancelCauseFunc) {
	if err := n.holder.Run(ctx); err != nil {
		cancel(errors.Wrap(err, "copies of adds to tallies"))
	}
}

// runEvery calls step at a fixed interval until ctx ends.
func (n *Node) runEvery(ctx context.Context, interval time.Duration, step func(context.Context)) {
	tick := time.NewTicker(interval)
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

// partitions returns the partitions whose groups run here, in order.
func (n *Node) partitions() []int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Sorted(maps.Keys(n.openPartitions))
}

// maintainPartitions checks the members of the partitions that this node leads.
func (n *Node) maintainPartitions(ctx context.Context) {
	directory := n.follower.Directory()
	if len(directory.Partitions) == 0 {
		return
	}
	var done sync.WaitGroup
	for _, partition := range n.partitions() {
		status, err := n.node.Host.Status(protocol.TurnGroup(partition))
		if err != nil || !status.LeaderReady {
			continue
		}
		done.Go(func() { n.repair(ctx, partition, status, directory) })
	}
	done.Wait()
}

// repair makes one membership change of a partition if one is due, and reports changed members
// to the directory.
func (n *Node) repair(ctx context.Context, partition int, status replica.Status, directory protocol.Directory) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if n.transferLeadership(status, directory) {
		return
	}
	if partition >= len(directory.Partitions) {
		return
	}
	nodes := coordinator.NodesOfClass(directory, protocol.Storage)
	staying := 0
	for _, candidate := range nodes {
		if !slices.Contains(directory.Retiring, candidate.Name) {
			staying++
		}
	}
	view := repair.View{Status: status, Now: n.node.Now(), LostAfter: node.MemberLostAfter, Nodes: nodes, Retiring: directory.Retiring, TargetVoters: coordinator.FeasibleVoters(n.toleratedLosses, staying), MaxVoters: coordinator.TargetVoters(n.toleratedLosses)}
	planner := n.planner(partition)
	if planner.NeedsVoter(view) {
		view.Alive = n.node.Alive(ctx, nodes)
	}
	next, due := planner.Plan(view)
	if !slices.Equal(directory.Partitions[partition].Voters, next.Voters) {
		n.reportMembers(ctx, partition, status, directory)
	}
	if !due || !n.announceVoter(ctx, partition, status, directory, next) {
		return
	}
	err := n.node.Host.ChangeMembers(ctx, protocol.TurnGroup(partition), next)
	klog.InfoS("Membership change of a partition", "partition", partition, "from", status.Members, "to", next, "cause", err)
}

// planner returns the repair planner of a partition.
func (n *Node) planner(partition int) *repair.Planner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.planners[partition]
}

// transferLeadership gives up the leadership if this node is retiring and another voter is
// ready to lead.
func (n *Node) transferLeadership(status replica.Status, directory protocol.Directory) bool {
	if !slices.Contains(directory.Retiring, n.node.Self.Name) {
		return false
	}
	for _, id := range status.Members.Voters {
		voter, known := n.node.Addresses.Find(id)
		if id == n.node.Self.ID || !known || slices.Contains(directory.Retiring, voter.Name) || status.MatchIndex[id] < status.CommitIndex {
			continue
		}
		return n.node.Host.TransferLeadership(status.Group, id) == nil
	}
	return false
}

// reportMembers updates the directory with a partition's current voters, also when an announced
// node did not become a voter. A node that is still to become one stays announced: if the
// announcement were reverted first, one whose reply is lost could revert itself repeatedly.
func (n *Node) reportMembers(ctx context.Context, partition int, status replica.Status, directory protocol.Directory) {
	listed := directory.Partitions[partition]
	if status.ChangePending || slices.Equal(listed.Voters, status.Members.Voters) {
		return
	}
	update := &revisions.MembershipUpdate{Partition: partition, Change: status.CommitIndex, Voters: status.Members.Voters}
	if listed.Change == status.CommitIndex {
		update.Step = listed.Step + 1
	}
	if _, err := n.submitMembership(ctx, update); err != nil {
		klog.V(1).InfoS("Reporting a partition's members to the directory failed; will retry", "partition", partition, "cause", err)
	}
}

// announceVoter announces in the directory which node is about to become a voter of a partition.
// If it returns false, the node must not become one: the directory has changed, or the node is
// retiring.
func (n *Node) announceVoter(ctx context.Context, partition int, status replica.Status, directory protocol.Directory, next replica.Members) bool {
	if len(next.Voters) <= len(status.Members.Voters) {
		return true // no new voter: a change adds or removes one node
	}
	update := &revisions.MembershipUpdate{Partition: partition, Change: status.CommitIndex, Announced: true, Voters: next.Voters}
	if listed := directory.Partitions[partition]; listed.Change == status.CommitIndex {
		update.Step = listed.Step + 1
	}
	result, err := n.submitMembership(ctx, update)
	if err != nil || result != revisions.Accepted {
		klog.V(1).InfoS("Announcing a partition's new voter failed; will retry", "partition", partition, "result", result, "cause", err)
		return false
	}
	latest, err := n.node.Host.Status(status.Group)
	return err == nil && latest.Term == status.Term && latest.MembersIndex == status.MembersIndex
}

// submitMembership submits a partition's members to the directory.
func (n *Node) submitMembership(ctx context.Context, update *revisions.MembershipUpdate) (revisions.Result, error) {
	command := revisions.Command{Membership: update}
	text, err := command.Encode()
	if err != nil {
		return 0, err
	}
	reply, err := n.node.Submit(ctx, protocol.ConfigurationGroup, text)
	if err != nil {
		return 0, err
	}
	return revisions.ReadResult(reply)
}

// forgetIdlePrograms drops programs whose retention has passed, in the partitions that this
// node leads.
func (n *Node) forgetIdlePrograms(ctx context.Context) {
	for _, partition := range n.partitions() {
		group := protocol.TurnGroup(partition)
		status, err := n.node.Host.Status(group)
		if err != nil || !status.LeaderReady {
			continue
		}
		var idle []turns.IdleProgram
		n.node.Host.ReadLocal(group, func(m host.StateMachine) {
			idle = m.(*turns.Machine).IdlePrograms(retentionSlack, maxForgottenAtOnce)
		})
		if len(idle) == 0 {
			continue
		}
		command := turns.Command{Forget: idle}
		if text, err := command.Encode(); err == nil {
			submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
			n.node.Host.Propose(submitCtx, group, text)
			cancel()
		}
	}
}
