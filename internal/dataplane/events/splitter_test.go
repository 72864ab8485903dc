package events

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// However a stream is divided into writes and wherever it breaks off, the Splitter must return
// exactly its whole events, and LastID must be the id of the last of them.
func TestSplitterReturnsExactlyTheWholeEvents(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		var text string
		wholeAt := map[int]string{0: ""} // event ids by the offset where the event ends
		var ends []int
		for i := range 5 {
			text += fmt.Sprintf("id: %d%sdata: some%sdata: more%s%s", i+1, end, end, end, end)
			wholeAt[len(text)] = fmt.Sprint(i + 1)
			ends = append(ends, len(text))
		}
		random := rand.New(rand.NewPCG(1, 2))
		for cut := range len(text) + 1 {
			var c Splitter
			var got strings.Builder
			for at := 0; at < cut; {
				next := min(at+1+random.IntN(20), cut)
				got.Write(c.Write([]byte(text[at:next])))
				at = next
			}
			whole := 0
			for _, e := range ends {
				if e <= cut {
					whole = e
				}
			}
			assert.Equal(t, got.String(), text[:whole])
			assert.Equal(t, c.LastID(), wholeAt[whole])
			assert.Equal(t, string(c.Partial()), text[whole:cut])
			c.DropPartial()
			assert.Equal(t, string(c.Write([]byte("id: 9\n\n"))), "id: 9\n\n", "a dropped partial event must not be returned")
			assert.Equal(t, c.LastID(), "9")
		}
	}
}

func TestSplitterKeepsLastIDAfterEventWithoutID(t *testing.T) {
	var c Splitter
	c.Write([]byte("id: 7\ndata: a\n\ndata: b\n\nid: 8\n"))
	assert.Equal(t, c.LastID(), "7")
}
