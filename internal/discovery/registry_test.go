package discovery

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pipitmux/internal/core"
	"pipitmux/logic"
)

// Each Fetch, however it goes, is answered by one list.
func TestFetch(t *testing.T) {
	for _, tt := range []struct {
		name, body string
		status     int
		want       logic.ListKind
		entries    int
	}{
		{"list", `{"rev":3,"all":true,"targets":[{"uid":"a","endpoint":"h:1","state":"in_service","boot_ms":5}]}`, 200, logic.ListFull, 1},
		{"empty list", `{"rev":3,"all":true,"targets":[]}`, 200, logic.ListFull, 0},
		{"overloaded", "", 503, logic.ListFailed, 0},
		{"cut short", `{"rev":3,"targets":[`, 200, logic.ListFailed, 0},
		{"no uid", `{"targets":[{"endpoint":"h:1","state":"in_service"}]}`, 200, logic.ListFailed, 0},
		{"no port", `{"targets":[{"uid":"a","endpoint":"h","state":"in_service"}]}`, 200, logic.ListFailed, 0},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			assert.Equal(t, "/v1/endpoints", r.URL.String())
			w.WriteHeader(tt.status)
			io.WriteString(w, tt.body)
		}))
		told := make(chan string, 10)
		registry := New(s.Listener.Addr().String(), List{}, func(k logic.ListKind, e []core.Backend) { told <- fmt.Sprint(k, len(e)) }, slog.New(slog.DiscardHandler))
		for range 2 {
			registry.Fetch()
			select {
			case got := <-told:
				assert.Equal(t, fmt.Sprint(tt.want, tt.entries), got, tt.name)
			case <-time.After(20 * time.Second):
				t.Fatal("a Fetch without an answer")
			}
		}
		s.Close()
		assert.Empty(t, told, tt.name)
	}
}

// A start in Unix time is the module's own clock, 0 stays "long ago".
func TestEntries(t *testing.T) {
	l := List{Targets: []Target{
		{UID: "a", Endpoint: "h:1", State: "in_service", BootMS: 1700000000123, Capacity: 2, Zone: "z", Model: "k", PodGroup: 3},
		{UID: "b", State: "terminated"},
	}}
	got, err := l.Backends()
	assert.NoError(t, err)
	assert.Equal(t, []core.Backend{
		{Endpoint: "h:1", Server: logic.Server{ID: "a", Capacity: 2, State: logic.Serving, Zone: "z", Kind: "k", Cell: 3,
			StartedAt: time.UnixMilli(1700000000123).Sub(time.Unix(0, 0))}},
		{Server: logic.Server{ID: "b", State: logic.Gone}},
	}, got)
}

// A second Subscribe replaces a first that has had no answer: both get theirs.
func TestEachSubscribeIsAnswered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer l.Close()
	told := make(chan logic.ListKind, 10)
	registry := New(l.Addr().String(), List{}, func(k logic.ListKind, _ []core.Backend) { told <- k }, slog.New(slog.DiscardHandler))
	registry.Subscribe()
	first, err := l.Accept() // the first call is out
	assert.NoError(t, err)
	defer first.Close()
	registry.Subscribe()
	assert.Equal(t, logic.ListFailed, <-told)
	second, err := l.Accept()
	assert.NoError(t, err)
	defer second.Close()
	const line = "{\"rev\":2,\"all\":true,\"targets\":[]}\n"
	fmt.Fprintf(second, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
	assert.Equal(t, logic.ListFull, <-told)
	assert.Empty(t, told)
}
