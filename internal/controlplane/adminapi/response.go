package adminapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/go-faster/errors"
)

// errorBody is the body of each response that is not a success.
type errorBody struct {
	ErrorMessage string `json:"errorMessage"`
}

// emptyBody is the body of a success without data.
type emptyBody struct{}

// retirementBody is the body of a successful Retire.Show.
type retirementBody struct {
	MemberState string `json:"memberState"`
}

// The states of a retiring node in Retire.Show.
const (
	memberStateRolling   = "rolling"
	memberStateCompleted = "completed"
)

// writeBody sends a JSON body.
func writeBody(response http.ResponseWriter, status int, body []byte) {
	header := response.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	response.WriteHeader(status)
	// An error means that the client is gone and does not read the response.
	_, _ = response.Write(body)
}

// writeJSON encodes a value and sends it.
func writeJSON(response http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		status, body = http.StatusServiceUnavailable, []byte("{}")
	}
	writeBody(response, status, body)
}

// writeError sends an error response with its reason.
func writeError(response http.ResponseWriter, status int, err error) {
	writeJSON(response, status, errorBody{ErrorMessage: err.Error()})
}

// writeBodyError responds to a call whose body could not be read. The connection is closed
// afterwards, because the rest of the body may still follow on it.
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
