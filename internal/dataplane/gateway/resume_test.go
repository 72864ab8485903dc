package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/dataplane/dispatch"
	"oakseam/internal/dataplane/turnclient"
	"oakseam/internal/tier/protocol"
)

const eventCount = 5

// eventText returns one event as servers send it.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// breakingServer streams the events after Last-Event-Id. Its first `breaks` responses break off
// after `after` bytes. It also returns the number of requests so far.
func breakingServer(breaks int, after int) (http.HandlerFunc, *atomic.Int64) {
	var requestCount atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		n := requestCount.Add(1)
		from, _ := strconv.Atoi(r.Header.Get(dispatch.LastEventHeader))
		var text strings.Builder
		for id := from + 1; id <= eventCount; id++ {
			text.WriteString(eventText(id))
		}
		w.Header().Set("Content-Type", dispatch.StreamType)
		w.Header().Set("Oakseam-Server-Seal", fmt.Sprint("seal-", n))
		control := http.NewResponseController(w)
		control.Flush()
		if n > int64(breaks) {
			io.WriteString(w, text.String())
			return
		}
		io.WriteString(w, text.String()[:min(after, text.Len())])
		control.Flush()
		panic(http.ErrAbortHandler)
	}, &requestCount
}

func completeStream() (text string) {
	for id := range eventCount {
		text += eventText(id + 1)
	}
	return text
}

// Wherever its server breaks off, a resumable stream must be complete for the client: no event is
// missing or repeated, and the headers stay those of the first server.
func TestBrokenStreamResumesAtAnotherServer(t *testing.T) {
	for after := range len(completeStream()) + 1 {
		serve, requestCount := breakingServer(1, after)
		r := newTestGateway(t, true, serve)
		response := r.do(t, "POST", "/resumable/x", "input", turnHeaders...)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), completeStream(), "broken after %d bytes", after)
		assert.Equal(t, response.Header.Get("Oakseam-Server-Seal"), "seal-1")
		assert.Equal(t, requestCount.Load(), int64(2))
		r.mu.Lock()
		assert.Equal(t, r.requests[1].Header.Get(dispatch.AttemptHeader), "a1", "servers must see the client's attempt id")
		assert.Equal(t, r.bodies[1], "input")
		r.mu.Unlock()
		end := <-r.turns.finishCalls
		assert.Equal(t, end.Tokens, uint64(2*eventCount), "each event must be counted once")
		select {
		case <-r.turns.finishCalls:
			t.Fatal("the turn ended twice")
		default:
		}
	}
}

// An attempt must not go to more servers than its route allows. After that the response breaks
// off, after a whole event.
func TestResumptionsRespectTheRetryLimit(t *testing.T) {
	serve, requestCount := breakingServer(99, len(eventText(1))+3)
	r := newTestGateway(t, true, serve)
	response := r.do(t, "POST", "/resumable/x", "input", turnHeaders...)
	text, err := io.ReadAll(response.Body)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(text), eventText(1)+eventText(2))
	assert.Equal(t, requestCount.Load(), int64(2))
	assert.Equal(t, (<-r.turns.finishCalls).Tokens, uint64(4))
}

// A stream whose route does not allow resumption must run once, wherever it breaks.
func TestStreamWithoutSessionResumeIsNotResumed(t *testing.T) {
	for _, after := range []int{0, 3, len(completeStream())} {
		serve, requestCount := breakingServer(1, after)
		r := newTestGateway(t, true, serve)
		response := r.do(t, "POST", "/turns/x", "input", turnHeaders...)
		_, err := io.ReadAll(response.Body)
		assert.Equal(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, requestCount.Load(), int64(1))
		<-r.turns.finishCalls
	}
}

// A client that lost its connection names the last event that it received; the server must
// continue after it.
func TestClientResumptionIsForwarded(t *testing.T) {
	for id, want := range map[string]string{"3": eventText(4) + eventText(5), "5": ""} {
		serve, _ := breakingServer(0, 0)
		r := newTestGateway(t, true, serve)
		response := r.do(t, "POST", "/resumable/x", "input", append([]string{dispatch.LastEventHeader, id}, turnHeaders...)...)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), want)
	}
}

// If a client's resumption breaks before its first event, the next server must continue from the
// event that the client named.
func TestClientResumptionThatBreaksBeforeFirstEvent(t *testing.T) {
	serve, _ := breakingServer(1, 0)
	r := newTestGateway(t, true, serve)
	response := r.do(t, "POST", "/resumable/x", "input", append([]string{dispatch.LastEventHeader, "3"}, turnHeaders...)...)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), eventText(4)+eventText(5))
}

// A resumed turn that cannot be stored must break off instead of ending normally.
func TestResumedTurnThatCannotBeStoredBreaksOff(t *testing.T) {
	serve, _ := breakingServer(1, 3)
	r := newTestGateway(t, true, serve)
	r.turns.finish = func(protocol.FinishArgs) (protocol.TurnOutcome, error) { return 0, turnclient.ErrUnavailable }
	response := r.do(t, "POST", "/resumable/x", "input", turnHeaders...)
	_, err := io.ReadAll(response.Body)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	<-r.turns.finishCalls
	<-r.turns.finishCalls
}

// A stream must resume more than once if its route allows more servers.
func TestStreamResumesAsOftenAsItsRouteAllows(t *testing.T) {
	serve, requestCount := breakingServer(2, len(eventText(1))+3)
	r := newTestGateway(t, true, serve)
	response := r.do(t, "POST", "/often/x", "input", turnHeaders...)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), completeStream())
	assert.Equal(t, requestCount.Load(), int64(3))
}
