package upstream

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"pipitmux/internal/core"
)

var start = time.Unix(1000, 0)

func TestAPlaceThatForgetsIsHeldToHalfTheRest(t *testing.T) {
	l := newRestLimits(30 * time.Second)
	a, b := core.Place{ID: "a"}, core.Place{ID: "b"}
	assert.Equal(t, 30*time.Second, l.allowed(a, start))
	l.forgotten(a, 800*time.Millisecond, start)
	assert.Equal(t, 400*time.Millisecond, l.allowed(a, start))
	assert.Equal(t, 30*time.Second, l.allowed(b, start), "one that forgets says nothing of others")
	l.forgotten(a, 300*time.Millisecond, start)
	assert.Equal(t, 150*time.Millisecond, l.allowed(a, start))
	l.forgotten(a, 5*time.Second, start)
	assert.Equal(t, 150*time.Millisecond, l.allowed(a, start), "an older connection tells less")
	l.forgotten(a, time.Millisecond, start)
	assert.Equal(t, restLeast, l.allowed(a, start))
}

func TestSeveralPlacesThatForgetTellOfAll(t *testing.T) {
	l := newRestLimits(30 * time.Second)
	l.forgotten(core.Place{ID: "a"}, 2*time.Second, start)
	l.forgotten(core.Place{ID: "b"}, time.Second, start.Add(time.Second))
	assert.Equal(t, 30*time.Second, l.allowed(core.Place{ID: "d"}, start.Add(time.Second)))
	l.forgotten(core.Place{ID: "c"}, 3*time.Second, start.Add(time.Second))
	assert.Equal(t, 500*time.Millisecond, l.allowed(core.Place{ID: "d"}, start.Add(time.Second)))
}

// A server that resets new connections as well is sick, and no witness of how long others may rest.
func TestPlacesThatResetAllAreNoWitnesses(t *testing.T) {
	l := newRestLimits(30 * time.Second)
	a, b, c := core.Place{ID: "a"}, core.Place{ID: "b"}, core.Place{ID: "c"}
	l.forgotten(a, time.Second, start)
	l.forgotten(b, time.Second, start)
	l.forgotten(c, time.Second, start)
	assert.Equal(t, 500*time.Millisecond, l.allowed(core.Place{ID: "d"}, start))
	l.reset(a, start)
	assert.Equal(t, 30*time.Second, l.allowed(a, start))
	assert.Equal(t, 30*time.Second, l.allowed(core.Place{ID: "d"}, start), "two are left")
	assert.Equal(t, 500*time.Millisecond, l.allowed(b, start))
	l.forgotten(a, time.Second, start.Add(resetsFor/2))
	assert.Equal(t, 30*time.Second, l.allowed(a, start.Add(resetsFor/2)))
	l.forgotten(a, time.Second, start.Add(resetsFor))
	assert.Equal(t, 500*time.Millisecond, l.allowed(a, start.Add(resetsFor)))
}

func TestLimitsOfRestPass(t *testing.T) {
	l := newRestLimits(30 * time.Second)
	a, b := core.Place{ID: "a"}, core.Place{ID: "b"}
	l.forgotten(a, time.Second, start)
	assert.Equal(t, time.Second, l.allowed(a, start.Add(restDoubles)))
	assert.Equal(t, 8*time.Second, l.allowed(a, start.Add(4*restDoubles)))
	assert.Equal(t, 30*time.Second, l.allowed(a, start.Add(time.Hour)))
	l.forgotten(b, time.Second, start.Add(time.Hour))
	assert.Len(t, l.places, 1, "what a did long ago is not kept")
}

func TestStatedRest(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 0, "timeout=5": 5 * time.Second, "max=3, timeout=15": 15 * time.Second, "Timeout=2": 2 * time.Second,
		"timeout=-1": 0, "timeout=x": 0, "timeout=99999999999999999999": 0, "timeout=0": 0,
	} {
		assert.Equal(t, want, stated(http.Header{"Keep-Alive": {text}}), text)
	}
}

// Only a reset that comes at once shows that a connection was forgotten.
func TestWhatIsAResetAtOnce(t *testing.T) {
	c := &conn{dialed: 2 * time.Millisecond}
	at, late := 3*time.Millisecond, 50*time.Millisecond
	assert.True(t, resetAtOnce(c, syscall.ECONNRESET, at))
	assert.True(t, resetAtOnce(c, &Error{FullyWritten, syscall.EPIPE}, at))
	assert.True(t, resetAtOnce(c, io.ErrUnexpectedEOF, at))
	assert.False(t, resetAtOnce(c, syscall.ECONNRESET, late), "the server worked on it and broke off")
	assert.False(t, resetAtOnce(c, errors.New("other"), at))
}

// A connection isn't used, and not kept, longer than its server says.
func TestConnectionsRestNoLongerThanStated(t *testing.T) {
	p := &Pool{opt: Options{IdleTimeout: 30 * time.Second}}
	assert.Equal(t, 30*time.Second, p.mayRest(&conn{}, start))
	assert.Equal(t, 4*time.Second, p.mayRest(&conn{keep: 5 * time.Second}, start))
	assert.Equal(t, 500*time.Millisecond, p.mayRest(&conn{keep: time.Second}, start), "most of a short time")
	assert.Equal(t, 30*time.Second, p.mayRest(&conn{keep: time.Minute}, start))
	p.rest = newRestLimits(30 * time.Second)
	p.rest.forgotten(core.Place{ID: "a"}, time.Second, start)
	assert.Equal(t, 500*time.Millisecond, p.mayRest(&conn{place: core.Place{ID: "a"}, keep: 5 * time.Second}, start))
}
