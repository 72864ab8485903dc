package dispatch

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/hashing"
	"oakseam/logic"
)

func TestTopRankedEqualsStartOfFullOrder(t *testing.T) {
	var servers []candidate
	for i := range 40 {
		id := fmt.Sprint("i-", i)
		servers = append(servers, candidate{logic.ServerID(id), hashing.Sum64(id), i%4 == 0})
	}
	for n := range 50 {
		key := fmt.Sprint("program-", n)
		order := slices.Clone(servers)
		slices.SortFunc(order, func(a, b candidate) int {
			if (ranked{a, hashing.Weight(key, a.hash)}).before(ranked{b, hashing.Weight(key, b.hash)}) {
				return -1
			}
			return 1
		})
		var want []logic.ServerID
		for _, s := range order[:maxPreferred] {
			want = append(want, s.id)
		}
		assert.DeepEqual(t, topRanked(servers, key), want)
	}
	assert.Equal(t, len(topRanked(servers[:2], "k")), 2)
	assert.Equal(t, len(topRanked(nil, "k")), 0)
}
