package tierlab

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	tierfakes "oakseam/internal/fakes/tier"
)

// Number and behavior of the servers.
const (
	toolServers     = 6
	engineServers   = 6
	toolSlots       = 6
	engineSlots     = 8
	maxWaiting      = 4
	toolServiceTime = 6 * time.Millisecond
	eventInterval   = 8 * time.Millisecond
	warmup          = 3 * time.Second // for which a server is cold
	breakOneIn      = 50              // with Options.Harsh, one run in this many breaks off
)

func (l *lab) startServers() error {
	for range toolServers {
		if _, err := l.startServer(toolService, "", false); err != nil {
			return err
		}
	}
	for range engineServers {
		if _, err := l.startServer(engineService, "", false); err != nil {
			return err
		}
	}
	return nil
}

// startServer starts a server of a service and has the platform list it. If address is empty the
// server gets its own address. A server that starts during traffic is cold at first.
func (l *lab) startServer(service, address string, cold bool) (*tierfakes.Server, error) {
	l.mu.Lock()
	l.serverCount++
	number := l.serverCount
	l.mu.Unlock()
	o := tierfakes.ServerOptions{
		Member: tierfakes.Member{MemberID: fmt.Sprintf("%s-%d", service, number), PoolName: service, Zone: zones[number%len(zones)],
			Capacity: toolSlots, MemberState: tierfakes.InService},
		Listen: cmp.Or(address, fmt.Sprintf("%s.%d.%d:0", l.opt.Network, serverSubnet, number+1)),
		Slots:  toolSlots, QueueLimit: maxWaiting, ServiceTime: toolServiceTime, EventInterval: eventInterval, Recorder: l.recorder,
	}
	if service == engineService {
		o.Engine, o.Slots, o.Member.Capacity = true, engineSlots, engineSlots
	}
	if l.opt.Harsh {
		o.BreakOneIn = breakOneIn
	}
	s, err := tierfakes.NewServer(o)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.servers = append(l.servers, s)
	l.mu.Unlock()
	if cold {
		l.makeCold(s)
	}
	l.platform.Put(s.Member)
	return s, nil
}

// makeCold makes a server cold from now on.
func (l *lab) makeCold(s *tierfakes.Server) {
	l.recorder.RecordCold(s.Member.MemberID, warmup)
	l.platform.PutCold(s.Member.MemberID, time.Now().Add(warmup))
}

// makeZoneCold makes all servers of a zone cold, as if it had no power while it was evacuated.
func (l *lab) makeZoneCold(zone string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.servers {
		if s.Member.Zone == zone {
			l.makeCold(s)
		}
	}
}

// crashServer ends a tool server together with its requests. A server of the other service takes
// over its address at once, before the platform lists either change.
func (l *lab) crashServer() error {
	l.mu.Lock()
	index := slices.IndexFunc(l.servers, func(s *tierfakes.Server) bool { return s.Member.PoolName == toolService })
	old := l.servers[index]
	l.servers = slices.Delete(l.servers, index, index+1)
	l.mu.Unlock()
	old.Close()
	l.platform.Remove(old.Member)
	successor, err := l.startServer(engineService, old.Member.Address, true)
	if err != nil {
		return err
	}
	l.recorder.RecordFault(fmt.Sprintf("at %s %s crashes, and %s takes over its address", l.elapsed(), old.Member.MemberID, successor.Member.MemberID))
	return nil
}

// rollingRelease replaces every other server by a new one. The old ones drain, are removed from the
// list once they have no requests in flight, and end.
func (l *lab) rollingRelease(ctx context.Context) error {
	l.mu.Lock()
	var old []*tierfakes.Server
	for i, s := range l.servers {
		if i%2 == 0 {
			old = append(old, s)
		}
	}
	l.mu.Unlock()
	l.recorder.RecordFault(fmt.Sprintf("at %s a release begins: %d servers drain, as many new ones start", l.elapsed(), len(old)))
	for _, s := range old {
		if _, err := l.startServer(s.Member.PoolName, "", true); err != nil {
			return err
		}
		draining := s.Member
		draining.MemberState = tierfakes.Draining
		l.platform.Put(draining)
	}
	drained := time.After(platformDelay + drainBound)
	select {
	case <-drained:
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, s := range old {
		if err := waitUntil(ctx, "drain of "+s.Member.MemberID, func() bool { return s.InFlight() == 0 }); err != nil {
			return err
		}
		l.platform.Remove(s.Member)
	}
	removed := time.After(platformDelay + time.Second)
	select {
	case <-removed:
	case <-ctx.Done():
		return ctx.Err()
	}
	for _, s := range old {
		s.Close()
	}
	l.recorder.RecordFault(fmt.Sprintf("at %s the old servers of the release have ended", l.elapsed()))
	return nil
}
