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
const powerSteps = 1500

// powerRun has hosts propose while their power is lost again and again, at any step.
type powerRun struct {
	*cluster
	random   *rand.Rand
	lying    bool // the disks answer before they have kept anything
	next     int
	waiting  map[string]*waiter
	answered []string
}

func newPowerRun(t testing.TB, seed uint64, lying bool) *powerRun {
	random := rand.New(rand.NewPCG(seed, 77))
	after := []int{0, 200, 1000}[random.IntN(3)]
	p := &powerRun{
		cluster: startNodes(t, seed, after, 1+2*random.IntN(2), testGroup),
		random:  random, lying: lying, waiting: map[string]*waiter{},
	}
	if lying {
		for _, n := range p.nodes {
			n.disk.Sync()
			n.disk.Lose()
		}
	}
	return p
}

// play goes on for a while and then lets the hosts agree. It gives the machine that they agree on.
func (p *powerRun) play() string {
	for range powerSteps {
		p.now += time.Millisecond
		p.step()
	}
	for _, id := range p.order {
		p.lose(id)
	}
	owner := p.elect(testGroup)
	p.propose(owner, "last")
	p.alike(owner)
	return owner.machines[testGroup].text()
}

// step moves one host, proposes by chance, and by chance takes power away.
func (p *powerRun) step() {
	n := p.nodes[p.order[p.random.IntN(len(p.order))]]
	if owner := p.owner(testGroup); owner != nil && p.random.IntN(3) == 0 {
		p.next++
		command := fmt.Sprintf("<%d>", p.next)
		if w, err := owner.begin(testGroup, command); err == nil {
			p.waiting[command] = w
		}
	}
	switch p.random.IntN(200) {
	case 0:
		p.lose(n.id)
	case 1:
		n.disk.Tear(p.random) // the next write fails and may be kept
	case 2:
		n.disk.Fail()
	case 3:
		p.halfRound(n)
	}
	if n = p.nodes[n.id]; n.turn() != nil {
		p.lose(n.id)
	}
	p.collect()
}

// halfRound loses power between a round's write and what follows it.
func (p *powerRun) halfRound(n *node) {
	n.Deliver(n.inbox)
	n.inbox = nil
	jobs := n.gather()
	_ = n.write(jobs)
	p.lose(n.id)
}

// lose takes a host's power away and gives it back at once. Of both kinds of disk only the
// lying one has anything to lose.
func (p *powerRun) lose(id replica.NodeID) {
	p.collect()
	if n := p.restart(id); n.machines[testGroup] == nil { // it hadn't written the group's begin yet
		n.add(testGroup, p.members)
	}
	if p.lying {
		p.nodes[id].disk.Lose()
	}
}

// collect notes what was answered.
func (p *powerRun) collect() {
	for command, w := range p.waiting {
		o := took(w)
		if o == nil {
			continue
		}
		delete(p.waiting, command)
		if o.err == nil {
			p.answered = append(p.answered, command)
		}
	}
}

// missing gives the answered commands that aren't there exactly once.
func (p *powerRun) missing(text string) []string {
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
		p := newPowerRun(t, seed, false)
		text := p.play()
		assert.Equal(t, len(p.missing(text)), 0, "seed %d lost %v of %s", seed, p.missing(text), text)
		answered += len(p.answered)
	}
	assert.Assert(t, answered > 500, "only %d commands were answered", answered)
}

// TestPowerLossIsNoticed has disks lie about their syncs: then the run above must find losses.
func TestPowerLossIsNoticed(t *testing.T) {
	lost := 0
	for seed := range uint64(20) {
		p := newPowerRun(t, seed, true)
		for range powerSteps {
			p.now += time.Millisecond
			p.step()
		}
		for _, id := range p.order {
			p.lose(id)
		}
		texts := ""
		for range 1000 {
			p.now += time.Millisecond
			for _, id := range p.order {
				if text := p.nodes[id].machines[testGroup].text(); p.nodes[id].turn() == nil && len(text) > len(texts) {
					texts = text
				}
			}
		}
		lost += len(p.missing(texts))
	}
	assert.Assert(t, lost > 0)
}
