package tier

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The states in which the platform lists a server.
const (
	InService = "in_service"
	Draining  = "draining"
)

// Member is a server as the platform lists it.
type Member struct {
	MemberID     string  `json:"memberId"`
	PoolName     string  `json:"poolName"`
	Address      string  `json:"address"`
	Zone         string  `json:"zone"`
	Capacity     int     `json:"capacity"`
	MemberState  string  `json:"memberState"`
	WarmupLeftMs float64 `json:"warmupLeftMs"`
}

type page struct {
	Members   []Member `json:"members"`
	NextToken *string  `json:"nextToken"`
}

// pageSize is how many members a page of the list holds.
const pageSize = 3

// Platform lists servers, some time after the fact.
type Platform struct {
	Address string
	lag     time.Duration
	listed  func(Member)
	server  *http.Server

	mu      sync.Mutex
	members []Member // what the list says
	changes []func() // yet to be listed, oldest first
	asked   int
}

// NewPlatform serves at a free port of the host until Close. Each change is listed after
// the lag; listed is told of each then.
func NewPlatform(host string, lag time.Duration, listed func(Member)) (*Platform, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &Platform{Address: l.Addr().String(), lag: lag, listed: listed}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", p.list)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(l)
	return p, nil
}

// Close ends it.
func (p *Platform) Close() { p.server.Close() }

// Put lists a member, or a change of it.
func (p *Platform) Put(m Member) {
	p.later(func() {
		for i := range p.members {
			if p.members[i].MemberID == m.MemberID {
				p.members[i] = m
				return
			}
		}
		p.members = append(p.members, m)
	}, m)
}

// Remove lists a member no more.
func (p *Platform) Remove(m Member) {
	p.later(func() {
		kept := make([]Member, 0, len(p.members))
		for _, o := range p.members {
			if o.MemberID != m.MemberID {
				kept = append(kept, o)
			}
		}
		p.members = kept
	}, Member{})
}

// later makes a change after the lag. Each timer makes the oldest change that is left, so
// that they keep their order.
func (p *Platform) later(change func(), about Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, func() {
		change()
		if about.MemberID != "" {
			p.listed(about)
		}
	})
	time.AfterFunc(p.lag, p.makeOne)
}

func (p *Platform) makeOne() {
	p.mu.Lock()
	defer p.mu.Unlock()
	change := p.changes[0]
	p.changes = p.changes[1:]
	change()
}

// Asked is how many pages were asked for.
func (p *Platform) Asked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken")) // none: from the first
	p.mu.Lock()
	p.asked++
	var out page
	from = min(max(from, 0), len(p.members))
	to := min(from+pageSize, len(p.members))
	out.Members = append([]Member{}, p.members[from:to]...)
	if to < len(p.members) {
		token := strconv.Itoa(to)
		out.NextToken = &token
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(out)
}
