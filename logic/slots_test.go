package logic

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// refusedAfterLoss counts requests refused of 200 after half of the servers went, all of
// them telling that they hold so many requests of their ten places.
func refusedAfterLoss(t *testing.T, slots bool, held float64) int {
	t.Helper()
	b, err := New(Settings{
		Classes:      []Class{{Name: "c", Aim: time.Second, Deadline: time.Second}},
		ReportFields: []string{ReportInFlight}, Slots: slots,
	}, 7)
	require.NoError(t, err)
	list := func(n int) ServerList {
		l := ServerList{Kind: ListFull}
		for i := range n {
			l.Servers = append(l.Servers, Server{ID: ServerID(fmt.Sprint("s", i)), Capacity: 10})
		}
		return l
	}
	now, refused := time.Duration(0), 0
	one := func(n int) bool {
		now += 300 * time.Millisecond // thin: what is left is not known to bear it
		id := RequestID(fmt.Sprint("r", n))
		sent := false
		for _, a := range b.Handle(now, Request{ID: id, Class: "c", ClientTimeout: time.Second}) {
			if s, ok := a.(Send); ok {
				sent = true
				b.Handle(now+20*time.Millisecond, Outcome{ID: id, Result: OK, Final: true, Server: s.Server, Latency: 20 * time.Millisecond, Report: []float64{held}})
				break
			}
		}
		return sent
	}
	b.Handle(now, list(8))
	for n := range 100 {
		one(n)
	}
	b.Handle(now, list(4))
	for n := range 20 {
		if !one(1000 + n) {
			refused++
		}
	}
	return refused
}

// Capacity that went is no reason to refuse while what is left has places free, as it tells.
func TestLostCapacityIsJudgedByFreePlaces(t *testing.T) {
	assert.Positive(t, refusedAfterLoss(t, false, 1), "without the figures nobody knows")
	assert.Zero(t, refusedAfterLoss(t, true, 1))
	assert.Positive(t, refusedAfterLoss(t, true, 9), "nearly full")
}
