package fakes

import (
	"bufio"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestFrontendForwardsToChosenNode guards against a connection that reaches another node than the
// one it was dialed for, an unreachable node that isn't reported, and a node's close or reset that
// doesn't reach the client.
func TestFrontendForwardsToChosenNode(t *testing.T) {
	f, err := NewFrontend("127.0.0.1")
	require.NoError(t, err)
	defer f.Close()
	deadline := time.Now().Add(10 * time.Second)
	first, err := NewBackend(OK)
	require.NoError(t, err)
	defer first.Close()
	second, err := NewBackend(ResetConnection)
	require.NoError(t, err)
	defer second.Close()
	down, err := ReserveAddress("127.0.0.1")
	require.NoError(t, err)
	defer down.Close()
	for _, tt := range []struct {
		address string
		err     error
	}{{first.Addr, nil}, {second.Addr, syscall.ECONNRESET}, {down.Addr, syscall.ECONNREFUSED}} {
		c, err := f.Dial(tt.address, deadline)
		if err == nil {
			c.SetDeadline(deadline)
			io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			_, err = http.ReadResponse(bufio.NewReader(c), nil)
			c.Close()
		}
		assert.ErrorIs(t, err, tt.err)
	}
	assert.Len(t, first.Requests, 1)
	assert.Len(t, second.Requests, 1)
	require.Eventually(t, func() bool { return first.Closed.Load() == 1 }, 10*time.Second, time.Millisecond)
}
