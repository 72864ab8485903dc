package fleet

import (
	"strings"

	"oakseam/internal/core"
	"oakseam/internal/discovery"
	"oakseam/internal/emulator"
	"oakseam/internal/fakes"
)

// convertList converts a list to the registry's format. The endpoints are the addresses at which one
// node reaches the backends.
func (f *fleet) convertList(node int, l emulator.ListUpdate) fakes.List {
	var entries []core.Backend
	for _, e := range l.Backends {
		number, err := f.live.BackendNumber(e.Endpoint)
		if err != nil {
			continue
		}
		f.mu.Lock()
		e.Endpoint = ""
		if number < len(f.machines) {
			e.Endpoint = f.machines[number][node].Addr
		}
		f.mu.Unlock()
		entries = append(entries, e)
	}
	return discovery.NewList(l.Revision, l.Full, entries)
}

// listSource provides the lists of one node's registry.
type listSource struct {
	fleet *fleet
	node  int
}

// List implements fakes.ListSource.
func (l *listSource) List() (fakes.List, bool) {
	got, ok := l.fleet.live.FetchList(l.node)
	if !ok {
		return fakes.List{}, false
	}
	return l.fleet.convertList(l.node, got), true
}

// Next implements fakes.ListSource.
func (l *listSource) Next(rev int64, stop <-chan struct{}) (fakes.List, bool) {
	got, ok := l.fleet.live.WaitForChanges(l.node, rev, stop)
	if !ok {
		return fakes.List{}, false
	}
	return l.fleet.convertList(l.node, got), true
}

// Delivered implements fakes.ListSource.
func (l *listSource) Delivered(list fakes.List) {
	entries, err := list.Backends()
	if err != nil {
		l.fleet.live.Fail(err)
		return
	}
	for i, e := range entries { // the emulator's endpoint is the id without its generation
		entries[i].Endpoint, _, _ = strings.Cut(string(e.ID), ".")
	}
	l.fleet.live.ListDelivered(l.node, emulator.ListUpdate{Revision: list.Revision, Full: list.Full, Backends: entries})
}
