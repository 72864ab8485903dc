package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/gammazero/deque"
	"gotest.tools/v3/assert"
)

// The model explores small groups exhaustively, breadth first. From a start state it tries every order of
// message deliveries, losses, ticks and process restarts, with the replica's real code. States that were seen
// before are not explored again. Writes are durable at once: a crash between a write and the messages after it
// is covered by the loss of those messages.

var modelTiming = Timing{
	HeartbeatInterval: 200 * time.Millisecond,
	ElectionTimeout:   400 * time.Millisecond,
	LeaseDuration:     300 * time.Millisecond,
	LostAfter:         time.Second,
}

const (
	modelMaxMessages     = 5                       // messages in transit; the oldest get lost beyond that
	modelDuration        = 1200 * time.Millisecond // the virtual time that is explored
	modelMaxIncarnations = 2                       // of each process
	modelStates          = 60_000                  // states explored by default; MODEL_STATES overrides it for a long search
)

// constantSource always draws the same number, so that two paths to one state don't differ by random draws. The
// number must be one that math/rand doesn't reject and draw again.
type constantSource struct{}

func (constantSource) Uint64() uint64 { return 0x5555_5555_5555_5555 }

// modelNode is a process and the content of its disk.
type modelNode struct {
	replica      *Replica
	disk         PersistentState
	incarnations int
}

// model is one state of a small group.
type model struct {
	now         time.Duration
	nodes       []modelNode // the node with ID i+1
	inTransit   []Message
	leaders     map[uint64]NodeID // by term
	changesLeft int               // membership changes that may still be requested
}

func (m *model) startReplica(stored PersistentState, id NodeID, incarnation int) *Replica {
	r := New(testGroup, id, modelTiming, stored, rand.New(constantSource{}), m.now)
	r.incarnation = uint64(id)*10 + uint64(incarnation)
	return r
}

// addNode adds a process with this disk content.
func (m *model) addNode(stored PersistentState) {
	id := NodeID(len(m.nodes) + 1)
	m.nodes = append(m.nodes, modelNode{replica: m.startReplica(stored, id, 1), disk: stored, incarnations: 1})
}

// clone copies everything that a replica may modify.
func (r *Replica) clone() *Replica {
	c := *r
	log := *r.log
	log.entries = deque.Deque[Entry]{}
	for index := r.log.baseIndex + 1; index <= r.log.lastIndex(); index++ {
		log.entries.PushBack(r.log.entryAt(index))
	}
	log.memberHistory = slices.Clone(r.log.memberHistory)
	c.log = &log
	c.grantedBy, c.boundVoters, c.incarnations = maps.Clone(r.grantedBy), maps.Clone(r.boundVoters), maps.Clone(r.incarnations)
	c.immediate, c.messages = slices.Clone(r.immediate), slices.Clone(r.messages)
	c.freshness.pending = slices.Clone(r.freshness.pending)
	c.progress = maps.Clone(r.progress)
	for id, p := range c.progress {
		copied := *p
		copied.inFlight = slices.Clone(p.inFlight)
		c.progress[id] = &copied
	}
	return &c
}

func (m *model) clone() *model {
	c := &model{now: m.now, inTransit: slices.Clone(m.inTransit), leaders: maps.Clone(m.leaders), changesLeft: m.changesLeft}
	for _, n := range m.nodes {
		n.replica = n.replica.clone()
		n.disk.Entries = slices.Clone(n.disk.Entries)
		c.nodes = append(c.nodes, n)
	}
	return c
}

// processReady carries out what a replica wants.
func (m *model) processReady(at int) {
	n := &m.nodes[at]
	for ready := n.replica.Ready(); !ready.Empty(); ready = n.replica.Ready() {
		if ready.HardState != nil {
			n.disk.HardState = *ready.HardState
		}
		if len(ready.Entries) > 0 {
			keep := ready.Entries[0].Index - n.disk.Snapshot.Index - 1
			n.disk.Entries = append(n.disk.Entries[:keep:keep], ready.Entries...)
		}
		n.replica.Persisted(m.now, ready)
		m.inTransit = append(append(m.inTransit, ready.Immediate...), ready.Messages...)
	}
	if over := len(m.inTransit) - modelMaxMessages; over > 0 {
		m.inTransit = slices.Delete(m.inTransit, 0, over)
	}
	if n.replica.IsLeader() && m.leaders[n.replica.Term()] == 0 {
		m.leaders[n.replica.Term()] = NodeID(at + 1)
	}
}

// next returns the states that one step leads to.
func (m *model) next() []*model {
	var states []*model
	step := func(at int, act func(*model, *Replica)) {
		c := m.clone()
		act(c, c.nodes[at].replica)
		c.processReady(at)
		states = append(states, c)
	}
	for i, message := range m.inTransit {
		if i > 0 && sameMessage(message, m.inTransit[i-1]) || int(message.To) > len(m.nodes) {
			continue
		}
		step(int(message.To)-1, func(c *model, r *Replica) {
			c.inTransit = slices.Delete(c.inTransit, i, i+1)
			r.Step(c.now, message)
		})
	}
	due := time.Hour
	for at, n := range m.nodes {
		if n.replica.NextTick() <= m.now {
			step(at, func(c *model, r *Replica) { r.Tick(c.now) })
		} else {
			due = min(due, n.replica.NextTick())
		}
		if n.incarnations < modelMaxIncarnations {
			step(at, func(c *model, _ *Replica) {
				node := &c.nodes[at]
				node.incarnations++
				node.replica = c.startReplica(node.disk, NodeID(at+1), node.incarnations)
			})
		}
		if m.changesLeft > 0 && n.replica.leaderReady() {
			step(at, func(c *model, r *Replica) {
				c.changesLeft--
				_, _, _ = r.ChangeMembers(c.now, c.nextMembers(r))
			})
		}
	}
	if due <= modelDuration {
		c := m.clone()
		c.now = due
		states = append(states, c)
	}
	return states
}

// nextMembers returns the members with a learner promoted to voter if there is one, otherwise with one voter removed.
func (m *model) nextMembers(r *Replica) Members {
	members := r.members().Clone()
	if len(members.Learners) > 0 {
		return Members{Voters: append(members.Voters, members.Learners[0]), Learners: members.Learners[1:]}
	}
	return Members{Voters: difference(members.Voters, []NodeID{members.Voters[len(members.Voters)-1]})}
}

func sameMessage(a, b Message) bool {
	return bytes.Equal(appendMessage(nil, a), appendMessage(nil, b))
}

// appendMessage appends everything that distinguishes messages.
func appendMessage(text []byte, m Message) []byte {
	text = append(text, byte(m.Kind), byte(m.From), byte(m.To), byte(flag(m.Reject)), byte(flag(m.Forced)), byte(flag(m.Returning)))
	for _, v := range []uint64{m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, uint64(m.Sent), m.Life, uint64(m.Asked), m.Newest} {
		text = binary.AppendUvarint(text, v)
	}
	for _, entry := range m.Entries {
		text = append(binary.AppendUvarint(text, entry.Term), byte(entry.Kind))
		text = append(text, entry.Data...)
	}
	return append(text, 0xff)
}

// violation describes a violated invariant, "" if there is none.
func (m *model) violation() string {
	for at, n := range m.nodes {
		id, r := NodeID(at+1), n.replica
		if r.IsLeader() && m.leaders[r.Term()] != id {
			return fmt.Sprintf("nodes %d and %d both lead term %d", id, m.leaders[r.Term()], r.Term())
		}
		if r.logConflict {
			return fmt.Sprintf("node %d reports a log conflict", id)
		}
		for term, other := range m.leaders {
			if term > r.Term() && r.clone().HasLease(m.now) {
				return fmt.Sprintf("node %d holds a lease in term %d, and %d has led term %d", id, r.Term(), other, term)
			}
		}
		if text := m.committedMismatch(at); text != "" {
			return text
		}
	}
	return ""
}

// committedMismatch describes a difference between what this node and an earlier one consider committed.
func (m *model) committedMismatch(at int) string {
	r := m.nodes[at].replica
	for other := range at {
		o := m.nodes[other].replica
		for index := max(r.log.baseIndex, o.log.baseIndex) + 1; index <= min(r.commitIndex, o.commitIndex); index++ {
			if a, b := r.log.entryAt(index), o.log.entryAt(index); a.Term != b.Term || a.Kind != b.Kind {
				return fmt.Sprintf("nodes %d and %d have different committed entries at %d", at+1, other+1, index)
			}
		}
	}
	return ""
}

var modelSeed = maphash.MakeSeed()

// fingerprint distinguishes states that may evolve differently. Times are relative to now, and limited to the range that matters.
func (m *model) fingerprint() uint64 {
	text := binary.AppendUvarint(nil, uint64(m.changesLeft))
	addNumbers := func(values ...uint64) {
		for _, v := range values {
			text = binary.AppendUvarint(text, v)
		}
	}
	ageOf := func(at time.Duration) uint64 {
		return uint64(min(max(m.now-at, -modelDuration), 3*modelTiming.ElectionTimeout) + modelDuration)
	}
	addNumbers(uint64(m.now))
	for at, n := range m.nodes {
		r := n.replica
		addNumbers(uint64(n.incarnations), uint64(r.role), r.hardState.Term, uint64(r.hardState.Vote), r.commitIndex, r.durableIndex, uint64(r.leaderID), r.noOpIndex)
		addNumbers(ageOf(r.lastLeaderContact), ageOf(r.electionDeadline), ageOf(r.startedAt), ageOf(r.nextHeartbeat), flag(r.restarted), flag(r.unanimous))
		for index := r.log.baseIndex + 1; index <= r.log.lastIndex(); index++ {
			addNumbers(r.log.entryAt(index).Term, uint64(r.log.entryAt(index).Kind))
		}
		for id := range NodeID(len(m.nodes) + 1) {
			addNumbers(flag(r.grantedBy[id]), flag(r.boundVoters[id]), r.incarnations[id], flag(r.members().IsVoter(id)), flag(r.members().IsLearner(id)))
			if p := r.progress[id]; p != nil {
				addNumbers(p.matchIndex, p.nextIndex, flag(p.probing), uint64(len(p.inFlight)), ageOf(p.lastProgressAt), ageOf(p.lastHeard), ageOf(p.answeredSendTime), p.sentCommitIndex, ageOf(p.memberTime), p.incarnation)
			}
		}
		addNumbers(uint64(at))
	}
	messages := make([][]byte, 0, len(m.inTransit))
	for _, message := range m.inTransit {
		messages = append(messages, appendMessage(nil, message))
	}
	slices.SortFunc(messages, bytes.Compare)
	for _, message := range messages {
		text = append(text, message...)
	}
	for _, term := range slices.Sorted(maps.Keys(m.leaders)) {
		addNumbers(term, uint64(m.leaders[term]))
	}
	return maphash.Bytes(modelSeed, text)
}

func flag(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// searchResult tells how far a search went.
type searchResult struct {
	states    int
	depth     int
	exhausted bool // no state was left to explore
	violation string
}

// explore searches from a start state until it has seen maxStates states, or all, or one with a violation.
func explore(start *model, maxStates int) searchResult {
	seen := map[uint64]bool{start.fingerprint(): true}
	frontier := []*model{start}
	result := searchResult{states: 1}
	for ; len(frontier) > 0; result.depth++ {
		var following []*model
		for _, state := range frontier {
			for _, next := range state.next() {
				key := next.fingerprint()
				if seen[key] {
					continue
				}
				seen[key] = true
				result.states++
				if result.violation = next.violation(); result.violation != "" || result.states >= maxStates {
					return result
				}
				following = append(following, next)
			}
		}
		frontier = following
	}
	result.exhausted = true
	return result
}

// newModel returns a group of voters, of which the first is the leader with a lease, and of learners.
func newModel(t *testing.T, voters, learners int, defects injectedDefects) *model {
	t.Helper()
	m := &model{leaders: map[uint64]NodeID{}}
	var members Members
	for id := range voters + learners {
		if id < voters {
			members.Voters = append(members.Voters, NodeID(id+1))
		} else {
			members.Learners = append(members.Learners, NodeID(id+1))
		}
	}
	for range voters + learners {
		m.addNode(PersistentState{Snapshot: Snapshot{Index: 1, Members: members}})
	}
	m.now = modelTiming.ElectionTimeout
	m.nodes[0].replica.Campaign(m.now)
	m.processReady(0)
	for len(m.inTransit) > 0 {
		message := m.inTransit[0]
		m.inTransit = m.inTransit[1:]
		m.nodes[message.To-1].replica.Step(m.now, message)
		m.processReady(int(message.To) - 1)
	}
	assert.Assert(t, m.nodes[0].replica.HasLease(m.now))
	for at := range m.nodes {
		m.nodes[at].replica.defects = defects
	}
	return m
}

// restart restarts processes of the group, all at once.
func (m *model) restart(defects injectedDefects, nodes ...int) *model {
	for _, at := range nodes {
		m.nodes[at].incarnations++
		m.nodes[at].replica = m.startReplica(m.nodes[at].disk, NodeID(at+1), m.nodes[at].incarnations)
		m.nodes[at].replica.defects = defects
	}
	return m
}

func modelStateLimit(t *testing.T) int {
	if requested, err := strconv.Atoi(os.Getenv("MODEL_STATES")); err == nil {
		return requested
	}
	if testing.Short() {
		return modelStates / 10
	}
	return modelStates
}

// TestModelFindsNoInvariantViolation explores groups from starts that exercise what is particular to this package:
// processes that restart beside a leader or all at once, and membership changes.
func TestModelFindsNoInvariantViolation(t *testing.T) {
	for _, test := range []struct {
		name  string
		start func() *model
	}{
		{"a leader beside two restarted voters", func() *model { return newModel(t, 3, 0, injectedDefects{}).restart(injectedDefects{}, 1, 2) }},
		{"a leader beside one restarted voter", func() *model { return newModel(t, 3, 0, injectedDefects{}).restart(injectedDefects{}, 2) }},
		{"three voters that all restarted", func() *model { return newModel(t, 3, 0, injectedDefects{}).restart(injectedDefects{}, 0, 1, 2) }},
		{"four voters of which three restarted", func() *model { return newModel(t, 4, 0, injectedDefects{}).restart(injectedDefects{}, 1, 2, 3) }},
		{"a learner becomes a voter amid restarts", func() *model {
			m := newModel(t, 3, 1, injectedDefects{}).restart(injectedDefects{}, 2)
			m.changesLeft = 1
			return m
		}},
		{"a voter is removed amid restarts", func() *model {
			m := newModel(t, 3, 0, injectedDefects{}).restart(injectedDefects{}, 1)
			m.changesLeft = 1
			return m
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := explore(test.start(), modelStateLimit(t))
			assert.Equal(t, result.violation, "")
			t.Logf("%d states, %d steps deep, exhausted: %v", result.states, result.depth, result.exhausted)
			assert.Assert(t, result.exhausted || result.depth >= 4, "%+v", result)
		})
	}
}

// TestModelFindsInjectedDefects verifies that the model detects each injected defect.
func TestModelFindsInjectedDefects(t *testing.T) {
	for name, defects := range map[string]injectedDefects{
		"a majority suffices for a restarted voter":     {restartByMajority: true},
		"votes are granted while a lease may be active": {ignoreLease: true},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore(newModel(t, 3, 0, defects).restart(defects, 1, 2), 10*modelStates)
			assert.Assert(t, result.violation != "", "no violation within %d states", result.states)
			t.Logf("after %d states, %d steps deep: %s", result.states, result.depth, result.violation)
		})
	}
}
