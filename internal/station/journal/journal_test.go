package journal_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"pipitmux/internal/station/journal"
)

// line is what the tests read of a line.
type line struct {
	Time  time.Time
	Level string
	Msg   string
	Node  string
	Role  string
	Err   string
	Port  int
}

// start starts a journal for a test and returns what was written so far.
func start(t *testing.T, level slog.Level) func() []line {
	t.Helper()
	state := klog.CaptureState()
	t.Cleanup(state.Restore)
	var written bytes.Buffer
	journal.Start(&written, "edge-a-1", "edge", level)
	return func() []line { return parse(t, written.String()) }
}

func parse(t *testing.T, text string) []line {
	t.Helper()
	var lines []line
	for one := range strings.Lines(text) {
		var parsed line
		assert.NilError(t, json.Unmarshal([]byte(one), &parsed), "line %q", one)
		lines = append(lines, parsed)
	}
	return lines
}

func TestInfoLine(t *testing.T) {
	lines := start(t, slog.LevelInfo)
	before := time.Now()
	klog.InfoS("Listening", "port", 7380)
	got := lines()
	assert.Equal(t, len(got), 1)
	assert.Assert(t, !got[0].Time.Before(before.Truncate(0)), "time %v", got[0].Time)
	got[0].Time = time.Time{}
	assert.Equal(t, got[0], line{Level: "INFO", Msg: "Listening", Node: "edge-a-1", Role: "edge", Port: 7380})
}

func TestErrorLine(t *testing.T) {
	lines := start(t, slog.LevelInfo)
	klog.ErrorS(errors.New("refused"), "Dial failed", "port", 1)
	got := lines()
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Level, "ERROR")
	assert.Equal(t, got[0].Err, "refused")
	assert.Equal(t, got[0].Msg, "Dial failed")
}

func TestOneLineHoldsLineBreaks(t *testing.T) {
	lines := start(t, slog.LevelInfo)
	klog.InfoS("two\nlines")
	got := lines()
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Msg, "two\nlines")
}

func TestLevels(t *testing.T) {
	cases := []struct {
		level slog.Level
		want  []string
	}{
		{slog.LevelError, []string{"error"}},
		{slog.LevelInfo, []string{"error", "info"}},
		{slog.LevelDebug, []string{"error", "info", "verbose 4"}},
	}
	for _, c := range cases {
		t.Run(c.level.String(), func(t *testing.T) {
			lines := start(t, c.level)
			klog.ErrorS(nil, "error")
			klog.InfoS("info")
			klog.V(4).InfoS("verbose 4")
			klog.V(5).InfoS("verbose 5")
			var got []string
			for _, one := range lines() {
				got = append(got, one.Msg)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// clock is a time that a test moves.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{at: time.Unix(1_000_000, 0)} }

func TestEveryCountsWhatIsLeftOut(t *testing.T) {
	at := newClock()
	limiter := journal.NewLimiter(at.now)
	skipped, ok := limiter.Allow("dial", time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, skipped, 0)
	for range 3 {
		_, ok = limiter.Allow("dial", time.Second)
		assert.Assert(t, !ok)
	}
	_, ok = limiter.Allow("other", time.Second)
	assert.Assert(t, ok, "another key has its own interval")
	at.at = at.at.Add(time.Second - 1)
	_, ok = limiter.Allow("dial", time.Second)
	assert.Assert(t, !ok)
	at.at = at.at.Add(1)
	skipped, ok = limiter.Allow("dial", time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, skipped, 4)
}

func TestEveryBoundsItsKeys(t *testing.T) {
	at := newClock()
	limiter := journal.NewLimiter(at.now)
	passed := 0
	for i := range 3 * journal.MaxKeys {
		if _, ok := limiter.Allow(strconv.Itoa(i), time.Minute); ok {
			passed++
		}
	}
	assert.Equal(t, passed, journal.MaxKeys+1, "keys beyond the bound are limited together")
	at.at = at.at.Add(time.Minute)
	skipped, ok := limiter.Allow("fresh", time.Minute)
	assert.Assert(t, ok, "keys whose interval is over make room")
	assert.Equal(t, skipped, 0)
	skipped, ok = limiter.Allow("fresh", time.Minute)
	assert.Assert(t, !ok)
	assert.Equal(t, skipped, 0)
}

func TestEveryUnderConcurrency(t *testing.T) {
	const callers, calls = 8, 100
	at := newClock()
	limiter := journal.NewLimiter(at.now)
	var passed [callers]int
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for range calls {
				if _, ok := limiter.Allow("one", time.Second); ok {
					passed[caller]++
				}
			}
		})
	}
	group.Wait()
	total := 0
	for _, n := range passed {
		total += n
	}
	assert.Equal(t, total, 1)
	at.at = at.at.Add(time.Second)
	skipped, ok := limiter.Allow("one", time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, skipped, callers*calls-1)
}

func TestProcessLimiter(t *testing.T) {
	key := t.Name()
	_, ok := journal.Allow(key, time.Hour)
	assert.Assert(t, ok)
	_, ok = journal.Allow(key, time.Hour)
	assert.Assert(t, !ok)
}
