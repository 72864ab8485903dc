package operators

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// refusal is the body of each answer that is not a success.
type errorBody struct {
	ErrorMessage string `json:"errorMessage"`
}

// acknowledgement is the body of a success that has nothing to tell.
type emptyBody struct{}

// retirement is the body of a success of Retire.Show.
type retirementBody struct {
	MemberState string `json:"memberState"`
}

// The member states that operators read.
const (
	memberStateRolling   = "rolling"
	memberStateCompleted = "completed"
)

// write sends a JSON body.
func writeBody(response http.ResponseWriter, status int, body []byte) {
	header := response.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	response.WriteHeader(status)
	// An operator that is gone does not read the answer.
	_, _ = response.Write(body)
}

func writeJSON(response http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusServiceUnavailable, []byte("{}")
	}
	writeBody(response, status, body)
}

// refuse sends a refusal with its reason.
func writeError(response http.ResponseWriter, status int, err error) {
	writeJSON(response, status, errorBody{ErrorMessage: err.Error()})
}

// refuseBody answers a call whose body could not be read. The connection is closed
// after it, since what follows on it may be the rest of the body.
func writeBodyError(response http.ResponseWriter, err error) {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, errTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errMalformed):
		status = http.StatusBadRequest
	}
	response.Header().Set("Connection", "close")
	writeError(response, status, err)
}
