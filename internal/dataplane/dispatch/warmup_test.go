package dispatch

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/message"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
	"oakseam/internal/tier/settings"
	"oakseam/logic"
)

// The limits and the pool of the tests: 17 x 1.5 + 5 = 30.5 requests in any second.
const (
	testWarmup     = 3 * time.Second
	testWarmupPerS = 17.0
	testLimit      = 30.5
)

// fillTime is longer than it takes to fill the bucket of a holder.
const fillTime = time.Second

var testWarmupLimits = settings.Warmup{Overrun: 1.5, Slack: 5}

func warmupConfiguration(t testing.TB, warmupS float64) *routing.Configuration {
	t.Helper()
	c, err := routing.Parse(fmt.Appendf(nil, `{"configRevision":1,
		"virtualServers":[{"hostHeader":"h","pathPrefix":"/","trafficClass":"idempotent","timeoutMs":1000,"poolName":"llm"}],
		"pools":[{"name":"llm","warmupS":%v,"warmupPerS":%v}]}`, warmupS, testWarmupPerS))
	assert.NilError(t, err)
	return c
}

// startDispatcher returns the dispatcher of the node "edge-1" in zone z0 with a pool that has cold times.
func startDispatcher(t *testing.T, warmup time.Duration) *Dispatcher {
	t.Helper()
	d := New(Options{Zone: "z0", Name: "edge-1", MaxConns: 10, Budget: message.NewBudget(1 << 20), Counters: counters.New(),
		Log: slog.New(slog.DiscardHandler), Warmup: testWarmupLimits})
	t.Cleanup(d.Close)
	d.Configure(warmupConfiguration(t, warmup.Seconds()))
	return d
}

// setList hands the dispatcher a list of the pool's servers.
func setList(d *Dispatcher, servers ...protocol.Server) {
	d.UpdateServers(protocol.ServicePartition("llm"), []protocol.ServerList{{Service: "llm", Servers: servers}})
}

// serving returns the ids of the servers that the pool's event loop may send to.
func serving(t *testing.T, d *Dispatcher) (ids []string) {
	t.Helper()
	snapshot, ok := d.EventLoop(t.Context(), "llm").Snapshot(time.Second)
	assert.Assert(t, ok)
	for _, b := range snapshot.Backends {
		if b.State == logic.Serving {
			ids = append(ids, string(b.ID))
		}
	}
	return ids
}

func warmServer(id string) protocol.Server {
	return protocol.Server{ID: id, Address: id + ":1", Zone: "z0", Capacity: 4}
}

func coldServer(id string, period uint64, holders ...string) protocol.Server {
	s := warmServer(id)
	s.Warmup, s.WarmupPeriod, s.WarmupHolders = testWarmup, period, protocol.JoinNames(holders)
	return s
}

// A new server that got its share at once would be brought down by all edges together.
func TestColdServerGetsNothingWithoutGrantUntilItIsWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		setList(d, warmServer("a"), warmServer("b"), coldServer("c", 1, "edge-2"))
		assert.DeepEqual(t, serving(t, d), []string{"a", "b"})
		assert.Assert(t, !slices.Contains(d.PreferredServers("llm", "key"), "c"))
		time.Sleep(testWarmup)
		assert.DeepEqual(t, serving(t, d), []string{"a", "b"})
		time.Sleep(2 * warmupMargin)
		assert.DeepEqual(t, serving(t, d), []string{"a", "b", "c"})
		assert.Assert(t, slices.Contains(d.PreferredServers("llm", "key"), "c"))
	})
}

func TestServerThatBecomesColdAgainGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		setList(d, warmServer("a"), coldServer("c", 1))
		time.Sleep(2 * testWarmup)
		assert.DeepEqual(t, serving(t, d), []string{"a", "c"})
		setList(d, warmServer("a"), coldServer("c", 2)) // the same time again: only the number tells the warm-ups apart
		assert.DeepEqual(t, serving(t, d), []string{"a"})
	})
}

// The entry of a cold server stays in the lists while its time passes.
func TestListSentAgainDoesNotExtendWarmup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		setList(d, warmServer("a"), coldServer("c", 1))
		time.Sleep(testWarmup - time.Second)
		setList(d, warmServer("a"), warmServer("b"), coldServer("c", 1))
		assert.DeepEqual(t, serving(t, d), []string{"a", "b"})
		time.Sleep(time.Second + 2*warmupMargin)
		assert.DeepEqual(t, serving(t, d), []string{"a", "b", "c"})
	})
}

// A late list, or one of another source, must not end a warm-up early.
func TestListWithoutWarmupDoesNotShortenIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		setList(d, warmServer("a"), coldServer("c", 1))
		time.Sleep(time.Second)
		setList(d, warmServer("a"), warmServer("c"))
		assert.DeepEqual(t, serving(t, d), []string{"a"})
	})
}

// A node that has restarted has only the time from the first listing. It must not take less.
func TestRestartedNodeKeepsServerColdForWholeListedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		setList(d, warmServer("a"), coldServer("c", 7))
		time.Sleep(testWarmup)
		assert.DeepEqual(t, serving(t, d), []string{"a"})
	})
}

func TestPoolWithoutColdTimesIgnoresWarmup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, 0)
		setList(d, warmServer("a"), coldServer("c", 1))
		assert.DeepEqual(t, serving(t, d), []string{"a", "c"})
		d.Configure(warmupConfiguration(t, testWarmup.Seconds()))
		assert.DeepEqual(t, serving(t, d), []string{"a"})
	})
}

// If all servers are cold, the nodes without a grant would bring them down together.
func TestOnlyHolderUsesColdServersWhenNoneIsWarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		setList(d, coldServer("a", 1, "edge-2", "edge-3"), coldServer("b", 1, "edge-1", "edge-3"))
		time.Sleep(fillTime)
		assert.DeepEqual(t, serving(t, d), []string{"b"})
		assert.Assert(t, d.Ready(), "servers that become warm soon keep the node ready")
	})
}

func TestHolderUsesNoDrainingColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		leaving := coldServer("a", 1, "edge-1")
		leaving.Draining = true
		setList(d, leaving, coldServer("b", 1, "edge-1"))
		time.Sleep(fillTime)
		assert.DeepEqual(t, serving(t, d), []string{"b"})
	})
}

// The server is given back to the event loop only when the holder may send the next request. Turns stick to it
// meanwhile: they would otherwise go to and fro.
func TestUsedGrantIsGivenAgainAtItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		setList(d, warmServer("a"), coldServer("c", 1, "edge-1", "edge-2"))
		time.Sleep(fillTime)
		assert.DeepEqual(t, serving(t, d), []string{"a", "c"})
		guard := warmupGuard{Transport: &fakeTransport{}, table: d.warmups, service: "llm", used: func() { go d.refresh(d.services["llm"]) }}
		for range maxGrantBurst {
			guard.Start(attemptTo("c"), func(core.AttemptResult) {})
		}
		synctest.Wait()
		assert.DeepEqual(t, serving(t, d), []string{"a"})
		assert.Assert(t, slices.Contains(d.PreferredServers("llm", "key"), "c"))
		time.Sleep(2*time.Second/testWarmupPerS + time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, serving(t, d), []string{"a", "c"})
	})
}

// An attempt that used the last grant is about to connect when its server is taken back.
func TestGrantedAttemptIsNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, transport := newWarmupTable("edge-1", testWarmupLimits), &fakeTransport{}
		table.configure(warmupConfiguration(t, testWarmup.Seconds()))
		table.observe("llm", []protocol.Server{coldServer("c", 1, "edge-1"), coldServer("d", 1, "edge-2")}, time.Now())
		guard := warmupGuard{Transport: transport, table: table, service: "llm", used: func() {}}
		guard.Withdraw(core.Instance{ID: "c"})
		time.Sleep(fillTime)
		assert.Equal(t, transport.withdrawn, 1, "what was sent before the server became cold is withdrawn")
		guard.Start(attemptTo("c"), func(core.AttemptResult) {})
		guard.Withdraw(core.Instance{ID: "c"})
		assert.Equal(t, transport.withdrawn, 1)
		guard.Withdraw(core.Instance{ID: "d"})
		assert.Equal(t, transport.withdrawn, 2)
		time.Sleep(2 * grantStartTimeout)
		guard.Withdraw(core.Instance{ID: "c"})
		assert.Equal(t, transport.withdrawn, 3)
	})
}

// When a zone is taken back, no list may say yet that its servers are cold.
func TestServersOfReturnedZoneAreColdBeforeTheyAreListedSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDispatcher(t, testWarmup)
		other := warmServer("b")
		other.Zone = "z1"
		setList(d, warmServer("a"), other)
		d.mu.Lock()
		d.evacuationEnded("z0", time.Now())
		d.mu.Unlock()
		assert.DeepEqual(t, serving(t, d), []string{"b"})
		time.Sleep(testWarmup + 2*warmupMargin)
		assert.DeepEqual(t, serving(t, d), []string{"a", "b"})
	})
}

// fakeTransport records the attempts that it is asked to start.
type fakeTransport struct {
	core.Transport
	started   []core.Attempt
	withdrawn int
}

func (f *fakeTransport) Withdraw(core.Instance) { f.withdrawn++ }

func (f *fakeTransport) Start(a core.Attempt, _ func(core.AttemptResult)) func() {
	f.started = append(f.started, a)
	return func() {}
}

func attemptTo(id string) core.Attempt {
	return core.Attempt{Instance: core.Instance{ID: logic.ServerID(id)}}
}

// Retries, second copies and resumed streams all pass the transport, also those that the event loop decided
// on before it knew that the server is cold.
func TestAttemptWithoutGrantIsNotSentToColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, transport := newWarmupTable("edge-1", testWarmupLimits), &fakeTransport{}
		table.configure(warmupConfiguration(t, testWarmup.Seconds()))
		table.observe("llm", []protocol.Server{warmServer("a"), coldServer("b", 1, "edge-2"), coldServer("c", 1, "edge-1")}, time.Now())
		time.Sleep(fillTime)
		guard := warmupGuard{Transport: transport, table: table, service: "llm", used: func() {}}
		results := make(chan core.AttemptResult, 3)
		for _, id := range []string{"a", "b", "c", "c", "c", "c", "c"} {
			guard.Start(attemptTo(id), func(r core.AttemptResult) { results <- r })
		}
		assert.Equal(t, (<-results).Result, logic.NotSent)
		assert.Equal(t, (<-results).Result, logic.NotSent)
		assert.Equal(t, len(transport.started), 1+maxGrantBurst, "one to the warm server, and the grant's burst")
		assert.Assert(t, transport.started[0].StartBefore.IsZero(), "the server is warm")
		// A node that is suspended between its decision and the send must not send after it wakes.
		assert.Equal(t, transport.started[1].StartBefore, time.Now().Add(grantStartTimeout))
	})
}

// coldFleet is a fleet of edges that all want to send to one server that is cold, in virtual time.
type coldFleet struct {
	tables []*warmupTable
	frozen map[int]bool
	sends  []time.Duration // since the start; each begins up to grantStartTimeout after it was granted
	random *rand.Rand
}

func newColdFleet(t *testing.T, edges int) *coldFleet {
	f := &coldFleet{frozen: map[int]bool{}, random: rand.New(rand.NewPCG(1, 2))}
	for i := range edges {
		table := newWarmupTable(fmt.Sprint("edge-", i), testWarmupLimits)
		table.configure(warmupConfiguration(t, testWarmup.Seconds()))
		f.tables = append(f.tables, table)
	}
	return f
}

// run lets every edge try to send every 2 ms. Before each step, the events at that time are carried out.
func (f *coldFleet) run(length time.Duration, at map[time.Duration]func(now time.Time)) {
	start := time.Now()
	for passed := time.Duration(0); passed < length; passed += 2 * time.Millisecond {
		now := start.Add(passed)
		if event := at[passed]; event != nil {
			event(now)
		}
		for i, table := range f.tables {
			if !f.frozen[i] {
				if table.take("llm", "c", now).allowed {
					f.sends = append(f.sends, passed+time.Duration(f.random.Int64N(int64(grantStartTimeout))))
				}
			}
		}
	}
}

// deliver hands the edges from to to-1 the server's entry.
func (f *coldFleet) deliver(entry protocol.Server, from, to int, now time.Time) {
	for _, table := range f.tables[from:to] {
		table.observe("llm", []protocol.Server{entry}, now)
	}
}

// mostInASecond returns the largest number of sends in any second.
func (f *coldFleet) mostInASecond() (most int) {
	slices.Sort(f.sends)
	first := 0
	for i, at := range f.sends {
		for at-f.sends[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// One cold server is left. Edges learn of it at different times, a holder freezes and wakes, and another
// lister that counts the time anew takes over.
func playColdServer(t *testing.T, entry, later protocol.Server) *coldFleet {
	f := newColdFleet(t, 60)
	ms := time.Millisecond
	f.run(testWarmup, map[time.Duration]func(time.Time){
		0:         func(now time.Time) { f.deliver(entry, 0, 60, now) },
		800 * ms:  func(time.Time) { f.frozen[1] = true },
		1300 * ms: func(now time.Time) { f.deliver(later, 0, 20, now) },
		1600 * ms: func(now time.Time) { f.deliver(later, 20, 60, now) },
		1900 * ms: func(time.Time) { f.frozen[1] = false },
	})
	return f
}

func TestAllEdgesTogetherStayWithinBudgetOfColdServer(t *testing.T) {
	for _, holders := range [][]string{{"edge-1"}, {"edge-1", "edge-2"}, {"edge-1", "edge-30", "edge-59"}, {"edge-1", "edge-17", "edge-30", "edge-59"}} {
		f := playColdServer(t, coldServer("c", 1, holders...), coldServer("c", 2, holders...))
		assert.Assert(t, float64(f.mostInASecond()) <= testLimit, "%d in a second from %v", f.mostInASecond(), holders)
	}
}

// A holder that restarts forgets what it has sent, and it gets the whole list at once.
func TestRestartedHoldersStayWithinBudget(t *testing.T) {
	entry := coldServer("c", 1, "edge-1", "edge-17", "edge-30", "edge-59")
	f := newColdFleet(t, 60)
	events := map[time.Duration]func(time.Time){0: func(now time.Time) { f.deliver(entry, 0, 60, now) }}
	for at := 500 * time.Millisecond; at < testWarmup; at += 500 * time.Millisecond {
		events[at] = func(now time.Time) {
			f.tables = newColdFleet(t, 60).tables
			f.deliver(entry, 0, 60, now)
		}
	}
	f.run(testWarmup, events)
	assert.Assert(t, float64(f.mostInASecond()) <= testLimit, "%d in a second", f.mostInASecond())
}

// A grant that is never used in full would leave the servers of a zone idle that comes back.
func TestHoldersReachRateOfColdServer(t *testing.T) {
	holders := []string{"edge-2", "edge-17", "edge-30", "edge-59"}
	f := playColdServer(t, coldServer("c", 1, holders...), coldServer("c", 2, holders...))
	assert.Assert(t, float64(len(f.sends)) >= testWarmupPerS*(testWarmup-fillTime/2).Seconds(), "only %d of the server's %v requests were sent", len(f.sends), testWarmupPerS*testWarmup.Seconds())
}

// The check of the test before must see the faults that it guards against.
func TestBudgetCheckSeesWrongGrants(t *testing.T) {
	alone := newColdFleet(t, 60)
	alone.run(testWarmup, map[time.Duration]func(time.Time){0: func(now time.Time) {
		for i := range alone.tables { // every edge takes itself for the only holder
			alone.deliver(coldServer("c", 1, fmt.Sprint("edge-", i)), i, i+1, now)
		}
	}})
	assert.Assert(t, float64(alone.mostInASecond()) > testLimit, "%d in a second", alone.mostInASecond())

	twice := newColdFleet(t, 60)
	twice.run(testWarmup, map[time.Duration]func(time.Time){
		0: func(now time.Time) {
			twice.deliver(coldServer("c", 1, "edge-1", "edge-2", "edge-3", "edge-4"), 0, 60, now)
		},
		time.Second: func(now time.Time) { // another lister grants to other edges while the first half is cut off
			twice.deliver(coldServer("c", 2, "edge-31", "edge-32", "edge-33", "edge-34"), 30, 60, now)
		},
	})
	assert.Assert(t, float64(twice.mostInASecond()) > testLimit, "%d in a second", twice.mostInASecond())
}
