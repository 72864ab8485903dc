package adminapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

func TestReplaceOutcomes(t *testing.T) {
	cases := []struct {
		outcome ReplaceOutcome
		status  int
		body    string
	}{
		{ReplaceOutcome{Result: ReplaceAccepted}, 200, `{}`},
		{ReplaceOutcome{Result: ReplaceConflict}, 412, `{"errorMessage":"another configuration is the newest"}`},
		{ReplaceOutcome{ReplaceConflict, "revision 9 is"}, 412, `{"errorMessage":"revision 9 is"}`},
		{ReplaceOutcome{ReplaceInvalid, "configRevision: is \"old\""}, 400, `{"errorMessage":"configRevision: is \"old\""}`},
		{ReplaceOutcome{Result: ReplaceInvalid}, 400, `{"errorMessage":"the configuration cannot be taken"}`},
		{ReplaceOutcome{}, 503, `{"errorMessage":"cannot be decided now"}`},
		{ReplaceOutcome{ReplaceUncertain, "no quorum"}, 503, `{"errorMessage":"no quorum"}`},
		{ReplaceOutcome{Result: 99}, 503, `{"errorMessage":"cannot be decided now"}`},
	}
	authority := new(fakeAuthority)
	conn := dial(t, serve(t, Options{Authority: authority}))
	for _, c := range cases {
		authority.replace = c.outcome
		status, body := conn.call("POST", "/api/Configuration.Replace", BaseRevisionHeader+":12", valid)
		assert.Equal(t, status, c.status, "%v", c.outcome)
		assert.Equal(t, body, c.body)
		assert.Equal(t, authority.base, uint64(12))
		assert.Equal(t, authority.body, valid)
	}
}

func TestReplaceValidatesTheBaseRevision(t *testing.T) {
	cases := []struct {
		header string
		status int
		base   uint64
	}{
		{"", 200, 0},
		{BaseRevisionHeader + ":0", 200, 0},
		{BaseRevisionHeader + ": 7 ", 200, 7},
		{BaseRevisionHeader + ":18446744073709551615", 200, 1<<64 - 1},
		{BaseRevisionHeader + ":", 400, 0},
		{BaseRevisionHeader + ":-1", 400, 0},
		{BaseRevisionHeader + ":seven", 400, 0},
		{BaseRevisionHeader + ":1.0", 400, 0},
		{BaseRevisionHeader + ":18446744073709551616", 400, 0},
	}
	for _, c := range cases {
		authority := &fakeAuthority{replace: ReplaceOutcome{Result: ReplaceAccepted}, base: 99}
		conn := dial(t, serve(t, Options{Authority: authority}))
		status, body := conn.call("POST", "/api/Configuration.Replace", c.header, valid)
		assert.Equal(t, status, c.status, "%q", c.header)
		if c.status == 200 {
			assert.Equal(t, authority.base, c.base, "%q", c.header)
			continue
		}
		assert.Equal(t, authority.replaceCalls(), 0, "%q", c.header)
		assert.Equal(t, body, `{"errorMessage":"Oakseam-Base-Revision: must be one whole number"}`)
	}
}

func TestReplaceRejectsInvalidConfigurations(t *testing.T) {
	authority := &fakeAuthority{replace: ReplaceOutcome{Result: ReplaceAccepted}}
	conn := dial(t, serve(t, Options{Authority: authority}))
	bodies := map[string]string{
		``:                     "body: ",
		`{"configRevision":1`:  "body: ",
		valid + "x":            "body: ",
		`{"configRevision":0}`: "configRevision: must be a whole number from 1",
		`{"configRevision":1,"virtualServers":[{"pathPrefix":"/","trafficClass":"streaming"}]}`: "virtualServers[0].timeoutMs: must be above 0",
	}
	for body, message := range bodies {
		status, text := conn.call("POST", "/api/Configuration.Replace", "", body)
		assert.Equal(t, status, 400, "%q", body)
		assert.Assert(t, strings.HasPrefix(text, `{"errorMessage":"`+message), "%q: %s", body, text)
	}
	assert.Equal(t, authority.replaceCalls(), 0)
}

// paddedConfiguration returns a valid configuration of the given size.
func paddedConfiguration(size int) string { return valid + strings.Repeat(" ", size-len(valid)) }

func TestReplaceLimitsTheBodySize(t *testing.T) {
	const maxBytes = 100000
	cases := []struct {
		name, header string
		size         int
		chunked      bool
		status       int
	}{
		{"at the limit", "", maxBytes, false, 200},
		{"at the limit, in chunks", "", maxBytes, true, 200},
		{"a byte above", "", maxBytes + 1, false, 413},
		{"a byte above, in chunks", "", maxBytes + 1, true, 413},
		{"far above", "", 100 * maxBytes, false, 413},
		{"far above, in chunks", "", 100 * maxBytes, true, 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			authority := &fakeAuthority{replace: ReplaceOutcome{Result: ReplaceAccepted}}
			conn := dial(t, serve(t, Options{Authority: authority, MaxBodyBytes: maxBytes}))
			var body io.Reader = strings.NewReader(paddedConfiguration(c.size))
			if c.chunked {
				body = io.MultiReader(body) // of unknown length
			}
			request, err := http.NewRequest("POST", "http://operators/api/Configuration.Replace", body)
			assert.NilError(t, err)
			// The whole body is sent before the response is read.
			assert.NilError(t, request.Write(conn))
			response, text := conn.readResponse("POST")
			assert.Equal(t, response.StatusCode, c.status, text)
			assert.Equal(t, response.Close, c.status != 200)
			assert.Equal(t, authority.replaceCalls(), map[int]int{200: 1, 413: 0}[c.status])
		})
	}
}

func TestTooLargeBodyIsRejectedBeforeItIsSent(t *testing.T) {
	conn := dial(t, serve(t, Options{Authority: new(fakeAuthority)}))
	conn.send("POST /api/Configuration.Replace HTTP/1.1\r\nHost: o\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n")
	response, _ := conn.readResponse("POST")
	assert.Equal(t, response.StatusCode, 413)
}

func TestReplaceWithIncompleteBody(t *testing.T) {
	const head = "POST /api/Configuration.Replace HTTP/1.1\r\nHost: o\r\n"
	cases := []struct {
		name, text string
		half       bool // the client closes its write half
		status     int
	}{
		{"closed by the client", head + "Content-Length: 100\r\n\r\n" + `{"configRevision":1}`, true, 503},
		{"stalled", head + "Content-Length: 100\r\n\r\n" + `{"configRevision":1}`, false, 503},
		{"chunks truncated", head + "Transfer-Encoding: chunked\r\n\r\n14\r\n" + `{"configRevision":1}`, true, 503},
		{"invalid chunks", head + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", false, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			authority := new(fakeAuthority)
			options := Options{Authority: authority, HeaderTimeout: 100 * time.Millisecond, BodyTimeout: 100 * time.Millisecond}
			conn := dial(t, serve(t, options))
			conn.send(c.text)
			if c.half {
				assert.NilError(t, conn.CloseWrite())
			}
			response, text := conn.readResponse("POST")
			assert.Equal(t, response.StatusCode, c.status, text)
			assert.Assert(t, response.Close)
			assert.Equal(t, authority.replaceCalls(), 0)
		})
	}
}

func TestReplaceContinuesAfterTheClientHalfCloses(t *testing.T) {
	authority := &fakeAuthority{replace: ReplaceOutcome{Result: ReplaceAccepted}}
	var failure error
	authority.onReplace = func(ctx context.Context) { failure = ctx.Err() }
	conn := dial(t, serve(t, Options{Authority: authority}))
	conn.send(fmt.Sprintf("POST /api/Configuration.Replace HTTP/1.1\r\nHost: o\r\nContent-Length: %d\r\n\r\n%s", len(valid), valid))
	assert.NilError(t, conn.CloseWrite())
	response, _ := conn.readResponse("POST")
	assert.Equal(t, response.StatusCode, 200)
	assert.NilError(t, failure)
}

func TestDecisionTimeoutIsIndependentOfTheBodyTimeout(t *testing.T) {
	authority := new(fakeAuthority)
	authority.onReplace = func(ctx context.Context) { <-ctx.Done() }
	// The body timeout ends before the decision timeout.
	options := Options{
		Authority: authority, HeaderTimeout: 50 * time.Millisecond, BodyTimeout: 50 * time.Millisecond,
		DecisionTimeout: 300 * time.Millisecond,
	}
	conn := dial(t, serve(t, options))
	for range 2 {
		status, body := conn.call("POST", "/api/Configuration.Replace", "", valid)
		assert.Equal(t, status, 503)
		assert.Equal(t, body, `{"errorMessage":"cannot be decided now"}`)
	}
	assert.Equal(t, authority.replaceCalls(), 2)
}

func TestReplaceLimitsTheMemoryOfAllBodies(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	authority := &fakeAuthority{replace: ReplaceOutcome{Result: ReplaceAccepted}}
	authority.onReplace = func(context.Context) {
		entered <- struct{}{}
		<-leave
	}
	options := Options{Authority: authority, MaxBodyBytes: 1000, MaxBufferedBytes: 1000, DecisionTimeout: 50 * time.Millisecond}
	address := serve(t, options)
	first, second := dial(t, address), dial(t, address)
	send := fmt.Sprintf("POST /api/Configuration.Replace HTTP/1.1\r\nHost: o\r\nContent-Length: 1000\r\n\r\n%s", paddedConfiguration(1000))
	first.send(send)
	<-entered
	second.send(send)
	response, _ := second.readResponse("POST")
	assert.Equal(t, response.StatusCode, 503)
	assert.Equal(t, authority.replaceCalls(), 1)
	close(leave)
	response, _ = first.readResponse("POST")
	assert.Equal(t, response.StatusCode, 200)
}

func TestShow(t *testing.T) {
	large := bytes.Repeat([]byte(" \x00\xffx"), 1<<20)
	cases := []struct {
		name   string
		shown  []byte
		err    error
		status int
		body   string
	}{
		{"as it was sent", []byte(valid), nil, 200, valid},
		{"large", large, nil, 200, string(large)},
		{"none", nil, errors.Wrap(ErrNoConfiguration, "shown"), 404, `{"errorMessage":"no configuration yet"}`},
		{"unavailable", nil, ErrUnavailable, 503, `{"errorMessage":"cannot be decided now"}`},
		{"another failure", nil, io.ErrClosedPipe, 503, `{"errorMessage":"io: read/write on closed pipe"}`},
	}
	authority := new(fakeAuthority)
	conn := dial(t, serve(t, Options{Authority: authority}))
	for _, c := range cases {
		authority.shown, authority.showErr = c.shown, c.err
		conn.send("GET /api/Configuration.Show?now=1 HTTP/1.1\r\nHost: o\r\n\r\n")
		response, body := conn.readResponse("GET")
		assert.Equal(t, response.StatusCode, c.status, c.name)
		assert.Equal(t, response.Header.Get("Content-Type"), "application/json")
		assert.Assert(t, body == c.body, c.name)
	}
}

func TestRetireBegin(t *testing.T) {
	cases := []struct {
		outcome RetireOutcome
		status  int
		body    string
	}{
		{RetireAccepted, 200, `{}`},
		{RetireUnknownNode, 404, `{"errorMessage":"unknown node"}`},
		{RetireTooFew, 409, `{"errorMessage":"too few nodes would be left"}`},
		{RetireUncertain, 503, `{"errorMessage":"cannot be decided now"}`},
		{99, 503, `{"errorMessage":"cannot be decided now"}`},
	}
	authority := new(fakeAuthority)
	conn := dial(t, serve(t, Options{Authority: authority}))
	for _, c := range cases {
		authority.retire = c.outcome
		status, body := conn.call("POST", "/api/Retire.Begin/core%201", "", `{"deadlineS":10}`)
		assert.Equal(t, status, c.status, "%v", c.outcome)
		assert.Equal(t, body, c.body)
		assert.Equal(t, authority.node, "core 1")
		assert.Equal(t, authority.deadline, 10*time.Second)
	}
}

func TestRetireBeginDeadline(t *testing.T) {
	cases := []struct {
		body     string
		status   int
		deadline time.Duration
	}{
		{`{"deadlineS":2.5}`, 200, 2500 * time.Millisecond},
		{`{"deadlineS":0}`, 200, 0},
		{`{"deadlineS":1e300}`, 200, 1<<63 - 1},
		{`{"other":1}`, 200, DefaultRetireDeadline},
		{``, 200, DefaultRetireDeadline},
		{`{"deadlineS":-1}`, 400, 0},
		{`{"deadlineS":"soon"}`, 400, 0},
		{`{"deadlineS":10`, 400, 0},
		{`[]`, 400, 0},
		{strings.Repeat(" ", maxRetireBody+1), 413, 0},
	}
	for _, c := range cases {
		authority := &fakeAuthority{retire: RetireAccepted}
		conn := dial(t, serve(t, Options{Authority: authority}))
		status, text := conn.call("POST", "/api/Retire.Begin/n", "", c.body)
		assert.Equal(t, status, c.status, "%.30q", c.body)
		assert.Equal(t, authority.deadline, c.deadline, "%.30q", c.body)
		if status == 400 {
			assert.Assert(t, strings.Contains(text, "deadlineS"), text)
			assert.Equal(t, authority.node, "")
		}
	}
}

func TestRetireShow(t *testing.T) {
	cases := []struct {
		state  RetireState
		err    error
		status int
		body   string
	}{
		{RetireInProgress, nil, 200, `{"memberState":"rolling"}`},
		{RetireCompleted, nil, 200, `{"memberState":"completed"}`},
		{0, ErrUnknownNode, 404, `{"errorMessage":"unknown node"}`},
		{0, ErrUnavailable, 503, `{"errorMessage":"cannot be decided now"}`},
		{0, nil, 503, `{"errorMessage":"cannot be decided now"}`},
	}
	authority := new(fakeAuthority)
	conn := dial(t, serve(t, Options{Authority: authority}))
	for _, c := range cases {
		authority.state, authority.stateErr = c.state, c.err
		status, body := conn.call("GET", "/api/Retire.Show/core-1", "", "")
		assert.Equal(t, status, c.status, "%v %v", c.state, c.err)
		assert.Equal(t, body, c.body)
		assert.Equal(t, authority.node, "core-1")
	}
}

func TestUnknownPathsAndMethods(t *testing.T) {
	cases := []struct {
		line, allow string
		status      int
	}{
		{"GET /api/Configuration.Replace", "POST", 405},
		{"POST /api/Configuration.Show", "GET", 405},
		{"GET /api/Retire.Begin/n", "POST", 405},
		{"DELETE /api/Retire.Show/n", "GET", 405},
		{"GET /", "", 404},
		{"GET /api/Retire.Show", "", 404},
		{"GET /api/Retire.Show/", "", 404},
		{"GET /api/Configuration.Show/", "", 404},
		{"OPTIONS *", "", 404},
	}
	conn := dial(t, serve(t, Options{Authority: new(fakeAuthority)}))
	for _, c := range cases {
		conn.send(c.line + " HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n")
		method, _, _ := strings.Cut(c.line, " ")
		response, body := conn.readResponse(method)
		assert.Equal(t, response.StatusCode, c.status, c.line)
		assert.Equal(t, response.Header.Get("Allow"), c.allow, c.line)
		assert.Assert(t, strings.HasPrefix(body, `{"errorMessage":"`), c.line)
	}
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	address := serve(t, Options{Authority: new(fakeAuthority), MaxHeaderBytes: 1000})
	cases := map[string]string{
		"no HTTP":         "\x16\x03\x01\x00\xff garbage\r\n\r\n",
		"no host":         "GET /api/Configuration.Show HTTP/1.1\r\n\r\n",
		"two lengths":     "POST /api/Configuration.Replace HTTP/1.1\r\nHost: o\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"negative length": "POST /api/Configuration.Replace HTTP/1.1\r\nHost: o\r\nContent-Length: -1\r\n\r\n",
		"large head":      "GET / HTTP/1.1\r\nHost: o\r\nX: " + strings.Repeat("x", 8000) + "\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			conn := dial(t, address)
			conn.send(text)
			response, err := http.ReadResponse(conn.reader, nil)
			assert.NilError(t, err)
			assert.Assert(t, response.StatusCode >= 400 && response.StatusCode < 500, response.Status)
			assert.Assert(t, response.Close)
		})
	}
}

func TestIncompleteHeaderIsTimedOut(t *testing.T) {
	address := serve(t, Options{Authority: new(fakeAuthority), HeaderTimeout: 50 * time.Millisecond, MaxConnections: 1})
	for _, text := range []string{"", "GET /api/Conf", "GET / HTTP/1.1\r\nHost: o\r\nX: "} {
		conn := dial(t, address)
		conn.send(text)
		_, err := io.ReadAll(conn)
		assert.NilError(t, err)
	}
	// Each connection must have freed its slot.
	status, _ := dial(t, address).call("GET", "/", "", "")
	assert.Equal(t, status, 404)
}

func TestIdleConnectionIsClosed(t *testing.T) {
	conn := dial(t, serve(t, Options{Authority: new(fakeAuthority), IdleTimeout: 50 * time.Millisecond}))
	status, _ := conn.call("GET", "/", "", "")
	assert.Equal(t, status, 404)
	rest, err := io.ReadAll(conn.reader)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
}

func TestShutdownEndsServe(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(Options{Authority: new(fakeAuthority)})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	status, _ := dial(t, listener.Addr().String()).call("GET", "/", "", "")
	assert.Equal(t, status, 404)
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.NilError(t, <-ended)
}

func TestServeReturnsListenerErrors(t *testing.T) {
	err := NewServer(Options{Authority: new(fakeAuthority)}).Serve(&fakeListener{fails: true})
	assert.ErrorIs(t, err, errStopped)
}

func TestResultsHaveNames(t *testing.T) {
	assert.Equal(t, fmt.Sprint(ReplaceUncertain, ReplaceAccepted, ReplaceConflict, ReplaceInvalid, ReplaceResult(9)),
		"uncertain taken conflict invalid uncertain")
	assert.Equal(t, fmt.Sprint(RetireUncertain, RetireAccepted, RetireUnknownNode, RetireTooFew, RetireOutcome(9)),
		"uncertain accepted unknown node too few uncertain")
}
