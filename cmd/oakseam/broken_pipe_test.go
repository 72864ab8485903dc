package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a node that ends with SIGPIPE when the reader of its output goes away.
func TestNodeOutlivesTheReaderOfItsOutput(t *testing.T) {
	config := configWith(t, newRegistry(t))
	n := &node{t: t, addr: config["listen"].(string), cmd: command(t, config), exit: make(chan error, 1)}
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer writer.Close()
	n.cmd.Stdout, n.cmd.Stderr = writer, writer
	require.NoError(t, n.cmd.Start())
	go func() { n.exit <- n.cmd.Wait() }()
	t.Cleanup(func() { n.cmd.Process.Kill() })
	n.waitUntil("it listens", func() bool { return n.send("GET", "/", "", nil) != nil })

	require.NoError(t, reader.Close())
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGUSR1)) // it prints its counters
	select {
	case err := <-n.exit:
		t.Fatalf("the node ended by itself: %v", err)
	case <-time.After(200 * time.Millisecond):
	}
	require.NotNil(t, n.send("GET", "/", "", nil))
	require.NoError(t, n.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-n.exit)
}
