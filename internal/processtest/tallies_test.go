package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// tallyMergeMs is the settings' mergeMs of these tests. A core node that was started alone takes silence
	// for a cut after twice that.
	tallyMergeMs = 1000
	// addTimeout bounds the tries to get an add acknowledged.
	addTimeout = 8 * time.Second
)

// newTallyTier returns core and storage machines, one of each in each of three zones.
func newTallyTier(t *testing.T) *tier {
	c := newTier(t, 3, 3, 0)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i, m := range c.all() {
		m.Zone, m.Zones = zones[i%len(zones)], zones
		m.TimingBounds["mergeMs"] = tallyMergeMs
	}
	return c
}

// add adds to the tally t and reports whether the machine acknowledged it.
func (m *machine) add(member string, amount int) bool {
	body := fmt.Sprintf(`{"memberId":%q,"heldBy":%d}`, member, amount)
	response, err := client.Post("http://"+m.Control()+"/api/Tallies.Modify/t", "application/json", strings.NewReader(body))
	return statusOf(response, err) == http.StatusOK
}

// total returns the total of the tally t, or false if the machine does not show it.
func (m *machine) total() (total int, shown bool) {
	response, err := client.Get("http://" + m.Control() + "/api/Tallies.Show/t")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	var answer struct{ Total int }
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&answer) != nil {
		return 0, false
	}
	return answer.Total, true
}

// loseDisk removes what the machine's disk holds. Its process must have ended.
func (m *machine) loseDisk() {
	assert.NilError(m.t, os.RemoveAll(m.Disk()))
	assert.NilError(m.t, os.MkdirAll(m.Disk(), 0o755))
}

// Guards against an acknowledged add to a tally that is lost: more core nodes than are tolerated lose their
// power, the one that is left over acknowledges an add on its own disk alone, and loses it.
func TestAddOutlivesTheOnlyCoreNodeThatIsLeft(t *testing.T) {
	for _, losses := range []struct {
		name string
		come func(others []*machine, last *machine)
	}{
		{"all others at once", func(others []*machine, _ *machine) {
			for _, m := range others {
				m.process.kill()
			}
		}},
		{"one after the other", func(others []*machine, _ *machine) {
			for _, m := range others {
				m.process.kill()
				time.Sleep(tallyMergeMs * time.Millisecond)
			}
		}},
		{"all, and one starts long before the others", func(others []*machine, last *machine) {
			for _, m := range append(others, last) {
				m.process.kill()
			}
			last.start(false)
		}},
	} {
		t.Run(losses.name, func(t *testing.T) {
			t.Parallel()
			c := newTallyTier(t)
			startAll(c.all()...)
			others, last := c.cores[:2], c.cores[2]
			await(t, firstStartTimeout, "an add is acknowledged", func() bool { return last.add("before", 1) })
			for _, m := range c.cores {
				await(t, firstStartTimeout, m.Name+" holds the first add", func() bool { total, _ := m.total(); return total == 1 })
			}
			losses.come(others, last)
			await(t, addTimeout, "the add is acknowledged beside the storage nodes", func() bool { return last.add("during", 2) })
			last.process.kill()
			last.loseDisk()
			for _, m := range c.cores {
				m.start(false)
			}
			for _, m := range c.cores {
				await(t, firstStartTimeout, m.Name+" holds both adds", func() bool { total, _ := m.total(); return total == 3 })
			}
		})
	}
}
