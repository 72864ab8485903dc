package tierlab

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Two runs at a time never share addresses, and a closed reservation frees its network.
func TestReservedNetworksDiffer(t *testing.T) {
	one, first, err := ReserveNetwork()
	require.NoError(t, err)
	two, second, err := ReserveNetwork()
	require.NoError(t, err)
	defer second.Close()
	assert.NotEqual(t, one, two)
	require.NoError(t, first.Close())
	again, third, err := ReserveNetwork()
	require.NoError(t, err)
	defer third.Close()
	assert.NotEqual(t, two, again)
}
