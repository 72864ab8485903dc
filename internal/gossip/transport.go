package gossip

import "errors"

// MaxDatagram is the largest allowed datagram in bytes: the platform ends a run over a longer one.
const MaxDatagram = 256

// Errors of a Transport.
var (
	ErrTooLong = errors.New("datagram over 256 bytes")
	ErrClosed  = errors.New("transport is closed")
)

// Transport carries datagrams between nodes. All methods are safe for concurrent use.
// contract_test.go checks every promise made here for each implementation.
type Transport interface {
	// Addr returns the address at which other nodes reach this transport.
	Addr() string
	// Send sends a datagram of 1 to MaxDatagram bytes. A longer one returns ErrTooLong, an
	// empty one does nothing. Send never blocks: if the receiver is slow, closed or unknown
	// the datagram is lost, which is no error, and datagrams to others are not affected. The
	// caller may reuse the bytes after the return. After Close it returns ErrClosed.
	Send(to string, datagram []byte) error
	// Receive waits for a datagram and returns it with the address of its sender, to which
	// Send can answer. Datagrams may be lost, duplicated or reordered, but each was sent
	// unchanged by that sender and is whole: one over MaxDatagram is dropped, not truncated.
	// The caller owns the bytes. The queue of unread datagrams is bounded; further ones are
	// lost. After Close, also during a call, it returns ErrClosed.
	Receive() (from string, datagram []byte, err error)
	// Close closes the transport, also during sends and receives. Further calls do nothing.
	Close() error
}
