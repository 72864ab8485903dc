package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/adminapi"
)

// replace replaces the configuration before a revision by the one with that revision.
func (c *caller) replace(t *testing.T, revision int) {
	t.Helper()
	c.header = http.Header{adminapi.BaseRevisionHeader: {fmt.Sprint(revision - 1)}}
	c.until(t, recoveryBound, http.MethodPost, "/api/Configuration.Replace", fmt.Sprintf(configurationBody, revision), http.StatusOK)
}

// revision reads the configuration's revision at the first node that answers.
func (c *caller) revision(t *testing.T) int {
	t.Helper()
	_, reply := c.until(t, recoveryBound, http.MethodGet, "/api/Configuration.Show", "", http.StatusOK)
	var shown struct{ ConfigRevision int }
	assert.NilError(t, json.Unmarshal(reply, &shown))
	return shown.ConfigRevision
}

// assertRevision checks that every node reads a revision.
func (c *cluster) assertRevision(want int) {
	c.Helper()
	for _, n := range c.nodes {
		assert.Equal(c, newCaller(n).revision(c.T), want, n.name)
	}
}

// A cut, a loss of as many disks as are tolerated while all others are killed: what was acknowledged
// is kept, and an edge serves by it. A side without a majority acknowledges nothing.
func TestAcknowledgedConfigurationOutlivesACutAndLostDisks(t *testing.T) {
	c := startTier(t)
	minority, majority := c.nodes[:2], c.nodes[2:]
	c.separate(minority, majority)
	newCaller(majority...).replace(t, 2)
	status, _ := newCaller(minority...).call(minority[0], http.MethodGet, "/api/Configuration.Show", "")
	assert.Assert(t, status == 0 || status == http.StatusServiceUnavailable, "answered %d without a majority", status)
	c.network.heal()
	c.assertRevision(2)
	c.killAll()
	c.restartAll(majority[:toleratedLosses]...)
	c.assertRevision(2)
	edge := c.startEdge(evacuated)
	edge.awaitServed(recoveryBound, evacuated)
}
