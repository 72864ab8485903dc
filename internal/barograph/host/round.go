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

// minWait bounds how often Run looks at groups that ask for it again and again.
const minWait = time.Millisecond

// job is what one round does for one group.
type job struct {
	group       *group
	ready       replica.Ready
	compaction  *replica.Snapshot // is made durable along with it
	completions []completion
}

// completion is a waiter with what it will be told.
type completion struct {
	waiter  *waiter
	outcome outcome
}

// Run runs the groups until ctx ends, which gives nil, or the store or a machine's Restore
// fails. Then the process must end: the failure is the store's (errors.Is store.ErrFailed) or
// a *RestoreError. It may be called once.
func (h *Host) Run(ctx context.Context) error {
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	for ctx.Err() == nil {
		if err := h.runRounds(ctx); err != nil {
			h.stop(err)
			return err
		}
		timer.Reset(h.untilNextTick())
		select {
		case <-ctx.Done():
		case <-h.wake:
		case <-timer.C:
		}
	}
	h.stop(ErrStopped)
	return nil
}

// runRounds carries out rounds until there is nothing to do or ctx ends.
func (h *Host) runRounds(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := h.round(ctx)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// untilNextTick is the time until the next Tick is due.
func (h *Host) untilNextTick() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := time.Hour
	now := h.options.Now()
	for _, g := range h.groups {
		wait = min(wait, g.nextTick-now)
	}
	return max(wait, minWait)
}

// round carries out what the replicas want now: it gathers, writes and syncs, then sends and
// applies, then answers. It tells whether there was anything.
func (h *Host) round(ctx context.Context) (more bool, err error) {
	h.roundMu.Lock()
	defer h.roundMu.Unlock()
	jobs := h.collectJobs()
	if len(jobs) == 0 {
		return false, nil
	}
	h.send(jobs, func(j *job) []replica.Message { return j.ready.Immediate })
	if err := h.persist(ctx, jobs); err != nil {
		return false, err
	}
	h.markPersisted(jobs)
	h.send(jobs, func(j *job) []replica.Message { return j.ready.Messages })
	if err := apply(jobs); err != nil {
		return false, err
	}
	h.finishJobs(jobs)
	h.compactGrownLogs(jobs)
	return true, nil
}

// collectJobs ticks what is due and takes what the replicas want.
func (h *Host) collectJobs() []*job {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	for _, g := range h.groups {
		if g.nextTick <= now {
			g.replica.Tick(now)
			h.markDirty(g)
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
		if j := g.takeJob(); j != nil {
			jobs = append(jobs, j)
		}
		g.nextTick = g.replica.NextTick()
	}
	return jobs
}

// takeJob takes what a group wants done, nil for nothing. The host's mu is held.
func (g *group) takeJob() *job {
	j := &job{group: g, ready: g.replica.Ready(), compaction: g.pendingSnapshot}
	g.pendingSnapshot = nil
	if j.ready.Snapshot != nil {
		j.compaction = nil // older than the one that came in
	}
	g.failDeposed()
	g.noticeLeaderChange()
	if j.compaction == nil && j.ready.Empty() {
		return nil
	}
	return j
}

// storeWrite tells what the job makes durable, false for nothing.
func (j *job) storeWrite() (store.Write, bool) {
	w := store.Write{Group: j.group.id, Hard: j.ready.HardState, Snapshot: j.ready.Snapshot, Entries: j.ready.Entries}
	if j.compaction != nil {
		w.Snapshot, w.CompactTo = j.compaction, j.compaction.Index
	}
	return w, w.Hard != nil || w.Snapshot != nil || len(w.Entries) > 0
}

// The pauses between tries to write to a full disk, and how often the log tells of it.
const (
	minFullDiskBackoff  = 20 * time.Millisecond
	maxFullDiskBackoff  = time.Second
	fullDiskLogInterval = 30 * time.Second
)

// persist writes what the jobs want. On a full disk it tries the same again until there is room:
// what isn't durable is neither sent nor answered, so this node votes for nothing, is missed as
// an owner by the others, and serves what it has meanwhile. It fails with the store's failure,
// or the context's.
func (h *Host) persist(ctx context.Context, jobs []*job) error {
	pause := minFullDiskBackoff
	for {
		err := h.writeWithHeartbeats(jobs)
		if !errors.Is(err, store.ErrFull) {
			return err
		}
		if skipped, ok := journal.Every("full disk", fullDiskLogInterval); ok {
			klog.ErrorS(err, "The disk is full: what is new waits for room", "alike", skipped)
		}
		if !h.sleep(ctx, pause) {
			return err
		}
		pause = min(2*pause, maxFullDiskBackoff)
	}
}

// While a write lasts longer than slowWriteAfter, heartbeats go out and are answered every slowWriteHeartbeatInterval, so
// that a slow disk isn't taken for a lost node. After slowWriteYieldAfter they stop: others are to own
// what this node can't carry on.
const (
	slowWriteAfter             = 50 * time.Millisecond
	slowWriteHeartbeatInterval = 25 * time.Millisecond
	slowWriteYieldAfter        = 1500 * time.Millisecond
)

// writeWithHeartbeats writes what the jobs want, and keeps in touch with the other members meanwhile.
func (h *Host) writeWithHeartbeats(jobs []*job) error {
	done := make(chan error, 1)
	go func() { done <- h.write(jobs) }()
	timer := time.NewTimer(slowWriteAfter)
	defer timer.Stop()
	began := h.options.Now()
	for {
		select {
		case err := <-done:
			return err
		case <-timer.C:
			timer.Reset(slowWriteHeartbeatInterval)
		}
		if h.options.Now()-began < slowWriteYieldAfter {
			h.sendHeartbeats()
		}
	}
}

// sendHeartbeats sends what may be sent while a write is under way. What else there is to do waits for the
// next round.
func (h *Host) sendHeartbeats() {
	byNode := newBatches()
	h.mu.Lock()
	now := h.options.Now()
	for _, g := range h.groups {
		if g.nextTick <= now {
			g.replica.Tick(now)
			g.nextTick = max(g.replica.NextTick(), now+minWait)
			h.markDirty(g)
		}
		byNode.add(g.replica.TakeImmediate())
	}
	h.mu.Unlock()
	byNode.send(h.options.Transport)
}

func (h *Host) write(jobs []*job) error {
	var batch []store.Write
	for _, j := range jobs {
		if w, some := j.storeWrite(); some {
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

// markPersisted tells the replicas that their writes are durable.
func (h *Host) markPersisted(jobs []*job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	for _, j := range jobs {
		g := j.group
		if _, some := j.storeWrite(); some {
			h.stored[g.id] = true
		}
		if j.ready.Snapshot != nil {
			g.snapshot = *j.ready.Snapshot
		}
		if j.compaction != nil {
			g.snapshot = *j.compaction
			g.replica.Compact(*j.compaction)
		}
		g.replica.Persisted(now, j.ready)
		j.takeWaiters()
		h.markDirty(g)
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
			failed.failWaiters(&UnknownOutcomeError{Cause: err})
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
		if j.completions != nil && j.completions[i].outcome.err == nil {
			j.completions[i].outcome.result = result
		}
	}
	return nil
}

// finishJobs notes what was applied, and answers.
func (h *Host) finishJobs(jobs []*job) {
	h.mu.Lock()
	for _, j := range jobs {
		if place, some := j.lastApplied(); some {
			j.group.applied = place.Index
			j.group.notifyChanged()
		}
		h.markDirty(j.group)
	}
	h.mu.Unlock()
	for _, j := range jobs {
		j.completeWaiters()
	}
}

// compactGrownLogs makes snapshots of the groups whose log has grown enough. The next round writes them.
func (h *Host) compactGrownLogs(jobs []*job) {
	for _, j := range jobs {
		place, some := j.lastApplied()
		if g := j.group; some && g.logBytes >= max(h.options.CompactAfterBytes, len(g.snapshot.State)) {
			h.takeSnapshot(g, place)
		}
	}
}

func (h *Host) takeSnapshot(g *group, place replica.Snapshot) {
	g.view(func(m StateMachine) { place.State = m.Snapshot() })
	g.logBytes = 0
	h.mu.Lock()
	defer h.mu.Unlock()
	place.Members = g.replica.MembersAt(place.Index)
	g.pendingSnapshot = &place
	h.markDirty(g)
}

// lastApplied gives index and term of the last entry that the job applied, false for none.
func (j *job) lastApplied() (place replica.Snapshot, some bool) {
	if n := len(j.ready.Committed); n > 0 {
		last := j.ready.Committed[n-1]
		return replica.Snapshot{Index: last.Index, Term: last.Term}, true
	}
	if j.ready.Snapshot != nil {
		return replica.Snapshot{Index: j.ready.Snapshot.Index, Term: j.ready.Snapshot.Term}, true
	}
	return place, false
}

func (j *job) completeWaiters() {
	for _, a := range j.completions {
		if a.waiter != nil {
			a.waiter.complete(a.outcome.result, a.outcome.err)
		}
	}
}

// failWaiters tells all the same failure.
func (j *job) failWaiters(err error) {
	for _, a := range j.completions {
		if a.waiter != nil {
			a.waiter.complete(nil, err)
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

// noticeLeaderChange tells who waits for news that the owner or the term is another.
func (g *group) noticeLeaderChange() {
	owner, term := g.replica.Leader(), g.replica.Term()
	if owner == g.notifiedLeader && term == g.notifiedTerm {
		return
	}
	g.notifiedLeader, g.notifiedTerm = owner, term
	klog.V(2).InfoS("Ownership of a group changed", "group", g.id, "owner", owner, "term", term)
	g.notifyChanged()
}

// notifyChanged wakes who waits for news. The host's mu is held.
func (g *group) notifyChanged() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// stop refuses calls from now on and tells all who wait.
func (h *Host) stop(cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	for _, g := range h.groups {
		g.failAll(&UnknownOutcomeError{Cause: cause})
		g.notifyChanged()
	}
}
