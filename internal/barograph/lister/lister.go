// Package lister carries out the duty of asking the platform which servers exist. One
// node holds it at a time; what it sees goes to the owners of the services' partitions.
package lister

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/servers"
	"pipitmux/internal/station/protocol"
)

const (
	// pauseShare is the part of the drain bound that passes between two listings: a drain must
	// be known everywhere within that bound, also where a listing fails or the duty changes
	// hands, and each call has a price. leastPause and mostPause bound the pause.
	drainBoundShare = 0.25
	minListInterval = 500 * time.Millisecond
	maxListInterval = time.Second
	// giveUpAfter is how many listings may fail in a row before the duty is handed on.
	maxConsecutiveFailures = 4
)

// Platform lists the servers of all services.
type Platform interface {
	List(ctx context.Context) (map[string][]protocol.Server, error)
}

// Duty is the holder's standing and how its news get out.
type Task interface {
	// Held tells whether this node surely holds the duty now, and in which epoch.
	Held() (epoch uint64, ok bool)
	// Lists returns what a partition holds, as far as this node knows.
	Lists(partition int) []protocol.ServerList
	// Publish hands a publication to a partition's owner.
	Publish(ctx context.Context, partition int, p *servers.Publication) error
	// GiveUp hands the duty to another node.
	GiveUp()
}

// Pause is how long to wait between two listings, so that drains are known within a bound.
func Interval(drain time.Duration) time.Duration {
	return min(max(time.Duration(drainBoundShare*float64(drain)), minListInterval), maxListInterval)
}

// Lister carries out the duty while its node holds it.
type Lister struct {
	interval time.Duration
	platform Platform
	task     Task
	sequence uint64
	failures int
}

// New returns a Lister that pauses for so long between two listings.
func New(p Platform, d Task, interval time.Duration) *Lister {
	return &Lister{platform: p, task: d, interval: interval}
}

// Run lists while the duty is held, until ctx ends.
func (l *Lister) Run(ctx context.Context) {
	tick := time.NewTicker(l.interval)
	defer tick.Stop()
	for {
		l.ListOnce(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Once lists where the duty is held, and publishes what has changed.
func (l *Lister) ListOnce(ctx context.Context) {
	epoch, held := l.task.Held()
	if !held {
		l.failures = 0
		return
	}
	lists, err := l.platform.List(ctx)
	if err != nil {
		l.recordFailure(err)
		return
	}
	l.failures = 0
	for partition := range protocol.ServicePartitions {
		changed := changedServices(partition, l.task.Lists(partition), lists)
		if len(changed) == 0 {
			continue
		}
		l.sequence++
		p := &servers.Publication{Epoch: epoch, Sequence: l.sequence, Services: changed}
		if err := l.task.Publish(ctx, partition, p); err != nil {
			klog.ErrorS(err, "A change of servers didn't get to its partition; it is sent again", "partition", partition)
		}
	}
}

func (l *Lister) recordFailure(err error) {
	l.failures++
	if l.failures < maxConsecutiveFailures {
		return
	}
	l.failures = 0
	klog.ErrorS(err, "The platform's list can't be had from here: the duty goes to another node")
	l.task.GiveUp()
}

// differences lists the services of a partition whose servers differ from what is held.
func changedServices(partition int, held []protocol.ServerList, seen map[string][]protocol.Server) []servers.Service {
	var changed []servers.Service
	for _, h := range held {
		if !sameServers(h.Servers, seen[h.Service]) {
			changed = append(changed, servers.Service{Name: h.Service, Servers: seen[h.Service]})
		}
	}
	for name, list := range seen {
		known := slices.ContainsFunc(held, func(h protocol.ServerList) bool { return h.Service == name })
		if !known && protocol.ServicePartition(name) == partition && len(list) > 0 {
			changed = append(changed, servers.Service{Name: name, Servers: list})
		}
	}
	slices.SortFunc(changed, func(a, b servers.Service) int { return cmp.Compare(a.Name, b.Name) })
	return changed
}

// same tells whether two lists say the same. What is left of a server's warm-up passes by
// itself and is no change.
func sameServers(a, b []protocol.Server) bool {
	return slices.EqualFunc(a, b, func(x, y protocol.Server) bool {
		x.Warmup, y.Warmup = 0, 0
		return x == y
	})
}
