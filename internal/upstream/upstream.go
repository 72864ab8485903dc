// Package upstream sends attempts to servers over HTTP/1.1 on plain TCP connections and pools the
// idle connections of each server. It handles framing and connections. A Codec writes the request
// heads and interprets the responses.
package upstream

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/internal/message"
	"oakseam/logic"
)

// Codec implements one application protocol on top of HTTP/1.1. Its methods are called
// concurrently by the goroutines of all attempts.
type Codec interface {
	// WriteHead writes the head of a request, including the empty line that ends it. left is the
	// time that remains until the deadline of the attempt. WriteBodyFraming writes the header
	// field that frames the body.
	WriteHead(dst *bytes.Buffer, call *message.Call, instance core.Instance, left time.Duration)
	// Classify interprets a response by its head. It may change the header, which a Reply passes
	// on, and must not read the body.
	Classify(call *message.Call, res *http.Response) Classification
}

// Classification is the meaning of a response, as its head tells it.
type Classification struct {
	Result      logic.Result
	Report      []float64 // load report in the order of the fields in the settings; nil: none
	Misrouted   bool      // the response belongs to another request: it is read and discarded, and the next one is read
	PassThrough bool      // the reply is passed on unchanged although Result is not OK: it is the server's own error response
	Stream      bool      // only with an OK: the body is passed on as it arrives, without buffering
}

// Options configures a Pool.
type Options struct {
	ConnectTimeout      time.Duration
	TCPUserTimeout      time.Duration           // TCP_USER_TIMEOUT: how long sent data may stay unacknowledged; 0: not set
	IdleTimeout         time.Duration           // longest time that a connection is kept idle
	LearnIdleLimits     bool                    // shorten the idle timeout where servers drop idle connections sooner
	MaxConns            int                     // limit of connections open or being opened, over all servers
	MaxConnsPerInstance func(core.Instance) int // limit for one server process, 0: none; a nil function: no limits. It must not block
	OmitHeader          bool                    // leave Status and Header of replies empty
	OnRequestWritten    func()                  // called for each attempt whose request was fully written
	Budget              *message.Budget
}

// dialer returns the dialer of the pool. It sends no TCP keep-alives, because the timeout of an
// attempt is far shorter than any keep-alive interval.
func (o Options) dialer() net.Dialer {
	d := net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1}
	if o.TCPUserTimeout > 0 {
		d.Control = tcpUserTimeout(o.TCPUserTimeout)
	}
	return d
}

var _ core.Transport = (*Pool)(nil)

// New returns a Pool without open connections.
func New(codec Codec, opt Options, count *counters.Set, log *slog.Logger) *Pool {
	if opt.OnRequestWritten == nil {
		opt.OnRequestWritten = func() {}
	}
	d := opt.dialer()
	p := &Pool{codec: codec, opt: opt, count: count, log: log, dial: d.DialContext, reuseDelay: reuseDelay,
		idle: map[core.Instance][]*conn{}, connCounts: map[core.Instance]int{}, pending: map[core.Instance]map[*pendingAttempt]struct{}{}}
	if opt.LearnIdleLimits {
		p.idleLimits = newIdleLimits(opt.IdleTimeout)
	}
	return p
}

// WriteBodyFraming writes the Transfer-Encoding or Content-Length field of a request head. It
// writes none for a GET without a body.
func WriteBodyFraming(dst *bytes.Buffer, call *message.Call) {
	switch {
	case call.Length == message.UnknownLength:
		dst.WriteString("Transfer-Encoding: chunked\r\n")
	case call.Length > 0 || call.Method != http.MethodGet:
		fmt.Fprintf(dst, "Content-Length: %d\r\n", call.Length)
	}
}
