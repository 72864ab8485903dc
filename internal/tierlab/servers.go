package tierlab

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	play "pipitmux/internal/standin/tier"
)

// What servers do.
const (
	toolServers   = 4
	engineServers = 6
	toolSlots     = 6
	engineSlots   = 8
	waitingMost   = 4
	toolWork      = 6 * time.Millisecond
	betweenEvents = 8 * time.Millisecond
	warmup        = 500 * time.Millisecond
	breaksOne     = 50
)

func (l *lab) openServers() error {
	for range toolServers {
		if _, err := l.openServer(toolService, ""); err != nil {
			return err
		}
	}
	for range engineServers {
		if _, err := l.openServer(engineService, ""); err != nil {
			return err
		}
	}
	return nil
}

// openServer starts a server of a service and has the platform list it. Where no address
// is given it has one of its own.
func (l *lab) openServer(service, address string) (*play.Server, error) {
	l.mu.Lock()
	l.numbers++
	number := l.numbers
	l.mu.Unlock()
	o := play.ServerOptions{
		Member: play.Member{MemberID: fmt.Sprintf("%s-%d", service, number), PoolName: service, Zone: zones[number%len(zones)],
			Capacity: toolSlots, MemberState: play.InService, WarmupLeftMs: float64(warmup.Milliseconds())},
		Listen: cmp.Or(address, fmt.Sprintf("%s.%d.%d:0", l.opt.Network, serverSubnet, number+1)),
		Slots:  toolSlots, Waiting: waitingMost, Work: toolWork, Between: betweenEvents, Record: l.record,
	}
	if service == engineService {
		o.Engine, o.Slots, o.Member.Capacity = true, engineSlots, engineSlots
	}
	if l.opt.Harsh {
		o.BreaksOne = breaksOne
	}
	s, err := play.NewServer(o)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	l.platform.Put(s.Member)
	return s, nil
}

// crashServer ends a tool's server with what it has in hand. A server of the other service
// has its address at once, before the platform lists any of that.
func (l *lab) crashServer() error {
	l.mu.Lock()
	at := slices.IndexFunc(l.servers, func(s *play.Server) bool { return s.Member.PoolName == toolService })
	old := l.servers[at]
	l.servers = slices.Delete(l.servers, at, at+1)
	l.mu.Unlock()
	old.Close()
	l.platform.Remove(old.Member)
	other, err := l.openServer(engineService, old.Member.Address)
	if err != nil {
		return err
	}
	l.record.Killed(fmt.Sprintf("at %s %s crashes, and %s has its address", l.clock(), old.Member.MemberID, other.Member.MemberID))
	return nil
}

// release replaces every other server by a new one: the old ones drain, are listed no
// more once they have nothing in hand, and end.
func (l *lab) release(ctx context.Context) error {
	l.mu.Lock()
	var old []*play.Server
	for i, s := range l.servers {
		if i%2 == 0 {
			old = append(old, s)
		}
	}
	l.mu.Unlock()
	l.record.Killed(fmt.Sprintf("at %s a release begins: %d servers drain, as many new ones come", l.clock(), len(old)))
	for _, s := range old {
		if _, err := l.openServer(s.Member.PoolName, ""); err != nil {
			return err
		}
		draining := s.Member
		draining.MemberState = play.Draining
		l.platform.Put(draining)
	}
	rested := time.After(lag + drainWithin)
	select {
	case <-rested:
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, s := range old {
		if err := await(ctx, "drain of "+s.Member.MemberID, func() bool { return s.Held() == 0 }); err != nil {
			return err
		}
		l.platform.Remove(s.Member)
	}
	gone := time.After(lag + time.Second)
	select {
	case <-gone:
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, s := range old {
		s.Close()
	}
	l.record.Killed(fmt.Sprintf("at %s the released servers are gone", l.clock()))
	return nil
}
