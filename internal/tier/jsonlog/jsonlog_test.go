package jsonlog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"oakseam/internal/tier/jsonlog"
)

// logLine is a parsed log line.
type logLine struct {
	Time  time.Time
	Level string
	Msg   string
	Node  string
	Role  string
	Err   string
	Port  int
	Count int
}

// startLog starts the log for a test and returns a function that reads its lines.
func startLog(t *testing.T, level slog.Level) func() []logLine {
	t.Helper()
	state := klog.CaptureState()
	t.Cleanup(state.Restore)
	var written bytes.Buffer
	jsonlog.Start(&written, "edge-a-1", "edge", level)
	return func() []logLine {
		jsonlog.Flush(time.Minute)
		return parse(t, written.String())
	}
}

func parse(t *testing.T, content string) []logLine {
	t.Helper()
	var lines []logLine
	for text := range strings.Lines(content) {
		var parsed logLine
		assert.NilError(t, json.Unmarshal([]byte(text), &parsed), "line %q", text)
		lines = append(lines, parsed)
	}
	return lines
}

func TestInfoLineHasNodeRoleAndKeys(t *testing.T) {
	lines := startLog(t, slog.LevelInfo)
	before := time.Now()
	klog.InfoS("Listening", "port", 7380)
	got := lines()
	assert.Equal(t, len(got), 1)
	assert.Assert(t, !got[0].Time.Before(before.Truncate(0)), "time %v", got[0].Time)
	got[0].Time = time.Time{}
	assert.Equal(t, got[0], logLine{Level: "INFO", Msg: "Listening", Node: "edge-a-1", Role: "edge", Port: 7380})
}

func TestErrorLineHasErr(t *testing.T) {
	lines := startLog(t, slog.LevelInfo)
	klog.ErrorS(errors.New("refused"), "Dial failed", "port", 1)
	got := lines()
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Level, "ERROR")
	assert.Equal(t, got[0].Err, "refused")
	assert.Equal(t, got[0].Msg, "Dial failed")
}

func TestMessageWithLineBreakStaysOneLine(t *testing.T) {
	lines := startLog(t, slog.LevelInfo)
	klog.InfoS("two\nlines")
	got := lines()
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Msg, "two\nlines")
}

func TestLevelFiltersLines(t *testing.T) {
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
			lines := startLog(t, c.level)
			klog.ErrorS(nil, "error")
			klog.InfoS("info")
			klog.V(4).InfoS("verbose 4")
			klog.V(5).InfoS("verbose 5")
			var got []string
			for _, line := range lines() {
				got = append(got, line.Msg)
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// heldWriter is a reader of the log that reads nothing until it is released.
type heldWriter struct {
	released chan struct{}
	written  bytes.Buffer
}

// Write implements io.Writer.
func (w *heldWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.written.Write(p)
}

// Guards against a log that holds up its process when nobody reads it, and one that grows without end or
// doesn't tell what it lost.
func TestLogThatNobodyReadsHoldsNothingUp(t *testing.T) {
	state := klog.CaptureState()
	t.Cleanup(state.Restore)
	held := &heldWriter{released: make(chan struct{})}
	jsonlog.Start(held, "edge-a-1", "edge", slog.LevelInfo)
	const sent = 20_000
	for i := range sent {
		klog.InfoS("line", "port", i)
	}
	jsonlog.Flush(time.Millisecond) // must return though nothing is written
	close(held.released)
	jsonlog.Flush(time.Minute)
	klog.InfoS("last")
	jsonlog.Flush(time.Minute)
	lines := parse(t, held.written.String())
	lost := 0
	for _, line := range lines {
		lost += line.Count
	}
	assert.Equal(t, lines[len(lines)-1].Msg, "last")
	assert.Assert(t, lost > 0)
	told := 0
	for _, line := range lines {
		if line.Count > 0 {
			told++
		}
	}
	assert.Equal(t, len(lines)-told+lost, sent+1, "each line is written or counted as lost")
	assert.Assert(t, held.written.Len() < 512<<10, "bytes queued: %d", held.written.Len())
}

// failingWriter is a log whose reader is gone.
type failingWriter struct{ fails bool }

// Write implements io.Writer.
func (w *failingWriter) Write(p []byte) (int, error) {
	if w.fails {
		return 0, errors.New("broken pipe")
	}
	return len(p), nil
}

// Guards against lines that are lost for good without a count when the reader of the log comes back.
func TestLogCountsLinesThatCouldNotBeWritten(t *testing.T) {
	state := klog.CaptureState()
	t.Cleanup(state.Restore)
	var written bytes.Buffer
	gone := &failingWriter{fails: true}
	jsonlog.Start(io.MultiWriter(gone, &written), "edge-a-1", "edge", slog.LevelInfo)
	klog.InfoS("one")
	klog.InfoS("two")
	jsonlog.Flush(time.Minute)
	gone.fails = false
	klog.InfoS("three")
	jsonlog.Flush(time.Minute)
	lines := parse(t, written.String())
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, lines[0].Count, 2)
	assert.Equal(t, lines[1].Msg, "three")
}

// clock is a clock that the test advances.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newClock() *clock { return &clock{at: time.Unix(1_000_000, 0)} }

func TestAllowCountsSuppressedLines(t *testing.T) {
	clock := newClock()
	limiter := jsonlog.NewLimiter(clock.now)
	skipped, ok := limiter.Allow("dial", time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, skipped, 0)
	for range 3 {
		_, ok = limiter.Allow("dial", time.Second)
		assert.Assert(t, !ok)
	}
	_, ok = limiter.Allow("other", time.Second)
	assert.Assert(t, ok, "another key must have its own interval")
	clock.at = clock.at.Add(time.Second - 1)
	_, ok = limiter.Allow("dial", time.Second)
	assert.Assert(t, !ok)
	clock.at = clock.at.Add(1)
	skipped, ok = limiter.Allow("dial", time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, skipped, 4)
}

func TestAllowBoundsItsKeys(t *testing.T) {
	clock := newClock()
	limiter := jsonlog.NewLimiter(clock.now)
	allowed := 0
	for i := range 3 * jsonlog.MaxKeys {
		if _, ok := limiter.Allow(strconv.Itoa(i), time.Minute); ok {
			allowed++
		}
	}
	assert.Equal(t, allowed, jsonlog.MaxKeys+1, "keys beyond the bound must be limited together")
	clock.at = clock.at.Add(time.Minute)
	skipped, ok := limiter.Allow("fresh", time.Minute)
	assert.Assert(t, ok, "keys whose interval has ended must be removed")
	assert.Equal(t, skipped, 0)
	skipped, ok = limiter.Allow("fresh", time.Minute)
	assert.Assert(t, !ok)
	assert.Equal(t, skipped, 0)
}

func TestAllowIsSafeForConcurrentUse(t *testing.T) {
	const callers, calls = 8, 100
	clock := newClock()
	limiter := jsonlog.NewLimiter(clock.now)
	var allowed [callers]int
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for range calls {
				if _, ok := limiter.Allow("one", time.Second); ok {
					allowed[caller]++
				}
			}
		})
	}
	group.Wait()
	total := 0
	for _, n := range allowed {
		total += n
	}
	assert.Equal(t, total, 1)
	clock.at = clock.at.Add(time.Second)
	skipped, ok := limiter.Allow("one", time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, skipped, callers*calls-1)
}

func TestProcessLimiterSuppressesRepeats(t *testing.T) {
	key := t.Name()
	_, ok := jsonlog.Allow(key, time.Hour)
	assert.Assert(t, ok)
	_, ok = jsonlog.Allow(key, time.Hour)
	assert.Assert(t, !ok)
}
