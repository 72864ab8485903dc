package tier

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	audit "oakseam/internal/audit/tier"
)

// readList reads all pages of a platform's list.
func readList(t *testing.T, p *Platform) (ids []string, pages int) {
	t.Helper()
	for token := ""; ; {
		response, err := http.Get("http://" + p.Address + "/members?pageToken=" + token)
		assert.NilError(t, err)
		var one page
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&one))
		response.Body.Close()
		pages++
		for _, m := range one.Members {
			ids = append(ids, m.MemberID+" "+m.MemberState)
		}
		if one.NextToken == nil {
			return ids, pages
		}
		token = *one.NextToken
	}
}

func TestPlatformServesPagesAndDelaysChanges(t *testing.T) {
	listed := make(chan Member, 10)
	p, err := NewPlatform("127.0.0.1", 10*time.Millisecond, func(m Member) { listed <- m })
	assert.NilError(t, err)
	defer p.Close()
	for n := range pageSize + 1 {
		p.Put(Member{MemberID: fmt.Sprint("m", n), MemberState: InService})
		<-listed
	}
	ids, pages := readList(t, p)
	assert.DeepEqual(t, ids, []string{"m0 in_service", "m1 in_service", "m2 in_service", "m3 in_service"})
	assert.Equal(t, pages, 2)
	p.Put(Member{MemberID: "m1", MemberState: Draining})
	assert.Equal(t, (<-listed).MemberState, Draining)
	p.Remove(Member{MemberID: "m0"})
	p.Put(Member{MemberID: "m9", MemberState: InService})
	<-listed
	ids, _ = readList(t, p)
	assert.DeepEqual(t, ids, []string{"m1 draining", "m2 in_service", "m3 in_service", "m9 in_service"})
	assert.Equal(t, p.PagesServed(), 4)
	p.PutCold("m9", time.Now().Add(time.Minute))
	p.Put(Member{MemberID: "m8"})
	for listed := range listed {
		if listed.MemberID == "m8" {
			break
		}
	}
	response, err := http.Get("http://" + p.Address + "/members?pageToken=3")
	assert.NilError(t, err)
	defer response.Body.Close()
	var last page
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&last))
	assert.Check(t, last.Members[0].WarmupLeftMs > 50000 && last.Members[1].WarmupLeftMs == 0)
}

// startServer starts a server and returns it with its recorder.
func startServer(t *testing.T, o ServerOptions) (*Server, *audit.Recorder) {
	t.Helper()
	o.Recorder, o.Listen = audit.NewRecorder(), "127.0.0.1:0"
	o.Member.MemberID = "s1"
	s, err := NewServer(o)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s, o.Recorder
}

func sendRequest(t *testing.T, s *Server, method, target, body string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+s.Member.Address+"/x", strings.NewReader(body))
	assert.NilError(t, err)
	r.Header.Set(attemptHeader, "one")
	r.Header.Set(targetHeader, target)
	r.Header.Set(tokenCountHeader, "3,4")
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(text)
}

func TestToolServerRecordsRunsAndRejectsMisdirectedRequests(t *testing.T) {
	s, recorder := startServer(t, ServerOptions{Slots: 1})
	response, body := sendRequest(t, s, http.MethodPost, "s1", "abc")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get(attemptHeader), "one")
	assert.Equal(t, response.Header.Get(sealHeader), "s1/1")
	assert.Equal(t, response.Header.Get(loadHeader), "1,0,1")
	response, _ = sendRequest(t, s, http.MethodPost, "other", "abc")
	assert.Equal(t, response.StatusCode, http.StatusMisdirectedRequest)
	arrivals := recorder.History().Arrivals
	assert.Equal(t, len(arrivals), 2)
	assert.Equal(t, arrivals[0].Body, body)
	assert.Equal(t, arrivals[0].Input, "abc")
	assert.Check(t, arrivals[0].Whole && !arrivals[0].Misdirected)
	assert.Check(t, arrivals[1].Misdirected && arrivals[1].Seal == "")
}

func TestFullServerRejectsWithoutRunning(t *testing.T) {
	s, recorder := startServer(t, ServerOptions{})
	response, _ := sendRequest(t, s, http.MethodPost, "s1", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Check(t, response.Header.Get(notExecutedHeader) != "")
	assert.Equal(t, recorder.History().Arrivals[0].Seal, "")
}

func TestEngineRecordsTheEventsThatItStreams(t *testing.T) {
	s, recorder := startServer(t, ServerOptions{Slots: 1, Engine: true})
	response, body := sendRequest(t, s, http.MethodPost, "s1", "say")
	assert.Equal(t, response.Header.Get("Content-Type"), streamType)
	events, err := readEvents(strings.NewReader(body))
	assert.NilError(t, err)
	run := recorder.History().Arrivals[0]
	assert.Check(t, len(events) >= 3 && len(events) <= 4)
	assert.DeepEqual(t, events, run.Events)
	assert.Check(t, run.Whole)
}

func TestBrokenStreamReturnsEventsBeforeBreakAndError(t *testing.T) {
	brokenStream := io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), &failingReader{})
	events, err := readEvents(brokenStream)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.DeepEqual(t, events, []audit.Event{{ID: "1", Data: "a"}})
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// fakeCore answers an operator's calls with the statuses in order, and repeats the last one.
func fakeCore(t *testing.T, calls *[]string, statuses ...int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		*calls = append(*calls, fmt.Sprint(r.Method, " ", r.URL.Path, " ", r.Header.Get("Oakseam-Base-Revision"), " ", string(body)))
		w.WriteHeader(statuses[min(len(*calls), len(statuses))-1])
		io.WriteString(w, `{"memberState":"completed"}`)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestOperatorRepeatsCallsWithUnknownOutcome(t *testing.T) {
	var calls []string
	recorder := audit.NewRecorder()
	o := NewOperator([]string{fakeCore(t, &calls, 503, 503, 200)}, recorder)
	assert.NilError(t, o.ReplaceConfiguration(context.Background(), audit.Configuration{Revision: 8, Base: 7, Body: "x"}))
	assert.DeepEqual(t, calls, []string{"POST /api/Configuration.Replace 7 x", "POST /api/Configuration.Replace 7 x", "POST /api/Configuration.Replace 7 x"})
	c := recorder.History().Configurations[0]
	assert.Check(t, c.Acknowledged > c.Sent && !c.Refused && c.Tries == 3)
	assert.NilError(t, o.ReadBack(context.Background()))
	assert.Equal(t, recorder.History().Shown[0].Body, `{"memberState":"completed"}`)
	assert.NilError(t, o.Retire(context.Background(), "storage-1"))
	assert.Equal(t, calls[len(calls)-1], "GET /api/Retire.Show/storage-1  ")
}

func TestOperatorRepeatsEvacuationUntilAcknowledged(t *testing.T) {
	var calls []string
	recorder := audit.NewRecorder()
	o := NewOperator([]string{fakeCore(t, &calls, 408, 503, 200, 200, 404)}, recorder)
	assert.NilError(t, o.Evacuate(context.Background(), "zone-a", true))
	assert.NilError(t, o.Evacuate(context.Background(), "zone-a", false))
	begin, finish := "POST /api/Evacuate.Begin/zone-a  ", "POST /api/Evacuate.Finish/zone-a  "
	assert.DeepEqual(t, calls, []string{begin, begin, begin, finish})
	var rejected *RejectedError
	assert.Check(t, errors.As(o.Evacuate(context.Background(), "nowhere", true), &rejected))
	orders := recorder.History().Evacuations
	assert.Check(t, orders[0].Tries == 3 && orders[0].Evacuated && orders[0].Acknowledged > orders[0].Sent)
	assert.Check(t, !orders[1].Evacuated && orders[1].Acknowledged > 0)
	assert.Check(t, orders[2].Acknowledged == 0 && orders[2].Refused)
}

func TestOperatorStopsAtRejection(t *testing.T) {
	var calls []string
	recorder := audit.NewRecorder()
	o := NewOperator([]string{fakeCore(t, &calls, 412)}, recorder)
	err := o.ReplaceConfiguration(context.Background(), audit.Configuration{Revision: 8})
	var rejected *RejectedError
	assert.Check(t, errors.As(err, &rejected))
	assert.Equal(t, rejected.Status, 412)
	assert.Check(t, recorder.History().Configurations[0].Refused)
	assert.Check(t, errors.As(o.Retire(context.Background(), "x"), &rejected))
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	assert.ErrorIs(t, NewOperator([]string{"127.0.0.1:1"}, recorder).ReplaceConfiguration(ended, audit.Configuration{}), ErrUndecided)
}
