package turnclient

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/tier/protocol"
)

// startIsolation starts storage nodes, one in each of the zones, and returns an Isolation of zone "a".
// Nodes of zones in silent do not answer.
func startIsolation(t *testing.T, zones []string, silent map[string]bool) *Isolation {
	t.Helper()
	c, nodes := startNodes(t, len(zones))
	directory := directoryOf(nodes, 1)
	for at, zone := range zones {
		directory.Nodes[at].Zone = zone
		nodes[at].find = func(int) protocol.FindReply { return protocol.FindReply{} }
		if silent[zone] {
			directory.Nodes[at].Address = "127.0.0.1:1" // nobody listens there
		}
	}
	isolation := NewIsolation(c.pool, "a")
	isolation.SetDirectory(directory)
	isolation.lastHeard = time.Now().Add(-quietPeriod)
	return isolation
}

func TestZoneIsIsolatedIfOnlyItsOwnNodesAnswer(t *testing.T) {
	for _, test := range []struct {
		name     string
		zones    []string
		silent   map[string]bool
		isolated bool
	}{
		{"all answer", []string{"a", "b", "c"}, nil, false},
		{"one of the others answers", []string{"a", "b", "c"}, map[string]bool{"b": true}, false},
		{"none of the others answers", []string{"a", "b", "c"}, map[string]bool{"b": true, "c": true}, true},
		{"nobody answers: no other zone is better off", []string{"a", "b"}, map[string]bool{"a": true, "b": true}, false},
		{"no node in the own zone", []string{"b", "c"}, map[string]bool{"b": true, "c": true}, false},
		{"no other zone", []string{"a", "a"}, nil, false},
		{"the only other zone is lost", []string{"a", "b"}, map[string]bool{"b": true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			isolation := startIsolation(t, test.zones, test.silent)
			isolation.check(longContext(t))
			assert.Equal(t, isolation.Isolated(), test.isolated)
		})
	}
}

// Answers to turns prove that another zone is reached, so that nothing is probed under load.
func TestAnswersOfOtherZonesSpareTheProbe(t *testing.T) {
	isolation := startIsolation(t, []string{"a", "b", "c"}, map[string]bool{"b": true, "c": true})
	isolation.heard(isolation.others[0].ID)
	_, _, quiet := isolation.nodesToProbe()
	assert.Assert(t, !quiet)
	isolation.check(longContext(t))
	assert.Assert(t, !isolation.Isolated())
}

// After a loss of all power the nodes of the own zone may start first.
func TestZoneThatHasHeardNoOtherIsNotIsolated(t *testing.T) {
	isolation := startIsolation(t, []string{"a", "b", "c"}, map[string]bool{"b": true, "c": true})
	isolation.lastHeard = time.Time{}
	isolation.check(longContext(t))
	assert.Assert(t, !isolation.Isolated())
}
