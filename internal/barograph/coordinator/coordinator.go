// Package coordinator is a core node: it keeps the configuration, the services and the
// duties in groups with the other core nodes, answers the operators, and tells all other
// processes what is new.
package coordinator

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/lister"
	"pipitmux/internal/barograph/node"
	"pipitmux/internal/barograph/repair"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/barograph/servers"
	"pipitmux/internal/station/protocol"
)

const (
	// leastVoters is the size of a group that bears one loss.
	leastVoters = 3
	// repairEvery is how often an owner looks whether its group needs another member.
	repairEvery = 250 * time.Millisecond
	// registerPause is the pause before a node that isn't in the directory yet tries again.
	registerPause = 200 * time.Millisecond
	// settledFor is how long no new storage node may have come before the partitions of the
	// turns are dealt out for the first time, and settledMost when that is done though
	// fewer came than there should be.
	settledFor  = 700 * time.Millisecond
	settledMost = 5 * time.Second
	// submitWithin bounds a command of this node's own.
	submitWithin = 2 * time.Second
)

// Coordinator is a core node.
type Coordinator struct {
	node   *node.Node
	losses int // of machines, to be borne at once
	news   *notifier
	// staleAfter is the age at which this node no longer vouches for what it tells.
	staleAfter time.Duration
	listEvery  time.Duration // how often the platform is asked, while the duty is held

	mu       sync.Mutex
	planners map[replica.GroupID]*repair.Planner
	seenAt   time.Time // when the number of storage nodes changed last
	seen     int
	began    time.Time
}

// Options are what a Coordinator needs.
type Options struct {
	Node     *node.Node
	Losses   int
	Platform lister.Platform
	First    bool // the whole system starts for the first time
	Seeds    []string
	// ConfigApply is how soon after its acknowledgement a configuration must be in force
	// everywhere; 0 for DefaultConfigApply.
	ConfigApply time.Duration
	// Drain is how soon after the platform's list shows it a draining server must get nothing
	// new; 0 where that isn't known.
	Drain time.Duration
}

// DefaultConfigApply is the time for which operators commonly ask.
const DefaultConfigApply = 2 * time.Second

// The part of that time after which a core node that hears no owner sends its askers elsewhere:
// a second question, its answer and what they do with it must fit into the rest. An election
// and the first proofs after it take 0.9 s, so that with the usual bounds most are not noticed.
const (
	stalePart  = 2
	staleLeast = 400 * time.Millisecond
	staleMost  = 2 * time.Second
)

// StaleAfter is the age at which a core node no longer vouches for what it tells.
func StaleAfter(configApply time.Duration) time.Duration {
	if configApply <= 0 {
		configApply = DefaultConfigApply
	}
	return min(max(configApply/stalePart, staleLeast), staleMost)
}

// New restores or begins the groups of a core node.
func New(o Options) (*Coordinator, error) {
	c := &Coordinator{node: o.Node, losses: o.Losses, news: newNotifier(), planners: map[replica.GroupID]*repair.Planner{}, began: time.Now(), staleAfter: StaleAfter(o.ConfigApply), listEvery: lister.Pause(o.Drain)}
	var first replica.Members
	if o.First {
		for _, s := range o.Seeds {
			first.Voters = append(first.Voters, node.FirstID(protocol.Core, s))
		}
	}
	for _, group := range Groups() {
		if err := o.Node.Host.Add(group, first, nil, c.machine(group)); err != nil {
			return nil, errors.Wrap(err, string(group))
		}
		c.planners[group] = &repair.Planner{}
	}
	return c, nil
}

// Groups lists the groups that the core nodes keep.
func Groups() []replica.GroupID {
	groups := []replica.GroupID{protocol.ConfigurationGroup, protocol.ListerTask}
	for partition := range protocol.ServicePartitions {
		groups = append(groups, protocol.ServiceGroup(partition))
	}
	return groups
}

func (c *Coordinator) machine(group replica.GroupID) host.StateMachine {
	switch group {
	case protocol.ConfigurationGroup:
		return revisions.New(c.news.tell)
	case protocol.ListerTask:
		return dutyMachine{}
	}
	return servers.New(c.news.tell)
}

// dutyMachine is the state of a duty: there is none, the group's owner holds it.
type dutyMachine struct{}

func (dutyMachine) Apply([]byte) []byte  { return nil }
func (dutyMachine) Snapshot() []byte     { return nil }
func (dutyMachine) Restore([]byte) error { return nil }

// Run serves other processes on l until ctx ends or the disk fails.
func (c *Coordinator) Run(ctx context.Context, l net.Listener, platform lister.Platform) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.register(ctx)
	go c.tend(ctx)
	go c.learn(ctx)
	go c.clear(ctx)
	go lister.New(platform, &listerDuty{c}, c.listEvery).Run(ctx)
	return c.node.Serve(ctx, l, map[string]any{"Control": &controlCalls{c}})
}

// register has this node stand in the directory.
func (c *Coordinator) register(ctx context.Context) {
	Register(ctx, c.node, c.Directory)
}

// Register has a node of the control plane stand in the directory, and sees to it that
// it goes on to, until ctx ends.
func Register(ctx context.Context, n *node.Node, directory func() protocol.Directory) {
	command := revisions.Command{Register: &n.Self}
	text, err := command.Encode()
	if err != nil {
		klog.ErrorS(err, "This node can't be registered")
		return
	}
	for ctx.Err() == nil {
		if d := directory(); !slices.Contains(d.Nodes, n.Self) {
			one, cancel := context.WithTimeout(ctx, submitWithin)
			if _, err := n.Submit(one, protocol.ConfigurationGroup, text); err != nil {
				klog.V(1).InfoS("Not registered yet", "cause", err)
			}
			cancel()
		}
		select {
		case <-time.After(registerPause):
		case <-ctx.Done():
		}
	}
}

// learn takes on where the nodes of the directory are reached.
func (c *Coordinator) learn(ctx context.Context) {
	version := uint64(0)
	for {
		changed := c.news.changed()
		if d := c.Directory(); d.Version != version {
			version = d.Version
			c.node.Learn(d)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Directory is the directory as far as this node knows.
func (c *Coordinator) Directory() protocol.Directory {
	var d protocol.Directory
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) { d = m.(*revisions.Machine).Directory() })
	return d
}

// tend sees to the groups that this node owns, until ctx ends.
func (c *Coordinator) tend(ctx context.Context) {
	tick := time.NewTicker(repairEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		directory := c.Directory()
		for _, group := range Groups() {
			c.repair(ctx, group, directory)
		}
		c.assign(ctx, directory)
	}
}

// repair makes one change to a group's members where one is due.
func (c *Coordinator) repair(ctx context.Context, group replica.GroupID, d protocol.Directory) {
	status, err := c.node.Host.Status(group)
	if err != nil || !status.LeaderReady {
		return
	}
	cores := OfClass(d, protocol.Core)
	if len(cores) < leastVoters && group != protocol.ConfigurationGroup || len(cores) == 0 {
		return // the directory has yet to fill
	}
	view := repair.View{Status: status, Now: c.node.Now(), Silent: node.Silent, Nodes: c.withFirst(cores, status), Voters: Voters(c.losses, len(cores)), Everyone: true}
	one, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	if c.planners[group].Wanting(view) {
		view.Alive = c.node.Alive(one, view.Nodes)
	}
	next, ok := c.planners[group].Plan(view)
	if !ok {
		return
	}
	err = c.node.Host.ChangeMembers(one, group, next)
	klog.InfoS("The members of a group change", "group", group, "from", status.Members, "to", next, "cause", err)
}

// withFirst adds the first members that have not registered yet: they are no strangers.
func (c *Coordinator) withFirst(cores []protocol.Node, status replica.Status) []protocol.Node {
	nodes := slices.Clone(cores)
	for _, id := range status.Members.Voters {
		n, known := c.node.Addresses.Find(id)
		listed := slices.ContainsFunc(cores, func(o protocol.Node) bool { return o.ID == id || known && o.SameNode(n) })
		if known && !listed {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// OfClass lists the directory's nodes of a class.
func OfClass(d protocol.Directory, class protocol.Class) []protocol.Node {
	return slices.DeleteFunc(slices.Clone(d.Nodes), func(n protocol.Node) bool { return n.Class != class })
}

// VotersWanted is how many voters a group should have where so many nodes may be lost at
// once.
func VotersWanted(losses int) int { return max(2*losses+1, leastVoters) }

// Voters is how many voters a group can have of them where so many nodes are there.
func Voters(losses, nodes int) int { return min(VotersWanted(losses), max(nodes, 1)) }

// assign deals out the partitions of the turns once, when the storage nodes have come.
func (c *Coordinator) assign(ctx context.Context, d protocol.Directory) {
	if len(d.Partitions) > 0 {
		return
	}
	status, err := c.node.Host.Status(protocol.ConfigurationGroup)
	nodes := OfClass(d, protocol.Storage)
	if err != nil || !status.LeaderReady || len(nodes) == 0 || !c.settled(len(nodes)) {
		return
	}
	assignment := &revisions.Assignment{}
	for partition := range protocol.TurnPartitions(len(nodes)) {
		ranked := hashingRank(protocol.TurnGroup(partition), nodes)
		assignment.Partitions = append(assignment.Partitions, ranked[:Voters(c.losses, len(nodes))])
	}
	if err := c.submit(ctx, &revisions.Command{Assign: assignment}); err != nil {
		klog.ErrorS(err, "The partitions of the turns aren't dealt out yet")
	}
}

// settled tells whether as many storage nodes have come as will.
func (c *Coordinator) settled(nodes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if nodes != c.seen {
		c.seen, c.seenAt = nodes, now
	}
	enough := nodes >= VotersWanted(c.losses)
	return now.Sub(c.seenAt) >= settledFor && (enough || now.Sub(c.began) >= settledMost)
}

func (c *Coordinator) submit(ctx context.Context, command *revisions.Command) error {
	text, err := command.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	_, err = c.node.Submit(ctx, protocol.ConfigurationGroup, text)
	return err
}
