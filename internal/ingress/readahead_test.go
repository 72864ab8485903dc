package ingress

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldHandler answers each request with the digest of its body. It keeps the first request open after its
// whole answer has gone out, as a busy machine may, until release is closed.
func heldHandler(release <-chan struct{}) handler {
	return func(w http.ResponseWriter, r *http.Request, c *Conn) {
		digest := sha256.New()
		received, err := io.Copy(digest, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		answer := fmt.Sprintf("%d %x", received, digest.Sum(nil))
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		io.WriteString(w, answer)
		http.NewResponseController(w).Flush()
		if r.URL.Path == "/held" {
			<-release
		}
	}
}

// post returns a POST request with a length, or in chunks of the given size.
func post(path, body string, chunk int) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: x\r\n"
	if chunk == 0 {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	var text strings.Builder
	text.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for ; len(body) > 0; body = body[min(chunk, len(body)):] {
		part := body[:min(chunk, len(body))]
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(part), part)
	}
	return text.String() + "0\r\n\r\n"
}

// Guards against a whole request that is answered 400: a client sends it on a kept connection as soon as it
// has the answer to the one before, while the server still waits for the close of that one's client, and
// bytes of it are discarded.
func TestRequestRightBehindAWholeAnswerIsServed(t *testing.T) {
	for _, test := range []struct {
		bytes, chunk int
		pipelined    bool // sent before the answer to the one before
		headFirst    bool // the head comes in two parts
	}{
		{bytes: 0}, {bytes: 100}, {bytes: 8 << 10}, {bytes: 31_000}, {bytes: 31_000, chunk: 100}, {bytes: 300_000}, {bytes: 300_000, chunk: 4096},
		{bytes: 300_000, pipelined: true}, {bytes: 300_000, headFirst: true}, {bytes: 4 << 20}, {bytes: 4 << 20, chunk: 64 << 10}, {bytes: 12 << 20},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			release := make(chan struct{})
			s, address := startServer(t, Options{}, heldHandler(release))
			c := connect(t, address)
			body := strings.Repeat("document", test.bytes/8+1)[:test.bytes]
			second := post("/next", body, test.chunk)
			first := post("/held", "first", 0)
			sent := make(chan error, 1)
			if test.pipelined {
				go func() { _, err := io.WriteString(c, first+second); sent <- err }()
			} else {
				c.send(first)
			}
			response, _ := c.readResponse()
			assert.Equal(t, response.StatusCode, http.StatusOK)
			if !test.pipelined {
				if test.headFirst {
					c.send(second[:9])
					second = second[9:]
					time.Sleep(10 * time.Millisecond)
				}
				go func() { _, err := io.WriteString(c, second); sent <- err }()
			}
			select { // a body that is too long to be held is sent on once the first request has ended
			case err := <-sent:
				sent <- err
				time.Sleep(20 * time.Millisecond) // until the server has seen what has arrived
			case <-time.After(200 * time.Millisecond):
			}
			close(release)
			response, answer := c.readResponse()
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, answer, fmt.Sprintf("%d %x", test.bytes, sha256.Sum256([]byte(body))))
			assert.NilError(t, <-sent)
			assert.Equal(t, s.heldBytes.Load(), int64(0), "bytes that count as held")
		})
	}
}

// Bytes behind open requests must not take unbounded memory, and what they take must be given back.
func TestBytesBehindOpenRequestsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s, address := startServer(t, Options{}, heldHandler(release))
	flood := strings.Repeat("x", maxReadAhead+8<<20)
	var clients []client
	for range maxTotalReadAhead/maxReadAhead + 2 {
		c := connect(t, address)
		c.send(post("/held", "first", 0))
		c.readResponse()
		go io.WriteString(c, flood) // ends with the connection
		clients = append(clients, c)
	}
	for deadline := time.Now().Add(testTimeout); s.heldBytes.Load() < maxTotalReadAhead-maxUnread; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are held", s.heldBytes.Load())
	}
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, s.heldBytes.Load() <= maxTotalReadAhead, "%d bytes are held", s.heldBytes.Load())
	for _, c := range clients {
		c.Close()
	}
	close(release)
	for deadline := time.Now().Add(testTimeout); s.heldBytes.Load() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are still held", s.heldBytes.Load())
	}
}

// BenchmarkKeptConnection measures requests on one kept connection, each sent right after the answer to the
// one before.
func BenchmarkKeptConnection(b *testing.B) {
	for _, bytes := range []int{0, 4 << 10, 300_000} {
		b.Run(fmt.Sprint(bytes), func(b *testing.B) {
			t := &testing.T{}
			_, address := startServer(t, Options{}, func(w http.ResponseWriter, r *http.Request, _ *Conn) {
				io.Copy(io.Discard, r.Body)
				w.WriteHeader(http.StatusNoContent)
			})
			c := connect(t, address)
			request := post("/next", strings.Repeat("x", bytes), 0)
			for b.Loop() {
				c.SetDeadline(time.Now().Add(testTimeout))
				c.send(request)
				if response, _ := c.readResponse(); response.StatusCode != http.StatusNoContent {
					b.Fatal(response.Status)
				}
			}
		})
	}
}
