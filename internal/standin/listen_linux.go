package standin

import (
	"net"
	"os"
	"strconv"
	"syscall"
	"time"
)

// fillWithin is how long a connection to a full accept queue is waited for: on
// loopback one that comes up does so at once.
const fillWithin = 50 * time.Millisecond

// ReservedAddress is an address that stays ours while nobody listens at it: without that,
// any connection that is opened meanwhile may be given its port. A listener that
// sets SO_REUSEADDR, as net.Listen does, can take it; connections are refused
// until one does.
type ReservedAddress struct {
	Addr string
	f    *os.File
}

// ReserveAddress holds a free port of the host, which must be of 127.0.0.0/8, until Close.
func ReserveAddress(host string) (*ReservedAddress, error) {
	f, err := bound(net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	at, err := syscall.Getsockname(int(f.Fd()))
	if err != nil {
		f.Close()
		return nil, os.NewSyscallError("getsockname", err)
	}
	return &ReservedAddress{net.JoinHostPort(host, strconv.Itoa(at.(*syscall.SockaddrInet4).Port)), f}, nil
}

// Close gives the address up.
func (h *ReservedAddress) Close() { h.f.Close() }

// bound is a socket bound to an address.
func bound(addr string) (*os.File, error) {
	a, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	f := os.NewFile(uintptr(fd), "bound")
	at := &syscall.SockaddrInet4{Port: a.Port}
	copy(at.Addr[:], a.IP.To4())
	err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	if err == nil {
		err = os.NewSyscallError("bind", syscall.Bind(fd, at))
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// listenShort listens with the shortest queue of connections to be accepted, so
// that a machine that stops accepting is soon one where none comes up.
func listenShort(addr string) (*net.TCPListener, error) {
	f, err := bound(addr)
	if err != nil {
		return nil, err
	}
	defer f.Close() // FileListener has a copy
	if err := syscall.Listen(int(f.Fd()), backlog); err != nil {
		return nil, os.NewSyscallError("listen", err)
	}
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil
}

// unlisten ends a listener at once. A close alone does not where a process is
// being started: until its exec it has a copy that goes on listening, and the
// address can't be listened at again.
func unlisten(l *net.TCPListener) {
	if raw, err := l.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
	l.Close()
}

// backlog is short, yet long enough for a node that opens several at once.
const backlog = 16
