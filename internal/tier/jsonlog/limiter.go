package jsonlog

import (
	"sync"
	"time"
)

// MaxKeys is the largest number of keys that a Limiter tracks separately.
const MaxKeys = 1024

// minSweepInterval is the minimum time between two sweeps of expired keys.
const minSweepInterval = time.Second

// Limiter allows one log line per key and interval. Its memory is bounded: while
// MaxKeys keys are within their intervals, all further keys are limited together
// as if they were one key.
type Limiter struct {
	now func() time.Time

	mu       sync.Mutex
	keys     map[string]*keyState
	overflow keyState // shared by the keys beyond MaxKeys
	sweptAt  time.Time
}

// keyState is the state of a key.
type keyState struct {
	until   time.Time // lines are suppressed until this time
	skipped int       // lines suppressed since the last allowed one
}

// NewLimiter returns a Limiter that reads the time from now, or from time.Now if
// now is nil.
func NewLimiter(now func() time.Time) *Limiter {
	if now == nil {
		now = time.Now
	}
	return &Limiter{now: now, keys: make(map[string]*keyState)}
}

// Allow reports whether a line of a key may be written now, and if so, how many
// lines of the key were suppressed since the last one. An allowed line starts a
// new interval. The counts of expired keys are reported with the next line of the
// keys that are limited together.
func (l *Limiter) Allow(key string, interval time.Duration) (skipped int, ok bool) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state(key, now).allow(now, interval)
}

// state returns the state of a key and creates it if necessary. l.mu must be
// held.
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
	added := &keyState{}
	l.keys[key] = added
	return added
}

// sweep removes the keys whose intervals have ended. l.mu must be held.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < minSweepInterval {
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

// allow allows a line or counts it as suppressed.
func (s *keyState) allow(now time.Time, interval time.Duration) (skipped int, ok bool) {
	if now.Before(s.until) {
		s.skipped++
		return 0, false
	}
	skipped = s.skipped
	s.skipped = 0
	s.until = now.Add(interval)
	return skipped, true
}

// processLimiter is the Limiter of the process.
var processLimiter = NewLimiter(nil)

// Allow calls Limiter.Allow of the Limiter shared by the whole process:
//
//	if skipped, ok := jsonlog.Allow("dial "+address, time.Second); ok {
//		klog.ErrorS(err, "dial failed", "address", address, "skipped", skipped)
//	}
func Allow(key string, interval time.Duration) (skipped int, ok bool) {
	return processLimiter.Allow(key, interval)
}
