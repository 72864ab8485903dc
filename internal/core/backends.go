package core

import (
	"cmp"
	"slices"

	"oakseam/logic"
)

// UpdateBackends handles a list of backends. The connections to a process that is gone,
// was restarted or has moved are closed. Attempts that have not started are withdrawn where
// their backend leaves, and decided again.
func (e *Engine) UpdateBackends(kind logic.ListKind, backends []Backend) {
	e.env.Counters.Add(listCounts[kind])
	servers := make([]logic.Server, 0, len(backends))
	previous := e.instances
	if kind == logic.ListFull || kind == logic.ListCached {
		e.instances = make(map[logic.ServerID]Instance, len(backends))
		e.backends = make(map[logic.ServerID]Backend, len(backends))
	}
	for _, b := range backends {
		instance := Instance{ID: b.ID, Endpoint: b.Endpoint, Started: b.StartedAt}
		if old, ok := previous[b.ID]; ok && (old != instance || b.State != logic.Serving) {
			e.env.Transport.Withdraw(old)
			if old != instance || b.State == logic.Gone {
				e.env.Transport.CloseIdle(old)
			}
		}
		if b.State == logic.Gone {
			delete(e.instances, b.ID)
			delete(e.backends, b.ID)
		} else {
			e.instances[b.ID], e.backends[b.ID] = instance, b
		}
		servers = append(servers, b.Server)
	}
	if kind == logic.ListFull || kind == logic.ListCached {
		e.closeRemoved(previous)
	}
	e.serving = false
	for _, b := range e.backends {
		e.serving = e.serving || b.State == logic.Serving
	}
	e.dispatch("", logic.ServerList{Kind: kind, Servers: servers})
}

// closeRemoved closes the connections to the instances that a full list no longer has, sorted
// by ID: the same list must have the same effects in the same order.
func (e *Engine) closeRemoved(previous map[logic.ServerID]Instance) {
	var removed []Instance
	for id, i := range previous {
		if _, ok := e.instances[id]; !ok {
			removed = append(removed, i)
		}
	}
	slices.SortFunc(removed, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, i := range removed {
		e.env.Transport.Withdraw(i)
		e.env.Transport.CloseIdle(i)
	}
}
