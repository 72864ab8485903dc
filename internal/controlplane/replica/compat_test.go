package replica

import (
	"encoding/hex"
	"testing"

	"gotest.tools/v3/assert"
)

// earlierMembers is the data of a membership change as the build before identifiers were renamed
// wrote it, and must not be regenerated.
const earlierMembers = "030102838080808080808080010104"

// A member must read the membership changes that an earlier build left in the log, and write them
// in the same form for members that still run that build.
func TestReadsMembersOfEarlierBuild(t *testing.T) {
	data, err := hex.DecodeString(earlierMembers)
	assert.NilError(t, err)
	members, err := DecodeMembers(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, members, Members{Voters: []NodeID{1, 2, 1<<63 + 3}, Learners: []NodeID{4}})
	assert.DeepEqual(t, members.Encode(), data)
}
