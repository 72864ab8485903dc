package node

import (
	"math/rand/v2"
	"slices"
)

// helloRotation picks helloFanout addresses for each round of Hello calls, so that n addresses are all
// picked within n / helloFanout rounds, rounded up. The order is random, so that nodes that start
// together don't call the same ones.
type helloRotation struct {
	picked map[string]bool // since the last time that all were picked
}

// next returns the addresses of the next round: all, if there are no more than helloFanout. It reorders
// the given slice.
func (r *helloRotation) next(addresses []string) []string {
	if len(addresses) <= helloFanout {
		return addresses
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	slices.SortStableFunc(addresses, r.byPicked)
	if r.picked == nil || r.picked[addresses[0]] {
		r.picked = map[string]bool{}
	}
	round := addresses[:helloFanout]
	for _, address := range round {
		r.picked[address] = true
	}
	return round
}

// byPicked orders addresses that are not picked yet before the others.
func (r *helloRotation) byPicked(a, b string) int {
	switch {
	case r.picked[a] == r.picked[b]:
		return 0
	case r.picked[b]:
		return -1
	default:
		return 1
	}
}
