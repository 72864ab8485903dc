package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// bytesConn is a connection that brings bytes.
type bytesConn struct {
	net.Conn
	in io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// FuzzFollow compares the heads that the server counts with those that net/http reads:
// each one that net/http hands out must have been seen, or be in doubt.
func FuzzFollow(f *testing.F) {
	for _, s := range []string{
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: x\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\nHost: x\n\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n\r\n",
	} {
		f.Add([]byte(s), 1)
		f.Add([]byte(s), 1000)
	}
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		c := newConn(bytesConn{in: bytes.NewReader(text)}, nil)
		var whole bytes.Buffer
		buf := make([]byte, max(size, 1)%4096+1)
		for {
			n, err := c.Read(buf)
			whole.Write(buf[:n])
			if err != nil {
				break
			}
		}
		in := bufio.NewReader(&whole)
		for n := int64(1); ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if doubt := c.doubt.Load(); doubt > 0 && doubt <= n {
				return // turned down, with all behind it
			}
			if c.heads.Load() < n {
				t.Fatalf("net/http reads request %d of %q, and the server saw %d", n, text, c.heads.Load())
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	})
}
