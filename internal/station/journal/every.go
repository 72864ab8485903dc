package journal

import (
	"sync"
	"time"
)

// MaxKeys bounds the keys that a Limiter remembers.
const MaxKeys = 1024

// sweepInterval is the least time between two sweeps for keys that are over.
const sweepInterval = time.Second

// Limiter lets through one line per key and interval. Its memory is bounded:
// while MaxKeys keys are within their intervals, all further keys are limited
// together, as if they were one.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	keys     map[string]*keyState
	overflow keyState
	sweptAt  time.Time
}

// keyState is what a Limiter knows of a key.
type keyState struct {
	until   time.Time // lines are held back before this time
	skipped int       // lines held back since the last one let through
}

// NewLimiter returns a Limiter that reads the time from now; nil stands for
// time.Now.
func NewLimiter(now func() time.Time) *Limiter {
	if now == nil {
		now = time.Now
	}
	return &Limiter{now: now, keys: make(map[string]*keyState)}
}

// Allow tells whether a line of a key may be written now, and if so, how many
// lines of the key were held back since the last one. A line let through
// starts a new interval. The counts of keys that were forgotten while at their
// bound are given with the next line of those limited together.
func (l *Limiter) Allow(key string, interval time.Duration) (skipped int, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(key, now).pass(now, interval)
}

// state finds or makes the state of a key. The lock is held.
func (l *Limiter) state(key string, now time.Time) *keyState {
	if known, ok := l.keys[key]; ok {
		return known
	}
	if len(l.keys) >= MaxKeys {
		l.sweep(now)
	}
	if len(l.keys) >= MaxKeys {
		return &l.overflow
	}
	fresh := &keyState{}
	l.keys[key] = fresh
	return fresh
}

// sweep forgets the keys whose intervals are over. The lock is held.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for key, state := range l.keys {
		if now.Before(state.until) {
			continue
		}
		l.overflow.skipped += state.skipped
		delete(l.keys, key)
	}
}

// pass lets a line through or counts it as held back.
func (s *keyState) pass(now time.Time, interval time.Duration) (skipped int, ok bool) {
	if now.Before(s.until) {
		s.skipped++
		return 0, false
	}
	skipped = s.skipped
	s.skipped = 0
	s.until = now.Add(interval)
	return skipped, true
}

// process is the Limiter of the process.
var process = NewLimiter(nil)

// Allow is Limiter.Allow of the one Limiter that a process shares:
//
//	if skipped, ok := journal.Allow("dial "+address, time.Second); ok {
//		klog.ErrorS(err, "dial failed", "address", address, "skipped", skipped)
//	}
func Allow(key string, interval time.Duration) (skipped int, ok bool) {
	return process.Allow(key, interval)
}
