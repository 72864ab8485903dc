package durable

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A file of an earlier build must be read, and a value must be written as the same bytes: header
// and value alike. The fixture was written by the build before identifiers were renamed, and must
// not be regenerated.
func TestReadsFileOfEarlierBuild(t *testing.T) {
	name := filepath.Join("testdata", "earlier_build", "value.state")
	value, err := Read(name)
	require.NoError(t, err)
	assert.Equal(t, "a value\x00\xff of an earlier build\n", string(value))

	raw, err := os.ReadFile(name)
	require.NoError(t, err)
	written := filepath.Join(t.TempDir(), "value.state")
	require.NoError(t, Write(written, value))
	again, err := os.ReadFile(written)
	require.NoError(t, err)
	assert.Equal(t, raw, again)
	framed, err := Frame(value)
	require.NoError(t, err)
	assert.Equal(t, raw, framed)
	assert.Equal(t, len(raw)-len(value), HeaderSize)
}

// A node must look for its files where an earlier build left them.
func TestFileNamesAreThoseOfEarlierBuild(t *testing.T) {
	assert.Equal(t, "oakseam-127.0.0.1-8080", BaseName("127.0.0.1:8080"))
	assert.Equal(t, "oakseam-[fe80--1_eth0]-80", BaseName("[fe80::1%eth0]:80"))
	assert.Equal(t, "oakseam-a_b", BaseName("a/b"))
}
