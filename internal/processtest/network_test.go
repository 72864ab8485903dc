package processtest

import (
	"io"
	"net"
	"time"
)

// greetingBytes is the length of the greeting that an internal port sends on each connection.
const greetingBytes = 8

// greets reports whether a process of the tier answers at an internal address.
func greets(address string) bool {
	connection, err := net.DialTimeout("tcp", address, callTimeout)
	if err != nil {
		return false
	}
	defer connection.Close()
	if err := connection.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return false
	}
	_, err = io.ReadFull(connection, make([]byte, greetingBytes))
	return err == nil
}
