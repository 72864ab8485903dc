package cluster

import (
	"net/http"
	"sync"
	"time"
)

// ledger records what callers sent and what the nodes answered, for one tally.
type ledger struct {
	mu       sync.Mutex
	adds     map[string]*recordedAdd // by member id
	possible int                     // sum of all adds that could have counted
	lives    []lifeRecord            // by node
}

// recordedAdd is what is known of one member id.
type recordedAdd struct {
	amount  int
	open    int // calls without an answer yet
	counted bool
	acks    []acknowledgement
}

// acknowledgement is a node's answer to an add, given between the two times.
type acknowledgement struct {
	node           int
	sent, received time.Time
}

// lifeRecord is what a node acknowledged since its process started.
type lifeRecord struct {
	number       int
	acknowledged map[string]bool // member ids
	sum          int             // of their amounts
}

// bounds are the limits of what a node may read.
type bounds struct {
	life  int
	least int
}

func newLedger(nodes int) *ledger {
	l := &ledger{adds: map[string]*recordedAdd{}, lives: make([]lifeRecord, nodes)}
	for node := range l.lives {
		l.lives[node].acknowledged = map[string]bool{}
	}
	return l
}

// beginLife records that a node's process ends: what the next one reads is bounded anew.
func (l *ledger) beginLife(node int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lives[node] = lifeRecord{number: l.lives[node].number + 1, acknowledged: map[string]bool{}}
}

// beginAdd records that an add is sent to a node, and returns the number of the node's life.
func (l *ledger) beginAdd(node int, member string, amount int) (life int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add := l.adds[member]
	if add == nil {
		add = &recordedAdd{amount: amount}
		l.adds[member] = add
	}
	if add.open == 0 && !add.counted {
		l.possible += amount
	}
	add.open++
	return l.lives[node].number
}

// endAdd records the answer to an add. Statuses 503 and 429 promise that nothing was counted.
func (l *ledger) endAdd(node, life int, member string, status int, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add := l.adds[member]
	add.open--
	switch {
	case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
		add.counted = true
	case add.open == 0 && !add.counted:
		l.possible -= add.amount
	}
	if status != http.StatusOK {
		return
	}
	add.acks = append(add.acks, acknowledgement{node: node, sent: sent, received: time.Now()})
	record := &l.lives[node]
	if record.number == life && !record.acknowledged[member] {
		record.acknowledged[member] = true
		record.sum += add.amount
	}
}

// beginRead returns the bounds of a read that is sent to a node now.
func (l *ledger) beginRead(node int) bounds {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bounds{life: l.lives[node].number, least: l.lives[node].sum}
}

// endRead returns the least and the most that a read may show that was answered now.
func (l *ledger) endRead(node int, begun bounds) (least, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lives[node].number == begun.life {
		least = begun.least
	}
	return least, l.possible
}

// owed returns the sum of the adds with an acknowledgement that was received before a time and isn't
// excused, and how many acknowledged adds are excused.
func (l *ledger) owed(before time.Time, excused func(acknowledgement) bool) (sum, excusedCount int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, add := range l.adds {
		acknowledged, owed := false, false
		for _, ack := range add.acks {
			if ack.received.Before(before) {
				acknowledged = true
				owed = owed || !excused(ack)
			}
		}
		switch {
		case owed:
			sum += add.amount
		case acknowledged:
			excusedCount++
		}
	}
	return sum, excusedCount
}
