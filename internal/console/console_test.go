package console

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
)

// FuzzReadCommand checks that a command does not depend on how its bytes are split, and stays
// within its limit.
func FuzzReadCommand(f *testing.F) {
	for _, s := range []string{"ready\n", "ready", "show-stat\r\nready\n", "\n", "", strings.Repeat("x", maxCommand), strings.Repeat("x", maxCommand-1) + "\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		atOnce, err := readCommand(bytes.NewReader(text))
		singly, err2 := readCommand(iotest.OneByteReader(bytes.NewReader(text)))
		assert.Equal(t, atOnce, singly)
		assert.Equal(t, err, err2)
		assert.Less(t, len(atOnce), maxCommand+1)
		if err == nil && len(text) == 0 {
			t.Fatal("no command and no error")
		}
		if err != nil && err != errTooLong {
			assert.ErrorIs(t, err, io.EOF)
		}
	})
}
