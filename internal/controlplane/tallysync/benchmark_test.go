package tallysync

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/store"
	"oakseam/internal/controlplane/tallies"
)

// countingStore counts the transactions.
type countingStore struct {
	*store.Tallies
	transactions atomic.Int64
}

func (s *countingStore) Append(runs []tallies.Run) error {
	s.transactions.Add(1)
	return s.Tallies.Append(runs)
}

// processorTime returns the processor time of this process.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heldMemory returns the bytes that are in use on the heap.
func heldMemory() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkMerge measures how two nodes merge that wrote a number of adds each. Figures are of both nodes
// together, but the transactions and the memory, which are of one.
func BenchmarkMerge(b *testing.B) {
	for _, count := range []int{1_000, 10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("adds=%d", count), func(b *testing.B) {
			var processor time.Duration
			var wire, transactions int64
			var memory uint64
			for b.Loop() {
				b.StopTimer()
				r := &realNodes{t: b, losses: 1}
				left, right := &countingStore{Tallies: newDisk(b)}, &countingStore{Tallies: newDisk(b)}
				fill(b, left.Tallies, "left", count)
				fill(b, right.Tallies, "right", count)
				before := heldMemory()
				nodes := []*Node{r.start(left), r.start(right)}
				spent := processorTime(b)
				b.StartTimer()
				r.run(nodes...)
				awaitEntries(b, 2*count, nodes...)
				b.StopTimer()
				processor += processorTime(b) - spent
				wire += r.bytes.Load()
				transactions += left.transactions.Load()
				memory += heldMemory() - before
				runtime.KeepAlive(nodes)
				b.StartTimer()
			}
			b.ReportMetric(float64(processor.Milliseconds())/float64(b.N), "processor-ms/op")
			b.ReportMetric(float64(wire)/float64(b.N*2*count), "wire-B/add")
			b.ReportMetric(float64(transactions)/float64(b.N), "transactions/op")
			b.ReportMetric(float64(memory)/float64(b.N*2*2*count), "held-B/id")
		})
	}
}

// threeCopies starts five nodes that acknowledge with three copies.
func threeCopies(b *testing.B) (*realNodes, []*Node) {
	r := &realNodes{t: b, losses: 2}
	var nodes []*Node
	for range 5 {
		nodes = append(nodes, r.start(newDisk(b)))
	}
	r.run(nodes...)
	awaitEntries(b, 0, nodes...)
	return r, nodes
}

// BenchmarkAdd measures adds with three copies by a number of callers at one node.
func BenchmarkAdd(b *testing.B) {
	for _, callers := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			r, nodes := threeCopies(b)
			var next atomic.Int64
			var mu sync.Mutex
			var times []time.Duration
			wire, spent := r.bytes.Load(), processorTime(b)
			b.ResetTimer()
			var running sync.WaitGroup
			for range callers {
				running.Go(func() {
					for at := next.Add(1); at <= int64(b.N); at = next.Add(1) {
						started := time.Now()
						assert.Check(b, nodes[0].Add(b.Context(), "t", fmt.Sprintf("%016x", at), 1))
						mu.Lock()
						times = append(times, time.Since(started))
						mu.Unlock()
					}
				})
			}
			running.Wait()
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "adds/s")
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-µs")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64((processorTime(b)-spent).Microseconds())/float64(b.N), "processor-µs/op")
			b.ReportMetric(float64(r.bytes.Load()-wire)/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkIdle measures a second of five nodes without adds.
func BenchmarkIdle(b *testing.B) {
	r, nodes := threeCopies(b)
	assert.NilError(b, nodes[0].Add(b.Context(), "t", "m", 1))
	wire, spent := r.bytes.Load(), processorTime(b)
	b.ReportAllocs()
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(r.bytes.Load()-wire)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64((processorTime(b)-spent).Microseconds())/float64(b.N), "processor-µs/op")
}
