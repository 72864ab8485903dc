package logic

import "time"

// Avoided returns how many of the listed servers get nothing from this node now: those
// that drain and those set aside, but for one that has a trial. It decides and changes nothing.
func (b *Balancer) Avoided(now time.Duration) int {
	n := 0
	for _, s := range b.servers {
		if s.listed && (s.State != Serving || s.aside(now) && s.inflight == 0) {
			n++
		}
	}
	return n
}
