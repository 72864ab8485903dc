package fleet

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"pipitmux/internal/audit"
	"pipitmux/internal/emulator"
	"pipitmux/logic"
)

// Send is emulator.Outside: the front has picked the node, the client sends.
func (f *fleet) SendRequest(t emulator.ClientRequest) {
	f.jobs.Go(func() { f.day.RequestDone(t.ID, f.client(t)) })
}

// client sends a request over a kept connection or a new one, and waits for its
// answer until it is out of patience.
func (f *fleet) client(t emulator.ClientRequest) emulator.RequestOutcome {
	n := f.nodes[t.Node]
	until := time.Now().Add(t.Timeout + onSockets + 20*time.Millisecond)
	process := n.process()
	c := n.take()
	kept := c != nil
	for {
		if c == nil {
			var err error
			if c, err = f.front.Dial(n.held.Addr, until); err != nil {
				return emulator.RequestOutcome{Answer: audit.NoAnswer}
			}
		}
		v, crossed := f.talk(n, c, t, until)
		// A close that crossed the request: the node has not read it, so it goes once more. One
		// that was killed may have.
		if !crossed || !kept || n.process() != process {
			return v
		}
		c, kept = nil, false
	}
}

func (f *fleet) talk(n *node, c net.Conn, t emulator.ClientRequest, until time.Time) (v emulator.RequestOutcome, crossed bool) {
	c.SetDeadline(until)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-f.quit:
			c.SetDeadline(time.Unix(1, 0))
		case <-stop:
		}
	}()
	var b bytes.Buffer
	method := http.MethodPost
	if t.Class.Effect == logic.Safe {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left: %du\r\n",
		method, t.ID, t.Class.Name, max(t.Timeout.Microseconds(), 1))
	if t.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", t.Key)
	}
	if t.Retry {
		b.WriteString("X-Repeat: 1\r\n")
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	f.day.RequestStarted(t.ID, t.Timeout)
	if _, err := c.Write(b.Bytes()); err != nil {
		c.Close()
		return emulator.RequestOutcome{Answer: audit.NoAnswer}, true
	}
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		c.Close()
		return emulator.RequestOutcome{Answer: audit.NoAnswer, FullySent: true, TimedOut: late(err)}, !late(err)
	}
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
	}
	if err != nil {
		c.Close()
		return emulator.RequestOutcome{Answer: audit.NoAnswer, FullySent: true, TimedOut: late(err)}, false
	}
	if res.Close || in.Buffered() > 0 {
		c.Close()
	} else {
		n.give(c)
	}
	switch {
	case res.StatusCode == http.StatusOK && string(body) == "for "+t.ID:
		v.Answer = audit.Served
	case res.StatusCode == http.StatusOK:
		v.Answer, v.FullySent = audit.NoAnswer, true // served with what nobody made for it
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		v.Answer = audit.Rejected
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			v.RetryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		v.Answer = audit.Failed
	}
	return v, false
}

func late(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// keptFor is how long a client keeps a connection without a request: a little less
// than nodes do.
const keptFor = 1500 * time.Millisecond

type kept struct {
	net.Conn
	since time.Time
}

// process tells the node's processes apart.
func (n *node) process() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}

func (n *node) take() net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.idle) > 0 {
		c := n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		if time.Since(c.since) < keptFor {
			return c.Conn
		}
		c.Close()
	}
	return nil
}

func (n *node) give(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.run == nil {
		c.Close()
		return
	}
	n.idle = append(n.idle, kept{c, time.Now()})
}
