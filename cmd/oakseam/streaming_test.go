package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// randomBytes returns n bytes without a pattern.
func randomBytes(n int) []byte {
	b := make([]byte, n)
	rand.NewChaCha8([32]byte{1}).Read(b)
	return b
}

// Long bodies must reach clients and backends unchanged, in each form of framing and up to the
// maximum length.
func TestLongBodiesArriveUnchanged(t *testing.T) {
	body := randomBytes(32 << 20)
	b := newBackend(t, func(c *net.TCPConn, r request) bool {
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		switch answer := body[:n]; r.URL.Query().Get("as") {
		case "length":
			return say(c, 200, "", string(answer))
		case "close":
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
			c.Write(answer)
			return false
		default:
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n")
			fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", n/2, answer[:n/2])
			half := answer[n/2:]
			fmt.Fprintf(c, "%x\r\n%s\r\n0\r\nX: y\r\n\r\n", len(half), half)
			return true
		}
	})
	n, _ := serve(t, b.Addr)
	for _, size := range []int{1000, 64 << 10, 64<<10 + 1, 1 << 20, 32 << 20} {
		for _, framing := range []string{"length", "close", "chunked"} {
			description := fmt.Sprint(size, " by ", framing)
			var requestBody io.Reader = bytes.NewReader(body[:size])
			if framing == "chunked" {
				requestBody = io.MultiReader(requestBody) // hides the length from the HTTP client
			}
			r, err := http.NewRequest("POST", fmt.Sprintf("http://%s/api?n=%d&as=%s", n.addr, size, framing), requestBody)
			require.NoError(t, err)
			for k, v := range headers("topup") {
				r.Header.Set(k, v)
			}
			if framing == "close" {
				r.Header.Set("Expect", "100-continue")
			}
			res, err := client.Do(r)
			require.NoError(t, err, description)
			assert.Equal(t, 200, res.StatusCode, description)
			got := sha256.New()
			_, err = io.Copy(got, res.Body)
			assert.NoError(t, err, description)
			res.Body.Close()
			want := sha256.Sum256(body[:size])
			assert.Equal(t, want[:], got.Sum(nil), "the response, %s", description)
			seen := receive(t, b.Requests, "the request")
			assert.Equal(t, want, sha256.Sum256([]byte(seen.Body)), "the request, %s", description)
		}
	}
}

// The client must get the start of a slow response at once. If the response breaks off, the
// client must notice, and the request must not be sent again.
func TestBrokenResponseIsNotRetried(t *testing.T) {
	for framing, head := range map[string]string{"length": "Content-Length: 100000\r\n", "chunked": "Transfer-Encoding: chunked\r\n"} {
		release := make(chan struct{})
		b := newBackend(t, func(c *net.TCPConn, r request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n5\r\nfirst\r\n")
			<-release
			c.SetLinger(0)
			return false
		})
		n, _ := serve(t, b.Addr)
		c, err := net.Dial("tcp", n.addr)
		require.NoError(t, err)
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		io.WriteString(c, "GET"+strings.Replace(postRequest, "topup", "lookup", 1)[len("POST"):])
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err, framing)
		first := make([]byte, 5)
		_, err = io.ReadFull(res.Body, first)
		require.NoError(t, err, framing)
		close(release)
		_, err = io.Copy(io.Discard, res.Body)
		assert.Error(t, err, "%s: the client must see that the response was cut short", framing)
		n.waitCounter("answer.broken", "1")
		assert.Len(t, b.Requests, 1, framing)
	}
}

// A long request that its client does not complete must reach no backend completely, must not be
// blamed on a backend, and must end its session.
func TestIncompleteRequestBlamesNoBackend(t *testing.T) {
	b := newBackend(t, ok)
	n, _ := serve(t, b.Addr)
	half := strings.Replace(postRequest, ": 0", ": 200000", 1) + strings.Repeat("x", 100000)
	assert.NotContains(t, n.raw(half), " 200 ", "a stalled request must not be served")
	// Its session ends before its attempt does, and until then its id is taken: another request with
	// the id would be rejected as a duplicate, without an attempt.
	n.waitCounter("outcome.canceled", "1")
	c, err := net.Dial("tcp", n.addr)
	require.NoError(t, err)
	io.WriteString(c, half)
	c.Close()
	n.waitUntil("both attempts are over", func() bool { return n.counter("outcome.canceled") == "2" })
	for range 2 {
		assert.Less(t, len(receive(t, b.Requests, "the part of the request that arrived").Body), 200000)
	}
	assert.Equal(t, "0", n.counter("outcome.connect-failed"))
	assert.Equal(t, 200, n.ask("topup").status)

	// A client that closes its sending side counts as gone: it must not get an empty 200.
	quiet, _ := serve(t, newBackend(t, silent).Addr)
	c, err = net.Dial("tcp", quiet.addr)
	require.NoError(t, err)
	defer c.Close()
	io.WriteString(c, postRequest)
	c.(*net.TCPConn).CloseWrite()
	c.SetDeadline(time.Now().Add(patience))
	text, _ := io.ReadAll(c)
	assert.Empty(t, string(text))

}

// A response before the end of the request must be passed on and end the session.
func TestResponseBeforeRequestEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			io.ReadFull(c, make([]byte, 70000))
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly")
		}
	}()
	early, _ := serve(t, l.Addr().String())
	for i := range 10 {
		got := early.raw(strings.Replace(postRequest, "hidden\r\nX-Service-Class: topup\r\nContent-Length: 0", fmt.Sprintf("e%d\r\nX-Service-Class: topup\r\nContent-Length: 200000", i), 1) + strings.Repeat("x", 100000))
		assert.Regexp(t, "^HTTP/1.1 200 (?s).*Connection: close.*early$", got)
	}
}

// Many responses of the maximum length to clients that read slowly or not at all must not exceed
// a small memory limit.
func TestSlowReadersUseLittleMemory(t *testing.T) {
	body := string(randomBytes(32 << 20))
	b := newBackend(t, func(c *net.TCPConn, r request) bool { return say(c, 200, "", body) })
	config := configure(t, freeAddr(t), newRegistry(t).Addr, list(7, true, target("s-0", b.Addr, "in_service", 0)), settings())
	config["limits"] = object{"cores": 1.0, "memory_mb": 32, "sockets": 256}
	n := start(t, config)
	const readers = 30
	var wg sync.WaitGroup
	for i := range readers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.Dial("tcp", n.addr)
			if !assert.NoError(t, err) {
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			io.WriteString(c, strings.Replace(postRequest, "hidden", fmt.Sprint("m", i), 1))
			res, err := http.ReadResponse(bufio.NewReader(c), nil)
			if !assert.NoError(t, err) || res.StatusCode != 200 {
				return
			}
			if i%3 == 0 {
				io.CopyN(io.Discard, res.Body, 100000) // and then reads no more
				return
			}
			got, err := io.Copy(io.Discard, res.Body)
			assert.NoError(t, err)
			assert.EqualValues(t, len(body), got)
		}()
	}
	wg.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid))
	require.NoError(t, err)
	for l := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			kb, err := strconv.Atoi(strings.Fields(v)[0])
			require.NoError(t, err)
			t.Log("peak RSS in kB: ", kb)
			if os.Getenv("OAKSEAM_TEST_BUILD") == "" { // the race detector needs several times as much
				assert.Less(t, kb, 32<<10)
			}
		}
	}
}
