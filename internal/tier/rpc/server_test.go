package rpc

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	netrpc "net/rpc"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Work is a service whose calls block until the test releases them.
type Work struct {
	entered chan struct{}
	release chan struct{}
	mu      sync.Mutex
	running int
	peak    int
}

// Do blocks until release receives or is closed.
func (w *Work) Do(args *[]byte, reply *int) error {
	w.mu.Lock()
	w.running++
	w.peak = max(w.peak, w.running)
	w.mu.Unlock()
	w.entered <- struct{}{}
	<-w.release
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	*reply = len(*args)
	return nil
}

func startWork(t *testing.T, limits Limits) (*Work, *Server, string) {
	t.Helper()
	work := &Work{entered: make(chan struct{}, 100), release: make(chan struct{})}
	server, err := NewLimitedServer(map[string]any{"Work": work}, limits)
	assert.NilError(t, err)
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.Check(t, server.Close())
		assert.Check(t, errors.Is(<-served, ErrServerClosed))
	})
	return work, server, listener.Addr().String()
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// dialGreeted connects and reads the greeting.
func dialGreeted(t *testing.T, address string) net.Conn {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { socket.Close() })
	assert.NilError(t, readGreeting(testContext(t), socket))
	return socket
}

func TestNewServerRejectsInvalidServices(t *testing.T) {
	_, err := NewServer(map[string]any{"None": nil})
	assert.ErrorContains(t, err, "None")
	_, err = NewServer(map[string]any{"Empty": struct{}{}})
	assert.ErrorContains(t, err, "Empty")
}

func TestServeAfterCloseFailsAndClosesListener(t *testing.T) {
	server, err := NewServer(nil)
	assert.NilError(t, err)
	assert.NilError(t, server.Close())
	assert.NilError(t, server.Close())
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	assert.ErrorIs(t, server.Serve(listener), ErrServerClosed)
	_, err = listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
}

func TestConnectionLimitClosesExcessConnections(t *testing.T) {
	_, _, address := startWork(t, Limits{Connections: 2})
	first := dialGreeted(t, address)
	dialGreeted(t, address)
	third, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer third.Close()
	assert.Assert(t, readGreeting(testContext(t), third) != nil)
	assert.NilError(t, first.Close())
}

func TestCallsPerConnectionLimit(t *testing.T) {
	const bound, calls = 3, 10
	work, _, address := startWork(t, Limits{CallsPerConnection: bound})
	pool := NewPool(Options{})
	defer pool.Close()
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			assert.Check(t, pool.Call(testContext(t), address, "Work.Do", []byte{1}, nil))
		})
	}
	for range bound {
		<-work.entered
	}
	for range calls {
		work.release <- struct{}{}
	}
	group.Wait()
	assert.Equal(t, work.peak, bound)
}

func TestTotalBytesLimitOverAllConnections(t *testing.T) {
	work, _, address := startWork(t, Limits{TotalBytes: 50_000})
	first, second := NewPool(Options{}), NewPool(Options{})
	defer first.Close()
	defer second.Close()
	result := make(chan error, 1)
	go func() { result <- first.Call(testContext(t), address, "Work.Do", make([]byte, 30_000), nil) }()
	<-work.entered
	err := second.Call(testContext(t), address, "Work.Do", make([]byte, 30_000), nil)
	var uncertain *UncertainError
	assert.Assert(t, errors.As(err, &uncertain), "%v", err)
	close(work.release)
	assert.NilError(t, <-result)
	var length int
	assert.NilError(t, second.Call(testContext(t), address, "Work.Do", make([]byte, 30_000), &length))
	assert.Equal(t, length, 30_000)
}

// A peer states a large message length but sends little of it. The reader must not
// allocate memory for the stated length.
func TestStatedLengthAllocatesNothing(t *testing.T) {
	sent := binary.BigEndian.AppendUint32(nil, 50<<20)
	sent = append(sent, make([]byte, initialReadBytes)...)
	var reserved int
	reader := frameReader{from: bytes.NewReader(sent), limit: 64 << 20, reserve: func(n int) error {
		reserved += n
		return nil
	}}
	_, err := reader.next()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, reserved, 2*initialReadBytes)
	assert.Assert(t, cap(reader.buffer) < 10*initialReadBytes)
}

func TestMalformedFrameClosesConnection(t *testing.T) {
	frames := map[string][]byte{
		"too large": {0xff, 0xff, 0xff, 0xff},
		"empty":     {0, 0, 0, 0},
		"no text":   {0, 0, 0, 3, 0, 1, 9},
		"http":      []byte("GET / HTTP/1.1\r\n\r\n"),
		"no stream": {0, 0, 0, 4, 0, 1, 0, 0},
		"no bytes":  {0, 0, 0, 5, flagRestart, 1, 0, 9, 1},
	}
	for name, frame := range frames {
		t.Run(name, func(t *testing.T) {
			_, _, address := startWork(t, Limits{})
			socket := dialGreeted(t, address)
			_, err := socket.Write(frame)
			assert.NilError(t, err)
			assert.NilError(t, socket.SetReadDeadline(time.Now().Add(10*time.Second)))
			_, err = socket.Read(make([]byte, 1))
			assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	_, _, address := startWork(t, Limits{IdleTimeout: 20 * time.Millisecond})
	socket := dialGreeted(t, address)
	assert.NilError(t, socket.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := socket.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// delayedSocket times out a number of reads before a byte arrives.
type delayedSocket struct {
	net.Conn
	timeouts int
}

func (s *delayedSocket) Read(buffer []byte) (int, error) {
	if s.timeouts > 0 {
		s.timeouts--
		return 0, os.ErrDeadlineExceeded
	}
	buffer[0] = 1
	return 1, nil
}

func (s *delayedSocket) SetReadDeadline(time.Time) error { return nil }

func TestConnectionWithCallsInProgressIsNotIdle(t *testing.T) {
	limits := Limits{}.withDefaults()
	codec := newServerCodec(&delayedSocket{timeouts: 3}, limits, &byteBudget{})
	codec.slots <- struct{}{}
	assert.ErrorIs(t, codec.awaitFrame(), os.ErrDeadlineExceeded)
	codec.slots <- struct{}{}
	assert.NilError(t, codec.awaitFrame())
}

func userTimeoutOf(t *testing.T, socket net.Conn) int {
	t.Helper()
	raw, err := socket.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	var value int
	var failure error
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		value, failure = unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, failure)
	return value
}

func TestTCPUserTimeoutIsSetOnBothSides(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	options := Options{}.withDefaults()
	dialed, err := options.Dial(testContext(t), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	assert.Equal(t, userTimeoutOf(t, dialed), 1500)
	assert.Equal(t, userTimeoutOf(t, accepted), 1500)
}

// bytesSocket is a connection whose peer sent some bytes and closed it.
type bytesSocket struct {
	net.Conn
	from bytes.Reader
}

func (b *bytesSocket) Read(to []byte) (int, error)       { return b.from.Read(to) }
func (b *bytesSocket) Write(from []byte) (int, error)    { return len(from), nil }
func (b *bytesSocket) Close() error                      { return nil }
func (b *bytesSocket) SetReadDeadline(_ time.Time) error { return nil }

func (b *bytesSocket) SetWriteDeadline(_ time.Time) error { return nil }

// Echo is the service of FuzzServer.
type Echo struct{}

// Do returns the text of its arguments.
func (Echo) Do(args *struct{ Text string }, reply *string) error {
	*reply = args.Text
	return nil
}

// FuzzServer feeds arbitrary bytes to a server's connection. They must not cause a
// panic or leave bytes reserved after the connection has closed.
func FuzzServer(f *testing.F) {
	maker := encoder{limit: 1 << 16}
	var seed []byte
	for sequence := range uint64(3) {
		frame, err := maker.frame(header{sequence: sequence, text: "Echo.Do"}, struct{ Text string }{"text"})
		assert.NilError(f, err)
		seed = append(seed, frame...)
		f.Add(bytes.Clone(seed))
	}
	f.Add([]byte{0, 0, 0, 4, flagBodiless, 1, 1, 'x'})
	f.Add([]byte{0, 0, 0, 6, flagRestart, 1, 0, 0xfe, 0x7f, 0xff})
	f.Fuzz(func(t *testing.T, sent []byte) {
		const total = 1 << 16
		services := netrpc.NewServer()
		assert.NilError(t, services.Register(Echo{}))
		shared := &byteBudget{available: total}
		limits := Limits{MessageBytes: 1 << 14}.withDefaults()
		socket := &bytesSocket{}
		socket.from.Reset(sent)
		services.ServeCodec(newServerCodec(socket, limits, shared))
		assert.Equal(t, shared.available, total)
	})
}
