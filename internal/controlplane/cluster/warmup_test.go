package cluster

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/wait"
)

// zoneWarmup is how long the servers of these tests stay cold.
const zoneWarmup = 4 * time.Second

// startTierWithWarmup is startTier with a pool whose servers have cold times.
func startTierWithWarmup(t *testing.T) *cluster {
	t.Helper()
	c := startTier(t)
	body := strings.Replace(configurationBody, `"protocol":"h1"`, `"protocol":"h1","warmupS":4,"warmupPerS":17`, 1)
	operator := newCaller(c.nodes...)
	operator.header = http.Header{adminapi.BaseRevisionHeader: {"1"}}
	operator.until(t, recoveryBound, http.MethodPost, "/api/Configuration.Replace", fmt.Sprintf(body, 2), http.StatusOK)
	return c
}

// assertKeptCold checks until the servers of a zone may be warm that requests are served, but none in that zone.
func (f *follower) assertKeptCold(zone string, since time.Time) {
	f.Helper()
	served := 0
	for time.Since(since) < zoneWarmup {
		answeredIn := f.send()
		assert.Assert(f, answeredIn != zone, "a request was served in %s %v after it was taken back", zone, time.Since(since))
		if answeredIn != "" {
			served++
		}
		wait.For(f.Context(), pollInterval)
	}
	assert.Assert(f, served > 0, "no request was served")
}

// Edges that start after a Finish were not there to see it, and the platform's list says only later that the
// servers are cold. If many start at once, they bring the servers down.
func TestEdgeThatStartsAfterAFinishTakesTheServersOfTheZoneForCold(t *testing.T) {
	c := startTierWithWarmup(t)
	operator := newCaller(c.nodes...)
	operator.order(t, "Begin", evacuated)
	operator.order(t, "Finish", evacuated)
	takenBack := time.Now()
	edge := c.startEdge(evacuated)
	edge.assertKeptCold(evacuated, takenBack)
	edge.awaitServed(orderBound, evacuated)
}
