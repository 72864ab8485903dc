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

	"pipitmux/internal/cli"
	"pipitmux/internal/config"
	"pipitmux/internal/core"
	"pipitmux/internal/discovery"
	"pipitmux/internal/handover"
	"pipitmux/internal/logging"
	"pipitmux/internal/message"
	"pipitmux/internal/session"
	"pipitmux/internal/upstream"
)

const (
	// waitAgain is the pause of a process that can't wait for a successor yet.
	waitAgain = 500 * time.Millisecond
	// claimWithin is how long a process that listens is asked for its place before the new
	// one listens beside it, and claimAgain the pause between. The yes is due after 6 s.
	claimWithin = 2 * time.Second
	claimAgain  = 20 * time.Millisecond
)

// place is where a node listens, and its processes before and after this one.
type place struct {
	c        *config.Config
	log      *slog.Logger
	console  net.Listener // nil: none
	listener *net.TCPListener
	known    discovery.List
	learned  []byte          // by the predecessor's module
	before   *handover.Taken // nil: nobody handed this process its place
	quit     chan struct{}
}

// settle opens the node's addresses, or takes them over from the process that serves
// there. Only a node with a console can be replaced in place.
func settle(c *config.Config, log *slog.Logger) (*place, error) {
	p := &place{c: c, log: log, known: c.KnownBackends, quit: make(chan struct{})}
	var err error
	if c.Console == "" {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, err
		}
		p.listener = l.(*net.TCPListener)
		return p, nil
	}
	if p.console, err = net.Listen("tcp", c.Console); err != nil {
		return nil, cli.Wrong(fmt.Errorf("config: console: %w", err))
	}
	// One that has taken the place over itself offers it again once its predecessor has ended.
	for until := time.Now().Add(claimWithin); ; time.Sleep(claimAgain) {
		p.before, err = handover.Claim(os.TempDir(), c.Listen)
		if !errors.Is(err, handover.ErrNobody) || !handover.InUse(c.Listen) || time.Now().After(until) {
			break
		}
	}
	switch {
	case err == nil:
		p.listener = p.before.Listener
		if err := p.take(p.before.State); err != nil {
			log.Warn("handover: the list is not taken over", logging.Cause, err)
		}
		log.Info("handover: takes the place of a process")
		return p, nil
	case !errors.Is(err, handover.ErrNobody):
		log.Warn("handover: no place is taken over", logging.Cause, err)
	}
	if handover.InUse(c.Listen) {
		log.Warn("handover: another process listens at the same address, and hands nothing over")
	}
	if p.listener, err = handover.Listen(c.Listen); err != nil {
		return nil, errors.Join(err, p.console.Close())
	}
	return p, nil
}

// handed is what a successor is handed: the list in the registry's form, and what the
// module learned.
type handed struct {
	List    discovery.List  `json:"list"`
	Learned json.RawMessage `json:"learned,omitempty"`
}

// take reads what the predecessor knew.
func (p *place) take(state []byte) error {
	var h handed
	if err := json.Unmarshal(state, &h); err != nil {
		return err
	}
	if _, err := h.List.Backends(); err != nil {
		return err
	}
	if len(h.List.Targets) > 0 {
		p.known, p.learned = h.List, h.Learned
	}
	return nil
}

// state is what a successor is handed. The version is read first: what is told twice
// does no harm, what is missed does.
func state(owner *core.EventLoop, registry *discovery.Client) (handed, error) {
	rev := registry.Revision()
	known, ok := owner.Snapshot(time.Second)
	if !ok {
		return handed{}, errors.New("the owner did not tell its list in time")
	}
	return handed{discovery.NewList(rev, true, known.Backends), known.ModuleState}, nil
}

// offer tells the predecessor that this process serves, and waits for a successor once
// the predecessor has ended.
func (p *place) offer(tell func() (handed, error), lot shares) {
	if p.console == nil {
		return
	}
	state := func() ([]byte, error) {
		h, err := tell()
		if err != nil {
			return nil, err
		}
		return json.Marshal(h)
	}
	go func() {
		if p.before != nil {
			if err := p.before.Ready(); err != nil {
				p.log.Warn("handover: the predecessor did not hear", logging.Cause, err)
			}
			select {
			case <-p.before.Gone():
			case <-p.quit:
				return
			}
			lot.set(false)
			p.log.Info("handover: the predecessor has ended")
		}
		for {
			o, err := handover.Wait(os.TempDir(), p.c.Listen, p.listener, state, lot, p.log)
			switch {
			case err == nil:
				<-p.quit
				o.Close()
				return
			case !errors.Is(err, handover.ErrTaken):
				p.log.Warn("handover: no successor can be handed this place", logging.Cause, err)
				return
			}
			select { // taken by one that hands nothing over, and will end
			case <-time.After(waitAgain):
			case <-p.quit:
				return
			}
		}
	}()
}

func (p *place) close() {
	if p.console != nil {
		p.console.Close()
	}
	close(p.quit)
}

const (
	// restMB is what the program takes beside bodies, and leastMB the least that these get.
	restMB  = 16
	leastMB = 2
)

// shares holds a process to its part of the node's descriptors and memory: half of them
// while another process of the node runs.
type shares struct {
	c      *config.Config
	pool   *upstream.Pool
	front  *session.Frontend
	budget *message.Budget
	log    *slog.Logger
}

func (s shares) set(halved bool) {
	part := 1.0
	if halved {
		part = 0.5
	}
	// The collector works harder from three quarters of the memory on. Of what these leave
	// over the program itself, half is for bodies: as much may wait to be collected.
	memory := part * float64(s.c.MemoryMB) * 3 / 4
	debug.SetMemoryLimit(int64(memory * (1 << 20)))
	s.budget.SetLimit(int64(max((memory-restMB)/2, leastMB) * (1 << 20)))
	usable := part * float64(s.c.Sockets-spareSockets)
	s.pool.SetMaxConns(int(usable * s.c.Options.Backend.Share))
	s.front.SetLimits(int(usable*s.c.Options.Session.Share), int(part*session.SessionOverflow), int(part*float64(s.c.Sockets)*s.c.Options.Session.RequestShare))
}

// Began has a successor and this process share.
func (s shares) Began() {
	s.log.Info("handover: a successor gets ready")
	s.set(true)
}

// Ready leaves new connections to the successor once this process is told to end.
func (s shares) Ready() { s.front.SetHasSuccessor(true) }

// Gone gives this process the whole back.
func (s shares) Gone() {
	s.log.Info("handover: the successor has ended")
	s.front.SetHasSuccessor(false)
	s.set(false)
}
