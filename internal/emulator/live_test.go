package emulator

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pipitmux/internal/audit"
	"pipitmux/internal/core"
)

// crossed is an Outside whose clients begin to write only once their node is killed, and
// whose nodes take nothing before.
type crossed struct {
	*Live
	killed chan struct{}
}

func (c *crossed) Start(node int, _ int64, _ []core.Backend) { go c.Up(node) }
func (c *crossed) Kill(int)                                  { close(c.killed) }
func (c *crossed) Backend(int, Machine)                      {}
func (c *crossed) Cut(int, int, bool)                        {}

func (c *crossed) Send(t Try) {
	go func() {
		<-c.killed
		c.Sending(t.ID, t.Patience)
		c.Done(t.ID, Verdict{Answer: audit.NoAnswer, Taken: true})
	}()
}

// A client's write that crosses the kill of its node is owed no answer; one to a node that
// lives on is.
func TestWriteCrossesTheKill(t *testing.T) {
	day, _, _ := strings.Cut(small, "classes:")
	day = strings.NewReplacer("seconds: 12", "seconds: 0.5", "count: 3", "count: 1").Replace(day) +
		"classes: [{name: lookup, share: 1, work_ms: 50, aim_ms: 100, deadline_ms: 200, worth: 1, effect: safe}]\n"
	for name, killed := range map[string]bool{"killed": true, "lives on": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day := day
			c := &crossed{killed: make(chan struct{})}
			if killed {
				day += "troubles: [{kind: power_loss, at_s: 0.25, for_s: 9}]\n"
			} else {
				close(c.killed)
			}
			sc, err := Parse("crossed.yaml", []byte(day))
			require.NoError(t, err)
			c.Live = NewLive(sc, 1)
			r, err := c.Run(t.Context(), c, func(_, _ time.Duration) {})
			require.NoError(t, err)
			assert.Positive(t, r.Rules.Requests)
			if killed {
				assert.Zero(t, r.Rules.Unanswered, "%+v", r.Broken)
			} else {
				assert.Equal(t, r.Rules.Requests, r.Rules.Unanswered)
			}
		})
	}
}
