package tierlab

import (
	"context"
	"sync"

	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/tier/settings"
)

// buildApplications creates an application in each zone that has a core machine.
func (l *lab) buildApplications() {
	cores := l.machinesOf(settings.Control)
	count := min(len(zones), len(cores))
	for number := range count {
		l.applications = append(l.applications, tierfakes.NewApplication(tierfakes.ApplicationOptions{
			Number: number, Count: count, Cores: nearestFirst(cores, zones[number]), Seed: l.opt.Seed, Recorder: l.recorder}))
	}
}

// nearestFirst returns the addresses of core machines, those of a zone first.
func nearestFirst(cores []*machine, zone string) []tierfakes.CoreAddress {
	var near, far []tierfakes.CoreAddress
	for _, m := range cores {
		address := tierfakes.CoreAddress{Machine: m.Name, Address: m.Control()}
		if m.Zone == zone {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return append(near, far...)
}

// readTallies has each application read its tallies within the time of contact.
func (l *lab) readTallies(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, contactBound)
	defer cancel()
	var reading sync.WaitGroup
	for _, application := range l.applications {
		reading.Go(func() { application.ReadAll(ctx) })
	}
	reading.Wait()
}
