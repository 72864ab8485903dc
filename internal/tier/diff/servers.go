// Package diff computes and applies the differences between two versions of the state that core
// nodes send to all other processes: the server lists and the directory. The package is pure. It
// never modifies its arguments.
package diff

import (
	"cmp"
	"slices"

	"oakseam/internal/tier/protocol"
)

// Servers returns the change from one list of a service to the next one.
func Servers(before, after protocol.ServerList) protocol.ServerListChange {
	change := protocol.ServerListChange{Service: after.Service, Version: after.Version}
	old := make(map[string]protocol.Server, len(before.Servers))
	for _, s := range before.Servers {
		old[s.ID] = s
	}
	for _, s := range after.Servers {
		if held, ok := old[s.ID]; !ok || held != s {
			change.Servers = append(change.Servers, s)
		}
		delete(old, s.ID)
	}
	for _, s := range before.Servers {
		if _, gone := old[s.ID]; gone {
			change.Removed = append(change.Removed, s.ID)
		}
	}
	return change
}

// ApplyServers returns the lists after a change of one of them. The lists are sorted by service and
// the servers of the changed list by id. A service without servers has no list.
func ApplyServers(lists []protocol.ServerList, change protocol.ServerListChange) []protocol.ServerList {
	next := slices.Clone(lists)
	at, found := slices.BinarySearchFunc(next, change.Service, func(l protocol.ServerList, service string) int {
		return cmp.Compare(l.Service, service)
	})
	var held []protocol.Server
	if found {
		held = next[at].Servers
	}
	list := protocol.ServerList{Service: change.Service, Version: change.Version, Servers: applyServers(held, change)}
	switch {
	case found && len(list.Servers) == 0:
		return slices.Delete(next, at, at+1)
	case found:
		next[at] = list
	case len(list.Servers) > 0:
		next = slices.Insert(next, at, list)
	}
	return next
}

// applyServers returns the servers after a change, sorted by id.
func applyServers(held []protocol.Server, change protocol.ServerListChange) []protocol.Server {
	replaced := make(map[string]bool, len(change.Servers)+len(change.Removed))
	for _, id := range change.Removed {
		replaced[id] = true
	}
	for _, s := range change.Servers {
		replaced[s.ID] = true
	}
	servers := make([]protocol.Server, 0, len(held)+len(change.Servers))
	for _, s := range held {
		if !replaced[s.ID] {
			servers = append(servers, s)
		}
	}
	servers = append(servers, change.Servers...)
	slices.SortFunc(servers, func(a, b protocol.Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}
