// Package history caches the texts of turns that recently passed through this node, so that the
// next turn of a program need not load them from another zone. It is only an optimization: the
// partition decides whether a turn may continue another one.
package history

import (
	"sync"

	"github.com/gammazero/deque"
)

// Cache holds texts by the id of their last turn. It evicts the oldest texts beyond a bound in bytes.
type Cache struct {
	maxBytes int

	mu         sync.Mutex
	totalBytes int
	texts      map[string][]byte
	order      deque.Deque[string] // oldest first
}

// New returns an empty Cache that holds at most maxBytes.
func New(maxBytes int) *Cache { return &Cache{maxBytes: maxBytes, texts: map[string][]byte{}} }

// Put stores the text up to the end of a turn, which is the concatenation of parts. It copies the
// parts. A text that is already stored stays.
func (c *Cache) Put(turn string, parts ...[]byte) {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	if size > c.maxBytes {
		return
	}
	text := make([]byte, 0, size)
	for _, p := range parts {
		text = append(text, p...)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.texts[turn]; known {
		return
	}
	c.texts[turn] = text
	c.order.PushBack(turn)
	for c.totalBytes += size; c.totalBytes > c.maxBytes; {
		oldest := c.order.PopFront()
		c.totalBytes -= len(c.texts[oldest])
		delete(c.texts, oldest)
	}
}

// Get returns the text up to the end of a turn. The caller must not modify it.
func (c *Cache) Get(turn string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, ok := c.texts[turn]
	return text, ok
}
