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

	"oakseam/internal/core"
	"oakseam/logic"
)

// Each Fetch must be answered by one list, whether it succeeds or fails.
func TestFetch(t *testing.T) {
	for _, tt := range []struct {
		name     string
		body     string
		status   int
		want     logic.ListKind
		backends int
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
		delivered := make(chan string, 10)
		client := New(s.Listener.Addr().String(), List{}, func(kind logic.ListKind, backends []core.Backend) { delivered <- fmt.Sprint(kind, len(backends)) }, slog.New(slog.DiscardHandler))
		for range 2 {
			client.Fetch()
			select {
			case got := <-delivered:
				assert.Equal(t, fmt.Sprint(tt.want, tt.backends), got, tt.name)
			case <-time.After(20 * time.Second):
				t.Fatal("a Fetch got no list")
			}
		}
		s.Close()
		assert.Empty(t, delivered, tt.name)
	}
}

// A backend's start in Unix time must reach the module unchanged, since that is its clock too.
// 0 stays 0, which means long ago.
func TestListBackends(t *testing.T) {
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

// A second Subscribe replaces a first one without a reply. Both must be answered.
func TestEachSubscribeIsAnswered(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NoError(t, err)
	defer l.Close()
	delivered := make(chan logic.ListKind, 10)
	client := New(l.Addr().String(), List{}, func(kind logic.ListKind, _ []core.Backend) { delivered <- kind }, slog.New(slog.DiscardHandler))
	client.Subscribe()
	first, err := l.Accept() // the first call is in flight
	assert.NoError(t, err)
	defer first.Close()
	client.Subscribe()
	assert.Equal(t, logic.ListFailed, <-delivered)
	second, err := l.Accept()
	assert.NoError(t, err)
	defer second.Close()
	const line = "{\"rev\":2,\"all\":true,\"targets\":[]}\n"
	fmt.Fprintf(second, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(line), line)
	assert.Equal(t, logic.ListFull, <-delivered)
	assert.Empty(t, delivered)
}
