package host

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
)

// powerLossSteps is the length of a run in milliseconds.
const powerLossSteps = 1500

// powerLossRun makes hosts propose commands while they lose power at random steps.
type powerLossRun struct {
	*cluster
	random   *rand.Rand
	unsynced bool // the disks acknowledge changes before they are durable
	proposed int
	waiters  map[string]*waiter
	answered []string
}

func newPowerLossRun(t testing.TB, seed uint64, unsynced bool) *powerLossRun {
	random := rand.New(rand.NewPCG(seed, 77))
	compactAfter := []int{0, 200, 1000}[random.IntN(3)]
	p := &powerLossRun{
		cluster: startCluster(t, seed, compactAfter, 1+2*random.IntN(2), testGroup),
		random:  random, unsynced: unsynced, waiters: map[string]*waiter{},
	}
	if unsynced {
		for _, n := range p.nodes {
			n.disk.Sync()
			n.disk.LoseUnsyncedChanges()
		}
	}
	return p
}

// runToAgreement runs the hosts for a while and then waits until they agree. It returns the state
// that they agree on.
func (p *powerLossRun) runToAgreement() string {
	for range powerLossSteps {
		p.now += time.Millisecond
		p.step()
	}
	for _, id := range p.order {
		p.losePower(id)
	}
	leader := p.awaitLeader(testGroup)
	p.propose(leader, "last")
	p.awaitSameState(leader)
	return leader.machines[testGroup].text()
}

// step runs one host, and at random proposes a command or injects a fault.
func (p *powerLossRun) step() {
	n := p.nodes[p.order[p.random.IntN(len(p.order))]]
	if leader := p.leader(testGroup); leader != nil && p.random.IntN(3) == 0 {
		p.proposed++
		command := fmt.Sprintf("<%d>", p.proposed)
		if w, err := leader.proposeAsync(testGroup, command); err == nil {
			p.waiters[command] = w
		}
	}
	switch p.random.IntN(200) {
	case 0:
		p.losePower(n.id)
	case 1:
		n.disk.TearNextChange(p.random) // the next write fails and may be stored
	case 2:
		n.disk.FailNextChange()
	case 3:
		p.losePowerAfterWrite(n)
	}
	if n = p.nodes[n.id]; n.deliverAndRun() != nil {
		p.losePower(n.id)
	}
	p.collectOutcomes()
}

// losePowerAfterWrite loses power between a round's write and its remaining steps.
func (p *powerLossRun) losePowerAfterWrite(n *node) {
	n.Deliver(n.inbox)
	n.inbox = nil
	jobs := n.collectJobs()
	_ = n.write(jobs)
	p.losePower(n.id)
}

// losePower ends a host by a power loss and restarts it at once. Only unsynced disks lose changes.
func (p *powerLossRun) losePower(id replica.NodeID) {
	p.collectOutcomes()
	if n := p.restart(id); n.machines[testGroup] == nil { // the group's initial state was not written yet
		n.add(testGroup, p.members)
	}
	if p.unsynced {
		p.nodes[id].disk.LoseUnsyncedChanges()
	}
}

// collectOutcomes records the commands that were answered.
func (p *powerLossRun) collectOutcomes() {
	for command, w := range p.waiters {
		o := receivedOutcome(w)
		if o == nil {
			continue
		}
		delete(p.waiters, command)
		if o.err == nil {
			p.answered = append(p.answered, command)
		}
	}
}

// missingCommands returns the answered commands that the state does not contain exactly once.
func (p *powerLossRun) missingCommands(text string) []string {
	var missing []string
	for _, command := range p.answered {
		if strings.Count(text, command) != 1 {
			missing = append(missing, command)
		}
	}
	return missing
}

// Every command that was answered must survive power losses at any point of a round.
func TestPowerLossLosesNoAnsweredCommand(t *testing.T) {
	answered := 0
	for seed := range uint64(60) {
		p := newPowerLossRun(t, seed, false)
		text := p.runToAgreement()
		assert.Equal(t, len(p.missingCommands(text)), 0, "seed %d: answered commands %v are missing or repeated in %s", seed, p.missingCommands(text), text)
		answered += len(p.answered)
	}
	assert.Assert(t, answered > 500, "only %d commands were answered", answered)
}

// The run above must detect disks that ignore sync requests; otherwise it proves nothing.
func TestPowerLossRunDetectsUnsyncedDisks(t *testing.T) {
	lost := 0
	for seed := range uint64(20) {
		p := newPowerLossRun(t, seed, true)
		for range powerLossSteps {
			p.now += time.Millisecond
			p.step()
		}
		for _, id := range p.order {
			p.losePower(id)
		}
		texts := ""
		for range 1000 {
			p.now += time.Millisecond
			for _, id := range p.order {
				if text := p.nodes[id].machines[testGroup].text(); p.nodes[id].deliverAndRun() == nil && len(text) > len(texts) {
					texts = text
				}
			}
		}
		lost += len(p.missingCommands(texts))
	}
	assert.Assert(t, lost > 0)
}
