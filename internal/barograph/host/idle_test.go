package host

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/store"
)

// counted is a transport that counts what goes over it.
type countingTransport struct {
	*memoryTransport
	sends, messages atomic.Int64
}

// Send implements Transport.
func (c *countingTransport) Send(to replica.NodeID, messages []replica.Message) {
	c.sends.Add(1)
	c.messages.Add(int64(len(messages)))
	c.memoryTransport.Send(to, messages)
}

// BenchmarkIdle is three processes that keep so many groups together, in which nothing is
// proposed: processor time, deliveries and messages of one process in a second, without the
// calls that carry them. The heartbeat is the one in use. docs/CAPACITY.md.
func BenchmarkIdle(b *testing.B) {
	for _, groups := range []int{6, 60, 600} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) { benchmarkIdle(b, groups) })
	}
}

const idleVoters = 3

func benchmarkIdle(b *testing.B, groups int) {
	timing := processTiming
	timing.HeartbeatInterval = 100 * time.Millisecond
	w := &countingTransport{memoryTransport: &memoryTransport{start: time.Now(), queues: map[replica.NodeID]chan []replica.Message{}}}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	members := replica.Members{Voters: []replica.NodeID{1, 2, 3}}
	var processes []*process
	for i := range idleVoters {
		disk, err := store.Open(filepath.Join(b.TempDir(), fmt.Sprint(i)))
		assert.NilError(b, err)
		made, err := New(Options{Self: replica.NodeID(i + 1), Timing: timing, Store: disk, Transport: w, Seed: 1, Now: w.now})
		assert.NilError(b, err)
		p := &process{Host: made, transport: w.memoryTransport, disk: disk, cancel: end, runResult: make(chan error, 1)}
		for g := range groups {
			assert.NilError(b, made.Add(replica.GroupID(fmt.Sprintf("group-%d", g)), members, nil, newCommandLog()))
		}
		w.connect(ctx, replica.NodeID(i+1), p)
		go func() { p.runResult <- made.Run(ctx) }()
		processes = append(processes, p)
	}
	for g := range groups {
		assert.NilError(b, processes[g%idleVoters].Campaign(replica.GroupID(fmt.Sprintf("group-%d", g))))
	}
	awaitLeaders(b, processes, groups)
	sends, messages, before := w.sends.Load(), w.messages.Load(), cpuTime()
	b.ResetTimer()
	time.Sleep(time.Duration(b.N) * time.Second)
	b.StopTimer()
	each := b.Elapsed().Seconds() * idleVoters
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/1000/each, "cpu-ms/s")
	b.ReportMetric(float64(w.sends.Load()-sends)/each, "deliveries/s")
	b.ReportMetric(float64(w.messages.Load()-messages)/each, "messages/s")
	stopProcesses(b, processes)
}

// awaitSettled waits for an owner in each group, whoever that is.
func awaitLeaders(b *testing.B, processes []*process, groups int) {
	const patience = 40 * time.Second
	end := time.Now().Add(patience)
	for g := range groups {
		for !hasSettledLeader(processes, replica.GroupID(fmt.Sprintf("group-%d", g))) {
			if time.Now().After(end) {
				b.Fatal("a group has no owner")
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func hasSettledLeader(processes []*process, id replica.GroupID) bool {
	for _, p := range processes {
		if status, err := p.Status(id); err == nil && status.LeaderReady {
			return true
		}
	}
	return false
}

// processorTime is what this process has used of the processors.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
