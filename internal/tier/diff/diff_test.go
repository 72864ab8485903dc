package diff

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// versions is how many versions a random history has.
const versions = 30

// randomLists returns the lists of two services at consecutive versions, and the change to each of
// them from the one before.
func randomLists(rng *rand.Rand) (lists [][]protocol.ServerList, changes []protocol.ServerListChange) {
	current := map[string]protocol.ServerList{}
	lists = append(lists, nil)
	for version := range uint64(versions) {
		service := fmt.Sprint("service-", rng.IntN(2))
		next := protocol.ServerList{Service: service, Version: version + 1}
		for id := range 6 {
			if rng.IntN(5) < 3 && rng.IntN(8) > 0 {
				next.Servers = append(next.Servers, protocol.Server{ID: fmt.Sprint("s-", id), Draining: rng.IntN(3) == 0})
			}
		}
		changes = append(changes, Servers(current[service], next))
		current[service] = next
		var all []protocol.ServerList
		for _, name := range []string{"service-0", "service-1"} {
			if len(current[name].Servers) > 0 {
				all = append(all, current[name])
			}
		}
		lists = append(lists, all)
	}
	return lists, changes
}

// Applied one after the other, the changes give every version, from whichever version they start.
func TestServerChangesGiveEachVersion(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		lists, changes := randomLists(rng)
		from := rng.IntN(versions)
		held := lists[from]
		for i := from; i < versions; i++ {
			before := slices.Clone(held)
			next := ApplyServers(held, changes[i])
			assert.DeepEqual(t, held, before) // the argument is not modified
			held = next
			assert.Equal(t, len(held), len(lists[i+1]), "seed %d, version %d", seed, i+1)
			for j := range held {
				assert.DeepEqual(t, held[j], lists[i+1][j])
			}
		}
	}
}

// A wrong variant must be caught: a change applied to a version that its base follows.
func TestServerChangeOnAnEarlierVersionIsWrong(t *testing.T) {
	wrong := 0
	for seed := range uint64(50) {
		lists, changes := randomLists(rand.New(rand.NewPCG(seed, 1)))
		if held := ApplyServers(lists[0], changes[versions-1]); fmt.Sprint(held) != fmt.Sprint(lists[versions]) {
			wrong++
		}
	}
	assert.Assert(t, wrong > 40, "%d of 50", wrong)
}

// randomDirectories returns directories at consecutive versions, changed as the state machine does.
func randomDirectories(rng *rand.Rand) []protocol.Directory {
	current := protocol.Directory{}
	directories := []protocol.Directory{current}
	for range versions {
		next := current
		next.Version++
		switch id := replica.NodeID(rng.IntN(8) + 1); rng.IntN(6) {
		case 0: // a node registers, or registers again at another address
			others := slices.DeleteFunc(slices.Clone(current.Nodes), func(n protocol.Node) bool { return n.ID == id })
			next.Nodes = append(others, protocol.Node{ID: id, Address: fmt.Sprint(rng.IntN(3))})
		case 1: // a node is removed
			next.Nodes = slices.DeleteFunc(slices.Clone(current.Nodes), func(n protocol.Node) bool { return n.ID == id })
		case 2:
			next.Retiring = append(slices.Clone(current.Retiring), fmt.Sprint("node-", id))
		case 3: // a zone is evacuated, or taken back
			zone := fmt.Sprint("zone-", id)
			next.EvacuatedZones = slices.DeleteFunc(slices.Clone(current.EvacuatedZones), func(z string) bool { return z == zone })
			if len(next.EvacuatedZones) == len(current.EvacuatedZones) {
				next.EvacuatedZones = append(next.EvacuatedZones, zone)
			}
		case 4:
			next.Partitions = append(slices.Clone(current.Partitions), protocol.PartitionMembers{Voters: []replica.NodeID{id}})
		default:
			if len(current.Partitions) > 0 {
				next.Partitions = slices.Clone(current.Partitions)
				next.Partitions[rng.IntN(len(next.Partitions))] = protocol.PartitionMembers{Change: next.Version, Voters: []replica.NodeID{id, id + 1}}
			}
		}
		directories = append(directories, next)
		current = next
	}
	return directories
}

// byID returns a directory whose nodes are sorted: their order has no meaning.
func byID(d protocol.Directory) protocol.Directory {
	d.Nodes = slices.SortedFunc(slices.Values(d.Nodes), func(a, b protocol.Node) int { return cmp.Compare(a.ID, b.ID) })
	return d
}

// The change between any two versions leads from the one to the other.
func TestDirectoryChangeLeadsFromItsBaseToItsEnd(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		directories := randomDirectories(rng)
		base := rng.IntN(versions)
		got, err := ApplyDirectory(directories[base], Directory(directories[base], directories[versions]))
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprintf("%+v", byID(got)), fmt.Sprintf("%+v", byID(directories[versions])), "seed %d", seed)
	}
}

// A node that left and came back is not named by a change that spans both, so the change must not be
// applied in between.
func TestDirectoryChangeIsNotAppliedToALaterVersion(t *testing.T) {
	node := protocol.Node{ID: 1}
	base := protocol.Directory{Version: 1, Nodes: []protocol.Node{node}}
	without := protocol.Directory{Version: 2}
	end := protocol.Directory{Version: 3, Nodes: []protocol.Node{node}}
	_, err := ApplyDirectory(without, Directory(base, end))
	assert.ErrorType(t, err, &BaseError{})
}

func TestDirectoryChangeThatDoesNotFitIsRejected(t *testing.T) {
	held := protocol.Directory{Version: 4, Partitions: make([]protocol.PartitionMembers, 2)}
	_, err := ApplyDirectory(held, protocol.DirectoryChange{Base: 5, Version: 6, PartitionCount: 2})
	assert.ErrorType(t, err, &BaseError{})
	assert.ErrorContains(t, err, "from version 5")
	for _, number := range []int{-1, 2} {
		got, err := ApplyDirectory(held, protocol.DirectoryChange{Base: 4, Version: 5, PartitionCount: 2, Partitions: []protocol.PartitionChange{{Number: number}}})
		assert.ErrorType(t, err, &PartitionError{})
		assert.ErrorContains(t, err, "of 2 does not exist")
		assert.DeepEqual(t, got, held)
	}
}

// BenchmarkServers makes and applies the change of one server among many. The figures are in
// docs/performance.md.
func BenchmarkServers(b *testing.B) {
	for _, count := range []int{30, 300, 3000} {
		before := protocol.ServerList{Service: "s", Version: 1}
		for i := range count {
			before.Servers = append(before.Servers, protocol.Server{ID: fmt.Sprintf("server-%05d", i)})
		}
		after := protocol.ServerList{Service: "s", Version: 2, Servers: slices.Clone(before.Servers)}
		after.Servers[count/2].Draining = true
		change := Servers(before, after)
		b.Run(fmt.Sprintf("make/servers=%d", count), func(b *testing.B) {
			for b.Loop() {
				Servers(before, after)
			}
		})
		b.Run(fmt.Sprintf("apply/servers=%d", count), func(b *testing.B) {
			for b.Loop() {
				ApplyServers([]protocol.ServerList{before}, change)
			}
		})
	}
}
