package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"oakseam/internal/tier/matcher"
)

// The paths of the calls that evacuate zones, and the name of the zone parameter in them.
const (
	pathEvacuateBegin  = "/api/Evacuate.Begin/{zone}"
	pathEvacuateFinish = "/api/Evacuate.Finish/{zone}"
	pathZone           = "zone"
)

// maxEvacuateBody bounds the body of an evacuation order, in bytes. The API defines none.
const maxEvacuateBody = 16 << 10

// errUnknownZone is the reason of a rejection. It is part of the API.
var errUnknownZone = errors.New("unknown zone")

// EvacuationOrder is an operator's order to evacuate a zone or to take it back.
type EvacuationOrder struct {
	Zone      string
	Evacuated bool      // true: send nothing more to the zone's servers
	Received  time.Time // when this node began to handle the order
}

// EvacuateOutcome is the result of an evacuation order.
type EvacuateOutcome uint8

// The outcomes of an evacuation order. The zero value promises nothing.
const (
	EvacuateUncertain   EvacuateOutcome = iota // the outcome is unknown, or the call cannot be decided now
	EvacuateAccepted                           // the state is durable and is as ordered
	EvacuateUnknownZone                        // there is no such zone
)

// String returns the name of the outcome as it appears in logs.
func (o EvacuateOutcome) String() string {
	return nameOf([]string{"uncertain", "accepted", "unknown zone"}, int(o))
}

func (s *Server) evacuateBegin(response http.ResponseWriter, request *http.Request, values matcher.Values) {
	s.evacuate(response, request, EvacuationOrder{Zone: values.Get(pathZone), Evacuated: true, Received: time.Now()})
}

func (s *Server) evacuateFinish(response http.ResponseWriter, request *http.Request, values matcher.Values) {
	s.evacuate(response, request, EvacuationOrder{Zone: values.Get(pathZone), Received: time.Now()})
}

// evacuate decides an order. Unlike other calls, the decision ends when the caller closes its
// connection: the caller may have sent the order again and a later one since.
func (s *Server) evacuate(response http.ResponseWriter, request *http.Request, order EvacuationOrder) {
	// net/http watches the connection only after the whole body was read.
	if _, err := readBody(request, maxEvacuateBody); err != nil {
		writeBodyError(response, err)
		return
	}
	s.extendReadDeadline(response)
	ctx, cancel := context.WithTimeout(request.Context(), s.options.DecisionTimeout)
	defer cancel()
	outcome := s.options.Authority.Evacuate(ctx, order)
	klog.InfoS("Operator's call to evacuate a zone", "zone", order.Zone, "evacuated", order.Evacuated, "outcome", outcome.String(), "took", time.Since(order.Received).String())
	writeEvacuateOutcome(response, outcome)
}

func writeEvacuateOutcome(response http.ResponseWriter, outcome EvacuateOutcome) {
	switch outcome {
	case EvacuateAccepted:
		writeJSON(response, http.StatusOK, emptyBody{})
	case EvacuateUnknownZone:
		writeError(response, http.StatusNotFound, errUnknownZone)
	default:
		writeError(response, http.StatusServiceUnavailable, ErrUnavailable)
	}
}
