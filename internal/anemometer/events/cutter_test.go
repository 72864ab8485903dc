package events

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// However a stream comes in pieces and wherever it is cut, what is returned is its whole
// events, and the last id is that of the last one.
func TestCutterReturnsWholeEvents(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		var text string
		wholeAt := map[int]string{0: ""} // ids by where an event ends
		var ends []int
		for i := range 5 {
			text += fmt.Sprintf("id: %d%sdata: some%sdata: more%s%s", i+1, end, end, end, end)
			wholeAt[len(text)] = fmt.Sprint(i + 1)
			ends = append(ends, len(text))
		}
		random := rand.New(rand.NewPCG(1, 2))
		for cut := range len(text) + 1 {
			var c Cutter
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
			assert.Equal(t, string(c.Rest()), text[whole:cut])
			c.Drop()
			assert.Equal(t, string(c.Write([]byte("id: 9\n\n"))), "id: 9\n\n", "what was not whole is forgotten")
			assert.Equal(t, c.LastID(), "9")
		}
	}
}

func TestCutterKeepsTheLastIDBehindEventsWithoutOne(t *testing.T) {
	var c Cutter
	c.Write([]byte("id: 7\ndata: a\n\ndata: b\n\nid: 8\n"))
	assert.Equal(t, c.LastID(), "7")
}
