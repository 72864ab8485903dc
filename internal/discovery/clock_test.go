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

	"pipitmux/internal/core"
	"pipitmux/logic"
)

const (
	beat     = "\n"
	oneLine  = `{"rev":8,"all":true,"targets":[{"uid":"a","endpoint":"h:1","state":"in_service"}]}` + "\n"
	indented = "{\n  \"rev\": 9,\n  \"all\": false,\n  \"targets\": [\n    {\n      \"uid\": \"a\",\n      \"endpoint\": \"h:1\",\n\n" +
		"      \"state\": \"terminating\"\n    }\n  ]\n}\n"
)

// world is a registry, as a script on pipes, and what its caller did, in virtual time.
type world struct {
	registry *Client
	began    time.Time
	mu       sync.Mutex      // guards what follows until the day is over
	calls    []time.Duration // when each call reached the registry
	told     []time.Duration // when each list was told, by kind below
	kinds    []logic.ListKind
}

// say is one thing a watch says after a pause.
type say struct {
	after time.Duration
	text  string
}

// play has the script answer calls for a time: nil for one that is refused, else what is said,
// after which the call stays silent.
func play(t *testing.T, span time.Duration, script func(call int, at time.Duration) []say, run func(context.Context, *Client)) *world {
	w := &world{}
	synctest.Test(t, func(t *testing.T) {
		w.began = time.Now()
		ctx, stop := context.WithCancel(t.Context())
		w.registry = New("agent:1", List{Revision: 7}, func(k logic.ListKind, _ []core.Backend) {
			if ctx.Err() != nil {
				return // the day is over: its calls are being broken
			}
			w.mu.Lock()
			defer w.mu.Unlock()
			w.told, w.kinds = append(w.told, time.Since(w.began)), append(w.kinds, k)
		}, slog.New(slog.DiscardHandler))
		w.registry.dial = func(context.Context, string, string) (net.Conn, error) {
			w.mu.Lock() // calls are made beside each other
			defer w.mu.Unlock()
			at := time.Since(w.began)
			words := script(len(w.calls), at)
			if words == nil {
				return nil, errors.New("refused")
			}
			w.calls = append(w.calls, at)
			here, there := net.Pipe()
			go func() {
				defer there.Close()
				if _, err := http.ReadRequest(bufio.NewReader(there)); err != nil {
					return
				}
				io.WriteString(there, "HTTP/1.1 200 OK\r\n\r\n")
				for _, s := range words {
					select {
					case <-time.After(s.after):
					case <-ctx.Done():
						return
					}
					if _, err := io.WriteString(there, s.text); err != nil {
						return
					}
				}
				io.Copy(io.Discard, there) // until the caller closes
			}()
			return here, nil
		}
		go run(ctx, w.registry)
		time.Sleep(span)
		synctest.Wait()
		stop()
		w.registry.mu.Lock()
		if w.registry.leave != nil {
			w.registry.leave()
		}
		if w.registry.stop != nil {
			w.registry.stop()
		}
		w.registry.mu.Unlock()
		synctest.Wait()
	})
	return w
}

func keep(ctx context.Context, r *Client) { r.KeepWatching(ctx) }

func beats(n int) (out []say) {
	for range n {
		out = append(out, say{2 * time.Second, beat})
	}
	return out
}

// What a silent watch missed counts as told 6 s after it fell silent: by then the next call
// has had 3 s and more to be answered.
func TestSilence(t *testing.T) {
	spaces, trickle := []say{{0, beat}}, []say{{0, beat}, {0, `{"targets":[`}}
	for range 1000 {
		spaces = append(spaces, say{100 * time.Millisecond, " "})
		trickle = append(trickle, say{100 * time.Millisecond, "\n"}) // white space in a list that has no end
	}
	for name, tt := range map[string]struct {
		words  []say
		silent time.Duration // since when
	}{
		"after its reply":   {[]say{{0, beat}}, 0},
		"after beats":       {append([]say{{0, beat}}, beats(3)...), 6 * time.Second},
		"after a list":      {[]say{{0, oneLine}, {time.Second, indented}}, time.Second},
		"after a late beat": {[]say{{0, beat}, {2400 * time.Millisecond, beat}}, 2400 * time.Millisecond},
		"in a list":         {[]say{{0, beat}, {time.Second, oneLine[:30]}}, 0},
		"but for a trickle": {trickle, 0},
		"but for spaces":    {spaces, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := play(t, 30*time.Second, func(call int, _ time.Duration) []say {
				if call == 0 {
					return tt.words
				}
				return append([]say{{0, beat}}, beats(20)...)
			}, keep)
			if assert.Len(t, w.calls, 2, "one call anew, and no more") {
				assert.LessOrEqual(t, w.calls[1]-tt.silent, 2750*time.Millisecond)
				assert.Greater(t, w.calls[1]-tt.silent, 2400*time.Millisecond, "a beat may be late")
			}
		})
	}
}

// A beat that is a second late breaks nothing: the call that was made beside the watch
// meanwhile ends, unless it was answered first, and either way no list is missed or failed.
func TestALateBeat(t *testing.T) {
	late := []say{{0, beat}, {3 * time.Second, beat}, {time.Second, indented}}
	for name, tt := range map[string]struct {
		second []say
		told   time.Duration // when the list was
	}{
		"before the call beside it is answered": {[]say{{time.Second, beat}}, 4 * time.Second},
		"after it":                              {[]say{{100 * time.Millisecond, beat}, {1400 * time.Millisecond, indented}}, 4125 * time.Millisecond},
		"and the call is refused":               {nil, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := play(t, 5*time.Second, func(call int, _ time.Duration) []say {
				if call == 0 {
					return late
				}
				return tt.second
			}, func(_ context.Context, r *Client) { r.Subscribe() })
			assert.NotContains(t, w.kinds, logic.ListFailed)
			if assert.NotEmpty(t, w.told) {
				assert.InDelta(t, tt.told.Seconds(), w.told[len(w.told)-1].Seconds(), 0.15, "the list")
			}
			assert.LessOrEqual(t, len(w.calls), 2)
		})
	}
}

// The first word of a call that was asked for may be as late as its turn: the calls made
// beside it don't take that from it. A watch may not: another call is made beside it, with as
// much patience, and nothing failed as long as one is out.
func TestTurnOfACall(t *testing.T) {
	w := play(t, 20*time.Second, func(call int, _ time.Duration) []say {
		return append([]say{{4900 * time.Millisecond, beat}}, beats(1)...)
	}, func(_ context.Context, r *Client) { r.Subscribe() })
	assert.Equal(t, []logic.ListKind{logic.ListChanges, logic.ListChanges}, w.kinds)
	assert.Equal(t, 4900*time.Millisecond, w.told[0])
	for _, c := range w.calls {
		if c > w.told[0] {
			assert.Less(t, c-6900*time.Millisecond, 3500*time.Millisecond, "the watch is silent since 6.9 s")
			assert.Equal(t, c+4900*time.Millisecond, w.told[1])
			break
		}
	}
	assert.LessOrEqual(t, len(w.calls), 9, "at most one call in 2.2 s")
	w = play(t, 20*time.Second, func(call int, at time.Duration) []say {
		if call < 3 {
			return []say{} // lost
		}
		return nil
	}, func(_ context.Context, r *Client) { r.Subscribe() })
	assert.Equal(t, []logic.ListKind{logic.ListFailed}, w.kinds, "told once, when no call is out")
	assert.Less(t, w.told[0], 10*time.Second)
}

// What the agent has counts at once, after an outage too. However its calls failed until then,
// it is asked within 0.1 s of its return, and one call that goes unheard costs no more than 1 s.
func TestAgentIsBack(t *testing.T) {
	const down, back = 3 * time.Second, 11 * time.Second
	up := append([]say{{0, oneLine}}, beats(20)...)
	for name, outage := range map[string][]say{"refused": nil, "closed at once": {{0, "no list"}}} {
		t.Run(name, func(t *testing.T) {
			w := play(t, 20*time.Second, func(call int, at time.Duration) []say {
				switch {
				case at < time.Second:
					return []say{{0, oneLine}, {2 * time.Second, "no list"}} // breaks as the outage begins
				case at < back:
					return outage
				}
				return up
			}, keep)
			if assert.Len(t, w.told, 2) {
				assert.Less(t, w.told[1], back+101*time.Millisecond)
			}
		})
	}
	t.Run("a lost call", func(t *testing.T) {
		w := play(t, 20*time.Second, func(call int, at time.Duration) []say {
			if at < back {
				return nil
			}
			if call == 0 {
				return []say{}
			}
			return up
		}, keep)
		if assert.Len(t, w.told, 1) {
			assert.Less(t, w.told[0], back+time.Second)
		}
	})
	t.Run("silent in its outage", func(t *testing.T) { // the watch is silent, and so is each call, for good
		w := play(t, 20*time.Second, func(call int, at time.Duration) []say {
			switch {
			case call == 0:
				return []say{{0, oneLine}}
			case at < back:
				return []say{}
			}
			return up
		}, keep)
		if assert.Len(t, w.told, 2) {
			assert.Less(t, w.told[1], back+500*time.Millisecond, "counts as told at once, and sends may go on for 0.5 s")
		}
		assert.LessOrEqual(t, len(w.calls), 30)
	})
	t.Run("a slow agent", func(t *testing.T) {
		w := play(t, 20*time.Second, func(int, time.Duration) []say { return []say{{1500 * time.Millisecond, oneLine}} }, keep)
		assert.NotEmpty(t, w.told, "is waited for in the end")
	})
}

// Lists may come indented and over lines, several in one go or a list in many pieces.
func TestIndentedLists(t *testing.T) {
	pieces := []say{{0, beat}}
	for i := 0; i < len(indented); i += 7 {
		pieces = append(pieces, say{10 * time.Millisecond, indented[i:min(i+7, len(indented))]})
	}
	for name, tt := range map[string]struct {
		words []say
		want  []logic.ListKind
	}{
		"one":             {[]say{{0, indented}}, []logic.ListKind{logic.ListChanges}},
		"reply, then one": {[]say{{0, beat}, {time.Second, indented}}, []logic.ListKind{logic.ListChanges, logic.ListChanges}},
		"all in one go": {[]say{{0, oneLine + indented + beat + strings.Replace(oneLine, "8", "10", 1)}},
			[]logic.ListKind{logic.ListFull, logic.ListChanges, logic.ListFull}},
		"no end of line": {[]say{{0, oneLine[:len(oneLine)-1]}}, []logic.ListKind{logic.ListFull}},
		"CRLF":           {[]say{{0, "\r\n"}, {time.Second, "{\"rev\":8,\r\n\"targets\":[]}\r\n"}}, []logic.ListKind{logic.ListChanges, logic.ListChanges}},
		"in pieces":      {pieces, []logic.ListKind{logic.ListChanges, logic.ListChanges}},
	} {
		t.Run(name, func(t *testing.T) {
			w := play(t, 20*time.Second, func(call int, _ time.Duration) []say { return append(tt.words, beats(20)...) }, keep)
			assert.Equal(t, tt.want, w.kinds)
			assert.Len(t, w.calls, 1, "the watch holds")
		})
	}
}
