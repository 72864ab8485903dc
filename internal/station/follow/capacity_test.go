package follow

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"pipitmux/internal/station/link"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/station/scaletest"
)

// slots are how many core nodes each follower of a benchmark asks side by side, as where
// one machine may be lost.
const (
	slots = 2
	// toldWithin is how long a benchmark waits until all are told: the tier's bound for a
	// configuration.
	toldWithin = 16 * time.Second
)

// watched answers questions as a core node does, for the configuration alone.
type watched struct {
	mu      sync.Mutex
	newest  protocol.ConfigurationStep // from the revision before
	whole   protocol.ConfigurationStep
	changed chan struct{}
	sent    atomic.Int64 // bytes of patches handed out
}

// Watch answers when there is a newer configuration, and else after the wait.
func (w *watched) Watch(args *protocol.WatchArgs, reply *protocol.WatchReply) error {
	reply.Confirmed, reply.Vouched = args.Confirmed, true
	end := time.NewTimer(args.Wait)
	defer end.Stop()
	for {
		w.mu.Lock()
		newest, whole, changed := w.newest, w.whole, w.changed
		w.mu.Unlock()
		if newest.Revision > args.Revision {
			if newest.Base != args.Revision {
				newest = whole
			}
			reply.Revision, reply.Steps = newest.Revision, []protocol.ConfigurationStep{newest}
			w.sent.Add(int64(len(newest.Patch)))
			return nil
		}
		if args.Confirmed {
			return nil
		}
		select {
		case <-changed:
		case <-end.C:
			return nil
		}
	}
}

func (w *watched) change(newest, whole protocol.ConfigurationStep) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.newest, w.whole = newest, whole
	close(w.changed)
	w.changed = make(chan struct{})
}

// BenchmarkChange is one change of a configuration of so many routes until so many processes
// have it, by way of some core nodes, all on this machine. "told" is how many of them have it
// within 16 s. docs/CAPACITY.md.
func BenchmarkChange(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	b.Cleanup(func() { klog.LogToStderr(true) })
	for _, size := range []changeSize{
		{30, 15, 3}, {100, 15, 3}, {372, 15, 3}, {372, 15, 8}, {200, 15, 2}, {300, 15, 2}, {30, 6700, 3}, {100, 6700, 3}, {372, 6700, 3}, {372, 6700, 8},
	} {
		b.Run(fmt.Sprintf("followers=%d/routes=%d/cores=%d", size.followers, size.routes, size.cores), func(b *testing.B) {
			benchmarkChange(b, size)
		})
	}
}

type changeSize struct{ followers, routes, cores int }

func benchmarkChange(b *testing.B, size changeSize) {
	followers := size.followers
	body := func(revision int64) string {
		return string(scaletest.Configuration(int(1000+revision), size.routes))
	}
	ctx, end := context.WithCancel(context.Background())
	nodes, seeds := startCores(b, size.cores)
	var told, now atomic.Int64
	before := heap()
	var running sync.WaitGroup
	b.Cleanup(func() { end(); running.Wait() })
	for i := range followers {
		pool := link.NewPool(link.Options{})
		b.Cleanup(pool.Close)
		f := New(Options{Name: fmt.Sprintf("edge-%d", i), Seeds: seeds, ConcurrentCalls: slots, Pool: pool, OnUpdate: func(n Update) {
			if n.Revision == uint64(now.Load()) {
				told.Add(1)
			}
		}})
		running.Go(func() { f.Run(ctx) })
	}
	change := func() (reached int64) {
		told.Store(0)
		revision := now.Add(1)
		newest := step(uint64(revision-1), body(revision-1), uint64(revision), body(revision))
		whole := step(0, "", uint64(revision), body(revision))
		for _, n := range nodes {
			n.change(newest, whole)
		}
		for end := time.Now().Add(toldWithin); told.Load() < int64(followers) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return told.Load()
	}
	change()
	b.ResetTimer()
	var sent int64
	least := int64(followers)
	for range b.N {
		at := handedOut(nodes)
		least = min(least, change())
		sent += handedOut(nodes) - at
	}
	b.StopTimer()
	b.ReportMetric(float64(least), "told")
	b.ReportMetric(float64(sent)/float64(b.N)/1e6, "MB/change")
	b.ReportMetric(float64(int64(heap())-int64(before))/float64(followers)/1000, "heap-kB/follower")
}

func startCores(b *testing.B, cores int) (nodes []*watched, addresses []string) {
	for range cores {
		w := &watched{changed: make(chan struct{})}
		server, err := link.NewServer(map[string]any{"Control": w})
		assert.NilError(b, err)
		l, err := link.Listen("127.0.0.1:0")
		assert.NilError(b, err)
		go server.Serve(l)
		b.Cleanup(func() { server.Close() })
		nodes, addresses = append(nodes, w), append(addresses, l.Addr().String())
	}
	return nodes, addresses
}

func handedOut(nodes []*watched) (sum int64) {
	for _, n := range nodes {
		sum += n.sent.Load()
	}
	return sum
}

// heap is what the process holds in memory.
func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
