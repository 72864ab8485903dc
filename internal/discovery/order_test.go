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

	"pipitmux/internal/core"
	"pipitmux/logic"
)

// view is what a node holds after all that it was told.
type view map[logic.ServerID]logic.ServerState

func (v view) take(kind logic.ListKind, entries []core.Backend) {
	if kind == logic.ListFull {
		clear(v)
	}
	for _, e := range entries {
		if v[e.ID] = e.State; e.State == logic.Gone {
			delete(v, e.ID)
		}
	}
}

func list(rev int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

func entry(uid, state string, boot int) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"h:1","state":%q,"boot_ms":%d}`, uid, state, boot)
}

// What a newer list has ended no older one brings back, on whichever way it comes: in an
// answer, on a watch that begins anew, after the list that the process began with. In all
// else an older list is heeded, for a registry may number its lists from below again.
func TestOlderListsBringNothingBack(t *testing.T) {
	const up, drains, gone = "in_service", "terminating", "terminated"
	drained := list(5, true, entry("a", drains, 1), entry("b", up, 1))
	for name, tt := range map[string]struct {
		known string
		lists []string // each the answer to a call of its own
		want  view
	}{
		"a drain":                 {"", []string{drained, list(4, true, entry("a", up, 1), entry("b", up, 1))}, view{"a": logic.Draining, "b": logic.Serving}},
		"known at the start":      {drained, []string{list(4, true, entry("a", up, 1), entry("b", up, 1))}, view{"a": logic.Draining, "b": logic.Serving}},
		"changes":                 {"", []string{drained, list(4, false, entry("a", up, 1))}, view{"a": logic.Draining, "b": logic.Serving}},
		"an end":                  {"", []string{drained, list(6, false, entry("a", gone, 0)), list(4, true, entry("a", drains, 1), entry("b", up, 1))}, view{"b": logic.Serving}},
		"missing in a whole list": {"", []string{drained, list(6, true, entry("b", up, 1)), list(4, true, entry("a", up, 1), entry("b", up, 1))}, view{"b": logic.Serving}},
		"through a third list":    {"", []string{drained, list(3, true, entry("a", up, 1)), list(4, true, entry("a", up, 1))}, view{"a": logic.Draining}},
		"a newer list does":       {"", []string{drained, list(6, true, entry("a", up, 1))}, view{"a": logic.Serving}},
		"a new process is new":    {"", []string{drained, list(4, true, entry("a", up, 2))}, view{"a": logic.Serving}},
		"numbered from below": {"", []string{drained, list(1, true, entry("a", drains, 1), entry("c", up, 1)), list(2, false, entry("c", drains, 1))},
			view{"a": logic.Draining, "c": logic.Draining}},
	} {
		for _, way := range []string{"fetch", "watch"} {
			if way == "fetch" && strings.Contains(fmt.Sprint(tt.lists), `"all":false`) {
				continue // an answer is a whole list
			}
			t.Run(name+" by "+way, func(t *testing.T) {
				var call atomic.Int64
				s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					fmt.Fprintln(w, tt.lists[min(int(call.Add(1)), len(tt.lists))-1])
				}))
				defer s.Close()
				known := List{}
				have := view{}
				if tt.known != "" {
					known = List{Revision: 5, Full: true, Targets: []Target{{UID: "a", Endpoint: "h:1", State: drains, BootMS: 1}, {UID: "b", Endpoint: "h:1", State: up, BootMS: 1}}}
				}
				told := make(chan func(), 10)
				registry := New(s.Listener.Addr().String(), known, func(k logic.ListKind, e []core.Backend) {
					told <- func() {
						if k != logic.ListFailed {
							have.take(k, e)
						}
					}
				}, slog.New(slog.DiscardHandler))
				next := func() {
					select {
					case f := <-told:
						f()
					case <-time.After(20 * time.Second):
						require.Fail(t, "not told")
					}
				}
				for range tt.lists {
					if way == "fetch" {
						registry.Fetch()
					} else {
						registry.Subscribe()
						next() // its list, and then its end
					}
					next()
				}
				assert.Equal(t, tt.want, have)
			})
		}
	}
}

// A list that contradicts itself, or a watch that goes back, is a failed call; the last sound
// list stays.
func TestContradictions(t *testing.T) {
	sound := list(5, true, entry("a", "in_service", 1))
	for name, body := range map[string]string{
		"two states":   list(6, true, entry("b", "in_service", 1), entry("b", "terminating", 1)),
		"back in time": list(4, false, entry("b", "in_service", 1)),
		"cut":          list(6, true, entry("b", "in_service", 1))[:40],
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprintf(w, "%s\n%s\n", sound, body)
			}))
			defer s.Close()
			told := make(chan logic.ListKind, 10)
			registry := New(s.Listener.Addr().String(), List{}, func(k logic.ListKind, _ []core.Backend) { told <- k }, slog.New(slog.DiscardHandler))
			registry.Subscribe()
			for _, want := range []logic.ListKind{logic.ListFull, logic.ListFailed} {
				select {
				case got := <-told:
					assert.Equal(t, want, got)
				case <-time.After(20 * time.Second):
					require.Fail(t, "not told")
				}
			}
			assert.Equal(t, int64(5), registry.Revision())
		})
	}
}
