package processtest

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

const (
	// soakSeedsVariable names how many seeds the soak plays, soakSeeds by default.
	soakSeedsVariable = "OAKSEAM_SOAK_SEEDS"
	soakSeeds         = 2
	// soakTroubles is how many troubles a seed brings, one after the other or at the same time.
	soakTroubles = 24
	maxSoakPause = 120 * time.Millisecond
	// soakClients keep connections to edges for as long as these last.
	soakClients = 8
)

// soak is one seed of the soak: a tier to which troubles come, and clients that use it meanwhile.
type soak struct {
	t       *testing.T
	tier    *tier
	random  *rand.Rand
	answers atomic.Int64 // that clients got
}

// troubles are what may come to a process. None may end one that isn't told to end.
var troubles = []struct {
	name string
	come func(s *soak, m *machine)
}{
	{"SIGHUP", func(_ *soak, m *machine) { m.process.signal(syscall.SIGHUP) }},
	{"SIGQUIT", func(_ *soak, m *machine) { m.process.signal(syscall.SIGQUIT) }},
	{"reload signals", func(_ *soak, m *machine) { go m.process.reload() }},
	{"a freeze", func(_ *soak, m *machine) {
		m.process.signal(syscall.SIGSTOP)
		time.AfterFunc(settleTime, func() { m.process.signal(syscall.SIGCONT) })
	}},
	{"no room for files", func(_ *soak, m *machine) {
		p := m.process
		_ = p.limitFiles(smallFileBytes) // it may be ending
		time.AfterFunc(settleTime, func() { _ = p.limitFiles(unix.RLIM_INFINITY) })
	}},
	{"bytes of no protocol", func(s *soak, m *machine) {
		for _, address := range ports(m) {
			sendBytesWhereHeard(s.random, address)
		}
	}},
	{"SIGTERM and a start beside it", func(s *soak, m *machine) { s.replace(m, syscall.SIGTERM) }},
	{"SIGKILL and a start beside it", func(s *soak, m *machine) { s.replace(m, syscall.SIGKILL) }},
	{"a change of the configuration", func(s *soak, _ *machine) { s.tier.cores[s.random.IntN(len(s.tier.cores))].takesConfiguration() }},
}

// replace ends a machine's process and starts the next one at once.
func (s *soak) replace(m *machine, end syscall.Signal) {
	assert.Assert(s.t, !m.process.ended(), "%s ended by itself: %v", m.Name, m.process.command.ProcessState)
	last := m.process
	last.signal(syscall.SIGCONT) // a frozen process ends only when it goes on
	last.signal(end)
	m.start(false)
	// The next replacement waits until this one has happened: a service manager runs one process at a time.
	await(s.t, stopTimeout, m.Name+"'s last process ends", last.ended)
}

// useEdge calls an edge on a kept connection, and on a new one whenever that is closed.
func (s *soak) useEdge(edge *machine, stop <-chan struct{}) {
	kept := &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
	for {
		select {
		case <-stop:
			return
		default:
		}
		response, err := kept.Get("http://" + edge.Front() + "/")
		if statusOf(response, err) != 0 {
			s.answers.Add(1)
		}
		time.Sleep(pollInterval)
	}
}

// run plays the seed.
func (s *soak) run() {
	startAll(s.tier.all()...)
	awaitConfigured(s.t, s.tier.cores[0])
	awaitReady(s.t, s.tier.edges...)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { s.useEdge(s.tier.edges[i%len(s.tier.edges)], stop) })
	}
	for range soakTroubles {
		machines := s.tier.all()
		m, trouble := machines[s.random.IntN(len(machines))], troubles[s.random.IntN(len(troubles))]
		s.t.Logf("%s: %s", m.Name, trouble.name)
		trouble.come(s, m)
		time.Sleep(time.Duration(s.random.Int64N(int64(maxSoakPause))))
	}
	time.Sleep(2 * settleTime) // freezes and limits end
	for _, m := range s.tier.all() {
		m.requireAlive(0, "in the soak")
	}
	for _, m := range s.tier.cores {
		awaitConfigured(s.t, m)
	}
	awaitReady(s.t, s.tier.edges...)
	close(stop)
	clients.Wait()
	assert.Assert(s.t, s.answers.Load() > 0)
	for _, m := range s.tier.all() {
		m.requireStops()
	}
}

// Guards against processes that end by themselves, or a tier that no longer starts, when signals, restarts,
// full disks and changes come in series and overlap.
func TestTroublesInSeriesEndNoProcess(t *testing.T) {
	seeds := soakSeeds
	if text := os.Getenv(soakSeedsVariable); text != "" {
		var err error
		seeds, err = strconv.Atoi(text)
		assert.NilError(t, err)
	}
	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			s := &soak{t: t, tier: newTier(t, 3, 3, 2), random: rand.New(rand.NewPCG(uint64(seed), 0))}
			s.run()
		})
	}
}
