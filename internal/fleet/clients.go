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

	"oakseam/internal/audit"
	"oakseam/internal/emulator"
	"oakseam/logic"
)

// SendRequest implements emulator.Environment. It sends a request to the node that the model chose.
func (f *fleet) SendRequest(request emulator.ClientRequest) {
	f.background.Go(func() { f.live.RequestDone(request.ID, f.send(request)) })
}

// send sends a request on an idle connection or a new one, and waits for the response until the
// client's timeout.
func (f *fleet) send(request emulator.ClientRequest) emulator.RequestOutcome {
	n := f.nodes[request.Node]
	deadline := time.Now().Add(request.Timeout + socketSlack + 20*time.Millisecond)
	epoch := n.currentEpoch()
	c := n.takeIdle()
	reused := c != nil
	for {
		if c == nil {
			var err error
			if c, err = f.frontend.Dial(n.reservation.Addr, deadline); err != nil {
				return emulator.RequestOutcome{Answer: audit.NoAnswer}
			}
		}
		outcome, closed := f.exchange(n, c, request, deadline)
		// The node closed an idle connection while the request was on its way. It has not read the
		// request, so the client sends it once more. A node that was killed may have read it.
		if !closed || !reused || n.currentEpoch() != epoch {
			return outcome
		}
		c, reused = nil, false
	}
}

// exchange sends a request on a connection and reads the response. closed means that sending
// failed or that the connection ended before any byte of the response; a timeout of the response
// doesn't count.
func (f *fleet) exchange(n *node, c net.Conn, request emulator.ClientRequest, deadline time.Time) (outcome emulator.RequestOutcome, closed bool) {
	c.SetDeadline(deadline)
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
	if request.Class.Effect == logic.Safe {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /api HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Time-Left: %du\r\n",
		method, request.ID, request.Class.Name, max(request.Timeout.Microseconds(), 1))
	if request.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", request.Key)
	}
	if request.Retry {
		b.WriteString("X-Repeat: 1\r\n")
	}
	if method == http.MethodPost {
		b.WriteString("Content-Length: 0\r\n")
	}
	b.WriteString("\r\n")
	f.live.RequestStarted(request.ID, request.Timeout)
	if _, err := c.Write(b.Bytes()); err != nil {
		c.Close()
		return emulator.RequestOutcome{Answer: audit.NoAnswer}, true
	}
	in := bufio.NewReader(c)
	if _, err := in.Peek(1); err != nil {
		c.Close()
		return emulator.RequestOutcome{Answer: audit.NoAnswer, FullySent: true, TimedOut: timedOut(err)}, !timedOut(err)
	}
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(res.Body)
	}
	if err != nil {
		c.Close()
		return emulator.RequestOutcome{Answer: audit.NoAnswer, FullySent: true, TimedOut: timedOut(err)}, false
	}
	if res.Close || in.Buffered() > 0 {
		c.Close()
	} else {
		n.keepIdle(c)
	}
	switch {
	case res.StatusCode == http.StatusOK && string(body) == "for "+request.ID:
		outcome.Answer = audit.Served
	case res.StatusCode == http.StatusOK:
		outcome.Answer, outcome.FullySent = audit.NoAnswer, true // the response to another request
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		outcome.Answer = audit.Rejected
		if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
			outcome.RetryAfter = time.Duration(s * float64(time.Second))
		}
	default:
		outcome.Answer = audit.Failed
	}
	return outcome, false
}

// timedOut reports whether an error is a timeout.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// clientIdleTimeout is how long a client keeps an idle connection. It is a little shorter than the
// nodes' timeout.
const clientIdleTimeout = 1500 * time.Millisecond

// idleConnection is a client's idle connection.
type idleConnection struct {
	net.Conn
	since time.Time
}

// currentEpoch returns a number that changes whenever the node's process is started or ended.
func (n *node) currentEpoch() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch
}

// takeIdle returns an idle connection to the node, or nil if there is none.
func (n *node) takeIdle() net.Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(n.idle) > 0 {
		c := n.idle[len(n.idle)-1]
		n.idle = n.idle[:len(n.idle)-1]
		if time.Since(c.since) < clientIdleTimeout {
			return c.Conn
		}
		c.Close()
	}
	return nil
}

// keepIdle keeps a connection for later requests. It closes it if the node's process has ended.
func (n *node) keepIdle(c net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		c.Close()
		return
	}
	n.idle = append(n.idle, idleConnection{c, time.Now()})
}
