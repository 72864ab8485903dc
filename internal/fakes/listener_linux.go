package fakes

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// fillTimeout limits each connection attempt that fills an accept queue. On loopback a connection
// that can be established is established at once.
const fillTimeout = 50 * time.Millisecond

// ReservedAddress is an address that stays reserved while nobody listens on it. Without the
// reservation, any connection that is opened meanwhile may be given its port. A listener that sets
// SO_REUSEADDR, as net.Listen does, can use the address; until then connections are refused.
type ReservedAddress struct {
	Addr   string
	socket *os.File
}

// ReserveAddress reserves a free port of the host, which must be in 127.0.0.0/8, until Close.
func ReserveAddress(host string) (*ReservedAddress, error) {
	f, err := bindSocket(net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	address, err := syscall.Getsockname(int(f.Fd()))
	if err != nil {
		f.Close()
		return nil, os.NewSyscallError("getsockname", err)
	}
	return &ReservedAddress{net.JoinHostPort(host, strconv.Itoa(address.(*syscall.SockaddrInet4).Port)), f}, nil
}

// Close releases the address.
func (h *ReservedAddress) Close() { h.socket.Close() }

// bindSocket returns a TCP socket that is bound to an address.
func bindSocket(addr string) (*os.File, error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	f := os.NewFile(uintptr(fd), "bound")
	address := &syscall.SockaddrInet4{Port: a.Port}
	copy(address.Addr[:], a.IP.To4())
	err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	if err == nil {
		err = os.NewSyscallError("bind", syscall.Bind(fd, address))
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// listenShortQueue listens with a short accept queue, so that soon after a machine stops accepting
// no connection to it is established.
func listenShortQueue(addr string) (*net.TCPListener, error) {
	f, err := bindSocket(addr)
	if err != nil {
		return nil, err
	}
	defer f.Close() // FileListener duplicates the descriptor
	if err := syscall.Listen(int(f.Fd()), backlog); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// shutdownListener stops a listener at once. Closing it is not enough while a process is being
// started: until its exec that process has a copy of the descriptor, which goes on listening, and
// the address can't be listened on again.
func shutdownListener(l *net.TCPListener) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
	l.Close()
}

// backlog is the length of the accept queue: short, but enough for a node that opens several
// connections at once.
const backlog = 16
