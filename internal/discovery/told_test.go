package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
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
	"github.com/stretchr/testify/require"

	"pipitmux/internal/core"
	"pipitmux/internal/counters"
	"pipitmux/logic"
)

// toldWithin is when a change counts as told: so long after the registry had it and could be
// reached, whatever call failed, was refused or given up.
const toldWithin = 6 * time.Second

const (
	before = `{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"h:1","state":"in_service"},{"uid":"b","endpoint":"h:2","state":"in_service"}]}` + "\n"
	drain  = `{"rev":2,"all":false,"targets":[{"uid":"a","endpoint":"h:1","state":"terminating"}]}` + "\n"
)

// desk is a registry that takes calls in turn, as many as it is made for.
type desk struct {
	began   time.Time
	per     time.Duration // of its time that a call takes
	drain   time.Duration // when a backend begins to drain: the registry has it from then on
	down    [2]time.Duration
	silence time.Duration // when the watches then open fall silent, 0: never
	reset   time.Duration // when they are reset, 0: never
	fate    func(of string, call int) fate

	mu    sync.Mutex
	free  time.Duration
	calls map[string]int
	made  []time.Duration
}

type fate int

const (
	heard   fate = iota
	lost         // taken, and nothing comes of it
	refused      // at once
)

const deskPatience = 2 * time.Second // a call that waits longer for its turn is refused

func (k *desk) at() time.Duration { return time.Since(k.began) }

func (k *desk) isDown() bool { at := k.at(); return at >= k.down[0] && at < k.down[1] }

// turn books the desk's time for a call, false where it waits too long.
func (k *desk) turn() bool {
	k.mu.Lock()
	wait := max(k.free-k.at(), 0)
	if wait <= deskPatience {
		k.free = k.at() + wait + k.per
	}
	k.mu.Unlock()
	time.Sleep(min(wait, deskPatience) + k.per)
	return wait <= deskPatience
}

func (k *desk) serve(c net.Conn, of string) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	k.mu.Lock()
	call := k.calls[of]
	k.calls[of]++
	k.made = append(k.made, k.at())
	k.mu.Unlock()
	switch f := k.fate(of, call); {
	case k.isDown():
		return
	case f == lost:
		io.Copy(io.Discard, c)
		return
	case f == refused || !k.turn():
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	gone := make(chan struct{})
	go func() { io.Copy(io.Discard, c); close(gone) }()
	first := before
	if !strings.HasSuffix(request.URL.RawQuery, "index=0") {
		first = "\n"
	}
	if k.at() >= k.drain {
		first = drain
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+first); err != nil {
		return
	}
	for opened, said, beat := k.at(), first == drain, k.at()+2*time.Second; ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-gone:
			return
		default:
		}
		now := k.at()
		switch {
		case k.isDown() || k.reset > 0 && opened < k.reset && now >= k.reset:
			return
		case k.silence > 0 && opened < k.silence && now >= k.silence:
			<-gone
			return
		case now >= k.drain && !said:
			said, beat = true, now+2*time.Second
			io.WriteString(c, drain)
		case now >= beat:
			beat = now + 2*time.Second
			io.WriteString(c, "\n")
		}
	}
}

type noBackends struct{}

func (noBackends) Start(core.Attempt, func(core.AttemptResult)) func() { return func() {} }
func (noBackends) Withdraw(core.Instance)                              {}
func (noBackends) CloseIdle(core.Instance)                             {}

// node is a node's module with its registry, and when it was told the drain.
func (k *desk) node(t testing.TB, name string, nodes, number int, dial func(context.Context, string, string) (net.Conn, error)) (told <-chan time.Duration, end func()) {
	quiet := slog.New(slog.DiscardHandler)
	owner, err := core.NewEventLoop(logic.Settings{Nodes: nodes, Number: number, MustSubscribe: true, AskWithin: 10 * time.Second,
		Classes: []logic.Class{{Name: "c", Aim: time.Second, Deadline: time.Second}}}, uint64(number+1), counters.New(), quiet)
	require.NoError(t, err)
	out := make(chan time.Duration, 1)
	registry := New(name, List{}, func(kind logic.ListKind, entries []core.Backend) {
		for _, e := range entries {
			if e.ID == "a" && e.State == logic.Draining {
				select {
				case out <- k.at():
				default:
				}
			}
		}
		owner.UpdateBackends(kind, entries)
	}, quiet)
	if dial != nil {
		registry.dial = dial
	}
	ended := make(chan struct{})
	go func() { owner.Run(noBackends{}, registry); close(ended) }()
	owner.UpdateBackends(logic.ListCached, nil) // which starts the module
	return out, func() {
		owner.Stop()
		<-ended
		registry.mu.Lock()
		stop, done := registry.stop, registry.done
		registry.mu.Unlock()
		if stop != nil {
			stop()
			<-done
		}
	}
}

// crossings are the ways in which a drain and a failure of a registry can meet.
var crossings = map[string]func(*desk){
	"the watch falls silent as the drain begins":                func(k *desk) { k.silence, k.drain = 3*time.Second, 3*time.Second },
	"and the next call is lost":                                 func(k *desk) { k.silence, k.drain, k.fate = 3*time.Second, 3*time.Second, only(1, lost) },
	"and the next call is refused":                              func(k *desk) { k.silence, k.drain, k.fate = 3*time.Second, 3*time.Second, only(1, refused) },
	"the watch is silent from its opening":                      func(k *desk) { k.drain, k.fate = 100*time.Millisecond, only(0, lost) },
	"a call is refused, and the next one lost as a drain comes": func(k *desk) { k.drain, k.fate = time.Second, first(refused, lost) },
	"all watches are reset, and the next calls refused": func(k *desk) {
		k.reset, k.drain, k.fate = 3*time.Second, 3*time.Second, first(heard, refused, refused)
	},
	"the registry is back, and the drain begins": func(k *desk) {
		k.down, k.drain = [2]time.Duration{2 * time.Second, 9 * time.Second}, 9*time.Second
	},
	"the registry is back, and the next call is lost": func(k *desk) {
		k.down, k.drain = [2]time.Duration{2 * time.Second, 9 * time.Second}, 9*time.Second
		var once sync.Map
		k.fate = func(of string, call int) fate {
			if k.at() < k.down[1] {
				return heard
			}
			if _, lostOne := once.LoadOrStore(of, true); !lostOne {
				return lost
			}
			return heard
		}
	},
}

func only(which int, f fate) func(string, int) fate {
	return func(_ string, call int) fate {
		if call == which {
			return f
		}
		return heard
	}
}

func first(fates ...fate) func(string, int) fate {
	return func(_ string, call int) fate {
		if call < len(fates) {
			return fates[call]
		}
		return heard
	}
}

func newDesk(per time.Duration) *desk {
	return &desk{began: time.Now(), per: per, calls: map[string]int{}, fate: func(string, int) fate { return heard }}
}

// On real sockets, one node: whatever call is lost or refused as a drain begins, it is told
// in time.
func TestToldInTimeOnSockets(t *testing.T) {
	for name, set := range crossings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			k := newDesk(10 * time.Millisecond)
			set(k)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go k.serve(c, "")
				}
			}()
			told, end := k.node(t, l.Addr().String(), 1, 0, nil)
			defer end()
			select {
			case at := <-told:
				assert.LessOrEqual(t, at, k.drain+toldWithin)
			case <-time.After(30 * time.Second):
				t.Error("never told")
			}
		})
	}
}

// Thirty nodes at once, at a registry that takes fifteen calls a second: all are told in time,
// and none of them by calling without end.
func TestToldInTimeThirtyNodes(t *testing.T) {
	const nodes = 30
	for name, set := range crossings {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newDesk(time.Second / 15)
				set(k)
				var ends []func()
				var told []<-chan time.Duration
				for n := range nodes {
					of := fmt.Sprint("n", n)
					was, end := k.node(t, of, nodes, n, func(context.Context, string, string) (net.Conn, error) {
						if k.isDown() {
							k.mu.Lock()
							k.made = append(k.made, k.at())
							k.mu.Unlock()
							return nil, errors.New("down")
						}
						here, there := net.Pipe()
						go k.serve(there, of)
						return here, nil
					})
					told, ends = append(told, was), append(ends, end)
				}
				time.Sleep(k.drain + toldWithin)
				late := 0
				for _, was := range told {
					select {
					case <-was:
					default:
						late++
					}
				}
				assert.Zero(t, late, "nodes that were not told in time")
				after := 0
				for _, at := range k.made {
					if at >= k.drain {
						after++
					}
				}
				assert.LessOrEqual(t, after, 4*nodes, "calls since then")
				for _, end := range ends {
					end()
				}
				time.Sleep(10 * time.Second) // for what is under way at the desk to end
			})
		})
	}
}
