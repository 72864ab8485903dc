// Package backend implements the protocol between a node and its backends: the names of the
// headers, and the meaning of responses. internal/upstream does the transport.
package backend

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

// Codec encodes requests for backends and classifies their responses.
type Codec struct {
	ReportFields []string // of a load report, by their names in the settings
}

var _ upstream.Codec = Codec{}

// WriteHead writes the head of a request. The call's own headers are not passed on.
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

// Classify classifies a response: 200 is served, one that the backend marks as unprocessed
// never ran, and all others failed.
func (c Codec) Classify(_ *message.Call, res *http.Response) upstream.Classification {
	v := upstream.Classification{Result: logic.Failed, Report: c.parseReport(res.Header.Get("X-Backend-Load"))}
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

// maxLoadValue is above any plausible value of a load report.
const maxLoadValue = 1e9

// headerNames maps the fields in the settings to their names in a report's header, where
// these differ.
var headerNames = map[string]string{
	logic.ReportInFlight: "inflight", "pending": "queue", "cpu_share": "util",
	"svc_ms": "latency_ms", "served_ps": "qps", "failed_ps": "eps",
}

// parseReport returns the values of a load report in the order of ReportFields, nil where
// one is missing.
func (c Codec) parseReport(text string) []float64 {
	if text == "" || len(c.ReportFields) == 0 {
		return nil
	}
	values := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, text, _ := strings.Cut(part, "=")
		if value, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil && value >= 0 && value <= maxLoadValue {
			values[strings.TrimSpace(name)] = value
		}
	}
	report := make([]float64, len(c.ReportFields))
	for i, field := range c.ReportFields {
		value, ok := values[field]
		if !ok {
			if value, ok = values[headerNames[field]]; !ok {
				return nil // a missing value must not count as 0
			}
		}
		report[i] = value
	}
	return report
}
