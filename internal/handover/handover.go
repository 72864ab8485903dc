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
	maxPath = 104
	// speakWithin is how long either side may take for its part of the start.
	speakWithin = 2 * time.Second
	isReady     = 'R'
)

// ErrNobody tells that there is no process to take over from.
var ErrNobody = errors.New("handover: nobody to take over from")

// path is where the process that listens at an address waits for its successor. Where
// dir is too long for a socket's address, it is reached by an open descriptor of it;
// done closes that.
func path(dir, listen string) (name string, done func(), err error) {
	base := durable.NameOf(listen) + ".sock"
	name = filepath.Join(dir, base)
	if len(name) <= maxPath {
		return name, func() {}, nil
	}
	f, err := os.Open(dir)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", f.Fd(), base), func() { f.Close() }, nil
}

// Taken is the place of another process.
type Taken struct {
	Listener *net.TCPListener // the same queue of connections as the predecessor's
	State    []byte
	link     *net.UnixConn
	gone     chan struct{}
}

// Claim asks the process that listens at an address for its place. It returns
// ErrNobody where there is none, and another error where one is not to be had.
func Claim(dir, listen string) (*Taken, error) {
	name, done, err := path(dir, listen)
	if err != nil {
		return nil, err
	}
	defer done()
	c, err := net.DialTimeout("unix", name, speakWithin)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrNobody // a dead one's leavings are none
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	t := &Taken{link: c.(*net.UnixConn), gone: make(chan struct{})}
	if err := t.receive(); err != nil {
		c.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	go func() {
		io.Copy(io.Discard, t.link)
		close(t.gone)
	}()
	return t, nil
}

// receive reads what the predecessor hands over. The socket comes with the header.
func (t *Taken) receive() error {
	t.link.SetDeadline(time.Now().Add(speakWithin))
	head, rights := make([]byte, durable.HeaderSize), make([]byte, syscall.CmsgSpace(4))
	n, rn, _, _, err := t.link.ReadMsgUnix(head, rights)
	if err != nil {
		return err
	}
	fd, err := descriptor(rights[:rn])
	if err != nil {
		return err
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if _, err := io.ReadFull(t.link, head[n:]); err != nil {
		return err
	}
	if t.State, err = durable.Unframe(head, t.link); err != nil {
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
	return t.link.SetDeadline(time.Time{})
}

// descriptor returns the one descriptor that came.
func descriptor(rights []byte) (int, error) {
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

// Ready tells the predecessor that its successor serves.
func (t *Taken) Ready() error {
	_, err := t.link.Write([]byte{isReady})
	return err
}

// Abandon ends the link: the predecessor goes on as if nothing had been.
func (t *Taken) Abandon() { t.link.Close() }

// Gone is closed when the predecessor has ended.
func (t *Taken) Gone() <-chan struct{} { return t.gone }

// Heir is told of a successor. One is there at a time.
type Heir interface {
	// Began: a process has been handed the place, and gets ready.
	Began()
	// Ready: it serves.
	Ready()
	// Gone: it has ended.
	Gone()
}

// Offer waits for successors.
type Offer struct {
	l     *net.UnixListener
	lock  *os.File
	done  func()
	front *net.TCPListener
	state func() ([]byte, error)
	heir  Heir
	log   *slog.Logger

	mu   sync.Mutex
	busy bool
}

// ErrTaken tells that another process waits for a successor at the same place.
var ErrTaken = errors.New("handover: another process waits for a successor here")

// Wait offers the place of the process that listens with l until Close. A socket that
// a dead process left is replaced: who holds the lock beside it is the one that waits.
func Wait(dir, listen string, l *net.TCPListener, state func() ([]byte, error), heir Heir, log *slog.Logger) (*Offer, error) {
	name, done, err := path(dir, listen)
	if err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(name+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		done()
		return nil, fmt.Errorf("handover: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		done()
		lock.Close()
		return nil, ErrTaken
	}
	os.Remove(name)
	ul, err := net.ListenUnix("unix", &net.UnixAddr{Name: name, Net: "unix"})
	if err != nil {
		done()
		lock.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	o := &Offer{l: ul, lock: lock, done: done, front: l, state: state, heir: heir, log: log}
	go o.serve()
	return o, nil
}

// Close ends the offer.
func (o *Offer) Close() {
	o.l.Close() // it also removes the socket
	o.lock.Close()
	o.done()
}

func (o *Offer) serve() {
	for {
		c, err := o.l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		o.mu.Lock()
		taken := o.busy
		o.busy = true
		o.mu.Unlock()
		if taken { // one successor at a time
			c.Close()
			continue
		}
		go o.hand(c)
	}
}

// hand hands the place over on a link, and follows it to its end.
func (o *Offer) hand(c *net.UnixConn) {
	defer func() {
		c.Close()
		o.mu.Lock()
		o.busy = false
		o.mu.Unlock()
	}()
	c.SetDeadline(time.Now().Add(speakWithin))
	if err := o.send(c); err != nil {
		o.log.Warn("handover: not handed over", logging.Cause, err)
		return
	}
	o.heir.Began()
	defer o.heir.Gone()
	c.SetDeadline(time.Time{})
	var word [1]byte
	for {
		if _, err := c.Read(word[:]); err != nil {
			return
		}
		if word[0] == isReady {
			o.heir.Ready()
		}
	}
}

func (o *Offer) send(c *net.UnixConn) error {
	state, err := o.state()
	if err != nil {
		return err
	}
	text, err := durable.Frame(state)
	if err != nil {
		return err
	}
	raw, err := o.front.SyscallConn()
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

// InUse tells whether a process listens at the address.
func InUse(listen string) bool {
	l, err := net.Listen("tcp", listen)
	if err == nil {
		l.Close()
	}
	return errors.Is(err, syscall.EADDRINUSE)
}
