package follow

import "time"

// How a core node is asked.
const (
	// LongPollWait is how long a question may stay open without news.
	LongPollWait = 900 * time.Millisecond
	// ReplyTimeout is how much longer its answer may take.
	ReplyTimeout = 700 * time.Millisecond
	// RetryDelay is the pause after a question that was of no use.
	RetryDelay = 60 * time.Millisecond
	// avoidFor is how long a node that was no good source is asked after all others.
	avoidFor = 3 * time.Second
)

// Sources remembers which core nodes are being asked, which were good sources, and how recent
// what they vouched for is. It is pure: the time is handed in. It isn't safe for concurrent use.
type Sources struct {
	asked   map[string]bool      // addresses with an open question
	failed  map[string]time.Time // when an address last didn't answer, or didn't vouch
	vouched time.Time            // everything that had come into force before is known
}

// NewSources returns the Sources of a process that starts now and knows nothing.
func NewSources(now time.Time) *Sources {
	return &Sources{asked: map[string]bool{}, failed: map[string]time.Time{}, vouched: now}
}

// Choose books the node to be asked next, "" where all are being asked: the first candidate, in
// their order, that no other question is open to and that was a good source of late. Where none
// was, the one that failed longest ago is asked to be patient: all are in the same plight, and
// questions must not become a storm.
func (s *Sources) Choose(now time.Time, candidates []string) (address string, patient bool) {
	best, bestAt := "", time.Time{}
	for _, address := range candidates {
		if s.asked[address] {
			continue
		}
		at := s.failed[address]
		if now.Sub(at) >= avoidFor {
			at = time.Time{}
		}
		if best == "" || at.Before(bestAt) {
			best, bestAt = address, at
		}
	}
	if best != "" {
		s.asked[best] = true
	}
	return best, !bestAt.IsZero()
}

// Release tells that a node's question is over.
func (s *Sources) Release(address string) { delete(s.asked, address) }

// RecordFailure tells that a node didn't answer, or couldn't vouch for its answer.
func (s *Sources) RecordFailure(now time.Time, address string) { s.failed[address] = now }

// RecordVouched tells that a node vouched for its answer: it had held the question for that long, and
// what it told was of that age at the most. Call it when the process goes by the answer's news.
func (s *Sources) RecordVouched(address string, sent time.Time, held, age time.Duration) {
	delete(s.failed, address)
	// The question came after it was sent, whatever the answer's way back took.
	if recent := sent.Add(held - age); recent.After(s.vouched) {
		s.vouched = recent
	}
}

// Staleness is how old what is known may be: everything that had come into force before is known. It
// counts from the start of the process until a first answer was vouched for.
func (s *Sources) Staleness(now time.Time) time.Duration { return now.Sub(s.vouched) }

// NeedSeeds tells whether nobody has vouched for so long that other nodes than those that are known
// of may have to be asked.
func (s *Sources) NeedSeeds(now time.Time) bool { return s.Staleness(now) > avoidFor }
