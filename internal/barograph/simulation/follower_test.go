package simulation

import (
	"fmt"
	"slices"
	"time"

	"pipitmux/internal/barograph/coordinator"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/station/follow"
	"pipitmux/internal/station/hashing"
	"pipitmux/internal/station/protocol"
)

const (
	// configApply is how soon after its acknowledgement a configuration must be in force at
	// every process that reaches the core nodes.
	configApply = coordinator.DefaultConfigApply
	// lookAgain is how often a core node looks whether a question that waits is due, and drift
	// is what clocks that run apart by a percent may be off over a question.
	lookAgain = 10 * time.Millisecond
	drift     = 40 * time.Millisecond
	// believeAfter is when a flawed process believes a single core node after its start.
	believeAfter = 5 * time.Second
	// firstFollower is the endpoint of the first process that follows the core nodes.
	firstFollower = firstClient + 100
)

// epoch turns the simulation's time into what follow.Sources reads.
var epoch = time.Unix(1_700_000_000, 0)

// question is what a follower asks: see protocol.WatchArgs.
type question struct {
	revision           uint64
	confirmed, patient bool
}

// told is what a core node answers: see protocol.WatchReply.
type told struct {
	revision           uint64
	confirmed, vouched bool
	age, held          time.Duration
}

// watch is what a core node does with a question: see coordinator's Watch.
func (s *configurationSubject) watch(n *machineNode, q question, answer func(told)) {
	if q.confirmed {
		n.confirm(protocol.ConfigurationGroup, follow.Wait/2, func(ok bool) {
			r := s.look(n)
			r.confirmed = ok
			answer(r)
		})
		return
	}
	came := n.clock()
	var look func()
	look = func() {
		held := n.clock() - came
		r := s.look(n)
		r.held = held
		if r.revision > q.revision || r.vouched == q.patient || r.held >= follow.Wait {
			answer(r)
			return
		}
		n.later(lookAgain, look)
	}
	look()
}

// look is what a core node has, and whether it vouches for it.
func (s *configurationSubject) look(n *machineNode) told {
	m := n.member(protocol.ConfigurationGroup)
	if m == nil {
		return told{age: time.Hour}
	}
	r := told{age: n.clock() - m.replica.FreshAsOf(n.clock(), m.applied)}
	r.vouched = r.age <= coordinator.StaleAfter(configApply)
	if s.world.flaws.vouchAlways {
		r.vouched, r.age = true, 0
	}
	r.revision, _ = m.machine.(*revisions.Machine).Configuration()
	return r
}

// follower is a process that follows the core nodes, as follow.Follower does. It may die and
// start again; it keeps nothing.
type follower struct {
	subject   *configurationSubject
	place     endpoint
	life      int
	started   time.Duration
	sources   *follow.Sources
	confirmed bool
	revision  uint64
}

// follow starts a process that asks as many core nodes side by side as may be lost, and one more.
func (s *configurationSubject) follow(place endpoint) *follower {
	f := &follower{subject: s, place: place}
	f.start()
	s.followers = append(s.followers, f)
	return f
}

func (f *follower) now() time.Time { return epoch.Add(f.subject.world.Now) }

func (f *follower) start() {
	f.life++
	f.started = f.subject.world.Now
	f.sources = follow.NewSources(f.now())
	f.confirmed, f.revision = false, 0
	for range f.subject.world.losses + 1 {
		f.ask(f.life)
	}
}

// candidates are the core nodes in the order of this process.
func (f *follower) candidates() []string {
	var names []string
	for _, n := range f.subject.world.nodes {
		names = append(names, n.name())
	}
	return hashing.Rank(fmt.Sprint("follower-", f.place), names, hashing.Sum64)
}

// ask asks one node after another, as long as the process lives.
func (f *follower) ask(life int) {
	w := f.subject.world
	again := func(pause time.Duration) {
		w.After(pause, func() {
			if f.life == life {
				f.ask(life)
			}
		})
	}
	name, patient := f.sources.Choose(f.now(), f.candidates())
	at := slices.IndexFunc(w.nodes, func(n *machineNode) bool { return n.name() == name })
	if at < 0 {
		again(follow.RetryPause)
		return
	}
	q := question{revision: f.revision, confirmed: !f.confirmed, patient: patient}
	sent := f.now()
	call(w, f.place, w.nodes[at], follow.Wait+follow.AnswerWithin, func(answer func(told)) {
		f.subject.watch(w.nodes[at], q, answer)
	}, func(r told, ok bool) {
		if f.life != life {
			return
		}
		f.sources.Free(name)
		if f.take(name, sent, r, ok) {
			again(0)
			return
		}
		again(follow.RetryPause)
	})
}

// take goes by an answer and tells whether it was of use.
func (f *follower) take(name string, sent time.Time, r told, ok bool) bool {
	s := f.subject
	if !ok {
		f.sources.Failed(f.now(), name)
		return false
	}
	believes := r.confirmed || s.world.flaws.believeOne && s.world.Now-f.started > believeAfter
	if !f.confirmed && believes {
		f.confirmed = true
		if newest := s.forcedBy(f.started); r.revision < newest {
			s.world.Fail("process %d begins with revision %d, and %d was in force when it started", f.place, r.revision, newest)
		}
	}
	if f.confirmed {
		f.revision = max(f.revision, r.revision)
	}
	if !r.vouched {
		f.sources.Failed(f.now(), name)
		return false
	}
	f.sources.Vouched(name, sent, r.held, r.age)
	f.checkAge()
	return f.confirmed
}

// checkAge holds that a process knows all that was in force as long ago as it takes its own
// knowledge to be old.
func (f *follower) checkAge() {
	w := f.subject.world
	at := w.Now - f.sources.Age(f.now()) - drift
	if newest := f.subject.forcedBy(at); f.confirmed && f.revision < newest {
		w.Fail("process %d has revision %d and takes it for as recent as %v, when %d was in force", f.place, f.revision, at, newest)
	}
}

// inForce is a revision and when a node first had it in force.
type inForce struct {
	at       time.Duration
	revision uint64
}

// forcedBy is the newest revision that was in force at a time.
func (s *configurationSubject) forcedBy(at time.Duration) uint64 {
	for i := len(s.forces) - 1; i >= 0; i-- {
		if s.forces[i].at <= at {
			return s.forces[i].revision
		}
	}
	return 0
}

// checkApplied holds that every process goes by what was acknowledged as long ago as a
// configuration may take. It is for worlds in which nothing but the core nodes' own links fails.
func (s *configurationSubject) checkApplied() {
	w := s.world
	// Where those who know of a change go dark before it is out, nobody can tell of it.
	due := s.acknowledgedBy(min(w.Now, s.darkFrom) - configApply)
	for _, f := range s.followers {
		if w.Now-f.started < 2*configApply || s.mayWait && !f.confirmed {
			continue
		}
		if f.revision < due {
			w.Fail("process %d goes by revision %d, and %d was acknowledged %v ago", f.place, f.revision, due, configApply)
		}
	}
}

// acknowledgedBy is the newest revision that an operator was told to be taken by a time.
func (s *configurationSubject) acknowledgedBy(at time.Duration) uint64 {
	newest := uint64(0)
	for _, o := range s.orders {
		if o.taken != 0 && o.takenAt <= at {
			newest = max(newest, o.rises)
		}
	}
	return newest
}
