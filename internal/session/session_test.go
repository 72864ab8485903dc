package session

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/figures"
	"pipitmux/internal/message"
	"pipitmux/logic"
)

// owner takes requests and answers none until it is told to.
type owner chan core.Request

func (o owner) Submit(r core.Request) error       { o <- r; return nil }
func (o owner) BodyComplete(string, core.Session) {}
func (o owner) ClientGone(string, core.Session)   {}
func (o owner) Ready() bool                       { return true }

// Open requests are held to their limit by a refusal; sessions that ask
// nothing, at the limit of sessions, turn no request away.
func TestOpenRequestsAreLimitedNotSilentSessions(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	o := make(owner, 10)
	f := New(Options{Classes: []logic.Class{{Name: "topup", Effect: logic.Unsafe, Deadline: time.Minute}},
		RetryAfter: 2500 * time.Millisecond, MaxSessions: 1, MaxRequests: 2, BodyTimeout: time.Minute, Figures: figures.New(nil), Budget: message.NewBudget(1 << 20)}, l, o, counters.New())
	go f.Serve()
	defer f.Close()
	for range 4 {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer c.Close()
	}
	statuses := make(chan *http.Response, 3)
	ask := func(id string) {
		r, err := http.NewRequest("POST", "http://"+l.Addr().String()+"/api", strings.NewReader(""))
		assert.NoError(t, err)
		r.Header.Set("X-Correlation-Id", id)
		r.Header.Set("X-Service-Class", "topup")
		r.Header.Set("X-Account", "of "+id)
		res, err := (&http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}).Do(r)
		assert.NoError(t, err)
		statuses <- res
	}
	go ask("a")
	go ask("b")
	first, second := <-o, <-o // both are open, though five sessions are over the limit of one
	go ask("c")
	res := <-statuses
	require.NotNil(t, res)
	assert.Equal(t, 503, res.StatusCode)
	assert.Equal(t, "2.5", res.Header.Get("Retry-After"))
	for _, r := range []core.Request{first, second} {
		assert.Equal(t, "of "+r.ID, r.Tenant)
		r.Session.Answer(core.Answer{Kind: core.Failed})
		res = <-statuses
		require.NotNil(t, res)
		assert.Equal(t, 502, res.StatusCode)
	}
	go ask("d")
	last := <-o
	assert.Equal(t, "d", last.ID, "answers make room")
	last.Session.Answer(core.Answer{Kind: core.Failed})
	<-statuses
}
