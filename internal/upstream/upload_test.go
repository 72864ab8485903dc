package upstream

import (
	"bufio"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pipitmux/internal/message"
	"pipitmux/logic"
)

var errBroken = errors.New("connection reset")

// breaking is a connection that breaks with the write that reaches so many bytes, of which it
// takes so many.
type breaking struct {
	net.Conn
	at, takes, written int
}

func (c *breaking) Write(b []byte) (int, error) {
	if c.written+len(b) < c.at {
		c.written += len(b)
		return len(b), nil
	}
	return min(c.takes, len(b)), errBroken
}

func (c *breaking) SetWriteDeadline(time.Time) error { return nil }

// writing makes an upload on a connection that breaks.
func writing(call *message.Call, at, takes int) *upload {
	socket := &breaking{at: at, takes: takes}
	return &upload{pool: poolOf(1), c: &conn{Conn: socket, in: bufio.NewReader(strings.NewReader(""))}, call: call}
}

// A write that took all bytes may have reached the server, though it reports an error: the
// request is not sent again. Where it took one byte less nothing can have run.
func TestWriteThatBreaksTellsWhatMayHaveRun(t *testing.T) {
	call := &message.Call{Method: "POST", Target: "/", Host: "h", ID: "i", Length: 4, Body: []byte("body")}
	size := writing(call, 0, 0).head(time.Second, 0).Len() + len(call.Body)
	for takes, want := range map[int]logic.Result{
		0: logic.ConnectFailed, 1: logic.ConnectFailed, size - 1: logic.ConnectFailed, size: logic.Reset,
	} {
		broken := writing(call, size, takes).plain(time.Second)
		assert.Equal(t, want, broken.result(), "%d of %d bytes were taken", takes, size)
	}
}

// Of a body that is passed on as it comes, the last bytes may run the request as soon as they
// are handed to the kernel, whatever the write reports. Earlier ones can't.
func TestPassedOnBodyThatBreaksTellsWhatMayHaveRun(t *testing.T) {
	call := func(length int64) *message.Call {
		return &message.Call{Method: "POST", Target: "/", Host: "h", ID: "i", Length: length, Body: []byte("be"),
			Rest: message.NewStream(strings.NewReader("gun"), func() {})}
	}
	for _, length := range []int64{5, message.UnknownLength} {
		head := writing(call(length), 0, 0).head(time.Second, 0).Len()
		whole := head + 5
		if length == message.UnknownLength {
			whole = head + len("2\r\nbe\r\n3\r\ngun\r\n0\r\n\r\n")
		}
		for at, want := range map[int]logic.Result{
			head: logic.ConnectFailed, head + 1: logic.ConnectFailed, whole: logic.Reset,
		} {
			up := writing(call(length), at, 0)
			err := up.pass(time.Second)
			assert.ErrorIs(t, err, errBroken)
			assert.Equal(t, want, (&Error{up.stage(), err}).result(), "length %d, broken at %d of %d", length, at, whole)
		}
	}
}
