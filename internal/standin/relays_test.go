package standin

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A relay hands a datagram on as often and as late as its rule tells, whole and from the
// sender's own relay; what it loses stays lost, in that direction alone.
func TestRelaysDoAsTheyAreTold(t *testing.T) {
	var nodes [2]*net.UDPConn
	var at []string
	for i := range nodes {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer c.Close()
		nodes[i], at = c, append(at, c.LocalAddr().String())
	}
	r, err := NewRelays(at, 1)
	require.NoError(t, err)
	defer r.Close()
	const late = 50 * time.Millisecond
	r.SetDelivery(func(from, to, length int) []time.Duration {
		switch {
		case from == 1:
			return nil
		case length == 1:
			return []time.Duration{late}
		}
		return []time.Duration{0, time.Millisecond}
	})
	send := func(from, to int, text string) {
		a, err := net.ResolveUDPAddr("udp4", r.Peers(from)[to])
		require.NoError(t, err)
		_, err = nodes[from].WriteToUDP([]byte(text), a)
		require.NoError(t, err)
	}
	send(1, 0, "lost")
	sent := time.Now()
	send(0, 1, "a")
	send(0, 1, "bb")
	var got []string
	buf := make([]byte, 100)
	require.NoError(t, nodes[1].SetReadDeadline(time.Now().Add(10*time.Second)))
	for range 3 {
		n, from, err := nodes[1].ReadFromUDP(buf)
		require.NoError(t, err)
		assert.Equal(t, r.Peers(1)[0], from.String(), "by which it can be answered")
		if got = append(got, string(buf[:n])); n == 1 {
			assert.GreaterOrEqual(t, time.Since(sent), late)
		}
	}
	assert.ElementsMatch(t, []string{"bb", "bb", "a"}, got)
	assert.Equal(t, []int{2, 0}, []int{r.Forwarded(0, 1), r.Forwarded(1, 0)})
}
