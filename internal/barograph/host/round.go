package host

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/store"
	"pipitmux/internal/station/journal"
)

// shortestWait bounds how often Run looks at groups that ask for it again and again.
const shortestWait = time.Millisecond

// job is what one round does for one group.
type job struct {
	group   *group
	ready   replica.Ready
	own     *replica.Snapshot // is made durable along with it
	answers []answer
}

// answer is a waiter with what it will be told.
type answer struct {
	waiter  *waiter
	outcome outcome
}

// Run runs the groups until ctx ends, which gives nil, or the store or a machine's Restore
// fails. Then the process must end: the failure is the store's (errors.Is store.ErrFailed) or
// a *RestoreError. It may be called once.
func (h *Host) Run(ctx context.Context) error {
	timer := time.NewTimer(shortestWait)
	defer timer.Stop()
	for ctx.Err() == nil {
		if err := h.drain(ctx); err != nil {
			h.stop(err)
			return err
		}
		timer.Reset(h.wait())
		select {
		case <-ctx.Done():
		case <-h.wake:
		case <-timer.C:
		}
	}
	h.stop(ErrStopped)
	return nil
}

// drain carries out rounds until there is nothing to do or ctx ends.
func (h *Host) drain(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := h.round(ctx)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// wait is the time until the next Tick is due.
func (h *Host) wait() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := time.Hour
	now := h.options.Now()
	for _, g := range h.groups {
		wait = min(wait, g.next-now)
	}
	return max(wait, shortestWait)
}

// round carries out what the replicas want now: it gathers, writes and syncs, then sends and
// applies, then answers. It tells whether there was anything.
func (h *Host) round(ctx context.Context) (more bool, err error) {
	h.busy.Lock()
	defer h.busy.Unlock()
	jobs := h.gather()
	if len(jobs) == 0 {
		return false, nil
	}
	h.send(jobs, func(j *job) []replica.Message { return j.ready.Immediate })
	if err := h.persist(ctx, jobs); err != nil {
		return false, err
	}
	h.persisted(jobs)
	h.send(jobs, func(j *job) []replica.Message { return j.ready.Messages })
	if err := apply(jobs); err != nil {
		return false, err
	}
	h.finish(jobs)
	h.compact(jobs)
	return true, nil
}

// gather ticks what is due and takes what the replicas want.
func (h *Host) gather() []*job {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	for _, g := range h.groups {
		if g.next <= now {
			g.replica.Tick(now)
			h.touch(g)
		}
	}
	dirty := h.dirty
	h.dirty = nil
	var jobs []*job
	for _, g := range dirty {
		g.dirty = false
		if g.removed {
			continue
		}
		if j := g.job(); j != nil {
			jobs = append(jobs, j)
		}
		g.next = g.replica.NextTick()
	}
	return jobs
}

// job takes what a group wants done, nil for nothing. The host's mu is held.
func (g *group) job() *job {
	j := &job{group: g, ready: g.replica.Ready(), own: g.due}
	g.due = nil
	if j.ready.Snapshot != nil {
		j.own = nil // older than the one that came in
	}
	g.failDeposed()
	g.noticeOwner()
	if j.own == nil && j.ready.Empty() {
		return nil
	}
	return j
}

// writes tells what the job makes durable, false for nothing.
func (j *job) writes() (store.Write, bool) {
	w := store.Write{Group: j.group.id, Hard: j.ready.HardState, Snapshot: j.ready.Snapshot, Entries: j.ready.Entries}
	if j.own != nil {
		w.Snapshot, w.CompactTo = j.own, j.own.Index
	}
	return w, w.Hard != nil || w.Snapshot != nil || len(w.Entries) > 0
}

// The pauses between tries to write to a full disk, and how often the log tells of it.
const (
	fullPauseFirst = 20 * time.Millisecond
	fullPauseMost  = time.Second
	fullLogEvery   = 30 * time.Second
)

// persist writes what the jobs want. On a full disk it tries the same again until there is room:
// what isn't durable is neither sent nor answered, so this node votes for nothing, is missed as
// an owner by the others, and serves what it has meanwhile. It fails with the store's failure,
// or the context's.
func (h *Host) persist(ctx context.Context, jobs []*job) error {
	pause := fullPauseFirst
	for {
		err := h.writeBeating(jobs)
		if !errors.Is(err, store.ErrFull) {
			return err
		}
		if skipped, ok := journal.Every("full disk", fullLogEvery); ok {
			klog.ErrorS(err, "The disk is full: what is new waits for room", "alike", skipped)
		}
		if !h.pause(ctx, pause) {
			return err
		}
		pause = min(2*pause, fullPauseMost)
	}
}

// While a write lasts longer than beatAfter, heartbeats go out and are answered every beatEvery, so
// that a slow disk isn't taken for a lost node. After yieldAfter they stop: others are to own
// what this node can't carry on.
const (
	beatAfter  = 50 * time.Millisecond
	beatEvery  = 25 * time.Millisecond
	yieldAfter = 1500 * time.Millisecond
)

// writeBeating writes what the jobs want, and keeps in touch with the other members meanwhile.
func (h *Host) writeBeating(jobs []*job) error {
	done := make(chan error, 1)
	go func() { done <- h.write(jobs) }()
	timer := time.NewTimer(beatAfter)
	defer timer.Stop()
	began := h.options.Now()
	for {
		select {
		case err := <-done:
			return err
		case <-timer.C:
			timer.Reset(beatEvery)
		}
		if h.options.Now()-began < yieldAfter {
			h.beat()
		}
	}
}

// beat sends what may be sent while a write is under way. What else there is to do waits for the
// next round.
func (h *Host) beat() {
	byNode := newBatches()
	h.mu.Lock()
	now := h.options.Now()
	for _, g := range h.groups {
		if g.next <= now {
			g.replica.Tick(now)
			g.next = max(g.replica.NextTick(), now+shortestWait)
			h.touch(g)
		}
		byNode.add(g.replica.TakeImmediate())
	}
	h.mu.Unlock()
	byNode.send(h.options.Transport)
}

func (h *Host) write(jobs []*job) error {
	var batch []store.Write
	for _, j := range jobs {
		if w, some := j.writes(); some {
			batch = append(batch, w)
		}
	}
	if len(batch) == 0 {
		return nil
	}
	if err := h.options.Store.Write(batch); err != nil {
		return errors.Wrap(err, "write the groups")
	}
	return nil
}

// persisted tells the replicas that their writes are durable.
func (h *Host) persisted(jobs []*job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	for _, j := range jobs {
		g := j.group
		if _, some := j.writes(); some {
			h.held[g.id] = true
		}
		if j.ready.Snapshot != nil {
			g.snapshot = *j.ready.Snapshot
		}
		if j.own != nil {
			g.snapshot = *j.own
			g.replica.Compact(*j.own)
		}
		g.replica.Persisted(now, j.ready)
		j.takeWaiters()
		h.touch(g)
	}
}

// apply hands all machines what came into force. If one fails, then who waits for what was
// applied already is told that the outcome isn't known: the node ends.
func apply(jobs []*job) error {
	for _, j := range jobs {
		err := j.apply()
		if err == nil {
			continue
		}
		for _, failed := range jobs {
			failed.answerAll(&UnknownOutcomeError{Cause: err})
		}
		return err
	}
	return nil
}

// apply hands the machine what came into force.
func (j *job) apply() error {
	g := j.group
	if j.ready.Snapshot == nil && len(j.ready.Committed) == 0 {
		return nil
	}
	g.machineMu.Lock()
	defer g.machineMu.Unlock()
	if j.ready.Snapshot != nil {
		if err := g.machine.Restore(j.ready.Snapshot.State); err != nil {
			return &RestoreError{Group: g.id, Cause: err}
		}
		g.logBytes = 0
	}
	for i, e := range j.ready.Committed {
		g.logBytes += e.Size()
		if e.Kind != replica.Command {
			continue
		}
		result := g.machine.Apply(e.Data)
		if j.answers != nil && j.answers[i].outcome.err == nil {
			j.answers[i].outcome.result = result
		}
	}
	return nil
}

// finish notes what was applied, and answers.
func (h *Host) finish(jobs []*job) {
	h.mu.Lock()
	for _, j := range jobs {
		if place, some := j.reached(); some {
			j.group.applied = place.Index
			j.group.tell()
		}
		h.touch(j.group)
	}
	h.mu.Unlock()
	for _, j := range jobs {
		j.answer()
	}
}

// compact makes snapshots of the groups whose log has grown enough. The next round writes them.
func (h *Host) compact(jobs []*job) {
	for _, j := range jobs {
		place, some := j.reached()
		if g := j.group; some && g.logBytes >= max(h.options.CompactAfter, len(g.snapshot.State)) {
			h.compactAt(g, place)
		}
	}
}

func (h *Host) compactAt(g *group, place replica.Snapshot) {
	g.look(func(m Machine) { place.State = m.Snapshot() })
	g.logBytes = 0
	h.mu.Lock()
	defer h.mu.Unlock()
	place.Members = g.replica.MembersAt(place.Index)
	g.due = &place
	h.touch(g)
}

// reached gives index and term of the last entry that the job applied, false for none.
func (j *job) reached() (place replica.Snapshot, some bool) {
	if n := len(j.ready.Committed); n > 0 {
		last := j.ready.Committed[n-1]
		return replica.Snapshot{Index: last.Index, Term: last.Term}, true
	}
	if j.ready.Snapshot != nil {
		return replica.Snapshot{Index: j.ready.Snapshot.Index, Term: j.ready.Snapshot.Term}, true
	}
	return place, false
}

func (j *job) answer() {
	for _, a := range j.answers {
		if a.waiter != nil {
			a.waiter.tell(a.outcome.result, a.outcome.err)
		}
	}
}

// answerAll tells all the same failure.
func (j *job) answerAll(err error) {
	for _, a := range j.answers {
		if a.waiter != nil {
			a.waiter.tell(nil, err)
		}
	}
}

// send sends messages of all groups, in one Send for each node.
func (h *Host) send(jobs []*job, which func(*job) []replica.Message) {
	byNode := newBatches()
	for _, j := range jobs {
		byNode.add(which(j))
	}
	byNode.send(h.options.Transport)
}

// batches are messages by their receivers, who stand in the order of their first ones.
type batches struct {
	order  []replica.NodeID
	byNode map[replica.NodeID][]replica.Message
}

func newBatches() *batches { return &batches{byNode: map[replica.NodeID][]replica.Message{}} }

func (b *batches) add(messages []replica.Message) {
	for _, m := range messages {
		if b.byNode[m.To] == nil {
			b.order = append(b.order, m.To)
		}
		b.byNode[m.To] = append(b.byNode[m.To], m)
	}
}

func (b *batches) send(to Transport) {
	for _, node := range b.order {
		to.Send(node, b.byNode[node])
	}
}

// noticeOwner tells who waits for news that the owner or the term is another.
func (g *group) noticeOwner() {
	owner, term := g.replica.Leader(), g.replica.Term()
	if owner == g.owner && term == g.term {
		return
	}
	g.owner, g.term = owner, term
	klog.V(2).InfoS("Ownership of a group changed", "group", g.id, "owner", owner, "term", term)
	g.tell()
}

// tell wakes who waits for news. The host's mu is held.
func (g *group) tell() {
	if g.news != nil {
		close(g.news)
		g.news = nil
	}
}

// stop refuses calls from now on and tells all who wait.
func (h *Host) stop(cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	for _, g := range h.groups {
		g.failAll(&UnknownOutcomeError{Cause: cause})
		g.tell()
	}
}
