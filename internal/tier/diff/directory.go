package diff

import (
	"fmt"
	"slices"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// BaseError reports a change that does not start from the version that it was to be applied to.
type BaseError struct {
	Held uint64 // version that the change was to be applied to
	Base uint64 // version that the change starts from
}

func (e *BaseError) Error() string {
	return fmt.Sprintf("a change from version %d cannot be applied to version %d", e.Base, e.Held)
}

// PartitionError reports a change of a partition that the directory does not have.
type PartitionError struct {
	Number int
	Count  int // partitions that the directory has after the change
}

func (e *PartitionError) Error() string {
	return fmt.Sprintf("partition %d of %d does not exist", e.Number, e.Count)
}

// Directory returns the change from one version of the directory to a later one.
func Directory(before, after protocol.Directory) protocol.DirectoryChange {
	change := protocol.DirectoryChange{
		Base: before.Version, Version: after.Version, Retiring: after.Retiring, PartitionCount: len(after.Partitions),
		EvacuatedZones: after.EvacuatedZones,
	}
	change.Nodes, change.RemovedNodes = entries(before.Nodes, after.Nodes, func(n protocol.Node) replica.NodeID { return n.ID })
	for number, members := range after.Partitions {
		if number >= len(before.Partitions) || !sameMembers(before.Partitions[number], members) {
			change.Partitions = append(change.Partitions, protocol.PartitionChange{Number: number, Members: members})
		}
	}
	return change
}

func sameMembers(a, b protocol.PartitionMembers) bool {
	return a.Change == b.Change && a.Step == b.Step && slices.Equal(a.Voters, b.Voters)
}

// ApplyDirectory returns the directory after a change. The directory must be at the change's base: a
// later version may lack a node that left and came back meanwhile, which the change does not name.
// It fails with a BaseError or a PartitionError.
func ApplyDirectory(held protocol.Directory, change protocol.DirectoryChange) (protocol.Directory, error) {
	if held.Version != change.Base {
		return held, &BaseError{Held: held.Version, Base: change.Base}
	}
	partitions := slices.Grow(slices.Clone(held.Partitions), max(change.PartitionCount-len(held.Partitions), 0))
	for len(partitions) < change.PartitionCount {
		partitions = append(partitions, protocol.PartitionMembers{})
	}
	for _, p := range change.Partitions {
		if p.Number < 0 || p.Number >= len(partitions) {
			return held, &PartitionError{Number: p.Number, Count: len(partitions)}
		}
		partitions[p.Number] = p.Members
	}
	return protocol.Directory{
		Version: change.Version, Nodes: applyNodes(held.Nodes, change), Retiring: change.Retiring, Partitions: partitions,
		EvacuatedZones: change.EvacuatedZones,
	}, nil
}

// applyNodes returns the nodes after a change. Their order has no meaning.
func applyNodes(held []protocol.Node, change protocol.DirectoryChange) []protocol.Node {
	nodes := slices.DeleteFunc(slices.Clone(held), func(n protocol.Node) bool {
		isReplaced := slices.ContainsFunc(change.Nodes, func(o protocol.Node) bool { return o.ID == n.ID })
		return isReplaced || slices.Contains(change.RemovedNodes, n.ID)
	})
	return append(nodes, change.Nodes...)
}
