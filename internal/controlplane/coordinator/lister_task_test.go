package coordinator

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
)

// A task that is handed on repeatedly must reach every voter, even if only one of them can
// carry it out.
func TestHandingOnReachesEveryVoter(t *testing.T) {
	for size := 1; size <= 7; size++ {
		var voters []replica.NodeID
		for i := range size {
			voters = append(voters, replica.NodeID(i*3+1))
		}
		holder, seen := voters[0], map[replica.NodeID]bool{voters[0]: true}
		for range size - 1 {
			holder = nextVoters(voters, holder)[0]
			seen[holder] = true
		}
		assert.Equal(t, len(seen), size)
	}
}

func TestNextVotersAreTheOtherVoters(t *testing.T) {
	voters := []replica.NodeID{4, 9, 2}
	assert.DeepEqual(t, nextVoters(voters, 9), []replica.NodeID{2, 4})
	assert.DeepEqual(t, nextVoters(voters, 2), []replica.NodeID{4, 9})
	assert.DeepEqual(t, nextVoters(voters, 77), voters)
	assert.Assert(t, slices.Equal(voters, []replica.NodeID{4, 9, 2}), "the voters must not be modified")
}
