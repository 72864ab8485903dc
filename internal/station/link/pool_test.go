package link_test

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

	"pipitmux/internal/station/link"
)

// errDial is what a test's dial fails with.
var errDial = errors.New("no route")

// dialler counts dials, and may fail them.
type dialler struct {
	dials atomic.Int32
	fail  atomic.Bool
}

func (d *dialler) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.dials.Add(1)
	if d.fail.Load() {
		return nil, errDial
	}
	return new(net.Dialer).DialContext(ctx, network, address)
}

func TestBackoffDoubles(t *testing.T) {
	at, dials := newClock(), &dialler{}
	dials.fail.Store(true)
	address, _ := start(t, newService(), link.Limits{})
	caller := pool(t, link.Options{Now: at.now, Dial: dials.dial})
	call := func() error { return caller.Call(patient(t), address, "Test.Echo", Message{}, nil) }
	waits := []time.Duration{50, 100, 200, 400, 400}
	for i, wait := range waits {
		err := call()
		assert.ErrorIs(t, err, errDial)
		assert.Assert(t, !errors.Is(err, link.ErrBackoff), "after %d dials", i)
		at.advance(wait*time.Millisecond - 1)
		err = call()
		assert.ErrorIs(t, err, link.ErrBackoff)
		assert.ErrorIs(t, err, link.ErrUnreachable)
		assert.ErrorIs(t, err, errDial)
		assert.Equal(t, dials.dials.Load(), int32(i+1))
		at.advance(1)
	}
	dials.fail.Store(false)
	assert.NilError(t, call())
	caller.Forget(address)
	dials.fail.Store(true)
	assert.ErrorIs(t, call(), errDial)
	at.advance(50 * time.Millisecond)
	dials.fail.Store(false)
	assert.NilError(t, call(), "a dial that went well starts the backoff anew")
}

func TestDialIsShared(t *testing.T) {
	const callers = 20
	address, _ := start(t, newService(), link.Limits{})
	dials := &dialler{}
	started, goOn := make(chan struct{}), make(chan struct{})
	slow := func(ctx context.Context, network, address string) (net.Conn, error) {
		started <- struct{}{}
		<-goOn
		return dials.dial(ctx, network, address)
	}
	caller := pool(t, link.Options{Dial: slow})
	first, cancel := context.WithCancel(patient(t))
	left := make(chan error, 1)
	go func() { left <- caller.Call(first, address, "Test.Echo", Message{}, nil) }()
	<-started
	cancel()
	err := <-left
	assert.ErrorIs(t, err, link.ErrUnreachable)
	assert.ErrorIs(t, err, context.Canceled)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			assert.Check(t, caller.Call(patient(t), address, "Test.Echo", Message{}, nil))
		})
	}
	close(goOn)
	group.Wait()
	assert.Equal(t, dials.dials.Load(), int32(1), "the dial outlives the caller that started it")
}

func TestServerComesBack(t *testing.T) {
	service := newService()
	listener, err := link.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	address, server := serve(t, service, link.Limits{}, listener)
	at := newClock()
	caller := pool(t, link.Options{Now: at.now})
	held := make(chan error, 1)
	go func() { held <- caller.Call(patient(t), address, "Test.Hold", Message{}, nil) }()
	<-service.entered
	assert.NilError(t, server.Close())
	err = <-held
	assert.Assert(t, uncertain(err), "%v", err)
	close(service.release)
	err = caller.Call(patient(t), address, "Test.Echo", Message{}, nil)
	assert.ErrorIs(t, err, link.ErrUnreachable)
	again, err := link.Listen(address)
	assert.NilError(t, err)
	serve(t, service, link.Limits{}, again)
	at.advance(time.Second)
	var got Message
	assert.NilError(t, caller.Call(patient(t), address, "Test.Echo", Message{Number: 4}, &got))
	assert.Equal(t, got.Number, 4)
}

// TestNotWrittenWhole has the peer take a part of a call only: it can't have
// been carried out, and is tried again once.
func TestNotWrittenWhole(t *testing.T) {
	var dials atomic.Int32
	partly := func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			greet(theirs)
			_, _ = io.ReadFull(theirs, make([]byte, 9))
		}()
		return ours, nil
	}
	caller := pool(t, link.Options{Dial: partly})
	err := caller.Call(patient(t), "peer", "Test.Echo", Message{Text: "whole"}, nil)
	assert.ErrorIs(t, err, link.ErrUnreachable)
	assert.Assert(t, !uncertain(err))
	assert.Equal(t, dials.Load(), int32(2))
}

// TestStaleConnection has a peer that reads and says nothing: the next caller
// gets a new connection, and the old one ends with the last that waits on it.
func TestStaleConnection(t *testing.T) {
	taken, closed := make(chan struct{}, 10), make(chan struct{}, 10)
	address := raw(t, func(socket net.Conn) {
		greet(socket)
		_, _ = socket.Read(make([]byte, 1<<16))
		taken <- struct{}{}
		drain(socket)
		closed <- struct{}{}
	})
	at, dials := newClock(), &dialler{}
	caller := pool(t, link.Options{Now: at.now, Dial: dials.dial})
	call := func() (leave func() error) {
		ctx, cancel := context.WithCancel(patient(t))
		outcome := make(chan error, 1)
		go func() { outcome <- caller.Call(ctx, address, "Test.Echo", Message{}, nil) }()
		return func() error { cancel(); return <-outcome }
	}
	leaveFirst := call()
	<-taken
	at.advance(1200*time.Millisecond + 1)
	leaveSecond := call()
	<-taken
	assert.Equal(t, dials.dials.Load(), int32(2))
	assert.Equal(t, len(closed), 0, "the first call still waits")
	assert.ErrorIs(t, leaveFirst(), context.Canceled)
	<-closed
	assert.ErrorIs(t, leaveSecond(), context.Canceled)
	at.advance(1200*time.Millisecond + 1)
	leaveThird := call()
	<-closed
	<-taken
	assert.Equal(t, dials.dials.Load(), int32(3), "calls whose callers left count as unanswered")
	assert.Assert(t, uncertain(leaveThird()))
}

func TestHeardConnectionIsNotStale(t *testing.T) {
	service := newService()
	address, _ := start(t, service, link.Limits{})
	at, dials := newClock(), &dialler{}
	caller := pool(t, link.Options{Now: at.now, Dial: dials.dial})
	held := make(chan error, 1)
	go func() { held <- caller.Call(patient(t), address, "Test.Hold", Message{}, nil) }()
	<-service.entered
	for range 5 {
		at.advance(time.Second)
		assert.NilError(t, caller.Call(patient(t), address, "Test.Echo", Message{}, nil))
	}
	close(service.release)
	assert.NilError(t, <-held)
	assert.Equal(t, dials.dials.Load(), int32(1))
}

func TestUnusedConnectionIsNotTakenAgain(t *testing.T) {
	address, _ := start(t, newService(), link.Limits{})
	at, dials := newClock(), &dialler{}
	caller := pool(t, link.Options{Now: at.now, Dial: dials.dial})
	for _, step := range []struct {
		wait time.Duration
		want int32
	}{{0, 1}, {40 * time.Second, 1}, {40*time.Second + 1, 2}} {
		at.advance(step.wait)
		assert.NilError(t, caller.Call(patient(t), address, "Test.Echo", Message{}, nil))
		assert.Equal(t, dials.dials.Load(), step.want, "after %v", step.wait)
	}
}

func TestForgetAndClose(t *testing.T) {
	service := newService()
	defer close(service.release)
	address, _ := start(t, service, link.Limits{})
	caller := pool(t, link.Options{})
	hold := func() chan error {
		held := make(chan error, 1)
		go func() { held <- caller.Call(patient(t), address, "Test.Hold", Message{}, nil) }()
		<-service.entered
		return held
	}
	held := hold()
	caller.Forget(address)
	err := <-held
	assert.Assert(t, uncertain(err), "%v", err)
	assert.ErrorIs(t, err, link.ErrForgotten)
	caller.Forget("127.0.0.1:1")
	held = hold()
	caller.Close()
	assert.ErrorIs(t, <-held, link.ErrForgotten)
	err = caller.Call(patient(t), address, "Test.Echo", Message{}, nil)
	assert.ErrorIs(t, err, link.ErrUnreachable)
	assert.ErrorIs(t, err, link.ErrForgotten)
}

func TestCallersWaitForRoom(t *testing.T) {
	service := newService()
	address, _ := start(t, service, link.Limits{})
	caller := pool(t, link.Options{CallsPerConnection: 1})
	held := make(chan error, 1)
	go func() { held <- caller.Call(patient(t), address, "Test.Hold", Message{}, nil) }()
	<-service.entered
	ctx, cancel := context.WithTimeout(patient(t), 20*time.Millisecond)
	defer cancel()
	err := caller.Call(ctx, address, "Test.Echo", Message{}, nil)
	assert.ErrorIs(t, err, link.ErrUnreachable)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	close(service.release)
	assert.NilError(t, <-held)
	assert.NilError(t, caller.Call(patient(t), address, "Test.Echo", Message{}, nil))
}
