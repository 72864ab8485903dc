package tallysync

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Behind a cut an add must not wait for a node that answers with errors only: it will never hold a copy.
func TestAddBehindACutDoesNotWaitForANodeThatAnswersWithErrors(t *testing.T) {
	runCluster(t, 2, []string{"a", "a", "b", "b", "c", "c", "d", "d"}, func(t *testing.T, c *cluster) {
		c.setEarlier(1)
		c.split(2)
		time.Sleep(testMerge)
		assert.NilError(t, c.node(0).Add(t.Context(), "t", "m", 1))
	})
}

// The same for a process that was started behind the cut.
func TestAddAfterAStartBehindACutDoesNotWaitForANodeThatAnswersWithErrors(t *testing.T) {
	runCluster(t, 2, []string{"a", "a", "b", "b", "c", "c", "d", "d"}, func(t *testing.T, c *cluster) {
		c.setEarlier(1)
		c.split(2)
		disk := c.node(0).disk
		c.stop(c.node(0))
		c.start(0, disk)
		time.Sleep(restartBound)
		assert.NilError(t, c.node(0).Add(t.Context(), "t", "m", 1))
	})
}
