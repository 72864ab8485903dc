package tierlab

import (
	"fmt"
	"io"
	"net"

	"github.com/go-faster/errors"
)

const (
	// firstNetwork and lastNetwork bound the second byte of reserved networks.
	firstNetwork = 20
	lastNetwork  = 250
	// reservationHost and reservationPort complete the address whose listener reserves a network.
	reservationHost = "255.1"
	reservationPort = "7999"
)

// ErrNoFreeNetwork is the error of a run for which every network is reserved by another run.
var ErrNoFreeNetwork = errors.New("every loopback network is reserved by another run")

// ReserveNetwork returns the first two bytes of addresses that no other run uses until the
// reservation is closed, also if its process is killed.
func ReserveNetwork() (network string, reservation io.Closer, err error) {
	for second := firstNetwork; second <= lastNetwork; second++ {
		network = fmt.Sprintf("127.%d", second)
		listener, err := net.Listen("tcp", net.JoinHostPort(network+"."+reservationHost, reservationPort))
		if err == nil {
			return network, listener, nil
		}
	}
	return "", nil, ErrNoFreeNetwork
}
