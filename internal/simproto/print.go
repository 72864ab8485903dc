package simproto

import (
	"strconv"
	"strings"
	"time"

	"oakseam/logic"
)

// AppendAction appends the protocol line of an action of instance node to dst.
func AppendAction(dst []byte, node int, a logic.Action) []byte {
	switch a := a.(type) {
	case logic.Send:
		dst = appendHead(dst, "FORWARD", node, string(a.ID))
		dst = append(append(dst, ' '), a.Server...)
		dst = appendMicros(dst, max(a.Timeout, time.Microsecond))
	case logic.Cancel:
		dst = appendHead(dst, "ABANDON", node, string(a.ID))
		dst = strconv.AppendInt(append(dst, ' '), int64(a.Attempt), 10)
	case logic.Reject:
		dst = appendHead(dst, "REJECT", node, string(a.ID))
		dst = appendMicros(dst, a.RetryAfter)
	case logic.Fail:
		dst = appendHead(dst, "FAIL", node, string(a.ID))
	case logic.SetTimer:
		dst = appendHead(dst, "SCHEDULE", node, "")
		dst = strconv.AppendUint(dst, a.Token, 10)
		dst = appendMicros(dst, a.After)
	case logic.Subscribe:
		dst = appendHead(dst, "TRACK", node, "1")
	case logic.Fetch:
		dst = appendHead(dst, "PULL", node, "")
		dst = dst[:len(dst)-1]
	case logic.CloseIdle:
		dst = appendHead(dst, "HANG_UP", node, string(a.Server))
	case logic.Log:
		dst = appendHead(dst, "WRITE_LOG", node, oneLine(a.Text))
	}
	return append(dst, '\n')
}

// AppendBug appends a BUG line, which reports that the decision code of instance node failed.
func AppendBug(dst []byte, node int, text string) []byte {
	return append(appendHead(dst, "BUG", node, oneLine(text)), '\n')
}

// AppendFinished appends the line that ends the reply to the batch with number seq.
func AppendFinished(dst []byte, seq string) []byte {
	return append(append(append(dst, "FINISHED "...), seq...), '\n')
}

// appendHead appends the action name, the instance number and the first value.
func appendHead(dst []byte, name string, node int, first string) []byte {
	dst = append(append(dst, name...), ' ')
	dst = append(strconv.AppendInt(dst, int64(node), 10), ' ')
	return append(dst, first...)
}

// appendMicros appends a duration in whole microseconds, and 0 for a negative one.
func appendMicros(dst []byte, d time.Duration) []byte {
	return strconv.AppendInt(append(dst, ' '), max(d.Microseconds(), 0), 10)
}

// oneLine replaces control characters by spaces, because a newline would break the line framing.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, s)
}
