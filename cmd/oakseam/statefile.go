package main

import (
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"oakseam/internal/durable"
	"oakseam/internal/logging"
)

const (
	// saveInterval is how old the state on disk may get, plus the duration of a write.
	saveInterval = 2 * time.Second
	// maxModuleStateAge is how old a module's learned state may be at a start. Backends that
	// were gone for longer start cold, and what was learned no longer holds for them.
	maxModuleStateAge = time.Minute
)

// savedState is what a node keeps on disk: the state for a successor, and its time.
type savedState struct {
	handoverState
	At time.Time `json:"at"`
}

// stateFileName returns the state file of the node that listens at an address, empty where
// no state is kept.
func stateFileName(dir, listen string) string {
	if dir == "" {
		return ""
	}
	return filepath.Join(dir, durable.BaseName(listen)+".state")
}

// restore adopts the contents of a state file, each part only if it is still valid. A file
// that cannot be read changes nothing.
func (t *takeover) restore(name string, now time.Time) {
	text, err := durable.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return
	}
	s := savedState{}
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err == nil {
		_, err = s.List.Backends()
	}
	if err != nil {
		t.log.Warn("state: file not usable, starting without state", "file", name, logging.Cause, err)
		return
	}
	// The higher revision is the later list, whichever file it comes from.
	newer := s.List.Revision > t.known.Revision && len(s.List.Targets) > 0
	if newer {
		t.known = s.List
	}
	age := now.Sub(s.At)
	fresh := age >= 0 && age <= maxModuleStateAge
	if fresh {
		t.moduleState = s.ModuleState
	}
	t.log.Info("state: restored", "file", name, "age", age.Round(time.Millisecond), "list", newer, "learned", fresh)
}

// stateSaver writes the node's state to its file periodically.
type stateSaver struct {
	name    string
	capture func() (handoverState, error)
	log     *slog.Logger
	failed  bool // the last write
}

// start saves the state periodically until stop is called, which saves it once more. Without
// a file, neither does anything.
func (s *stateSaver) start() (stop func()) {
	if s.name == "" {
		return func() {}
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		s.run(quit)
	}()
	return func() {
		close(quit)
		<-done
	}
}

func (s *stateSaver) run(quit <-chan struct{}) {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	for {
		select {
		case <-quit:
			s.save(time.Now())
			return
		case <-tick.C:
			s.save(time.Now())
		}
	}
}

// save writes the state. It logs the first of a series of failures, and the end of the series.
func (s *stateSaver) save(now time.Time) {
	err := s.write(now)
	switch {
	case err != nil && !s.failed:
		s.log.Warn("state: not saved, the file keeps the previous state", "file", s.name, logging.Cause, err)
	case err == nil && s.failed:
		s.log.Info("state: saved again", "file", s.name)
	}
	s.failed = err != nil
}

func (s *stateSaver) write(now time.Time) error {
	state, err := s.capture()
	if err != nil {
		return err
	}
	text, err := json.Marshal(savedState{state, now})
	if err != nil {
		return err
	}
	return durable.Write(s.name, text)
}
