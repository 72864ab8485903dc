package dispatch

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/message"
	"oakseam/internal/upstream"
	"oakseam/logic"
)

// HTTP header names shared with servers and clients.
const (
	AttemptHeader     = "Oakseam-Attempt-Id"
	TimeBudgetHeader  = "Oakseam-Time-Budget"
	TargetHeader      = "Oakseam-Target-Member"
	NotExecutedHeader = "Oakseam-Not-Executed"
	LoadHeader        = "Oakseam-Member-Load"
	PriorityHeader    = "Priority"
	LastEventHeader   = "Last-Event-Id"
)

// StreamType is the media type of a stream of server-sent events.
const StreamType = "text/event-stream"

// codec writes requests to model and tool servers and classifies their responses.
type codec struct{}

var _ upstream.Codec = codec{}

// WriteHead implements upstream.Codec.
func (codec) WriteHead(dst *bytes.Buffer, call *message.Call, server core.Instance, timeLeft time.Duration) {
	fmt.Fprintf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	fmt.Fprintf(dst, "%s: %s\r\n%s: %d\r\n%s: %s\r\n", AttemptHeader, call.ID, TimeBudgetHeader, max(timeLeft.Milliseconds(), 1), TargetHeader, server.ID)
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

// Classify implements upstream.Codec. Every response names the attempt that it answers. A response
// that names another attempt, or none, proves nothing about this one: neither that it succeeded
// nor that it never ran.
func (codec) Classify(call *message.Call, response *http.Response) upstream.Classification {
	classification := upstream.Classification{Report: parseLoadReport(response.Header.Get(LoadHeader))}
	if response.Header.Get(AttemptHeader) != call.ID {
		classification.Misrouted = true
		return classification
	}
	switch status := response.StatusCode; {
	case status == http.StatusMisdirectedRequest:
		classification.Result = logic.ConnectFailed // another server now has the address, so the request did not run
	case response.Header.Get(NotExecutedHeader) != "":
		classification.Result = logic.QueueFull
	case status >= 200 && status < 300:
		classification.Result = logic.OK
		classification.Stream = strings.HasPrefix(response.Header.Get("Content-Type"), StreamType)
	default:
		classification.Result, classification.PassThrough = logic.Failed, true
	}
	return classification
}

// parseLoadReport returns the number of requests at a server, running plus waiting. It returns nil
// for a malformed header.
func parseLoadReport(text string) []float64 {
	running, rest, ok := strings.Cut(text, ",")
	if !ok {
		return nil
	}
	waiting, _, _ := strings.Cut(rest, ",")
	runningCount, err := strconv.ParseFloat(strings.TrimSpace(running), 64)
	if err != nil || !(runningCount >= 0) {
		return nil
	}
	waitingCount, err := strconv.ParseFloat(strings.TrimSpace(waiting), 64)
	if err != nil || !(waitingCount >= 0) {
		return nil
	}
	return []float64{runningCount + waitingCount}
}
