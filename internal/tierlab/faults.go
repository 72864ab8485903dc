package tierlab

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	audit "oakseam/internal/audit/tier"
	tierfakes "oakseam/internal/fakes/tier"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/settings"
)

const (
	// leaderTimeout bounds asking a core node whether it leads a group.
	leaderTimeout = 400 * time.Millisecond
	// faultsShare is the fraction of the run in which faults are injected. downShare is the fraction
	// of a fault's time for which the lost machine stays away.
	faultsShare = 0.8
	downShare   = 0.3
	// minFaultsShare is the least fraction for faults, beside the fixed time of an isolation.
	minFaultsShare = 0.4
	// crashAfter and releaseAfter are the fractions of the run before a server crashes, and from then
	// until servers are released.
	crashAfter   = 0.1
	releaseAfter = 0.1
)

// fault is one fault of the tier's machines. The function also ends the fault.
type fault func(ctx context.Context) error

// injectFaults injects one machine fault after the other, losing as many machines at once as the
// tier promises to tolerate. In parallel, a server crashes and servers are released.
func (l *lab) injectFaults(ctx, workCtx context.Context) error {
	if l.opt.Calm {
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, remaining(workCtx)+settleTimeout, errors.New("the injected faults did not end in time"))
	defer cancel()
	var background sync.WaitGroup
	var serverErr error
	background.Go(func() { serverErr = l.changeServers(ctx) })
	err := l.injectMachineFaults(ctx)
	background.Wait()
	return errors.Join(err, serverErr)
}

// remaining returns the time until the deadline of workCtx.
func remaining(workCtx context.Context) time.Duration {
	until, _ := workCtx.Deadline()
	return time.Until(until)
}

func (l *lab) changeServers(ctx context.Context) error {
	l.pause(ctx, crashAfter)
	if err := l.crashServer(); err != nil {
		return err
	}
	l.pause(ctx, releaseAfter)
	return l.rollingRelease(ctx)
}

// injectMachineFaults injects all machine faults, evenly spread.
func (l *lab) injectMachineFaults(ctx context.Context) error {
	storages, edges := l.machinesOf(settings.Storage), l.machinesOf(settings.Edge)
	cores := l.machinesOf(settings.Control)
	all := []fault{
		func(ctx context.Context) error { return l.killAndRestart(ctx, storages[0], false) },
		func(ctx context.Context) error { return l.killAndRestart(ctx, storages[1], true) },
		l.killLeader,
		func(context.Context) error { return l.terminateAndRestart(edges[0]) },
	}
	if l.opt.Harsh {
		all = append(all,
			func(ctx context.Context) error { return l.killAndRestart(ctx, edges[len(edges)-1], false) },
			func(ctx context.Context) error { return l.freeze(ctx, storages[2]) },
			func(ctx context.Context) error { return l.freeze(ctx, edges[0]) },
			func(ctx context.Context) error { return l.freeze(ctx, cores[0]) },
			func(ctx context.Context) error { return l.killAndRestart(ctx, cores[len(cores)-1], true) },
			func(ctx context.Context) error { return l.retire(ctx, storages[len(storages)-1]) },
			func(ctx context.Context) error { return l.isolate(ctx, zones[0]) },
			func(ctx context.Context) error {
				return l.losePower(ctx, "the machines of "+zones[1], l.machinesIn(zones[1]))
			},
			func(ctx context.Context) error { return l.losePower(ctx, "all machines", l.machines) },
		)
	}
	l.faultShare = max(faultsShare-l.isolationShare(), minFaultsShare) / float64(len(all))
	for _, inject := range all {
		l.pause(ctx, l.faultShare*(1-downShare))
		if err := inject(ctx); err != nil {
			return err
		}
	}
	return nil
}

// beginDisruption returns the disruption of a machine that begins now. It is recorded when it ends.
func (l *lab) beginDisruption(m *machine) audit.Disruption {
	return audit.Disruption{Machine: m.Name, Core: m.Serves == settings.Control, From: l.recorder.Now()}
}

// waitDown waits while the lost machine stays away.
func (l *lab) waitDown(ctx context.Context) { l.pause(ctx, l.faultShare*downShare) }

// killAndRestart kills a machine's process and starts it again later, with an empty disk if wiped.
func (l *lab) killAndRestart(ctx context.Context, m *machine, wiped bool) error {
	diskState := "with its disk"
	disrupted := l.beginDisruption(m)
	m.kill()
	start := l.elapsed()
	if wiped {
		diskState = "with an empty disk"
		if err := m.WipeDisk(); err != nil {
			return err
		}
	}
	l.waitDown(ctx)
	l.recorder.RecordFault(fmt.Sprintf("at %s %s is killed, and at %s started again %s", start, m.Name, l.elapsed(), diskState))
	defer l.recorder.RecordDisruption(disrupted)
	return l.start(m, false)
}

func (l *lab) killLeader(ctx context.Context) error {
	leader, err := l.configurationLeader(ctx)
	if err != nil {
		return err
	}
	l.recorder.RecordFault(fmt.Sprintf("at %s the leader of the configuration group is %s", l.elapsed(), leader.Name))
	return l.killAndRestart(ctx, leader, false)
}

// terminateAndRestart ends a process with SIGTERM, as the platform does, and starts it again.
func (l *lab) terminateAndRestart(m *machine) error {
	start := l.elapsed()
	disrupted := l.beginDisruption(m)
	process := m.takeProcess()
	if process == nil {
		return errors.Errorf("%s is not running", m.Name)
	}
	if err := tierfakes.Terminate(process); err != nil {
		l.recordCrash(fmt.Sprintf("%s was sent SIGTERM at %s and had not ended properly by %s: %v", m.Name, start, l.elapsed(), err))
	}
	l.recorder.RecordFault(fmt.Sprintf("at %s %s is sent SIGTERM, and at %s it has ended and is started again", start, m.Name, l.elapsed()))
	defer l.recorder.RecordDisruption(disrupted)
	return l.start(m, false)
}

// freeze stops a machine's process with SIGSTOP for a while: it answers nothing and loses nothing.
func (l *lab) freeze(ctx context.Context, m *machine) error {
	process := m.currentProcess()
	disrupted := l.beginDisruption(m)
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrap(err, m.Name)
	}
	start := l.elapsed()
	l.waitDown(ctx)
	l.recorder.RecordFault(fmt.Sprintf("at %s %s freezes, and at %s it continues", start, m.Name, l.elapsed()))
	defer l.recorder.RecordDisruption(disrupted)
	return process.Signal(syscall.SIGCONT)
}

// retire drains a storage machine of its data and switches it off for good.
func (l *lab) retire(ctx context.Context, m *machine) error {
	start := l.elapsed()
	if err := l.operator.Retire(ctx, m.Name); err != nil {
		return err
	}
	m.kill()
	l.recorder.RecordFault(fmt.Sprintf("at %s %s is retired, and at %s it is switched off", start, m.Name, l.elapsed()))
	return nil
}

// losePower kills the running processes of machines at once and starts them again with their disks.
func (l *lab) losePower(ctx context.Context, description string, machines []*machine) error {
	var lost []*machine
	var disrupted []audit.Disruption
	var killed sync.WaitGroup
	for _, m := range machines {
		if m.currentProcess() != nil {
			lost = append(lost, m)
			disrupted = append(disrupted, l.beginDisruption(m))
			killed.Go(m.kill)
		}
	}
	killed.Wait()
	start := l.elapsed()
	l.waitDown(ctx)
	for _, m := range lost {
		if err := l.start(m, false); err != nil {
			return err
		}
	}
	for _, d := range disrupted {
		l.recorder.RecordDisruption(d)
	}
	l.recorder.RecordFault(fmt.Sprintf("at %s %s lose power, and at %s they are started again", start, description, l.elapsed()))
	return nil
}

// configurationLeader finds the core machine that leads the configuration group.
func (l *lab) configurationLeader(ctx context.Context) (*machine, error) {
	var leader *machine
	err := waitUntil(ctx, "leader of the configuration group", func() bool {
		for _, m := range l.machinesOf(settings.Control) {
			if l.isLeader(ctx, m) {
				leader = m
				return true
			}
		}
		return false
	})
	return leader, err
}

func (l *lab) isLeader(ctx context.Context, m *machine) bool {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	args := protocol.IndexArgs{Group: protocol.ConfigurationGroup, Within: leaderTimeout}
	var reply protocol.IndexReply
	err := l.connections.Call(ctx, m.Internal(protocol.CorePort), "Replica.Index", &args, &reply)
	return err == nil && reply.Outcome == protocol.Done
}
