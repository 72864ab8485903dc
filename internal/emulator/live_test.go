package emulator

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/audit"
	"oakseam/internal/core"
)

// slowClientEnvironment is an Environment whose clients begin to write only when their node is
// killed, and whose nodes receive nothing before that.
type slowClientEnvironment struct {
	*LiveRun
	killed chan struct{}
}

func (c *slowClientEnvironment) StartNode(node int, _ int64, _ []core.Backend) { go c.NodeReady(node) }
func (c *slowClientEnvironment) KillNode(int)                                  { close(c.killed) }
func (c *slowClientEnvironment) SetBackend(int, MachineState)                  {}
func (c *slowClientEnvironment) SetPartition(int, int, bool)                   {}

func (c *slowClientEnvironment) SendRequest(t ClientRequest) {
	go func() {
		<-c.killed
		c.RequestStarted(t.ID, t.Timeout)
		c.RequestDone(t.ID, RequestOutcome{Answer: audit.NoAnswer, FullySent: true})
	}()
}

// A client that begins to write while its node is killed is due no answer. A client of a node that
// stays alive is due one.
func TestWriteDuringNodeKillIsDueNoAnswer(t *testing.T) {
	text, _, _ := strings.Cut(smallScenario, "classes:")
	text = strings.NewReplacer("seconds: 12", "seconds: 0.5", "count: 3", "count: 1").Replace(text) +
		"classes: [{name: lookup, share: 1, work_ms: 50, aim_ms: 100, deadline_ms: 200, worth: 1, effect: safe}]\n"
	for name, killed := range map[string]bool{"killed": true, "stays alive": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text := text
			c := &slowClientEnvironment{killed: make(chan struct{})}
			if killed {
				text += "troubles: [{kind: power_loss, at_s: 0.25, for_s: 9}]\n"
			} else {
				close(c.killed)
			}
			scenario, err := Parse("crossed.yaml", []byte(text))
			require.NoError(t, err)
			c.LiveRun = NewLiveRun(scenario, 1)
			r, err := c.Run(t.Context(), c, func(_, _ time.Duration) {})
			require.NoError(t, err)
			assert.Positive(t, r.Rules.Requests)
			if killed {
				assert.Zero(t, r.Rules.Unanswered, "%+v", r.Violations)
			} else {
				assert.Equal(t, r.Rules.Requests, r.Rules.Unanswered)
			}
		})
	}
}

// The timer of a retry may fire late. A client whose time is over sends nothing more, and is due no
// answer.
func TestLateRetryTimerSendsNothing(t *testing.T) {
	scenario, err := Parse("late.yaml", []byte(smallScenario))
	require.NoError(t, err)
	for name, late := range map[string]bool{"late": true, "in time": false} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(scenario, 1)
			for _, n := range sim.nodes {
				n.inRotation = true
			}
			op := &operation{sim: sim, id: 1, class: &scenario.Classes[0], startedAt: sim.now}
			op.requests = 1
			if late {
				sim.now = op.deadline()
			}
			before := sim.traffic.requests
			op.sendRequest()
			assert.Equal(t, late, sim.traffic.requests == before)
			assert.Equal(t, late, op.requests == 1)
		})
	}
}
