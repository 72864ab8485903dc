// Package platform lists the existing servers with the cloud platform's API.
package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/tier/protocol"
)

const (
	// maxPages ends a listing that would never end.
	maxPages = 1000
	// maxPageBytes limits the size of one page.
	maxPageBytes = 8 << 20
	// callTimeout limits one call.
	callTimeout = 900 * time.Millisecond
	// idleTimeout is how long an idle connection to the platform stays open.
	idleTimeout = 5 * time.Second
)

// stateDraining is the platform's name for the state of a draining server.
const stateDraining = "draining"

// StatusError reports a response status other than 200.
type StatusError struct{ Status int }

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return "the platform responded with " + http.StatusText(e.Status)
}

// ErrTooManyPages means that a listing has more pages than any fleet needs.
var ErrTooManyPages = errors.New("the platform's list has too many pages")

// Client lists servers. New returns a usable Client; the zero value is not usable.
type Client struct {
	address string
	client  http.Client
}

// New returns a Client for the platform at host:port.
func New(address string) *Client {
	dialer := net.Dialer{Timeout: callTimeout, KeepAlive: -1}
	return &Client{address: address, client: http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 1, DisableCompression: true},
	}}
}

// member is a server in the platform's response.
type member struct {
	MemberID     string  `json:"memberId"`
	PoolName     string  `json:"poolName"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Capacity     float64 `json:"capacity"`
	MemberState  string  `json:"memberState"`
	WarmupLeftMs float64 `json:"warmupLeftMs"`
}

// page is one page of the platform's response.
type page struct {
	Members   []member `json:"members"`
	NextToken *string  `json:"nextToken"`
}

// List returns the servers of all services by service, sorted by id. It fails if any page
// fails, because a partial list would remove servers.
func (c *Client) List(ctx context.Context) (map[string][]protocol.Server, error) {
	lists := map[string][]protocol.Server{}
	token := ""
	for range maxPages {
		page, err := c.page(ctx, token)
		if err != nil {
			return nil, errors.Wrap(err, "list servers")
		}
		for _, m := range page.Members {
			if m.MemberID != "" && m.Address != "" {
				lists[m.PoolName] = append(lists[m.PoolName], m.server())
			}
		}
		if page.NextToken == nil || *page.NextToken == "" {
			for _, servers := range lists {
				slices.SortFunc(servers, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) })
			}
			return lists, nil
		}
		token = *page.NextToken
	}
	return nil, ErrTooManyPages
}

func (m *member) server() protocol.Server {
	return protocol.Server{
		ID: m.MemberID, Address: m.Address, Zone: m.Zone, Capacity: int(m.Capacity),
		Draining: m.MemberState == stateDraining,
		Warmup:   time.Duration(m.WarmupLeftMs * float64(time.Millisecond)),
	}
}

func (c *Client) page(ctx context.Context, token string) (*page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: c.address, Path: "/members"}
	if token != "" {
		target.RawQuery = url.Values{"pageToken": {token}}.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode}
	}
	var received page
	decoder := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxPageBytes))
	if err := decoder.Decode(&received); err != nil {
		return nil, errors.Wrap(err, "read page")
	}
	return &received, nil
}
