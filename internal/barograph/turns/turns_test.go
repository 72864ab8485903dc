package turns

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func zeroClock() time.Duration { return 0 }

func apply(t assert.TestingT, m *Machine, c Command) Result {
	text, err := c.Encode()
	assert.NilError(t, err)
	result, err := ReadResult(m.Apply(text))
	assert.NilError(t, err)
	return result
}

func admit(program, attempt, previous string, budget, most uint64) Command {
	return Command{Admit: &Admission{Program: program, Attempt: attempt, Previous: previous, Budget: budget, MaxTokens: most, Retention: time.Minute}}
}

func completeTurn(program, attempt, previous, input, output string, tokens uint64) Command {
	return Command{Finish: &Completion{Program: program, Attempt: attempt, Previous: previous, Complete: true, Tokens: tokens, Input: []byte(input), Output: []byte(output), Retention: time.Minute}}
}

func failedAttempt(program, attempt string, tokens uint64) Command {
	return Command{Finish: &Completion{Program: program, Attempt: attempt, Tokens: tokens}}
}

func TestHistoryIsTheLineFromTheOldestTurnOn(t *testing.T) {
	m := New(zeroClock)
	assert.Equal(t, apply(t, m, completeTurn("p", "a", "", "in1", "out1\n", 1)), Accepted)
	assert.Equal(t, apply(t, m, completeTurn("p", "b", "a", "in2", "out2\n", 1)), Accepted)
	assert.Equal(t, apply(t, m, completeTurn("p", "c", "a", "branch", "x\n", 1)), Accepted)
	text, found := m.History("b")
	assert.Assert(t, found)
	assert.Equal(t, string(text), "in1out1\nin2out2\n")
	text, _ = m.History("c")
	assert.Equal(t, string(text), "in1out1\nbranchx\n", "a branch holds its parent's line alone")
	_, found = m.History("d")
	assert.Assert(t, !found)
}

func TestTurnOfAnotherProgramOutlivesIt(t *testing.T) {
	m := New(zeroClock)
	apply(t, m, completeTurn("p", "a", "", "in1", "out1\n", 1))
	apply(t, m, completeTurn("q", "b", "a", "in2", "out2\n", 1))
	apply(t, m, Command{Forget: []IdleProgram{{Program: "p", Steps: 1}}})
	text, found := m.History("b")
	assert.Assert(t, found)
	assert.Equal(t, string(text), "in1out1\nin2out2\n")
	_, found = m.History("a")
	assert.Assert(t, !found)
}

func TestImportedHistoryStandsFirst(t *testing.T) {
	m := New(zeroClock)
	c := completeTurn("q", "b", "elsewhere", "in2", "out2\n", 1)
	c.Finish.Imported = []byte("before")
	apply(t, m, c)
	text, found := m.History("b")
	assert.Assert(t, found)
	assert.Equal(t, string(text), "beforein2out2\n")
}

func TestAdmission(t *testing.T) {
	m := New(zeroClock)
	assert.Equal(t, apply(t, m, admit("p", "a", "unknown", 100, 40)), UnknownTurn)
	assert.Equal(t, apply(t, m, admit("p", "a", "", 100, 40)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "a", "", 100, 40)), Accepted, "told again it counts once")
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 60)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "c", "", 100, 1)), BudgetExhausted)
	assert.Equal(t, apply(t, m, completeTurn("p", "a", "", "i", "o", 10)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "c", "a", 100, 30)), Accepted, "what a turn didn't put out is free again")
	assert.Equal(t, apply(t, m, admit("p", "d", "a", 100, 1)), BudgetExhausted)
	assert.Equal(t, apply(t, m, failedAttempt("p", "b", 0)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 1)), AttemptClosed, "a try that ended doesn't begin again")
}

func TestEndBeforeItsAdmission(t *testing.T) {
	m := New(zeroClock)
	assert.Equal(t, apply(t, m, failedAttempt("p", "a", 0)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "a", "", 100, 40)), AttemptClosed, "an admission that was overtaken reserves nothing")
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 100)), Accepted)
}

func TestEndCountsOnce(t *testing.T) {
	m := New(zeroClock)
	apply(t, m, admit("p", "a", "", 100, 40))
	assert.Equal(t, apply(t, m, completeTurn("p", "a", "", "i", "o", 40)), Accepted)
	assert.Equal(t, apply(t, m, completeTurn("p", "a", "", "i", "o", 40)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 60)), Accepted)
	assert.Equal(t, apply(t, m, failedAttempt("p", "b", 60)), Accepted)
	assert.Equal(t, apply(t, m, completeTurn("p", "b", "", "i", "o", 60)), AttemptClosed, "a try that was given up is no turn")
}

// Whatever comes in whatever order, what is handed out never exceeds the budget, since no
// turn puts out more than its most.
func TestBudgetIsNeverOverdrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(zeroClock)
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
				if apply(t, m, admit("p", id, "", budget, most)) == Accepted && !ended[id] {
					granted[id] = most
				}
			case 2:
				if most, ok := granted[id]; ok && !ended[id] {
					tokens := uint64(rapid.IntRange(0, int(most)).Draw(t, "tokens"))
					out += tokens
					ended[id] = true
					apply(t, m, failedAttempt("p", id, tokens))
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
	apply(t, m, completeTurn("old", "a", "", "i", "o", 1))
	now = 50 * time.Second
	apply(t, m, completeTurn("new", "b", "", "i", "o", 1))
	now = 75 * time.Second
	resting := m.IdlePrograms(10*time.Second, 10)
	assert.DeepEqual(t, resting, []IdleProgram{{Program: "old", Steps: 1}})
	assert.Equal(t, len(m.IdlePrograms(20*time.Second, 10)), 0)
	apply(t, m, Command{Forget: append(resting, IdleProgram{Program: "unknown"})})
	turns, programs := m.Size()
	assert.Equal(t, turns, 1)
	assert.Equal(t, programs, 1)
}

// What comes between the look at a program and its end goes before.
func TestProgramThatGoesOnIsNotForgotten(t *testing.T) {
	now := time.Duration(0)
	m := New(func() time.Duration { return now })
	apply(t, m, completeTurn("p", "a", "", "i", "o", 1))
	apply(t, m, completeTurn("q", "b", "", "i", "o", 1))
	now = 2 * time.Minute
	resting := m.IdlePrograms(0, 10)
	assert.Equal(t, len(resting), 2)
	apply(t, m, admit("p", "c", "a", 100, 10))
	apply(t, m, admit("r", "d", "b", 100, 10))
	apply(t, m, Command{Forget: resting})
	_, found := m.History("a")
	assert.Assert(t, found, "its own next turn")
	_, found = m.History("b")
	assert.Assert(t, found, "another program's turn goes on from it")
	now = 4 * time.Minute
	assert.Equal(t, len(m.IdlePrograms(0, 10)), 1, "a try that is open keeps its program: only q rests")
}

func TestTryOfAnotherNodeIsRefused(t *testing.T) {
	m := New(zeroClock)
	first := admit("p", "a", "", 100, 40)
	first.Admit.Token = 1
	assert.Equal(t, apply(t, m, first), Accepted)
	assert.Equal(t, apply(t, m, first), Accepted, "asked again")
	second := admit("p", "a", "", 100, 40)
	second.Admit.Token = 2
	assert.Equal(t, apply(t, m, second), AttemptClosed)
}

func TestSnapshotHoldsAll(t *testing.T) {
	m := New(zeroClock)
	apply(t, m, completeTurn("p", "a", "", strings.Repeat("x", 1000), "o\n", 7))
	apply(t, m, admit("p", "b", "a", 100, 50))
	other := New(zeroClock)
	assert.NilError(t, other.Restore(m.Snapshot()))
	text, found := other.History("a")
	assert.Assert(t, found)
	assert.Equal(t, len(text), 1002)
	assert.Equal(t, apply(t, other, admit("p", "c", "a", 100, 44)), BudgetExhausted, "the open try still counts")
	assert.Equal(t, apply(t, other, admit("p", "c", "a", 100, 43)), Accepted)
	assert.ErrorContains(t, other.Restore([]byte{0xff}), "restore")
}
