package fleet

import (
	"strings"

	"pipitmux/internal/core"
	"pipitmux/internal/discovery"
	"pipitmux/internal/emulator"
	"pipitmux/internal/standin"
)

// list puts a list into the registry's form, with the endpoints of one node.
func (f *fleet) list(node int, l emulator.ListUpdate) standin.List {
	var entries []core.Backend
	for _, e := range l.Backends {
		no, err := f.day.BackendNumber(e.Endpoint)
		if err != nil {
			continue
		}
		f.mu.Lock()
		e.Endpoint = ""
		if no < len(f.machines) {
			e.Endpoint = f.machines[no][node].Addr
		}
		f.mu.Unlock()
		entries = append(entries, e)
	}
	return discovery.NewList(l.Revision, l.Full, entries)
}

// lists is one node's side of the registry.
type lists struct {
	f    *fleet
	node int
}

// List is standin.Lists.
func (l *lists) List() (standin.List, bool) {
	got, ok := l.f.day.FetchList(l.node)
	if !ok {
		return standin.List{}, false
	}
	return l.f.list(l.node, got), true
}

// Next is standin.Lists.
func (l *lists) Next(rev int64, stop <-chan struct{}) (standin.List, bool) {
	got, ok := l.f.day.WaitForChanges(l.node, rev, stop)
	if !ok {
		return standin.List{}, false
	}
	return l.f.list(l.node, got), true
}

// Delivered is standin.Lists.
func (l *lists) Delivered(list standin.List) {
	entries, err := list.Backends()
	if err != nil {
		l.f.day.Fail(err)
		return
	}
	for i, e := range entries { // the day's endpoint is the id without its generation
		entries[i].Endpoint, _, _ = strings.Cut(string(e.ID), ".")
	}
	l.f.day.ListDelivered(l.node, emulator.ListUpdate{Revision: list.Revision, Full: list.Full, Backends: entries})
}
