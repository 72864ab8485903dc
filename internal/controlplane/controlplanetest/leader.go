package controlplanetest

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/replica"
)

// AwaitLeader waits until a node leads a group. It fails the test after the timeout.
func AwaitLeader(t *testing.T, n *node.Node, group replica.GroupID, timeout time.Duration) {
	t.Helper()
	for {
		_, changed := n.Host.Applied(group)
		status, err := n.Host.Status(group)
		assert.NilError(t, err)
		if status.LeaderReady {
			return
		}
		select {
		case <-changed:
		case <-time.After(timeout):
			t.Fatal("no leader elected")
		}
	}
}
