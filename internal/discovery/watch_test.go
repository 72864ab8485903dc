package discovery

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"oakseam/internal/core"
	"oakseam/logic"
)

const (
	emptyLine = "\n"
	oneLine   = `{"rev":8,"all":true,"targets":[{"uid":"a","endpoint":"h:1","state":"in_service"}]}` + "\n"
	indented  = "{\n  \"rev\": 9,\n  \"all\": false,\n  \"targets\": [\n    {\n      \"uid\": \"a\",\n      \"endpoint\": \"h:1\",\n\n" +
		"      \"state\": \"terminating\"\n    }\n  ]\n}\n"
)

// clientRun is one run of a client against a scripted registry, on pipes and a virtual clock.
type clientRun struct {
	client    *Client
	started   time.Time
	mu        sync.Mutex      // guards the fields below until the run is over
	calls     []time.Duration // when each call reached the registry
	delivered []time.Duration // when each list was delivered, in the order of kinds
	kinds     []logic.ListKind
}

// chunk is text that the registry sends after a pause.
type chunk struct {
	after time.Duration
	text  string
}

// runClient has the script answer calls for a time: nil for one that is refused, otherwise the
// chunks that are sent, after which the call stays silent.
func runClient(t *testing.T, span time.Duration, script func(call int, at time.Duration) []chunk, start func(context.Context, *Client)) *clientRun {
	run := &clientRun{}
	synctest.Test(t, func(t *testing.T) {
		run.started = time.Now()
		ctx, stop := context.WithCancel(t.Context())
		run.client = New("agent:1", List{Revision: 7}, func(kind logic.ListKind, _ []core.Backend) {
			if ctx.Err() != nil {
				return // the run is over: its calls are being broken
			}
			run.mu.Lock()
			defer run.mu.Unlock()
			run.delivered, run.kinds = append(run.delivered, time.Since(run.started)), append(run.kinds, kind)
		}, slog.New(slog.DiscardHandler))
		run.client.dial = func(context.Context, string, string) (net.Conn, error) {
			run.mu.Lock() // calls are made in parallel
			defer run.mu.Unlock()
			at := time.Since(run.started)
			chunks := script(len(run.calls), at)
			if chunks == nil {
				return nil, errors.New("refused")
			}
			run.calls = append(run.calls, at)
			clientSide, serverSide := net.Pipe()
			go func() {
				defer serverSide.Close()
				if _, err := http.ReadRequest(bufio.NewReader(serverSide)); err != nil {
					return
				}
				io.WriteString(serverSide, "HTTP/1.1 200 OK\r\n\r\n")
				for _, c := range chunks {
					select {
					case <-time.After(c.after):
					case <-ctx.Done():
						return
					}
					if _, err := io.WriteString(serverSide, c.text); err != nil {
						return
					}
				}
				io.Copy(io.Discard, serverSide) // until the caller closes
			}()
			return clientSide, nil
		}
		go start(ctx, run.client)
		time.Sleep(span)
		synctest.Wait()
		stop()
		run.client.mu.Lock()
		if run.client.leave != nil {
			run.client.leave()
		}
		if run.client.stop != nil {
			run.client.stop()
		}
		run.client.mu.Unlock()
		synctest.Wait()
	})
	return run
}

func keepWatching(ctx context.Context, c *Client) { c.KeepWatching(ctx) }

func emptyLines(n int) (out []chunk) {
	for range n {
		out = append(out, chunk{2 * time.Second, emptyLine})
	}
	return out
}

// What a silent watch missed counts as delivered 6 s after it fell silent. So the next call must
// be made early enough to have 3 s and more for its reply, but not before a line can be late.
func TestSilentWatchIsHedgedInTime(t *testing.T) {
	spaces, endlessList := []chunk{{0, emptyLine}}, []chunk{{0, emptyLine}, {0, `{"targets":[`}}
	for range 1000 {
		spaces = append(spaces, chunk{100 * time.Millisecond, " "})
		endlessList = append(endlessList, chunk{100 * time.Millisecond, "\n"}) // white space in an endless list
	}
	for name, tt := range map[string]struct {
		chunks []chunk
		silent time.Duration // when the silence began
	}{
		"after its reply":            {[]chunk{{0, emptyLine}}, 0},
		"after empty lines":          {append([]chunk{{0, emptyLine}}, emptyLines(3)...), 6 * time.Second},
		"after a list":               {[]chunk{{0, oneLine}, {time.Second, indented}}, time.Second},
		"after a late line":          {[]chunk{{0, emptyLine}, {2400 * time.Millisecond, emptyLine}}, 2400 * time.Millisecond},
		"in a list":                  {[]chunk{{0, emptyLine}, {time.Second, oneLine[:30]}}, 0},
		"except for an endless list": {endlessList, 0},
		"except for spaces":          {spaces, 0},
	} {
		t.Run(name, func(t *testing.T) {
			run := runClient(t, 30*time.Second, func(call int, _ time.Duration) []chunk {
				if call == 0 {
					return tt.chunks
				}
				return append([]chunk{{0, emptyLine}}, emptyLines(20)...)
			}, keepWatching)
			if assert.Len(t, run.calls, 2, "exactly one more call") {
				assert.LessOrEqual(t, run.calls[1]-tt.silent, 2750*time.Millisecond)
				assert.Greater(t, run.calls[1]-tt.silent, 2400*time.Millisecond, "an empty line may be late")
			}
		})
	}
}

// An empty line that is a second late must not fail the watch: the hedged call made meanwhile
// ends, unless it was answered first, and in either case no list is missed or failed.
func TestLateLineFailsNoWatch(t *testing.T) {
	late := []chunk{{0, emptyLine}, {3 * time.Second, emptyLine}, {time.Second, indented}}
	for name, tt := range map[string]struct {
		second    []chunk
		delivered time.Duration // when the list was
	}{
		"before the hedged call is answered": {[]chunk{{time.Second, emptyLine}}, 4 * time.Second},
		"after the hedged call is answered":  {[]chunk{{100 * time.Millisecond, emptyLine}, {1400 * time.Millisecond, indented}}, 4125 * time.Millisecond},
		"hedged call refused":                {nil, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			run := runClient(t, 5*time.Second, func(call int, _ time.Duration) []chunk {
				if call == 0 {
					return late
				}
				return tt.second
			}, func(_ context.Context, c *Client) { c.Subscribe() })
			assert.NotContains(t, run.kinds, logic.ListFailed)
			if assert.NotEmpty(t, run.delivered) {
				assert.InDelta(t, tt.delivered.Seconds(), run.delivered[len(run.delivered)-1].Seconds(), 0.15, "delivery of the list")
			}
			assert.LessOrEqual(t, len(run.calls), 2)
		})
	}
}

// A call that was asked for may wait for its turn at the registry, and hedged calls must not
// take that turn from it. A silent watch is hedged by a call with the same timeout, and nothing
// counts as failed while a call is in flight.
func TestHedgedCallKeepsItsTurn(t *testing.T) {
	run := runClient(t, 20*time.Second, func(call int, _ time.Duration) []chunk {
		return append([]chunk{{4900 * time.Millisecond, emptyLine}}, emptyLines(1)...)
	}, func(_ context.Context, c *Client) { c.Subscribe() })
	assert.Equal(t, []logic.ListKind{logic.ListChanges, logic.ListChanges}, run.kinds)
	assert.Equal(t, 4900*time.Millisecond, run.delivered[0])
	for _, c := range run.calls {
		if c > run.delivered[0] {
			assert.Less(t, c-6900*time.Millisecond, 3500*time.Millisecond, "the watch is silent from 6.9 s on")
			assert.Equal(t, c+4900*time.Millisecond, run.delivered[1])
			break
		}
	}
	assert.LessOrEqual(t, len(run.calls), 9, "at most one call in 2.2 s")
	run = runClient(t, 20*time.Second, func(call int, at time.Duration) []chunk {
		if call < 3 {
			return []chunk{} // lost
		}
		return nil
	}, func(_ context.Context, c *Client) { c.Subscribe() })
	assert.Equal(t, []logic.ListKind{logic.ListFailed}, run.kinds, "reported once, when no call is in flight")
	assert.Less(t, run.delivered[0], 10*time.Second)
}

// What the agent has counts as delivered at once, also after an outage. However the calls failed
// before, the agent must be called within 0.1 s of its return, and a lost call costs at most 1 s.
func TestAgentIsCalledSoonAfterOutage(t *testing.T) {
	const down, back = 3 * time.Second, 11 * time.Second
	up := append([]chunk{{0, oneLine}}, emptyLines(20)...)
	for name, outage := range map[string][]chunk{"refused": nil, "closed at once": {{0, "no list"}}} {
		t.Run(name, func(t *testing.T) {
			run := runClient(t, 20*time.Second, func(call int, at time.Duration) []chunk {
				switch {
				case at < time.Second:
					return []chunk{{0, oneLine}, {2 * time.Second, "no list"}} // breaks when the outage begins
				case at < back:
					return outage
				}
				return up
			}, keepWatching)
			if assert.Len(t, run.delivered, 2) {
				assert.Less(t, run.delivered[1], back+101*time.Millisecond)
			}
		})
	}
	t.Run("a lost call", func(t *testing.T) {
		run := runClient(t, 20*time.Second, func(call int, at time.Duration) []chunk {
			if at < back {
				return nil
			}
			if call == 0 {
				return []chunk{}
			}
			return up
		}, keepWatching)
		if assert.Len(t, run.delivered, 1) {
			assert.Less(t, run.delivered[0], back+time.Second)
		}
	})
	t.Run("silent during the outage", func(t *testing.T) { // the watch is silent, and each call stays so
		run := runClient(t, 20*time.Second, func(call int, at time.Duration) []chunk {
			switch {
			case call == 0:
				return []chunk{{0, oneLine}}
			case at < back:
				return []chunk{}
			}
			return up
		}, keepWatching)
		if assert.Len(t, run.delivered, 2) {
			assert.Less(t, run.delivered[1], back+500*time.Millisecond, "counts as delivered at once, and sends may go on for 0.5 s")
		}
		assert.LessOrEqual(t, len(run.calls), 30)
	})
	t.Run("a slow agent", func(t *testing.T) {
		run := runClient(t, 20*time.Second, func(int, time.Duration) []chunk { return []chunk{{1500 * time.Millisecond, oneLine}} }, keepWatching)
		assert.NotEmpty(t, run.delivered, "a slow agent must be waited for")
	})
}

// Lists may arrive indented over several lines, several at once, or one in many pieces. All must
// be read without a new call.
func TestListsInAnyLayout(t *testing.T) {
	pieces := []chunk{{0, emptyLine}}
	for i := 0; i < len(indented); i += 7 {
		pieces = append(pieces, chunk{10 * time.Millisecond, indented[i:min(i+7, len(indented))]})
	}
	for name, tt := range map[string]struct {
		chunks []chunk
		want   []logic.ListKind
	}{
		"one":             {[]chunk{{0, indented}}, []logic.ListKind{logic.ListChanges}},
		"reply, then one": {[]chunk{{0, emptyLine}, {time.Second, indented}}, []logic.ListKind{logic.ListChanges, logic.ListChanges}},
		"all at once": {[]chunk{{0, oneLine + indented + emptyLine + strings.Replace(oneLine, "8", "10", 1)}},
			[]logic.ListKind{logic.ListFull, logic.ListChanges, logic.ListFull}},
		"no line end": {[]chunk{{0, oneLine[:len(oneLine)-1]}}, []logic.ListKind{logic.ListFull}},
		"CRLF":        {[]chunk{{0, "\r\n"}, {time.Second, "{\"rev\":8,\r\n\"targets\":[]}\r\n"}}, []logic.ListKind{logic.ListChanges, logic.ListChanges}},
		"in pieces":   {pieces, []logic.ListKind{logic.ListChanges, logic.ListChanges}},
	} {
		t.Run(name, func(t *testing.T) {
			run := runClient(t, 20*time.Second, func(call int, _ time.Duration) []chunk { return append(tt.chunks, emptyLines(20)...) }, keepWatching)
			assert.Equal(t, tt.want, run.kinds)
			assert.Len(t, run.calls, 1, "the watch must not break")
		})
	}
}
