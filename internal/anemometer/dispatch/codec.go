package dispatch

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/message"
	"pipitmux/internal/upstream"
	"pipitmux/logic"
)

// Header names that servers and clients use.
const (
	AttemptHeader     = "Oakseam-Attempt-Id"
	TimeBudgetHeader  = "Oakseam-Time-Budget"
	TargetHeader      = "Oakseam-Target-Member"
	NotExecutedHeader = "Oakseam-Not-Executed"
	LoadHeader        = "Oakseam-Member-Load"
	PriorityHeader    = "Priority"
	LastEventHeader   = "Last-Event-Id"
)

// StreamType is the media type of a stream of events.
const StreamType = "text/event-stream"

// codec is what model servers and tools speak.
type codec struct{}

var _ upstream.Codec = codec{}

// WriteHead implements upstream.Codec.
func (codec) WriteHead(dst *bytes.Buffer, call *message.Call, at core.Instance, left time.Duration) {
	fmt.Fprintf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	fmt.Fprintf(dst, "%s: %s\r\n%s: %d\r\n%s: %s\r\n", AttemptHeader, call.ID, TimeBudgetHeader, max(left.Milliseconds(), 1), TargetHeader, at.ID)
	for name, values := range call.Header {
		for _, v := range values {
			dst.WriteString(name)
			dst.WriteString(": ")
			dst.WriteString(v)
			dst.WriteString("\r\n")
		}
	}
	upstream.WriteBodyFraming(dst, call)
	dst.WriteString("\r\n")
}

// Classify implements upstream.Codec. Every answer of a server names the try that it is for. One
// that names another, or none, proves nothing about this one: neither a success, nor the
// promise that it never ran.
func (codec) Classify(call *message.Call, response *http.Response) upstream.Classification {
	v := upstream.Classification{Report: report(response.Header.Get(LoadHeader))}
	if response.Header.Get(AttemptHeader) != call.ID {
		v.Misrouted = true
		return v
	}
	switch status := response.StatusCode; {
	case status == http.StatusMisdirectedRequest:
		v.Result = logic.ConnectFailed // another server has the address: it did not run there
	case response.Header.Get(NotExecutedHeader) != "":
		v.Result = logic.QueueFull
	case status >= 200 && status < 300:
		v.Result = logic.OK
		v.Stream = strings.HasPrefix(response.Header.Get("Content-Type"), StreamType)
	default:
		v.Result, v.PassThrough = logic.Failed, true
	}
	return v
}

// report reads the count of requests that a server holds, running and waiting.
func report(text string) []float64 {
	running, rest, ok := strings.Cut(text, ",")
	if !ok {
		return nil
	}
	waiting, _, _ := strings.Cut(rest, ",")
	r, err := strconv.ParseFloat(strings.TrimSpace(running), 64)
	if err != nil || !(r >= 0) {
		return nil
	}
	w, err := strconv.ParseFloat(strings.TrimSpace(waiting), 64)
	if err != nil || !(w >= 0) {
		return nil
	}
	return []float64{r + w}
}
