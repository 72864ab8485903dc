package tier

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/wait"
)

const (
	// answerTimeout is how long an operator waits for an answer before it asks another machine.
	answerTimeout = time.Second
	// retryPause is the pause before a call with an unknown outcome is repeated.
	retryPause = 50 * time.Millisecond
)

// ErrUndecided means that the operator never learned the outcome of a call.
var ErrUndecided = errors.New("no core machine gave a definite answer")

// Operator sends configurations and other orders to the core machines, as an operator's tool does.
type Operator struct {
	cores    []string // host:port of the operators' API on each core machine
	recorder *audit.Recorder
	client   http.Client
	current  int // index into cores, modulo their number
}

// NewOperator returns an Operator that calls the core machines.
func NewOperator(cores []string, recorder *audit.Recorder) *Operator {
	return &Operator{cores: cores, recorder: recorder, client: http.Client{Timeout: answerTimeout,
		Transport: &http.Transport{DisableKeepAlives: true}}}
}

// RejectedError reports a definite answer other than 200.
type RejectedError struct {
	Operation string
	Status    int
	Attempts  int // including the rejected one
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s was answered with status %d in attempt %d", e.Operation, e.Status, e.Attempts)
}

// ReplaceConfiguration sends a configuration until it is acknowledged or rejected, or ctx ends.
func (o *Operator) ReplaceConfiguration(ctx context.Context, c audit.Configuration) error {
	c.Sent = o.recorder.Now()
	order := o.recorder.RecordOrder(c)
	for attempts := 1; ; attempts++ {
		status := o.send(ctx, &c)
		switch status {
		case http.StatusOK:
			o.recorder.RecordOrderResult(order, o.recorder.Now(), false, attempts)
			return nil
		case 0, http.StatusServiceUnavailable:
			o.current++
		default:
			// Only a rejected first attempt has surely not taken effect: an earlier attempt without an
			// answer may have.
			o.recorder.RecordOrderResult(order, 0, attempts == 1, attempts)
			return &RejectedError{Operation: fmt.Sprintf("configuration revision %d", c.Revision), Status: status, Attempts: attempts}
		}
		if !wait.For(ctx, retryPause) {
			o.recorder.RecordOrderResult(order, 0, false, attempts)
			return ErrUndecided
		}
	}
}

func (o *Operator) url(path string) string { return "http://" + o.cores[o.current%len(o.cores)] + path }

// send makes one attempt to replace the configuration. It returns the status, 0 if there is none.
func (o *Operator) send(ctx context.Context, c *audit.Configuration) int {
	header := http.Header{adminapi.BaseRevisionHeader: {strconv.FormatUint(c.Base, 10)}}
	status, _ := o.call(ctx, http.MethodPost, "/api/Configuration.Replace", header, c.Body)
	return status
}

// call makes one call. Status 0 means that no complete answer arrived.
func (o *Operator) call(ctx context.Context, method, path string, header http.Header, body string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, o.url(path), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	if header != nil {
		request.Header = header
	}
	return completeAnswer(&o.client, request)
}

// completeAnswer sends a request and returns status and body of its answer. Status 0 means that no
// complete one arrived.
func completeAnswer(client *http.Client, request *http.Request) (int, string) {
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// ReadBack reads and records the current configuration. It retries until that succeeds or ctx ends.
func (o *Operator) ReadBack(ctx context.Context) error {
	for {
		shown := audit.ConfigurationRead{Asked: o.recorder.Now()}
		if body, ok := o.readConfiguration(ctx); ok {
			shown.At, shown.Body = o.recorder.Now(), body
			o.recorder.RecordReadBack(shown)
			return nil
		}
		o.current++
		if !wait.For(ctx, retryPause) {
			return ErrUndecided
		}
	}
}

func (o *Operator) readConfiguration(ctx context.Context) (string, bool) {
	status, body := o.call(ctx, http.MethodGet, "/api/Configuration.Show", nil, "")
	if status == http.StatusNotFound {
		return "", true
	}
	return body, status == http.StatusOK
}

// completed occurs in the answer about a machine that was drained completely.
const completed = `"completed"`

// Retire removes a machine from the tier, and returns once its data has been moved away.
func (o *Operator) Retire(ctx context.Context, name string) error {
	if err := o.callUntil(ctx, http.MethodPost, "/api/Retire.Begin/"+name, func(string) bool { return true }); err != nil {
		return err
	}
	return o.callUntil(ctx, http.MethodGet, "/api/Retire.Show/"+name, func(body string) bool { return strings.Contains(body, completed) })
}

// Evacuate orders that the servers of a zone get nothing more, or takes that back. It repeats the
// order until it is acknowledged or rejected, or ctx ends.
func (o *Operator) Evacuate(ctx context.Context, zone string, evacuated bool) error {
	path := "/api/Evacuate.Finish/" + zone
	if evacuated {
		path = "/api/Evacuate.Begin/" + zone
	}
	order := o.recorder.RecordEvacuation(audit.EvacuationOrder{Zone: zone, Evacuated: evacuated})
	for attempts := 1; ; attempts++ {
		status, _ := o.call(ctx, http.MethodPost, path, nil, "")
		refused := status != http.StatusOK && status != http.StatusRequestTimeout && !turnsAway(status)
		o.recorder.RecordEvacuationTry(order, status == http.StatusOK, refused)
		switch {
		case status == http.StatusOK:
			return nil
		case refused:
			return &RejectedError{Operation: path, Status: status, Attempts: attempts}
		}
		o.current++
		if !wait.For(ctx, retryPause) {
			return errors.Wrap(ErrUndecided, path)
		}
	}
}

// callUntil repeats a call until it is answered with 200 and a wanted body, or rejected, or ctx ends.
func (o *Operator) callUntil(ctx context.Context, method, path string, wanted func(body string) bool) error {
	for attempts := 1; ; attempts++ {
		status, body := o.call(ctx, method, path, nil, "")
		switch {
		case status == http.StatusOK && wanted(body):
			return nil
		case status == 0 || status == http.StatusServiceUnavailable:
			o.current++
		case status != http.StatusOK:
			return &RejectedError{Operation: path, Status: status, Attempts: attempts}
		}
		if !wait.For(ctx, retryPause) {
			return errors.Wrap(ErrUndecided, path)
		}
	}
}
