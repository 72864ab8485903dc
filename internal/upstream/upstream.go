// Package upstream carries attempts to servers over HTTP/1.1 on plain connections, and
// keeps the idle connections of each. It knows framing and connections; what a head says
// and what an answer means is up to a Codec.
package upstream

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/internal/message"
	"pipitmux/logic"
)

// Codec is one protocol spoken with servers over HTTP/1.1. Its methods are called from the
// goroutines of all attempts.
type Codec interface {
	// WriteHead writes the head of a request, up to and with the empty line. The request has so long left.
	// Frame writes the line that tells how its body is framed.
	WriteHead(dst *bytes.Buffer, call *message.Call, at core.Instance, left time.Duration)
	// Classify tells what an answer means, from its head. It may change the header that a Reply
	// hands on, and must not read the body.
	Classify(call *message.Call, res *http.Response) Classification
}

// Classification is what an answer's head means.
type Classification struct {
	Result      logic.Result
	Report      []float64 // a load report in the order of the settings' fields, nil: none
	Misrouted   bool      // it belongs to another request: it is read whole and dropped, and the next one is read
	PassThrough bool      // the reply is handed on though Result is not OK: a server's own failure, unchanged
	Stream      bool      // of an OK: its bytes are passed on as they come, and nothing of them is held back
}

// Options are the limits of a Pool.
type Options struct {
	ConnectTimeout   time.Duration
	TCPUserTimeout   time.Duration           // what is sent has to be acknowledged within it (TCP_USER_TIMEOUT), 0: not set
	IdleTimeout      time.Duration           // a connection is not kept idle for longer
	LearnIdleLimits  bool                    // connections rest shorter where servers forget them sooner
	MaxConns         int                     // open or opening, over all servers
	MaxConnsPerPlace func(core.Instance) int // open or opening to one place, 0: no limit; nil: none has one. It must not block
	OmitHeader       bool                    // replies carry neither Status nor Header
	OnRequestWritten func()                  // called for each attempt that is written whole
	Budget           *message.Budget
}

// dialer sends no keep-alives: an attempt's own time-out is far shorter.
func (o Options) dialer() net.Dialer {
	d := net.Dialer{Timeout: o.ConnectTimeout, KeepAlive: -1}
	if o.TCPUserTimeout > 0 {
		d.Control = userTimeout(o.TCPUserTimeout)
	}
	return d
}

var _ core.Transport = (*Pool)(nil)

// New returns a Pool without connections.
func New(codec Codec, opt Options, count *counters.Set, log *slog.Logger) *Pool {
	if opt.OnRequestWritten == nil {
		opt.OnRequestWritten = func() {}
	}
	d := opt.dialer()
	p := &Pool{codec: codec, opt: opt, count: count, log: log, dial: d.DialContext, restFor: restFor,
		idle: map[core.Instance][]*conn{}, at: map[core.Instance]int{}, gates: map[core.Instance]map[*gate]struct{}{}}
	if opt.LearnIdleLimits {
		p.rest = newRestLimits(opt.IdleTimeout)
	}
	return p
}

// WriteBodyFraming writes the line of a head that tells how the request's body is framed, where there is one.
func WriteBodyFraming(dst *bytes.Buffer, call *message.Call) {
	switch {
	case call.Length == message.UnknownLength:
		dst.WriteString("Transfer-Encoding: chunked\r\n")
	case call.Length > 0 || call.Method != http.MethodGet:
		fmt.Fprintf(dst, "Content-Length: %d\r\n", call.Length)
	}
}
