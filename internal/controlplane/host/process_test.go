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

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
)

// process is a host with a real clock and a real disk.
type process struct {
	*Host
	transport *memoryTransport
	disk      store.Store
	cancel    context.CancelFunc
	runResult chan error
}

// memoryTransport connects processes through queues in memory and provides their clock. A goroutine
// per process delivers what is sent to it.
type memoryTransport struct {
	start        time.Time
	clockAdvance atomic.Int64 // nanoseconds by which the clock is advanced
	mu           sync.Mutex
	queues       map[replica.NodeID]chan []replica.Message
}

func (w *memoryTransport) now() time.Duration {
	return time.Since(w.start) + time.Duration(w.clockAdvance.Load())
}

// Send implements Transport. Messages are lost if the queue is full or the receiver has none.
func (w *memoryTransport) Send(to replica.NodeID, messages []replica.Message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case w.queues[to] <- messages:
	default:
	}
}

// connect adds a process and delivers the messages sent to it until ctx ends.
func (w *memoryTransport) connect(ctx context.Context, id replica.NodeID, p *process) {
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

// processTiming has timeouts that are longer than any write on a busy disk, because a leader may
// send nothing during a long write.
var processTiming = replica.Timing{
	HeartbeatInterval: 50 * time.Millisecond,
	ElectionTimeout:   10 * time.Second,
	ElectionJitter:    10 * time.Second,
	LeaseDuration:     8 * time.Second,
	LostAfter:         30 * time.Second,
}

// startProcesses starts a process on each disk and returns them in the order of their ids.
func startProcesses(t testing.TB, disks []store.Store, machine func() StateMachine) []*process {
	w := &memoryTransport{start: time.Now(), queues: map[replica.NodeID]chan []replica.Message{}}
	members := replica.Members{}
	for i := range disks {
		members.Voters = append(members.Voters, replica.NodeID(i+1))
	}
	var processes []*process
	for i, disk := range disks {
		host, err := New(Options{
			Self: replica.NodeID(i + 1), Timing: processTiming, Store: disk, Transport: w, Seed: 1, Now: w.now,
		})
		assert.NilError(t, err)
		ctx, end := context.WithCancel(context.Background())
		p := &process{Host: host, transport: w, disk: disk, cancel: end, runResult: make(chan error, 1)}
		assert.NilError(t, host.Add(testGroup, members, nil, machine()))
		w.connect(ctx, replica.NodeID(i+1), p)
		go func() { p.runResult <- host.Run(ctx) }()
		processes = append(processes, p)
	}
	return processes
}

func stopProcesses(t testing.TB, processes []*process) {
	for _, p := range processes {
		p.cancel()
		assert.NilError(t, <-p.runResult)
		assert.NilError(t, p.disk.Close())
	}
}

func newCommandLog() StateMachine { return &commandLog{} }

// awaitSettledLeader waits for a leader that has committed an entry of its term.
func awaitSettledLeader(t testing.TB, processes []*process) *process {
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

func openDisks(t testing.TB, directory string, count int) []store.Store {
	var disks []store.Store
	for i := range count {
		disk, err := store.Open(filepath.Join(directory, fmt.Sprint(i)))
		assert.NilError(t, err)
		disks = append(disks, disk)
	}
	return disks
}

// Processes on SQLite must recover all commands after a restart and accept new ones.
func TestProcessesOnSQLiteRecoverAfterRestart(t *testing.T) {
	directory := t.TempDir()
	const proposers, each = 8, 20
	processes := startProcesses(t, openDisks(t, directory, 3), newCommandLog)
	leader := awaitSettledLeader(t, processes)
	var group sync.WaitGroup
	for i := range proposers {
		group.Go(func() {
			for j := range each {
				_, err := leader.Propose(t.Context(), testGroup, fmt.Appendf(nil, "%d-%d", i, j))
				assert.Check(t, err == nil, "%v", err)
			}
		})
	}
	group.Wait()
	want := readCommands(t, leader)
	assert.Equal(t, len(want), proposers*each)
	stopProcesses(t, processes)

	processes = startProcesses(t, openDisks(t, directory, 3), newCommandLog)
	defer stopProcesses(t, processes)
	processes[0].transport.clockAdvance.Store(int64(processTiming.ElectionTimeout)) // the old leader's lease has expired
	leader = awaitSettledLeader(t, processes)
	assert.DeepEqual(t, readCommands(t, leader), want)
	result, err := leader.Propose(t.Context(), testGroup, []byte("more"))
	assert.NilError(t, err)
	assert.Equal(t, string(result), fmt.Sprint(proposers*each+1))
}

// readCommands reads the commands of a process's state machine under the leader's lease.
func readCommands(t testing.TB, p *process) []string {
	var commands []string
	err := p.Read(context.Background(), testGroup, func(m StateMachine) {
		commands = nil
		for _, command := range m.(*commandLog).commands {
			commands = append(commands, string(command))
		}
	})
	assert.NilError(t, err)
	return commands
}

// lastCommandMachine is a state machine that stores only the last command, so its state stays
// small.
type lastCommandMachine struct{ commandLog }

func (l *lastCommandMachine) Apply(command []byte) []byte {
	l.commands = [][]byte{command}
	return nil
}

// BenchmarkPropose measures commits per second and their latency on SQLite, by the number of
// voters and of concurrent proposers. "sync" writes one entry at a time to one store: the baseline
// for group commit.
func BenchmarkPropose(b *testing.B) {
	b.Run("sync", benchmarkStoreWrite)
	for _, voters := range []int{1, 3} {
		for _, proposers := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("voters=%d/proposers=%d", voters, proposers), func(b *testing.B) {
				benchmarkPropose(b, voters, proposers)
			})
		}
	}
}

func benchmarkStoreWrite(b *testing.B) {
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
	processes := startProcesses(b, openDisks(b, b.TempDir(), voters), func() StateMachine { return &lastCommandMachine{} })
	defer stopProcesses(b, processes)
	leader := awaitSettledLeader(b, processes)
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
				if _, err := leader.Propose(context.Background(), testGroup, data); err != nil {
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
