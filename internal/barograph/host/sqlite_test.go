package host

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/store"
)

// process is a host that runs on a real clock and a real disk.
type process struct {
	*Host
	wire  *wire
	disk  store.Store
	end   context.CancelFunc
	ended chan error
}

// wire joins processes; each has a goroutine that takes what is sent to it. It has their clock too.
type wire struct {
	began  time.Time
	ahead  atomic.Int64 // the clock is ahead by this, in ns
	mu     sync.Mutex
	queues map[replica.NodeID]chan []replica.Message
}

func (w *wire) now() time.Duration { return time.Since(w.began) + time.Duration(w.ahead.Load()) }

// Send implements Transport; messages are lost where the queue is full or nobody takes them.
func (w *wire) Send(to replica.NodeID, messages []replica.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case w.queues[to] <- messages:
	default:
	}
}

// join has a process take what is sent to it until ctx ends.
func (w *wire) join(ctx context.Context, id replica.NodeID, p *process) {
	queue := make(chan []replica.Message, 1024)
	w.mu.Lock()
	w.queues[id] = queue
	w.mu.Unlock()
	go func() {
		for {
			select {
			case messages := <-queue:
				p.Deliver(messages)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// realTiming outlasts a busy disk: an owner whose write is under way sends nothing.
var realTiming = replica.Timing{
	HeartbeatInterval: 50 * time.Millisecond,
	ElectionTimeout:   10 * time.Second,
	ElectionJitter:    10 * time.Second,
	LeaseDuration:     8 * time.Second,
	LostAfter:         30 * time.Second,
}

// startProcesses starts processes on the disks, and gives them in the order of their ids.
func startProcesses(t testing.TB, disks []store.Store, machine func() Machine) []*process {
	w := &wire{began: time.Now(), queues: map[replica.NodeID]chan []replica.Message{}}
	members := replica.Members{}
	for i := range disks {
		members.Voters = append(members.Voters, replica.NodeID(i+1))
	}
	var processes []*process
	for i, disk := range disks {
		made, err := New(Options{
			Self: replica.NodeID(i + 1), Timing: realTiming, Store: disk, Transport: w, Seed: 1, Now: w.now,
		})
		assert.NilError(t, err)
		ctx, end := context.WithCancel(context.Background())
		p := &process{Host: made, wire: w, disk: disk, end: end, ended: make(chan error, 1)}
		assert.NilError(t, made.Add(testGroup, members, nil, machine()))
		w.join(ctx, replica.NodeID(i+1), p)
		go func() { p.ended <- made.Run(ctx) }()
		processes = append(processes, p)
	}
	return processes
}

func stopProcesses(t testing.TB, processes []*process) {
	for _, p := range processes {
		p.end()
		assert.NilError(t, <-p.ended)
		assert.NilError(t, p.disk.Close())
	}
}

func newList() Machine { return &list{} }

// settledOwner waits for a process to be a settled owner.
func settledOwner(t testing.TB, processes []*process) *process {
	assert.NilError(t, processes[0].Campaign(testGroup))
	for {
		_, changed := processes[0].Applied(testGroup)
		for _, p := range processes {
			status, err := p.Status(testGroup)
			assert.NilError(t, err)
			if status.LeaderReady {
				return p
			}
		}
		<-changed
	}
}

func openDisks(t testing.TB, folder string, count int) []store.Store {
	var disks []store.Store
	for i := range count {
		disk, err := store.Open(filepath.Join(folder, fmt.Sprint(i)))
		assert.NilError(t, err)
		disks = append(disks, disk)
	}
	return disks
}

func TestProcessesOnSQLiteGoOnAfterARestart(t *testing.T) {
	folder := t.TempDir()
	const proposers, each = 8, 20
	processes := startProcesses(t, openDisks(t, folder, 3), newList)
	owner := settledOwner(t, processes)
	var group sync.WaitGroup
	for i := range proposers {
		group.Go(func() {
			for j := range each {
				_, err := owner.Propose(t.Context(), testGroup, fmt.Appendf(nil, "%d-%d", i, j))
				assert.Check(t, err == nil, "%v", err)
			}
		})
	}
	group.Wait()
	want := commandsOf(t, owner)
	assert.Equal(t, len(want), proposers*each)
	stopProcesses(t, processes)

	processes = startProcesses(t, openDisks(t, folder, 3), newList)
	defer stopProcesses(t, processes)
	processes[0].wire.ahead.Store(int64(realTiming.ElectionTimeout)) // the old owner's lease has run out
	owner = settledOwner(t, processes)
	assert.DeepEqual(t, commandsOf(t, owner), want)
	result, err := owner.Propose(t.Context(), testGroup, []byte("more"))
	assert.NilError(t, err)
	assert.Equal(t, string(result), fmt.Sprint(proposers*each+1))
}

// commandsOf reads what a machine holds, with the lease.
func commandsOf(t testing.TB, p *process) []string {
	var commands []string
	err := p.Read(context.Background(), testGroup, func(m Machine) {
		commands = nil
		for _, command := range m.(*list).commands {
			commands = append(commands, string(command))
		}
	})
	assert.NilError(t, err)
	return commands
}

// latest is a machine whose state stays small.
type latest struct{ list }

func (l *latest) Apply(command []byte) []byte {
	l.commands = [][]byte{command}
	return nil
}

// BenchmarkPropose tells commits a second and their latency on SQLite, by voters and by how
// many propose at once. "sync" is one write of one entry alone, what group commit is held against.
func BenchmarkPropose(b *testing.B) {
	b.Run("sync", benchmarkSync)
	for _, voters := range []int{1, 3} {
		for _, proposers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("voters=%d/proposers=%d", voters, proposers), func(b *testing.B) {
				benchmarkPropose(b, voters, proposers)
			})
		}
	}
}

func benchmarkSync(b *testing.B) {
	disk := openDisks(b, b.TempDir(), 1)[0]
	defer disk.Close()
	data := make([]byte, 200)
	index := uint64(0)
	for b.Loop() {
		index++
		entries := []replica.Entry{{Index: index, Term: 1, Data: data}}
		if err := disk.Write([]store.Write{{Group: testGroup, Entries: entries}}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
}

func benchmarkPropose(b *testing.B, voters, proposers int) {
	processes := startProcesses(b, openDisks(b, b.TempDir(), voters), func() Machine { return &latest{} })
	defer stopProcesses(b, processes)
	owner := settledOwner(b, processes)
	data := make([]byte, 200)
	work := make(chan struct{}, b.N)
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	latencies := make([][]time.Duration, proposers)
	b.ResetTimer()
	var group sync.WaitGroup
	for i := range proposers {
		group.Go(func() {
			for range work {
				start := time.Now()
				if _, err := owner.Propose(context.Background(), testGroup, data); err != nil {
					b.Error(err)
					return
				}
				latencies[i] = append(latencies[i], time.Since(start))
			}
		})
	}
	group.Wait()
	b.StopTimer()
	all := slices.Concat(latencies...)
	slices.Sort(all)
	b.ReportMetric(float64(len(all))/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
}
