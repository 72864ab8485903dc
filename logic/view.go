package logic

import "time"

// minAvoidedTime is how long a server must have been ejected before it counts as avoided: until then its last
// answers still come in and the count would flicker.
const minAvoidedTime = 500 * time.Millisecond

// CountAvoided returns how many listed servers get no requests from this node now: draining ones, and ejected
// ones except while a probe is in flight. It changes nothing.
func (b *Balancer) CountAvoided(now time.Duration) int {
	n := 0
	for _, s := range b.servers {
		idle := s.ejected(now) && s.inflight == 0 && now-s.ejectedAt >= minAvoidedTime
		if s.listed && (s.State != Serving || idle) {
			n++
		}
	}
	return n
}
