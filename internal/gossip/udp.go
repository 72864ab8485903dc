package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
)

// udpBuffer is the size of a socket's buffers in bytes. The kernel counts a few hundred bytes
// of overhead per datagram, so some hundreds of datagrams fit.
const udpBuffer = 256 << 10

// UDP is the Transport on a UDP socket.
type UDP struct{ conn *net.UDPConn }

// ListenUDP opens a socket at host:port.
func ListenUDP(addr string) (*UDP, error) {
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	return &UDP{c}, errors.Join(c.SetReadBuffer(udpBuffer), c.SetWriteBuffer(udpBuffer))
}

// Addr implements Transport.
func (u *UDP) Addr() string { return u.conn.LocalAddr().String() }

// Send implements Transport.
func (u *UDP) Send(to string, datagram []byte) error {
	switch {
	case len(datagram) > MaxDatagram:
		return ErrTooLong
	case len(datagram) == 0:
		return nil
	}
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil // no such address: lost
	}
	if _, err = u.conn.WriteToUDPAddrPort(datagram, at); errors.Is(err, net.ErrClosed) {
		return ErrClosed
	}
	return nil // a datagram that the network does not accept is lost
}

// Receive implements Transport.
func (u *UDP) Receive() (string, []byte, error) {
	var buf [MaxDatagram + 1]byte // one byte more, to detect longer datagrams
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buf[:])
		switch {
		case errors.Is(err, net.ErrClosed):
			return "", nil, ErrClosed
		case err != nil || n == 0 || n > MaxDatagram: // an error here reports an earlier send
			continue
		}
		return netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String(), append([]byte(nil), buf[:n]...), nil
	}
}

// Close implements Transport.
func (u *UDP) Close() error {
	if err := u.conn.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
