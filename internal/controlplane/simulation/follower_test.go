package simulation

import (
	"fmt"
	"slices"
	"time"

	"oakseam/internal/controlplane/coordinator"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/watch"
)

const (
	// maxConfigDelay bounds the time from a configuration's acknowledgement until every process
	// that reaches the core nodes uses it.
	maxConfigDelay = coordinator.DefaultConfigApply
	// watchPollInterval is how often a core node checks whether a pending watch request is due.
	// maxClockDrift is how far clocks with a drift of one percent may differ over a request.
	watchPollInterval = 10 * time.Millisecond
	maxClockDrift     = 40 * time.Millisecond
	// trustOneNodeDelay is how long after its start a process with the bug trustOneNode trusts a
	// single core node.
	trustOneNodeDelay = 5 * time.Second
	// firstFollower is the address of the first process that follows the core nodes.
	firstFollower = firstClient + 100
)

// startTime is the wall clock time at which a simulation starts. Package watch needs one.
var startTime = time.Unix(1_700_000_000, 0)

// watchRequest is a follower's request: see protocol.WatchArgs.
type watchRequest struct {
	revision           uint64
	confirmed, patient bool
}

// watchReply is a core node's answer: see protocol.WatchReply.
type watchReply struct {
	revision           uint64
	confirmed, vouched bool
	age, held          time.Duration
}

// watch handles a watch request on a core node, like package coordinator's Watch.
func (s *configurationWorkload) watch(n *simulatedNode, request watchRequest, answer func(watchReply)) {
	if request.confirmed {
		n.awaitReadIndex(protocol.ConfigurationGroup, watch.LongPollWait/2, func(ok bool) {
			r := s.currentReply(n)
			r.confirmed = ok
			answer(r)
		})
		return
	}
	arrived := n.clock()
	var look func()
	look = func() {
		held := n.clock() - arrived
		r := s.currentReply(n)
		r.held = held
		if r.revision > request.revision || r.vouched == request.patient || r.held >= watch.LongPollWait {
			answer(r)
			return
		}
		n.executeAfter(watchPollInterval, look)
	}
	look()
}

// currentReply returns a core node's state and whether the node confirms that it is current.
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

// follower is a process that follows the core nodes, like watch.Follower. It may crash and start
// again; it has no durable state.
type follower struct {
	workload    *configurationWorkload
	address     endpoint
	incarnation int
	started     time.Duration
	sources     *watch.Sources
	confirmed   bool
	revision    uint64
}

// addFollower starts a process that asks core nodes concurrently: one more than may be lost.
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
	f.sources = watch.NewSources(f.now())
	f.confirmed, f.revision = false, 0
	for range f.workload.world.toleratedDiskLosses + 1 {
		f.askNode(f.incarnation)
	}
}

// candidates returns the core nodes in the order in which this process prefers them.
func (f *follower) candidates() []string {
	var names []string
	for _, n := range f.workload.world.nodes {
		names = append(names, n.name())
	}
	return hashing.Rank(fmt.Sprint("follower-", f.address), names, hashing.Sum64)
}

// askNode asks one node after another until the process ends.
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
		again(watch.RetryDelay)
		return
	}
	request := watchRequest{revision: f.revision, confirmed: !f.confirmed, patient: patient}
	sent := f.now()
	call(w, f.address, w.nodes[at], watch.LongPollWait+watch.ReplyTimeout, func(answer func(watchReply)) {
		f.workload.watch(w.nodes[at], request, answer)
	}, func(r watchReply, ok bool) {
		if f.incarnation != incarnation {
			return
		}
		f.sources.Release(name)
		if f.handleReply(name, sent, r, ok) {
			again(0)
			return
		}
		again(watch.RetryDelay)
	})
}

// handleReply processes an answer and reports whether it was useful.
func (f *follower) handleReply(name string, sent time.Time, r watchReply, ok bool) bool {
	s := f.workload
	if !ok {
		f.sources.RecordFailure(f.now(), name)
		return false
	}
	trusts := r.confirmed || s.world.bugs.trustOneNode && s.world.Now-f.started > trustOneNodeDelay
	if !f.confirmed && trusts {
		f.confirmed = true
		if newest := s.revisionAt(f.started); r.revision < newest {
			s.world.Fail("process %d starts with revision %d, but %d was applied before its start", f.address, r.revision, newest)
		}
	}
	if f.confirmed {
		f.revision = max(f.revision, r.revision)
	}
	if !r.vouched {
		f.sources.RecordFailure(f.now(), name)
		return false
	}
	f.sources.RecordVouched(name, sent, r.held, r.age)
	f.checkAge()
	return f.confirmed
}

// checkAge verifies a follower's bound on the age of its state: it must have every revision that was
// applied longer ago.
func (f *follower) checkAge() {
	w := f.workload.world
	at := w.Now - f.sources.Staleness(f.now()) - maxClockDrift
	if newest := f.workload.revisionAt(at); f.confirmed && f.revision < newest {
		w.Fail("process %d has revision %d and considers it current as of %v, but %d was applied by then", f.address, f.revision, at, newest)
	}
}

// activation is a revision and the time at which a node first applied it.
type activation struct {
	at       time.Duration
	revision uint64
}

// revisionAt returns the newest revision that was applied at a time.
func (s *configurationWorkload) revisionAt(at time.Duration) uint64 {
	for i := len(s.activations) - 1; i >= 0; i-- {
		if s.activations[i].at <= at {
			return s.activations[i].revision
		}
	}
	return 0
}

// checkApplied verifies that every process uses each configuration at most maxConfigDelay after its
// acknowledgement. It applies to worlds in which only links between core nodes fail.
func (s *configurationWorkload) checkApplied() {
	w := s.world
	// If the nodes that know a change go down before they pass it on, no process can learn of it.
	due := s.acknowledgedBy(min(w.Now, s.blackoutStart) - maxConfigDelay)
	for _, f := range s.followers {
		if w.Now-f.started < 2*maxConfigDelay || s.startMayWait && !f.confirmed {
			continue
		}
		if f.revision < due {
			w.Fail("process %d uses revision %d, but %d was acknowledged %v ago", f.address, f.revision, due, maxConfigDelay)
		}
	}
}

// acknowledgedBy returns the newest revision that was acknowledged to an operator by a time.
func (s *configurationWorkload) acknowledgedBy(at time.Duration) uint64 {
	newest := uint64(0)
	for _, o := range s.changes {
		if o.acknowledgedTime != 0 && o.acknowledgedAt <= at {
			newest = max(newest, o.newRevision)
		}
	}
	return newest
}
