// Package backend is what a node speaks with backends: the names of their header, and what
// an answer of theirs means. internal/upstream carries it.
package backend

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

// Codec is the protocol of the backends.
type Codec struct {
	ReportFields []string // of a load report, as the settings name them
}

var _ upstream.Codec = Codec{}

// WriteHead is upstream.Codec. Of the call's header nothing is handed on.
func (Codec) WriteHead(dst *bytes.Buffer, c *message.Call, _ core.Instance, left time.Duration) {
	fmt.Fprintf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left: %du\r\n",
		c.Method, c.Target, c.Host, c.ID, max(left.Microseconds(), 1))
	if c.Key != "" {
		fmt.Fprintf(dst, "Idempotency-Key: %s\r\n", c.Key)
	}
	if c.ContentType != "" {
		fmt.Fprintf(dst, "Content-Type: %s\r\n", c.ContentType)
	}
	upstream.WriteBodyFraming(dst, c)
	dst.WriteString("\r\n")
}

// Classify is upstream.Codec: 200 is served, what a backend marks as unprocessed never ran, and
// all else failed.
func (c Codec) Classify(_ *message.Call, res *http.Response) upstream.Classification {
	v := upstream.Classification{Result: logic.Failed, Report: c.report(res.Header.Get("X-Backend-Load"))}
	switch res.StatusCode {
	case http.StatusOK:
		v.Result = logic.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if res.Header.Get("X-Unprocessed") == "1" {
			v.Result = logic.QueueFull
		}
	}
	return v
}

// maxLoad is above any figure of a load report that means something.
const maxLoad = 1e9

// loadNames holds the names that a report's header has for what the settings
// call otherwise.
var loadNames = map[string]string{
	logic.ReportInFlight: "inflight", "pending": "queue", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps",
}

// report puts the values of a load report in the order of the settings' fields.
func (c Codec) report(text string) []float64 {
	if text == "" || len(c.ReportFields) == 0 {
		return nil
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, v, _ := strings.Cut(part, "=")
		if n, err := strconv.ParseFloat(strings.TrimSpace(v), 64); err == nil && n >= 0 && n <= maxLoad {
			values[strings.TrimSpace(name)] = n
		}
	}
	out := make([]float64, len(c.ReportFields))
	for i, f := range c.ReportFields {
		v, ok := values[f]
		if !ok {
			if v, ok = values[loadNames[f]]; !ok {
				return nil // a value that did not come is not a 0
			}
		}
		out[i] = v
	}
	return out
}
