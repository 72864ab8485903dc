package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/tier/protocol"
)

// serve starts a server with a handler and returns a Client for it.
func serve(t *testing.T, handle http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return New(strings.TrimPrefix(server.URL, "http://"))
}

// servePages serves pages by their tokens. The token of the first page is "".
func servePages(t *testing.T, bodies map[string]string) *Client {
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		body, known := bodies[r.URL.Query().Get("pageToken")]
		if r.URL.Path != "/members" || r.Method != http.MethodGet || !known {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		fmt.Fprint(w, body)
	})
}

func TestListReadsAllPages(t *testing.T) {
	client := servePages(t, map[string]string{
		"": `{"members":[
			{"memberId":"b","poolName":"p","address":"h:2","zone":"z1","capacity":4,"memberState":"ready"},
			{"memberId":"x","poolName":"q","address":"h:9","capacity":1,"memberState":"draining","warmupLeftMs":1500.5}],
			"nextToken":"more & more"}`,
		"more & more": `{"members":[{"memberId":"a","poolName":"p","address":"h:1","capacity":2}],"nextToken":null}`,
	})
	lists, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, lists, map[string][]protocol.Server{
		"p": {{ID: "a", Address: "h:1", Capacity: 2}, {ID: "b", Address: "h:2", Zone: "z1", Capacity: 4}},
		"q": {{ID: "x", Address: "h:9", Capacity: 1, Draining: true, Warmup: 1500500 * time.Microsecond}},
	})
}

func TestListEndsAtEmptyToken(t *testing.T) {
	client := servePages(t, map[string]string{"": `{"members":[],"nextToken":""}`})
	lists, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(lists), 0)
}

func TestListSkipsServersWithoutIDOrAddress(t *testing.T) {
	client := servePages(t, map[string]string{"": `{"members":[{"poolName":"p","address":"h:1"},{"memberId":"a","poolName":"p"}]}`})
	lists, err := client.List(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(lists["p"]), 0)
}

// A failed page must fail the whole listing, because a partial list would remove servers.
func TestListFailsIfOnePageFails(t *testing.T) {
	client := servePages(t, map[string]string{"": `{"members":[{"memberId":"a","poolName":"p","address":"h:1"}],"nextToken":"lost"}`})
	lists, err := client.List(t.Context())
	var status *StatusError
	assert.Assert(t, lists == nil)
	assert.Assert(t, errors.As(err, &status), "%v", err)
	assert.Equal(t, status.Status, http.StatusNotFound)
}

func TestEndlessListingFails(t *testing.T) {
	calls := 0
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		calls++
		fmt.Fprint(w, `{"members":[],"nextToken":"again"}`)
	})
	_, err := client.List(t.Context())
	assert.ErrorIs(t, err, ErrTooManyPages)
	assert.Equal(t, calls, maxPages)
}

func TestListRejectsInvalidPages(t *testing.T) {
	for name, body := range map[string]string{
		"no JSON":   `members`,
		"cut short": `{"members":[{"memberId":"a"`,
		"too long":  `{"members":[{"memberId":"` + strings.Repeat("a", maxPageBytes) + `"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			client := servePages(t, map[string]string{"": body})
			_, err := client.List(t.Context())
			assert.ErrorContains(t, err, "read page")
		})
	}
}

func TestListIsCanceledByContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	client := serve(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	_, err := client.List(ctx)
	assert.ErrorIs(t, err, context.Canceled)
}

func TestListFailsIfPlatformIsUnreachable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := New(address).List(t.Context())
	assert.ErrorContains(t, err, "list servers")
}
