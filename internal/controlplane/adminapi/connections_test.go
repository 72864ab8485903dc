package adminapi

import (
	"net"
	"testing"
	"testing/synctest"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

var errStopped = errors.New("stopped")

// fakeListener always has a connection ready, or fails.
type fakeListener struct {
	accepted int
	fails    bool
}

func (p *fakeListener) Accept() (net.Conn, error) {
	if p.fails {
		return nil, errStopped
	}
	p.accepted++
	ours, _ := net.Pipe()
	return ours, nil
}

func (p *fakeListener) Close() error { return nil }

func (p *fakeListener) Addr() net.Addr { return nil }

func TestBoundedListenerWaitsForAFreeSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := new(fakeListener)
		listener := newBoundedListener(inner, 2)
		first, err := listener.Accept()
		assert.NilError(t, err)
		_, err = listener.Accept()
		assert.NilError(t, err)
		third := make(chan error, 1)
		go func() {
			_, err := listener.Accept()
			third <- err
		}()
		synctest.Wait()
		assert.Equal(t, inner.accepted, 2)
		assert.NilError(t, first.Close())
		assert.NilError(t, <-third)
		assert.Equal(t, inner.accepted, 3)

		// Closing twice must free one slot, not two.
		_ = first.Close()
		fourth := make(chan error, 1)
		go func() {
			_, err := listener.Accept()
			fourth <- err
		}()
		synctest.Wait()
		assert.Equal(t, inner.accepted, 3)
		assert.NilError(t, listener.Close())
		assert.ErrorIs(t, <-fourth, net.ErrClosed)
	})
}

func TestFailedAcceptFreesItsSlot(t *testing.T) {
	inner := &fakeListener{fails: true}
	listener := newBoundedListener(inner, 1)
	for range 3 {
		_, err := listener.Accept()
		assert.ErrorIs(t, err, errStopped)
	}
	inner.fails = false
	_, err := listener.Accept()
	assert.NilError(t, err)
}
