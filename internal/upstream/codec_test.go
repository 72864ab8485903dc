package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"oakseam/internal/core"
	"oakseam/internal/message"
	"oakseam/logic"
)

// testCodec is a protocol in which header fields of a response state its Classification.
type testCodec struct{}

func (testCodec) WriteHead(dst *bytes.Buffer, call *message.Call, instance core.Instance, _ time.Duration) {
	fmt.Fprintf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\nTo: %s\r\n", call.Method, call.Target, call.Host, instance.ID)
	WriteBodyFraming(dst, call)
	dst.WriteString("\r\n")
}

func (testCodec) Classify(call *message.Call, res *http.Response) Classification {
	result := Classification{Result: logic.OK, PassThrough: res.Header.Get("Pass") != "", Stream: res.Header.Get("Stream") != ""}
	if res.StatusCode != http.StatusOK {
		result.Result = logic.Failed
	}
	if id := res.Header.Get("For"); id != "" && id != call.ID {
		result.Misrouted = true
	}
	return result
}
