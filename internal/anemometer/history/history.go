// Package history keeps, in memory, what was said in lines of turns that passed through
// this node lately, so that the text need not come from another zone for the next turn.
// It is a help only: whether a turn may go on from another is the partition's to say.
package history

import (
	"sync"

	"github.com/gammazero/deque"
)

// Cache holds texts by the id of the turn that they end with, the newest up to a bound in
// bytes.
type Cache struct {
	most int

	mu    sync.Mutex
	held  int
	texts map[string][]byte
	order deque.Deque[string] // oldest first
}

// New returns an empty Cache of so many bytes.
func New(most int) *Cache { return &Cache{most: most, texts: map[string][]byte{}} }

// Put keeps the text up to the end of a turn: the parts one behind the other. The parts
// are not kept.
func (c *Cache) Put(turn string, parts ...[]byte) {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	if size > c.most {
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
	for c.held += size; c.held > c.most; {
		oldest := c.order.PopFront()
		c.held -= len(c.texts[oldest])
		delete(c.texts, oldest)
	}
}

// Get returns the text up to the end of a turn. It must not be changed.
func (c *Cache) Get(turn string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, ok := c.texts[turn]
	return text, ok
}
