package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"oakseam/internal/gossip"
)

func TestTransportContractUDP(t *testing.T) {
	checkTransport(t, func(*testing.T) Net {
		return Net{
			Listen: func() (gossip.Transport, error) { return gossip.ListenUDP("127.0.0.1:0") },
			Raw: func(to string, text []byte) error {
				c, err := net.Dial("udp4", to)
				if err != nil {
					return err
				}
				defer c.Close()
				_, err = c.Write(text)
				return err
			},
		}
	})
}

// memoryNet returns an in-memory network; wrap, if given, makes its transports wrong.
func memoryNet(wrap func(*gossip.MemoryTransport) gossip.Transport) Net {
	n, count := gossip.NewMemoryNetwork(rand.New(rand.NewPCG(1, 2))), 0
	return Net{
		Listen: func() (gossip.Transport, error) {
			count++
			m := n.Listen(fmt.Sprint("node-", count))
			if wrap != nil {
				return wrap(m), nil
			}
			return m, nil
		},
		SetFaults: func() { n.SetFaults(0.2, 0.2, 0.2) },
	}
}

func TestTransportContractMemory(t *testing.T) {
	checkTransport(t, func(*testing.T) Net { return memoryNet(nil) })
}

// delayedNet is the same with a clock, as in the emulator: datagrams take up to 5 ms.
func delayedNet() Net { return netWithDelay(5 * time.Millisecond) }

// netWithDelay is an in-memory network whose datagrams take up to maxDelay.
func netWithDelay(maxDelay time.Duration) Net {
	n, count := gossip.NewMemoryNetwork(nil), 0
	rng := rand.New(rand.NewPCG(1, 3)) // used under the network's lock
	faulty := false
	var inTransit sync.WaitGroup
	n.SetDelivery(func(_, _ string) []time.Duration {
		takes := func() time.Duration { return time.Duration(rng.IntN(int(maxDelay))) }
		switch {
		case faulty && rng.Float64() < 0.2:
			return nil
		case faulty && rng.Float64() < 0.2:
			return []time.Duration{takes(), takes()}
		}
		return []time.Duration{takes()}
	}, func(d time.Duration, deliver func()) {
		inTransit.Add(1)
		time.AfterFunc(d, func() {
			defer inTransit.Done()
			deliver()
		})
	})
	return Net{
		Listen: func() (gossip.Transport, error) {
			count++
			return n.Listen(fmt.Sprint("node-", count)), nil
		},
		SetFaults: func() { faulty = true },
		Settle:    inTransit.Wait,
	}
}

func TestTransportContractDelayed(t *testing.T) {
	checkTransport(t, func(*testing.T) Net { return delayedNet() })
}

// Datagrams that are still in transit when the reader begins to read are not in its queue, however
// late they arrive.
func TestSlowReaderQueueIsBoundedWithLateDatagrams(t *testing.T) {
	assert.NoError(t, among(2, checkSlowReader)(netWithDelay(120*time.Millisecond)))
}

// wrong is a transport that breaks one promise.
type wrong struct {
	*gossip.MemoryTransport
	send    func(m *gossip.MemoryTransport, to string, text []byte) error
	receive func(m *gossip.MemoryTransport) (string, []byte, error)
	close   func(m *gossip.MemoryTransport) error
}

func (w *wrong) Send(to string, text []byte) error {
	if w.send != nil {
		return w.send(w.MemoryTransport, to, text)
	}
	return w.MemoryTransport.Send(to, text)
}

func (w *wrong) Receive() (string, []byte, error) {
	if w.receive != nil {
		return w.receive(w.MemoryTransport)
	}
	return w.MemoryTransport.Receive()
}

func (w *wrong) Close() error {
	if w.close != nil {
		return w.close(w.MemoryTransport)
	}
	return w.MemoryTransport.Close()
}

// Guards against clauses that check nothing: a transport that breaks a promise must fail its clause.
func TestTransportContractDetectsViolations(t *testing.T) {
	for name, tt := range map[string]struct {
		make func() func(*gossip.MemoryTransport) gossip.Transport
		net  func(Net) Net
		want string
	}{
		"wrong sender address": {make: wrapWith(wrong{receive: func(m *gossip.MemoryTransport) (string, []byte, error) {
			_, text, err := m.Receive()
			return "?", text, err
		}}), want: "a datagram arrives unchanged and can be answered"},
		"truncates long datagrams": {make: wrapWith(wrong{send: func(m *gossip.MemoryTransport, to string, text []byte) error {
			return m.Send(to, text[:min(len(text), gossip.MaxDatagram)])
		}}), want: "256 bytes are delivered and 257 are rejected"},
		"truncates long datagrams from outside": {net: func(n Net) Net {
			from, _ := n.Listen()
			n.Raw = func(to string, text []byte) error { return from.Send(to, text[:gossip.MaxDatagram]) }
			return n
		}, want: "a longer datagram from outside is dropped, not truncated"},
		"one buffer for all received datagrams": {make: func() func(*gossip.MemoryTransport) gossip.Transport {
			return func(m *gossip.MemoryTransport) gossip.Transport {
				var buf [gossip.MaxDatagram]byte
				return &wrong{MemoryTransport: m, receive: func(m *gossip.MemoryTransport) (string, []byte, error) {
					from, text, err := m.Receive()
					return from, buf[:copy(buf[:], text)], err
				}}
			}
		}, want: "sender and receiver own their buffers"},
		"unbounded queue": {make: func() func(*gossip.MemoryTransport) gossip.Transport {
			var mu sync.Mutex
			stock := map[string][][]byte{}
			return func(m *gossip.MemoryTransport) gossip.Transport {
				return &wrong{MemoryTransport: m, send: func(m *gossip.MemoryTransport, to string, text []byte) error {
					mu.Lock()
					stock[to] = append(stock[to], append([]byte(nil), text...))
					mu.Unlock()
					return m.Send(to, text)
				}, receive: func(m *gossip.MemoryTransport) (string, []byte, error) {
					mu.Lock()
					s := stock[m.Addr()]
					stock[m.Addr()] = s[min(len(s), 1):]
					mu.Unlock()
					if len(s) > 0 {
						return "node-1", s[0], nil
					}
					return m.Receive()
				}}
			}
		}, want: "a slow reader blocks nobody and its queue is bounded"},
		"error for an unknown address": {make: wrapWith(wrong{send: func(m *gossip.MemoryTransport, to string, text []byte) error {
			if to == "nobody" {
				return fmt.Errorf("no address: %s", to)
			}
			return m.Send(to, text)
		}}), want: "a closed or unknown address blocks nobody"},
		"error on the second Close": {make: func() func(*gossip.MemoryTransport) gossip.Transport {
			return func(m *gossip.MemoryTransport) gossip.Transport {
				over := false
				return &wrong{MemoryTransport: m, close: func(m *gossip.MemoryTransport) error {
					if over {
						return gossip.ErrClosed
					}
					over = true
					return m.Close()
				}}
			}
		}, want: "Close unblocks Receive and may be repeated"},
		"panic after Close": {make: wrapWith(wrong{send: func(m *gossip.MemoryTransport, to string, text []byte) error {
			if err := m.Send(to, text); err != nil {
				panic(err)
			}
			return nil
		}}), want: "Close is safe during sends"},
		"corrupts datagrams": {make: wrapWith(wrong{receive: func(m *gossip.MemoryTransport) (string, []byte, error) {
			from, text, err := m.Receive()
			if len(text) > 150 {
				text[149]++
			}
			return from, text, err
		}}), want: "faults lose, duplicate and reorder but never corrupt"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, c := range Clauses {
				if c.Name != tt.want {
					continue
				}
				var wrap func(*gossip.MemoryTransport) gossip.Transport
				if tt.make != nil {
					wrap = tt.make()
				}
				n := memoryNet(wrap)
				if tt.net != nil {
					n = tt.net(n)
				}
				assert.Error(t, c.Check(n))
				return
			}
			t.Errorf("no clause %q", tt.want)
		})
	}
}

func wrapWith(w wrong) func() func(*gossip.MemoryTransport) gossip.Transport {
	return func() func(*gossip.MemoryTransport) gossip.Transport {
		return func(m *gossip.MemoryTransport) gossip.Transport {
			w := w
			w.MemoryTransport = m
			return &w
		}
	}
}
