package tierlab

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	audit "oakseam/internal/audit/tier"
	"oakseam/internal/tier/settings"
	"oakseam/internal/wait"
)

// isolationWatch is how long a zone stays alone after it must know that it is.
const isolationWatch = 2 * time.Second

// machinesIn returns the machines of a zone.
func (l *lab) machinesIn(zone string) []*machine {
	var machines []*machine
	for _, m := range l.machines {
		if m.Zone == zone {
			machines = append(machines, m)
		}
	}
	return machines
}

// isolationShare returns the fraction of the run in which a zone is alone.
func (l *lab) isolationShare() float64 {
	if !l.opt.Harsh {
		return 0
	}
	return (contactBound + isolationWatch).Seconds() / l.opt.Seconds
}

// isolate freezes the machines of all other zones for a while: to the zone's own machines this is
// a cut of all its links.
func (l *lab) isolate(ctx context.Context, zone string) error {
	var frozen []*machine
	isolation := audit.Isolation{Zone: zone}
	for _, m := range l.machines {
		switch {
		case m.Zone != zone && m.currentProcess() != nil:
			frozen = append(frozen, m)
		case m.Zone == zone && m.Serves == settings.Edge:
			isolation.Edges = append(isolation.Edges, m.Name)
		case m.Zone == zone && m.Serves == settings.Control:
			isolation.Cores = append(isolation.Cores, m.Name)
		}
	}
	for _, m := range frozen {
		disrupted := l.beginDisruption(m)
		defer func() { l.recorder.RecordDisruption(disrupted) }()
	}
	err := signalAll(frozen, syscall.SIGSTOP)
	isolation.From = l.recorder.Now()
	start := l.elapsed()
	wait.For(ctx, contactBound+isolationWatch)
	l.recorder.RecordIsolation(isolation)
	err = errors.Join(err, signalAll(frozen, syscall.SIGCONT))
	l.recorder.RecordFault(fmt.Sprintf("at %s the machines of all zones but %s freeze, and at %s they continue", start, zone, l.elapsed()))
	return err
}

// signalAll sends a signal to the processes of machines.
func signalAll(machines []*machine, signal syscall.Signal) error {
	var failures []error
	for _, m := range machines {
		if err := m.currentProcess().Signal(signal); err != nil {
			failures = append(failures, errors.Wrap(err, m.Name))
		}
	}
	return errors.Join(failures...)
}
