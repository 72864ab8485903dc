package turns

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func still() time.Duration { return 0 }

func apply(t assert.TestingT, m *Machine, c Command) Result {
	text, err := c.Encode()
	assert.NilError(t, err)
	result, err := ReadResult(m.Apply(text))
	assert.NilError(t, err)
	return result
}

func admit(program, attempt, previous string, budget, most uint64) Command {
	return Command{Admit: &Admission{Program: program, Attempt: attempt, Previous: previous, Budget: budget, Most: most, Keep: time.Minute}}
}

func whole(program, attempt, previous, input, output string, tokens uint64) Command {
	return Command{End: &Ending{Program: program, Attempt: attempt, Previous: previous, Whole: true, Tokens: tokens, Input: []byte(input), Output: []byte(output), Keep: time.Minute}}
}

func failed(program, attempt string, tokens uint64) Command {
	return Command{End: &Ending{Program: program, Attempt: attempt, Tokens: tokens}}
}

func TestHistoryIsTheLineFromTheOldestTurnOn(t *testing.T) {
	m := New(still)
	assert.Equal(t, apply(t, m, whole("p", "a", "", "in1", "out1\n", 1)), Granted)
	assert.Equal(t, apply(t, m, whole("p", "b", "a", "in2", "out2\n", 1)), Granted)
	assert.Equal(t, apply(t, m, whole("p", "c", "a", "branch", "x\n", 1)), Granted)
	text, found := m.History("b")
	assert.Assert(t, found)
	assert.Equal(t, string(text), "in1out1\nin2out2\n")
	text, _ = m.History("c")
	assert.Equal(t, string(text), "in1out1\nbranchx\n", "a branch holds its parent's line alone")
	_, found = m.History("d")
	assert.Assert(t, !found)
}

func TestTurnOfAnotherProgramOutlivesIt(t *testing.T) {
	m := New(still)
	apply(t, m, whole("p", "a", "", "in1", "out1\n", 1))
	apply(t, m, whole("q", "b", "a", "in2", "out2\n", 1))
	apply(t, m, Command{Forget: []Rest{{Program: "p", Steps: 1}}})
	text, found := m.History("b")
	assert.Assert(t, found)
	assert.Equal(t, string(text), "in1out1\nin2out2\n")
	_, found = m.History("a")
	assert.Assert(t, !found)
}

func TestImportedHistoryStandsFirst(t *testing.T) {
	m := New(still)
	c := whole("q", "b", "elsewhere", "in2", "out2\n", 1)
	c.End.Imported = []byte("before")
	apply(t, m, c)
	text, found := m.History("b")
	assert.Assert(t, found)
	assert.Equal(t, string(text), "beforein2out2\n")
}

func TestAdmission(t *testing.T) {
	m := New(still)
	assert.Equal(t, apply(t, m, admit("p", "a", "unknown", 100, 40)), Missing)
	assert.Equal(t, apply(t, m, admit("p", "a", "", 100, 40)), Granted)
	assert.Equal(t, apply(t, m, admit("p", "a", "", 100, 40)), Granted, "told again it counts once")
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 60)), Granted)
	assert.Equal(t, apply(t, m, admit("p", "c", "", 100, 1)), Spent)
	assert.Equal(t, apply(t, m, whole("p", "a", "", "i", "o", 10)), Granted)
	assert.Equal(t, apply(t, m, admit("p", "c", "a", 100, 30)), Granted, "what a turn didn't put out is free again")
	assert.Equal(t, apply(t, m, admit("p", "d", "a", 100, 1)), Spent)
	assert.Equal(t, apply(t, m, failed("p", "b", 0)), Granted)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 1)), Closed, "a try that ended doesn't begin again")
}

func TestEndBeforeItsAdmission(t *testing.T) {
	m := New(still)
	assert.Equal(t, apply(t, m, failed("p", "a", 0)), Granted)
	assert.Equal(t, apply(t, m, admit("p", "a", "", 100, 40)), Closed, "an admission that was overtaken reserves nothing")
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 100)), Granted)
}

func TestEndCountsOnce(t *testing.T) {
	m := New(still)
	apply(t, m, admit("p", "a", "", 100, 40))
	assert.Equal(t, apply(t, m, whole("p", "a", "", "i", "o", 40)), Granted)
	assert.Equal(t, apply(t, m, whole("p", "a", "", "i", "o", 40)), Granted)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 60)), Granted)
	assert.Equal(t, apply(t, m, failed("p", "b", 60)), Granted)
	assert.Equal(t, apply(t, m, whole("p", "b", "", "i", "o", 60)), Closed, "a try that was given up is no turn")
}

// Whatever comes in whatever order, what is handed out never exceeds the budget, since no
// turn puts out more than its most.
func TestBudgetIsNeverOverdrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(still)
		budget := uint64(rapid.IntRange(0, 200).Draw(t, "budget"))
		granted := map[string]uint64{}
		ended := map[string]bool{}
		out := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch id := fmt.Sprint(rapid.IntRange(0, 20).Draw(t, "attempt")); rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				most := uint64(rapid.IntRange(1, 60).Draw(t, "most"))
				if _, again := granted[id]; again {
					most = granted[id]
				}
				if apply(t, m, admit("p", id, "", budget, most)) == Granted && !ended[id] {
					granted[id] = most
				}
			case 2:
				if most, ok := granted[id]; ok && !ended[id] {
					tokens := uint64(rapid.IntRange(0, int(most)).Draw(t, "tokens"))
					out += tokens
					ended[id] = true
					apply(t, m, failed("p", id, tokens))
				}
			case 3:
				if i%5 == 0 {
					assert.NilError(t, m.Restore(m.Snapshot()))
				}
			}
			if out > budget {
				t.Fatalf("%d tokens handed out of %d", out, budget)
			}
		}
	})
}

func TestForgetsOnlyWhatRests(t *testing.T) {
	now := time.Duration(0)
	m := New(func() time.Duration { return now })
	apply(t, m, whole("old", "a", "", "i", "o", 1))
	now = 50 * time.Second
	apply(t, m, whole("new", "b", "", "i", "o", 1))
	now = 75 * time.Second
	resting := m.Resting(10*time.Second, 10)
	assert.DeepEqual(t, resting, []Rest{{Program: "old", Steps: 1}})
	assert.Equal(t, len(m.Resting(20*time.Second, 10)), 0)
	apply(t, m, Command{Forget: append(resting, Rest{Program: "unknown"})})
	turns, programs := m.Size()
	assert.Equal(t, turns, 1)
	assert.Equal(t, programs, 1)
}

// What comes between the look at a program and its end goes before.
func TestProgramThatGoesOnIsNotForgotten(t *testing.T) {
	now := time.Duration(0)
	m := New(func() time.Duration { return now })
	apply(t, m, whole("p", "a", "", "i", "o", 1))
	apply(t, m, whole("q", "b", "", "i", "o", 1))
	now = 2 * time.Minute
	resting := m.Resting(0, 10)
	assert.Equal(t, len(resting), 2)
	apply(t, m, admit("p", "c", "a", 100, 10))
	apply(t, m, admit("r", "d", "b", 100, 10))
	apply(t, m, Command{Forget: resting})
	_, found := m.History("a")
	assert.Assert(t, found, "its own next turn")
	_, found = m.History("b")
	assert.Assert(t, found, "another program's turn goes on from it")
	now = 4 * time.Minute
	assert.Equal(t, len(m.Resting(0, 10)), 1, "a try that is open keeps its program: only q rests")
}

func TestTryOfAnotherNodeIsRefused(t *testing.T) {
	m := New(still)
	first := admit("p", "a", "", 100, 40)
	first.Admit.Token = 1
	assert.Equal(t, apply(t, m, first), Granted)
	assert.Equal(t, apply(t, m, first), Granted, "asked again")
	second := admit("p", "a", "", 100, 40)
	second.Admit.Token = 2
	assert.Equal(t, apply(t, m, second), Closed)
}

func TestSnapshotHoldsAll(t *testing.T) {
	m := New(still)
	apply(t, m, whole("p", "a", "", strings.Repeat("x", 1000), "o\n", 7))
	apply(t, m, admit("p", "b", "a", 100, 50))
	other := New(still)
	assert.NilError(t, other.Restore(m.Snapshot()))
	text, found := other.History("a")
	assert.Assert(t, found)
	assert.Equal(t, len(text), 1002)
	assert.Equal(t, apply(t, other, admit("p", "c", "a", 100, 44)), Spent, "the open try still counts")
	assert.Equal(t, apply(t, other, admit("p", "c", "a", 100, 43)), Granted)
	assert.ErrorContains(t, other.Restore([]byte{0xff}), "restore")
}
