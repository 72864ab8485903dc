package turns

import (
	"testing"

	"gotest.tools/v3/assert"
)

// No turn can continue a complete turn whose history was forgotten in the meantime. It must
// not be stored, and nobody may be told that it is.
func TestCompleteTurnWithoutHistoryIsNotStored(t *testing.T) {
	m := New(zeroClock)
	apply(t, m, completeTurn("p", "a", "", "in1", "out1\n", 1))
	assert.Equal(t, apply(t, m, admit("q", "b", "a", 10, 5)), Accepted)
	apply(t, m, Command{Forget: []IdleProgram{{Program: "p", Steps: 2}}})
	_, found := m.History("a")
	assert.Assert(t, !found)
	completion := completeTurn("q", "b", "a", "in2", "out2\n", 3)
	assert.Equal(t, apply(t, m, completion), UnknownTurn)
	_, found = m.History("b")
	assert.Assert(t, !found)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 6)), BudgetExhausted, "the attempt must still count with its maximum")
	completion.Finish.Imported = []byte("in1out1\n")
	assert.Equal(t, apply(t, m, completion), Accepted, "with the whole history the turn is stored")
	text, _ := m.History("b")
	assert.Equal(t, string(text), "in1out1\nin2out2\n")
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 6)), Accepted)
}

func TestAttemptWithoutHistoryCanFinishAsFailed(t *testing.T) {
	m := New(zeroClock)
	assert.Equal(t, apply(t, m, completeTurn("q", "b", "gone", "in", "out\n", 3)), UnknownTurn)
	assert.Equal(t, apply(t, m, failedAttempt("q", "b", 3)), Accepted)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 8)), BudgetExhausted)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 7)), Accepted)
}

// A node that abandons an attempt of another node must not end it: the tokens that the other
// node produces would no longer count, and its complete turn would be lost.
func TestOnlyTheAdmittingNodeEndsAnAttempt(t *testing.T) {
	m := New(zeroClock)
	admission := admit("p", "a", "", 10, 8)
	admission.Admit.Token = 1
	assert.Equal(t, apply(t, m, admission), Accepted)
	abandoned := failedAttempt("p", "a", 0)
	abandoned.Finish.Token = 2
	assert.Equal(t, apply(t, m, abandoned), AttemptClosed)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 10, 3)), BudgetExhausted, "the attempt must still count")
	completion := completeTurn("p", "a", "", "in", "out\n", 8)
	completion.Finish.Token = 1
	assert.Equal(t, apply(t, m, completion), Accepted)
	assert.Equal(t, apply(t, m, abandoned), Accepted, "the attempt has ended")
	_, found := m.History("a")
	assert.Assert(t, found)
}
