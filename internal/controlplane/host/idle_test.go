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

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
)

// countingTransport counts the sends and messages of a transport.
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

// BenchmarkIdle runs three processes that share a number of groups without any proposal. It
// reports CPU time, deliveries and messages per process and second, without the cost of the RPCs
// that carry them. The heartbeat interval is the one used in production. See docs/CAPACITY.md.
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
		host, err := New(Options{Self: replica.NodeID(i + 1), Timing: timing, Store: disk, Transport: w, Seed: 1, Now: w.now})
		assert.NilError(b, err)
		p := &process{Host: host, transport: w.memoryTransport, disk: disk, cancel: end, runResult: make(chan error, 1)}
		for g := range groups {
			assert.NilError(b, host.Add(replica.GroupID(fmt.Sprintf("group-%d", g)), members, nil, newCommandLog()))
		}
		w.connect(ctx, replica.NodeID(i+1), p)
		go func() { p.runResult <- host.Run(ctx) }()
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

// awaitLeaders waits until each group has a leader that has committed an entry of its term.
func awaitLeaders(b *testing.B, processes []*process, groups int) {
	const patience = 40 * time.Second
	end := time.Now().Add(patience)
	for g := range groups {
		for !hasSettledLeader(processes, replica.GroupID(fmt.Sprintf("group-%d", g))) {
			if time.Now().After(end) {
				b.Fatalf("group-%d has no leader after %v", g, patience)
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

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
