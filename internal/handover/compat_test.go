package handover

import (
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The fixture holds the bytes that a process of the build before identifiers were renamed sends to
// its successor, beside the listening socket. It must not be regenerated: at an upgrade one side
// runs that build.
func earlierBytes(t *testing.T) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "earlier_build", "handover.bin"))
	require.NoError(t, err)
	return raw
}

const (
	earlierListen = "127.0.0.1:8080"
	earlierSocket = "oakseam-127.0.0.1-8080.sock"
	earlierState  = `{"list":{"rev":7,"all":true,"targets":[]}}`
	earlierReady  = 'R'
	// earlierHeader is how many bytes go along with the socket.
	earlierHeader = 16
)

// A successor must take the place that a process of an earlier build hands over, and tell it that
// it is ready by the byte that that build waits for.
func TestClaimsFromEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: filepath.Join(dir, earlierSocket), Net: "unix"})
	require.NoError(t, err)
	defer listener.Close()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer front.Close()
	raw := earlierBytes(t)
	readyByte := make(chan byte, 1)
	go func() { // the predecessor
		defer close(readyByte)
		c, err := listener.AcceptUnix()
		if !assert.NoError(t, err) {
			return
		}
		defer c.Close()
		f, err := front.(*net.TCPListener).File()
		if !assert.NoError(t, err) {
			return
		}
		defer f.Close()
		_, _, err = c.WriteMsgUnix(raw[:earlierHeader], syscall.UnixRights(int(f.Fd())), nil)
		assert.NoError(t, err)
		_, err = c.Write(raw[earlierHeader:])
		assert.NoError(t, err)
		var word [1]byte
		if _, err := io.ReadFull(c, word[:]); assert.NoError(t, err) {
			readyByte <- word[0]
		}
	}()
	taken, err := TakeOver(dir, earlierListen)
	require.NoError(t, err)
	defer taken.Abort()
	defer taken.Listener.Close()
	assert.Equal(t, earlierState, string(taken.State))
	assert.Equal(t, front.Addr().String(), taken.Listener.Addr().String())
	require.NoError(t, taken.SignalReady())
	assert.Equal(t, byte(earlierReady), <-readyByte)
}

// A successor of an earlier build must get the bytes that it reads, and its word must be readyByte.
func TestOffersToEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer front.Close()
	observer := make(recorder, 10)
	o, err := NewOffer(dir, earlierListen, front.(*net.TCPListener), func() ([]byte, error) { return []byte(earlierState), nil }, observer, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer o.Close()
	c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: filepath.Join(dir, earlierSocket), Net: "unix"})
	require.NoError(t, err)
	defer c.Close()

	raw := earlierBytes(t)
	got, rights := make([]byte, len(raw)), make([]byte, syscall.CmsgSpace(4))
	n, rightsLength, _, _, err := c.ReadMsgUnix(got[:earlierHeader], rights)
	require.NoError(t, err)
	messages, err := syscall.ParseSocketControlMessage(rights[:rightsLength])
	require.NoError(t, err)
	require.Len(t, messages, 1)
	descriptors, err := syscall.ParseUnixRights(&messages[0])
	require.NoError(t, err)
	require.Len(t, descriptors, 1, "the listening socket")
	syscall.Close(descriptors[0])
	_, err = io.ReadFull(c, got[n:])
	require.NoError(t, err)
	assert.Equal(t, raw, got)
	observer.expect(t, "began")
	_, err = c.Write([]byte{earlierReady})
	require.NoError(t, err)
	observer.expect(t, "ready")
	require.NoError(t, c.Close())
	observer.expect(t, "gone")
}
