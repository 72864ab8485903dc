package ingress

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"pipitmux/internal/lifecycle"
	"pipitmux/internal/wait"
)

// leaveStep is how often the life cycle is asked which sessions end while the server leaves.
const leaveStep = 20 * time.Millisecond

// Drain has clients sent away: answers end their sessions, and idle sessions end, as the life
// cycle says.
func (s *Server) Drain() error { return s.move(s.life.Drain) }

// Resume has clients taken again.
func (s *Server) Resume() error { return s.move(s.life.Resume) }

// SetHasSuccessor tells whether a successor serves at the same address, from the same queue
// of connections.
func (s *Server) SetHasSuccessor(serves bool) { s.heir.Store(serves) }

// HasSuccessor returns what Succeeded told last.
func (s *Server) HasSuccessor() bool { return s.heir.Load() }

// Phase returns where the server stands. A question whether it is ready has the answer yes
// while it is lifecycle.Serving.
func (s *Server) Phase() lifecycle.Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.Phase()
}

// Leaving tells whether the server sends its clients away.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// AcceptsRequests tells whether a request that has come now is taken.
func (s *Server) AcceptsRequests() bool {
	if !s.leaving.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.Takes(time.Now())
}

// RespondNow is closed when each open request has to be answered at once: AnswerBy before the end
// of End's time.
func (s *Server) RespondNow() <-chan struct{} { return s.over }

// closes tells whether an answer that is given now ends its session.
func (s *Server) closes() bool {
	if !s.leaving.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.Closes(time.Now())
}

// move takes a step of the life cycle and sees that idle sessions end while it says so.
func (s *Server) move(step func(time.Time) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := step(time.Now()); err != nil {
		return err
	}
	s.leaving.Store(s.life.Leaving())
	if s.life.Leaving() && !s.gone {
		s.gone = true
		go s.leave()
	}
	return nil
}

// leave ends idle sessions, the longest idle first, until the server stays.
func (s *Server) leave() {
	tick := time.NewTicker(leaveStep)
	defer tick.Stop()
	for now := range tick.C {
		if !s.endDue(now) {
			return
		}
	}
}

// endDue ends the idle sessions that are due, and tells whether the server still leaves.
func (s *Server) endDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.life.Leaving() {
		s.gone = false
		return false
	}
	idle := slices.SortedFunc(maps.Keys(s.spare), func(a, b *Conn) int {
		return s.spare[a].since.Compare(s.spare[b].since)
	})
	for n := s.life.End(now, len(idle)); n > 0 && len(idle) > 0; idle = idle[1:] {
		// One on which something has come brings a request: its answer ends it.
		if idle[0].end() {
			delete(s.spare, idle[0])
			n--
		}
	}
	return true
}

// Shutdown takes no more client sessions after a while, and returns when every request that was
// taken has its answer and its session has ended, or with an error after the time within.
// By then each open request has to be answered: unanswered it would be lost. net/http's
// own Shutdown is not used: it closes sessions on which a request is being read.
func (s *Server) Shutdown(within time.Duration) error {
	s.move(func(now time.Time) error { s.life.Stop(now); return nil })
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	defer time.AfterFunc(within-s.opt.RespondNowMargin, func() { close(s.over) }).Stop()
	if s.heir.Load() {
		s.listener.Close() // the successor takes them from the same queue
	} else {
		wait.For(ctx, s.opt.Lifecycle.StayOpen)
		s.listener.close()
	}
	tick := time.NewTicker(leaveStep)
	defer tick.Stop()
	for closed := s.closed; ; {
		select {
		case <-closed:
			closed = nil
		case <-tick.C:
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.server.Close())
		}
		if closed == nil && s.sessions.Load()+s.lingering.Load() == 0 {
			return s.server.Close()
		}
	}
}

// stay waits so long, unless the context ends before.
