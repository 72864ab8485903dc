package dispatch

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"oakseam/internal/message"
	"oakseam/logic"
)

func TestClassifyIgnoresResponseToAnotherAttempt(t *testing.T) {
	call := &message.Call{ID: "a1"}
	for _, test := range []struct {
		status      int
		notExecuted string
		result      logic.Result
	}{
		{http.StatusOK, "", logic.OK},
		{http.StatusServiceUnavailable, "true", logic.QueueFull},
		{http.StatusMisdirectedRequest, "", logic.ConnectFailed},
		{http.StatusInternalServerError, "", logic.Failed},
	} {
		for _, id := range []string{"a1", "a2", ""} {
			response := &http.Response{StatusCode: test.status, Header: http.Header{}}
			if id != "" {
				response.Header.Set(AttemptHeader, id)
			}
			if test.notExecuted != "" {
				response.Header.Set(NotExecutedHeader, test.notExecuted)
			}
			classification := codec{}.Classify(call, response)
			assert.Equal(t, classification.Misrouted, id != call.ID, "status %d, id %q", test.status, id)
			if !classification.Misrouted {
				assert.Equal(t, classification.Result, test.result, "status %d", test.status)
			}
		}
	}
}
