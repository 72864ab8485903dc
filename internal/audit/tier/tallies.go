package tier

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// TallyAdd is one add to a tally, under an id that counts once however often it is sent.
type TallyAdd struct {
	Tally  string
	Member string
	// Amount is a power of two that no other add to the tally has, so that a total tells which adds
	// it holds.
	Amount uint64
	Tries  []TallyTry
}

// TallyTry is one call of an add at a core machine.
type TallyTry struct {
	Core   string
	Sent   time.Duration
	At     time.Duration // when its answer ended, or the caller gave up
	Status int           // 0: no complete answer
}

// TallyRead is one call that reads a tally at a core machine.
type TallyRead struct {
	Tally  string
	Core   string
	Sent   time.Duration
	At     time.Duration
	Status int // 0: no complete answer
	Total  uint64
	Final  bool // belongs to the reads after all troubles
}

// Disruption is a time in which a machine was not running as usual.
type Disruption struct {
	Machine string
	Core    bool // the machine is one of the core
	From    time.Duration
	Until   time.Duration
}

// forbidden reports whether a try's answer promises that nothing was counted.
func (t *TallyTry) forbidden() bool {
	return t.Status == http.StatusServiceUnavailable || t.Status >= http.StatusBadRequest && t.Status < http.StatusInternalServerError
}

// mayCount reports whether a try that was sent by a time may have counted its add.
func (a *TallyAdd) mayCount(by time.Duration) bool {
	return slices.ContainsFunc(a.Tries, func(t TallyTry) bool { return t.Sent <= by && !t.forbidden() })
}

// acknowledged reports whether a try for which the condition holds was acknowledged by a time.
func (a *TallyAdd) acknowledged(by time.Duration, condition func(*TallyTry) bool) bool {
	return slices.ContainsFunc(a.Tries, func(t TallyTry) bool { return t.Status == http.StatusOK && t.At <= by && condition(&t) })
}

// anyTry holds for each try.
func anyTry(*TallyTry) bool { return true }

// checkTallies checks every total that was read, and whether each tally is readable at the end.
func (c *checker) checkTallies() {
	byTally := map[string][]*TallyAdd{}
	for i := range c.history.TallyAdds {
		add := &c.history.TallyAdds[i]
		byTally[add.Tally] = append(byTally[add.Tally], add)
	}
	readable := map[string]bool{}
	for i := range c.history.TallyReads {
		read := &c.history.TallyReads[i]
		if read.Status != http.StatusOK {
			continue
		}
		readable[read.Tally] = readable[read.Tally] || read.Final
		c.checkTotal(read, byTally[read.Tally])
	}
	for _, tally := range slices.Sorted(maps.Keys(byTally)) {
		c.check(TallyDurable, readable[tally], "%s could not be read at the end", tally)
	}
}

// checkTotal checks one total against the adds to its tally.
func (c *checker) checkTotal(read *TallyRead, adds []*TallyAdd) {
	mergedBy := c.mergedBy(read.Sent)
	var possible uint64
	for _, add := range adds {
		if add.mayCount(read.At) {
			possible |= add.Amount
		}
		c.checkPresent(read, add, mergedBy)
	}
	c.check(TallyCountsOnce, read.Total&^possible == 0, "%s read %#x at %s at %s, but only %#x could have been counted",
		read.Tally, read.Total, read.Core, formatTime(read.At), possible)
}

// checkPresent checks whether a total holds an add, if it must.
func (c *checker) checkPresent(read *TallyRead, add *TallyAdd, mergedBy time.Duration) {
	present := read.Total&add.Amount != 0
	own := func(t *TallyTry) bool { return t.Core == read.Core && !c.startedWithin(t.Core, t.Sent, read.At) }
	if add.acknowledged(read.Sent, own) {
		c.check(TallyHoldsOwnAdds, present, "%s read %#x at %s at %s without %#x of %s, which the same process had acknowledged",
			read.Tally, read.Total, read.Core, formatTime(read.At), add.Amount, add.Member)
	}
	if add.acknowledged(mergedBy, anyTry) {
		c.check(TallyMerged, present, "%s read %#x at %s at %s without %#x of %s, which was acknowledged by %s",
			read.Tally, read.Total, read.Core, formatTime(read.At), add.Amount, add.Member, formatTime(mergedBy))
	}
	if read.Final && add.acknowledged(read.Sent-c.bounds.Merge, anyTry) {
		c.check(TallyDurable, present, "%s read %#x at %s at the end without %#x of %s, which was acknowledged",
			read.Tally, read.Total, read.Core, add.Amount, add.Member)
	}
}

// startedWithin reports whether a machine's process was started within a time.
func (c *checker) startedWithin(machine string, from, until time.Duration) bool {
	return slices.ContainsFunc(c.history.Starts[machine], func(at time.Duration) bool { return from <= at && at <= until })
}

// mergedBy returns the latest time after which the bound for merging passed without disruption of
// the core before the given time. It is below zero if there is none.
func (c *checker) mergedBy(at time.Duration) time.Duration {
	start := at - c.bounds.Merge
	for i := 0; i < len(c.history.Disruptions); i++ {
		d := &c.history.Disruptions[i]
		if d.Core && d.From <= start+c.bounds.Merge && d.Until >= start {
			start = min(start, d.From-c.bounds.Merge-1)
			i = -1 // an earlier one may overlap now
		}
	}
	return start
}
