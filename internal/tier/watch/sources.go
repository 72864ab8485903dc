package watch

import "time"

// Timing of watch calls.
const (
	// LongPollWait is how long a watch call may stay open without an update.
	LongPollWait = 900 * time.Millisecond
	// ReplyTimeout is the additional time allowed for the reply.
	ReplyTimeout = 700 * time.Millisecond
	// RetryDelay is the pause after a call without a usable reply.
	RetryDelay = 60 * time.Millisecond
	// avoidPeriod is how long a node that failed is tried after all others.
	avoidPeriod = 3 * time.Second
)

// Sources records which core nodes have an open call, which of them failed, and how recent
// the state is that they vouched for. Callers pass in the time. It is not safe for concurrent
// use.
type Sources struct {
	pending     map[string]bool      // addresses with an open call
	failedAt    map[string]time.Time // when a node last failed or could not vouch, by address
	currentAsOf time.Time            // everything that took effect before this time is known
}

// NewSources returns the Sources of a process that starts now without any state.
func NewSources(now time.Time) *Sources {
	return &Sources{pending: map[string]bool{}, failedAt: map[string]time.Time{}, currentAsOf: now}
}

// Choose selects the node for the next call and reserves it. It returns "" if all candidates
// have an open call. It selects the first candidate without an open call that has not failed
// recently. If all have failed, it selects the one that failed longest ago, and the call is
// patient: probably no node can vouch, and repeated calls must not overload them.
func (s *Sources) Choose(now time.Time, candidates []string) (address string, patient bool) {
	best, bestFailedAt := "", time.Time{}
	for _, address := range candidates {
		if s.pending[address] {
			continue
		}
		failedAt := s.failedAt[address]
		if now.Sub(failedAt) >= avoidPeriod {
			failedAt = time.Time{}
		}
		if best == "" || failedAt.Before(bestFailedAt) {
			best, bestFailedAt = address, failedAt
		}
	}
	if best != "" {
		s.pending[best] = true
	}
	return best, !bestFailedAt.IsZero()
}

// Release records that the call to a node has ended.
func (s *Sources) Release(address string) { delete(s.pending, address) }

// RecordFailure records that a node did not reply or could not vouch for its reply.
func (s *Sources) RecordFailure(now time.Time, address string) { s.failedAt[address] = now }

// RecordVouched records that a node vouched for its reply. The node held the call for the
// time held, and its state was at most age old when it replied. Call it after the process
// has taken over the updates in the reply.
func (s *Sources) RecordVouched(address string, sent time.Time, held, age time.Duration) {
	delete(s.failedAt, address)
	// The node received the call after it was sent, however long the reply took to return.
	if asOf := sent.Add(held - age); asOf.After(s.currentAsOf) {
		s.currentAsOf = asOf
	}
}

// Staleness returns an upper bound on how far the known state is behind: everything that took
// effect longer ago is known. Until the first vouched reply it counts from the start of the
// process.
func (s *Sources) Staleness(now time.Time) time.Duration { return now.Sub(s.currentAsOf) }

// NeedSeeds reports whether no node has vouched for so long that nodes outside the directory
// may have to be called.
func (s *Sources) NeedSeeds(now time.Time) bool { return s.Staleness(now) > avoidPeriod }
