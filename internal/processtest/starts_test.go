package processtest

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// firstStartTimeout bounds the first start of a tier of which no more than machineLosses machines are
// missing, until an operator's configuration is acknowledged: the time after which the bounds of
// the settings let a tier recover.
const firstStartTimeout = 12 * time.Second

// awaitConfigured waits until a core node acknowledges the first configuration.
func awaitConfigured(t *testing.T, m *machine) {
	t.Helper()
	await(t, firstStartTimeout, m.Name+" acknowledges a configuration", m.takesConfiguration)
}

// awaitReady waits until edges are ready.
func awaitReady(t *testing.T, edges ...*machine) {
	t.Helper()
	for _, m := range edges {
		await(t, firstStartTimeout, m.Name+" is ready", func() bool { return get(m.Readiness(), "/api/readiness") == http.StatusOK })
	}
}

// Guards against a system that never starts because one core node is missing at its first start.
func TestFirstStartWithoutOneCoreNode(t *testing.T) {
	for missing := range 3 {
		c := newTier(t, 3, 3, 1)
		present := append(append([]*machine{}, c.cores[:missing]...), c.cores[missing+1:]...)
		startAll(present...)
		startAll(c.stores...)
		startAll(c.edges...)
		for _, m := range present {
			awaitConfigured(t, m)
		}
		awaitReady(t, c.edges...)
		c.cores[missing].start(true)
		awaitConfigured(t, c.cores[missing])
	}
}

// Guards against a system without a configuration yet that can't say so because one core node is missing.
func TestFirstReadWithoutOneCoreNode(t *testing.T) {
	for missing := range 3 {
		c := newTier(t, 3, 3, 1)
		present := append(append([]*machine{}, c.cores[:missing]...), c.cores[missing+1:]...)
		startAll(present...)
		time.Sleep(2 * settleTime)
		for range 10 {
			time.Sleep(settleTime)
			for _, m := range present {
				await(t, firstStartTimeout, m.Name+" answers that there is no configuration", func() bool {
					return get(m.Control(), "/api/Configuration.Show") == http.StatusNotFound
				})
			}
		}
	}
}

// Guards against a system that never starts because a core process ends in its first milliseconds and
// is started again without bootstrap, as only a first start has it.
func TestFirstStartWithACoreNodeThatIsStartedAgain(t *testing.T) {
	for _, after := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 60 * time.Millisecond} {
		c := newTier(t, 3, 3, 1)
		startAll(c.all()...)
		time.Sleep(after)
		c.cores[0].process.kill()
		c.cores[0].start(false)
		for _, m := range c.cores {
			awaitConfigured(t, m)
		}
		awaitReady(t, c.edges...)
	}
}

// Guards against a system that never starts because all processes end in their first milliseconds and
// are started again without bootstrap.
func TestFirstStartOfProcessesThatAreAllStartedAgain(t *testing.T) {
	for _, after := range []time.Duration{10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		c := newTier(t, 3, 3, 1)
		startAll(c.all()...)
		time.Sleep(after)
		for _, m := range c.all() {
			m.process.kill()
		}
		for _, m := range c.all() {
			m.start(true)
		}
		awaitConfigured(t, c.cores[0])
		awaitReady(t, c.edges...)
	}
}

// Guards against a system that starts only in one order.
func TestFirstStartInAnyOrder(t *testing.T) {
	c := newTier(t, 4, 3, 1)
	for _, m := range []*machine{c.edges[0], c.stores[0], c.stores[1], c.stores[2], c.cores[3], c.cores[2], c.cores[1], c.cores[0]} {
		m.start(true)
		time.Sleep(settleTime)
	}
	awaitConfigured(t, c.cores[3])
	awaitReady(t, c.edges...)
}

// Guards against core nodes that wait for storage nodes or edges before they take a configuration.
func TestCoreNodesStartWithoutOtherNodes(t *testing.T) {
	c := newTier(t, 3, 0, 0)
	startAll(c.all()...)
	for _, m := range c.cores {
		awaitConfigured(t, m)
	}
}

// Guards against edges that wait for more storage nodes than have to be there.
func TestFirstStartWithoutOneStorageNode(t *testing.T) {
	c := newTier(t, 3, 4, 1)
	startAll(c.cores...)
	startAll(c.stores[1:]...)
	startAll(c.edges...)
	awaitConfigured(t, c.cores[0])
	awaitReady(t, c.edges...)
}

// Guards against a system that a frozen core node keeps from starting.
func TestFirstStartWithAFrozenCoreNode(t *testing.T) {
	c := newTier(t, 3, 3, 1)
	startAll(c.all()...)
	c.cores[2].process.signal(syscall.SIGSTOP)
	awaitConfigured(t, c.cores[0])
	awaitReady(t, c.edges...)
	c.cores[2].process.signal(syscall.SIGCONT)
	awaitConfigured(t, c.cores[2])
}

// Guards against a tier that takes no configuration, or whose processes end, while the platform is away.
func TestFirstStartWithoutPlatform(t *testing.T) {
	c := newTier(t, 3, 3, 1)
	c.platform.Close()
	startAll(c.all()...)
	awaitConfigured(t, c.cores[0])
	for _, m := range c.all() {
		m.requireAlive(settleTime, "without a platform")
	}
}

// Guards against edges that wait for ever because fewer storage nodes come than a group has voters.
func TestFirstStartWithTwoStorageNodes(t *testing.T) {
	c := newTier(t, 3, 2, 1)
	startAll(c.all()...)
	awaitConfigured(t, c.cores[0])
	awaitReady(t, c.edges...)
}

// Guards against a node without a majority that takes a configuration, or ends.
func TestFirstStartOfOneCoreNodeWaitsForAMajority(t *testing.T) {
	c := newTier(t, 3, 0, 0)
	c.cores[0].start(true)
	await(t, startTimeout, "the internal port answers", func() bool { return greets(c.cores[0].Internal(0)) })
	assert.Assert(t, !c.cores[0].takesConfiguration())
	c.cores[0].requireAlive(settleTime, "without a majority")
	c.cores[1].start(true)
	awaitConfigured(t, c.cores[0])
}
