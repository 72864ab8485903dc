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

func TestHistoryStartsWithTheOldestTurn(t *testing.T) {
	m := New(zeroClock)
	assert.Equal(t, apply(t, m, completeTurn("p", "a", "", "in1", "out1\n", 1)), Accepted)
	assert.Equal(t, apply(t, m, completeTurn("p", "b", "a", "in2", "out2\n", 1)), Accepted)
	assert.Equal(t, apply(t, m, completeTurn("p", "c", "a", "branch", "x\n", 1)), Accepted)
	text, found := m.History("b")
	assert.Assert(t, found)
	assert.Equal(t, string(text), "in1out1\nin2out2\n")
	text, _ = m.History("c")
	assert.Equal(t, string(text), "in1out1\nbranchx\n", "a branch includes only the history of its parent")
	_, found = m.History("d")
	assert.Assert(t, !found)
}

func TestContinuationOutlivesAForgottenProgram(t *testing.T) {
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

func TestImportedHistoryPrecedesTheTurn(t *testing.T) {
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
	assert.Equal(t, apply(t, m, admit("p", "a", "", 100, 40)), Accepted, "a repeated admission must count once")
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 60)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "c", "", 100, 1)), BudgetExhausted)
	assert.Equal(t, apply(t, m, completeTurn("p", "a", "", "i", "o", 10)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "c", "a", 100, 30)), Accepted, "tokens that a turn did not produce return to the budget")
	assert.Equal(t, apply(t, m, admit("p", "d", "a", 100, 1)), BudgetExhausted)
	assert.Equal(t, apply(t, m, failedAttempt("p", "b", 0)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 1)), AttemptClosed, "an attempt that ended must not start again")
}

func TestAdmissionAfterCompletionReservesNothing(t *testing.T) {
	m := New(zeroClock)
	assert.Equal(t, apply(t, m, failedAttempt("p", "a", 0)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "a", "", 100, 40)), AttemptClosed, "an admission that arrives after its completion must reserve nothing")
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 100)), Accepted)
}

func TestRepeatedCompletionCountsOnce(t *testing.T) {
	m := New(zeroClock)
	apply(t, m, admit("p", "a", "", 100, 40))
	assert.Equal(t, apply(t, m, completeTurn("p", "a", "", "i", "o", 40)), Accepted)
	assert.Equal(t, apply(t, m, completeTurn("p", "a", "", "i", "o", 40)), Accepted)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 100, 60)), Accepted)
	assert.Equal(t, apply(t, m, failedAttempt("p", "b", 60)), Accepted)
	assert.Equal(t, apply(t, m, completeTurn("p", "b", "", "i", "o", 60)), AttemptClosed, "an abandoned attempt must not become a turn")
}

// Whatever the order of commands, the tokens produced must not exceed the budget, because no
// turn produces more than its maximum.
func TestBudgetIsNeverExceeded(t *testing.T) {
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
				t.Fatalf("%d tokens produced, budget %d", out, budget)
			}
		}
	})
}

func TestOnlyIdleProgramsAreForgotten(t *testing.T) {
	now := time.Duration(0)
	m := New(func() time.Duration { return now })
	apply(t, m, completeTurn("old", "a", "", "i", "o", 1))
	now = 50 * time.Second
	apply(t, m, completeTurn("new", "b", "", "i", "o", 1))
	now = 75 * time.Second
	idle := m.IdlePrograms(10*time.Second, 10)
	assert.DeepEqual(t, idle, []IdleProgram{{Program: "old", Steps: 1}})
	assert.Equal(t, len(m.IdlePrograms(20*time.Second, 10)), 0)
	apply(t, m, Command{Forget: append(idle, IdleProgram{Program: "unknown"})})
	turns, programs := m.Size()
	assert.Equal(t, turns, 1)
	assert.Equal(t, programs, 1)
}

// A program that is used between the check for idle programs and the command that forgets it
// must be kept.
func TestProgramUsedAgainIsNotForgotten(t *testing.T) {
	now := time.Duration(0)
	m := New(func() time.Duration { return now })
	apply(t, m, completeTurn("p", "a", "", "i", "o", 1))
	apply(t, m, completeTurn("q", "b", "", "i", "o", 1))
	now = 2 * time.Minute
	idle := m.IdlePrograms(0, 10)
	assert.Equal(t, len(idle), 2)
	apply(t, m, admit("p", "c", "a", 100, 10))
	apply(t, m, admit("r", "d", "b", 100, 10))
	apply(t, m, Command{Forget: idle})
	_, found := m.History("a")
	assert.Assert(t, found, "the program has a newer turn")
	_, found = m.History("b")
	assert.Assert(t, found, "another program's turn continues it")
	now = 4 * time.Minute
	assert.Equal(t, len(m.IdlePrograms(0, 10)), 1, "an open attempt keeps its program, so only q is idle")
}

func TestAttemptOfAnotherNodeIsRejected(t *testing.T) {
	m := New(zeroClock)
	first := admit("p", "a", "", 100, 40)
	first.Admit.Token = 1
	assert.Equal(t, apply(t, m, first), Accepted)
	assert.Equal(t, apply(t, m, first), Accepted, "repeated")
	second := admit("p", "a", "", 100, 40)
	second.Admit.Token = 2
	assert.Equal(t, apply(t, m, second), AttemptClosed)
}

func TestSnapshotRestoresTheWholeState(t *testing.T) {
	m := New(zeroClock)
	apply(t, m, completeTurn("p", "a", "", strings.Repeat("x", 1000), "o\n", 7))
	apply(t, m, admit("p", "b", "a", 100, 50))
	other := New(zeroClock)
	assert.NilError(t, other.Restore(m.Snapshot()))
	text, found := other.History("a")
	assert.Assert(t, found)
	assert.Equal(t, len(text), 1002)
	assert.Equal(t, apply(t, other, admit("p", "c", "a", 100, 44)), BudgetExhausted, "the open attempt must still count")
	assert.Equal(t, apply(t, other, admit("p", "c", "a", 100, 43)), Accepted)
	assert.ErrorContains(t, other.Restore([]byte{0xff}), "restore")
}
