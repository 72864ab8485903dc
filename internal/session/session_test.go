package session

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/message"
	"oakseam/internal/metrics"
	"oakseam/logic"
)

// fakeLoop accepts requests; the test answers them.
type fakeLoop chan core.Request

func (l fakeLoop) Submit(r core.Request) error       { l <- r; return nil }
func (l fakeLoop) BodyComplete(string, core.Session) {}
func (l fakeLoop) ClientGone(string, core.Session)   {}
func (l fakeLoop) Ready() bool                       { return true }

// Requests beyond the limit of open requests are rejected. Silent sessions at the limit of
// sessions must not cause rejections.
func TestSilentSessionsRejectNoRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	loop := make(fakeLoop, 10)
	frontend := New(Options{Classes: []logic.Class{{Name: "topup", Effect: logic.Unsafe, Deadline: time.Minute}},
		RetryAfter: 2500 * time.Millisecond, MaxSessions: 1, MaxRequests: 2, BodyTimeout: time.Minute, Metrics: metrics.New(nil), Budget: message.NewBudget(1 << 20)}, listener, loop, counters.New())
	go frontend.Serve()
	defer frontend.Close()
	for range 4 {
		c, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	responses := make(chan *http.Response, 3)
	ask := func(id string) {
		r, err := http.NewRequest("POST", "http://"+listener.Addr().String()+"/api", strings.NewReader(""))
		assert.NoError(t, err)
		r.Header.Set("X-Correlation-Id", id)
		r.Header.Set("X-Service-Class", "topup")
		r.Header.Set("X-Account", "of "+id)
		res, err := (&http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}).Do(r)
		assert.NoError(t, err)
		responses <- res
	}
	go ask("a")
	go ask("b")
	first, second := <-loop, <-loop // both are open, though there are more sessions than the limit of one
	go ask("c")
	res := <-responses
	require.NotNil(t, res)
	assert.Equal(t, 503, res.StatusCode)
	assert.Equal(t, "2.5", res.Header.Get("Retry-After"))
	for _, r := range []core.Request{first, second} {
		assert.Equal(t, "of "+r.ID, r.Tenant)
		r.Session.Answer(core.Answer{Kind: core.Failed})
		res = <-responses
		require.NotNil(t, res)
		assert.Equal(t, 502, res.StatusCode)
	}
	go ask("d")
	last := <-loop
	assert.Equal(t, "d", last.ID, "answered requests make room")
	last.Session.Answer(core.Answer{Kind: core.Failed})
	<-responses
}
