package gossip

import "errors"

// MaxDatagram is the most bytes a datagram may have: the platform ends a run over a longer one.
const MaxDatagram = 256

// What a Transport refuses.
var (
	ErrTooLong = errors.New("a datagram over 256 bytes")
	ErrClosed  = errors.New("the transport is closed")
)

// Transport carries datagrams between nodes. All of it may be called from several goroutines.
// What every Transport promises is judged by the clauses of contract_test.go.
type Transport interface {
	// Addr is the address at which others reach this one.
	Addr() string
	// Send hands on a datagram of 1 to MaxDatagram bytes; a longer one is refused with
	// ErrTooLong and an empty one does nothing. It waits for nobody: where the other side is
	// slow, gone or unknown the datagram is lost, which is no error, and later ones to others
	// are not. The bytes are the caller's again once it returns. After Close: ErrClosed.
	Send(to string, datagram []byte) error
	// Receive waits for a datagram and returns it with the address of its sender, by which
	// that is sent to. Datagrams may be lost, come twice or out of order, but each came just
	// so from that sender, and is whole: one over MaxDatagram is dropped, not cut. The bytes
	// are the caller's to keep. What waits unread is bounded; beyond that datagrams are lost.
	// Once closed, and then also if it was waiting: ErrClosed.
	Receive() (from string, datagram []byte, err error)
	// Close ends it, whatever is being sent or awaited; a second time it does nothing.
	Close() error
}
