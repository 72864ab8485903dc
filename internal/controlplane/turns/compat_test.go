package turns

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/controlplanetest"
)

// The fixtures are commands and a snapshot as the build before identifiers were renamed wrote them.
// They must not be regenerated: a node reads them from its disk after an upgrade, and nodes of both
// builds send them to each other.

func earlierClock() time.Duration { return 0 }

type earlierCommand struct {
	name    string
	command Command
}

// earlierCommands returns the commands in the order in which they were applied.
func earlierCommands() []earlierCommand {
	return []earlierCommand{
		{"admit", Command{Admit: &Admission{Program: "program", Attempt: "attempt-1", Previous: "elsewhere", Imported: true,
			Budget: 1000, MaxTokens: 600, Retention: 3 * time.Minute, Token: 1<<63 + 4}}},
		{"end", Command{Finish: &Completion{Program: "program", Attempt: "attempt-1", Complete: true, Tokens: 500, Previous: "elsewhere",
			Imported: []byte("before,"), Input: []byte("input,"), Output: []byte("output\n"), Retention: 5 * time.Minute, Token: 1<<63 + 4}}},
		{"admit_next", Command{Admit: &Admission{Program: "program", Attempt: "attempt-2", Previous: "attempt-1",
			Budget: 1000, MaxTokens: 400, Retention: 2 * time.Minute, Token: 7}}},
		{"forget", Command{Forget: []IdleProgram{{Program: "other", Steps: 8}, {Program: "program", Steps: 1}}}},
	}
}

// A command of an earlier build must be read with all its fields, and written in the same form.
func TestDecodesCommandsOfEarlierBuild(t *testing.T) {
	for _, c := range earlierCommands() {
		t.Run(c.name, func(t *testing.T) {
			controlplanetest.CheckEarlierMessage(t, c.name+".cbor", c.command)
		})
	}
}

// The log of an earlier build must lead to the state that it led to there. The results are sent and
// so written as numbers.
func TestAppliesCommandsOfEarlierBuild(t *testing.T) {
	m := New(earlierClock)
	for _, c := range earlierCommands() {
		assert.DeepEqual(t, m.Apply(controlplanetest.EarlierBytes(t, c.name+".cbor")), []byte{1})
	}
	checkEarlierState(t, m)
	assert.DeepEqual(t, m.Snapshot(), controlplanetest.EarlierBytes(t, "snapshot.cbor"))
	assert.DeepEqual(t, m.Apply(controlplanetest.EarlierBytes(t, "admit.cbor")), []byte{4}) // the attempt has ended
	assert.DeepEqual(t, m.Apply([]byte("no command")), []byte{5})
	spent, missing := earlierCommands()[2].command, earlierCommands()[2].command
	spent.Admit.Attempt, missing.Admit.Previous = "attempt-3", "nowhere"
	for want, c := range map[byte]*Command{2: &spent, 3: &missing} {
		text, err := c.Encode()
		assert.NilError(t, err)
		assert.DeepEqual(t, m.Apply(text), []byte{want})
	}
}

// A snapshot of an earlier build must be restored whole, and written in the same form. It holds one
// program and one turn, so that the order of a map can't change its bytes.
func TestRestoresSnapshotOfEarlierBuild(t *testing.T) {
	controlplanetest.CheckEarlierSnapshot(t, New(earlierClock), checkEarlierState)
}

// checkEarlierState checks the state after all commands.
func checkEarlierState(t *testing.T, m *Machine) {
	t.Helper()
	want := state{
		Programs: map[string]*program{"program": {
			SpentTokens:  500,
			Reservations: map[string]reservation{"attempt-2": {MaxTokens: 400, Token: 7}},
			Ended:        map[string]struct{}{"attempt-1": {}},
			Turns:        []string{"attempt-1"},
			Retention:    5 * time.Minute,
			Steps:        4,
		}},
		Turns: map[string]*turn{"attempt-1": {Program: "program", Previous: "elsewhere",
			Imported: []byte("before,"), Input: []byte("input,"), Output: []byte("output\n")}},
	}
	assert.Assert(t, reflect.DeepEqual(m.state, want), "%+v", m.state.Programs["program"])
	history, found := m.History("attempt-1")
	assert.Assert(t, found)
	assert.Equal(t, string(history), "before,input,output\n")
}
