package turns

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A whole turn whose line was forgotten meanwhile can't be gone on from: it isn't kept, and
// nobody may be told that it is.
func TestTurnWithoutItsLineIsNotKept(t *testing.T) {
	m := New(zeroClock)
	apply(t, m, completeTurn("p", "a", "", "in1", "out1\n", 1))
	assert.Equal(t, apply(t, m, admit("q", "b", "a", 10, 5)), Accepted)
	apply(t, m, Command{Forget: []IdleProgram{{Program: "p", Steps: 2}}})
	_, found := m.History("a")
	assert.Assert(t, !found)
	ending := completeTurn("q", "b", "a", "in2", "out2\n", 3)
	assert.Equal(t, apply(t, m, ending), UnknownTurn)
	_, found = m.History("b")
	assert.Assert(t, !found)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 6)), BudgetExhausted, "the try still counts at its most")
	ending.Finish.Imported = []byte("in1out1\n")
	assert.Equal(t, apply(t, m, ending), Accepted, "with all that was said before it is kept")
	text, _ := m.History("b")
	assert.Equal(t, string(text), "in1out1\nin2out2\n")
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 6)), Accepted)
}

func TestTurnWithoutItsLineMayBeSettled(t *testing.T) {
	m := New(zeroClock)
	assert.Equal(t, apply(t, m, completeTurn("q", "b", "gone", "in", "out\n", 3)), UnknownTurn)
	assert.Equal(t, apply(t, m, failedAttempt("q", "b", 3)), Accepted)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 8)), BudgetExhausted)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 7)), Accepted)
}

// A node that gives a try up which another node has must not end it: what the other hands out
// would count no more, and its whole turn would be lost.
func TestTryIsEndedByTheNodeThatHasIt(t *testing.T) {
	m := New(zeroClock)
	admission := admit("p", "a", "", 10, 8)
	admission.Admit.Token = 1
	assert.Equal(t, apply(t, m, admission), Accepted)
	given := failedAttempt("p", "a", 0)
	given.Finish.Token = 2
	assert.Equal(t, apply(t, m, given), AttemptClosed)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 10, 3)), BudgetExhausted, "it still counts")
	ending := completeTurn("p", "a", "", "in", "out\n", 8)
	ending.Finish.Token = 1
	assert.Equal(t, apply(t, m, ending), Accepted)
	assert.Equal(t, apply(t, m, given), Accepted, "it has ended")
	_, found := m.History("a")
	assert.Assert(t, found)
}
