package gossip_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pipitmux/internal/gossip"
)

// This file holds the contract that every gossip.Transport must pass. Each clause
// judges one promise of the interface from outside and returns an error where it is broken,
// so that wrong carriers can be shown to break it. It must not know any carrier.

// patience bounds a wait for what has been promised; nothing is judged by how long it took.
const patience = 10 * time.Second

// Net is where transports of one carrier reach each other.
type Net struct {
	// Listen returns a further transport.
	Listen func() (gossip.Transport, error)
	// Raw sends bytes of any length to a transport from outside it. Nil where nobody else
	// can reach one.
	Raw func(to string, text []byte) error
	// Fault has the net lose, double and reorder datagrams from now on. Nil where it can't.
	SetFaults func()
}

// Clause is one promise.
type Clause struct {
	Name  string
	Check func(Net) error
}

// Clauses are the contract.
var Clauses = []Clause{
	{"a datagram comes as it was sent, and can be answered", among(2, whole)},
	{"256 bytes pass and 257 are refused", among(2, bounds)},
	{"a longer one from outside is dropped, not cut", among(2, outside)},
	{"the bytes are the sender's again, and the receiver's to keep", among(2, owned)},
	{"a slow reader holds up nobody, within bounds", among(2, slow)},
	{"one who is gone or unknown holds up nobody", among(3, gone)},
	{"closing ends what waits, and is no error twice", among(2, closing)},
	{"closing while others send is safe", closingWhileSending},
	{"faults lose, double and reorder, and spoil nothing", among(2, faults)},
}

// judgeTransport has a carrier judged by every clause, each on a net of its own.
func judgeTransport(t *testing.T, net func(*testing.T) Net) {
	for _, c := range Clauses {
		t.Run(c.Name, func(t *testing.T) {
			if err := c.Check(net(t)); err != nil {
				t.Error(err)
			}
		})
	}
}

// party is a transport whose datagrams are read as they come.
type party struct {
	gossip.Transport
	in  chan packet
	end chan error
}

type packet struct {
	from string
	text []byte
}

func (p *party) read() {
	for {
		from, text, err := p.Receive()
		if err != nil {
			p.end <- err
			return
		}
		p.in <- packet{from, text}
	}
}

// open returns transports that are read, and what ends them.
func open(n Net, count int) (all []*party, shut func(), err error) {
	shut = func() {
		for _, p := range all {
			p.Close()
		}
	}
	for range count {
		t, err := n.Listen()
		if err != nil {
			return all, shut, err
		}
		p := &party{t, make(chan packet, 100000), make(chan error, 1)}
		all = append(all, p)
		go p.read()
	}
	return all, shut, nil
}

// among is a clause over so many transports of a net, which are read and then closed.
func among(count int, check func(Net, []*party) error) func(Net) error {
	return func(n Net) error {
		all, shut, err := open(n, count)
		defer shut()
		if err != nil {
			return err
		}
		return check(n, all)
	}
}

// exchange sends a datagram until it has come: one alone may be lost.
func exchange(from gossip.Transport, to *party, text []byte) (packet, error) {
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for over := time.After(patience); ; {
		if err := from.Send(to.Addr(), text); err != nil {
			return packet{}, err
		}
		select {
		case p := <-to.in:
			return p, nil
		case <-again.C:
		case <-over:
			return packet{}, errors.New("a datagram sent again and again never comes")
		}
	}
}

func whole(n Net, all []*party) error {
	a, b := all[0], all[1]
	if a.Addr() == b.Addr() {
		return errors.New("two transports of one address")
	}
	got, err := exchange(a, b, []byte("a\x00 datagram\n"))
	if err != nil {
		return err
	}
	if string(got.text) != "a\x00 datagram\n" || got.from != a.Addr() {
		return fmt.Errorf("came as %q from %s, sent by %s", got.text, got.from, a.Addr())
	}
	if err := b.Send(got.from, []byte("answer")); err != nil {
		return err
	}
	back, err := exchange(b, a, []byte("answer"))
	if err == nil && (string(back.text) != "answer" || back.from != b.Addr()) {
		err = fmt.Errorf("the answer came as %q from %s", back.text, back.from)
	}
	return err
}

func bounds(n Net, all []*party) error {
	if err := all[0].Send(all[1].Addr(), nil); err != nil {
		return fmt.Errorf("an empty datagram: %w", err)
	}
	long := bytes.Repeat([]byte("l"), gossip.MaxDatagram+1)
	if err := all[0].Send(all[1].Addr(), long); !errors.Is(err, gossip.ErrTooLong) {
		return fmt.Errorf("257 bytes: %v", err)
	}
	got, err := exchange(all[0], all[1], long[:gossip.MaxDatagram])
	if err == nil && len(got.text) != gossip.MaxDatagram {
		err = fmt.Errorf("%d bytes came of 256; none of the refused or empty one may", len(got.text))
	}
	return err
}

func outside(n Net, all []*party) error {
	if n.Raw == nil {
		return nil
	}
	for _, size := range []int{257, 300, 1400} {
		if err := n.Raw(all[1].Addr(), make([]byte, size)); err != nil {
			return err
		}
	}
	got, err := exchange(all[0], all[1], []byte("after"))
	if err == nil && string(got.text) != "after" {
		err = fmt.Errorf("%d bytes of a longer datagram came", len(got.text))
	}
	return err
}

func owned(n Net, all []*party) error {
	buf, sent := make([]byte, 8), 0
	got := map[uint64][]byte{}
	over := time.After(patience)
	for len(got) < 50 {
		sent++
		binary.BigEndian.PutUint64(buf, uint64(sent))
		if err := all[0].Send(all[1].Addr(), buf); err != nil {
			return err
		}
		binary.BigEndian.PutUint64(buf, 0) // before the receiver may have looked
		select {
		case p := <-all[1].in:
			got[binary.BigEndian.Uint64(p.text)] = p.text
		case <-over:
			return fmt.Errorf("%d of %d datagrams came apart from each other", len(got), sent)
		}
	}
	for want, text := range got {
		if v := binary.BigEndian.Uint64(text); v != want || v == 0 {
			return fmt.Errorf("what came as %d has become %d", want, v)
		}
	}
	return nil
}

func slow(n Net, all []*party) error {
	idle, err := n.Listen()
	if err != nil {
		return err
	}
	defer idle.Close()
	const sent = 20000
	done := make(chan error, 1)
	go func() {
		for i := range sent {
			if err := all[0].Send(idle.Addr(), binary.BigEndian.AppendUint64(nil, uint64(i))); err != nil {
				done <- err
				return
			}
		}
		done <- nil
	}()
	select {
	case err := <-done:
		if err != nil {
			return err
		}
	case <-time.After(patience):
		return errors.New("a sender waits for a reader that reads nothing")
	}
	if _, err := exchange(all[0], all[1], []byte("to another")); err != nil {
		return err
	}
	keptCount := make(chan int, 1) // what waited unread comes, and then the last of all
	go func() {
		count := 0
		for {
			_, text, err := idle.Receive()
			if err != nil || string(text) == "last" {
				keptCount <- count
				return
			}
			count++
		}
	}()
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for over := time.After(patience); ; {
		if err := all[0].Send(idle.Addr(), []byte("last")); err != nil {
			return err
		}
		select {
		case count := <-keptCount:
			if count == 0 || count > sent/4 {
				return fmt.Errorf("%d of %d datagrams waited for the reader", count, sent)
			}
			return nil
		case <-again.C:
		case <-over:
			return errors.New("after a time unread nothing comes any more")
		}
	}
}

func gone(n Net, all []*party) error {
	if err := all[2].Close(); err != nil {
		return err
	}
	for i := range 100 {
		to := all[2].Addr()
		if i%2 == 0 {
			to = "127.0.0.1:1"
		}
		if i%10 == 0 {
			to = "nobody"
		}
		if err := all[0].Send(to, []byte("x")); err != nil {
			return fmt.Errorf("to one who is gone: %w", err)
		}
	}
	_, err := exchange(all[0], all[1], []byte("to another"))
	if err == nil {
		_, err = exchange(all[1], all[0], []byte("and back"))
	}
	return err
}

func closing(n Net, all []*party) error {
	if err := errors.Join(all[0].Close(), all[0].Close()); err != nil {
		return fmt.Errorf("closing: %w", err)
	}
	select {
	case err := <-all[0].end:
		if !errors.Is(err, gossip.ErrClosed) {
			return fmt.Errorf("who waited is told %v", err)
		}
	case <-time.After(patience):
		return errors.New("who waits for a datagram waits for ever")
	}
	if _, _, err := all[0].Receive(); !errors.Is(err, gossip.ErrClosed) {
		return fmt.Errorf("receiving once closed: %v", err)
	}
	if err := all[0].Send(all[1].Addr(), []byte("x")); !errors.Is(err, gossip.ErrClosed) {
		return fmt.Errorf("sending once closed: %v", err)
	}
	return nil
}

func closingWhileSending(n Net) error {
	for range 20 {
		if err := among(2, closedWhileSending)(n); err != nil {
			return err
		}
	}
	return nil
}

func closedWhileSending(_ Net, all []*party) error {
	var senders sync.WaitGroup
	errs := make(chan error, 8)
	for range 4 {
		senders.Add(1)
		go func() {
			defer senders.Done()
			defer func() {
				if p := recover(); p != nil {
					errs <- fmt.Errorf("a panic: %v", p)
				}
			}()
			for {
				if err := all[0].Send(all[1].Addr(), []byte("x")); err != nil {
					if !errors.Is(err, gossip.ErrClosed) {
						errs <- err
					}
					return
				}
			}
		}()
	}
	if _, err := exchange(all[0], all[1], []byte("x")); err != nil {
		return err
	}
	all[1].Close()
	all[0].Close()
	ended := make(chan struct{})
	go func() { senders.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-time.After(patience):
		return errors.New("a sender goes on after the close")
	}
	close(errs)
	return <-errs
}

func faults(n Net, all []*party) error {
	if n.SetFaults != nil {
		n.SetFaults()
	}
	text := func(i int) []byte {
		return append(binary.BigEndian.AppendUint64(nil, uint64(i)), bytes.Repeat([]byte{byte(i)}, i%200)...)
	}
	const sent = 300
	for i := range sent {
		if err := all[0].Send(all[1].Addr(), text(i)); err != nil {
			return err
		}
	}
	if n.SetFaults == nil {
		_, err := exchange(all[0], all[1], text(1))
		return err
	}
	times, last, swapped := map[uint64]int{}, uint64(0), 0
	for over := time.After(patience); len(times) < sent/2; {
		select {
		case p := <-all[1].in:
			if len(p.text) < 8 || !bytes.Equal(p.text, text(int(binary.BigEndian.Uint64(p.text)))) {
				return fmt.Errorf("nobody sent %x", p.text)
			}
			i := binary.BigEndian.Uint64(p.text)
			if times[i]++; i < last {
				swapped++
			}
			last = i
		case <-over:
			return fmt.Errorf("%d of %d came", len(times), sent)
		}
	}
	return nil
}
