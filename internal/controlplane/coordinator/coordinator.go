// Package coordinator is a core node: with the other core nodes it replicates the
// configuration, the services and the singleton tasks, answers the operators, and tells all
// other processes what changed.
package coordinator

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/lister"
	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/repair"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/controlplane/servers"
	"oakseam/internal/controlplane/tallysync"
	"oakseam/internal/tier/protocol"
)

const (
	// minVoters is the size of a group that tolerates one loss.
	minVoters = 3
	// repairInterval is how often a leader checks whether its group needs another member.
	repairInterval = 250 * time.Millisecond
	// registerRetryInterval is how often a node checks whether the directory lists it.
	registerRetryInterval = 200 * time.Millisecond
	// storageSettleTime is how long the number of storage nodes must be unchanged before the turn
	// partitions are assigned for the first time. If fewer nodes registered than a group needs,
	// they are assigned after maxStorageSettleTime.
	storageSettleTime    = 700 * time.Millisecond
	maxStorageSettleTime = 5 * time.Second
	// submitTimeout bounds a command that this node itself submits.
	submitTimeout = 2 * time.Second
)

// Coordinator is a core node.
type Coordinator struct {
	node            *node.Node
	toleratedLosses int      // number of machines that may be lost at once
	zones           []string // of the settings
	updates         *notifier
	// staleAfter is the staleness from which this node no longer vouches for its state.
	staleAfter   time.Duration
	listInterval time.Duration // time between two listings while the lister's task is held
	edges        edgeRegistry
	returns      zoneReturns

	mu                    sync.Mutex
	planners              map[replica.GroupID]*repair.Planner
	storageCountChangedAt time.Time // when storageCount last changed
	storageCount          int
	startedAt             time.Time

	tallies *tallysync.Node
}

// Options configure a Coordinator.
type Options struct {
	Node            *node.Node
	ToleratedLosses int
	Zones           []string // of the tier; those of nodes and servers are known as well
	Platform        lister.Platform
	Bootstrap       bool // the whole system starts for the first time
	Seeds           []string
	// ConfigApply is how soon after its acknowledgement a configuration must be in force
	// everywhere; 0 for DefaultConfigApply.
	ConfigApply time.Duration
	// DrainBound is how soon a draining server must receive no new requests after the platform's
	// list shows it as draining; 0 if unknown.
	DrainBound time.Duration
	// Tallies holds the tallies of this node; nil if it has none.
	Tallies *tallysync.Node
}

// DefaultConfigApply is the usual bound on putting a configuration into force.
const DefaultConfigApply = 2 * time.Second

// A core node that hears from no leader stops vouching after ConfigApply/staleAfterDivisor, so
// that its callers turn to another node: a second call, its reply and its handling must fit
// into the remaining time. An election and the first confirmed lease after it take 0.9 s, so
// with the usual bounds most elections go unnoticed.
const (
	staleAfterDivisor = 2
	minStaleAfter     = 400 * time.Millisecond
	maxStaleAfter     = 2 * time.Second
)

// StaleAfter returns the staleness from which a core node no longer vouches for its state.
func StaleAfter(configApply time.Duration) time.Duration {
	if configApply <= 0 {
		configApply = DefaultConfigApply
	}
	return min(max(configApply/staleAfterDivisor, minStaleAfter), maxStaleAfter)
}

// New restores or creates the groups of a core node.
func New(options Options) (*Coordinator, error) {
	c := &Coordinator{node: options.Node, toleratedLosses: options.ToleratedLosses, zones: options.Zones, updates: newNotifier(), planners: map[replica.GroupID]*repair.Planner{}, startedAt: time.Now(), staleAfter: StaleAfter(options.ConfigApply), listInterval: lister.Interval(options.DrainBound), tallies: options.Tallies}
	var first replica.Members
	if options.Bootstrap {
		for _, s := range options.Seeds {
			first.Voters = append(first.Voters, node.BootstrapID(protocol.Core, s))
		}
	}
	for _, group := range Groups() {
		if err := options.Node.Host.Add(group, first, nil, c.newStateMachine(group)); err != nil {
			return nil, errors.Wrap(err, string(group))
		}
		c.planners[group] = &repair.Planner{}
	}
	if c.tallies != nil {
		c.tallies.ObserveCallers(func(within time.Duration) bool { return c.edges.calledFromOtherZone(c.node.Self.Zone, within) })
	}
	return c, nil
}

// Groups returns the groups of the core nodes.
func Groups() []replica.GroupID {
	groups := []replica.GroupID{protocol.ConfigurationGroup, protocol.ListerTask}
	for partition := range protocol.ServicePartitions {
		groups = append(groups, protocol.ServiceGroup(partition))
	}
	return groups
}

// newStateMachine returns the empty state machine of a group.
func (c *Coordinator) newStateMachine(group replica.GroupID) host.StateMachine {
	switch group {
	case protocol.ConfigurationGroup:
		return revisions.New(c.updates.notifyAll)
	case protocol.ListerTask:
		return emptyStateMachine{}
	}
	return servers.New(c.updates.notifyAll)
}

// emptyStateMachine belongs to the group of a singleton task, which has no state: the group's
// leader holds the task.
type emptyStateMachine struct{}

func (emptyStateMachine) Apply([]byte) []byte  { return nil }
func (emptyStateMachine) Snapshot() []byte     { return nil }
func (emptyStateMachine) Restore([]byte) error { return nil }

// Run serves other processes on l until ctx ends or the disk fails.
func (c *Coordinator) Run(ctx context.Context, l net.Listener, platform lister.Platform) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	services := map[string]any{"Control": &controlService{c}}
	if c.tallies != nil {
		services[tallysync.ServiceName] = c.tallies.Service()
		go c.serveTallies(ctx, cancel)
	}
	go c.register(ctx)
	go c.maintainGroups(ctx)
	go c.learnDirectory(ctx)
	go c.removeGoneNodes(ctx)
	go c.collectEdges(ctx)
	go lister.New(platform, &listerTask{c}, c.listInterval).Run(ctx)
	err := c.node.Serve(ctx, l, services)
	if cause := context.Cause(ctx); err == nil && !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

// register keeps this node registered in the directory.
func (c *Coordinator) register(ctx context.Context) {
	Register(ctx, c.node, c.Directory)
}

// Register adds a node of the control plane to the directory, and adds it again whenever it is
// missing, until ctx ends.
func Register(ctx context.Context, n *node.Node, directory func() protocol.Directory) {
	command := revisions.Command{Register: &n.Self}
	text, err := command.Encode()
	if err != nil {
		klog.ErrorS(err, "Encoding this node's registration failed")
		return
	}
	for ctx.Err() == nil {
		if current := directory(); !slices.Contains(current.Nodes, n.Self) {
			submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
			if _, err := n.Submit(submitCtx, protocol.ConfigurationGroup, text); err != nil {
				klog.V(1).InfoS("Registering this node failed; will retry", "cause", err)
			}
			cancel()
		}
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
		}
	}
}

// learnDirectory copies the addresses of the directory's nodes to the address book.
func (c *Coordinator) learnDirectory(ctx context.Context) {
	version := uint64(0)
	for {
		changed := c.updates.changed()
		if directory := c.Directory(); directory.Version != version {
			version = directory.Version
			c.observeReturnedZones()
			c.node.Learn(directory)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Directory returns the directory as far as this node knows it.
func (c *Coordinator) Directory() protocol.Directory {
	var directory protocol.Directory
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) { directory = m.(*revisions.Machine).Directory() })
	return directory
}

// maintainGroups checks the members of the groups that this node leads, until ctx ends.
func (c *Coordinator) maintainGroups(ctx context.Context) {
	tick := time.NewTicker(repairInterval)
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
		c.assignPartitions(ctx, directory)
	}
}

// repair makes one membership change of a group if one is due.
func (c *Coordinator) repair(ctx context.Context, group replica.GroupID, directory protocol.Directory) {
	status, err := c.node.Host.Status(group)
	if err != nil || !status.LeaderReady {
		return
	}
	cores := NodesOfClass(directory, protocol.Core)
	if len(cores) < minVoters && group != protocol.ConfigurationGroup || len(cores) == 0 {
		return // the core nodes have not registered yet
	}
	view := repair.View{Status: status, Now: c.node.Now(), LostAfter: node.MemberLostAfter, Nodes: c.withUnregisteredVoters(cores, status), TargetVoters: FeasibleVoters(c.toleratedLosses, len(cores)), MaxVoters: TargetVoters(c.toleratedLosses), AllAsLearners: true}
	submitCtx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if c.planners[group].NeedsVoter(view) {
		view.Alive = c.node.Alive(submitCtx, view.Nodes)
	}
	next, ok := c.planners[group].Plan(view)
	if !ok {
		return
	}
	err = c.node.Host.ChangeMembers(submitCtx, group, next)
	klog.InfoS("Membership change of a group", "group", group, "from", status.Members, "to", next, "cause", err)
}

// withUnregisteredVoters adds the initial voters that have not registered yet, so that they
// are not treated as lost.
func (c *Coordinator) withUnregisteredVoters(cores []protocol.Node, status replica.Status) []protocol.Node {
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

// NodesOfClass returns the directory's nodes of a class.
func NodesOfClass(directory protocol.Directory, class protocol.Class) []protocol.Node {
	return slices.DeleteFunc(slices.Clone(directory.Nodes), func(n protocol.Node) bool { return n.Class != class })
}

// TargetVoters returns how many voters a group should have to tolerate a number of losses.
func TargetVoters(toleratedLosses int) int { return max(2*toleratedLosses+1, minVoters) }

// FeasibleVoters returns how many voters a group can have with the given number of nodes.
func FeasibleVoters(toleratedLosses, nodes int) int {
	return min(TargetVoters(toleratedLosses), max(nodes, 1))
}

// assignPartitions assigns the turn partitions once, when the storage nodes have registered.
func (c *Coordinator) assignPartitions(ctx context.Context, directory protocol.Directory) {
	if len(directory.Partitions) > 0 {
		return
	}
	status, err := c.node.Host.Status(protocol.ConfigurationGroup)
	nodes := NodesOfClass(directory, protocol.Storage)
	if err != nil || !status.LeaderReady || len(nodes) == 0 || !c.storageSettled(len(nodes)) {
		return
	}
	assignment := &revisions.Assignment{}
	for partition := range protocol.TurnPartitions(len(nodes)) {
		ranked := rankNodes(protocol.TurnGroup(partition), nodes)
		voters := FeasibleVoters(c.toleratedLosses, len(nodes))
		assignment.Partitions = append(assignment.Partitions, repair.SelectVoters(ranked, voters))
	}
	if err := c.submit(ctx, &revisions.Command{Assign: assignment}); err != nil {
		klog.ErrorS(err, "Assigning the turn partitions failed; will retry")
	}
}

// storageSettled reports whether no more storage nodes are expected to register soon.
func (c *Coordinator) storageSettled(nodes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if nodes != c.storageCount {
		c.storageCount, c.storageCountChangedAt = nodes, now
	}
	enough := nodes >= TargetVoters(c.toleratedLosses)
	return now.Sub(c.storageCountChangedAt) >= storageSettleTime && (enough || now.Sub(c.startedAt) >= maxStorageSettleTime)
}

// submit submits a command to the configuration group.
func (c *Coordinator) submit(ctx context.Context, command *revisions.Command) error {
	text, err := command.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	_, err = c.node.Submit(ctx, protocol.ConfigurationGroup, text)
	return err
}
