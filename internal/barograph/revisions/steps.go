package revisions

import "pipitmux/internal/station/protocol"

// Bounds of the steps that are remembered for those who are a little behind.
const (
	maxSteps     = 64
	maxStepBytes = 256 << 10 // bytes of their patches
)

// Step leads from one configuration to the next.
type Step = protocol.ConfigurationStep

// steps are the newest ones, each on the one before it.
type recentSteps struct {
	list []Step
	size int // bytes of their patches
}

// add takes the newest step on and lets the oldest go.
func (s *recentSteps) add(next Step) {
	s.list = append(s.list, next)
	s.size += len(next.Patch)
	for len(s.list) > maxSteps || s.size > maxStepBytes && len(s.list) > 0 {
		s.size -= len(s.list[0].Patch)
		s.list = s.list[1:]
	}
}

// from gives the steps from a revision on, false where it isn't among them.
func (s *recentSteps) from(revision uint64) ([]Step, bool) {
	for i, step := range s.list {
		if step.Base == revision {
			return s.list[i:], true
		}
	}
	return nil, false
}
