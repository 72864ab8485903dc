// Package lister carries out a singleton task: listing the platform's servers. One node holds
// the task at a time. It sends what changed to the leaders of the service partitions.
package lister

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/protocol"
)

const (
	// drainBoundShare is the part of the drain bound that may pass between two listings. A drain
	// must be known everywhere within the bound, even when a listing fails or the task moves to
	// another node; on the other hand each call has a cost. minListInterval and maxListInterval
	// limit the interval.
	drainBoundShare = 0.25
	minListInterval = 500 * time.Millisecond
	maxListInterval = time.Second
	// maxConsecutiveFailures is how many listings in a row may fail before the task is handed to
	// another node.
	maxConsecutiveFailures = 4
)

// Platform lists the servers of all services.
type Platform interface {
	List(ctx context.Context) (map[string][]protocol.Server, error)
}

// Task is the node's hold on the singleton task, and the access to the service partitions.
type Task interface {
	// Held reports whether this node certainly holds the task now, and in which epoch.
	Held() (epoch uint64, ok bool)
	// Lists returns the lists of a partition, as far as this node knows.
	Lists(partition int) []protocol.ServerList
	// Publish sends a publication to the leader of a partition.
	Publish(ctx context.Context, partition int, p *servers.Publication) error
	// Edges returns the edges that are known to follow the control plane now.
	Edges() []protocol.EdgeNode
	// GiveUp hands the task to another node.
	GiveUp()
}

// Interval returns the time between two listings for a bound on propagating a drain.
func Interval(drainBound time.Duration) time.Duration {
	return min(max(time.Duration(drainBoundShare*float64(drainBound)), minListInterval), maxListInterval)
}

// Lister lists the servers while its node holds the task.
type Lister struct {
	interval time.Duration
	platform Platform
	task     Task
	sequence uint64
	failures int
	// coldUntil is when the published warm-up of each cold server ends, by id.
	coldUntil map[string]time.Time
}

// New returns a Lister with the given time between two listings.
func New(platform Platform, task Task, interval time.Duration) *Lister {
	return &Lister{platform: platform, task: task, interval: interval}
}

// Run calls ListOnce periodically until ctx ends.
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

// ListOnce lists the servers if this node holds the task, and publishes the changes.
func (l *Lister) ListOnce(ctx context.Context) {
	epoch, held := l.task.Held()
	if !held {
		l.failures, l.coldUntil = 0, nil
		return
	}
	lists, err := l.platform.List(ctx)
	if err != nil {
		l.recordFailure(err)
		return
	}
	l.failures = 0
	now, edges := time.Now(), l.task.Edges()
	l.forgetWarm(lists)
	for partition := range protocol.ServicePartitions {
		held := l.task.Lists(partition)
		changed := changedServices(partition, held, l.withWarmupPeriods(partition, held, lists, now, edges))
		if len(changed) == 0 {
			continue
		}
		l.sequence++
		p := &servers.Publication{Epoch: epoch, Sequence: l.sequence, Services: changed}
		if err := l.task.Publish(ctx, partition, p); err != nil {
			klog.ErrorS(err, "Publishing changed servers failed; will retry", "partition", partition)
			l.forgetUnpublished(changed)
		}
	}
}

// recordFailure counts a failed listing, and hands the task on after too many in a row.
func (l *Lister) recordFailure(err error) {
	l.failures++
	if l.failures < maxConsecutiveFailures {
		return
	}
	l.failures = 0
	klog.ErrorS(err, "Listing the platform's servers keeps failing; handing the task to another node")
	l.task.GiveUp()
}

// changedServices returns the services of a partition whose servers differ from the held ones.
func changedServices(partition int, held []protocol.ServerList, seen map[string][]protocol.Server) []servers.Service {
	var changed []servers.Service
	for _, h := range held {
		if !slices.Equal(h.Servers, seen[h.Service]) {
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
