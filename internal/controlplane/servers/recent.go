package servers

import (
	"slices"

	"oakseam/internal/tier/protocol"
)

// Bounds of the changes that are kept for processes that are slightly behind.
const (
	maxRecentChanges = 256
	maxRecentServers = 4096 // servers in these changes
)

// recentChanges holds the newest changes of a partition. Their versions are consecutive. It is not
// part of a snapshot: a node that restored one sends whole lists until it has applied changes.
type recentChanges struct {
	list []protocol.ServerListChange
	size int // servers in them
}

// changeSize returns the number of servers that a change names.
func changeSize(c protocol.ServerListChange) int { return len(c.Servers) + len(c.Removed) }

// add appends the newest change and drops the oldest ones beyond the bounds.
func (r *recentChanges) add(c protocol.ServerListChange) {
	r.list = append(r.list, c)
	r.size += changeSize(c)
	for len(r.list) > maxRecentChanges || r.size > maxRecentServers && len(r.list) > 0 {
		r.size -= changeSize(r.list[0])
		r.list = r.list[1:]
	}
}

// since returns the changes after a version, or false if the first of them is not kept.
func (r *recentChanges) since(version uint64) ([]protocol.ServerListChange, bool) {
	at := slices.IndexFunc(r.list, func(c protocol.ServerListChange) bool { return c.Version == version+1 })
	if at < 0 {
		return nil, false
	}
	return r.list[at:len(r.list):len(r.list)], true
}
