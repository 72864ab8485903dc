// Package follow keeps a process up to date: it asks core nodes, with the versions that
// it has, for what is newer. It asks as many nodes side by side as may be lost at once
// and one more, chosen by rendezvous hashing, so that no core node is asked by all and
// one that froze holds nothing up.
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
	"pipitmux/internal/station/protocol"
)

const (
	// wait is how long a question may stay open without news.
	wait = 900 * time.Millisecond
	// answerWithin is how much longer its answer may take.
	answerWithin = 700 * time.Millisecond
	// avoidFor is how long a node that didn't answer is asked after all others.
	avoidFor = 3 * time.Second
	// retryPause is the pause after a question that failed.
	retryPause = 60 * time.Millisecond
	// unconfirmedAfter is how long after its start a process that can't learn which
	// configuration is the newest goes by what a single core node has.
	unconfirmedAfter = 5 * time.Second
)

// News is what has changed. Nil fields have not.
type News struct {
	Revision      uint64
	Configuration []byte
	Directory     *protocol.Directory
	Lists         []protocol.ServerList // of the services in Partition, whole
	Partition     int
}

// Options are what a Follower needs.
type Options struct {
	Name  string
	Seeds []string // net/rpc addresses of core nodes
	Slots int      // nodes asked side by side
	Pool  *link.Pool
	// Told gets all news, one at a time.
	Told func(News)
}

// Follower follows the control plane.
type Follower struct {
	opt   Options
	start time.Time

	told sync.Mutex // held while news are told: they reach Told in order

	mu        sync.Mutex
	confirmed bool
	revision  uint64
	directory protocol.Directory
	services  [protocol.ServicePartitions]uint64
	asked     map[string]bool      // addresses with an open question
	failed    map[string]time.Time // when an address last didn't answer
	heard     time.Time
}

// New returns a Follower that Run has yet to start.
func New(o Options) *Follower {
	now := time.Now()
	return &Follower{opt: o, start: now, heard: now, asked: map[string]bool{}, failed: map[string]time.Time{}}
}

// Run asks until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var done sync.WaitGroup
	for slot := range max(f.opt.Slots, 1) {
		done.Go(func() { f.ask(ctx, slot) })
	}
	done.Wait()
}

// Silence is how long no core node has answered.
func (f *Follower) Silence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.heard)
}

// ForgetLists has the lists of all services told anew: what the process goes by has come
// from elsewhere meanwhile.
func (f *Follower) ForgetLists() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.services = [protocol.ServicePartitions]uint64{}
}

// Directory returns the directory as last told.
func (f *Follower) Directory() protocol.Directory {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory
}

func (f *Follower) ask(ctx context.Context, slot int) {
	for ctx.Err() == nil {
		address := f.choose()
		if address == "" {
			sleep(ctx, retryPause)
			continue
		}
		if !f.question(ctx, address) {
			sleep(ctx, retryPause)
		}
	}
}

// choose books the node to be asked next: the first in this process's order that no other
// slot asks and that has answered lately.
func (f *Follower) choose() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	best, bestAt := "", time.Time{}
	for _, address := range f.candidates() {
		if f.asked[address] {
			continue
		}
		at := f.failed[address]
		if now.Sub(at) >= avoidFor {
			at = time.Time{}
		}
		if best == "" || at.Before(bestAt) {
			best, bestAt = address, at
		}
	}
	if best != "" {
		f.asked[best] = true
	}
	return best
}

// candidates are the addresses of all core nodes, or of the seeds while none is known.
func (f *Follower) candidates() []string {
	var addresses []string
	for _, n := range f.directory.Nodes {
		if n.Class == protocol.Core {
			addresses = append(addresses, n.Address)
		}
	}
	if len(addresses) == 0 || time.Since(f.heard) > avoidFor {
		for _, s := range f.opt.Seeds {
			if !slices.Contains(addresses, s) {
				addresses = append(addresses, s)
			}
		}
	}
	return hashing.Rank(f.opt.Name, addresses, hashing.Sum64)
}

func (f *Follower) question(ctx context.Context, address string) bool {
	defer f.free(address)
	f.mu.Lock()
	args := protocol.WatchArgs{Node: f.opt.Name, Revision: f.revision, Directory: f.directory.Version, Services: f.services, Confirmed: !f.confirmed, Wait: wait}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+answerWithin)
	defer cancel()
	var reply protocol.WatchReply
	if err := f.opt.Pool.Call(ctx, address, "Control.Watch", &args, &reply); err != nil {
		f.mu.Lock()
		f.failed[address] = time.Now()
		f.mu.Unlock()
		return false
	}
	return f.take(&reply)
}

func (f *Follower) free(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.asked, address)
}

// take tells what is news and returns whether the answer was of use.
func (f *Follower) take(reply *protocol.WatchReply) bool {
	f.told.Lock()
	defer f.told.Unlock()
	for _, n := range f.merge(reply) {
		f.opt.Told(n)
	}
	return reply.Confirmed || f.isConfirmed()
}

func (f *Follower) isConfirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

func (f *Follower) merge(reply *protocol.WatchReply) []News {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = time.Now()
	var news []News
	if !f.confirmed && (reply.Confirmed || time.Since(f.start) > unconfirmedAfter) {
		f.confirmed = true
		klog.InfoS("The control plane answers", "confirmed", reply.Confirmed, "revision", reply.Revision)
	}
	if f.confirmed && reply.Revision > f.revision {
		f.revision = reply.Revision
		news = append(news, News{Revision: reply.Revision, Configuration: reply.Configuration})
	}
	if reply.Directory != nil && reply.Directory.Version > f.directory.Version {
		f.directory = *reply.Directory
		news = append(news, News{Directory: reply.Directory})
	}
	for partition, version := range reply.Services {
		if version <= f.services[partition] {
			continue
		}
		f.services[partition] = version
		lists := slices.DeleteFunc(slices.Clone(reply.Lists), func(l protocol.ServerList) bool {
			return protocol.ServicePartition(l.Service) != partition
		})
		news = append(news, News{Lists: lists, Partition: partition})
	}
	return news
}

// NodeAddress finds a node of the directory by its id.
func NodeAddress(d *protocol.Directory, id replica.NodeID) (protocol.Node, bool) {
	at := slices.IndexFunc(d.Nodes, func(n protocol.Node) bool { return n.ID == id })
	if at < 0 {
		return protocol.Node{}, false
	}
	return d.Nodes[at], true
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
