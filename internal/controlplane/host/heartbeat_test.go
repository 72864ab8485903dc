package host

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
)

// A follower with a slow write must keep answering the leader's heartbeats, or it is taken for
// lost. It stops after slowWriteYieldAfter and never confirms entries that are not durable yet.
func TestHeartbeatsAreAnsweredDuringSlowWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 8, 0, 3, testGroup)
		leader := c.awaitLeader(testGroup)
		follower := c.nodes[c.order[0]]
		if follower == leader {
			follower = c.nodes[c.order[1]]
		}
		began, base := time.Now(), c.now
		follower.options.Now = func() time.Duration { return base + time.Since(began) }
		_, err := leader.proposeAsync(testGroup, "command")
		assert.NilError(t, err)
		assert.NilError(t, leader.deliverAndRun())
		heartbeat := findAppendWithEntries(t, follower.inbox)
		heartbeat.Entries = nil
		leader.inbox = nil
		const lasts = 3 * time.Second
		follower.disk.OnWrite(func([]store.Write) { <-time.After(lasts) }, nil)
		for at := 100 * time.Millisecond; at < lasts; at += 100 * time.Millisecond {
			time.AfterFunc(at, func() { follower.Deliver([]replica.Message{heartbeat}) })
		}
		answeredUntil, answers := time.Duration(0), 0
		leader.onReceive = func(messages []replica.Message) {
			if time.Since(began) >= lasts {
				return
			}
			answeredUntil = time.Since(began)
			for _, m := range messages {
				answers++
				assert.Equal(t, m.Kind, replica.AppendReply)
				assert.Assert(t, m.Index <= heartbeat.Index, "the follower confirms index %d, which is not durable", m.Index)
			}
		}
		assert.NilError(t, follower.deliverAndRun())
		assert.Assert(t, time.Since(began) >= lasts)
		assert.Assert(t, answers >= 10, "only %d answers during the write", answers)
		assert.Assert(t, answeredUntil < slowWriteYieldAfter+slowWriteHeartbeatInterval, "the follower still answers %v after the write began", answeredUntil)
	})
}

// findAppendWithEntries returns the first append message that carries entries.
func findAppendWithEntries(t *testing.T, messages []replica.Message) replica.Message {
	t.Helper()
	for _, m := range messages {
		if m.Kind == replica.Append && len(m.Entries) > 0 {
			return m
		}
	}
	t.Fatal("no append message with entries found")
	return replica.Message{}
}
