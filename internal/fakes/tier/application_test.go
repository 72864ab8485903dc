package tier

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	audit "oakseam/internal/audit/tier"
)

// tallyCore is a core machine whose calls are answered with a status, and 200 with a total.
func tallyCore(t *testing.T, name string, status int, seen func(core, path string)) CoreAddress {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen(name, r.URL.Path)
		w.WriteHeader(status)
		fmt.Fprint(w, `{"total":5}`)
	}))
	t.Cleanup(server.Close)
	return CoreAddress{Machine: name, Address: strings.TrimPrefix(server.URL, "http://")}
}

// An add that a core node refuses must be tried at the next one under the same id, and each add must
// have a bit of its own in its tally.
func TestApplicationTurnsToAnotherCoreWithTheSameAdd(t *testing.T) {
	var mu sync.Mutex
	var called []string
	seen := func(core, path string) {
		mu.Lock()
		defer mu.Unlock()
		called = append(called, core)
	}
	recorder := audit.NewRecorder()
	a := NewApplication(ApplicationOptions{Number: 1, Count: 3, Recorder: recorder, Cores: []CoreAddress{
		tallyCore(t, "core-2", http.StatusTooManyRequests, seen), tallyCore(t, "core-1", http.StatusOK, seen)}})
	for range a.share() + 1 {
		a.add()
	}
	bits := map[string]uint64{}
	for _, add := range recorder.History().TallyAdds {
		assert.Equal(t, add.Tries[0].Core, "core-2")
		assert.Equal(t, add.Tries[0].Status, http.StatusTooManyRequests)
		assert.Equal(t, add.Tries[len(add.Tries)-1].Status, http.StatusOK)
		assert.Check(t, add.Amount > 0 && bits[add.Tally]&add.Amount == 0, "%s %#x", add.Tally, add.Amount)
		bits[add.Tally] |= add.Amount
	}
	assert.Equal(t, len(bits), 2)
	assert.DeepEqual(t, called[:2], []string{"core-2", "core-1"})
	assert.Check(t, len(called) > 2*(a.share()+1), "some adds are repeated after they were acknowledged")
}

func TestApplicationReadsEachTallyOfItsOwnAtTheEnd(t *testing.T) {
	var paths []string
	seen := func(_, path string) { paths = append(paths, path) }
	recorder := audit.NewRecorder()
	a := NewApplication(ApplicationOptions{Count: 1, Recorder: recorder, Cores: []CoreAddress{
		{Machine: "gone", Address: "127.0.0.1:1"}, tallyCore(t, "core-1", http.StatusOK, seen)}})
	a.adds = a.share() + 1
	a.ReadAll(context.Background())
	assert.DeepEqual(t, paths, []string{"/api/Tallies.Show/tally-1", "/api/Tallies.Show/tally-2"})
	reads := recorder.History().TallyReads
	assert.Equal(t, reads[0].Status, 0)
	assert.Check(t, reads[3].Final && reads[3].Total == 5 && reads[3].Core == "core-1")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	a.Run(ctx)
	assert.Check(t, len(recorder.History().TallyReads)+len(recorder.History().TallyAdds) > 0)
}
