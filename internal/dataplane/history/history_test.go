package history

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCacheEvictsOldestBeyondItsBound(t *testing.T) {
	c := New(100)
	for i := range 20 {
		c.Put(fmt.Sprint(i), []byte("1234"), []byte("567890"))
	}
	_, old := c.Get("9")
	assert.Assert(t, !old)
	text, ok := c.Get("10")
	assert.Assert(t, ok)
	assert.Equal(t, string(text), "1234567890")
	assert.Equal(t, c.totalBytes, 100)
	assert.Equal(t, c.order.Len(), 10)
}

func TestCacheIgnoresTextLongerThanItsBound(t *testing.T) {
	c := New(5)
	c.Put("a", []byte("1234567"))
	_, ok := c.Get("a")
	assert.Assert(t, !ok)
	assert.Equal(t, c.totalBytes, 0)
}

func TestCacheCopiesPartsAndKeepsFirstText(t *testing.T) {
	c := New(100)
	part := []byte("abc")
	c.Put("a", part)
	part[0] = 'x'
	c.Put("a", []byte("other"))
	text, _ := c.Get("a")
	assert.Equal(t, string(text), "abc", "a stored text must not change")
	assert.Equal(t, c.totalBytes, 3)
}
