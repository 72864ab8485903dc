package tier

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// States in which the platform lists a server.
const (
	InService = "in_service"
	Draining  = "draining"
)

// Member is a server as listed by the platform.
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

// pageSize is the number of members on a page of the list.
const pageSize = 3

// Platform lists servers. Each change becomes visible only after a delay.
type Platform struct {
	Address  string
	delay    time.Duration
	onListed func(Member)
	server   *http.Server

	mu          sync.Mutex
	members     []Member             // as currently listed, without WarmupLeftMs
	coldUntil   map[string]time.Time // by member id
	changes     []func()             // not visible yet, oldest first
	pagesServed int
}

// NewPlatform serves at a free port of the host until Close. Each change becomes visible after the
// delay; onListed is called for it then.
func NewPlatform(host string, delay time.Duration, onListed func(Member)) (*Platform, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	p := &Platform{Address: l.Addr().String(), delay: delay, onListed: onListed, coldUntil: map[string]time.Time{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /members", p.serveList)
	p.server = &http.Server{Handler: mux}
	go p.server.Serve(l)
	return p, nil
}

// Close stops the server.
func (p *Platform) Close() { p.server.Close() }

// Put adds or replaces a member after the delay.
func (p *Platform) Put(m Member) {
	p.applyLater(func() {
		for i := range p.members {
			if p.members[i].MemberID == m.MemberID {
				p.members[i] = m
				return
			}
		}
		p.members = append(p.members, m)
	}, m)
}

// PutCold lists a member as cold until a time, after the delay.
func (p *Platform) PutCold(memberID string, until time.Time) {
	p.applyLater(func() { p.coldUntil[memberID] = until }, Member{})
}

// Remove removes a member from the list after the delay.
func (p *Platform) Remove(m Member) {
	p.applyLater(func() {
		kept := make([]Member, 0, len(p.members))
		for _, o := range p.members {
			if o.MemberID != m.MemberID {
				kept = append(kept, o)
			}
		}
		p.members = kept
	}, Member{})
}

// applyLater applies a change after the delay. Each timer applies the oldest pending change, so that
// changes keep their order.
func (p *Platform) applyLater(change func(), listed Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, func() {
		change()
		if listed.MemberID != "" {
			p.onListed(listed)
		}
	})
	time.AfterFunc(p.delay, p.applyNext)
}

func (p *Platform) applyNext() {
	p.mu.Lock()
	defer p.mu.Unlock()
	change := p.changes[0]
	p.changes = p.changes[1:]
	change()
}

// PagesServed returns how many pages of the list were served.
func (p *Platform) PagesServed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pagesServed
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("pageToken")) // no token: from the first member
	p.mu.Lock()
	p.pagesServed++
	var out page
	from = min(max(from, 0), len(p.members))
	to := min(from+pageSize, len(p.members))
	out.Members = append([]Member{}, p.members[from:to]...)
	for i := range out.Members {
		left := time.Until(p.coldUntil[out.Members[i].MemberID])
		out.Members[i].WarmupLeftMs = float64(max(left, 0).Milliseconds())
	}
	if to < len(p.members) {
		token := strconv.Itoa(to)
		out.NextToken = &token
	}
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(out)
}
