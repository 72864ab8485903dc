// Package hashing ranks nodes for keys by rendezvous hashing: every process that knows
// the same nodes picks the same ones, and a node that comes or goes moves only its own
// share of the keys.
package hashing

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Sum64 is a steady 64-bit hash of a text.
func Sum64(text string) uint64 { return xxhash.Sum64String(text) }

// Weight is what a node draws for a key. The highest weight ranks first.
func Weight(key string, node uint64) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], node)
	digest.Write(bytes[:])
	digest.WriteString(key)
	return digest.Sum64()
}

// Rank returns the nodes in the key's order, first choice first. It leaves its argument as it is.
func Rank[T any](key string, nodes []T, id func(T) uint64) []T {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b T) int {
		return cmp.Or(cmp.Compare(Weight(key, id(b)), Weight(key, id(a))), cmp.Compare(id(a), id(b)))
	})
	return ranked
}

// Partition is which of so many partitions a key belongs to.
func Partition(key string, partitions int) int {
	return int(Sum64(key) % uint64(partitions))
}
