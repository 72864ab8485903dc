package ingress

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// bytesConn is a connection whose data comes from a reader.
type bytesConn struct {
	net.Conn
	in io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.in.Read(b) }

// FuzzFraming compares the heads that the server counts with those that net/http reads: each head
// that net/http reads must have been counted or must be ambiguous.
func FuzzFraming(f *testing.F) {
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
		var received bytes.Buffer
		buf := make([]byte, max(size, 1)%4096+1)
		for {
			n, err := c.Read(buf)
			received.Write(buf[:n])
			if err != nil {
				break
			}
		}
		in := bufio.NewReader(&received)
		for n := int64(1); ; n++ {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if ambiguous := c.ambiguousFrom.Load(); ambiguous > 0 && ambiguous <= n {
				return // rejected, with everything that follows
			}
			if c.heads.Load() < n {
				t.Fatalf("net/http reads request %d of %q, but the server counted %d", n, text, c.heads.Load())
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	})
}
