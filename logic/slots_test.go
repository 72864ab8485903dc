package logic

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// countRejectedAfterLoss counts rejections of 20 requests after half of the servers went, while all servers
// report this many requests in flight in their ten slots.
func countRejectedAfterLoss(t *testing.T, slots bool, held float64) int {
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
	now, rejected := time.Duration(0), 0
	one := func(n int) bool {
		now += 300 * time.Millisecond // low traffic: the node can't know what the rest can take
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
			rejected++
		}
	}
	return rejected
}

// Lost capacity is no reason to reject while the remaining servers report free slots.
func TestLostCapacityIsToleratedWithFreeSlots(t *testing.T) {
	assert.Positive(t, countRejectedAfterLoss(t, false, 1), "without reported slots")
	assert.Zero(t, countRejectedAfterLoss(t, true, 1))
	assert.Positive(t, countRejectedAfterLoss(t, true, 9), "nearly full")
}

// A loss counts the more the fewer slots are free: nothing while half of them are, all once none is.
func TestLostCapacityCountsAsFarAsSlotsAreGone(t *testing.T) {
	half, most := countRejectedAfterLoss(t, true, 6), countRejectedAfterLoss(t, true, 10)
	assert.Zero(t, countRejectedAfterLoss(t, true, 5))
	assert.Less(t, half, most)
	assert.GreaterOrEqual(t, countRejectedAfterLoss(t, false, 10), most)
}
