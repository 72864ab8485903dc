package coordinator

import (
	"fmt"
	"testing"

	"oakseam/internal/controlplane/repair"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/scaletest"
)

// coreNodes is the number of core nodes in the benchmark, toleratedLosses the number of
// machines that may be lost at once.
const (
	coreNodes       = 8
	toleratedLosses = 1
)

// BenchmarkPlacement assigns the turn partitions to storage nodes in 15 zones of 7 regions. It
// reports how many partitions lose the majority of their members with one zone or region, on
// average and at worst. The results are in docs/CAPACITY.md.
func BenchmarkPlacement(b *testing.B) {
	for _, storageNodes := range []int{30, 100, 372} {
		b.Run(fmt.Sprintf("storages=%d", storageNodes), func(b *testing.B) { benchmarkPlacement(b, storageNodes) })
	}
}

func benchmarkPlacement(b *testing.B, storageNodes int) {
	d := scaletest.Directory(coreNodes, storageNodes)
	nodes := NodesOfClass(*d, protocol.Storage)
	var partitions [][]replica.NodeID
	for b.Loop() {
		partitions = partitions[:0]
		for partition := range protocol.TurnPartitions(storageNodes) {
			ranked := rankNodes(protocol.TurnGroup(partition), nodes)
			partitions = append(partitions, repair.SelectVoters(ranked, FeasibleVoters(toleratedLosses, storageNodes)))
		}
	}
	b.ReportMetric(float64(len(partitions)), "partitions")
	zone := func(n protocol.Node) string { return n.Zone }
	region := func(n protocol.Node) string { return n.Zone[:len("region-0")] }
	for name, placeOf := range map[string]func(protocol.Node) string{"zone": zone, "region": region} {
		mean, worst := partitionsWithoutMajority(partitions, nodes, placeOf)
		b.ReportMetric(mean, name+"-mean")
		b.ReportMetric(worst, name+"-worst")
	}
}

// partitionsWithoutMajority returns the mean and the maximum, over all places, of the number of
// partitions that have most of their members in the place.
func partitionsWithoutMajority(partitions [][]replica.NodeID, nodes []protocol.Node, placeOf func(protocol.Node) string) (mean, worst float64) {
	places := map[replica.NodeID]string{}
	lost := map[string]float64{}
	for _, n := range nodes {
		places[n.ID] = placeOf(n)
		lost[placeOf(n)] += 0
	}
	for _, voters := range partitions {
		members := map[string]int{}
		for _, id := range voters {
			members[places[id]]++
		}
		for place, count := range members {
			if 2*count > len(voters) {
				lost[place]++
			}
		}
	}
	for _, count := range lost {
		mean += count / float64(len(lost))
		worst = max(worst, count)
	}
	return mean, worst
}
