package durable_test

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"strings"
	"sync"
	"testing"

	"oakseam/internal/durable"
)

// This file holds the contract that every durable.Store must pass. Each clause checks one
// promise of the interface from outside and returns an error if it is broken, so that
// deliberately wrong stores can be shown to break it. It must not know any implementation.

// Place is where the stores of one implementation keep their values across a crash.
type Place struct {
	// Open returns a store over the place's contents, as a restarted process would.
	Open func() durable.Store
	// Corrupt changes the stored bytes of a name.
	Corrupt func(name string, change func([]byte) []byte) error
	// Fill makes the place full, so that further writes fail. Nil where that is impossible.
	Fill func()
	// Crash kills a process after any number of its writes, while it writes a value. Nil
	// if a write cannot be interrupted.
	Crash func(name string, values [][]byte) error
}

// Clause is one promise of the contract.
type Clause struct {
	Name  string
	Check func(Place) error
}

// Clauses are all clauses of the contract.
var Clauses = []Clause{
	{"a name that was never written does not exist", checkAbsent},
	{"a written value is read, also by a later store", checkPersistence},
	{"callers own their buffers", checkBufferOwnership},
	{"names are distinct and plain", checkNames},
	{"the largest value is stored and a longer one rejected", checkSizeLimit},
	{"a value truncated anywhere is torn", checkTruncation},
	{"foreign data and other versions are distinguished", checkForeign},
	{"a full disk leaves the old value", checkFullDisk},
	{"of two writers of a name one wins whole", checkConcurrentWriters},
	{"a crash leaves the old or the new value", checkCrash},
}

// checkStore checks an implementation against every clause, each in a place of its own.
func checkStore(t *testing.T, place func(*testing.T) Place) {
	for _, c := range Clauses {
		t.Run(c.Name, func(t *testing.T) {
			if err := c.Check(place(t)); err != nil {
				t.Error(err)
			}
		})
	}
}

func expectValue(s durable.Store, name, want string) error {
	got, err := s.Read(name)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if string(got) != want {
		return fmt.Errorf("%s holds %.40q, want %.40q", name, got, want)
	}
	return nil
}

func checkAbsent(p Place) error {
	if got, err := p.Open().Read("nothing"); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("read %q, %v", got, err)
	}
	return nil
}

func checkPersistence(p Place) error {
	for _, v := range []string{"one", "", "the third, which is longer", "4"} {
		s := p.Open()
		if err := s.Write("a", []byte(v)); err != nil {
			return err
		}
		if err := errors.Join(expectValue(s, "a", v), expectValue(p.Open(), "a", v)); err != nil {
			return err
		}
	}
	return nil
}

func checkBufferOwnership(p Place) error {
	s, value := p.Open(), []byte("value")
	if err := s.Write("a", value); err != nil {
		return err
	}
	value[0] = 'X'
	got, err := s.Read("a")
	if err != nil {
		return err
	}
	if string(got) != "value" {
		return fmt.Errorf("the store kept the writer's buffer: %q", got)
	}
	got[0] = 'Y'
	return expectValue(s, "a", "value")
}

func checkNames(p Place) error {
	s := p.Open()
	all := []string{"a", "A", "a.b", "a b", "node-127.0.0.1-80", "ä"}
	for _, n := range all {
		if err := s.Write(n, []byte("of "+n)); err != nil {
			return err
		}
	}
	for _, n := range all {
		if err := expectValue(s, n, "of "+n); err != nil {
			return err
		}
	}
	for _, n := range []string{"", ".", "..", "../a", "a/b", "/a", "a\x00"} {
		if err := s.Write(n, []byte("x")); !errors.Is(err, durable.ErrInvalidName) {
			return fmt.Errorf("writing the name %q returned %v", n, err)
		}
		if _, err := s.Read(n); !errors.Is(err, durable.ErrInvalidName) {
			return fmt.Errorf("reading the name %q returned %v", n, err)
		}
	}
	return nil
}

func checkSizeLimit(p Place) error {
	s, most := p.Open(), bytes.Repeat([]byte("m"), durable.MaxValueSize)
	if err := s.Write("a", most); err != nil {
		return err
	}
	if err := s.Write("a", append(most, 'm')); !errors.Is(err, durable.ErrTooLong) {
		return fmt.Errorf("a value over the limit: %v", err)
	}
	return expectValue(s, "a", string(most))
}

func checkTruncation(p Place) error {
	s := p.Open()
	if err := s.Write("a", []byte("a value")); err != nil {
		return err
	}
	size := durable.HeaderSize + len("a value")
	for n := size - 1; n >= 0; n-- {
		if err := p.Corrupt("a", func(b []byte) []byte { return b[:min(n, len(b))] }); err != nil {
			return err
		}
		if got, err := p.Open().Read("a"); !errors.Is(err, durable.ErrTorn) {
			return fmt.Errorf("truncated at %d of %d: read %q, %v", n, size, got, err)
		}
	}
	if err := p.Open().Write("a", []byte("new")); err != nil { // a torn value must not prevent writes
		return err
	}
	return expectValue(p.Open(), "a", "new")
}

func checkForeign(p Place) error {
	for want, change := range map[error]func([]byte) []byte{
		durable.ErrForeign: func(b []byte) []byte { b[0]++; return b },
		durable.ErrVersion: func(b []byte) []byte { b[7]++; return b },
		durable.ErrTorn:    func(b []byte) []byte { b[len(b)-1]++; return b },
	} { // the header starts with seven bytes of magic and one of version
		if err := p.Open().Write("a", []byte("value")); err != nil {
			return err
		}
		if err := p.Corrupt("a", change); err != nil {
			return err
		}
		if got, err := p.Open().Read("a"); !errors.Is(err, want) {
			return fmt.Errorf("read %q, %v, want %w", got, err, want)
		}
	}
	return nil
}

func checkFullDisk(p Place) error {
	if p.Fill == nil {
		return nil
	}
	s := p.Open()
	if err := s.Write("a", []byte("old")); err != nil {
		return err
	}
	p.Fill()
	if err := s.Write("a", []byte("the new value")); err == nil {
		return errors.New("a write to a full disk succeeds")
	}
	if err := s.Write("b", []byte("x")); err == nil {
		return errors.New("a first write to a full disk succeeds")
	}
	if _, err := s.Read("b"); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("after a failed first write: %v", err)
	}
	return errors.Join(expectValue(s, "a", "old"), expectValue(p.Open(), "a", "old"))
}

func checkConcurrentWriters(p Place) error {
	values := map[string]bool{}
	for w := range 4 {
		values[strings.Repeat(string(rune('a'+w)), 20000+w)] = true
	}
	var all sync.WaitGroup
	errs := make(chan error, 200)
	for value := range values {
		all.Add(1)
		go func() {
			defer all.Done()
			s := p.Open()
			for range 20 {
				if err := s.Write("a", []byte(value)); err != nil {
					errs <- err
				}
				if got, err := s.Read("a"); err != nil || !values[string(got)] {
					errs <- fmt.Errorf("read %d bytes, %v during concurrent writes", len(got), err)
				}
			}
		}()
	}
	all.Wait()
	close(errs)
	return <-errs
}

func checkCrash(p Place) error {
	if p.Crash == nil {
		return nil
	}
	values := [][]byte{bytes.Repeat([]byte("1"), 100000), bytes.Repeat([]byte("2"), 300000)}
	for i := range 10 {
		if err := p.Open().Write("a", values[i%2]); err != nil {
			return err
		}
		if err := p.Crash("a", values); err != nil {
			return err
		}
		got, err := p.Open().Read("a")
		if err != nil {
			return fmt.Errorf("after a crash: %w", err)
		}
		if !bytes.Equal(got, values[0]) && !bytes.Equal(got, values[1]) {
			return fmt.Errorf("after a crash neither value was read: %d bytes", len(got))
		}
	}
	return nil
}
