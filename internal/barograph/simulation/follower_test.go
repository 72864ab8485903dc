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
	maxConfigDelay = coordinator.DefaultConfigApply
	// lookAgain is how often a core node looks whether a question that waits is due, and drift
	// is what clocks that run apart by a percent may be off over a question.
	watchPollInterval = 10 * time.Millisecond
	maxClockDrift     = 40 * time.Millisecond
	// believeAfter is when a flawed process believes a single core node after its start.
	believeOneDelay = 5 * time.Second
	// firstFollower is the endpoint of the first process that follows the core nodes.
	firstFollower = firstClient + 100
)

// epoch turns the simulation's time into what follow.Sources reads.
var startTime = time.Unix(1_700_000_000, 0)

// question is what a follower asks: see protocol.WatchArgs.
type watchRequest struct {
	revision           uint64
	confirmed, patient bool
}

// told is what a core node answers: see protocol.WatchReply.
type watchReply struct {
	revision           uint64
	confirmed, vouched bool
	age, held          time.Duration
}

// watch is what a core node does with a question: see coordinator's Watch.
func (s *configurationWorkload) watch(n *simulatedNode, q watchRequest, answer func(watchReply)) {
	if q.confirmed {
		n.awaitReadIndex(protocol.ConfigurationGroup, follow.Wait/2, func(ok bool) {
			r := s.currentReply(n)
			r.confirmed = ok
			answer(r)
		})
		return
	}
	came := n.clock()
	var look func()
	look = func() {
		held := n.clock() - came
		r := s.currentReply(n)
		r.held = held
		if r.revision > q.revision || r.vouched == q.patient || r.held >= follow.Wait {
			answer(r)
			return
		}
		n.executeAfter(watchPollInterval, look)
	}
	look()
}

// look is what a core node has, and whether it vouches for it.
func (s *configurationWorkload) currentReply(n *simulatedNode) watchReply {
	m := n.member(protocol.ConfigurationGroup)
	if m == nil {
		return watchReply{age: time.Hour}
	}
	r := watchReply{age: n.clock() - m.replica.FreshAsOf(n.clock(), m.applied)}
	r.vouched = r.age <= coordinator.StaleAfter(maxConfigDelay)
	if s.world.bugs.vouchWithoutLeader {
		r.vouched, r.age = true, 0
	}
	r.revision, _ = m.stateMachine.(*revisions.Machine).Configuration()
	return r
}

// follower is a process that follows the core nodes, as follow.Follower does. It may die and
// start again; it keeps nothing.
type follower struct {
	workload    *configurationWorkload
	address     endpoint
	incarnation int
	started     time.Duration
	sources     *follow.Sources
	confirmed   bool
	revision    uint64
}

// follow starts a process that asks as many core nodes side by side as may be lost, and one more.
func (s *configurationWorkload) addFollower(address endpoint) *follower {
	f := &follower{workload: s, address: address}
	f.start()
	s.followers = append(s.followers, f)
	return f
}

func (f *follower) now() time.Time { return startTime.Add(f.workload.world.Now) }

func (f *follower) start() {
	f.incarnation++
	f.started = f.workload.world.Now
	f.sources = follow.NewSources(f.now())
	f.confirmed, f.revision = false, 0
	for range f.workload.world.toleratedDiskLosses + 1 {
		f.askNode(f.incarnation)
	}
}

// candidates are the core nodes in the order of this process.
func (f *follower) candidates() []string {
	var names []string
	for _, n := range f.workload.world.nodes {
		names = append(names, n.name())
	}
	return hashing.Rank(fmt.Sprint("follower-", f.address), names, hashing.Sum64)
}

// ask asks one node after another, as long as the process lives.
func (f *follower) askNode(incarnation int) {
	w := f.workload.world
	again := func(pause time.Duration) {
		w.After(pause, func() {
			if f.incarnation == incarnation {
				f.askNode(incarnation)
			}
		})
	}
	name, patient := f.sources.Choose(f.now(), f.candidates())
	at := slices.IndexFunc(w.nodes, func(n *simulatedNode) bool { return n.name() == name })
	if at < 0 {
		again(follow.RetryPause)
		return
	}
	q := watchRequest{revision: f.revision, confirmed: !f.confirmed, patient: patient}
	sent := f.now()
	call(w, f.address, w.nodes[at], follow.Wait+follow.AnswerWithin, func(answer func(watchReply)) {
		f.workload.watch(w.nodes[at], q, answer)
	}, func(r watchReply, ok bool) {
		if f.incarnation != incarnation {
			return
		}
		f.sources.Free(name)
		if f.handleReply(name, sent, r, ok) {
			again(0)
			return
		}
		again(follow.RetryPause)
	})
}

// take goes by an answer and tells whether it was of use.
func (f *follower) handleReply(name string, sent time.Time, r watchReply, ok bool) bool {
	s := f.workload
	if !ok {
		f.sources.Failed(f.now(), name)
		return false
	}
	believes := r.confirmed || s.world.bugs.trustOneNode && s.world.Now-f.started > believeOneDelay
	if !f.confirmed && believes {
		f.confirmed = true
		if newest := s.revisionAt(f.started); r.revision < newest {
			s.world.Fail("process %d begins with revision %d, and %d was in force when it started", f.address, r.revision, newest)
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
	w := f.workload.world
	at := w.Now - f.sources.Age(f.now()) - maxClockDrift
	if newest := f.workload.revisionAt(at); f.confirmed && f.revision < newest {
		w.Fail("process %d has revision %d and takes it for as recent as %v, when %d was in force", f.address, f.revision, at, newest)
	}
}

// inForce is a revision and when a node first had it in force.
type activation struct {
	at       time.Duration
	revision uint64
}

// forcedBy is the newest revision that was in force at a time.
func (s *configurationWorkload) revisionAt(at time.Duration) uint64 {
	for i := len(s.activations) - 1; i >= 0; i-- {
		if s.activations[i].at <= at {
			return s.activations[i].revision
		}
	}
	return 0
}

// checkApplied holds that every process goes by what was acknowledged as long ago as a
// configuration may take. It is for worlds in which nothing but the core nodes' own links fails.
func (s *configurationWorkload) checkApplied() {
	w := s.world
	// Where those who know of a change go dark before it is out, nobody can tell of it.
	due := s.acknowledgedBy(min(w.Now, s.blackoutStart) - maxConfigDelay)
	for _, f := range s.followers {
		if w.Now-f.started < 2*maxConfigDelay || s.startMayWait && !f.confirmed {
			continue
		}
		if f.revision < due {
			w.Fail("process %d goes by revision %d, and %d was acknowledged %v ago", f.address, f.revision, due, maxConfigDelay)
		}
	}
}

// acknowledgedBy is the newest revision that an operator was told to be taken by a time.
func (s *configurationWorkload) acknowledgedBy(at time.Duration) uint64 {
	newest := uint64(0)
	for _, o := range s.changes {
		if o.acknowledgedTime != 0 && o.acknowledgedAt <= at {
			newest = max(newest, o.newRevision)
		}
	}
	return newest
}
