package fakes

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMachineCanListenAgain guards against a machine that can't listen again after Down: its port
// must not be given to another socket meanwhile, and the copies of its listener that processes
// being started have until their exec must not go on listening.
func TestMachineCanListenAgain(t *testing.T) {
	m, err := NewMachine("127.0.0.1", func(net.Conn) {})
	require.NoError(t, err)
	defer m.Close()
	other, err := NewMachine("127.0.0.1", func(net.Conn) {})
	require.NoError(t, err)
	defer other.Close()
	address, err := net.ResolveTCPAddr("tcp", m.Addr)
	require.NoError(t, err)

	m.Down()
	_, err = net.Dial("tcp", m.Addr)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	_, err = (&net.Dialer{LocalAddr: address}).Dial("tcp", other.Addr)
	assert.ErrorIs(t, err, syscall.EADDRINUSE)
	require.NoError(t, m.Up())

	var stopped atomic.Bool
	var jobs sync.WaitGroup
	for range 4 {
		jobs.Go(func() {
			for !stopped.Load() {
				exec.Command("/bin/true").Run()
			}
		})
	}
	for range 5000 {
		m.Down()
		if err = m.Up(); err != nil {
			break
		}
	}
	stopped.Store(true)
	jobs.Wait()
	assert.NoError(t, err)
}
