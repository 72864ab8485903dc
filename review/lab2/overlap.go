package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"oakseam/internal/tier/settings"
)

func init() { cases["overlap"] = playOverlap }

// apartBounds are the bounds of telwerk-be-apart.
var apartBounds = map[string]int{
	"seedLagS": 3, "contactMs": 4000, "ackMs": 5000, "drainMs": 4000, "configApplyMs": 2500, "skewMaxMs": 6000, "evacuateMs": 5000,
	"recoveryS": 15, "mergeMs": 3000,
}

const (
	recovery = 15 * time.Second // recoveryS
	merge    = 3 * time.Second  // mergeMs
)

// playOverlap: four of five core machines lose power, the fifth acknowledges an add and then loses its
// disk, and all come back. The edge and storage machines of all five zones run on and reach each other
// and the fifth: no zone is cut off.
func playOverlap(ctx context.Context, l *lab) (bool, error) {
	zones := []string{"gent-a", "gent-b", "antw-a", "leuv-a", "brug-a"}
	s := settingsOf{losses: 2, zones: zones, bounds: apartBounds}
	for i := range 3 {
		s.seeds = append(s.seeds, l.address(0, i+1))
	}
	var cores []*machine
	for _, zone := range zones {
		cores = append(cores, l.add("core-"+zone, settings.Control, zone, s))
	}
	var edges []*machine
	for _, zone := range zones {
		l.add("storage-"+zone, settings.Storage, zone, s)
		edges = append(edges, l.add("edge-"+zone, settings.Edge, zone, s))
	}
	for i, zone := range zones {
		if err := l.startDocumentServer(i, zone); err != nil {
			return false, err
		}
	}
	for _, m := range l.machines {
		if err := l.start(m, true); err != nil {
			return false, err
		}
	}
	if err := l.configure(ctx, cores, documentConfiguration()); err != nil {
		return false, err
	}
	if err := awaitReady(ctx, edges); err != nil {
		return false, err
	}
	if err := awaitTallies(ctx, l, cores); err != nil {
		return false, err
	}
	last := cores[4]
	if status := l.addTally(ctx, last, "t1", "before", 1); status != http.StatusOK {
		return false, errors.New("no add is acknowledged before the trouble")
	}
	if err := sleep(ctx, merge); err != nil {
		return false, err
	}
	if l.trouble {
		for _, m := range cores[:4] {
			if err := l.lose(m, false); err != nil {
				return false, err
			}
		}
	}
	owed, err := addUntilAcknowledged(ctx, l, last)
	if err != nil {
		return false, err
	}
	if l.trouble {
		if err := l.lose(last, true); err != nil {
			return false, err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return false, err
		}
		for _, m := range cores {
			if err := l.start(m, false); err != nil {
				return false, err
			}
		}
	}
	if err := sleep(ctx, recovery+merge); err != nil {
		return false, err
	}
	return missing(ctx, l, cores, owed)
}

// awaitTallies waits until all machines show tallies.
func awaitTallies(ctx context.Context, l *lab, cores []*machine) error {
	for _, m := range cores {
		for {
			if status, _ := l.readTally(ctx, m, "t0"); status == http.StatusOK {
				break
			}
			if err := sleep(ctx, 200*time.Millisecond); err != nil {
				return err
			}
		}
	}
	return sleep(ctx, time.Second)
}

// addUntilAcknowledged repeats an add with one id for some seconds. It returns the total that is owed
// from then on: 2 more if the add was acknowledged.
func addUntilAcknowledged(ctx context.Context, l *lab, m *machine) (owed int, err error) {
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); {
		if l.addTally(ctx, m, "t1", "during", 2) == http.StatusOK {
			return 3, nil
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return 0, err
		}
	}
	l.note("the add was not acknowledged, so it is not owed")
	return 1, nil
}

// missing reports whether a total lacks what is owed at every machine that shows one, for as long as an
// operator reads back. It fails if no machine shows a total.
func missing(ctx context.Context, l *lab, cores []*machine, owed int) (bool, error) {
	shown, whole := 0, 0
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); {
		for _, m := range cores {
			if status, total := l.readTally(ctx, m, "t1"); status == http.StatusOK {
				shown++
				if total >= owed {
					whole++
				}
			}
		}
		if err := sleep(ctx, 500*time.Millisecond); err != nil {
			return false, err
		}
	}
	l.note("%d reads showed a total, %d of them hold the %d that was acknowledged", shown, whole, owed)
	if shown == 0 {
		return false, errors.New("no machine shows a total")
	}
	return whole < shown, nil
}
