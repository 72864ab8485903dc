package gossip_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"oakseam/internal/gossip"
)

// This file holds the contract that every gossip.Transport must pass. Each clause checks one
// promise of the interface from outside and returns an error if it is broken, so that
// deliberately wrong transports can be shown to break it. It must not know any implementation.

// maxWait bounds the wait for something promised. No result depends on how long it took.
const maxWait = 10 * time.Second

// Net is a network on which transports of one implementation reach each other.
type Net struct {
	// Listen opens another transport.
	Listen func() (gossip.Transport, error)
	// Raw sends bytes of any length to a transport from outside. Nil where that is impossible.
	Raw func(to string, text []byte) error
	// SetFaults makes the network lose, duplicate and reorder datagrams from now on. Nil where
	// that is impossible.
	SetFaults func()
	// Settle waits until no datagram is in transit. Nil where Send delivers at once.
	Settle func()
}

// Clause is one promise of the contract.
type Clause struct {
	Name  string
	Check func(Net) error
}

// Clauses are all clauses of the contract.
var Clauses = []Clause{
	{"a datagram arrives unchanged and can be answered", among(2, checkDelivery)},
	{"256 bytes are delivered and 257 are rejected", among(2, checkSizeLimit)},
	{"a longer datagram from outside is dropped, not truncated", among(2, checkOversizeFromOutside)},
	{"sender and receiver own their buffers", among(2, checkBufferOwnership)},
	{"a slow reader blocks nobody and its queue is bounded", among(2, checkSlowReader)},
	{"a closed or unknown address blocks nobody", among(3, checkClosedAddress)},
	{"Close unblocks Receive and may be repeated", among(2, checkClose)},
	{"Close is safe during sends", checkCloseDuringSends},
	{"faults lose, duplicate and reorder but never corrupt", among(2, checkFaults)},
}

// checkTransport checks an implementation against every clause, each on its own network.
func checkTransport(t *testing.T, net func(*testing.T) Net) {
	for _, c := range Clauses {
		t.Run(c.Name, func(t *testing.T) {
			if err := c.Check(net(t)); err != nil {
				t.Error(err)
			}
		})
	}
}

// party is a transport whose datagrams are read as they arrive.
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

// open opens transports with readers, and returns a function that closes them.
func open(n Net, count int) (all []*party, closeAll func(), err error) {
	closeAll = func() {
		for _, p := range all {
			p.Close()
		}
	}
	for range count {
		t, err := n.Listen()
		if err != nil {
			return all, closeAll, err
		}
		p := &party{t, make(chan packet, 100000), make(chan error, 1)}
		all = append(all, p)
		go p.read()
	}
	return all, closeAll, nil
}

// among runs a clause on count transports of one network and closes them afterwards.
func among(count int, check func(Net, []*party) error) func(Net) error {
	return func(n Net) error {
		all, closeAll, err := open(n, count)
		defer closeAll()
		if err != nil {
			return err
		}
		return check(n, all)
	}
}

// exchange repeats a datagram until it arrives, because a single one may be lost.
func exchange(from gossip.Transport, to *party, text []byte) (packet, error) {
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for over := time.After(maxWait); ; {
		if err := from.Send(to.Addr(), text); err != nil {
			return packet{}, err
		}
		select {
		case p := <-to.in:
			return p, nil
		case <-again.C:
		case <-over:
			return packet{}, errors.New("a repeated datagram never arrives")
		}
	}
}

func checkDelivery(n Net, all []*party) error {
	a, b := all[0], all[1]
	if a.Addr() == b.Addr() {
		return errors.New("two transports have the same address")
	}
	got, err := exchange(a, b, []byte("a\x00 datagram\n"))
	if err != nil {
		return err
	}
	if string(got.text) != "a\x00 datagram\n" || got.from != a.Addr() {
		return fmt.Errorf("arrived as %q from %s, sent by %s", got.text, got.from, a.Addr())
	}
	if err := b.Send(got.from, []byte("answer")); err != nil {
		return err
	}
	back, err := exchange(b, a, []byte("answer"))
	if err == nil && (string(back.text) != "answer" || back.from != b.Addr()) {
		err = fmt.Errorf("the answer arrived as %q from %s", back.text, back.from)
	}
	return err
}

func checkSizeLimit(n Net, all []*party) error {
	if err := all[0].Send(all[1].Addr(), nil); err != nil {
		return fmt.Errorf("sending an empty datagram: %w", err)
	}
	long := bytes.Repeat([]byte("l"), gossip.MaxDatagram+1)
	if err := all[0].Send(all[1].Addr(), long); !errors.Is(err, gossip.ErrTooLong) {
		return fmt.Errorf("257 bytes: %v", err)
	}
	got, err := exchange(all[0], all[1], long[:gossip.MaxDatagram])
	if err == nil && len(got.text) != gossip.MaxDatagram {
		err = fmt.Errorf("%d bytes arrived instead of 256; the rejected and the empty datagram must not arrive", len(got.text))
	}
	return err
}

func checkOversizeFromOutside(n Net, all []*party) error {
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
		err = fmt.Errorf("%d bytes of a longer datagram arrived", len(got.text))
	}
	return err
}

func checkBufferOwnership(n Net, all []*party) error {
	buf, sent := make([]byte, 8), 0
	got := map[uint64][]byte{}
	over := time.After(maxWait)
	for len(got) < 50 {
		sent++
		binary.BigEndian.PutUint64(buf, uint64(sent))
		if err := all[0].Send(all[1].Addr(), buf); err != nil {
			return err
		}
		binary.BigEndian.PutUint64(buf, 0) // possibly before the receiver has read the datagram
		select {
		case p := <-all[1].in:
			got[binary.BigEndian.Uint64(p.text)] = p.text
		case <-over:
			return fmt.Errorf("%d of %d datagrams were distinct", len(got), sent)
		}
	}
	for want, text := range got {
		if v := binary.BigEndian.Uint64(text); v != want || v == 0 {
			return fmt.Errorf("the datagram received as %d has changed to %d", want, v)
		}
	}
	return nil
}

func checkSlowReader(n Net, all []*party) error {
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
	case <-time.After(maxWait):
		return errors.New("a sender is blocked by a reader that does not read")
	}
	if _, err := exchange(all[0], all[1], []byte("to another")); err != nil {
		return err
	}
	if n.Settle != nil { // a datagram that arrives while the reader reads was never queued
		n.Settle()
	}
	keptCount := make(chan int, 1) // counts the datagrams that were queued before the last one
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
	for over := time.After(maxWait); ; {
		if err := all[0].Send(idle.Addr(), []byte("last")); err != nil {
			return err
		}
		select {
		case count := <-keptCount:
			if count == 0 || count > sent/4 {
				return fmt.Errorf("%d of %d datagrams were queued for the reader", count, sent)
			}
			return nil
		case <-again.C:
		case <-over:
			return errors.New("nothing arrives after a period without reads")
		}
	}
}

func checkClosedAddress(n Net, all []*party) error {
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
			return fmt.Errorf("sending to a closed address: %w", err)
		}
	}
	_, err := exchange(all[0], all[1], []byte("to another"))
	if err == nil {
		_, err = exchange(all[1], all[0], []byte("and back"))
	}
	return err
}

func checkClose(n Net, all []*party) error {
	if err := errors.Join(all[0].Close(), all[0].Close()); err != nil {
		return fmt.Errorf("closing: %w", err)
	}
	select {
	case err := <-all[0].end:
		if !errors.Is(err, gossip.ErrClosed) {
			return fmt.Errorf("the blocked Receive returned %v", err)
		}
	case <-time.After(maxWait):
		return errors.New("Receive stays blocked after Close")
	}
	if _, _, err := all[0].Receive(); !errors.Is(err, gossip.ErrClosed) {
		return fmt.Errorf("Receive after Close: %v", err)
	}
	if err := all[0].Send(all[1].Addr(), []byte("x")); !errors.Is(err, gossip.ErrClosed) {
		return fmt.Errorf("Send after Close: %v", err)
	}
	return nil
}

func checkCloseDuringSends(n Net) error {
	for range 20 {
		if err := among(2, closeDuringSends)(n); err != nil {
			return err
		}
	}
	return nil
}

func closeDuringSends(_ Net, all []*party) error {
	var senders sync.WaitGroup
	errs := make(chan error, 8)
	for range 4 {
		senders.Add(1)
		go func() {
			defer senders.Done()
			defer func() {
				if p := recover(); p != nil {
					errs <- fmt.Errorf("panic: %v", p)
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
	case <-time.After(maxWait):
		return errors.New("a sender continues after Close")
	}
	close(errs)
	return <-errs
}

func checkFaults(n Net, all []*party) error {
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
	for over := time.After(maxWait); len(times) < sent/2; {
		select {
		case p := <-all[1].in:
			if len(p.text) < 8 || !bytes.Equal(p.text, text(int(binary.BigEndian.Uint64(p.text)))) {
				return fmt.Errorf("received %x, which was never sent", p.text)
			}
			i := binary.BigEndian.Uint64(p.text)
			if times[i]++; i < last {
				swapped++
			}
			last = i
		case <-over:
			return fmt.Errorf("%d of %d arrived", len(times), sent)
		}
	}
	return nil
}
