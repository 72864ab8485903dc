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

	"oakseam/internal/core"
	"oakseam/internal/counters"
	"oakseam/logic"
)

// deliveryLimit is the time within which a change must be delivered, counted from when the
// registry had it and was reachable, whatever call failed, was refused or given up.
const deliveryLimit = 6 * time.Second

const (
	initialList = `{"rev":1,"all":true,"targets":[{"uid":"a","endpoint":"h:1","state":"in_service"},{"uid":"b","endpoint":"h:2","state":"in_service"}]}` + "\n"
	drainList   = `{"rev":2,"all":false,"targets":[{"uid":"a","endpoint":"h:1","state":"terminating"}]}` + "\n"
)

// queuedRegistry is a registry that handles one call at a time, at a limited rate.
type queuedRegistry struct {
	started     time.Time
	timePerCall time.Duration
	drain       time.Duration    // when a backend begins to drain: the registry has it from then on
	down        [2]time.Duration // start and end of an outage
	silence     time.Duration    // when the open watches fall silent, 0: never
	reset       time.Duration    // when the open watches are reset, 0: never
	outcome     func(node string, call int) callOutcome

	mu        sync.Mutex
	freeAt    time.Duration  // when the queue is empty
	calls     map[string]int // of each node
	callTimes []time.Duration
}

type callOutcome int

const (
	handled callOutcome = iota
	lost                // accepted, without a reply
	refused             // at once
)

const maxQueueWait = 2 * time.Second // a call that would wait longer for its turn is refused

func (r *queuedRegistry) now() time.Duration { return time.Since(r.started) }

func (r *queuedRegistry) isDown() bool { now := r.now(); return now >= r.down[0] && now < r.down[1] }

// takeTurn queues a call and waits for its turn. It returns false if the queue is too long.
func (r *queuedRegistry) takeTurn() bool {
	r.mu.Lock()
	wait := max(r.freeAt-r.now(), 0)
	if wait <= maxQueueWait {
		r.freeAt = r.now() + wait + r.timePerCall
	}
	r.mu.Unlock()
	time.Sleep(min(wait, maxQueueWait) + r.timePerCall)
	return wait <= maxQueueWait
}

func (r *queuedRegistry) serve(c net.Conn, node string) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	r.mu.Lock()
	call := r.calls[node]
	r.calls[node]++
	r.callTimes = append(r.callTimes, r.now())
	r.mu.Unlock()
	switch outcome := r.outcome(node, call); {
	case r.isDown():
		return
	case outcome == lost:
		io.Copy(io.Discard, c)
		return
	case outcome == refused || !r.takeTurn():
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return
	}
	gone := make(chan struct{})
	go func() { io.Copy(io.Discard, c); close(gone) }()
	first := initialList
	if !strings.HasSuffix(request.URL.RawQuery, "index=0") {
		first = "\n"
	}
	if r.now() >= r.drain {
		first = drainList
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+first); err != nil {
		return
	}
	for opened, drainSent, nextLine := r.now(), first == drainList, r.now()+2*time.Second; ; time.Sleep(20 * time.Millisecond) {
		select {
		case <-gone:
			return
		default:
		}
		now := r.now()
		switch {
		case r.isDown() || r.reset > 0 && opened < r.reset && now >= r.reset:
			return
		case r.silence > 0 && opened < r.silence && now >= r.silence:
			<-gone
			return
		case now >= r.drain && !drainSent:
			drainSent, nextLine = true, now+2*time.Second
			io.WriteString(c, drainList)
		case now >= nextLine:
			nextLine = now + 2*time.Second
			io.WriteString(c, "\n")
		}
	}
}

// noTransport never starts an attempt.
type noTransport struct{}

func (noTransport) Start(core.Attempt, func(core.AttemptResult)) func() { return func() {} }
func (noTransport) Withdraw(core.Instance)                              {}
func (noTransport) CloseIdle(core.Instance)                             {}

// startNode runs an event loop with a client of the registry. drained receives when the drain
// was delivered.
func (r *queuedRegistry) startNode(t testing.TB, name string, nodes, number int, dial func(context.Context, string, string) (net.Conn, error)) (drained <-chan time.Duration, end func()) {
	log := slog.New(slog.DiscardHandler)
	loop, err := core.NewEventLoop(logic.Settings{Nodes: nodes, Number: number, MustSubscribe: true, AskWithin: 10 * time.Second,
		Classes: []logic.Class{{Name: "c", Aim: time.Second, Deadline: time.Second}}}, uint64(number+1), counters.New(), log)
	require.NoError(t, err)
	drainTimes := make(chan time.Duration, 1)
	client := New(name, List{}, func(kind logic.ListKind, backends []core.Backend) {
		for _, b := range backends {
			if b.ID == "a" && b.State == logic.Draining {
				select {
				case drainTimes <- r.now():
				default:
				}
			}
		}
		loop.UpdateBackends(kind, backends)
	}, log)
	if dial != nil {
		client.dial = dial
	}
	ended := make(chan struct{})
	go func() { loop.Run(noTransport{}, client); close(ended) }()
	loop.UpdateBackends(logic.ListCached, nil) // which starts the module
	return drainTimes, func() {
		loop.Stop()
		<-ended
		client.mu.Lock()
		stop, done := client.stop, client.done
		client.mu.Unlock()
		if stop != nil {
			stop()
			<-done
		}
	}
}

// crossings are the ways in which a drain can coincide with a failure of the registry.
var crossings = map[string]func(*queuedRegistry){
	"the watch falls silent as the drain begins": func(r *queuedRegistry) { r.silence, r.drain = 3*time.Second, 3*time.Second },
	"and the next call is lost":                  func(r *queuedRegistry) { r.silence, r.drain, r.outcome = 3*time.Second, 3*time.Second, only(1, lost) },
	"and the next call is refused": func(r *queuedRegistry) {
		r.silence, r.drain, r.outcome = 3*time.Second, 3*time.Second, only(1, refused)
	},
	"the watch is silent from its opening":                      func(r *queuedRegistry) { r.drain, r.outcome = 100*time.Millisecond, only(0, lost) },
	"a call is refused, and the next one lost as a drain comes": func(r *queuedRegistry) { r.drain, r.outcome = time.Second, first(refused, lost) },
	"all watches are reset, and the next calls refused": func(r *queuedRegistry) {
		r.reset, r.drain, r.outcome = 3*time.Second, 3*time.Second, first(handled, refused, refused)
	},
	"the registry returns as the drain begins": func(r *queuedRegistry) {
		r.down, r.drain = [2]time.Duration{2 * time.Second, 9 * time.Second}, 9*time.Second
	},
	"the registry returns, and the next call is lost": func(r *queuedRegistry) {
		r.down, r.drain = [2]time.Duration{2 * time.Second, 9 * time.Second}, 9*time.Second
		var once sync.Map
		r.outcome = func(node string, call int) callOutcome {
			if r.now() < r.down[1] {
				return handled
			}
			if _, alreadyLost := once.LoadOrStore(node, true); !alreadyLost {
				return lost
			}
			return handled
		}
	},
}

func only(which int, outcome callOutcome) func(string, int) callOutcome {
	return func(_ string, call int) callOutcome {
		if call == which {
			return outcome
		}
		return handled
	}
}

func first(outcomes ...callOutcome) func(string, int) callOutcome {
	return func(_ string, call int) callOutcome {
		if call < len(outcomes) {
			return outcomes[call]
		}
		return handled
	}
}

func newQueuedRegistry(timePerCall time.Duration) *queuedRegistry {
	return &queuedRegistry{started: time.Now(), timePerCall: timePerCall, calls: map[string]int{}, outcome: func(string, int) callOutcome { return handled }}
}

// One node on real sockets: a drain must be delivered in time, whatever call is lost or refused
// as it begins.
func TestDrainIsDeliveredInTimeOnSockets(t *testing.T) {
	for name, set := range crossings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			r := newQueuedRegistry(10 * time.Millisecond)
			set(r)
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go r.serve(c, "")
				}
			}()
			drained, end := r.startNode(t, l.Addr().String(), 1, 0, nil)
			defer end()
			select {
			case at := <-drained:
				assert.LessOrEqual(t, at, r.drain+deliveryLimit)
			case <-time.After(30 * time.Second):
				t.Error("the drain was never delivered")
			}
		})
	}
}

// Thirty nodes share a registry that takes fifteen calls per second. The drain must reach all of
// them in time, and they must not overload the registry with calls.
func TestDrainIsDeliveredInTimeToThirtyNodes(t *testing.T) {
	const nodes = 30
	for name, set := range crossings {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newQueuedRegistry(time.Second / 15)
				set(r)
				var ends []func()
				var drained []<-chan time.Duration
				for n := range nodes {
					name := fmt.Sprint("n", n)
					nodeDrained, end := r.startNode(t, name, nodes, n, func(context.Context, string, string) (net.Conn, error) {
						if r.isDown() {
							r.mu.Lock()
							r.callTimes = append(r.callTimes, r.now())
							r.mu.Unlock()
							return nil, errors.New("down")
						}
						clientSide, serverSide := net.Pipe()
						go r.serve(serverSide, name)
						return clientSide, nil
					})
					drained, ends = append(drained, nodeDrained), append(ends, end)
				}
				time.Sleep(r.drain + deliveryLimit)
				late := 0
				for _, nodeDrained := range drained {
					select {
					case <-nodeDrained:
					default:
						late++
					}
				}
				assert.Zero(t, late, "nodes that the drain did not reach in time")
				after := 0
				for _, at := range r.callTimes {
					if at >= r.drain {
						after++
					}
				}
				assert.LessOrEqual(t, after, 4*nodes, "calls since the drain")
				for _, end := range ends {
					end()
				}
				time.Sleep(10 * time.Second) // until the calls in flight have ended
			})
		})
	}
}
