package host

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
)

// powerSteps is how many milliseconds a run goes on for.
const powerLossSteps = 1500

// powerRun has hosts propose while their power is lost again and again, at any step.
type powerLossRun struct {
	*cluster
	random   *rand.Rand
	unsynced bool // the disks answer before they have kept anything
	proposed int
	waiters  map[string]*waiter
	answered []string
}

func newPowerLossRun(t testing.TB, seed uint64, unsynced bool) *powerLossRun {
	random := rand.New(rand.NewPCG(seed, 77))
	after := []int{0, 200, 1000}[random.IntN(3)]
	p := &powerLossRun{
		cluster: startCluster(t, seed, after, 1+2*random.IntN(2), testGroup),
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

// runToAgreement goes on for a while and then lets the hosts agree. It gives the machine that they agree on.
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

// step moves one host, proposes by chance, and by chance takes power away.
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
		n.disk.TearNextChange(p.random) // the next write fails and may be kept
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

// halfRound loses power between a round's write and what follows it.
func (p *powerLossRun) losePowerAfterWrite(n *node) {
	n.Deliver(n.inbox)
	n.inbox = nil
	jobs := n.collectJobs()
	_ = n.write(jobs)
	p.losePower(n.id)
}

// losePower takes a host's power away and gives it back at once. Of both kinds of disk only the
// lying one has anything to losePower.
func (p *powerLossRun) losePower(id replica.NodeID) {
	p.collectOutcomes()
	if n := p.restart(id); n.machines[testGroup] == nil { // it hadn't written the group's begin yet
		n.add(testGroup, p.members)
	}
	if p.unsynced {
		p.nodes[id].disk.LoseUnsyncedChanges()
	}
}

// collectOutcomes notes what was answered.
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

// missingCommands gives the answered commands that aren't there exactly once.
func (p *powerLossRun) missingCommands(text string) []string {
	var missing []string
	for _, command := range p.answered {
		if strings.Count(text, command) != 1 {
			missing = append(missing, command)
		}
	}
	return missing
}

func TestPowerLossKeepsAllThatWasAnswered(t *testing.T) {
	answered := 0
	for seed := range uint64(60) {
		p := newPowerLossRun(t, seed, false)
		text := p.runToAgreement()
		assert.Equal(t, len(p.missingCommands(text)), 0, "seed %d lost %v of %s", seed, p.missingCommands(text), text)
		answered += len(p.answered)
	}
	assert.Assert(t, answered > 500, "only %d commands were answered", answered)
}

// TestPowerLossIsNoticed has disks lie about their syncs: then the run above must find losses.
func TestPowerLossIsNoticed(t *testing.T) {
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
