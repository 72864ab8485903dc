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

// The model explores small worlds exhaustively, breadth first: from a start, every order of
// messages, losses, ticks and new starts of processes, over the replica's own code. States that
// were seen are not gone on from again. Writes are durable at once: a crash between a write and
// what is sent after it is the loss of the messages.

var modelTiming = Timing{
	Heartbeat: 200 * time.Millisecond,
	Election:  400 * time.Millisecond,
	Lease:     300 * time.Millisecond,
	Silent:    time.Second,
}

const (
	modelMail   = 5                       // messages under way; the oldest get lost beyond that
	modelEnd    = 1200 * time.Millisecond // a world's time
	modelLives  = 2                       // of each process
	modelStates = 60_000                  // explored by default: MODEL_STATES says so for a long search
)

// constant draws the same again and again: what is drawn doesn't differ between two ways to one
// state. The number has to be such that rand doesn't wait for a better one.
type constant struct{}

func (constant) Uint64() uint64 { return 0x5555_5555_5555_5555 }

// modelNode is a process and what its disk holds.
type modelNode struct {
	replica *Replica
	disk    Stored
	lives   int
}

// model is one state of a small world.
type model struct {
	now     time.Duration
	nodes   []modelNode // the node with id i+1
	mail    []Message
	owners  map[uint64]NodeID // by term
	changes int               // of members that may still be asked for
}

func (m *model) replicaOf(stored Stored, id NodeID, life int) *Replica {
	r := New(testGroup, id, modelTiming, stored, rand.New(constant{}), m.now)
	r.life = uint64(id)*10 + uint64(life)
	return r
}

// start adds a process on a disk.
func (m *model) start(stored Stored) {
	id := NodeID(len(m.nodes) + 1)
	m.nodes = append(m.nodes, modelNode{replica: m.replicaOf(stored, id, 1), disk: stored, lives: 1})
}

// clone copies what a replica may change.
func (r *Replica) clone() *Replica {
	c := *r
	log := *r.log
	log.entries = deque.Deque[Entry]{}
	for index := r.log.base + 1; index <= r.log.last(); index++ {
		log.entries.PushBack(r.log.at(index))
	}
	log.changes = slices.Clone(r.log.changes)
	c.log = &log
	c.grants, c.excuses, c.lives = maps.Clone(r.grants), maps.Clone(r.excuses), maps.Clone(r.lives)
	c.early, c.messages = slices.Clone(r.early), slices.Clone(r.messages)
	c.fresh.waiting = slices.Clone(r.fresh.waiting)
	c.progress = maps.Clone(r.progress)
	for id, p := range c.progress {
		copied := *p
		copied.flight = slices.Clone(p.flight)
		c.progress[id] = &copied
	}
	return &c
}

func (m *model) clone() *model {
	c := &model{now: m.now, mail: slices.Clone(m.mail), owners: maps.Clone(m.owners), changes: m.changes}
	for _, n := range m.nodes {
		n.replica = n.replica.clone()
		n.disk.Entries = slices.Clone(n.disk.Entries)
		c.nodes = append(c.nodes, n)
	}
	return c
}

// settle carries out what a replica wants.
func (m *model) settle(at int) {
	n := &m.nodes[at]
	for ready := n.replica.Ready(); !ready.Empty(); ready = n.replica.Ready() {
		if ready.Hard != nil {
			n.disk.Hard = *ready.Hard
		}
		if len(ready.Entries) > 0 {
			keep := ready.Entries[0].Index - n.disk.Snapshot.Index - 1
			n.disk.Entries = append(n.disk.Entries[:keep:keep], ready.Entries...)
		}
		n.replica.Persisted(m.now, ready)
		m.mail = append(append(m.mail, ready.Early...), ready.Messages...)
	}
	if over := len(m.mail) - modelMail; over > 0 {
		m.mail = slices.Delete(m.mail, 0, over)
	}
	if n.replica.Owns() && m.owners[n.replica.Term()] == 0 {
		m.owners[n.replica.Term()] = NodeID(at + 1)
	}
}

// next are the states that one step leads to.
func (m *model) next() []*model {
	var states []*model
	step := func(at int, act func(*model, *Replica)) {
		c := m.clone()
		act(c, c.nodes[at].replica)
		c.settle(at)
		states = append(states, c)
	}
	for i, message := range m.mail {
		if i > 0 && sameMessage(message, m.mail[i-1]) || int(message.To) > len(m.nodes) {
			continue
		}
		step(int(message.To)-1, func(c *model, r *Replica) {
			c.mail = slices.Delete(c.mail, i, i+1)
			r.Step(c.now, message)
		})
	}
	due := time.Hour
	for at, n := range m.nodes {
		if n.replica.Next() <= m.now {
			step(at, func(c *model, r *Replica) { r.Tick(c.now) })
		} else {
			due = min(due, n.replica.Next())
		}
		if n.lives < modelLives {
			step(at, func(c *model, _ *Replica) {
				again := &c.nodes[at]
				again.lives++
				again.replica = c.replicaOf(again.disk, NodeID(at+1), again.lives)
			})
		}
		if m.changes > 0 && n.replica.settled() {
			step(at, func(c *model, r *Replica) {
				c.changes--
				_, _, _ = r.ChangeMembers(c.now, c.changed(r))
			})
		}
	}
	if due <= modelEnd {
		c := m.clone()
		c.now = due
		states = append(states, c)
	}
	return states
}

// changed are members with another voter more, or one less.
func (m *model) changed(r *Replica) Members {
	now := r.members().Clone()
	if len(now.Learners) > 0 {
		return Members{Voters: append(now.Voters, now.Learners[0]), Learners: now.Learners[1:]}
	}
	return Members{Voters: without(now.Voters, []NodeID{now.Voters[len(now.Voters)-1]})}
}

func sameMessage(a, b Message) bool {
	return bytes.Equal(appendMessage(nil, a), appendMessage(nil, b))
}

// appendMessage writes what tells messages apart.
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

// fault tells what must never be, "" where all is well.
func (m *model) fault() string {
	for at, n := range m.nodes {
		id, r := NodeID(at+1), n.replica
		if r.Owns() && m.owners[r.Term()] != id {
			return fmt.Sprintf("nodes %d and %d own term %d", id, m.owners[r.Term()], r.Term())
		}
		if r.contradicted {
			return fmt.Sprintf("node %d is contradicted", id)
		}
		for term, other := range m.owners {
			if term > r.Term() && r.clone().Leased(m.now) {
				return fmt.Sprintf("node %d holds a lease in term %d, and %d has owned term %d", id, r.Term(), other, term)
			}
		}
		if text := m.committedAlike(at); text != "" {
			return text
		}
	}
	return ""
}

// committedAlike holds that what two nodes take for committed is the same.
func (m *model) committedAlike(at int) string {
	r := m.nodes[at].replica
	for other := range at {
		o := m.nodes[other].replica
		for index := max(r.log.base, o.log.base) + 1; index <= min(r.commit, o.commit); index++ {
			if a, b := r.log.at(index), o.log.at(index); a.Term != b.Term || a.Kind != b.Kind {
				return fmt.Sprintf("nodes %d and %d have other entries committed at %d", at+1, other+1, index)
			}
		}
	}
	return ""
}

var modelSeed = maphash.MakeSeed()

// key tells states apart that may go on differently. Times count from now, as far as they matter.
func (m *model) key() uint64 {
	text := binary.AppendUvarint(nil, uint64(m.changes))
	number := func(values ...uint64) {
		for _, v := range values {
			text = binary.AppendUvarint(text, v)
		}
	}
	since := func(at time.Duration) uint64 {
		return uint64(min(max(m.now-at, -modelEnd), 3*modelTiming.Election) + modelEnd)
	}
	number(uint64(m.now))
	for at, n := range m.nodes {
		r := n.replica
		number(uint64(n.lives), uint64(r.role), r.hard.Term, uint64(r.hard.Vote), r.commit, r.stable, uint64(r.owner), r.opening)
		number(since(r.heard), since(r.campaignAt), since(r.started), since(r.heartbeatAt), flag(r.restarted), flag(r.unanimous))
		for index := r.log.base + 1; index <= r.log.last(); index++ {
			number(r.log.at(index).Term, uint64(r.log.at(index).Kind))
		}
		for id := range NodeID(len(m.nodes) + 1) {
			number(flag(r.grants[id]), flag(r.excuses[id]), r.lives[id], flag(r.members().IsVoter(id)), flag(r.members().IsLearner(id)))
			if p := r.progress[id]; p != nil {
				number(p.matched, p.next, flag(p.probing), uint64(len(p.flight)), since(p.moved), since(p.heard), since(p.answered), p.told, since(p.asked), p.life)
			}
		}
		number(uint64(at))
	}
	mail := make([][]byte, 0, len(m.mail))
	for _, message := range m.mail {
		mail = append(mail, appendMessage(nil, message))
	}
	slices.SortFunc(mail, bytes.Compare)
	for _, one := range mail {
		text = append(text, one...)
	}
	for _, term := range slices.Sorted(maps.Keys(m.owners)) {
		number(term, uint64(m.owners[term]))
	}
	return maphash.Bytes(modelSeed, text)
}

func flag(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// explored is how far a search went.
type explored struct {
	states, depth int
	whole         bool // no state was left to go on from
	fault         string
}

// explore goes on from a start until it has seen so many states, or all, or one with a fault.
func explore(start *model, most int) explored {
	seen := map[uint64]bool{start.key(): true}
	frontier := []*model{start}
	result := explored{states: 1}
	for ; len(frontier) > 0; result.depth++ {
		var following []*model
		for _, state := range frontier {
			for _, next := range state.next() {
				key := next.key()
				if seen[key] {
					continue
				}
				seen[key] = true
				result.states++
				if result.fault = next.fault(); result.fault != "" || result.states >= most {
					return result
				}
				following = append(following, next)
			}
		}
		frontier = following
	}
	result.whole = true
	return result
}

// worldOf is a group of so many voters, of which the first is the owner under a lease; more nodes
// are learners.
func worldOf(t *testing.T, voters, learners int, defects flaws) *model {
	t.Helper()
	m := &model{owners: map[uint64]NodeID{}}
	var members Members
	for id := range voters + learners {
		if id < voters {
			members.Voters = append(members.Voters, NodeID(id+1))
		} else {
			members.Learners = append(members.Learners, NodeID(id+1))
		}
	}
	for range voters + learners {
		m.start(Stored{Snapshot: Snapshot{Index: 1, Members: members}})
	}
	m.now = modelTiming.Election
	m.nodes[0].replica.Campaign(m.now)
	m.settle(0)
	for len(m.mail) > 0 {
		message := m.mail[0]
		m.mail = m.mail[1:]
		m.nodes[message.To-1].replica.Step(m.now, message)
		m.settle(int(message.To) - 1)
	}
	assert.Assert(t, m.nodes[0].replica.Leased(m.now))
	for at := range m.nodes {
		m.nodes[at].replica.flaws = defects
	}
	return m
}

// restarted starts processes of a world anew, at once.
func (m *model) restarted(defects flaws, nodes ...int) *model {
	for _, at := range nodes {
		m.nodes[at].lives++
		m.nodes[at].replica = m.replicaOf(m.nodes[at].disk, NodeID(at+1), m.nodes[at].lives)
		m.nodes[at].replica.flaws = defects
	}
	return m
}

func modelBound(t *testing.T) int {
	if many, err := strconv.Atoi(os.Getenv("MODEL_STATES")); err == nil {
		return many
	}
	if testing.Short() {
		return modelStates / 10
	}
	return modelStates
}

// TestModel explores worlds from starts at which what is particular to this package happens:
// processes that start anew beside an owner, or all at once, and members that change.
func TestModel(t *testing.T) {
	for _, world := range []struct {
		name  string
		start func() *model
	}{
		{"an owner beside two voters that start anew", func() *model { return worldOf(t, 3, 0, flaws{}).restarted(flaws{}, 1, 2) }},
		{"an owner beside one voter that starts anew", func() *model { return worldOf(t, 3, 0, flaws{}).restarted(flaws{}, 2) }},
		{"three voters that all start anew", func() *model { return worldOf(t, 3, 0, flaws{}).restarted(flaws{}, 0, 1, 2) }},
		{"four voters of which three start anew", func() *model { return worldOf(t, 4, 0, flaws{}).restarted(flaws{}, 1, 2, 3) }},
		{"a learner becomes a voter amid new starts", func() *model {
			m := worldOf(t, 3, 1, flaws{}).restarted(flaws{}, 2)
			m.changes = 1
			return m
		}},
		{"a voter leaves amid new starts", func() *model {
			m := worldOf(t, 3, 0, flaws{}).restarted(flaws{}, 1)
			m.changes = 1
			return m
		}},
	} {
		t.Run(world.name, func(t *testing.T) {
			result := explore(world.start(), modelBound(t))
			assert.Equal(t, result.fault, "")
			t.Logf("%d states, %d steps deep, whole: %v", result.states, result.depth, result.whole)
			assert.Assert(t, result.whole || result.depth >= 4, "%+v", result)
		})
	}
}

// TestModelFindsFlaws tests the model: each defect must show.
func TestModelFindsFlaws(t *testing.T) {
	for name, defects := range map[string]flaws{
		"a majority suffices for a voter that starts anew": {returnByMost: true},
		"votes are given while a lease may run":            {noRefusal: true},
	} {
		t.Run(name, func(t *testing.T) {
			result := explore(worldOf(t, 3, 0, defects).restarted(defects, 1, 2), 10*modelStates)
			assert.Assert(t, result.fault != "", "not after %d states", result.states)
			t.Logf("after %d states, %d steps deep: %s", result.states, result.depth, result.fault)
		})
	}
}
