package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/dataplane/dispatch"
)

// While a stream runs its zone is evacuated: the stream goes on to its end, and nothing new is sent
// to the server until the zone is taken back.
func TestStreamGoesOnWhileItsZoneIsEvacuated(t *testing.T) {
	var requestCount atomic.Int64
	streaming, evacuated := make(chan struct{}), make(chan struct{})
	proceed := sync.OnceFunc(func() { close(evacuated) })
	defer proceed() // the server must not wait if the test has failed
	r := newTestGateway(t, true, func(w http.ResponseWriter, request *http.Request) {
		if requestCount.Add(1) > 1 {
			w.Write([]byte("later"))
			return
		}
		w.Header().Set("Content-Type", dispatch.StreamType)
		writeEvent(w, 1, "e1")
		close(streaming)
		<-evacuated
		writeEvent(w, 2, "e2")
	})
	text := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(r.request(t, t.Context(), "POST", "/resumable/x", "input", turnHeaders...))
		if err != nil {
			text <- err.Error()
			return
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		text <- fmt.Sprint(string(body), err)
	}()
	<-streaming
	r.gateway.opt.Dispatcher.SetEvacuatedZones([]string{"z"})
	for range 3 {
		began := time.Now()
		response := r.do(t, "GET", "/reads/x", "", dispatch.AttemptHeader, "other")
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < answeredAtOnce)
	}
	assert.Equal(t, requestCount.Load(), int64(1))
	proceed()
	assert.Equal(t, <-text, eventsText("e1", "e2")+"<nil>")
	r.gateway.opt.Dispatcher.SetEvacuatedZones(nil)
	assert.Equal(t, r.do(t, "GET", "/reads/x", "", dispatch.AttemptHeader, "after").StatusCode, http.StatusOK)
}

// answeredAtOnce bounds an answer that waits for nothing; the route's timeout is 5 s.
const answeredAtOnce = 2 * time.Second

// A stream that breaks off in an evacuated zone must not be resumed at a server there.
func TestBrokenStreamIsNotResumedInAnEvacuatedZone(t *testing.T) {
	var requestCount atomic.Int64
	streaming, evacuated := make(chan struct{}), make(chan struct{})
	proceed := sync.OnceFunc(func() { close(evacuated) })
	defer proceed() // the server must not wait if the test has failed
	r := newTestGateway(t, true, func(w http.ResponseWriter, request *http.Request) {
		if requestCount.Add(1) == 1 {
			w.Header().Set("Content-Type", dispatch.StreamType)
			writeEvent(w, 1, "e1")
			close(streaming)
			<-evacuated
		}
		panic(http.ErrAbortHandler)
	})
	ended := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(r.request(t, t.Context(), "POST", "/resumable/x", "input", turnHeaders...))
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		ended <- err
	}()
	<-streaming
	r.gateway.opt.Dispatcher.SetEvacuatedZones([]string{"z"})
	proceed()
	assert.Assert(t, <-ended != nil, "the stream cannot be complete")
	assert.Equal(t, requestCount.Load(), int64(1))
}

// eventsText returns events numbered from 1 as writeEvent writes them.
func eventsText(data ...string) (text string) {
	for i, d := range data {
		text += fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, d)
	}
	return text
}
