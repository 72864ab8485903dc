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

	"pipitmux/internal/anemometer/dispatch"
	"pipitmux/internal/anemometer/turnclient"
	"pipitmux/internal/station/protocol"
)

const eventsInAll = 5

// eventText is one event as servers send it.
func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", id, id) }

// breaking serves a stream from the event behind Last-Event-Id on. The first few answers break
// off after so many bytes of it.
func breaking(breaks int, after int) (http.HandlerFunc, *atomic.Int64) {
	var asked atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		n := asked.Add(1)
		from, _ := strconv.Atoi(r.Header.Get(dispatch.LastEventHeader))
		var text strings.Builder
		for id := from + 1; id <= eventsInAll; id++ {
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
	}, &asked
}

func wholeStream() (text string) {
	for id := range eventsInAll {
		text += eventText(id + 1)
	}
	return text
}

// A stream that may be taken up again is whole for its client wherever its server broke off:
// no event is missing or comes twice, and the head stays the first server's.
func TestBrokenStreamGoesOnAtAnotherServer(t *testing.T) {
	for after := range len(wholeStream()) + 1 {
		serve, asked := breaking(1, after)
		r := newRig(t, true, serve)
		response := r.ask(t, "POST", "/resumable/x", "input", turnHeaders...)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), wholeStream(), "broken after %d bytes", after)
		assert.Equal(t, response.Header.Get("Oakseam-Server-Seal"), "seal-1")
		assert.Equal(t, asked.Load(), int64(2))
		r.mu.Lock()
		assert.Equal(t, r.seen[1].Header.Get(dispatch.AttemptHeader), "a1", "the client's try")
		assert.Equal(t, r.body[1], "input")
		r.mu.Unlock()
		end := <-r.turns.ends
		assert.Equal(t, end.Tokens, uint64(2*eventsInAll), "each event is counted once")
		select {
		case <-r.turns.ends:
			t.Fatal("the turn ended twice")
		default:
		}
	}
}

// No try goes to more servers than its route says: then the answer breaks off, behind a whole event.
func TestResumptionsKeepToTheRetryLimit(t *testing.T) {
	serve, asked := breaking(99, len(eventText(1))+3)
	r := newRig(t, true, serve)
	response := r.ask(t, "POST", "/resumable/x", "input", turnHeaders...)
	text, err := io.ReadAll(response.Body)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(text), eventText(1)+eventText(2))
	assert.Equal(t, asked.Load(), int64(2))
	assert.Equal(t, (<-r.turns.ends).Tokens, uint64(4))
}

// A stream that may not be taken up again runs once, wherever it breaks.
func TestOtherStreamsAreNotTakenUp(t *testing.T) {
	for _, after := range []int{0, 3, len(wholeStream())} {
		serve, asked := breaking(1, after)
		r := newRig(t, true, serve)
		response := r.ask(t, "POST", "/turns/x", "input", turnHeaders...)
		_, err := io.ReadAll(response.Body)
		assert.Equal(t, err, io.ErrUnexpectedEOF)
		assert.Equal(t, asked.Load(), int64(1))
		<-r.turns.ends
	}
}

// A client that lost its connection names the last event that it has; the server goes on there.
func TestClientsOwnResumptionIsHandedOn(t *testing.T) {
	for id, want := range map[string]string{"3": eventText(4) + eventText(5), "5": ""} {
		serve, _ := breaking(0, 0)
		r := newRig(t, true, serve)
		response := r.ask(t, "POST", "/resumable/x", "input", append([]string{dispatch.LastEventHeader, id}, turnHeaders...)...)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(text), want)
	}
}

// A resumption that breaks before its first event goes on from where the client's began.
func TestClientsOwnResumptionThatBreaksBeforeAnEvent(t *testing.T) {
	serve, _ := breaking(1, 0)
	r := newRig(t, true, serve)
	response := r.ask(t, "POST", "/resumable/x", "input", append([]string{dispatch.LastEventHeader, "3"}, turnHeaders...)...)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), eventText(4)+eventText(5))
}

// A turn of a resumed stream that can't be settled doesn't look whole.
func TestResumedTurnThatCannotBeKeptDoesNotLookWhole(t *testing.T) {
	serve, _ := breaking(1, 3)
	r := newRig(t, true, serve)
	r.turns.finish = func(protocol.FinishArgs) (protocol.TurnOutcome, error) { return 0, turnclient.ErrUnavailable }
	response := r.ask(t, "POST", "/resumable/x", "input", turnHeaders...)
	_, err := io.ReadAll(response.Body)
	assert.Equal(t, err, io.ErrUnexpectedEOF)
	<-r.turns.ends
	<-r.turns.ends
}

// A route that allows more servers has a stream go on more than once.
func TestStreamGoesOnAsOftenAsItsRouteAllows(t *testing.T) {
	serve, asked := breaking(2, len(eventText(1))+3)
	r := newRig(t, true, serve)
	response := r.ask(t, "POST", "/often/x", "input", turnHeaders...)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), wholeStream())
	assert.Equal(t, asked.Load(), int64(3))
}
