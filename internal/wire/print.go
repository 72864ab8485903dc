package wire

import (
	"strconv"
	"strings"
	"time"

	"pipitmux/logic"
)

// AppendAction adds the line of an action of an instance to dst.
func AppendAction(dst []byte, node int, a logic.Action) []byte {
	switch a := a.(type) {
	case logic.Send:
		dst = head(dst, "FORWARD", node, string(a.ID))
		dst = append(append(dst, ' '), a.Server...)
		dst = duration(dst, max(a.Timeout, time.Microsecond))
	case logic.Cancel:
		dst = head(dst, "ABANDON", node, string(a.ID))
		dst = strconv.AppendInt(append(dst, ' '), int64(a.Attempt), 10)
	case logic.Reject:
		dst = head(dst, "REJECT", node, string(a.ID))
		dst = duration(dst, a.RetryAfter)
	case logic.Fail:
		dst = head(dst, "FAIL", node, string(a.ID))
	case logic.SetTimer:
		dst = head(dst, "SCHEDULE", node, "")
		dst = strconv.AppendUint(dst, a.Token, 10)
		dst = duration(dst, a.After)
	case logic.Subscribe:
		dst = head(dst, "TRACK", node, "1")
	case logic.Fetch:
		dst = head(dst, "PULL", node, "")
		dst = dst[:len(dst)-1]
	case logic.CloseIdle:
		dst = head(dst, "HANG_UP", node, string(a.Server))
	case logic.Log:
		dst = head(dst, "WRITE_LOG", node, oneLine(a.Text))
	}
	return append(dst, '\n')
}

// AppendFault adds a line that says an instance's decision code has failed.
func AppendFault(dst []byte, node int, text string) []byte {
	return append(head(dst, "BUG", node, oneLine(text)), '\n')
}

// AppendEnd adds the line that ends the reply to a batch.
func AppendEnd(dst []byte, seq string) []byte {
	return append(append(append(dst, "FINISHED "...), seq...), '\n')
}

func head(dst []byte, name string, node int, first string) []byte {
	dst = append(append(dst, name...), ' ')
	dst = append(strconv.AppendInt(dst, int64(node), 10), ' ')
	return append(dst, first...)
}

func duration(dst []byte, d time.Duration) []byte {
	return strconv.AppendInt(append(dst, ' '), max(d.Microseconds(), 0), 10)
}

// oneLine keeps a text from breaking the framing.
func oneLine(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' {
			return ' '
		}
		return r
	}, s)
}
