package watch

import (
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/diff"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/rpc"
)

func newFollower() *Follower { return New(Options{Name: "edge", Pool: rpc.NewPool(rpc.Options{})}) }

const service = "service"

// listsAt returns the list of the service at a version: its only server has the version as capacity.
func listsAt(version uint64) protocol.ServerList {
	return protocol.ServerList{Service: service, Version: version, Servers: []protocol.Server{{ID: "s", Capacity: int(version)}}}
}

// changesReply returns a reply with the changes from one version of the service's list to another.
func changesReply(from, to uint64) *protocol.WatchReply {
	reply := &protocol.WatchReply{Vouched: true}
	reply.Services[protocol.ServicePartition(service)] = to
	for version := from; version < to; version++ {
		reply.ListChanges = append(reply.ListChanges, diff.Servers(listsAt(version), listsAt(version+1)))
	}
	return reply
}

func wholeReply(version uint64) *protocol.WatchReply {
	reply := changesReply(version, version)
	reply.Lists = []protocol.ServerList{listsAt(version)}
	return reply
}

// Changes that another reply already brought are skipped, and each update has the whole lists.
func TestListChangesAreAppliedOnce(t *testing.T) {
	f := newFollower()
	f.merge(wholeReply(3))
	assert.Equal(t, f.watchArgs(false).AcceptsChanges, true)
	assert.DeepEqual(t, f.merge(changesReply(3, 5))[0].Lists, []protocol.ServerList{listsAt(5)})
	assert.Equal(t, len(f.merge(changesReply(3, 4))), 0)
	assert.DeepEqual(t, f.merge(changesReply(3, 7))[0].Lists, []protocol.ServerList{listsAt(7)})
}

// Changes that start after the held version must not be applied: the whole lists are requested, and
// none older than the held ones are taken meanwhile.
func TestListChangesWithAGapAreNotApplied(t *testing.T) {
	partition := protocol.ServicePartition(service)
	f := newFollower()
	f.merge(wholeReply(3))
	assert.Equal(t, len(f.merge(changesReply(4, 6))), 0)
	assert.Equal(t, f.watchArgs(false).Services[partition], uint64(0))
	assert.Equal(t, len(f.merge(wholeReply(2))), 0)
	assert.DeepEqual(t, f.merge(wholeReply(6))[0].Lists, []protocol.ServerList{listsAt(6)})
	assert.Equal(t, f.watchArgs(false).Services[partition], uint64(6))
}

// After RefreshLists the changes are not applied to lists from before.
func TestListChangesAfterRefreshAreNotApplied(t *testing.T) {
	partition := protocol.ServicePartition(service)
	f := newFollower()
	f.merge(wholeReply(3))
	f.RefreshLists()
	assert.Equal(t, len(f.merge(changesReply(3, 4))), 0)
	assert.Equal(t, f.watchArgs(false).Services[partition], uint64(0))
	assert.DeepEqual(t, f.merge(wholeReply(4))[0].Lists, []protocol.ServerList{listsAt(4)})
}

// directoryAt returns a directory whose only node has the version in its name.
func directoryAt(version uint64) protocol.Directory {
	return protocol.Directory{Version: version, Nodes: []protocol.Node{{ID: replica.NodeID(version), Class: protocol.Core}}}
}

func directoryReply(from, to uint64) *protocol.WatchReply {
	change := diff.Directory(directoryAt(from), directoryAt(to))
	return &protocol.WatchReply{Vouched: true, DirectoryChange: &change}
}

// Of several replies to calls from one version only the first is applied, and no whole directory is
// requested because of the others.
func TestDirectoryChangesAreAppliedOnce(t *testing.T) {
	f := newFollower()
	first := directoryAt(3)
	f.merge(&protocol.WatchReply{Directory: &first})
	assert.Equal(t, f.merge(directoryReply(3, 5))[0].Directory.Version, uint64(5))
	assert.Equal(t, len(f.merge(directoryReply(3, 4))), 0)
	assert.Equal(t, len(f.merge(directoryReply(3, 6))), 0)
	assert.DeepEqual(t, f.Directory(), directoryAt(5))
	assert.Equal(t, f.watchArgs(false).Directory, uint64(5))
	assert.Equal(t, f.merge(directoryReply(5, 6))[0].Directory.Version, uint64(6))
}

// A change that names a partition that does not exist is not applied: the whole directory is requested.
func TestMalformedDirectoryChangeIsNotApplied(t *testing.T) {
	f := newFollower()
	first := directoryAt(3)
	f.merge(&protocol.WatchReply{Directory: &first})
	malformed := directoryReply(3, 4)
	malformed.DirectoryChange.Partitions = []protocol.PartitionChange{{Number: 9}}
	assert.Equal(t, len(f.merge(malformed)), 0)
	assert.DeepEqual(t, f.Directory(), first)
	assert.Equal(t, f.watchArgs(false).Directory, uint64(0))
	whole := directoryAt(4)
	assert.Equal(t, len(f.merge(&protocol.WatchReply{Directory: &whole})), 1)
	assert.Equal(t, f.watchArgs(false).Directory, uint64(4))
}

// confirmedReply returns a linearizable reply with a configuration.
func confirmedReply(directory *protocol.Directory, change *protocol.DirectoryChange) *protocol.WatchReply {
	return &protocol.WatchReply{Confirmed: true, Vouched: true, Revision: 7, Steps: wholeStep(7), Directory: directory, DirectoryChange: change}
}

// With its first configuration a process begins to serve: it must know the evacuated zones by then.
func TestFirstConfigurationDoesNotComeBeforeTheEvacuatedZones(t *testing.T) {
	f := newFollower()
	updates := f.merge(confirmedReply(&protocol.Directory{Version: 3, EvacuatedZones: []string{"z"}}, nil))
	assert.Equal(t, len(updates), 2)
	assert.DeepEqual(t, updates[0].Directory.EvacuatedZones, []string{"z"})
	assert.Equal(t, updates[1].Revision, uint64(7))
}

// A change of the directory that does not apply may carry an evacuation: the configuration that came
// with it must not be served before the next reply has brought the directory.
func TestFirstConfigurationWaitsForADirectoryChangeThatDoesNotApply(t *testing.T) {
	f := newFollower()
	held := directoryAt(4) // from a node that confirmed nothing, while another one handled a call
	f.merge(&protocol.WatchReply{Directory: &held})
	before, after := directoryAt(3), directoryAt(5)
	after.EvacuatedZones = []string{"z"}
	change := diff.Directory(before, after)
	assert.Equal(t, len(f.merge(confirmedReply(nil, &change))), 0)
	assert.Equal(t, f.watchArgs(false).Confirmed, true)
	change = diff.Directory(held, after)
	updates := f.merge(confirmedReply(nil, &change))
	assert.Equal(t, len(updates), 2)
	assert.DeepEqual(t, updates[0].Directory.EvacuatedZones, []string{"z"})
	assert.Equal(t, updates[1].Revision, uint64(7))
	assert.Equal(t, f.watchArgs(false).Confirmed, false)
}
