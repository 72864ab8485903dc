// Package handover passes a node's place from one process to its successor over a
// Unix socket in a folder that both see: the listening socket, and a state that is
// bytes to it. The link's end tells each that the other has gone. It must not know
// what a state holds, nor what a node does with its place.
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

	"pipitmux/internal/durable"
	"pipitmux/internal/logging"
)

const (
	// maxPath is the most that a Unix socket's address holds.
	maxSocketPath = 104
	// speakWithin is how long either side may take for its part of the start.
	handshakeTimeout = 2 * time.Second
	readyByte        = 'R'
)

// ErrNoPredecessor tells that there is no process to take over from.
var ErrNoPredecessor = errors.New("handover: nobody to take over from")

// path is where the process that listens at an address waits for its successor. Where
// dir is too long for a socket's address, it is reached by an open descriptor of it;
// done closes that.
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

// Takeover is the place of another process.
type Takeover struct {
	Listener *net.TCPListener // the same queue of connections as the predecessor's
	State    []byte
	conn     *net.UnixConn
	exited   chan struct{}
}

// TakeOver asks the process that listens at an address for its place. It returns
// ErrNobody where there is none, and another error where one is not to be had.
func TakeOver(dir, listen string) (*Takeover, error) {
	name, closeDir, err := socketPath(dir, listen)
	if err != nil {
		return nil, err
	}
	defer closeDir()
	c, err := net.DialTimeout("unix", name, handshakeTimeout)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNoPredecessor // a dead one's leavings are none
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

// receive reads what the predecessor hands over. The socket comes with the header.
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
		return errors.New("what was handed over is no listener for TCP")
	}
	t.Listener = tl
	return t.conn.SetDeadline(time.Time{})
}

// descriptor returns the one descriptor that came.
func receivedDescriptor(rights []byte) (int, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil || len(messages) != 1 {
		return 0, errors.New("no socket came")
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return 0, errors.New("no socket came")
	}
	syscall.CloseOnExec(fds[0])
	return fds[0], nil
}

// SignalReady tells the predecessor that its successor serves.
func (t *Takeover) SignalReady() error {
	_, err := t.conn.Write([]byte{readyByte})
	return err
}

// Abort ends the link: the predecessor goes on as if nothing had been.
func (t *Takeover) Abort() { t.conn.Close() }

// PredecessorExited is closed when the predecessor has ended.
func (t *Takeover) PredecessorExited() <-chan struct{} { return t.exited }

// SuccessorObserver is told of a successor. One is there at a time.
type SuccessorObserver interface {
	// SuccessorStarted: a process has been handed the place, and gets ready.
	SuccessorStarted()
	// SuccessorReady: it serves.
	SuccessorReady()
	// SuccessorExited: it has ended.
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

// ErrAlreadyOffered tells that another process waits for a successor at the same place.
var ErrAlreadyOffered = errors.New("handover: another process waits for a successor here")

// NewOffer offers the place of the process that listens with l until Close. A socket that
// a dead process left is replaced: who holds the lock beside it is the one that waits.
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

// Close ends the offer.
func (o *Offer) Close() {
	o.socket.Close() // it also removes the socket
	o.lock.Close()
	o.closeDir()
}

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

// hand hands the place over on a link, and follows it to its end.
func (o *Offer) handOver(c *net.UnixConn) {
	defer func() {
		c.Close()
		o.mu.Lock()
		o.hasSuccessor = false
		o.mu.Unlock()
	}()
	c.SetDeadline(time.Now().Add(handshakeTimeout))
	if err := o.sendState(c); err != nil {
		o.log.Warn("handover: not handed over", logging.Cause, err)
		return
	}
	o.observer.SuccessorStarted()
	defer o.observer.SuccessorExited()
	c.SetDeadline(time.Time{})
	var word [1]byte
	for {
		if _, err := c.Read(word[:]); err != nil {
			return
		}
		if word[0] == readyByte {
			o.observer.SuccessorReady()
		}
	}
}

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
	// The descriptor is used in place: asked for as a file it would leave its non-blocking
	// mode, which the two processes share.
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

// AddressInUse tells whether a process listens at the address.
func AddressInUse(listen string) bool {
	l, err := net.Listen("tcp", listen)
	if err == nil {
		l.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}
