package protocol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
)

func TestTurnGroupsAreReadBack(t *testing.T) {
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

func TestTurnPartitionsAreWithinBounds(t *testing.T) {
	assert.Equal(t, TurnPartitions(0), partitionsLeast)
	assert.Equal(t, TurnPartitions(3), partitionsLeast)
	assert.Equal(t, TurnPartitions(10), 20)
	assert.Equal(t, TurnPartitions(100000), partitionsMost)
}

func TestProgramsHaveAPartitionOnceTheyAreDealtOut(t *testing.T) {
	d := Directory{}
	assert.Equal(t, d.TurnPartition("p"), -1)
	d.Partitions = make([]PartitionMembers, 8)
	seen := map[int]bool{}
	for i := range 200 {
		seen[d.TurnPartition(fmt.Sprint("program-", i))] = true
	}
	assert.Equal(t, len(seen), 8)
}

func TestServicesSpreadOverTheirPartitions(t *testing.T) {
	seen := map[int]bool{}
	for i := range 100 {
		seen[ServicePartition(fmt.Sprint("service-", i))] = true
	}
	assert.Equal(t, len(seen), ServicePartitions)
}

func TestIncarnationsOfOneMachine(t *testing.T) {
	n := Node{ID: 1, Name: "a", Class: Core, Address: "h:1"}
	for _, same := range []Node{{ID: 2, Name: "a", Class: Core, Address: "h:2"}, {ID: 2, Name: "b", Class: Core, Address: "h:1"}} {
		assert.Assert(t, n.SameNode(same))
	}
	for _, other := range []Node{{ID: 1, Name: "b", Class: Core, Address: "h:2"}, {ID: 2, Name: "a", Class: Storage, Address: "h:1"}} {
		assert.Assert(t, !n.SameNode(other))
	}
}
