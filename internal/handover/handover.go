// Package handover transfers the listening socket and the state of a running process to its
// successor, over a Unix socket in a directory that both can access. The state is opaque bytes
// to it. The end of the connection tells each side that the other has exited. The package must
// not know what a state contains, nor what a node does with the socket.
package handover

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"oakseam/internal/durable"
	"oakseam/internal/logging"
)

const (
	// maxSocketPath is the maximum length of a Unix socket's address.
	maxSocketPath = 104
	// handshakeTimeout is how long either side may take for its part of the handshake.
	handshakeTimeout = 2 * time.Second
	readyByte        = 'R'
)

// ErrNoPredecessor is returned when there is no process to take over from.
var ErrNoPredecessor = errors.New("handover: no process to take over from")

// socketPath returns the path of the socket on which the process that listens at an address
// waits for its successor. Where dir is too long for a socket's address, the path goes through
// an open descriptor of dir, which closeDir closes.
func socketPath(dir, listen string) (name string, closeDir func(), err error) {
	base := durable.BaseName(listen) + ".sock"
	name = filepath.Join(dir, base)
	if len(name) <= maxSocketPath {
		return name, func() {}, nil
	}
	f, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), base), func() { f.Close() }, nil
}

// Takeover is the socket and state taken over from another process.
type Takeover struct {
	Listener *net.TCPListener // shares the accept queue with the predecessor's
	State    []byte
	conn     *net.UnixConn
	exited   chan struct{}
}

// TakeOver asks the process that listens at an address for its socket and state. It returns
// ErrNoPredecessor if there is none, and another error if the handover fails.
func TakeOver(dir, listen string) (*Takeover, error) {
	name, closeDir, err := socketPath(dir, listen)
	if err != nil {
		return nil, err
	}
	defer closeDir()
	c, err := net.DialTimeout("unix", name, handshakeTimeout)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoPredecessor // no socket, or one left by a dead process
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	t := &Takeover{conn: c.(*net.UnixConn), exited: make(chan struct{})}
	if err := t.receive(); err != nil {
		c.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	go func() {
		io.Copy(io.Discard, t.conn)
		close(t.exited)
	}()
	return t, nil
}

// receive reads the predecessor's state. The socket arrives with the header.
func (t *Takeover) receive() error {
	t.conn.SetDeadline(time.Now().Add(handshakeTimeout))
	head, rights := make([]byte, durable.HeaderSize), make([]byte, syscall.CmsgSpace(4))
	n, rn, _, _, err := t.conn.ReadMsgUnix(head, rights)
	if err != nil {
		return err
	}
	fd, err := receivedDescriptor(rights[:rn])
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if _, err := io.ReadFull(t.conn, head[n:]); err != nil {
		return err
	}
	if t.State, err = durable.Unframe(head, t.conn); err != nil {
		return err
	}
	l, err := net.FileListener(f)
	if err != nil {
		return err
	}
	tl, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return errors.New("the received socket is not a TCP listener")
	}
	t.Listener = tl
	return t.conn.SetDeadline(time.Time{})
}

// receivedDescriptor returns the descriptor in a control message, which must be the only one.
func receivedDescriptor(rights []byte) (int, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return 0, errors.New("received no socket")
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, errors.New("received no socket")
	}
	syscall.CloseOnExec(fds[0])
	return fds[0], nil
}

// SignalReady tells the predecessor that this process serves.
func (t *Takeover) SignalReady() error {
	_, err := t.conn.Write([]byte{readyByte})
	return err
}

// Abort closes the connection: the predecessor continues as before.
func (t *Takeover) Abort() { t.conn.Close() }

// PredecessorExited returns a channel that is closed when the predecessor has exited.
func (t *Takeover) PredecessorExited() <-chan struct{} { return t.exited }

// SuccessorObserver receives the events of a successor. There is one successor at a time.
type SuccessorObserver interface {
	// SuccessorStarted is called when a process has received the socket and the state.
	SuccessorStarted()
	// SuccessorReady is called when that process serves.
	SuccessorReady()
	// SuccessorExited is called when that process has exited or given up.
	SuccessorExited()
}

// Offer waits for successors.
type Offer struct {
	socket   *net.UnixListener
	lock     *os.File
	closeDir func()
	listener *net.TCPListener
	state    func() ([]byte, error)
	observer SuccessorObserver
	log      *slog.Logger

	mu           sync.Mutex
	hasSuccessor bool
}

// ErrAlreadyOffered is returned when another process waits for a successor at the same address.
var ErrAlreadyOffered = errors.New("handover: another process waits for a successor here")

// NewOffer offers the listener l and the state to successors until Close. The lock file shows
// which process waits; a socket left by a dead process is replaced.
func NewOffer(dir, listen string, l *net.TCPListener, state func() ([]byte, error), observer SuccessorObserver, log *slog.Logger) (*Offer, error) {
	name, closeDir, err := socketPath(dir, listen)
	if err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(name+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		closeDir()
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		closeDir()
		lock.Close()
		return nil, ErrAlreadyOffered
	}
	os.Remove(name)
	ul, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		closeDir()
		lock.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	o := &Offer{socket: ul, lock: lock, closeDir: closeDir, listener: l, state: state, observer: observer, log: log}
	go o.serve()
	return o, nil
}

// Close stops waiting for successors.
func (o *Offer) Close() {
	o.socket.Close() // also removes the socket file
	o.lock.Close()
	o.closeDir()
}

// serve accepts successors, one at a time, until Close.
func (o *Offer) serve() {
	for {
		c, err := o.socket.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		o.mu.Lock()
		alreadyTaken := o.hasSuccessor
		o.hasSuccessor = true
		o.mu.Unlock()
		if alreadyTaken { // one successor at a time
			c.Close()
			continue
		}
		go o.handOver(c)
	}
}

// handOver sends the socket and the state on a connection, and follows it until it closes.
func (o *Offer) handOver(c *net.UnixConn) {
	defer func() {
		c.Close()
		o.mu.Lock()
		o.hasSuccessor = false
		o.mu.Unlock()
	}()
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := o.sendState(c); err != nil {
		o.log.Warn("handover: sending the listener and the state failed", logging.Cause, err)
		return
	}
	o.observer.SuccessorStarted()
	defer o.observer.SuccessorExited()
	c.SetDeadline(time.Time{})
	var signal [1]byte
	for {
		if _, err := c.Read(signal[:]); err != nil {
			return
		}
		if signal[0] == readyByte {
			o.observer.SuccessorReady()
		}
	}
}

// sendState sends the framed state, with the descriptor of the listener at its header.
func (o *Offer) sendState(c *net.UnixConn) error {
	state, err := o.state()
	if err != nil {
		return err
	}
	text, err := durable.Frame(state)
	if err != nil {
		return err
	}
	raw, err := o.listener.SyscallConn()
	if err != nil {
		return err
	}
	// The descriptor is used in place: File would switch it to blocking mode, which the two
	// processes share.
	var sent error
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _, sent = c.WriteMsgUnix(text[:durable.HeaderSize], syscall.UnixRights(int(fd)), nil)
	})
	if err := errors.Join(err, sent); err != nil {
		return err
	}
	_, err = c.Write(text[n:])
	return err
}

// AddressInUse reports whether a process listens at the address.
func AddressInUse(listen string) bool {
	l, err := net.Listen("tcp", listen)
	if err == nil {
		l.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}
