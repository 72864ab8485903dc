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
	change.Servers, change.Removed = entries(before.Servers, after.Servers, func(s protocol.Server) string { return s.ID })
	return change
}

// entries returns the added and changed entries of a list, and the ids of the removed ones.
func entries[E, ID comparable](before, after []E, idOf func(E) ID) (changed []E, removed []ID) {
	old := make(map[ID]E, len(before))
	for _, entry := range before {
		old[idOf(entry)] = entry
	}
	for _, entry := range after {
		if held, ok := old[idOf(entry)]; !ok || held != entry {
			changed = append(changed, entry)
		}
		delete(old, idOf(entry))
	}
	for _, entry := range before {
		if _, gone := old[idOf(entry)]; gone {
			removed = append(removed, idOf(entry))
		}
	}
	return changed, removed
}

// ApplyServers returns the lists after a change of one of them. The lists are sorted by service and
// the servers of the changed list by id. A service without servers has no list.
func ApplyServers(lists []protocol.ServerList, change protocol.ServerListChange) []protocol.ServerList {
	held := ListOf(lists, change.Service).Servers
	return WithList(lists, protocol.ServerList{Service: change.Service, Version: change.Version, Servers: applyServers(held, change)})
}

// ListOf returns the list of a service, without servers if there is none. The lists are sorted by service.
func ListOf(lists []protocol.ServerList, service string) protocol.ServerList {
	if at, found := find(lists, service); found {
		return lists[at]
	}
	return protocol.ServerList{Service: service}
}

// WithList returns the lists with a list in the place of its service's earlier one. The lists are sorted
// by service. An empty list removes the service's.
func WithList(lists []protocol.ServerList, list protocol.ServerList) []protocol.ServerList {
	next := slices.Clone(lists)
	at, found := find(next, list.Service)
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

// find returns where the list of a service is, or belongs.
func find(lists []protocol.ServerList, service string) (at int, found bool) {
	return slices.BinarySearchFunc(lists, service, func(l protocol.ServerList, service string) int {
		return cmp.Compare(l.Service, service)
	})
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
