package rpc_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"

	"oakseam/internal/tier/rpc"
)

// testTimeout bounds the waits of the tests. It expires only if a test hangs.
const testTimeout = 10 * time.Second

// greeting is the first thing that a server sends.
const greeting = "pmlink1\n"

// Message is the argument and reply type of the test service.
type Message struct {
	Number int
	Text   string
	Data   []byte
}

// Unsendable cannot be encoded by gob.
type Unsendable struct{ Channel chan int }

// Service is the service that the tests call.
type Service struct {
	entered chan struct{} // receives when Hold begins
	release chan struct{} // Hold blocks on it
	running atomic.Int32  // calls of Count in progress
	peak    atomic.Int32  // most calls of Count at the same time
}

func newService() *Service {
	return &Service{entered: make(chan struct{}, 1000), release: make(chan struct{})}
}

// Echo returns its arguments.
func (s *Service) Echo(args *Message, reply *Message) error {
	*reply = *args
	return nil
}

// Hold is like Echo, but blocks until it is released.
func (s *Service) Hold(args *Message, reply *Message) error {
	s.entered <- struct{}{}
	<-s.release
	*reply = *args
	return nil
}

// Fail writes its reply and then returns an error.
func (s *Service) Fail(args *Message, reply *Message) error {
	*reply = *args
	return errors.New("refused: " + args.Text)
}

// LargeReply returns args.Number bytes.
func (s *Service) LargeReply(args *Message, reply *Message) error {
	reply.Data = make([]byte, args.Number)
	return nil
}

// Count records how many calls of it run at the same time.
func (s *Service) Count(args *Message, reply *Message) error {
	now := s.running.Add(1)
	for peak := s.peak.Load(); now > peak && !s.peak.CompareAndSwap(peak, now); peak = s.peak.Load() {
	}
	reply.Number = args.Number
	s.running.Add(-1)
	return nil
}

// start serves a service on the loopback interface until the test ends.
func start(t testing.TB, service *Service, limits rpc.Limits) (address string, server *rpc.Server) {
	t.Helper()
	listener, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	return serve(t, service, limits, listener)
}

func serve(t testing.TB, service *Service, limits rpc.Limits, listener net.Listener) (string, *rpc.Server) {
	t.Helper()
	server, err := rpc.NewLimitedServer(map[string]any{"Test": service}, limits)
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		assert.Check(t, server.Close())
		assert.Check(t, errors.Is(<-served, rpc.ErrServerClosed))
	})
	return listener.Addr().String(), server
}

// newPool returns a Pool that is closed when the test ends.
func newPool(t testing.TB, options rpc.Options) *rpc.Pool {
	t.Helper()
	created := rpc.NewPool(options)
	t.Cleanup(created.Close)
	return created
}

// testContext returns a context that ends only if the test hangs.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// clock is a clock that the test advances.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func newClock() *clock { return &clock{at: time.Unix(1_000_000, 0)} }

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *clock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(by)
}

func uncertain(err error) bool {
	var target *rpc.UncertainError
	return errors.As(err, &target)
}

func remote(err error) bool {
	var target *rpc.RemoteError
	return errors.As(err, &target)
}

func TestConcurrentCallsGetTheirOwnReplies(t *testing.T) {
	const callers, calls = 16, 100
	address, _ := start(t, newService(), rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	ctx := testContext(t)
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			for i := range calls {
				want := Message{Number: n*calls + i, Text: "text", Data: bytes.Repeat([]byte{byte(n)}, i)}
				var got Message
				assert.Check(t, caller.Call(ctx, address, "Test.Echo", &want, &got))
				assert.Check(t, got.Number == want.Number && bytes.Equal(got.Data, want.Data))
			}
		})
	}
	group.Wait()
}

func TestSlowCallDoesNotBlockOthers(t *testing.T) {
	service := newService()
	address, _ := start(t, service, rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	ctx := testContext(t)
	result := make(chan error, 1)
	var late Message
	go func() { result <- caller.Call(ctx, address, "Test.Hold", Message{Number: 1}, &late) }()
	<-service.entered
	var got Message
	assert.NilError(t, caller.Call(ctx, address, "Test.Echo", Message{Number: 2}, &got))
	assert.Equal(t, got.Number, 2)
	close(service.release)
	assert.NilError(t, <-result)
	assert.Equal(t, late.Number, 1)
}

func TestRemoteErrorLeavesReplyUnchanged(t *testing.T) {
	address, _ := start(t, newService(), rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	reply := Message{Number: 7}
	err := caller.Call(testContext(t), address, "Test.Fail", Message{Number: 1, Text: "why"}, &reply)
	var failure *rpc.RemoteError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.DeepEqual(t, *failure, rpc.RemoteError{Address: address, Method: "Test.Fail", Text: "refused: why"})
	assert.Equal(t, reply.Number, 7)
	err = caller.Call(testContext(t), address, "Test.Missing", Message{}, &reply)
	assert.Assert(t, remote(err), "%v", err)
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Number: 3}, &reply))
	assert.Equal(t, reply.Number, 3)
}

func TestReplyOfWrongTypeFails(t *testing.T) {
	address, _ := start(t, newService(), rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Number: 1}, nil))
	var missing *Message
	for _, reply := range []any{Message{}, missing, 5} {
		err := caller.Call(testContext(t), address, "Test.Echo", Message{}, reply)
		assert.ErrorIs(t, err, rpc.ErrReplyType)
	}
	var wrongType struct{ Number string }
	err := caller.Call(testContext(t), address, "Test.Echo", Message{Number: 1}, &wrongType)
	assert.Assert(t, uncertain(err), "the call was executed although its reply has another type: %v", err)
	var got Message
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Number: 2}, &got))
	assert.Equal(t, got.Number, 2)
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	listener, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	err = newPool(t, rpc.Options{}).Call(testContext(t), address, "Test.Echo", Message{}, nil)
	assert.ErrorIs(t, err, rpc.ErrUnreachable)
	var failure *rpc.UnreachableError
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Address, address)
}

// listenRaw listens on the loopback interface and passes each connection to a function.
func listenRaw(t *testing.T, each func(socket net.Conn)) (address string) {
	t.Helper()
	listener, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	var group sync.WaitGroup
	group.Go(func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				defer socket.Close()
				each(socket)
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		group.Wait()
	})
	return listener.Addr().String()
}

// sendGreeting sends the greeting as a server does.
func sendGreeting(socket net.Conn) { _, _ = io.WriteString(socket, greeting) }

// discardInput reads a socket until its end.
func discardInput(socket net.Conn) { _, _ = io.Copy(io.Discard, socket) }

func TestMissingGreetingIsUnreachable(t *testing.T) {
	cases := map[string]func(socket net.Conn){
		"silent": discardInput,
		"closed": func(net.Conn) {},
		"other":  func(socket net.Conn) { _, _ = io.WriteString(socket, "HTTP/1.1 400 Bad Request\r\n") },
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			address := listenRaw(t, each)
			caller := newPool(t, rpc.Options{DialTimeout: 30 * time.Millisecond})
			err := caller.Call(testContext(t), address, "Test.Echo", Message{}, nil)
			assert.ErrorIs(t, err, rpc.ErrUnreachable)
		})
	}
}

func TestClosedConnectionAfterRequestIsUncertain(t *testing.T) {
	var received atomic.Int32
	address := listenRaw(t, func(socket net.Conn) {
		sendGreeting(socket)
		_, _ = socket.Read(make([]byte, 1<<16))
		received.Add(1)
	})
	err := newPool(t, rpc.Options{}).Call(testContext(t), address, "Test.Echo", Message{Number: 1}, nil)
	var failure *rpc.UncertainError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Address, address)
	assert.Equal(t, failure.Method, "Test.Echo")
	assert.Assert(t, !errors.Is(err, rpc.ErrUnreachable))
	assert.Equal(t, received.Load(), int32(1), "a call that may have been executed must not be repeated")
}

func TestCanceledCallIsUncertainAndKeepsReply(t *testing.T) {
	service := newService()
	address, _ := start(t, service, rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	ctx, cancel := context.WithCancel(testContext(t))
	result := make(chan error, 1)
	reply := Message{Number: 7}
	go func() { result <- caller.Call(ctx, address, "Test.Hold", Message{Number: 1}, &reply) }()
	<-service.entered
	cancel()
	err := <-result
	assert.Assert(t, uncertain(err), "%v", err)
	assert.ErrorIs(t, err, context.Canceled)
	reply.Number = 8 // owned by the caller again; the race detector checks this
	close(service.release)
	var got Message
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Number: 2}, &got))
	assert.Equal(t, got.Number, 2)
	assert.Equal(t, reply.Number, 8)
	err = caller.Call(ctx, address, "Test.Echo", Message{}, nil)
	assert.ErrorIs(t, err, rpc.ErrUnreachable)
	assert.ErrorIs(t, err, context.Canceled)
}

// Callers time out at all moments around the arrival of their replies. A reply must
// arrive completely or not at all.
func TestTimeoutsRacingWithReplies(t *testing.T) {
	const callers, calls = 8, 150
	address, _ := start(t, newService(), rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() {
			for i := range calls {
				ctx, cancel := context.WithTimeout(testContext(t), time.Duration(n*i)*time.Microsecond)
				reply := Message{Number: -1}
				err := caller.Call(ctx, address, "Test.Echo", Message{Number: i}, &reply)
				cancel()
				timedOut := errors.Is(err, context.DeadlineExceeded)
				assert.Check(t, (err == nil && reply.Number == i) || (timedOut && reply.Number == -1), "%v %d", err, reply.Number)
				reply.Number = 0
			}
		})
	}
	group.Wait()
	var got Message
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Number: 5}, &got))
	assert.Equal(t, got.Number, 5)
}

func TestRequestThatCannotBeEncodedFails(t *testing.T) {
	address, _ := start(t, newService(), rpc.Limits{})
	caller := newPool(t, rpc.Options{MessageBytes: 10_000})
	err := caller.Call(testContext(t), address, "Test.Echo", Message{Data: make([]byte, 10_000)}, nil)
	assert.ErrorIs(t, err, rpc.ErrTooLarge)
	assert.Assert(t, !uncertain(err))
	err = caller.Call(testContext(t), address, "Test.Echo", Unsendable{}, nil)
	assert.ErrorContains(t, err, "encode")
	assert.Assert(t, !uncertain(err) && !remote(err))
	for number := range 3 {
		var got Message
		assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Number: number}, &got))
		assert.Equal(t, got.Number, number)
	}
}

func TestServerLimitsMessageSize(t *testing.T) {
	address, _ := start(t, newService(), rpc.Limits{MessageBytes: 10_000})
	caller := newPool(t, rpc.Options{})
	err := caller.Call(testContext(t), address, "Test.LargeReply", Message{Number: 20_000}, nil)
	assert.Assert(t, remote(err), "%v", err)
	assert.ErrorContains(t, err, "too large")
	for number := range 3 {
		var got Message
		assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Number: number}, &got))
		assert.Equal(t, got.Number, number)
	}
	err = caller.Call(testContext(t), address, "Test.Echo", Message{Data: make([]byte, 20_000)}, nil)
	assert.Assert(t, uncertain(err), "the server must close the connection: %v", err)
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{}, nil))
}

func TestMissingArgumentsAreRejected(t *testing.T) {
	address, _ := start(t, newService(), rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	err := caller.Call(testContext(t), address, "Test.Echo", nil, nil)
	assert.Assert(t, remote(err), "%v", err)
	assert.ErrorContains(t, err, "no body")
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{}, nil))
}

// The peer replies with a body before any gob stream has started.
func TestMalformedReplyIsUncertain(t *testing.T) {
	address := listenRaw(t, func(socket net.Conn) {
		sendGreeting(socket)
		_, _ = socket.Read(make([]byte, 1<<16))
		_, _ = socket.Write([]byte{0, 0, 0, 4, 0, 1, 0, 0})
		discardInput(socket)
	})
	err := newPool(t, rpc.Options{}).Call(testContext(t), address, "Test.Echo", Message{}, nil)
	assert.Assert(t, uncertain(err), "%v", err)
	assert.ErrorIs(t, err, rpc.ErrMalformed)
}

func TestLargeMessagesRoundTrip(t *testing.T) {
	address, _ := start(t, newService(), rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	data := bytes.Repeat([]byte("0123456789"), 300_000)
	for range 3 {
		var got Message
		assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Data: data}, &got))
		assert.Assert(t, bytes.Equal(got.Data, data))
	}
}

func TestPortWithinRange(t *testing.T) {
	cases := []struct{ first, last, offset, want int }{
		{7380, 7395, 0, 7380},
		{7380, 7395, 15, 7395},
		{7380, 7395, 16, 0},
		{7380, 7395, -1, 0},
		{7380, 7380, 0, 7380},
	}
	for _, c := range cases {
		assert.Equal(t, rpc.Port([2]int{c.first, c.last}, c.offset), c.want, "%+v", c)
	}
}

func TestListenRejectsInvalidPort(t *testing.T) {
	_, err := rpc.Listen("127.0.0.1:not-a-port")
	assert.ErrorContains(t, err, "listen")
}

func BenchmarkCall(b *testing.B) {
	address, _ := start(b, newService(), rpc.Limits{})
	caller := newPool(b, rpc.Options{})
	message := Message{Data: make([]byte, 400)}
	b.Run("one", func(b *testing.B) {
		b.ReportAllocs()
		var reply Message
		for b.Loop() {
			assert.NilError(b, caller.Call(context.Background(), address, "Test.Echo", &message, &reply))
		}
	})
	b.Run("many", func(b *testing.B) {
		b.ReportAllocs()
		b.SetParallelism(8)
		b.RunParallel(func(running *testing.PB) {
			var reply Message
			for running.Next() {
				assert.Check(b, caller.Call(context.Background(), address, "Test.Echo", &message, &reply))
			}
		})
	})
}
