package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"unicode/utf8"

	"github.com/go-faster/errors"

	"oakseam/internal/tier/matcher"
)

// Tallies counts adds and shows totals. Its methods are called concurrently.
type Tallies interface {
	// Add adds an amount to a tally under an id, which counts once, and returns when the add is
	// durable. It returns one of the errors below, or any other one if the outcome is unknown.
	Add(ctx context.Context, tally, member string, amount int64) error
	// Total returns the total of a tally, 0 for an unknown one, or ErrUnavailable.
	Total(tally string) (int64, error)
}

// Errors of Tallies beside ErrUnavailable. After each but ErrTallyUncertain nothing was counted.
var (
	ErrTallyConflict  = errors.New("memberId: was counted with another amount")
	ErrTallyTooLarge  = errors.New("heldBy: the total would exceed 64 bits")
	ErrTallyUncertain = errors.New("the add is not on enough nodes yet; it may be repeated")
)

// The paths of the calls for tallies, and the name of the parameter in them.
const (
	pathTallyModify = "/api/Tallies.Modify/{tally}"
	pathTallyShow   = "/api/Tallies.Show/{tally}"
	pathTally       = "tally"
)

// Limits on a call, in bytes.
const (
	maxTallyBody   = 4 << 10
	maxTallyName   = 256
	maxTallyMember = 256
)

// Reasons of rejections. They are part of the API.
var (
	errTallyName   = errors.New("the tally's name must be text of at most 256 bytes")
	errTallyBody   = errors.New("the body must be an object with memberId and heldBy")
	errTallyMember = errors.New("memberId: must be a text of 1 to 256 bytes")
	errTallyAmount = errors.New("heldBy: must be a whole number, not below 0 and within 64 bits")
)

// totalBody is the body of a successful Tallies.Show.
type totalBody struct {
	Total int64 `json:"total"`
}

// addTallies adds the handlers of the calls for tallies.
func (s *Server) addTallies(add func(method, pattern string, handler matcher.Handler)) {
	if s.options.Tallies == nil {
		return
	}
	add(http.MethodPost, pathTallyModify, s.modifyTally)
	add(http.MethodGet, pathTallyShow, s.showTally)
}

func (s *Server) modifyTally(response http.ResponseWriter, request *http.Request, values matcher.Values) {
	body, err := readBody(request, maxTallyBody)
	if err != nil {
		writeBodyError(response, err)
		return
	}
	tally := values.Get(pathTally)
	member, amount, err := parseAdd(tally, body)
	if err != nil {
		writeError(response, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := s.decisionContext(response, request)
	defer cancel()
	if err := s.options.Tallies.Add(ctx, tally, member, amount); err != nil {
		writeError(response, addStatus(err), err)
		return
	}
	writeJSON(response, http.StatusOK, emptyBody{})
}

// parseAdd checks the name of a tally and reads {"memberId":"a","heldBy":4}.
func parseAdd(tally string, body []byte) (member string, amount int64, err error) {
	if !validTallyName(tally) {
		return "", 0, errTallyName
	}
	var arguments struct {
		MemberID *string         `json:"memberId"`
		HeldBy   json.RawMessage `json:"heldBy"`
	}
	if err := json.Unmarshal(body, &arguments); err != nil {
		return "", 0, errors.Wrap(errTallyBody, err.Error())
	}
	if arguments.MemberID == nil || *arguments.MemberID == "" || len(*arguments.MemberID) > maxTallyMember {
		return "", 0, errTallyMember
	}
	amount, err = strconv.ParseInt(string(arguments.HeldBy), 10, 64)
	if err != nil || amount < 0 {
		return "", 0, errTallyAmount
	}
	return *arguments.MemberID, amount, nil
}

func validTallyName(tally string) bool { return len(tally) <= maxTallyName && utf8.ValidString(tally) }

// addStatus returns the status for an error of Add. 503 promises that nothing was done.
func addStatus(err error) int {
	switch {
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTallyConflict):
		return http.StatusConflict
	case errors.Is(err, ErrTallyTooLarge):
		return http.StatusBadRequest
	case errors.Is(err, ErrTallyUncertain):
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}

func (s *Server) showTally(response http.ResponseWriter, _ *http.Request, values matcher.Values) {
	tally := values.Get(pathTally)
	if !validTallyName(tally) {
		writeError(response, http.StatusBadRequest, errTallyName)
		return
	}
	total, err := s.options.Tallies.Total(tally)
	if err != nil {
		writeError(response, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(response, http.StatusOK, totalBody{Total: total})
}
