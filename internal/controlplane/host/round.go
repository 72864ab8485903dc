package host

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/store"
	"oakseam/internal/tier/jsonlog"
)

// minWait bounds how often Run checks groups that keep asking for a Tick.
const minWait = time.Millisecond

// job is the work of one round for one group.
type job struct {
	group       *group
	ready       replica.Ready
	compaction  *replica.Snapshot // a snapshot taken on this node; written together with ready
	completions []completion
}

// completion is a waiter and the outcome that it will receive.
type completion struct {
	waiter  *waiter
	outcome outcome
}

// Run runs the groups until ctx ends and then returns nil. It returns an error if the store or a
// state machine's Restore fails: a store error (errors.Is store.ErrFailed) or a *RestoreError.
// The process must exit then. Run may be called once.
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

// runRounds runs rounds until there is no work or ctx ends.
func (h *Host) runRounds(ctx context.Context) error {
	for ctx.Err() == nil {
		more, err := h.round(ctx)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// untilNextTick returns the time until the next Tick is due.
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

// round performs the pending work of all replicas: it collects the work, writes and syncs it,
// sends messages, applies entries and answers callers, in this order. It reports whether there
// was any work.
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

// collectJobs ticks the replicas that are due and collects the pending work.
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

// takeJob takes the pending work of a group. It returns nil if there is none. The host's mu is
// held.
func (g *group) takeJob() *job {
	j := &job{group: g, ready: g.replica.Ready(), compaction: g.pendingSnapshot}
	g.pendingSnapshot = nil
	if j.ready.Snapshot != nil {
		j.compaction = nil // older than the received snapshot
	}
	g.failDeposed()
	g.noticeLeaderChange()
	if j.compaction == nil && j.ready.Empty() {
		return nil
	}
	return j
}

// storeWrite returns what the job makes durable, and false if there is nothing to write.
func (j *job) storeWrite() (store.Write, bool) {
	w := store.Write{Group: j.group.id, Hard: j.ready.HardState, Snapshot: j.ready.Snapshot, Entries: j.ready.Entries}
	if j.compaction != nil {
		w.Snapshot, w.CompactTo = j.compaction, j.compaction.Index
	}
	return w, w.Hard != nil || w.Snapshot != nil || len(w.Entries) > 0
}

// Backoff between attempts to write to a full disk, and the minimum interval between log
// messages about it.
const (
	minFullDiskBackoff  = 20 * time.Millisecond
	maxFullDiskBackoff  = time.Second
	fullDiskLogInterval = 30 * time.Second
)

// persist makes the jobs' writes durable. On a full disk it retries the same write until there is
// room. Meanwhile nothing that is not durable is sent or answered: this node does not vote, the
// other members elect another leader if it was the leader, and reads are served from the state it
// has. It returns the store's error, or the last store error if ctx ends.
func (h *Host) persist(ctx context.Context, jobs []*job) error {
	pause := minFullDiskBackoff
	for {
		err := h.writeWithHeartbeats(jobs)
		if !errors.Is(err, store.ErrFull) {
			return err
		}
		if skipped, ok := jsonlog.Allow("full disk", fullDiskLogInterval); ok {
			klog.ErrorS(err, "The disk is full; new writes wait for free space", "alike", skipped)
		}
		if !h.sleep(ctx, pause) {
			return err
		}
		pause = min(2*pause, maxFullDiskBackoff)
	}
}

// While a write takes longer than slowWriteAfter, heartbeats are sent and answered every
// slowWriteHeartbeatInterval, so that a slow disk is not mistaken for a lost node. After
// slowWriteYieldAfter they stop, so that other nodes take over the groups that this node cannot
// serve.
const (
	slowWriteAfter             = 50 * time.Millisecond
	slowWriteHeartbeatInterval = 25 * time.Millisecond
	slowWriteYieldAfter        = 1500 * time.Millisecond
)

// writeWithHeartbeats performs the jobs' writes. If they are slow, it exchanges heartbeats with
// the other members meanwhile.
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

// sendHeartbeats sends the messages that may be sent during a write. All other work waits for the
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
		if w, ok := j.storeWrite(); ok {
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

// markPersisted informs the replicas that their writes are durable.
func (h *Host) markPersisted(jobs []*job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.options.Now()
	for _, j := range jobs {
		g := j.group
		if _, ok := j.storeWrite(); ok {
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

// apply applies the committed work of all jobs. If a state machine fails, all waiters of the round
// receive UnknownOutcomeError, because the process must exit.
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

// apply restores a received snapshot and applies the committed entries to the state machine.
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

// finishJobs records the applied indexes and completes the waiters.
func (h *Host) finishJobs(jobs []*job) {
	h.mu.Lock()
	for _, j := range jobs {
		if position, ok := j.lastApplied(); ok {
			j.group.applied = position.Index
			j.group.notifyChanged()
		}
		h.markDirty(j.group)
	}
	h.mu.Unlock()
	for _, j := range jobs {
		j.completeWaiters()
	}
}

// compactGrownLogs takes snapshots of the groups whose log has grown enough. The next round writes
// them.
func (h *Host) compactGrownLogs(jobs []*job) {
	for _, j := range jobs {
		position, ok := j.lastApplied()
		if g := j.group; ok && g.logBytes >= max(h.options.CompactAfterBytes, len(g.snapshot.State)) {
			h.takeSnapshot(g, position)
		}
	}
}

func (h *Host) takeSnapshot(g *group, position replica.Snapshot) {
	g.view(func(m StateMachine) { position.State = m.Snapshot() })
	g.logBytes = 0
	h.mu.Lock()
	defer h.mu.Unlock()
	position.Members = g.replica.MembersAt(position.Index)
	g.pendingSnapshot = &position
	h.markDirty(g)
}

// lastApplied returns the index and term of the last entry that the job applied, and false if it
// applied none.
func (j *job) lastApplied() (position replica.Snapshot, ok bool) {
	if n := len(j.ready.Committed); n > 0 {
		last := j.ready.Committed[n-1]
		return replica.Snapshot{Index: last.Index, Term: last.Term}, true
	}
	if j.ready.Snapshot != nil {
		return replica.Snapshot{Index: j.ready.Snapshot.Index, Term: j.ready.Snapshot.Term}, true
	}
	return position, false
}

func (j *job) completeWaiters() {
	for _, a := range j.completions {
		if a.waiter != nil {
			a.waiter.complete(a.outcome.result, a.outcome.err)
		}
	}
}

// failWaiters completes all of the job's waiters with the same error.
func (j *job) failWaiters(err error) {
	for _, a := range j.completions {
		if a.waiter != nil {
			a.waiter.complete(nil, err)
		}
	}
}

// send sends messages of all groups, with one Send call per node.
func (h *Host) send(jobs []*job, which func(*job) []replica.Message) {
	byNode := newBatches()
	for _, j := range jobs {
		byNode.add(which(j))
	}
	byNode.send(h.options.Transport)
}

// batches groups messages by receiver, in the order of the first message to each.
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

// noticeLeaderChange notifies the waiting callers if the leader or the term has changed.
func (g *group) noticeLeaderChange() {
	leader, term := g.replica.Leader(), g.replica.Term()
	if leader == g.notifiedLeader && term == g.notifiedTerm {
		return
	}
	g.notifiedLeader, g.notifiedTerm = leader, term
	klog.V(2).InfoS("Leadership of a group changed", "group", g.id, "owner", leader, "term", term)
	g.notifyChanged()
}

// notifyChanged wakes the callers that wait for a change. The host's mu is held.
func (g *group) notifyChanged() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// stop makes all later calls fail and completes all waiters.
func (h *Host) stop(cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	for _, g := range h.groups {
		g.failAll(&UnknownOutcomeError{Cause: cause})
		g.notifyChanged()
	}
}
