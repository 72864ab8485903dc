package protocol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
)

func TestTurnGroupNameRoundTrips(t *testing.T) {
	for _, partition := range []int{0, 7, 1023} {
		read, ok := TurnPartitionOf(TurnGroup(partition))
		assert.Assert(t, ok)
		assert.Equal(t, read, partition)
	}
	for _, group := range []string{"", "turns-", "turns--1", "turns-01", "turns-+1", "turns-1024", "turns-x", "services-1", "turns-1 "} {
		_, ok := TurnPartitionOf(replica.GroupID(group))
		assert.Assert(t, !ok, "%q", group)
	}
}

func TestTurnPartitionCountIsWithinBounds(t *testing.T) {
	assert.Equal(t, TurnPartitions(0), minTurnPartitions)
	assert.Equal(t, TurnPartitions(3), minTurnPartitions)
	assert.Equal(t, TurnPartitions(10), 20)
	assert.Equal(t, TurnPartitions(100000), maxTurnPartitions)
}

func TestProgramHasNoTurnPartitionBeforeAssignment(t *testing.T) {
	directory := Directory{}
	assert.Equal(t, directory.TurnPartition("p"), -1)
	directory.Partitions = make([]PartitionMembers, 8)
	seen := map[int]bool{}
	for i := range 200 {
		seen[directory.TurnPartition(fmt.Sprint("program-", i))] = true
	}
	assert.Equal(t, len(seen), 8)
}

func TestServicesUseAllPartitions(t *testing.T) {
	seen := map[int]bool{}
	for i := range 100 {
		seen[ServicePartition(fmt.Sprint("service-", i))] = true
	}
	assert.Equal(t, len(seen), ServicePartitions)
}

func TestSameNodeRecognizesIncarnations(t *testing.T) {
	node := Node{ID: 1, Name: "a", Class: Core, Address: "h:1"}
	for _, same := range []Node{{ID: 2, Name: "a", Class: Core, Address: "h:2"}, {ID: 2, Name: "b", Class: Core, Address: "h:1"}} {
		assert.Assert(t, node.SameNode(same))
	}
	for _, other := range []Node{{ID: 1, Name: "b", Class: Core, Address: "h:2"}, {ID: 2, Name: "a", Class: Storage, Address: "h:1"}} {
		assert.Assert(t, !node.SameNode(other))
	}
}
