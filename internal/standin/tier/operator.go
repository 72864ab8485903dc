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

	audit "pipitmux/internal/audit/tier"
	"pipitmux/internal/barograph/operators"
	"pipitmux/internal/wait"
)

const (
	// silentAfter is how long an operator waits for an answer before it asks another machine.
	silentAfter = time.Second
	// againAfter is the pause before an order whose outcome isn't known is sent again.
	againAfter = 50 * time.Millisecond
)

// ErrUndecided tells of an order whose outcome the operator never learned.
var ErrUndecided = errors.New("no core machine gave a clear answer")

// Operator orders configurations.
type Operator struct {
	cores  []string // host:port of the operators' API on each core machine
	record *audit.Recorder
	client http.Client
	next   int
}

// NewOperator returns one that knows the core machines.
func NewOperator(cores []string, record *audit.Recorder) *Operator {
	return &Operator{cores: cores, record: record, client: http.Client{Timeout: silentAfter,
		Transport: &http.Transport{DisableKeepAlives: true}}}
}

// RefusedError is a clear answer other than 200.
type RefusedError struct {
	What   string
	Status int
	Tries  int // the calls until then
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s was answered %d in try %d", e.What, e.Status, e.Tries)
}

// Order sends a configuration until it is acknowledged, refused or ctx ends.
func (o *Operator) Order(ctx context.Context, c audit.Configuration) error {
	c.Sent = o.record.Now()
	no := o.record.Ordered(c)
	for tries := 1; ; tries++ {
		status := o.send(ctx, &c)
		switch status {
		case http.StatusOK:
			o.record.Decided(no, o.record.Now(), false, tries)
			return nil
		case 0, http.StatusServiceUnavailable:
			o.next++
		default:
			// Only a first send that is refused was surely never taken.
			o.record.Decided(no, 0, tries == 1, tries)
			return &RefusedError{What: fmt.Sprintf("the order of revision %d", c.Revision), Status: status, Tries: tries}
		}
		if !wait.For(ctx, againAfter) {
			o.record.Decided(no, 0, false, tries)
			return ErrUndecided
		}
	}
}

func (o *Operator) at(path string) string { return "http://" + o.cores[o.next%len(o.cores)] + path }

// send makes one call and returns its status, 0 where there is none.
func (o *Operator) send(ctx context.Context, c *audit.Configuration) int {
	header := http.Header{operators.BaseRevisionHeader: {strconv.FormatUint(c.Base, 10)}}
	status, _ := o.call(ctx, http.MethodPost, "/api/Configuration.Replace", header, c.Body)
	return status
}

// call makes one call. A status of 0 is no whole answer.
func (o *Operator) call(ctx context.Context, method, path string, header http.Header, body string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, o.at(path), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	if header != nil {
		request.Header = header
	}
	response, err := o.client.Do(request)
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

// ReadBack reads the configuration in force until that succeeds or ctx ends.
func (o *Operator) ReadBack(ctx context.Context) error {
	for {
		shown := audit.Shown{Asked: o.record.Now()}
		if body, ok := o.show(ctx); ok {
			shown.At, shown.Body = o.record.Now(), body
			o.record.ReadBack(shown)
			return nil
		}
		o.next++
		if !wait.For(ctx, againAfter) {
			return ErrUndecided
		}
	}
}

func (o *Operator) show(ctx context.Context) (string, bool) {
	status, body := o.call(ctx, http.MethodGet, "/api/Configuration.Show", nil, "")
	if status == http.StatusNotFound {
		return "", true
	}
	return body, status == http.StatusOK
}

// completed is how a machine that was emptied is shown.
const completed = `"completed"`

// Retire has a machine emptied, and returns when that is done.
func (o *Operator) Retire(ctx context.Context, name string) error {
	if err := o.clear(ctx, http.MethodPost, "/api/Retire.Begin/"+name, func(string) bool { return true }); err != nil {
		return err
	}
	return o.clear(ctx, http.MethodGet, "/api/Retire.Show/"+name, func(body string) bool { return strings.Contains(body, completed) })
}

// clear makes a call until it is answered 200 with what is wanted, refused, or ctx ends.
func (o *Operator) clear(ctx context.Context, method, path string, wanted func(body string) bool) error {
	for tries := 1; ; tries++ {
		status, body := o.call(ctx, method, path, nil, "")
		switch {
		case status == http.StatusOK && wanted(body):
			return nil
		case status == 0 || status == http.StatusServiceUnavailable:
			o.next++
		case status != http.StatusOK:
			return &RefusedError{What: path, Status: status, Tries: tries}
		}
		if !wait.For(ctx, againAfter) {
			return errors.Wrap(ErrUndecided, path)
		}
	}
}
