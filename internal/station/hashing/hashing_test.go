package hashing

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func self(n uint64) uint64 { return n }

func TestRankLeavesItsArgumentAndIsSteady(t *testing.T) {
	nodes := []uint64{5, 3, 9, 1}
	ranked := Rank("key", nodes, self)
	assert.DeepEqual(t, nodes, []uint64{5, 3, 9, 1})
	assert.DeepEqual(t, Rank("key", []uint64{1, 9, 3, 5}, self), ranked)
	assert.Assert(t, slices.IsSortedFunc(ranked, func(a, b uint64) int {
		if Weight("key", a) > Weight("key", b) {
			return -1
		}
		return 1
	}))
}

// A node that leaves moves its own keys only, and each node ranks first for its share.
func TestOnlyTheKeysOfANodeMoveWithIt(t *testing.T) {
	const keys, count = 2000, 8
	var nodes []uint64
	for i := range uint64(count) {
		nodes = append(nodes, i*7+1)
	}
	without := nodes[1:]
	first := map[uint64]int{}
	for i := range keys {
		key := fmt.Sprint("key-", i)
		before := Rank(key, nodes, self)
		first[before[0]]++
		after := Rank(key, without, self)
		assert.DeepEqual(t, after, slices.DeleteFunc(before, func(n uint64) bool { return n == nodes[0] }))
	}
	for _, n := range nodes {
		share := float64(first[n]) / keys * count
		assert.Assert(t, share > 0.7 && share < 1.3, "node %d ranks first for %v of its share", n, share)
	}
}

func TestPartitionsAreEvenAndInBounds(t *testing.T) {
	const keys, partitions = 4000, 8
	counts := make([]int, partitions)
	for i := range keys {
		counts[Partition(fmt.Sprint("program-", i), partitions)]++
	}
	for p, n := range counts {
		assert.Assert(t, n > keys/partitions*7/10 && n < keys/partitions*13/10, "partition %d has %d keys", p, n)
	}
}

// All processes must agree on these: another hash would part them in an upgrade.
func TestHashesStay(t *testing.T) {
	assert.Equal(t, Sum64(""), uint64(0xef46db3751d8e999), "xxHash64, seed 0")
	assert.Equal(t, Sum64("a"), uint64(0xd24ec4f1a98c6e5b))
}
