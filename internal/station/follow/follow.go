// Package follow keeps a process up to date: it asks core nodes, with the versions that
// it has, for what is newer. It asks as many nodes side by side as may be lost at once
// and one more, chosen by rendezvous hashing, so that no core node is asked by all and
// one that froze holds nothing up. A node that can't vouch for what it tells, since it hears
// no owner, is left for the next one at once, until one is found that can.
package follow

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/station/hashing"
	"pipitmux/internal/station/link"
	"pipitmux/internal/station/patch"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/wait"
)

// Update is what has changed. Nil fields have not.
type Update struct {
	Revision      uint64
	Configuration []byte
	Directory     *protocol.Directory
	Lists         []protocol.ServerList // of the services in Partition, whole
	Partition     int
}

// Options are what a Follower needs.
type Options struct {
	Name            string
	Seeds           []string // net/rpc addresses of core nodes
	ConcurrentCalls int      // nodes asked side by side
	// DirectoryOnly: neither the configuration nor the servers are of interest.
	DirectoryOnly bool
	Pool          *link.Pool
	// OnUpdate gets all news, one at a time.
	OnUpdate func(Update)
}

// Follower follows the control plane.
type Follower struct {
	opt Options

	told sync.Mutex // held while news are told: they reach Told in order

	mu        sync.Mutex
	confirmed bool
	revision  uint64
	body      []byte // of that revision
	whole     bool   // the steps from it couldn't be followed
	directory protocol.Directory
	services  [protocol.ServicePartitions]uint64
	replaced  bool // the lists that the process goes by are not those
	sources   *Sources
}

// New returns a Follower that Run has yet to start.
func New(o Options) *Follower {
	return &Follower{opt: o, sources: NewSources(time.Now())}
}

// Run asks until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var done sync.WaitGroup
	for slot := range max(f.opt.ConcurrentCalls, 1) {
		done.Go(func() { f.ask(ctx, slot) })
	}
	done.Wait()
}

// Staleness is how old what was told may be: everything that had come into force before is known.
// It counts from the start of the process until a first answer was vouched for.
func (f *Follower) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Staleness(time.Now())
}

// RefreshLists has the lists of all services told anew once a node vouches for them: what the
// process goes by has come from elsewhere meanwhile, and is newer than what others may tell.
func (f *Follower) RefreshLists() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaced = true
}

// Directory returns the directory as last told.
func (f *Follower) Directory() protocol.Directory {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory
}

func (f *Follower) ask(ctx context.Context, slot int) {
	for ctx.Err() == nil {
		address, patient := f.choose()
		if address == "" {
			wait.For(ctx, RetryDelay)
			continue
		}
		if !f.question(ctx, address, patient) {
			wait.For(ctx, RetryDelay)
		}
	}
}

// choose books the node to be asked next.
func (f *Follower) choose() (address string, patient bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sources.Choose(time.Now(), f.candidates())
}

// candidates are the addresses of all core nodes, or of the seeds while none is known.
func (f *Follower) candidates() []string {
	var addresses []string
	for _, n := range f.directory.Nodes {
		if n.Class == protocol.Core {
			addresses = append(addresses, n.Address)
		}
	}
	if len(addresses) == 0 || f.sources.NeedSeeds(time.Now()) {
		for _, s := range f.opt.Seeds {
			if !slices.Contains(addresses, s) {
				addresses = append(addresses, s)
			}
		}
	}
	return hashing.Rank(f.opt.Name, addresses, hashing.Sum64)
}

// question asks a node and tells what is news. It is false where the answer was of no use.
func (f *Follower) question(ctx context.Context, address string, patient bool) bool {
	defer f.free(address)
	args := f.args(patient)
	ctx, cancel := context.WithTimeout(ctx, LongPollWait+ReplyTimeout)
	defer cancel()
	var reply protocol.WatchReply
	sent := time.Now()
	err := f.opt.Pool.Call(ctx, address, "Control.Watch", &args, &reply)
	useful := err == nil && f.take(&reply)
	f.note(address, sent, &reply, err)
	return useful
}

func (f *Follower) args(patient bool) protocol.WatchArgs {
	f.mu.Lock()
	defer f.mu.Unlock()
	args := protocol.WatchArgs{
		Node: f.opt.Name, Revision: f.revision, Directory: f.directory.Version, Services: f.services,
		Confirmed: !f.confirmed, DirectoryOnly: f.opt.DirectoryOnly, Patient: patient, Wait: LongPollWait,
	}
	if f.whole {
		args.Revision = 0
	}
	if f.replaced && !patient {
		// A patient question goes to a node that has nothing better: it is to wait for a proof.
		args.Services = [protocol.ServicePartitions]uint64{}
	}
	return args
}

// note remembers whether a node was a good source. It comes after the news were told: Age must
// not promise what the process doesn't go by yet.
func (f *Follower) note(address string, sent time.Time, reply *protocol.WatchReply, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || !reply.Vouched {
		f.sources.RecordFailure(time.Now(), address)
		return
	}
	f.sources.RecordVouched(address, sent, reply.Held, reply.Age)
}

func (f *Follower) free(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.Release(address)
}

// take tells what is news and returns whether the answer was of use.
func (f *Follower) take(reply *protocol.WatchReply) bool {
	f.told.Lock()
	defer f.told.Unlock()
	for _, n := range f.merge(reply) {
		f.opt.OnUpdate(n)
	}
	return reply.Vouched && f.isConfirmed()
}

func (f *Follower) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

func (f *Follower) merge(reply *protocol.WatchReply) []Update {
	f.mu.Lock()
	defer f.mu.Unlock()
	var news []Update
	if !f.confirmed && reply.Confirmed {
		f.confirmed = true
		klog.InfoS("The control plane answers", "revision", reply.Revision)
	}
	if f.confirmed && reply.Revision > f.revision && f.follow(reply) {
		news = append(news, Update{Revision: f.revision, Configuration: f.body})
	}
	if reply.Directory != nil && reply.Directory.Version > f.directory.Version {
		f.directory = *reply.Directory
		news = append(news, Update{Directory: reply.Directory})
	}
	return append(news, f.mergeLists(reply)...)
}

// mergeLists takes the lists of servers on that are newer.
func (f *Follower) mergeLists(reply *protocol.WatchReply) (news []Update) {
	if f.replaced && !reply.Vouched {
		return nil
	}
	if f.replaced && reply.Services != ([protocol.ServicePartitions]uint64{}) {
		f.replaced, f.services = false, [protocol.ServicePartitions]uint64{}
	}
	for partition, version := range reply.Services {
		if version <= f.services[partition] {
			continue
		}
		f.services[partition] = version
		lists := slices.DeleteFunc(slices.Clone(reply.Lists), func(l protocol.ServerList) bool {
			return protocol.ServicePartition(l.Service) != partition
		})
		news = append(news, Update{Lists: lists, Partition: partition})
	}
	return news
}

// follow takes the steps to a newer configuration. Those that this process has taken already, by
// another node's answer, are passed over. Where a step doesn't fit, nothing is taken, and the
// next question asks for the configuration whole.
func (f *Follower) follow(reply *protocol.WatchReply) bool {
	revision, body := f.revision, f.body
	for _, step := range reply.Steps {
		base := body
		switch {
		case step.Revision <= revision:
			continue
		case step.Base == 0:
			base = nil
		case step.Base != revision:
			f.whole = true
			return false
		}
		next, err := patch.Apply(base, step.Patch)
		if err != nil {
			f.whole = true
			klog.ErrorS(err, "A change of the configuration can't be followed: it is asked for whole", "revision", step.Revision)
			return false
		}
		revision, body = step.Revision, next
	}
	f.whole = revision != reply.Revision
	if f.whole {
		return false
	}
	f.revision, f.body = revision, body
	return true
}

// FindNode finds a node of the directory by its id.
func FindNode(d *protocol.Directory, id replica.NodeID) (protocol.Node, bool) {
	at := slices.IndexFunc(d.Nodes, func(n protocol.Node) bool { return n.ID == id })
	if at < 0 {
		return protocol.Node{}, false
	}
	return d.Nodes[at], true
}
