package gateway

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/dataplane/dispatch"
	"oakseam/internal/dataplane/turnclient"
	"oakseam/internal/tier/protocol"
)

// leaderlessTurns finds no leader for any turn.
type leaderlessTurns struct{ *fakeTurns }

// Admit implements Turns.
func (leaderlessTurns) Admit(ctx context.Context, _ protocol.AdmitArgs) (protocol.AdmitReply, error) {
	<-ctx.Done()
	return protocol.AdmitReply{}, turnclient.ErrUnavailable
}

// A client of a zone that is cut off must leave: its connection would hold it at nodes that reach no
// leader, and a turn that waits there fails.
func TestClientOfIsolatedZoneIsSentElsewhere(t *testing.T) {
	r := newTestGateway(t, true, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
	r.gateway.opt.Turns = leaderlessTurns{r.turns}
	r.gateway.opt.Isolated = func() bool { return true }
	started := time.Now()
	turn := r.do(t, "POST", "/turns/x", "input", turnHeaders...)
	assert.Equal(t, turn.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, turn.Header.Get("Retry-After") != "")
	assert.Assert(t, turn.Close, "the connection stays open")
	assert.Assert(t, time.Since(started) < answerSlack)
	call := r.do(t, "GET", "/reads/x", "", dispatch.AttemptHeader, "a2")
	assert.Equal(t, call.StatusCode, http.StatusOK, "its own servers are in reach")
	assert.Assert(t, call.Close, "the connection stays open")
}
