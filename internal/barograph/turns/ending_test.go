package turns

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A whole turn whose line was forgotten meanwhile can't be gone on from: it isn't kept, and
// nobody may be told that it is.
func TestTurnWithoutItsLineIsNotKept(t *testing.T) {
	m := New(still)
	apply(t, m, whole("p", "a", "", "in1", "out1\n", 1))
	assert.Equal(t, apply(t, m, admit("q", "b", "a", 10, 5)), Granted)
	apply(t, m, Command{Forget: []Rest{{Program: "p", Steps: 2}}})
	_, found := m.History("a")
	assert.Assert(t, !found)
	ending := whole("q", "b", "a", "in2", "out2\n", 3)
	assert.Equal(t, apply(t, m, ending), Missing)
	_, found = m.History("b")
	assert.Assert(t, !found)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 6)), Spent, "the try still counts at its most")
	ending.End.Imported = []byte("in1out1\n")
	assert.Equal(t, apply(t, m, ending), Granted, "with all that was said before it is kept")
	text, _ := m.History("b")
	assert.Equal(t, string(text), "in1out1\nin2out2\n")
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 6)), Granted)
}

func TestTurnWithoutItsLineMayBeSettled(t *testing.T) {
	m := New(still)
	assert.Equal(t, apply(t, m, whole("q", "b", "gone", "in", "out\n", 3)), Missing)
	assert.Equal(t, apply(t, m, failed("q", "b", 3)), Granted)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 8)), Spent)
	assert.Equal(t, apply(t, m, admit("q", "c", "", 10, 7)), Granted)
}

// A node that gives a try up which another node has must not end it: what the other hands out
// would count no more, and its whole turn would be lost.
func TestTryIsEndedByTheNodeThatHasIt(t *testing.T) {
	m := New(still)
	admission := admit("p", "a", "", 10, 8)
	admission.Admit.Token = 1
	assert.Equal(t, apply(t, m, admission), Granted)
	given := failed("p", "a", 0)
	given.End.Token = 2
	assert.Equal(t, apply(t, m, given), Closed)
	assert.Equal(t, apply(t, m, admit("p", "b", "", 10, 3)), Spent, "it still counts")
	ending := whole("p", "a", "", "in", "out\n", 8)
	ending.End.Token = 1
	assert.Equal(t, apply(t, m, ending), Granted)
	assert.Equal(t, apply(t, m, given), Granted, "it has ended")
	_, found := m.History("a")
	assert.Assert(t, found)
}
