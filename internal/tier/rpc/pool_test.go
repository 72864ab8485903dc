package rpc_test

import (
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

// errDial is the error of an injected dial failure.
var errDial = errors.New("no route")

// dialCounter counts dials and can make them fail.
type dialCounter struct {
	dials atomic.Int32
	fail  atomic.Bool
}

func (d *dialCounter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials.Add(1)
	if d.fail.Load() {
		return nil, errDial
	}
	return new(net.Dialer).DialContext(ctx, network, address)
}

func TestDialBackoffDoublesUpToLimit(t *testing.T) {
	clock, dials := newClock(), &dialCounter{}
	dials.fail.Store(true)
	address, _ := start(t, newService(), rpc.Limits{})
	caller := newPool(t, rpc.Options{Now: clock.now, Dial: dials.dial})
	call := func() error { return caller.Call(testContext(t), address, "Test.Echo", Message{}, nil) }
	waits := []time.Duration{50, 100, 200, 400, 400}
	for i, wait := range waits {
		err := call()
		assert.ErrorIs(t, err, errDial)
		assert.Assert(t, !errors.Is(err, rpc.ErrBackoff), "after %d dials", i)
		clock.advance(wait*time.Millisecond - 1)
		err = call()
		assert.ErrorIs(t, err, rpc.ErrBackoff)
		assert.ErrorIs(t, err, rpc.ErrUnreachable)
		assert.ErrorIs(t, err, errDial)
		assert.Equal(t, dials.dials.Load(), int32(i+1))
		clock.advance(1)
	}
	dials.fail.Store(false)
	assert.NilError(t, call())
	caller.Forget(address)
	dials.fail.Store(true)
	assert.ErrorIs(t, call(), errDial)
	clock.advance(50 * time.Millisecond)
	dials.fail.Store(false)
	assert.NilError(t, call(), "a successful dial resets the backoff")
}

func TestConcurrentCallersShareOneDial(t *testing.T) {
	const callers = 20
	address, _ := start(t, newService(), rpc.Limits{})
	dials := &dialCounter{}
	started, proceed := make(chan struct{}), make(chan struct{})
	slow := func(ctx context.Context, network, address string) (net.Conn, error) {
		started <- struct{}{}
		<-proceed
		return dials.dial(ctx, network, address)
	}
	caller := newPool(t, rpc.Options{Dial: slow})
	first, cancel := context.WithCancel(testContext(t))
	result := make(chan error, 1)
	go func() { result <- caller.Call(first, address, "Test.Echo", Message{}, nil) }()
	<-started
	cancel()
	err := <-result
	assert.ErrorIs(t, err, rpc.ErrUnreachable)
	assert.ErrorIs(t, err, context.Canceled)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			assert.Check(t, caller.Call(testContext(t), address, "Test.Echo", Message{}, nil))
		})
	}
	close(proceed)
	group.Wait()
	assert.Equal(t, dials.dials.Load(), int32(1), "the dial must outlive the caller that started it")
}

func TestCallsSucceedAfterServerRestart(t *testing.T) {
	service := newService()
	listener, err := rpc.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	address, server := serve(t, service, rpc.Limits{}, listener)
	clock := newClock()
	caller := newPool(t, rpc.Options{Now: clock.now})
	result := make(chan error, 1)
	go func() { result <- caller.Call(testContext(t), address, "Test.Hold", Message{}, nil) }()
	<-service.entered
	assert.NilError(t, server.Close())
	err = <-result
	assert.Assert(t, uncertain(err), "%v", err)
	close(service.release)
	err = caller.Call(testContext(t), address, "Test.Echo", Message{}, nil)
	assert.ErrorIs(t, err, rpc.ErrUnreachable)
	restarted, err := rpc.Listen(address)
	assert.NilError(t, err)
	serve(t, service, rpc.Limits{}, restarted)
	clock.advance(time.Second)
	var got Message
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{Number: 4}, &got))
	assert.Equal(t, got.Number, 4)
}

// The peer reads only a part of a call and closes. The call cannot have been
// executed, so it is tried once more and then reported as unreachable.
func TestPartiallyWrittenCallIsUnreachable(t *testing.T) {
	var dials atomic.Int32
	partialPeer := func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		clientEnd, serverEnd := net.Pipe()
		go func() {
			defer serverEnd.Close()
			sendGreeting(serverEnd)
			_, _ = io.ReadFull(serverEnd, make([]byte, 9))
		}()
		return clientEnd, nil
	}
	caller := newPool(t, rpc.Options{Dial: partialPeer})
	err := caller.Call(testContext(t), "peer", "Test.Echo", Message{Text: "whole"}, nil)
	assert.ErrorIs(t, err, rpc.ErrUnreachable)
	assert.Assert(t, !uncertain(err))
	assert.Equal(t, dials.Load(), int32(2))
}

// The peer reads but never replies. The next caller gets a new connection, and the
// old one closes when its last caller gives up.
func TestSilentConnectionIsReplaced(t *testing.T) {
	received, closed := make(chan struct{}, 10), make(chan struct{}, 10)
	address := listenRaw(t, func(socket net.Conn) {
		sendGreeting(socket)
		_, _ = socket.Read(make([]byte, 1<<16))
		received <- struct{}{}
		discardInput(socket)
		closed <- struct{}{}
	})
	clock, dials := newClock(), &dialCounter{}
	caller := newPool(t, rpc.Options{Now: clock.now, Dial: dials.dial})
	call := func() (abandon func() error) {
		ctx, cancel := context.WithCancel(testContext(t))
		outcome := make(chan error, 1)
		go func() { outcome <- caller.Call(ctx, address, "Test.Echo", Message{}, nil) }()
		return func() error { cancel(); return <-outcome }
	}
	abandonFirst := call()
	<-received
	clock.advance(1200*time.Millisecond + 1)
	abandonSecond := call()
	<-received
	assert.Equal(t, dials.dials.Load(), int32(2))
	assert.Equal(t, len(closed), 0, "the first call still waits")
	assert.ErrorIs(t, abandonFirst(), context.Canceled)
	<-closed
	assert.ErrorIs(t, abandonSecond(), context.Canceled)
	clock.advance(1200*time.Millisecond + 1)
	abandonThird := call()
	<-closed
	<-received
	assert.Equal(t, dials.dials.Load(), int32(3), "abandoned calls count as unanswered")
	assert.Assert(t, uncertain(abandonThird()))
}

func TestConnectionWithRecentReadsIsKept(t *testing.T) {
	service := newService()
	address, _ := start(t, service, rpc.Limits{})
	clock, dials := newClock(), &dialCounter{}
	caller := newPool(t, rpc.Options{Now: clock.now, Dial: dials.dial})
	result := make(chan error, 1)
	go func() { result <- caller.Call(testContext(t), address, "Test.Hold", Message{}, nil) }()
	<-service.entered
	for range 5 {
		clock.advance(time.Second)
		assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{}, nil))
	}
	close(service.release)
	assert.NilError(t, <-result)
	assert.Equal(t, dials.dials.Load(), int32(1))
}

func TestUnusedConnectionIsReplaced(t *testing.T) {
	address, _ := start(t, newService(), rpc.Limits{})
	clock, dials := newClock(), &dialCounter{}
	caller := newPool(t, rpc.Options{Now: clock.now, Dial: dials.dial})
	for _, step := range []struct {
		wait time.Duration
		want int32
	}{{0, 1}, {40 * time.Second, 1}, {40*time.Second + 1, 2}} {
		clock.advance(step.wait)
		assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{}, nil))
		assert.Equal(t, dials.dials.Load(), step.want, "after %v", step.wait)
	}
}

func TestForgetAndCloseFailOpenCalls(t *testing.T) {
	service := newService()
	defer close(service.release)
	address, _ := start(t, service, rpc.Limits{})
	caller := newPool(t, rpc.Options{})
	hold := func() chan error {
		result := make(chan error, 1)
		go func() { result <- caller.Call(testContext(t), address, "Test.Hold", Message{}, nil) }()
		<-service.entered
		return result
	}
	result := hold()
	caller.Forget(address)
	err := <-result
	assert.Assert(t, uncertain(err), "%v", err)
	assert.ErrorIs(t, err, rpc.ErrForgotten)
	caller.Forget("127.0.0.1:1")
	result = hold()
	caller.Close()
	assert.ErrorIs(t, <-result, rpc.ErrForgotten)
	err = caller.Call(testContext(t), address, "Test.Echo", Message{}, nil)
	assert.ErrorIs(t, err, rpc.ErrUnreachable)
	assert.ErrorIs(t, err, rpc.ErrForgotten)
}

func TestCallLimitPerConnectionBlocksCallers(t *testing.T) {
	service := newService()
	address, _ := start(t, service, rpc.Limits{})
	caller := newPool(t, rpc.Options{CallsPerConnection: 1})
	result := make(chan error, 1)
	go func() { result <- caller.Call(testContext(t), address, "Test.Hold", Message{}, nil) }()
	<-service.entered
	ctx, cancel := context.WithTimeout(testContext(t), 20*time.Millisecond)
	defer cancel()
	err := caller.Call(ctx, address, "Test.Echo", Message{}, nil)
	assert.ErrorIs(t, err, rpc.ErrUnreachable)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	close(service.release)
	assert.NilError(t, <-result)
	assert.NilError(t, caller.Call(testContext(t), address, "Test.Echo", Message{}, nil))
}
