package settings_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/settings"
)

func TestReadsLimitsOfColdServers(t *testing.T) {
	assert.Equal(t, parse(t, minimal).Warmup, settings.Warmup{})
	got := parse(t, minimal+"[timingBounds]\nwarmupOverrun = 1.5\nwarmupSlack = 5\n")
	assert.Equal(t, got.Warmup, settings.Warmup{Overrun: 1.5, Slack: 5})
	for _, line := range []string{"warmupOverrun = -1", "warmupSlack = -0.5", `warmupSlack = "5"`, "warmupOverrun = nan"} {
		_, err := settings.Parse(file, []byte(minimal+"[timingBounds]\n"+line+"\n"))
		assert.ErrorContains(t, err, "timingBounds.warmup", line)
	}
}
