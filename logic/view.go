package logic

import "time"

// steadyFor is how long a server has been set aside before it counts as one that is
// avoided: until then its last answers still come in, and a figure would flicker.
const steadyFor = 500 * time.Millisecond

// CountAvoided returns how many of the listed servers get nothing from this node now: those
// that drain and those set aside, but for one that has a trial. It decides and changes
// nothing.
func (b *Balancer) CountAvoided(now time.Duration) int {
	n := 0
	for _, s := range b.servers {
		rests := s.aside(now) && s.inflight == 0 && now-s.judged >= steadyFor
		if s.listed && (s.State != Serving || rests) {
			n++
		}
	}
	return n
}
