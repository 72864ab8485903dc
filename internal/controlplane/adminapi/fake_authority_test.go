package adminapi

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testTimeout bounds waits that normally end at once.
const testTimeout = 20 * time.Second

// valid is a configuration that routing accepts, with spaces that must be preserved.
const valid = "{ \"configRevision\": 3,\n \"virtualServers\": [], \"pools\": [], \"new\": [1.50] }\n"

// fakeAuthority is an Authority that returns set results and records its calls.
type fakeAuthority struct {
	replace   ReplaceOutcome
	shown     []byte
	showErr   error
	retire    RetireOutcome
	state     RetireState
	stateErr  error
	onReplace func(context.Context) // called within Replace
	evacuate  func(context.Context, EvacuationOrder) EvacuateOutcome

	lock     sync.Mutex
	replaces int
	base     uint64
	body     string
	node     string
	deadline time.Duration
}

func (s *fakeAuthority) Replace(ctx context.Context, base uint64, body []byte) ReplaceOutcome {
	s.lock.Lock()
	s.replaces++
	s.base, s.body = base, string(body)
	s.lock.Unlock()
	if s.onReplace != nil {
		s.onReplace(ctx)
	}
	return s.replace
}

func (s *fakeAuthority) Show(context.Context) ([]byte, error) { return s.shown, s.showErr }

func (s *fakeAuthority) RetireBegin(_ context.Context, node string, deadline time.Duration) RetireOutcome {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.node, s.deadline = node, deadline
	return s.retire
}

func (s *fakeAuthority) RetireShow(_ context.Context, node string) (RetireState, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.node = node
	return s.state, s.stateErr
}

func (s *fakeAuthority) Evacuate(ctx context.Context, order EvacuationOrder) EvacuateOutcome {
	return s.evacuate(ctx, order)
}

// replaceCalls returns how often Replace was called.
func (s *fakeAuthority) replaceCalls() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.replaces
}

// serve runs a server on loopback during a test and returns its address.
func serve(t *testing.T, options Options) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer(options)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.NilError(t, server.Close())
		assert.NilError(t, <-ended)
	})
	return listener.Addr().String()
}

// connection sends raw requests to a server.
type connection struct {
	*net.TCPConn
	t      *testing.T
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *connection {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &connection{TCPConn: conn.(*net.TCPConn), t: t, reader: bufio.NewReader(conn)}
}

func (c *connection) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// readResponse reads a response and its body, and checks that it has a Content-Length.
func (c *connection) readResponse(method string) (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	assert.NilError(c.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	assert.Assert(c.t, response.ContentLength >= 0, "no Content-Length")
	return response, string(body)
}

// call makes one call on a connection that stays open.
func (c *connection) call(method, path, header, body string) (int, string) {
	c.t.Helper()
	request, err := http.NewRequest(method, "http://operators"+path, strings.NewReader(body))
	assert.NilError(c.t, err)
	if name, value, ok := strings.Cut(header, ":"); ok {
		request.Header[name] = []string{value}
	}
	assert.NilError(c.t, request.Write(c))
	response, text := c.readResponse(method)
	return response.StatusCode, text
}
