package logic

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// turnedAway sends one request, lets every attempt of it be turned away unseen, and returns the servers in
// their order and the last actions.
func turnedAway(b *Balancer, now time.Duration, q Request) (tried []ServerID, last []Action) {
	last = b.Handle(now, q)
	for sends := of[Send](last); len(sends) == 1; sends = of[Send](last) {
		end := Outcome{ID: q.ID, Attempt: len(tried), Result: QueueFull, Server: sends[0].Server, Latency: ms}
		tried = append(tried, sends[0].Server)
		now += ms
		last = b.Handle(now, end)
	}
	return tried, last
}

// A class's own limit on attempts counts before that of the settings.
func TestAttemptsOfAClass(t *testing.T) {
	for _, tt := range []struct{ class, settings, want int }{{0, 4, 4}, {2, 4, 2}, {5, 4, 5}, {3, 0, 3}, {1, 4, 1}} {
		cfg := testSettings()
		cfg.MaxAttempts = tt.settings
		cfg.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: 600 * ms, MaxAttempts: tt.class}}
		b := newNode(t, cfg, alike(8)...)
		tried, last := turnedAway(b, ms, Request{ID: "r", Class: "c", Expires: 600 * ms})
		assert.Len(t, tried, tt.want, "%+v", tt)
		assert.Len(t, of[Refuse](last), 1, "%+v", tt)
	}
	_, err := New(Settings{Classes: []Class{{Name: "c", Aim: ms, Deadline: ms, MaxAttempts: -1}}}, 1)
	assert.Error(t, err)
}
