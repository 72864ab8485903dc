package tallysync

import (
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/tallies"
)

// modelStep names a step for the trace.
type modelStep struct {
	kind string
	a, b int
}

// modelPath is the last step to a state, and those before it.
type modelPath struct {
	last   modelStep
	before *modelPath
}

func (s modelStep) String() string { return fmt.Sprintf("%s %d %d", s.kind, s.a, s.b) }

// next passes on each state that one step leads to.
func (m *model) next(add func(*model)) {
	if m.over() {
		return
	}
	step := func(kind string, a, b int, act func(*model) bool) {
		c := m.clone()
		c.path = &modelPath{modelStep{kind, a, b}, m.path}
		if act(c) {
			c.acknowledgeAll()
			add(c)
		}
	}
	always := func(act func(*model)) func(*model) bool {
		return func(c *model) bool { act(c); return true }
	}
	m.nextAdds(step)
	m.nextCalls(step)
	for i := range modelNodes {
		if m.phase == inCut && m.maySilence(i) {
			step("silence", i, 0, always(func(c *model) { c.losePatience(i) }))
		}
		if m.restarts > 0 && (i == 0 || !m.bounds.restartAll) {
			step("restart", i, 0, always(func(c *model) { c.restarts--; c.restartFrom(i) }))
		}
		if m.lostDisks > 0 {
			step("lose disk", i, 0, always(func(c *model) { c.lostDisks--; c.loseDisk(i) }))
		}
	}
	switch {
	case m.phase == beforeCut && m.bounds.cut != nil:
		step("cut", 0, 0, always(func(c *model) { c.phase = inCut }))
	case m.phase == inCut && m.addsAreSent() && m.restarts+m.lostDisks == 0:
		step("heal and merge", 0, 0, always(func(c *model) { c.merge() }))
	case m.phase == inCut:
		step("heal", 0, 0, always(func(c *model) { c.phase = healed }))
	case m.phase == healed:
		step("merge", 0, 0, always(func(c *model) { c.merge() }))
	}
}

// restartFrom restarts a process, or all.
func (m *model) restartFrom(i int) {
	if !m.bounds.restartAll {
		m.restart(i)
		return
	}
	for j := range modelNodes {
		m.restart(j)
	}
}

// merge lets the merge bound pass after the cut, and checks what must be so then.
func (m *model) merge() {
	m.phase = merged
	m.settle()
	m.failure = m.endViolation()
}

// maySilence reports whether silence can change what a node does.
func (m *model) maySilence(i int) bool {
	for j, address := range modelAddresses {
		if p := m.nodes[i].peers[address]; p != nil && !m.linked(i, j) && impatient(p) {
			return true
		}
	}
	return m.impatientAlone(i)
}

type stepper func(kind string, a, b int, act func(*model) bool)

func (m *model) nextAdds(step stepper) {
	for k := range m.adds {
		if m.adds[k].outcome != addUnsent {
			continue
		}
		for i := range modelNodes {
			step("add", k, i, func(c *model) bool { return c.sendAdd(k, i) })
		}
		return // the adds are sent in their order, to any nodes
	}
}

// nextCalls lets calls begin, arrive, be answered and fail. Unless requests are delayed, they arrive at once.
func (m *model) nextCalls(step stepper) {
	for at, call := range m.calls {
		switch {
		case call.reply == nil && m.open(call.from, call.to):
			step("request", call.from, call.to, func(c *model) bool { c.deliverRequest(at); return true })
		case call.reply != nil && m.open(call.to, call.from):
			step("reply", call.from, call.to, func(c *model) bool { c.deliverReply(at); return true })
		default:
			step("time out", call.from, call.to, func(c *model) bool { c.endCall(at); return true })
		}
	}
	if m.bounds.maxCalls > 0 && len(m.calls) >= m.bounds.maxCalls {
		return
	}
	for i := range modelNodes {
		for j := range modelNodes {
			if i == j || !m.mayCall(i, j) {
				continue
			}
			if m.bounds.maxCalls > 0 {
				step("call", i, j, func(c *model) bool { c.startCall(i, j); return true })
			} else if m.open(i, j) {
				step("exchange", i, j, func(c *model) bool { c.exchangeAtOnce(i, j); return true })
			}
		}
	}
}

// mayCall reports whether a call can be started that may change what the nodes do.
func (m *model) mayCall(i, j int) bool {
	for _, call := range m.calls {
		if call.from == i && call.to == j && call.life == m.nodes[i].life {
			return false
		}
	}
	n, other := m.nodes[i], m.nodes[j]
	p := n.peers[modelAddresses[j]]
	lacks := n.state.Vector().Lacks(p.vector) || n.state.Vector().Lacks(other.state.Vector())
	return p.vector == nil || n.shouldExchange(p) || lacks || n.heard[j] != other.diskLife || !n.complete || p.complete != other.complete || m.maySeeCopy(i, j)
}

// maySeeCopy reports whether a call could tell a node of a copy of an add that waits or may be repeated.
func (m *model) maySeeCopy(i, j int) bool {
	for k := range m.adds {
		a := &m.adds[k]
		repeated := m.bounds.sameID && !m.addsAreSent()
		if a.outcome == addWaiting && a.at == i || repeated {
			record, known := m.nodes[i].state.Find(modelTally, a.member)
			if known && m.nodes[j].state.Vector().Holds(record.Position) && !m.nodes[i].peers[modelAddresses[j]].vector.Holds(record.Position) {
				return true
			}
		}
	}
	return false
}

// over reports whether nothing but exchanges and the end of the cut is left. What follows is checked in one
// order, that of settle.
func (m *model) over() bool {
	return m.addsAreSent() && m.restarts+m.lostDisks == 0 && !m.waits() && m.allReady()
}

func (m *model) allReady() bool {
	for _, n := range m.nodes {
		if !n.ready {
			return false
		}
	}
	return true
}

func (m *model) addsAreSent() bool {
	return !slices.ContainsFunc(m.adds, func(a modelAdd) bool { return a.outcome == addUnsent })
}

// waits reports whether an add waits for copies.
func (m *model) waits() bool {
	return slices.ContainsFunc(m.adds, func(a modelAdd) bool { return a.outcome == addWaiting })
}

var tallyModelSeed = maphash.MakeSeed()

// fingerprint distinguishes states that may evolve differently.
func (m *model) fingerprint() uint64 {
	text := make([]byte, 0, 512)
	text = append(text, byte(m.phase), byte(m.restarts), byte(m.lostDisks), byte(m.lostAt), flag(m.lost != nil))
	for k := range m.adds {
		a := &m.adds[k]
		text = append(text, byte(a.outcome), byte(a.at), byte(a.life), byte(a.phase), byte(a.position.Origin), byte(a.position.Sequence), flag(a.excused))
		text = append(text, flag(m.lost != nil && m.lost.holds(a.member)))
	}
	for _, n := range m.nodes {
		text = n.append(text)
	}
	for _, call := range m.calls {
		text = call.append(text)
	}
	return maphash.Bytes(tallyModelSeed, text)
}

func flag(set bool) byte {
	if set {
		return 1
	}
	return 0
}

func appendVector(text []byte, v tallies.Vector) []byte {
	if v == nil {
		return append(text, 0xff)
	}
	return binary.LittleEndian.AppendUint64(text, v.Digest())
}

func appendRuns(text []byte, runs []tallies.Run) []byte {
	for _, run := range runs {
		text = append(text, byte(run.Origin), byte(run.First), byte(len(run.Entries)))
		for i := range run.Entries {
			text = append(text, run.Entries[i].Member[0])
		}
	}
	return append(text, 0xfe)
}

// append appends all that distinguishes nodes. Ticks that a node missed from one that it reaches don't count.
func (n *modelNode) append(text []byte) []byte {
	text = append(text, flag(n.joined), flag(n.aloneTicks >= n.patienceTicks))
	text = append(text, byte(n.life), byte(n.diskLife), flag(n.ready), flag(n.complete), flag(n.disk.complete), flag(n.readyApart), byte(n.owedAtBoot))
	for origin := range modelLostOrigin + 1 {
		if run, _ := n.state.After(origin, 0, math.MaxInt); len(run.Entries) > 0 {
			text = appendRuns(text, []tallies.Run{run})
		}
	}
	for _, member := range []string{"x", "y"} {
		record, _ := n.state.Find(modelTally, member)
		text = append(text, byte(record.Position.Origin), byte(record.Position.Sequence))
	}
	for j, address := range modelAddresses {
		if p := n.peers[address]; p != nil {
			text = append(text, flag(p.reachable), flag(p.stalled), flag(p.settled), flag(p.complete), flag(n.pulling == p), byte(n.heard[j]))
			text = n.appendKnown(text, p.vector)
		}
	}
	return text
}

// appendKnown appends what a node knows of another one's vector, without what has no effect any more: entries
// of other nodes' logs that it holds itself. For an id that comes twice they tell how many copies there are.
func (n *modelNode) appendKnown(text []byte, v tallies.Vector) []byte {
	if v == nil {
		return append(text, 0xff)
	}
	for origin := range modelLostOrigin + 1 {
		last := v[origin]
		if !n.sameID && origin != n.state.Own() && last <= n.state.Last(origin) {
			last = 0
		}
		text = append(text, byte(last))
	}
	return text
}

// append appends all that distinguishes calls.
func (c *modelCall) append(text []byte) []byte {
	text = append(text, 0xfd, byte(c.from), byte(c.to), byte(c.life), byte(c.diskLife))
	text = appendVector(text, c.args.Vector)
	text = appendVector(text, c.sent)
	text = appendRuns(text, c.args.Runs)
	if c.reply != nil {
		text = append(text, 0xfc, flag(c.reply.Same), flag(c.reply.Complete), flag(c.reply.Stalled))
		text = appendVector(text, c.reply.Vector)
		text = appendRuns(text, c.reply.Runs)
	}
	return text
}

// searchResult tells how far a search went.
type searchResult struct {
	states    int
	ends      int // states from which the end was checked
	depth     int
	exhausted bool
	violation string
	trace     []string
}

// explore searches breadth first until it has seen all states, maxStates or a violation.
func explore(start *model, maxStates int) searchResult {
	seen := map[uint64]struct{}{start.fingerprint(): {}}
	frontier := []*model{start}
	result := searchResult{states: 1}
	for ; len(frontier) > 0; result.depth++ {
		var following []*model
		for at, state := range frontier {
			frontier[at] = nil
			state.next(func(next *model) {
				key := next.fingerprint()
				_, known := seen[key]
				if result.violation != "" || known && next.failure == "" {
					return // a step may break a rule on its way to a known state
				}
				seen[key] = struct{}{}
				result.states++
				if result.violation = next.check(&result); result.violation != "" {
					result.trace = next.trace()
				}
				following = append(following, next)
			})
			if result.violation != "" || result.states >= maxStates {
				return result
			}
		}
		frontier = following
	}
	result.exhausted = true
	return result
}

// check returns a broken rule, also of the end if nothing but messages is left to happen.
func (m *model) check(result *searchResult) string {
	if text := m.violation(); text != "" {
		return text
	}
	if !m.over() {
		return ""
	}
	result.ends++
	end := m.clone()
	end.merge()
	return end.failure
}

// trace returns the steps that lead to a state.
func (m *model) trace() []string {
	var steps []string
	for path := m.path; path != nil; path = path.before {
		steps = append(steps, path.last.String())
	}
	slices.Reverse(steps)
	return steps
}

// cuts are the shapes of a cut of three nodes.
var (
	oneApart   = func(from, to int) bool { return (from == 0) != (to == 0) }
	oneWay     = func(from, to int) bool { return from == 0 && to == 1 }
	bridge     = func(from, to int) bool { return from+to == 1 }
	modelCases = []modelCase{
		{"two adds", modelBounds{adds: 2}, true},
		{"an id at two nodes", modelBounds{adds: 2, sameID: true}, true},
		{"a restart", modelBounds{adds: 1, restarts: 1}, true},
		{"a restart of all", modelBounds{adds: 1, restarts: 1, restartAll: true}, true},
		{"a lost disk", modelBounds{adds: 1, lostDisks: 1}, true},
		{"one apart", modelBounds{cut: oneApart, adds: 1}, true},
		{"one way", modelBounds{cut: oneWay, adds: 1}, true},
		{"bridge", modelBounds{cut: bridge, adds: 1}, true},
		{"one apart, a lost disk", modelBounds{cut: oneApart, adds: 1, lostDisks: 1}, false},
		{"one way, a lost disk", modelBounds{cut: oneWay, adds: 1, lostDisks: 1}, false},
		{"bridge, a lost disk", modelBounds{cut: bridge, adds: 1, lostDisks: 1}, false},
		{"one apart, a restart", modelBounds{cut: oneApart, adds: 1, restarts: 1}, true},
		{"one way, a restart", modelBounds{cut: oneWay, adds: 1, restarts: 1}, true},
		{"bridge, a restart", modelBounds{cut: bridge, adds: 1, restarts: 1}, true},
		{"two adds, one apart", modelBounds{cut: oneApart, adds: 2}, false},
		{"two adds, one way", modelBounds{cut: oneWay, adds: 2}, false},
		{"two adds, bridge", modelBounds{cut: bridge, adds: 2}, false},
		{"an id at two nodes, one apart", modelBounds{cut: oneApart, adds: 2, sameID: true}, false},
		{"a lost disk and a restart", modelBounds{adds: 1, restarts: 1, lostDisks: 1}, false},
		{"late messages", modelBounds{adds: 1, maxCalls: 2}, true},
		{"late messages, a lost disk", modelBounds{adds: 1, maxCalls: 2, lostDisks: 1}, false},
		{"late messages, a restart", modelBounds{adds: 1, maxCalls: 2, restarts: 1}, true},
		{"late messages, one apart", modelBounds{cut: oneApart, adds: 1, maxCalls: 2}, true},
		{"late messages, one way", modelBounds{cut: oneWay, adds: 1, maxCalls: 2}, true},
		{"all, no cut", modelBounds{adds: 2, restarts: 1, lostDisks: 1}, false},
		{"all, one apart", modelBounds{cut: oneApart, adds: 2, restarts: 1, lostDisks: 1}, false},
		{"all, one way", modelBounds{cut: oneWay, adds: 2, restarts: 1, lostDisks: 1}, false},
		{"all, bridge", modelBounds{cut: bridge, adds: 2, restarts: 1, lostDisks: 1}, false},
		{"all, one apart, an id at two nodes", modelBounds{cut: oneApart, adds: 2, sameID: true, restarts: 1, lostDisks: 1}, false},
		{"all, one apart, late messages", modelBounds{cut: oneApart, adds: 2, maxCalls: 2, restarts: 1, lostDisks: 1}, false},
	}
)

// modelCase is a search that is made to its end, or up to a number of states.
type modelCase struct {
	name     string
	bounds   modelBounds
	complete bool
}

func silenceLog(t *testing.T) {
	klog.SetLogger(logr.Discard())
	t.Cleanup(klog.ClearLogger)
}

// modelStateLimit returns the number of states after which a search is not continued, and whether it was asked
// for. TALLY_MODEL_STATES asks for a longer search.
func modelStateLimit() (limit int, long bool) {
	requested, err := strconv.Atoi(os.Getenv("TALLY_MODEL_STATES"))
	if err != nil {
		return modelStates, false
	}
	return requested, true
}

// modelStates bounds the searches that are not made to their end, modelDepth is how deep these must come.
const (
	modelStates = 12_000
	modelDepth  = 3
	// modelCompleteStates is more than any search that is made to its end needs.
	modelCompleteStates = 200_000
	// modelDefectStates is more than it takes to find any of the defects.
	modelDefectStates = 400_000
)

// The rules must hold whatever the order of messages and troubles.
func TestModelFindsNoBrokenRuleOfTallies(t *testing.T) {
	silenceLog(t)
	limit, long := modelStateLimit()
	for _, test := range modelCases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			most := limit
			if test.complete && !long {
				most = modelCompleteStates
			}
			started := time.Now()
			result := explore(newModel(&test.bounds), most)
			assert.Equal(t, result.violation, "", "%s", strings.Join(result.trace, "\n"))
			t.Logf("%d states, %d ends, %d steps deep, exhausted: %v, in %v", result.states, result.ends, result.depth, result.exhausted, time.Since(started))
			assert.Assert(t, result.exhausted || !test.complete && result.depth >= modelDepth, "%+v", result)
		})
	}
}

// walk takes random steps until nothing but exchanges is left, and checks the rules after each.
func walk(m *model, random *rand.Rand, result *searchResult) {
	for result.violation == "" {
		var following []*model
		m.next(func(next *model) { following = append(following, next) })
		if len(following) == 0 {
			return
		}
		m = following[random.IntN(len(following))]
		result.states++
		result.violation = m.check(result)
		result.trace = m.trace()
	}
}

// modelWalks is the number of random walks of each kind. TALLY_MODEL_WALKS overrides it.
const modelWalks = 300

// All troubles together leave too many states to explore; random walks go through them to the end.
func TestModelWalksFindNoBrokenRuleOfTallies(t *testing.T) {
	silenceLog(t)
	walks := modelWalks
	if requested, err := strconv.Atoi(os.Getenv("TALLY_MODEL_WALKS")); err == nil {
		walks = requested
	}
	for _, test := range modelCases {
		if test.complete {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var result searchResult
			start := newModel(&test.bounds)
			for seed := range uint64(walks) {
				walk(start, rand.New(rand.NewPCG(seed, 48)), &result)
				assert.Equal(t, result.violation, "", "seed %d: %s", seed, strings.Join(result.trace, "\n"))
			}
			t.Logf("%d walks, %d steps, %d ends", walks, result.states, result.ends)
			assert.Assert(t, result.ends > walks/2)
		})
	}
}

// A node that lost its disk had nothing to tell when a restarted node heard it first. Once it is complete it
// may hold the add that the restarted node misses.
func TestRestartedNodeDoesNotTakeAnEmptiedDiskForHeardAfterItIsComplete(t *testing.T) {
	silenceLog(t)
	m := newModel(&modelBounds{adds: 1})
	assert.Assert(t, m.sendAdd(0, 0))
	m.exchangeAtOnce(0, 1)
	m.acknowledgeAll()
	assert.Equal(t, m.adds[0].outcome, addAcknowledged)
	m.loseDisk(0)
	m.exchangeAtOnce(0, 1)
	m.exchangeAtOnce(0, 2)
	m.restart(2)
	m.exchangeAtOnce(2, 0)
	m.exchangeAtOnce(0, 1) // completes the emptied disk
	m.exchangeAtOnce(2, 0)
	assert.Equal(t, m.violation(), "")
}

// assertCaught checks that the model finds a wrong variant to break a rule.
func assertCaught(t *testing.T, bounds modelBounds, rule string) {
	t.Helper()
	silenceLog(t)
	result := explore(newModel(&bounds), modelDefectStates)
	t.Logf("after %d states: %s\n%s", result.states, result.violation, strings.Join(result.trace, "\n"))
	assert.Assert(t, strings.HasPrefix(result.violation, rule), "%q within %d states", result.violation, result.states)
}

func TestModelCatchesAcknowledgementAfterOneCopy(t *testing.T) {
	assertCaught(t, modelBounds{adds: 1, defects: modelDefects{oneCopySuffices: true}}, "LOST")
}

// The same, seen by the loss of the only disk.
func TestModelCatchesTheLossOfTheOnlyCopy(t *testing.T) {
	assertCaught(t, modelBounds{adds: 1, lostDisks: 1, defects: modelDefects{oneCopySuffices: true, copiesAreNotCounted: true}}, "LOST: add 0 is on no disk")
}

func TestModelCatchesReadBeforeTheFirstExchangeOfAnEmptyDisk(t *testing.T) {
	assertCaught(t, modelBounds{adds: 1, lostDisks: 1, defects: modelDefects{readyAtOnce: true}}, "STALE")
}

func TestModelCatchesMergeBySum(t *testing.T) {
	assertCaught(t, modelBounds{adds: 2, sameID: true, defects: modelDefects{sumOfLogs: true}}, "TWICE")
	assertCaught(t, modelBounds{cut: oneApart, adds: 2, sameID: true, defects: modelDefects{sumOfLogs: true}}, "TWICE")
}

func TestModelCatchesOldVectorOfAnEmptiedDiskCountedAsACopy(t *testing.T) {
	assertCaught(t, modelBounds{adds: 2, sameID: true, lostDisks: 1, defects: modelDefects{vectorsOnlyGrow: true}}, "LOST")
}

func TestModelCatchesSequenceOfALostDiskThatStartsAgain(t *testing.T) {
	assertCaught(t, modelBounds{cut: oneApart, adds: 2, lostDisks: 1, defects: modelDefects{originIsContinued: true}}, "LOST")
}
