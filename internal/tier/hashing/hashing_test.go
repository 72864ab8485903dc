package hashing

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func identity(node uint64) uint64 { return node }

func TestRankIsDeterministicAndKeepsItsArgument(t *testing.T) {
	nodes := []uint64{5, 3, 9, 1}
	ranked := Rank("key", nodes, identity)
	assert.DeepEqual(t, nodes, []uint64{5, 3, 9, 1})
	assert.DeepEqual(t, Rank("key", []uint64{1, 9, 3, 5}, identity), ranked)
	assert.Assert(t, slices.IsSortedFunc(ranked, func(a, b uint64) int {
		if Weight("key", a) > Weight("key", b) {
			return -1
		}
		return 1
	}))
}

// Removing a node moves only its own keys, and each node ranks first for its share.
func TestRemovedNodeMovesOnlyItsOwnKeys(t *testing.T) {
	const keys, count = 2000, 8
	var nodes []uint64
	for i := range uint64(count) {
		nodes = append(nodes, i*7+1)
	}
	remaining := nodes[1:]
	first := map[uint64]int{}
	for i := range keys {
		key := fmt.Sprint("key-", i)
		before := Rank(key, nodes, identity)
		first[before[0]]++
		after := Rank(key, remaining, identity)
		assert.DeepEqual(t, after, slices.DeleteFunc(before, func(n uint64) bool { return n == nodes[0] }))
	}
	for _, n := range nodes {
		share := float64(first[n]) / keys * count
		assert.Assert(t, share > 0.7 && share < 1.3, "node %d ranks first for %v of its share", n, share)
	}
}

func TestPartitionsAreBalanced(t *testing.T) {
	const keys, partitions = 4000, 8
	counts := make([]int, partitions)
	for i := range keys {
		counts[Partition(fmt.Sprint("program-", i), partitions)]++
	}
	for p, n := range counts {
		assert.Assert(t, n > keys/partitions*7/10 && n < keys/partitions*13/10, "partition %d has %d keys", p, n)
	}
}

// All processes must agree on the hashes. A changed hash would split them during an upgrade.
func TestHashesAreStable(t *testing.T) {
	assert.Equal(t, Sum64(""), uint64(0xef46db3751d8e999), "xxHash64, seed 0")
	assert.Equal(t, Sum64("a"), uint64(0xd24ec4f1a98c6e5b))
}
