package revisions

import "oakseam/internal/tier/protocol"

// Bounds of the steps that are kept for nodes that are slightly behind.
const (
	maxSteps     = 64
	maxStepBytes = 256 << 10 // bytes of their patches
)

// Step is the patch from one configuration to the next.
type Step = protocol.ConfigurationStep

// recentSteps holds the newest steps. The base of each is the revision of the one before it.
type recentSteps struct {
	list []Step
	size int // bytes of their patches
}

// add appends the newest step and drops the oldest ones beyond the bounds.
func (s *recentSteps) add(next Step) {
	s.list = append(s.list, next)
	s.size += len(next.Patch)
	for len(s.list) > maxSteps || s.size > maxStepBytes && len(s.list) > 0 {
		s.size -= len(s.list[0].Patch)
		s.list = s.list[1:]
	}
}

// from returns the steps that start at a revision, or false if the revision is not their start.
func (s *recentSteps) from(revision uint64) ([]Step, bool) {
	for i, step := range s.list {
		if step.Base == revision {
			return s.list[i:], true
		}
	}
	return nil, false
}
