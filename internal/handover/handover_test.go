package handover

import (
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/internal/durable"
)

// recorder records the events of a successor.
type recorder chan string

func (h recorder) SuccessorStarted() { h <- "began" }
func (h recorder) SuccessorReady()   { h <- "ready" }
func (h recorder) SuccessorExited()  { h <- "gone" }

func (h recorder) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-h:
		assert.Equal(t, want, got)
	case <-time.After(20 * time.Second):
		require.Fail(t, "no event "+want)
	}
}

func offer(t *testing.T, dir, state string) (*Offer, *net.TCPListener, recorder) {
	l, err := Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	h := make(recorder, 10)
	o, err := NewOffer(dir, "here:1", l, func() ([]byte, error) { return []byte(state), nil }, h, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	return o, l, h
}

// Guards against connections that are reset when the predecessor closes its listener: the
// successor must have the same accept queue.
func TestQueuedConnectionsSurviveHandover(t *testing.T) {
	for _, dir := range []string{t.TempDir(), t.TempDir() + "/" + strings.Repeat("long/", 25)} {
		require.NoError(t, os.MkdirAll(dir, 0o700))
		o, l, h := offer(t, dir, strings.Repeat("state ", 100000))
		takeover, err := TakeOver(dir, "here:1")
		require.NoError(t, err)
		h.expect(t, "began")
		assert.Equal(t, strings.Repeat("state ", 100000), string(takeover.State))
		require.NoError(t, takeover.SignalReady())
		h.expect(t, "ready")
		_, err = TakeOver(dir, "here:1")
		assert.Error(t, err, "one successor at a time")

		waiting, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		defer waiting.Close()
		l.Close()
		c, err := takeover.Listener.Accept()
		require.NoError(t, err)
		c.Write([]byte("x"))
		_, err = waiting.Read(make([]byte, 1))
		assert.NoError(t, err)
		takeover.Abort()
		h.expect(t, "gone")
		o.Close()
		takeover.Listener.Close()
	}
}

func TestTakeOverFromDeadOrWrongProcess(t *testing.T) {
	dir := t.TempDir()
	_, err := TakeOver(dir, "here:1")
	assert.ErrorIs(t, err, ErrNoPredecessor)
	o, l, _ := offer(t, dir, "")
	_, err = NewOffer(dir, "here:1", l, nil, nil, nil)
	assert.ErrorIs(t, err, ErrAlreadyOffered)
	o.Close()

	// A dead process left its socket file.
	name, _, err := socketPath(dir, "here:1")
	require.NoError(t, err)
	dead, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	require.NoError(t, err)
	dead.SetUnlinkOnClose(false)
	dead.Close()
	_, err = TakeOver(dir, "here:1")
	assert.ErrorIs(t, err, ErrNoPredecessor)
	o, _, _ = offer(t, dir, "")
	takeover, err := TakeOver(dir, "here:1")
	require.NoError(t, err)
	o.Close()
	takeover.Listener.Close()
	takeover.Abort()

	// A process that sends no socket.
	odd, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	require.NoError(t, err)
	defer odd.Close()
	go func() {
		if c, err := odd.Accept(); err == nil {
			text, _ := durable.Frame(nil)
			c.Write(text)
		}
	}()
	_, err = TakeOver(dir, "here:1")
	assert.ErrorContains(t, err, "received no socket")
}
