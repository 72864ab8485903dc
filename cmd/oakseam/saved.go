package main

import (
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"pipitmux/internal/durable"
	"pipitmux/internal/logging"
)

const (
	// saveEvery is how old the state on disk may get, beside what a write takes.
	saveEvery = 2 * time.Second
	// trustFor is how old what a module learned may be at a start. Backends that have been
	// gone for longer start cold and are not who they were.
	trustFor = time.Minute
)

// saved is what a node keeps on disk: what it would hand a successor, and when.
type saved struct {
	handed
	At time.Time `json:"at"`
}

// stateFile is where the node that listens at an address keeps its state; empty: nowhere.
func stateFile(dir, listen string) string {
	if dir == "" {
		return ""
	}
	return filepath.Join(dir, durable.NameOf(listen)+".state")
}

// recall takes on what the file of a name holds, each part as far as it can be trusted.
// What can't be read leaves the place as it is.
func (p *place) recall(name string, now time.Time) {
	text, err := durable.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	s := saved{}
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err == nil {
		_, err = s.List.Backends()
	}
	if err != nil {
		p.log.Warn("state: the node starts clean", "file", name, logging.Cause, err)
		return
	}
	// The higher version is the later list, whoever kept it.
	newer := s.List.Revision > p.known.Revision && len(s.List.Targets) > 0
	if newer {
		p.known = s.List
	}
	age := now.Sub(s.At)
	fresh := age >= 0 && age <= trustFor
	if fresh {
		p.learned = s.Learned
	}
	p.log.Info("state: recalled", "file", name, "age", age.Round(time.Millisecond), "list", newer, "learned", fresh)
}

// keeper writes the node's state to its file now and then.
type keeper struct {
	name   string
	state  func() (handed, error)
	log    *slog.Logger
	failed bool
}

// start has the state saved until stop is called, which saves it once more. Where there is
// no file, neither does anything.
func (k *keeper) start() (stop func()) {
	if k.name == "" {
		return func() {}
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		k.run(quit)
	}()
	return func() {
		close(quit)
		<-done
	}
}

func (k *keeper) run(quit <-chan struct{}) {
	tick := time.NewTicker(saveEvery)
	defer tick.Stop()
	for {
		select {
		case <-quit:
			k.save(time.Now())
			return
		case <-tick.C:
			k.save(time.Now())
		}
	}
}

// save writes the state. A failure is told once, and once when it has passed.
func (k *keeper) save(now time.Time) {
	err := k.write(now)
	switch {
	case err != nil && !k.failed:
		k.log.Warn("state: not saved; the last one stands", "file", k.name, logging.Cause, err)
	case err == nil && k.failed:
		k.log.Info("state: saved again", "file", k.name)
	}
	k.failed = err != nil
}

func (k *keeper) write(now time.Time) error {
	h, err := k.state()
	if err != nil {
		return err
	}
	text, err := json.Marshal(saved{h, now})
	if err != nil {
		return err
	}
	return durable.Write(k.name, text)
}
