// Package watch keeps a process up to date with the control plane. A Follower sends the
// versions that it has to core nodes with long-polling watch calls and receives everything
// newer. It keeps calls open to one node more than the number of node losses to be
// tolerated, chosen by rendezvous hashing, so that the load spreads over the core nodes and
// a frozen node delays nothing. A node that has no contact with the leaders cannot prove
// that its state is recent; the Follower then tries the next node at once until it finds
// one that can.
package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/delta"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/wait"
)

// Update describes a change of the configuration, the directory or the server lists. Nil
// fields have not changed.
type Update struct {
	Revision      uint64
	Configuration []byte
	Directory     *protocol.Directory
	ReturnedZones []protocol.ReturnedZone // with Directory
	Lists         []protocol.ServerList   // complete lists of the services in Partition
	Partition     int
}

// Options configure a Follower.
type Options struct {
	Name            string
	Zone            string   // of an edge
	Seeds           []string // net/rpc addresses of core nodes, used while no node is known
	ConcurrentCalls int      // number of watch calls kept open, each to another node
	// DirectoryOnly: follow neither the configuration nor the server lists.
	DirectoryOnly bool
	Pool          *rpc.Pool
	// OnUpdate is called with each update, one at a time.
	OnUpdate func(Update)
}

// Follower keeps the configuration, the directory and the server lists up to date.
type Follower struct {
	options Options

	updateMu sync.Mutex // held during OnUpdate, so that updates arrive in order

	mu            sync.Mutex
	confirmed     bool // a linearizable configuration was received
	revision      uint64
	configuration []byte // at revision
	needWhole     bool   // the steps from revision did not apply: request the whole configuration
	directory     protocol.Directory
	// needWholeDirectory: a change of the directory did not apply.
	needWholeDirectory bool
	// needWholeLists: changes of the lists of a partition did not apply.
	needWholeLists [protocol.ServicePartitions]bool
	services       [protocol.ServicePartitions]uint64                // versions of the server lists
	lists          [protocol.ServicePartitions][]protocol.ServerList // at these versions
	listsOutdated  bool                                              // the process uses lists from elsewhere, so services does not describe them
	sources        *Sources
}

// New returns a Follower. Run starts it.
func New(options Options) *Follower {
	return &Follower{options: options, sources: NewSources(time.Now())}
}

// Run follows the control plane until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var done sync.WaitGroup
	for range max(f.options.ConcurrentCalls, 1) {
		done.Go(func() { f.watchLoop(ctx) })
	}
	done.Wait()
}

// Staleness returns an upper bound on how far the delivered state is behind the control
// plane: everything that took effect longer ago is known. Until the first vouched reply it
// counts from the start of the process.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Staleness(time.Now())
}

// RefreshLists requests the lists of all services again from a node that vouches for them.
// It is called when the process has taken lists from another source, which may be newer
// than the state of a node that cannot vouch.
func (f *Follower) RefreshLists() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listsOutdated = true
}

// Directory returns the last directory received.
func (f *Follower) Directory() protocol.Directory {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory
}

func (f *Follower) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		address, patient := f.chooseNode()
		if address == "" {
			wait.For(ctx, RetryDelay)
			continue
		}
		if !f.watch(ctx, address, patient) {
			wait.For(ctx, RetryDelay)
		}
	}
}

// chooseNode selects the node for the next call and reserves it.
func (f *Follower) chooseNode() (address string, patient bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Choose(time.Now(), f.candidates())
}

// candidates returns the addresses of all core nodes, in the order of rendezvous hashing. It
// adds the seeds if no core node is known or none has vouched for some time.
func (f *Follower) candidates() []string {
	var addresses []string
	for _, n := range f.directory.Nodes {
		if n.Class == protocol.Core {
			addresses = append(addresses, n.Address)
		}
	}
	if len(addresses) == 0 || f.sources.NeedSeeds(time.Now()) {
		for _, seed := range f.options.Seeds {
			if !slices.Contains(addresses, seed) {
				addresses = append(addresses, seed)
			}
		}
	}
	return hashing.Rank(f.options.Name, addresses, hashing.Sum64)
}

// watch calls a node and delivers the updates in its reply. It returns false if the reply
// was not usable.
func (f *Follower) watch(ctx context.Context, address string, patient bool) bool {
	defer f.release(address)
	args := f.watchArgs(patient)
	ctx, cancel := context.WithTimeout(ctx, LongPollWait+ReplyTimeout)
	defer cancel()
	var reply protocol.WatchReply
	sent := time.Now()
	err := f.options.Pool.Call(ctx, address, "Control.Watch", &args, &reply)
	useful := err == nil && f.deliver(&reply)
	f.recordResult(address, sent, &reply, err)
	return useful
}

func (f *Follower) watchArgs(patient bool) protocol.WatchArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := protocol.WatchArgs{
		Node: f.options.Name, Zone: f.options.Zone, Revision: f.revision, Directory: f.directory.Version, Services: f.services,
		Confirmed: !f.confirmed, DirectoryOnly: f.options.DirectoryOnly, AcceptsChanges: true, Patient: patient, Wait: LongPollWait,
	}
	if f.needWhole {
		args.Revision = 0
	}
	if f.needWholeDirectory {
		args.Directory = 0
	}
	for partition, needed := range f.needWholeLists {
		if needed {
			args.Services[partition] = 0
		}
	}
	if f.listsOutdated && !patient {
		// A patient call goes to a node that cannot vouch now. It must wait for a proof; asking
		// for all lists would make the node reply at once.
		args.Services = [protocol.ServicePartitions]uint64{}
	}
	return args
}

// recordResult records whether a node is a good source. It is called after the updates were
// delivered, because Staleness must not cover state that the process does not use yet.
func (f *Follower) recordResult(address string, sent time.Time, reply *protocol.WatchReply, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || !reply.Vouched {
		f.sources.RecordFailure(time.Now(), address)
		return
	}
	f.sources.RecordVouched(address, sent, reply.Held, reply.Age)
}

func (f *Follower) release(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.Release(address)
}

// deliver passes the updates in a reply to OnUpdate and reports whether the reply was usable.
func (f *Follower) deliver(reply *protocol.WatchReply) bool {
	f.updateMu.Lock()
	defer f.updateMu.Unlock()
	for _, update := range f.merge(reply) {
		f.options.OnUpdate(update)
	}
	return reply.Vouched && f.isConfirmed()
}

func (f *Follower) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// merge takes over everything newer in a reply and returns the updates.
func (f *Follower) merge(reply *protocol.WatchReply) []Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	var updates []Update
	// The directory comes first: with the first configuration the process begins to serve, and it must
	// know the evacuated zones by then.
	if f.mergeDirectory(reply) {
		directory := f.directory
		updates = append(updates, Update{Directory: &directory, ReturnedZones: reply.ReturnedZones})
	}
	if !f.confirmed && reply.Confirmed && f.hasDirectoryOf(reply) {
		f.confirmed = true
		klog.InfoS("Control plane reached", "revision", reply.Revision)
	}
	if f.confirmed && reply.Revision > f.revision && f.applySteps(reply) {
		updates = append(updates, Update{Revision: f.revision, Configuration: f.configuration})
	}
	return append(updates, f.mergeLists(reply)...)
}

// applySteps applies the steps to a newer configuration. It skips steps that were already
// applied from another node's reply. If a step does not apply, the configuration stays as it
// is and the next call requests the whole configuration.
func (f *Follower) applySteps(reply *protocol.WatchReply) bool {
	revision, configuration := f.revision, f.configuration
	for _, step := range reply.Steps {
		base := configuration
		switch {
		case step.Revision <= revision:
			continue
		case step.Base == 0:
			base = nil
		case step.Base != revision:
			f.needWhole = true
			return false
		}
		next, err := delta.Apply(base, step.Patch)
		if err != nil {
			f.needWhole = true
			klog.ErrorS(err, "Cannot apply a configuration patch; requesting the whole configuration", "revision", step.Revision)
			return false
		}
		revision, configuration = step.Revision, next
	}
	f.needWhole = revision != reply.Revision
	if f.needWhole {
		return false
	}
	f.revision, f.configuration = revision, configuration
	return true
}

// FindNode returns the node of a directory with an id.
func FindNode(directory *protocol.Directory, id replica.NodeID) (protocol.Node, bool) {
	index := slices.IndexFunc(directory.Nodes, func(n protocol.Node) bool { return n.ID == id })
	if index < 0 {
		return protocol.Node{}, false
	}
	return directory.Nodes[index], true
}
