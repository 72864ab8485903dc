package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"pipitmux/internal/core"
	"pipitmux/internal/message"
	"pipitmux/logic"
)

// plain is a protocol in which an answer's header says what is to be judged of it.
type plain struct{}

func (plain) WriteHead(dst *bytes.Buffer, call *message.Call, at core.Instance, _ time.Duration) {
	fmt.Fprintf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\nTo: %s\r\n", call.Method, call.Target, call.Host, at.ID)
	WriteBodyFraming(dst, call)
	dst.WriteString("\r\n")
}

func (plain) Classify(call *message.Call, res *http.Response) Classification {
	v := Classification{Result: logic.OK, PassThrough: res.Header.Get("Pass") != "", Stream: res.Header.Get("Stream") != ""}
	if res.StatusCode != http.StatusOK {
		v.Result = logic.Failed
	}
	if id := res.Header.Get("For"); id != "" && id != call.ID {
		v.Misrouted = true
	}
	return v
}
