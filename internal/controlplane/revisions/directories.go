package revisions

import (
	"oakseam/internal/tier/diff"
	"oakseam/internal/tier/protocol"
)

// maxRecentDirectories is how many earlier versions of the directory are kept for processes that are
// slightly behind.
const maxRecentDirectories = 64

// recentDirectories holds the newest earlier versions of the directory. It is not part of a
// snapshot: a node that restored one sends whole directories until it has applied changes.
type recentDirectories struct {
	list    []protocol.Directory                 // oldest first
	changes map[uint64]*protocol.DirectoryChange // to the newest version, by their base
}

// add appends the version that has just been replaced.
func (r *recentDirectories) add(replaced protocol.Directory) {
	r.list = append(r.list, replaced)
	if over := len(r.list) - maxRecentDirectories; over > 0 {
		r.list = r.list[over:]
	}
	r.changes = map[uint64]*protocol.DirectoryChange{}
}

// changeTo returns the change from a version to the newest one, or false if the version is not kept.
// Many processes ask for the same one.
func (r *recentDirectories) changeTo(version uint64, newest protocol.Directory) (*protocol.DirectoryChange, bool) {
	if change, ok := r.changes[version]; ok {
		return change, true
	}
	for _, before := range r.list {
		if before.Version == version {
			change := diff.Directory(before, newest)
			r.changes[version] = &change
			return &change, true
		}
	}
	return nil, false
}
