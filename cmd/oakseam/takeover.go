package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"time"

	"oakseam/internal/cli"
	"oakseam/internal/config"
	"oakseam/internal/core"
	"oakseam/internal/discovery"
	"oakseam/internal/handover"
	"oakseam/internal/logging"
	"oakseam/internal/message"
	"oakseam/internal/session"
	"oakseam/internal/upstream"
)

const (
	// successorRetryDelay is the pause of a process that can't wait for a successor yet.
	successorRetryDelay = 500 * time.Millisecond
	// claimTimeout is how long a new process asks the listening one to hand over before it
	// listens in parallel. A new process must be ready after 6 s.
	claimTimeout = 2 * time.Second
	// claimRetryDelay is the pause between such requests.
	claimRetryDelay = 20 * time.Millisecond
)

// takeover holds the listeners and the initial state of a process. Both may come from the
// process that ran the node before, its predecessor, and go to a successor.
type takeover struct {
	config      *config.Config
	log         *slog.Logger
	console     net.Listener // nil: none
	listener    *net.TCPListener
	known       discovery.List
	moduleState []byte             // what the predecessor's module learned
	predecessor *handover.Takeover // nil: none handed over to this process
	quit        chan struct{}
}

// newTakeover opens the node's addresses, or takes them over from the process that serves
// there. Only a node with a console can be replaced without downtime.
func newTakeover(c *config.Config, log *slog.Logger) (*takeover, error) {
	t := &takeover{config: c, log: log, known: c.KnownBackends, quit: make(chan struct{})}
	var err error
	if c.Console == "" {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, err
		}
		t.listener = l.(*net.TCPListener)
		return t, nil
	}
	if t.console, err = net.Listen("tcp", c.Console); err != nil {
		return nil, cli.UsageError(fmt.Errorf("config: console: %w", err))
	}
	// A process that has itself taken over accepts a successor once its own predecessor has ended.
	for deadline := time.Now().Add(claimTimeout); ; time.Sleep(claimRetryDelay) {
		t.predecessor, err = handover.TakeOver(os.TempDir(), c.Listen)
		if !errors.Is(err, handover.ErrNoPredecessor) || !handover.AddressInUse(c.Listen) || time.Now().After(deadline) {
			break
		}
	}
	switch {
	case err == nil:
		t.listener = t.predecessor.Listener
		if err := t.importState(t.predecessor.State); err != nil {
			log.Warn("handover: state not imported", logging.Cause, err)
		}
		log.Info("handover: took over from a running process")
		return t, nil
	case !errors.Is(err, handover.ErrNoPredecessor):
		log.Warn("handover: taking over failed", logging.Cause, err)
	}
	if handover.AddressInUse(c.Listen) {
		log.Warn("handover: another process listens at the same address without handing over")
	}
	if t.listener, err = handover.Listen(c.Listen); err != nil {
		return nil, errors.Join(err, t.console.Close())
	}
	return t, nil
}

// handoverState is the state that a successor gets: the list in the registry's form, and what
// the module learned.
type handoverState struct {
	List        discovery.List  `json:"list"`
	ModuleState json.RawMessage `json:"learned,omitempty"`
}

// importState adopts the state of the predecessor.
func (t *takeover) importState(text []byte) error {
	var s handoverState
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	if _, err := s.List.Backends(); err != nil {
		return err
	}
	if len(s.List.Targets) > 0 {
		t.known, t.moduleState = s.List, s.ModuleState
	}
	return nil
}

// captureState returns the state for a successor. The revision is read before the list: a
// change that is delivered twice does no harm, but a missed one does.
func captureState(loop *core.EventLoop, registry *discovery.Client) (handoverState, error) {
	revision := registry.Revision()
	snapshot, ok := loop.Snapshot(time.Second)
	if !ok {
		return handoverState{}, errors.New("the event loop did not return a snapshot in time")
	}
	return handoverState{discovery.NewList(revision, true, snapshot.Backends), snapshot.ModuleState}, nil
}

// offerSuccessor tells the predecessor that this process serves, and waits for a successor
// once the predecessor has ended.
func (t *takeover) offerSuccessor(capture func() (handoverState, error), shares resourceShares) {
	if t.console == nil {
		return
	}
	state := func() ([]byte, error) {
		s, err := capture()
		if err != nil {
			return nil, err
		}
		return json.Marshal(s)
	}
	go func() {
		if t.predecessor != nil {
			if err := t.predecessor.SignalReady(); err != nil {
				t.log.Warn("handover: the predecessor was not notified", logging.Cause, err)
			}
			select {
			case <-t.predecessor.PredecessorExited():
			case <-t.quit:
				return
			}
			shares.apply(false)
			t.log.Info("handover: the predecessor has ended")
		}
		for {
			offer, err := handover.NewOffer(os.TempDir(), t.config.Listen, t.listener, state, shares, t.log)
			switch {
			case err == nil:
				<-t.quit
				offer.Close()
				return
			case !errors.Is(err, handover.ErrAlreadyOffered):
				t.log.Warn("handover: cannot accept a successor", logging.Cause, err)
				return
			}
			select { // the address is taken by a process that does not hand over, and will end
			case <-time.After(successorRetryDelay):
			case <-t.quit:
				return
			}
		}
	}()
}

// close closes the console and ends the wait for a successor.
func (t *takeover) close() {
	if t.console != nil {
		t.console.Close()
	}
	close(t.quit)
}

const (
	// programMemoryMB is what the program uses in addition to bodies.
	programMemoryMB = 16
	// minBodyMemoryMB is the minimum for bodies.
	minBodyMemoryMB = 2
)

// resourceShares limits a process to its share of the node's descriptors and memory: half of
// them while another process of the node runs.
type resourceShares struct {
	config   *config.Config
	pool     *upstream.Pool
	frontend *session.Frontend
	budget   *message.Budget
	log      *slog.Logger
}

func (s resourceShares) apply(halved bool) {
	share := 1.0
	if halved {
		share = 0.5
	}
	// The garbage collector runs more often above three quarters of the memory. Of what
	// remains of these after the program itself, half is for bodies: as much again may
	// wait for collection.
	memory := share * float64(s.config.MemoryMB) * 3 / 4
	debug.SetMemoryLimit(int64(memory * (1 << 20)))
	s.budget.SetLimit(int64(max((memory-programMemoryMB)/2, minBodyMemoryMB) * (1 << 20)))
	usable := share * float64(s.config.Sockets-reservedSockets)
	s.pool.SetMaxConns(int(usable * s.config.Options.Backend.Share))
	s.frontend.SetLimits(int(usable*s.config.Options.Session.Share), int(share*session.SessionOverflow), int(share*float64(s.config.Sockets)*s.config.Options.Session.RequestShare))
}

// SuccessorStarted is called when a successor starts: from then on it and this process share.
func (s resourceShares) SuccessorStarted() {
	s.log.Info("handover: a successor is starting")
	s.apply(true)
}

// SuccessorReady is called when the successor is ready: it gets the new connections once this process
// is told to end.
func (s resourceShares) SuccessorReady() { s.frontend.SetHasSuccessor(true) }

// SuccessorExited is called when the successor has ended: this process uses all resources again.
func (s resourceShares) SuccessorExited() {
	s.log.Info("handover: the successor has ended")
	s.frontend.SetHasSuccessor(false)
	s.apply(false)
}
