package upstream

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"oakseam/internal/core"
)

const (
	// keepAliveMargin is how long before the keep-alive timeout that a server states an idle
	// connection is given up, so that no request crosses the server's close.
	keepAliveMargin = time.Second
	// minIdleLimit is the shortest idle limit that is learned.
	minIdleLimit = 20 * time.Millisecond
	// idleLimitDoublingTime is the time in which a learned limit doubles, since the cause that made
	// servers drop connections passes.
	idleLimitDoublingTime = 4 * time.Second
	// minInstancesForGlobalLimit is how many instances have to drop idle connections until the limit
	// applies to all instances.
	minInstancesForGlobalLimit = 3
	// freshResetMemory is how long an instance that reset a new connection immediately is not used for
	// learning: it resets every connection, idle or not.
	freshResetMemory = 10 * time.Second
	// maxResetRoundTrips and resetSlack bound the time from a request to its reset if the server
	// had dropped the idle connection: maxResetRoundTrips times the connect time, plus resetSlack
	// for a busy CPU. A request that the server executed and broke off takes its work in addition.
	maxResetRoundTrips = 2
	resetSlack         = 5 * time.Millisecond
)

// idleLimits learns how long connections may stay idle before servers drop them without closing
// them. It does no I/O and is not safe for concurrent use.
type idleLimits struct {
	max         time.Duration // upper limit of all idle limits
	instances   map[core.Instance]idleLimit
	freshResets map[core.Instance]time.Time // when an instance last reset a new connection
	global      idleLimit                   // for all instances, once several have dropped connections
}

// idleLimit is a limit and the time at which it was learned. The zero value is no limit.
type idleLimit struct {
	limit     time.Duration
	learnedAt time.Time
}

// newIdleLimits returns idle limits that are at most upperLimit.
func newIdleLimits(upperLimit time.Duration) *idleLimits {
	return &idleLimits{max: upperLimit, instances: map[core.Instance]idleLimit{}, freshResets: map[core.Instance]time.Time{}}
}

// effective returns the limit that applies at the given time. It doubles every
// idleLimitDoublingTime up to upperLimit.
func (l idleLimit) effective(now time.Time, upperLimit time.Duration) time.Duration {
	if l.limit == 0 {
		return upperLimit
	}
	limit := l.limit
	for age := now.Sub(l.learnedAt); age >= idleLimitDoublingTime && limit < upperLimit; age -= idleLimitDoublingTime {
		limit *= 2
	}
	return min(limit, upperLimit)
}

// maxIdle returns how long a connection to an instance may have been idle and still be used.
func (l *idleLimits) maxIdle(instance core.Instance, now time.Time) time.Duration {
	return min(l.instances[instance].effective(now, l.max), l.global.effective(now, l.max))
}

// recordStaleReset records that an instance reset a connection after the given idle time, and limits
// its idle time to half of that. If enough other instances did so recently, the lowest limit applies
// to all instances.
func (l *idleLimits) recordStaleReset(instance core.Instance, idleTime time.Duration, now time.Time) {
	l.expire(now)
	if _, unreliable := l.freshResets[instance]; unreliable {
		return
	}
	l.instances[instance] = idleLimit{max(min(idleTime/2, l.maxIdle(instance, now)), minIdleLimit), now}
	if len(l.instances) < minInstancesForGlobalLimit {
		return
	}
	lowest := l.max
	for _, limit := range l.instances {
		lowest = min(lowest, limit.effective(now, l.max))
	}
	l.global = idleLimit{lowest, now}
}

// recordFreshReset records that an instance reset a new connection. Its resets then tell nothing about
// idle time.
func (l *idleLimits) recordFreshReset(instance core.Instance, now time.Time) {
	l.expire(now)
	l.freshResets[instance] = now
	delete(l.instances, instance)
	if len(l.instances) < minInstancesForGlobalLimit {
		l.global = idleLimit{}
	}
}

// expire deletes limits and resets that no longer have an effect.
func (l *idleLimits) expire(now time.Time) {
	maps.DeleteFunc(l.instances, func(_ core.Instance, limit idleLimit) bool { return limit.effective(now, l.max) >= l.max })
	maps.DeleteFunc(l.freshResets, func(_ core.Instance, resetAt time.Time) bool { return now.Sub(resetAt) >= freshResetMemory })
}

// keepAliveTimeout returns how long a server states in a Keep-Alive field that it keeps an idle
// connection, and 0 if it does not state that.
func keepAliveTimeout(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseUint(value, 10, 31)
		if err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// isImmediateReset reports whether an attempt failed with a reset within the time that the round
// trip takes. Such a reset comes from a server that does not know the connection, and not from one
// that worked on the request.
func isImmediateReset(c *conn, err error, elapsed time.Duration) bool {
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
	return reset && elapsed <= maxResetRoundTrips*c.dialTime+resetSlack
}
