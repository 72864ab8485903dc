package upstream

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakseam/internal/core"
)

var start = time.Unix(1000, 0)

// An instance that drops an idle connection is limited to half of its idle time.
func TestIdleLimitOfAnInstanceThatDropsConnections(t *testing.T) {
	l := newIdleLimits(30 * time.Second)
	a, b := core.Instance{ID: "a"}, core.Instance{ID: "b"}
	assert.Equal(t, 30*time.Second, l.maxIdle(a, start))
	l.recordStaleReset(a, 800*time.Millisecond, start)
	assert.Equal(t, 400*time.Millisecond, l.maxIdle(a, start))
	assert.Equal(t, 30*time.Second, l.maxIdle(b, start), "one instance that drops connections does not limit others")
	l.recordStaleReset(a, 300*time.Millisecond, start)
	assert.Equal(t, 150*time.Millisecond, l.maxIdle(a, start))
	l.recordStaleReset(a, 5*time.Second, start)
	assert.Equal(t, 150*time.Millisecond, l.maxIdle(a, start), "a reset after a longer idle time does not raise the limit")
	l.recordStaleReset(a, time.Millisecond, start)
	assert.Equal(t, minIdleLimit, l.maxIdle(a, start))
}

// The limit applies to all instances once three of them drop idle connections.
func TestGlobalIdleLimit(t *testing.T) {
	l := newIdleLimits(30 * time.Second)
	l.recordStaleReset(core.Instance{ID: "a"}, 2*time.Second, start)
	l.recordStaleReset(core.Instance{ID: "b"}, time.Second, start.Add(time.Second))
	assert.Equal(t, 30*time.Second, l.maxIdle(core.Instance{ID: "d"}, start.Add(time.Second)))
	l.recordStaleReset(core.Instance{ID: "c"}, 3*time.Second, start.Add(time.Second))
	assert.Equal(t, 500*time.Millisecond, l.maxIdle(core.Instance{ID: "d"}, start.Add(time.Second)))
}

// A server that also resets new connections is faulty. Its resets must not count as evidence of how
// long connections to others may be idle.
func TestInstancesThatResetNewConnectionsDoNotLimitOthers(t *testing.T) {
	l := newIdleLimits(30 * time.Second)
	a, b, c := core.Instance{ID: "a"}, core.Instance{ID: "b"}, core.Instance{ID: "c"}
	l.recordStaleReset(a, time.Second, start)
	l.recordStaleReset(b, time.Second, start)
	l.recordStaleReset(c, time.Second, start)
	assert.Equal(t, 500*time.Millisecond, l.maxIdle(core.Instance{ID: "d"}, start))
	l.recordFreshReset(a, start)
	assert.Equal(t, 30*time.Second, l.maxIdle(a, start))
	assert.Equal(t, 30*time.Second, l.maxIdle(core.Instance{ID: "d"}, start), "two instances are not enough for a global limit")
	assert.Equal(t, 500*time.Millisecond, l.maxIdle(b, start))
	l.recordStaleReset(a, time.Second, start.Add(freshResetMemory/2))
	assert.Equal(t, 30*time.Second, l.maxIdle(a, start.Add(freshResetMemory/2)))
	l.recordStaleReset(a, time.Second, start.Add(freshResetMemory))
	assert.Equal(t, 500*time.Millisecond, l.maxIdle(a, start.Add(freshResetMemory)))
}

// A learned limit doubles with time until it has no effect.
func TestIdleLimitsExpire(t *testing.T) {
	l := newIdleLimits(30 * time.Second)
	a, b := core.Instance{ID: "a"}, core.Instance{ID: "b"}
	l.recordStaleReset(a, time.Second, start)
	assert.Equal(t, time.Second, l.maxIdle(a, start.Add(idleLimitDoublingTime)))
	assert.Equal(t, 8*time.Second, l.maxIdle(a, start.Add(4*idleLimitDoublingTime)))
	assert.Equal(t, 30*time.Second, l.maxIdle(a, start.Add(time.Hour)))
	l.recordStaleReset(b, time.Second, start.Add(time.Hour))
	assert.Len(t, l.instances, 1, "the expired limit of the first instance is deleted")
}

// Invalid timeouts in a Keep-Alive field are ignored.
func TestKeepAliveTimeout(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "timeout=5": 5 * time.Second, "max=3, timeout=15": 15 * time.Second, "Timeout=2": 2 * time.Second,
		"timeout=-1": 0, "timeout=x": 0, "timeout=99999999999999999999": 0, "timeout=0": 0,
	} {
		assert.Equal(t, want, keepAliveTimeout(http.Header{"Keep-Alive": {text}}), text)
	}
}

// Only an immediate reset shows that the server had dropped the connection.
func TestImmediateReset(t *testing.T) {
	c := &conn{dialTime: 2 * time.Millisecond}
	early := 3 * time.Millisecond
	late := 50 * time.Millisecond
	assert.True(t, isImmediateReset(c, syscall.ECONNRESET, early))
	assert.True(t, isImmediateReset(c, &Error{FullyWritten, syscall.EPIPE}, early))
	assert.True(t, isImmediateReset(c, io.ErrUnexpectedEOF, early))
	assert.False(t, isImmediateReset(c, syscall.ECONNRESET, late), "the server worked on the request and broke off")
	assert.False(t, isImmediateReset(c, errors.New("other"), early))
}

// A connection must not be idle for longer than its server states.
func TestIdleTimeIsBelowTheKeepAliveTimeout(t *testing.T) {
	p := &Pool{opt: Options{IdleTimeout: 30 * time.Second}}
	assert.Equal(t, 30*time.Second, p.maxIdleTime(&conn{}, start))
	assert.Equal(t, 4*time.Second, p.maxIdleTime(&conn{keepAlive: 5 * time.Second}, start))
	assert.Equal(t, 500*time.Millisecond, p.maxIdleTime(&conn{keepAlive: time.Second}, start), "half of a short timeout")
	assert.Equal(t, 30*time.Second, p.maxIdleTime(&conn{keepAlive: time.Minute}, start))
	p.idleLimits = newIdleLimits(30 * time.Second)
	p.idleLimits.recordStaleReset(core.Instance{ID: "a"}, time.Second, start)
	assert.Equal(t, 500*time.Millisecond, p.maxIdleTime(&conn{instance: core.Instance{ID: "a"}, keepAlive: 5 * time.Second}, start))
}
