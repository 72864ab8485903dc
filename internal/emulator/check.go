package emulator

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"pipitmux/internal/arrivals"
)

const far = 1e9

// checker keeps the first fault that it finds, and the key it stands at.
type checker struct{ key, fault string }

func (c *checker) bad(k, format string, args ...any) {
	if c.fault == "" {
		c.key, c.fault = k, fmt.Sprintf(format, args...)
	}
}

func (c *checker) span(k string, v Range, least, most float64) {
	if !v.within(least, most) {
		c.bad(k, "must lie from %g to %g, the lower figure first", least, most)
	}
}

func (c *checker) oneOf(k, v string, of []string) {
	if !slices.Contains(of, v) {
		c.bad(k, "%q is not one of %s", v, strings.Join(of, ", "))
	}
}

// named wants a name that those before it don't have, and returns them all.
func (c *checker) named(k, name string, before []string) []string {
	if name == "" || slices.Contains(before, name) {
		c.bad(k+".name", "must be there and unlike the others")
	}
	return append(before, name)
}

// check returns the key of the first figure that no day can be drawn with, and why.
func (s *Scenario) check() (key, fault string) {
	c := &checker{}
	c.span("seconds", s.Seconds, .001, 1e6)
	c.span("tick_ms", s.TickMS, 0, 1000)
	if s.MaxRequests < 0 {
		c.bad("max_reqs", "must not be negative")
	}
	if len(s.Zones) == 0 {
		c.bad("zones", "at least one zone is needed")
	}
	var names []string
	for i, z := range s.Zones {
		k := fmt.Sprintf("zones.%d", i)
		names = c.named(k, z.Name, names)
		c.span(k+".traffic", z.Traffic, 0, far)
		c.span(k+".backends", z.Backends, 0, far)
	}
	c.span("net.same_ms", s.Net.SameMS, 0, 1e5)
	c.span("net.cross_ms", s.Net.CrossMS, 0, 1e5)
	c.span("net.client_ms", s.Net.ClientMS, 0, 1e5)
	c.span("net.jitter", s.Net.Jitter, 0, 1)
	c.span("net.loss", s.Net.Loss, 0, .99)
	c.span("net.retransmit_ms", s.Net.RetransmitMS, 0, 1e5)
	c.span("nodes.count", s.Nodes.Count, 1, 10000)
	for i, z := range s.Nodes.Zones {
		c.oneOf(fmt.Sprintf("nodes.zones.%d", i), z, names)
	}
	for i, v := range s.Nodes.Shares {
		if !(v > 0 && v < far) { // NaN as well
			c.bad(fmt.Sprintf("nodes.shares.%d", i), "must be over 0")
		}
	}
	if s.Nodes.MaxConnections < 0 {
		c.bad("nodes.connections", "must not be negative")
	}
	c.span("nodes.start_ms", s.Nodes.StartMS, 0, 1e6)
	c.span("nodes.notice_s", s.Nodes.NoticeDelayS, 0, 1e6)
	if s.Peers != (PeerNetwork{}) {
		c.span("peers.bytes_per_s", s.Peers.BytesPerSecond, 256, 100000)
	}
	c.span("peers.loss", s.Peers.Loss, 0, .99)
	c.span("peers.twice", s.Peers.Duplicates, 0, .99)
	c.span("peers.delay_ms", s.Peers.DelayMS, 0, 1e5)
	c.span("peers.spread_ms", s.Peers.SpreadMS, 0, 1e5)
	s.checkFleet(c, names)
	if s.Arrivals.PerSecond != (Range{}) && s.Arrivals.Load != (Range{}) {
		c.bad("arrivals.load", "stands beside per_second; one of them is wanted")
	}
	if s.Arrivals.PerSecond == (Range{}) {
		c.span("arrivals.load", s.Arrivals.Load, 1e-6, 1000)
	} else {
		c.span("arrivals.per_second", s.Arrivals.PerSecond, 1e-6, 1e7)
	}
	c.oneOf("arrivals.shape", s.Arrivals.Shape, arrivals.Shapes)
	c.span("arrivals.swing", s.Arrivals.Swing, 0, 1)
	c.span("arrivals.period_s", s.Arrivals.PeriodS, .01, far)
	c.span("arrivals.phase", s.Arrivals.Phase, -1, 1)
	c.span("clients.retries", s.Clients.Retries, 0, 100)
	c.span("clients.try_share", s.Clients.RequestTimeoutShare, .001, 1)
	c.span("clients.backoff_ms", s.Clients.BackoffMS, 0, 1e6)
	c.span("clients.honour", s.Clients.HonourRetryAfter, 0, 1)
	c.span("clients.max_retry_after_ms", s.Clients.MaxRetryAfterMS, 0, 1e7)
	s.checkClasses(c)
	if s.Limits.MaxAttempts < 0 {
		c.bad("limits.attempts", "must not be negative")
	}
	for _, r := range []struct {
		k string
		v Range
	}{{"answer_slack_ms", s.Rules.AnswerSlackMS}, {"drain_grace_ms", s.Rules.DrainGraceMS}, {"warm_within_s", s.Rules.WarmWithinS},
		{"fall_multiple", s.Rules.FallMultiple}, {"fall_after_ms", s.Rules.FallAfterMS}, {"fall_slack", s.Rules.FallSlack}} {
		c.span("rules."+r.k, r.v, 0, 1e7)
	}
	c.span("rules.cold_from", s.Rules.ColdFrom, 0, 1)
	for _, g := range []struct {
		k string
		v Range
	}{{"goal.whole", s.Goal.Overall}, {"goal.worst_window", s.Goal.WorstWindow}, {"goal.worst_class", s.Goal.WorstClass}} {
		if !g.v.within(0, 1) {
			c.bad("goal", "%s must lie from 0 to 1", g.k)
		}
	}
	if sum := s.Goal.Overall.From + s.Goal.WorstWindow.From + s.Goal.WorstClass.From; math.Abs(sum-1) > 1e-6 {
		c.bad("goal", "the parts add up to %g, not to 1", sum)
	}
	c.span("prices.waste", s.Prices.WastedWork, 0, 1)
	c.span("prices.late_fail", s.Prices.LateFailure, 0, 1)
	c.span("prices.handshake", s.Prices.Handshake, 0, 1)
	c.span("prices.cross_zone", s.Prices.CrossZone, 0, 1)
	c.span("prices.crowded", s.Prices.CongestedBackends, 0, 1)
	for i := range s.Troubles {
		s.checkTrouble(c, fmt.Sprintf("troubles.%d", i), &s.Troubles[i], names)
	}
	c.span("incidental.count", s.Incidental.Count, 0, 1000)
	if s.Incidental.Count.To > 0 && len(s.Incidental.Candidates) == 0 {
		c.bad("incidental.of", "is empty")
	}
	for i := range s.Incidental.Candidates {
		s.checkTrouble(c, fmt.Sprintf("incidental.of.%d", i), &s.Incidental.Candidates[i], names)
	}
	return c.key, c.fault
}

func (s *Scenario) checkFleet(c *checker, zones []string) {
	if len(s.Kinds) == 0 {
		c.bad("kinds", "at least one kind of backend is needed")
	}
	var kinds []string
	for i, kind := range s.Kinds {
		k := fmt.Sprintf("kinds.%d", i)
		kinds = c.named(k, kind.Name, kinds)
		if kind.Cores < 1 || kind.Cores > 4096 {
			c.bad(k+".cores", "must lie from 1 to 4096")
		}
		c.span(k+".share", kind.FleetShare, 0, far)
		c.span(k+".speed", kind.Speed, 1e-3, 1e3)
		c.span(k+".speed_cv", kind.SpeedCV, 0, 1)
		c.span(k+".weight", kind.Weight, 0, far)
		c.span(k+".slots_per_core", kind.SlotsPerCore, .01, 1e4)
		c.span(k+".queue_per_core", kind.QueuePerCore, 0, 1e6)
		c.span(k+".thrash", kind.Thrash, 0, 100)
		c.span(k+".thrash_at", kind.ThrashAt, 0, 1e6)
		c.span(k+".cold_from", kind.ColdFrom, .001, 1)
		c.span(k+".cold_s", kind.ColdS, 0, 1e6)
		c.span(k+".pause_every_s", kind.PauseEveryS, 0, 1e6)
		c.span(k+".pause_ms", kind.PauseMS, 0, 1e6)
		c.span(k+".error_rate", kind.ErrorRate, 0, 1)
		c.oneOf(k+".cancel", kind.Cancel, cancelModes)
	}
	if len(s.Fleet.Backends) == 0 {
		c.span("fleet.size", s.Fleet.Size, 1, 1e6)
	} else if s.Fleet.Size != (Range{}) {
		c.bad("fleet.size", "stands beside fleet.backends; one of them is wanted")
	}
	for i, b := range s.Fleet.Backends {
		k := fmt.Sprintf("fleet.backends.%d", i)
		c.oneOf(k+".kind", b.Kind, kinds)
		c.oneOf(k+".zone", b.Zone, zones)
		if b.Speed != (Range{}) {
			c.span(k+".speed", b.Speed, 1e-3, 1e3)
		}
	}
	cr := &s.Crowded
	c.span("crowded.at", cr.AboveHeld, 0, 1e6)
	if cr.AboveHeld.To > 0 {
		c.span("crowded.slower", cr.Slowdown, 1, 1e3)
		c.span("crowded.most_s", cr.MaxS, .001, 1e6)
	}
	c.span("crowded.over_s", cr.TriggerS, 0, 1e6)
	c.span("crowded.below", cr.RecoverBelow, 0, 1e6)
	c.span("crowded.rest_s", cr.RecoverS, 0, 1e6)
	n := &s.Conns
	c.span("connections.rtts", n.HandshakeRTTs, 0, 100)
	c.span("connections.work_us", n.HandshakeWorkUS, 0, 1e7)
	c.span("connections.idle_s", n.IdleTimeoutS, 0, 1e6)
	c.span("connections.timeout_ms", n.ConnectTimeoutMS, 0, 1e6)
	c.span("connections.cap_per_core", n.MaxPerCore, 0, 1e7)
	c.span("connections.full_tax", n.FullTableCost, 0, .99)
	for i, f := range s.Reports.Fields {
		c.oneOf(fmt.Sprintf("reports.fields.%d", i), f, reportNames)
	}
	c.span("reports.every_ms", s.Reports.IntervalMS, 1, 1e6)
	c.span("reports.delay_ms", s.Reports.DelayMS, 0, 1e6)
	c.span("reports.noise", s.Reports.Noise, 0, 10)
	d := &s.Discovery
	c.span("discovery.notice_s", d.NoticeDelayS, 0, 1e6)
	c.span("discovery.silent_notice_s", d.SilentNoticeDelayS, 0, 1e6)
	c.span("discovery.add_s", d.AddDelayS, 0, 1e6)
	c.span("discovery.every_ms", d.IntervalMS, 1, 1e6)
	c.span("discovery.spread_ms", d.SpreadMS, 0, 1e6)
	c.span("discovery.lines_per_s", d.LinesPerSecond, 0, far)
	c.span("discovery.call_lines", d.CallLines, 0, far)
	c.span("discovery.timeout_ms", d.TimeoutMS, 1, 1e6)
}

func (s *Scenario) checkClasses(c *checker) {
	if len(s.Classes) == 0 {
		c.bad("classes", "at least one class is needed")
	}
	var names []string
	for i, class := range s.Classes {
		k := fmt.Sprintf("classes.%d", i)
		names = c.named(k, class.Name, names)
		c.span(k+".share", class.Share, 1e-9, far)
		c.span(k+".work_ms", class.WorkMS, 1e-3, 1e7)
		c.span(k+".cv", class.CV, 0, 10)
		c.span(k+".attempt_noise", class.AttemptNoise, 0, 10)
		c.span(k+".aim_ms", class.AimMS, 1e-3, 1e8)
		c.span(k+".deadline_ms", class.DeadlineMS, class.AimMS.From, 1e8)
		c.span(k+".worth", class.Worth, 1e-9, far)
		c.span(k+".late_worth", class.LateWorth, 0, 1)
		c.oneOf(k+".effect", class.Effect, []string{"safe", "keyed", "unsafe"})
		if class.Effect == "keyed" {
			c.oneOf(k+".group", class.Group, []string{"all", "zone", "cell"})
			c.span(k+".window_s", class.WindowS, .001, 1e6)
		}
	}
}

func (s *Scenario) checkTrouble(c *checker, k string, t *Fault, zones []string) {
	c.oneOf(k+".kind", t.Kind, FaultKinds)
	if strings.HasPrefix(t.Kind, "peer_") && s.Peers == (PeerNetwork{}) {
		c.bad(k+".kind", "the nodes don't talk: peers is missing")
	}
	c.span(k+".at_s", t.AtS, 0, 1e6)
	c.span(k+".for_s", t.DurationS, 0, 1e6)
	c.span(k+".part", t.Fraction, 0, 1)
	c.span(k+".lag_s", t.RecoveryLagS, 0, 1e6)
	c.span(k+".spread_s", t.RestartSpreadS, 0, 1e6)
	switch t.Kind {
	case "slow", "shared_slow", "discovery_slow":
		c.span(k+".size", t.Severity, 1, 1e4)
	default:
		c.span(k+".size", t.Severity, 0, 1)
	}
	if t.Zone != "" {
		c.oneOf(k+".zone", t.Zone, zones)
	}
	if t.Kind == "cut" || t.Kind == "peer_cut" {
		c.oneOf(k+".zone", t.Zone, zones)
		c.oneOf(k+".to", t.ToZone, zones)
		if t.Zone == t.ToZone {
			c.bad(k+".to", "must be another zone than the one it cuts off")
		}
	} else if t.ToZone != "" {
		c.bad(k+".to", "belongs to a cut alone")
	}
	for _, n := range t.Backends {
		if size := max(len(s.Fleet.Backends), int(s.Fleet.Size.From)); n < 0 || n >= size {
			c.bad(k+".on", "%d is no backend of the fleet", n)
		}
	}
}
