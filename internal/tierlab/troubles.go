package tierlab

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	play "pipitmux/internal/standin/tier"
	"pipitmux/internal/station/protocol"
	"pipitmux/internal/station/settings"
)

const (
	// ownerWithin is how long a core node may take to say whether it owns a group.
	ownerWithin = 400 * time.Millisecond
	// troubleShare is the part of the run in which troubles come, and downShare the part of
	// each one's time for which what was lost stays away.
	troubleShare = 0.8
	downShare    = 0.3
	// beforeCrash and beforeRelease are the parts of the run before servers are touched.
	beforeCrash   = 0.1
	beforeRelease = 0.1
)

// trouble is what happens to the tier's machines at one time. It ends what it began.
type trouble func(ctx context.Context) error

// troubles come one after the other, as many machines being lost at once as the tier
// promises to bear; servers crash and are released beside them.
func (l *lab) troubles(ctx, day context.Context) error {
	if l.opt.Calm {
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, remaining(day)+settleWithin, errors.New("the troubles did not end in time"))
	defer cancel()
	var beside sync.WaitGroup
	var released error
	beside.Go(func() { released = l.changeServers(ctx) })
	err := l.lose(ctx)
	beside.Wait()
	return errors.Join(err, released)
}

// remaining is how long the day still lasts.
func remaining(day context.Context) time.Duration {
	until, _ := day.Deadline()
	return time.Until(until)
}

func (l *lab) changeServers(ctx context.Context) error {
	l.pause(ctx, beforeCrash)
	if err := l.crashServer(); err != nil {
		return err
	}
	l.pause(ctx, beforeRelease)
	return l.release(ctx)
}

// lose carries out all troubles, evenly spread.
func (l *lab) lose(ctx context.Context) error {
	storages, edges := l.of(settings.Storage), l.of(settings.Edge)
	all := []trouble{
		func(ctx context.Context) error { return l.lostAndBack(ctx, storages[0], false) },
		func(ctx context.Context) error { return l.lostAndBack(ctx, storages[1], true) },
		l.loseOwner,
		func(context.Context) error { return l.restart(edges[0]) },
	}
	if l.opt.Harsh {
		all = append(all,
			func(ctx context.Context) error { return l.lostAndBack(ctx, edges[len(edges)-1], false) },
			func(ctx context.Context) error { return l.freeze(ctx, storages[2]) },
			func(ctx context.Context) error { return l.freeze(ctx, edges[0]) },
			func(ctx context.Context) error { return l.retire(ctx, storages[len(storages)-1]) },
			l.losePower,
		)
	}
	l.slot = troubleShare / float64(len(all))
	for _, t := range all {
		l.pause(ctx, l.slot*(1-downShare))
		if err := t(ctx); err != nil {
			return err
		}
	}
	return nil
}

// down waits while what was lost stays away.
func (l *lab) down(ctx context.Context) { l.pause(ctx, l.slot*downShare) }

// lostAndBack kills a machine's process and starts it again, without what its disk held
// where that is wiped.
func (l *lab) lostAndBack(ctx context.Context, m *machine, wiped bool) error {
	with := "with its disk"
	m.kill()
	from := l.clock()
	if wiped {
		with = "with an empty disk"
		if err := m.WipeDisk(); err != nil {
			return err
		}
	}
	l.down(ctx)
	l.record.Killed(fmt.Sprintf("at %s %s is killed, and at %s started again %s", from, m.Name, l.clock(), with))
	return l.start(m, false)
}

func (l *lab) loseOwner(ctx context.Context) error {
	owner, err := l.configurationOwner(ctx)
	if err != nil {
		return err
	}
	l.record.Killed(fmt.Sprintf("at %s the configuration's owner is %s", l.clock(), owner.Name))
	return l.lostAndBack(ctx, owner, false)
}

// restart ends a process as the platform does, and starts it again.
func (l *lab) restart(m *machine) error {
	from := l.clock()
	process := m.drop()
	if process == nil {
		return errors.Errorf("%s is not running", m.Name)
	}
	if err := play.End(process); err != nil {
		l.crash(fmt.Sprintf("%s was told to end at %s, and by %s: %v", m.Name, from, l.clock(), err))
	}
	l.record.Killed(fmt.Sprintf("at %s %s is told to end, and has by %s, when it is started again", from, m.Name, l.clock()))
	return l.start(m, false)
}

// freeze stops a machine's process for a while: it says nothing and loses nothing.
func (l *lab) freeze(ctx context.Context, m *machine) error {
	process := m.running()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		return errors.Wrap(err, m.Name)
	}
	from := l.clock()
	l.down(ctx)
	l.record.Killed(fmt.Sprintf("at %s %s freezes, and at %s it goes on", from, m.Name, l.clock()))
	return process.Signal(syscall.SIGCONT)
}

// retire empties a storage machine and switches it off for good.
func (l *lab) retire(ctx context.Context, m *machine) error {
	from := l.clock()
	if err := l.operator.Retire(ctx, m.Name); err != nil {
		return err
	}
	m.kill()
	l.record.Killed(fmt.Sprintf("at %s %s is to be emptied, and at %s it is switched off", from, m.Name, l.clock()))
	return nil
}

// losePower kills all processes at once and starts all again with their disks, those that
// were running.
func (l *lab) losePower(ctx context.Context) error {
	var lost []*machine
	var killed sync.WaitGroup
	for _, m := range l.machines {
		if m.running() != nil {
			lost = append(lost, m)
			killed.Go(m.kill)
		}
	}
	killed.Wait()
	from := l.clock()
	l.down(ctx)
	for _, m := range lost {
		if err := l.start(m, false); err != nil {
			return err
		}
	}
	l.record.Killed(fmt.Sprintf("at %s all lose power, and at %s all are started again", from, l.clock()))
	return nil
}

// configurationOwner finds the core machine that owns the configuration's group.
func (l *lab) configurationOwner(ctx context.Context) (*machine, error) {
	var owner *machine
	err := await(ctx, "the configuration's owner", func() bool {
		for _, m := range l.of(settings.Control) {
			if l.owns(ctx, m) {
				owner = m
				return true
			}
		}
		return false
	})
	return owner, err
}

func (l *lab) owns(ctx context.Context, m *machine) bool {
	ctx, cancel := context.WithTimeout(ctx, ownerWithin)
	defer cancel()
	args := protocol.IndexArgs{Group: protocol.ConfigurationGroup, Within: ownerWithin}
	var reply protocol.IndexReply
	err := l.calls.Call(ctx, m.Internal(protocol.CorePort), "Replica.Index", &args, &reply)
	return err == nil && reply.Outcome == protocol.Done
}
