package coordinator

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A grant to an edge that is gone would be lost for the whole warm-up.
func TestEdgeWithoutRecentCallIsForgotten(t *testing.T) {
	var r edgeRegistry
	start := time.Now()
	assert.Equal(t, len(r.names(start)), 0)
	r.record("edge-2", start)
	r.record("edge-1", start)
	assert.DeepEqual(t, r.names(start), []string{"edge-1", "edge-2"})
	r.record("edge-2", start.Add(edgeTimeout))
	assert.DeepEqual(t, r.names(start.Add(edgeTimeout+time.Millisecond)), []string{"edge-2"})
	assert.Equal(t, len(r.calledAt), 1)
}
