package scaletest

import (
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
)

func TestGeneratedStateIsValid(t *testing.T) {
	configuration, err := routing.Parse(Configuration(9, 100))
	assert.NilError(t, err)
	assert.Equal(t, configuration.Revision, uint64(9))
	assert.Equal(t, len(configuration.Routes), 100)
	count := 0
	for _, list := range Lists(103) {
		count += len(list.Servers)
	}
	assert.Equal(t, count, 103)
	directory := Directory(3, 10)
	assert.Equal(t, len(directory.Nodes), 13)
	assert.Equal(t, len(directory.Partitions), protocol.TurnPartitions(10))
}

func TestEncodedSizeExcludesTypeDescription(t *testing.T) {
	small, large := EncodedSize(&protocol.AdmitReply{History: make([]byte, 100)}), EncodedSize(&protocol.AdmitReply{History: make([]byte, 1100)})
	assert.Assert(t, small > 100 && small < 120, "%d", small)
	assert.Assert(t, large-small >= 1000 && large-small < 1010, "%d", large-small)
}
