package adminapi

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEvacuationOrders(t *testing.T) {
	cases := []struct {
		outcome EvacuateOutcome
		status  int
		body    string
	}{
		{EvacuateAccepted, 200, `{}`},
		{EvacuateUnknownZone, 404, `{"errorMessage":"unknown zone"}`},
		{EvacuateUncertain, 503, `{"errorMessage":"cannot be decided now"}`},
		{99, 503, `{"errorMessage":"cannot be decided now"}`},
	}
	for path, evacuated := range map[string]bool{"/api/Evacuate.Begin/zone%20a": true, "/api/Evacuate.Finish/zone%20a": false} {
		for _, c := range cases {
			var got EvacuationOrder
			authority := &fakeAuthority{evacuate: func(_ context.Context, order EvacuationOrder) EvacuateOutcome {
				got = order
				return c.outcome
			}}
			began := time.Now()
			status, body := dial(t, serve(t, Options{Authority: authority})).call("POST", path, "", "")
			assert.Equal(t, status, c.status, "%s %v", path, c.outcome)
			assert.Equal(t, body, c.body)
			assert.Equal(t, got.Zone, "zone a")
			assert.Equal(t, got.Evacuated, evacuated, path)
			assert.Assert(t, !got.Received.Before(began) && !got.Received.After(time.Now()))
		}
	}
}

// An operator that gave up may have sent the order, and the opposite one, to another node: its order
// must not be decided here any more.
func TestEvacuationEndsWhenTheCallerIsGone(t *testing.T) {
	for _, head := range []string{"Content-Length: 0\r\n\r\n", "\r\n", "Content-Length: 2\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		ended := make(chan error, 1)
		authority := &fakeAuthority{evacuate: func(ctx context.Context, _ EvacuationOrder) EvacuateOutcome {
			<-ctx.Done()
			ended <- ctx.Err()
			return EvacuateUncertain
		}}
		conn := dial(t, serve(t, Options{Authority: authority, DecisionTimeout: 2 * testTimeout}))
		conn.send("POST /api/Evacuate.Begin/z HTTP/1.1\r\nHost: o\r\n" + head)
		assert.NilError(t, conn.Close())
		select {
		case err := <-ended:
			assert.ErrorIs(t, err, context.Canceled, "%q", head)
		case <-time.After(testTimeout):
			t.Fatalf("%q: the decision goes on without its caller", head)
		}
	}
}

func TestEvacuationPathsAndMethods(t *testing.T) {
	conn := dial(t, serve(t, Options{Authority: new(fakeAuthority)}))
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"GET", "/api/Evacuate.Begin/z", 405},
		{"DELETE", "/api/Evacuate.Finish/z", 405},
		{"POST", "/api/Evacuate.Begin", 404},
		{"POST", "/api/Evacuate.Finish/", 404},
	} {
		status, _ := conn.call(c.method, c.path, "", "")
		assert.Equal(t, status, c.status, "%s %s", c.method, c.path)
	}
}

func TestEvacuateOutcomesHaveNames(t *testing.T) {
	assert.Equal(t, fmt.Sprint(EvacuateUncertain, EvacuateAccepted, EvacuateUnknownZone, EvacuateOutcome(9)), "uncertain accepted unknown zone uncertain")
}
