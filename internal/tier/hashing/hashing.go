// Package hashing ranks nodes for keys by rendezvous hashing. Processes that know the same
// nodes select the same ones, and adding or removing a node moves only that node's share
// of the keys. All processes must agree on the hashes, so they must never change.
package hashing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sum64 returns the xxHash64 of a text.
func Sum64(text string) uint64 { return xxhash.Sum64String(text) }

// Weight returns the rendezvous weight of a node for a key. The highest weight ranks
// first.
func Weight(key string, node uint64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var encodedNode [8]byte
	binary.LittleEndian.PutUint64(encodedNode[:], node)
	digest.Write(encodedNode[:])
	digest.WriteString(key)
	return digest.Sum64()
}

// Rank returns the nodes ordered by their weights for the key, highest first. It does not
// modify nodes.
func Rank[T any](key string, nodes []T, id func(T) uint64) []T {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b T) int {
		return cmp.Or(cmp.Compare(Weight(key, id(b)), Weight(key, id(a))), cmp.Compare(id(a), id(b)))
	})
	return ranked
}

// Partition returns the partition of a key among a number of partitions.
func Partition(key string, partitions int) int {
	return int(Sum64(key) % uint64(partitions))
}
