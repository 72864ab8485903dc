// Package platform asks the platform which servers exist.
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

	"pipitmux/internal/station/protocol"
)

const (
	// pagesMost bounds a listing that never ends, answerMost one page's bytes.
	pagesMost  = 1000
	answerMost = 8 << 20
	// within bounds one call.
	within = 900 * time.Millisecond
	// idleFor is how long a connection to the platform rests before it is closed.
	idleFor = 5 * time.Second
)

// The platform's words for the state of a server.
const stateDraining = "draining"

// StatusError is an answer other than 200.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return "the platform answered " + http.StatusText(e.Status) }

// ErrTooManyPages tells of a listing that has more pages than any fleet needs.
var ErrTooManyPages = errors.New("the platform's list has no end")

// Client lists servers. Its zero value can't be used.
type Client struct {
	address string
	client  http.Client
}

// New returns a Client of the platform at host:port.
func New(address string) *Client {
	dialer := net.Dialer{Timeout: within, KeepAlive: -1}
	return &Client{address: address, client: http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: idleFor, MaxIdleConnsPerHost: 1, DisableCompression: true},
	}}
}

type member struct {
	MemberID     string  `json:"memberId"`
	PoolName     string  `json:"poolName"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Capacity     float64 `json:"capacity"`
	MemberState  string  `json:"memberState"`
	WarmupLeftMs float64 `json:"warmupLeftMs"`
}

type page struct {
	Members   []member `json:"members"`
	NextToken *string  `json:"nextToken"`
}

// List returns the servers of all services, by service and then by id.
func (c *Client) List(ctx context.Context) (map[string][]protocol.Server, error) {
	lists := map[string][]protocol.Server{}
	token := ""
	for range pagesMost {
		p, err := c.page(ctx, token)
		if err != nil {
			return nil, errors.Wrap(err, "list servers")
		}
		for _, m := range p.Members {
			if m.MemberID != "" && m.Address != "" {
				lists[m.PoolName] = append(lists[m.PoolName], m.server())
			}
		}
		if p.NextToken == nil || *p.NextToken == "" {
			for _, l := range lists {
				slices.SortFunc(l, func(a, b protocol.Server) int { return strings.Compare(a.ID, b.ID) })
			}
			return lists, nil
		}
		token = *p.NextToken
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
	ctx, cancel := context.WithTimeout(ctx, within)
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
	var p page
	decoder := json.NewDecoder(http.MaxBytesReader(nil, response.Body, answerMost))
	if err := decoder.Decode(&p); err != nil {
		return nil, errors.Wrap(err, "read page")
	}
	return &p, nil
}
