package fakes

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRelaysFollowDelivery guards against relays that don't follow their delivery function: each
// datagram arrives whole, in as many copies and as late as decided, from an address at which the
// sender can be answered. A lost datagram stays lost, in that direction only.
func TestRelaysFollowDelivery(t *testing.T) {
	var nodes [2]*net.UDPConn
	var addresses []string
	for i := range nodes {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		defer c.Close()
		nodes[i], addresses = c, append(addresses, c.LocalAddr().String())
	}
	r, err := NewRelays(addresses, 1)
	require.NoError(t, err)
	defer r.Close()
	const delay = 50 * time.Millisecond
	r.SetDelivery(func(from, to, length int) []time.Duration {
		switch {
		case from == 1:
			return nil
		case length == 1:
			return []time.Duration{delay}
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
		assert.Equal(t, r.Peers(1)[0], from.String(), "the address at which the sender can be answered")
		if got = append(got, string(buf[:n])); n == 1 {
			assert.GreaterOrEqual(t, time.Since(sent), delay)
		}
	}
	assert.ElementsMatch(t, []string{"bb", "bb", "a"}, got)
	assert.Equal(t, []int{2, 0}, []int{r.Forwarded(0, 1), r.Forwarded(1, 0)})
}
