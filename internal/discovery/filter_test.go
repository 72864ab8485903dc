package discovery

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/core"
	"oakseam/logic"
)

// view is a node's list after all deliveries.
type view map[logic.ServerID]logic.ServerState

func (v view) apply(kind logic.ListKind, backends []core.Backend) {
	if kind == logic.ListFull {
		clear(v)
	}
	for _, b := range backends {
		if v[b.ID] = b.State; b.State == logic.Gone {
			delete(v, b.ID)
		}
	}
}

func list(rev int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

func target(uid, state string, boot int) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"h:1","state":%q,"boot_ms":%d}`, uid, state, boot)
}

// An older list must not undo a drain or removal that a newer one reported, whether it arrives
// as the response to a fetch, on a new watch or after the list that the process started with.
// All else in an older list counts, for a registry may restart its numbering from a lower version.
func TestOlderListUndoesNoDrainOrRemoval(t *testing.T) {
	const serving, draining, gone = "in_service", "terminating", "terminated"
	drainedList := list(5, true, target("a", draining, 1), target("b", serving, 1))
	for name, tt := range map[string]struct {
		known string
		lists []string // each the response to one call
		want  view
	}{
		"a drain":                {"", []string{drainedList, list(4, true, target("a", serving, 1), target("b", serving, 1))}, view{"a": logic.Draining, "b": logic.Serving}},
		"known at the start":     {drainedList, []string{list(4, true, target("a", serving, 1), target("b", serving, 1))}, view{"a": logic.Draining, "b": logic.Serving}},
		"changes":                {"", []string{drainedList, list(4, false, target("a", serving, 1))}, view{"a": logic.Draining, "b": logic.Serving}},
		"a removal":              {"", []string{drainedList, list(6, false, target("a", gone, 0)), list(4, true, target("a", draining, 1), target("b", serving, 1))}, view{"b": logic.Serving}},
		"missing in a full list": {"", []string{drainedList, list(6, true, target("b", serving, 1)), list(4, true, target("a", serving, 1), target("b", serving, 1))}, view{"b": logic.Serving}},
		"through a third list":   {"", []string{drainedList, list(3, true, target("a", serving, 1)), list(4, true, target("a", serving, 1))}, view{"a": logic.Draining}},
		"a newer list may":       {"", []string{drainedList, list(6, true, target("a", serving, 1))}, view{"a": logic.Serving}},
		"a restarted backend":    {"", []string{drainedList, list(4, true, target("a", serving, 2))}, view{"a": logic.Serving}},
		"numbered from a lower version": {"", []string{drainedList, list(1, true, target("a", draining, 1), target("c", serving, 1)), list(2, false, target("c", draining, 1))},
			view{"a": logic.Draining, "c": logic.Draining}},
	} {
		for _, way := range []string{"fetch", "watch"} {
			if way == "fetch" && strings.Contains(fmt.Sprint(tt.lists), `"all":false`) {
				continue // the response to a fetch is a full list
			}
			t.Run(name+" by "+way, func(t *testing.T) {
				var call atomic.Int64
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					fmt.Fprintln(w, tt.lists[min(int(call.Add(1)), len(tt.lists))-1])
				}))
				defer s.Close()
				known := List{}
				current := view{}
				if tt.known != "" {
					known = List{Revision: 5, Full: true, Targets: []Target{{UID: "a", Endpoint: "h:1", State: draining, BootMS: 1}, {UID: "b", Endpoint: "h:1", State: serving, BootMS: 1}}}
				}
				delivered := make(chan func(), 10)
				client := New(s.Listener.Addr().String(), known, func(kind logic.ListKind, backends []core.Backend) {
					delivered <- func() {
						if kind != logic.ListFailed {
							current.apply(kind, backends)
						}
					}
				}, slog.New(slog.DiscardHandler))
				next := func() {
					select {
					case f := <-delivered:
						f()
					case <-time.After(20 * time.Second):
						require.Fail(t, "no delivery")
					}
				}
				for range tt.lists {
					if way == "fetch" {
						client.Fetch()
					} else {
						client.Subscribe()
						next() // its list, then its end
					}
					next()
				}
				assert.Equal(t, tt.want, current)
			})
		}
	}
}

// A list that contradicts itself, or a watch whose versions go back, must count as a failed call,
// and the last valid list stays in use.
func TestContradictoryListFailsTheCall(t *testing.T) {
	valid := list(5, true, target("a", "in_service", 1))
	for name, body := range map[string]string{
		"two states":    list(6, true, target("b", "in_service", 1), target("b", "terminating", 1)),
		"older version": list(4, false, target("b", "in_service", 1)),
		"cut short":     list(6, true, target("b", "in_service", 1))[:40],
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, "%s\n%s\n", valid, body)
			}))
			defer s.Close()
			delivered := make(chan logic.ListKind, 10)
			client := New(s.Listener.Addr().String(), List{}, func(kind logic.ListKind, _ []core.Backend) { delivered <- kind }, slog.New(slog.DiscardHandler))
			client.Subscribe()
			for _, want := range []logic.ListKind{logic.ListFull, logic.ListFailed} {
				select {
				case got := <-delivered:
					assert.Equal(t, want, got)
				case <-time.After(20 * time.Second):
					require.Fail(t, "no delivery")
				}
			}
			assert.Equal(t, int64(5), client.Revision())
		})
	}
}
