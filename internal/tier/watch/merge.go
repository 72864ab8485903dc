package watch

import (
	"slices"

	"k8s.io/klog/v2"

	"oakseam/internal/tier/diff"
	"oakseam/internal/tier/protocol"
)

// mergeDirectory takes over a newer directory and reports whether there was one. A change from another
// version than the held one is left: the next call asks for what follows the held one. If a change is
// malformed, it requests the whole directory.
func (f *Follower) mergeDirectory(reply *protocol.WatchReply) bool {
	next := f.directory
	switch {
	case reply.Directory != nil:
		next = *reply.Directory
	case reply.DirectoryChange != nil && reply.DirectoryChange.Base == f.directory.Version:
		var err error
		if next, err = diff.ApplyDirectory(f.directory, *reply.DirectoryChange); err != nil {
			f.needWholeDirectory = true
			klog.ErrorS(err, "Cannot apply a change of the directory; requesting the whole directory", "version", reply.DirectoryChange.Version)
			return false
		}
	}
	if next.Version <= f.directory.Version {
		return false
	}
	f.directory, f.needWholeDirectory = next, false
	return true
}

// hasDirectoryOf reports whether the held directory is at least as new as the one in a reply. It is not
// if the reply has a change that starts from another version than the held one.
func (f *Follower) hasDirectoryOf(reply *protocol.WatchReply) bool {
	return reply.DirectoryChange == nil || reply.DirectoryChange.Version <= f.directory.Version
}

// mergeLists takes over the newer server lists.
func (f *Follower) mergeLists(reply *protocol.WatchReply) (updates []Update) {
	if f.listsOutdated && !reply.Vouched {
		return nil
	}
	if f.listsOutdated && reply.Services != ([protocol.ServicePartitions]uint64{}) {
		f.listsOutdated = false
		f.services = [protocol.ServicePartitions]uint64{}
		f.lists = [protocol.ServicePartitions][]protocol.ServerList{}
	}
	for partition, version := range reply.Services {
		if version > f.services[partition] && f.mergePartition(partition, version, reply) {
			updates = append(updates, Update{Lists: f.lists[partition], Partition: partition})
		}
	}
	return updates
}

// mergePartition takes over the lists of a partition at a newer version. It reports whether it could:
// otherwise the next call requests the whole lists of the partition.
func (f *Follower) mergePartition(partition int, version uint64, reply *protocol.WatchReply) bool {
	var changes []protocol.ServerListChange
	for _, c := range reply.ListChanges {
		if protocol.ServicePartition(c.Service) == partition {
			changes = append(changes, c)
		}
	}
	if len(changes) == 0 {
		f.services[partition], f.needWholeLists[partition] = version, false
		f.lists[partition] = slices.DeleteFunc(slices.Clone(reply.Lists), func(list protocol.ServerList) bool {
			return protocol.ServicePartition(list.Service) != partition
		})
		return true
	}
	lists, reached := f.lists[partition], f.services[partition]
	for _, c := range changes {
		if c.Version == reached+1 { // others were applied from another node's reply
			lists, reached = diff.ApplyServers(lists, c), c.Version
		}
	}
	if reached != version {
		klog.ErrorS(&diff.BaseError{Held: reached, Base: changes[0].Version - 1}, "Cannot apply changes of server lists; requesting the whole lists", "partition", partition)
		f.needWholeLists[partition] = true
		return false
	}
	f.services[partition], f.lists[partition], f.needWholeLists[partition] = version, lists, false
	return true
}
