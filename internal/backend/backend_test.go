package backend

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakseam/internal/core"
	"oakseam/internal/message"
	"oakseam/internal/upstream"
	"oakseam/logic"
)

// A missing or invalid value must not reach the module as an empty queue.
func TestIncompleteLoadReportIsDropped(t *testing.T) {
	for _, tt := range []struct {
		text   string
		fields []string
		want   []float64
	}{
		{"inflight=7,queue=2,util=0.61", []string{"pending"}, []float64{2}},
		{"pending=3", []string{"pending"}, []float64{3}},
		{"inflight=7, queue=2", []string{"pending", logic.ReportInFlight}, []float64{2, 7}},
		{"inflight=7", []string{"pending"}, nil},
		{"queue=many", []string{"pending"}, nil},
		{"queue=NaN", []string{"pending"}, nil},
		{"queue=+Inf", []string{"pending"}, nil},
		{"queue=-1", []string{"pending"}, nil},
		{"queue=1e300", []string{"pending"}, nil},
		{"", []string{"pending"}, nil},
		{"queue=2", nil, nil},
	} {
		codec := Codec{ReportFields: tt.fields}
		assert.Equal(t, tt.want, codec.parseReport(tt.text), "%q as %v", tt.text, tt.fields)
	}
}

// The head of a request must be exactly as specified.
func TestWriteHeadIsExact(t *testing.T) {
	const start = "POST /api/x HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: i\r\n"
	for _, tt := range []struct {
		call message.Call
		left time.Duration
		want string
	}{
		{message.Call{}, 5 * time.Millisecond, "X-Time-Left: 5000u\r\nContent-Length: 0\r\n\r\n"},
		{message.Call{Key: "k", ContentType: "text/plain", Length: 3}, -1,
			"X-Time-Left: 1u\r\nIdempotency-Key: k\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\n"},
		{message.Call{Length: message.UnknownLength, Header: http.Header{"More": {"1"}}}, time.Second,
			"X-Time-Left: 1000000u\r\nTransfer-Encoding: chunked\r\n\r\n"},
	} {
		tt.call.Method, tt.call.Target, tt.call.Host, tt.call.ID = "POST", "/api/x", "h", "i"
		var out bytes.Buffer
		Codec{}.WriteHead(&out, &tt.call, core.Instance{}, tt.left)
		assert.Equal(t, start+tt.want, out.String())
	}
	var out bytes.Buffer
	Codec{}.WriteHead(&out, &message.Call{Method: "GET", Target: "/", Host: "h", ID: "i"}, core.Instance{}, time.Second)
	assert.NotContains(t, out.String(), "Content-Length")
}

// Only a response that the backend marks as unprocessed may count as never run, and only a 200
// as served.
func TestOnlyUnprocessedNeverRan(t *testing.T) {
	for _, tt := range []struct {
		status      int
		unprocessed string
		want        logic.Result
	}{
		{200, "", logic.OK}, {200, "1", logic.OK}, {201, "", logic.Failed}, {500, "1", logic.Failed},
		{503, "", logic.Failed}, {503, "1", logic.QueueFull}, {503, "0", logic.Failed}, {504, "1", logic.QueueFull},
	} {
		header := http.Header{"X-Unprocessed": {tt.unprocessed}, "X-Backend-Load": {"queue=2"}}
		got := Codec{ReportFields: []string{"pending"}}.Classify(&message.Call{}, &http.Response{StatusCode: tt.status, Header: header})
		assert.Equal(t, upstream.Classification{Result: tt.want, Report: []float64{2}}, got, "%d, unprocessed %q", tt.status, tt.unprocessed)
	}
}
