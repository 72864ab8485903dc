package adminapi

import (
	"bytes"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/tier/matcher"
	"oakseam/internal/tier/routing"
)

// BaseRevisionHeader is the header with the revision that a configuration replaces.
const BaseRevisionHeader = "Oakseam-Base-Revision"

// The paths of the calls, and the name of the node parameter in them.
const (
	pathReplace     = "/api/Configuration.Replace"
	pathShow        = "/api/Configuration.Show"
	pathRetireBegin = "/api/Retire.Begin/{node}"
	pathRetireShow  = "/api/Retire.Show/{node}"
	pathNode        = "node"
)

// maxRetireBody bounds the body of Retire.Begin, in bytes.
const maxRetireBody = 16 << 10

// Reasons of rejections. They are part of the API.
var (
	errBaseRevision = errors.New(BaseRevisionHeader + ": must be one whole number")
	errConflict     = errors.New("another configuration is the newest")
	errInvalid      = errors.New("the configuration cannot be taken")
	errTooFewNodes  = errors.New("too few nodes would be left")
	errDeadline     = errors.New("deadlineS: must be a number of seconds, not below 0")
)

// tree returns the handlers of the calls.
func (s *Server) tree() *matcher.Tree[matcher.Handler] {
	tree := new(matcher.Tree[matcher.Handler])
	add := func(method, pattern string, handler matcher.Handler) {
		if err := tree.Add(method, pattern, handler); err != nil {
			panic(err) // unreachable: the patterns are constant
		}
	}
	add(http.MethodPost, pathReplace, s.replace)
	add(http.MethodGet, pathShow, s.show)
	add(http.MethodPost, pathRetireBegin, s.retireBegin)
	add(http.MethodGet, pathRetireShow, s.retireShow)
	add(http.MethodPost, pathEvacuateBegin, s.evacuateBegin)
	add(http.MethodPost, pathEvacuateFinish, s.evacuateFinish)
	s.addTallies(add)
	return tree
}

func (s *Server) replace(response http.ResponseWriter, request *http.Request, _ matcher.Values) {
	release, err := s.reserveMemory(request)
	if err != nil {
		writeBodyError(response, err)
		return
	}
	defer release()
	body, err := readBody(request, s.options.MaxBodyBytes)
	if err != nil {
		writeBodyError(response, err)
		return
	}
	base, err := baseRevision(request.Header)
	if err != nil {
		writeError(response, http.StatusBadRequest, err)
		return
	}
	if _, err := routing.Parse(body); err != nil {
		writeError(response, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := s.decisionContext(response, request)
	defer cancel()
	outcome := s.options.Authority.Replace(ctx, base, body)
	klog.InfoS("Operator's call to replace the configuration", "base", base, "bytes", len(body), "result", outcome.Result, "reason", outcome.Reason)
	writeReplaceOutcome(response, outcome)
}

// baseRevision reads the header. Without it the call expects that there is no configuration
// (revision 0).
func baseRevision(header http.Header) (uint64, error) {
	values := header.Values(BaseRevisionHeader)
	if len(values) == 0 {
		return 0, nil
	}
	base, err := strconv.ParseUint(strings.TrimSpace(values[0]), 10, 64)
	if err != nil || len(values) > 1 {
		return 0, errBaseRevision
	}
	return base, nil
}

func writeReplaceOutcome(response http.ResponseWriter, outcome ReplaceOutcome) {
	switch outcome.Result {
	case ReplaceAccepted:
		writeJSON(response, http.StatusOK, emptyBody{})
	case ReplaceConflict:
		writeError(response, http.StatusPreconditionFailed, reasonOr(outcome.Reason, errConflict))
	case ReplaceInvalid:
		writeError(response, http.StatusBadRequest, reasonOr(outcome.Reason, errInvalid))
	default:
		writeError(response, http.StatusServiceUnavailable, reasonOr(outcome.Reason, ErrUnavailable))
	}
}

// reasonOr returns the reason as an error, or a general one if it is empty.
func reasonOr(reason string, general error) error {
	if reason == "" {
		return general
	}
	return errors.New(reason)
}

func (s *Server) show(response http.ResponseWriter, request *http.Request, _ matcher.Values) {
	ctx, cancel := s.decisionContext(response, request)
	defer cancel()
	body, err := s.options.Authority.Show(ctx)
	switch {
	case err == nil:
		writeBody(response, http.StatusOK, body)
	case errors.Is(err, ErrNoConfiguration):
		writeError(response, http.StatusNotFound, ErrNoConfiguration)
	default:
		writeError(response, http.StatusServiceUnavailable, err)
	}
}

func (s *Server) retireBegin(response http.ResponseWriter, request *http.Request, values matcher.Values) {
	body, err := readBody(request, maxRetireBody)
	if err != nil {
		writeBodyError(response, err)
		return
	}
	deadline, err := s.retireDeadline(body)
	if err != nil {
		writeError(response, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := s.decisionContext(response, request)
	defer cancel()
	node := values.Get(pathNode)
	outcome := s.options.Authority.RetireBegin(ctx, node, deadline)
	klog.InfoS("Operator's call to retire a node", "node", node, "deadline", deadline, "outcome", outcome)
	writeRetireOutcome(response, outcome)
}

func writeRetireOutcome(response http.ResponseWriter, outcome RetireOutcome) {
	switch outcome {
	case RetireAccepted:
		writeJSON(response, http.StatusOK, emptyBody{})
	case RetireUnknownNode:
		writeError(response, http.StatusNotFound, ErrUnknownNode)
	case RetireTooFew:
		writeError(response, http.StatusConflict, errTooFewNodes)
	default:
		writeError(response, http.StatusServiceUnavailable, ErrUnavailable)
	}
}

// retireDeadline reads {"deadlineS":10}. A call without a body or without the key gets the
// default deadline.
func (s *Server) retireDeadline(body []byte) (time.Duration, error) {
	if len(bytes.TrimSpace(body)) == 0 {
		return s.options.RetireDeadline, nil
	}
	var arguments struct {
		DeadlineS *float64 `json:"deadlineS"`
	}
	if err := json.Unmarshal(body, &arguments); err != nil {
		return 0, errors.Wrap(errDeadline, err.Error())
	}
	if arguments.DeadlineS == nil {
		return s.options.RetireDeadline, nil
	}
	nanoseconds := *arguments.DeadlineS * float64(time.Second)
	if nanoseconds < 0 {
		return 0, errDeadline
	}
	if nanoseconds >= math.MaxInt64 {
		return math.MaxInt64, nil
	}
	return time.Duration(nanoseconds), nil
}

func (s *Server) retireShow(response http.ResponseWriter, request *http.Request, values matcher.Values) {
	ctx, cancel := s.decisionContext(response, request)
	defer cancel()
	state, err := s.options.Authority.RetireShow(ctx, values.Get(pathNode))
	switch {
	case errors.Is(err, ErrUnknownNode):
		writeError(response, http.StatusNotFound, ErrUnknownNode)
	case err != nil:
		writeError(response, http.StatusServiceUnavailable, err)
	case state == RetireInProgress:
		writeJSON(response, http.StatusOK, retirementBody{MemberState: memberStateRolling})
	case state == RetireCompleted:
		writeJSON(response, http.StatusOK, retirementBody{MemberState: memberStateCompleted})
	default:
		writeError(response, http.StatusServiceUnavailable, ErrUnavailable)
	}
}
