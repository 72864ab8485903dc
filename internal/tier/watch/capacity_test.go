package watch

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

	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
	"oakseam/internal/tier/scaletest"
)

const (
	// concurrentCalls is the number of calls that each follower keeps open, as in a tier that
	// tolerates the loss of one machine.
	concurrentCalls = 2
	// updateTimeout is how long a benchmark waits for all followers, the tier's bound for
	// applying a configuration.
	updateTimeout = 16 * time.Second
)

// configurationServer answers watch calls as a core node does, for the configuration alone.
type configurationServer struct {
	mu      sync.Mutex
	newest  protocol.ConfigurationStep // from the previous revision
	whole   protocol.ConfigurationStep
	changed chan struct{}
	sent    atomic.Int64 // bytes of patches sent
}

// Watch replies when there is a newer configuration, otherwise after the wait.
func (s *configurationServer) Watch(args *protocol.WatchArgs, reply *protocol.WatchReply) error {
	reply.Confirmed, reply.Vouched = args.Confirmed, true
	end := time.NewTimer(args.Wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		newest, whole, changed := s.newest, s.whole, s.changed
		s.mu.Unlock()
		if newest.Revision > args.Revision {
			if newest.Base != args.Revision {
				newest = whole
			}
			reply.Revision, reply.Steps = newest.Revision, []protocol.ConfigurationStep{newest}
			s.sent.Add(int64(len(newest.Patch)))
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

func (s *configurationServer) change(newest, whole protocol.ConfigurationStep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest, s.whole = newest, whole
	close(s.changed)
	s.changed = make(chan struct{})
}

// BenchmarkChange changes a configuration and waits until all followers have received it from
// some core nodes, all on this machine. "told" is the number of followers that received it
// within 16 s. The figures are in docs/CAPACITY.md.
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

type changeSize struct {
	followers int
	routes    int
	cores     int
}

func benchmarkChange(b *testing.B, size changeSize) {
	followers := size.followers
	body := func(revision int64) string {
		return string(scaletest.Configuration(int(1000+revision), size.routes))
	}
	ctx, end := context.WithCancel(context.Background())
	nodes, seeds := startCores(b, size.cores)
	var received, current atomic.Int64
	heapBefore := heap()
	var running sync.WaitGroup
	b.Cleanup(func() { end(); running.Wait() })
	for i := range followers {
		pool := rpc.NewPool(rpc.Options{})
		b.Cleanup(pool.Close)
		f := New(Options{Name: fmt.Sprintf("edge-%d", i), Seeds: seeds, ConcurrentCalls: concurrentCalls, Pool: pool, OnUpdate: func(update Update) {
			if update.Revision == uint64(current.Load()) {
				received.Add(1)
			}
		}})
		running.Go(func() { f.Run(ctx) })
	}
	change := func() (reached int64) {
		received.Store(0)
		revision := current.Add(1)
		newest := step(uint64(revision-1), body(revision-1), uint64(revision), body(revision))
		whole := step(0, "", uint64(revision), body(revision))
		for _, n := range nodes {
			n.change(newest, whole)
		}
		for end := time.Now().Add(updateTimeout); received.Load() < int64(followers) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return received.Load()
	}
	change()
	b.ResetTimer()
	var sent int64
	fewest := int64(followers)
	for range b.N {
		before := sentBytes(nodes)
		fewest = min(fewest, change())
		sent += sentBytes(nodes) - before
	}
	b.StopTimer()
	b.ReportMetric(float64(fewest), "told")
	b.ReportMetric(float64(sent)/float64(b.N)/1e6, "MB/change")
	b.ReportMetric(float64(int64(heap())-int64(heapBefore))/float64(followers)/1000, "heap-kB/follower")
}

func startCores(b *testing.B, cores int) (nodes []*configurationServer, addresses []string) {
	for range cores {
		s := &configurationServer{changed: make(chan struct{})}
		server, err := rpc.NewServer(map[string]any{"Control": s})
		assert.NilError(b, err)
		l, err := rpc.Listen("127.0.0.1:0")
		assert.NilError(b, err)
		go server.Serve(l)
		b.Cleanup(func() { server.Close() })
		nodes, addresses = append(nodes, s), append(addresses, l.Addr().String())
	}
	return nodes, addresses
}

func sentBytes(nodes []*configurationServer) (sum int64) {
	for _, n := range nodes {
		sum += n.sent.Load()
	}
	return sum
}

// heap returns the bytes of allocated heap objects after a collection.
func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
