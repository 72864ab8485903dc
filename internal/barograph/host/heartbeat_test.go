package host

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/store"
)

// A follower whose disk takes long for a write answers its owner's heartbeats meanwhile, up to a
// bound, and doesn't confirm what it is writing.
func TestHeartbeatsAreAnsweredDuringAWrite(t *testing.T) {
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
				assert.Assert(t, m.Index <= heartbeat.Index, "it confirms what isn't durable: %d", m.Index)
			}
		}
		assert.NilError(t, follower.deliverAndRun())
		assert.Assert(t, time.Since(began) >= lasts)
		assert.Assert(t, answers >= 10, "%d answers", answers)
		assert.Assert(t, answeredUntil < slowWriteYieldAfter+slowWriteHeartbeatInterval, "still answers after %v", answeredUntil)
	})
}

// entriesAmong finds the message that brings entries.
func findAppendWithEntries(t *testing.T, messages []replica.Message) replica.Message {
	t.Helper()
	for _, m := range messages {
		if m.Kind == replica.Append && len(m.Entries) > 0 {
			return m
		}
	}
	t.Fatal("no entries are on the way")
	return replica.Message{}
}
