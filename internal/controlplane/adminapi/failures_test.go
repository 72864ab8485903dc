package adminapi

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Calls to a path that does not exist once left no line in any log.
func TestFailedCallsAreReportedByNameAndStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reported := map[failureKind]int{}
		failures := &failures{interval: failureInterval, report: func(kind failureKind, count int) { reported[kind] += count }}
		status := http.StatusNotFound
		handler := failures.observe(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		call := func(path string) {
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, path, nil))
		}
		call("/api/Tallies.Show/t1")
		call("/api/Tallies.Show/t2")
		call("/somewhere")
		status = http.StatusServiceUnavailable
		call("/api/Tallies.Show/t1")
		status = http.StatusOK
		call("/api/Configuration.Show")
		time.Sleep(failureInterval)
		synctest.Wait()
		assert.DeepEqual(t, reported, map[failureKind]int{{"Tallies.Show", 404}: 2, {"somewhere", 404}: 1, {"Tallies.Show", 503}: 1})
		status = http.StatusConflict
		call("/api/Retire.Begin/s1")
		time.Sleep(failureInterval)
		synctest.Wait()
		assert.Equal(t, reported[failureKind{"Retire.Begin", 409}], 1, "a second report")
	})
}

func TestKindsOfFailedCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reported := map[failureKind]int{}
		failures := &failures{interval: failureInterval, report: func(kind failureKind, count int) { reported[kind] = count }}
		for i := range 3 * maxFailureKinds {
			failures.add(failureKind{callName("/api/" + strconv.Itoa(i)), http.StatusNotFound})
		}
		time.Sleep(failureInterval)
		synctest.Wait()
		assert.Equal(t, len(reported), maxFailureKinds+1)
		assert.Equal(t, reported[failureKind{otherCalls, http.StatusNotFound}], 2*maxFailureKinds)
	})
}
