package emulator

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"oakseam/internal/arrivals"
)

// maxValue is the upper bound of settings without a natural limit.
const maxValue = 1e9

// validator keeps the first error that it finds and the key that it belongs to.
type validator struct{ key, fault string }

// fail records an error at a key unless there is one already.
func (c *validator) fail(key, format string, args ...any) {
	if c.fault == "" {
		c.key, c.fault = key, fmt.Sprintf(format, args...)
	}
}

// rangeWithin requires a range to be within bounds, with the lower value first.
func (c *validator) rangeWithin(key string, v Range, minimum, maximum float64) {
	if !v.within(minimum, maximum) {
		c.fail(key, "must lie from %g to %g, the lower value first", minimum, maximum)
	}
}

// oneOf requires a value to be one of a list.
func (c *validator) oneOf(key, v string, allowed []string) {
	if !slices.Contains(allowed, v) {
		c.fail(key, "%q is not one of %s", v, strings.Join(allowed, ", "))
	}
}

// uniqueName requires a name that is not empty and not among those before it. It returns all names.
func (c *validator) uniqueName(key, name string, before []string) []string {
	if name == "" || slices.Contains(before, name) {
		c.fail(key+".name", "must be there and unlike the others")
	}
	return append(before, name)
}

// validate returns the key of the first value from which no run can be drawn, and the reason.
func (s *Scenario) validate() (key, fault string) {
	c := &validator{}
	c.rangeWithin("seconds", s.Seconds, .001, 1e6)
	c.rangeWithin("tick_ms", s.TickMS, 0, 1000)
	if s.MaxRequests < 0 {
		c.fail("max_reqs", "must not be negative")
	}
	zones := s.validateZones(c)
	s.validateNetwork(c)
	s.validateNodes(c, zones)
	s.validatePeers(c)
	s.validateFleet(c, zones)
	s.validateArrivals(c)
	s.validateClients(c)
	s.validateClasses(c)
	if s.Limits.MaxAttempts < 0 {
		c.fail("limits.attempts", "must not be negative")
	}
	s.validateRules(c)
	s.validateGoal(c)
	s.validatePrices(c)
	s.validateFaults(c, zones)
	return c.key, c.fault
}

// validateZones returns the names of the zones.
func (s *Scenario) validateZones(c *validator) (names []string) {
	if len(s.Zones) == 0 {
		c.fail("zones", "at least one zone is needed")
	}
	for i, z := range s.Zones {
		key := fmt.Sprintf("zones.%d", i)
		names = c.uniqueName(key, z.Name, names)
		c.rangeWithin(key+".traffic", z.Traffic, 0, maxValue)
		c.rangeWithin(key+".backends", z.Backends, 0, maxValue)
	}
	return names
}

func (s *Scenario) validateNetwork(c *validator) {
	c.rangeWithin("net.same_ms", s.Net.SameMS, 0, 1e5)
	c.rangeWithin("net.cross_ms", s.Net.CrossMS, 0, 1e5)
	c.rangeWithin("net.client_ms", s.Net.ClientMS, 0, 1e5)
	c.rangeWithin("net.jitter", s.Net.Jitter, 0, 1)
	c.rangeWithin("net.loss", s.Net.Loss, 0, .99)
	c.rangeWithin("net.retransmit_ms", s.Net.RetransmitMS, 0, 1e5)
}

func (s *Scenario) validateNodes(c *validator, zones []string) {
	c.rangeWithin("nodes.count", s.Nodes.Count, 1, 10000)
	for i, z := range s.Nodes.Zones {
		c.oneOf(fmt.Sprintf("nodes.zones.%d", i), z, zones)
	}
	for i, v := range s.Nodes.Shares {
		if !(v > 0 && v < maxValue) { // NaN as well
			c.fail(fmt.Sprintf("nodes.shares.%d", i), "must be over 0")
		}
	}
	if s.Nodes.MaxConnections < 0 {
		c.fail("nodes.connections", "must not be negative")
	}
	c.rangeWithin("nodes.start_ms", s.Nodes.StartMS, 0, 1e6)
	c.rangeWithin("nodes.notice_s", s.Nodes.NoticeDelayS, 0, 1e6)
}

func (s *Scenario) validatePeers(c *validator) {
	if s.Peers != (PeerSettings{}) {
		c.rangeWithin("peers.bytes_per_s", s.Peers.BytesPerSecond, 256, 100000)
	}
	c.rangeWithin("peers.loss", s.Peers.Loss, 0, .99)
	c.rangeWithin("peers.twice", s.Peers.Duplicates, 0, .99)
	c.rangeWithin("peers.delay_ms", s.Peers.DelayMS, 0, 1e5)
	c.rangeWithin("peers.spread_ms", s.Peers.SpreadMS, 0, 1e5)
}

func (s *Scenario) validateArrivals(c *validator) {
	if s.Arrivals.PerSecond != (Range{}) && s.Arrivals.Load != (Range{}) {
		c.fail("arrivals.load", "stands beside per_second; one of them is wanted")
	}
	if s.Arrivals.PerSecond == (Range{}) {
		c.rangeWithin("arrivals.load", s.Arrivals.Load, 1e-6, 1000)
	} else {
		c.rangeWithin("arrivals.per_second", s.Arrivals.PerSecond, 1e-6, 1e7)
	}
	c.oneOf("arrivals.shape", s.Arrivals.Shape, arrivals.Shapes)
	c.rangeWithin("arrivals.swing", s.Arrivals.Swing, 0, 1)
	c.rangeWithin("arrivals.period_s", s.Arrivals.PeriodS, .01, maxValue)
	c.rangeWithin("arrivals.phase", s.Arrivals.Phase, -1, 1)
}

func (s *Scenario) validateClients(c *validator) {
	c.rangeWithin("clients.retries", s.Clients.Retries, 0, 100)
	c.rangeWithin("clients.try_share", s.Clients.RequestTimeoutShare, .001, 1)
	c.rangeWithin("clients.backoff_ms", s.Clients.BackoffMS, 0, 1e6)
	c.rangeWithin("clients.honour", s.Clients.HonourRetryAfter, 0, 1)
	c.rangeWithin("clients.max_retry_after_ms", s.Clients.MaxRetryAfterMS, 0, 1e7)
}

func (s *Scenario) validateRules(c *validator) {
	for _, r := range []struct {
		key   string
		value Range
	}{{"answer_slack_ms", s.Rules.AnswerSlackMS}, {"drain_grace_ms", s.Rules.DrainGraceMS}, {"warm_within_s", s.Rules.WarmWithinS},
		{"fall_multiple", s.Rules.FallMultiple}, {"fall_after_ms", s.Rules.FallAfterMS}, {"fall_slack", s.Rules.FallSlack}} {
		c.rangeWithin("rules."+r.key, r.value, 0, 1e7)
	}
	c.rangeWithin("rules.cold_from", s.Rules.ColdFrom, 0, 1)
}

func (s *Scenario) validateGoal(c *validator) {
	for _, g := range []struct {
		key   string
		value Range
	}{{"goal.whole", s.Goal.Overall}, {"goal.worst_window", s.Goal.WorstWindow}, {"goal.worst_class", s.Goal.WorstClass}} {
		if !g.value.within(0, 1) {
			c.fail("goal", "%s must lie from 0 to 1", g.key)
		}
	}
	if sum := s.Goal.Overall.From + s.Goal.WorstWindow.From + s.Goal.WorstClass.From; math.Abs(sum-1) > 1e-6 {
		c.fail("goal", "the parts add up to %g, not to 1", sum)
	}
}

func (s *Scenario) validatePrices(c *validator) {
	c.rangeWithin("prices.waste", s.Prices.WastedWork, 0, 1)
	c.rangeWithin("prices.late_fail", s.Prices.LateFailure, 0, 1)
	c.rangeWithin("prices.handshake", s.Prices.Handshake, 0, 1)
	c.rangeWithin("prices.cross_zone", s.Prices.CrossZone, 0, 1)
	c.rangeWithin("prices.crowded", s.Prices.CongestedBackends, 0, 1)
}

func (s *Scenario) validateFaults(c *validator, zones []string) {
	for i := range s.Troubles {
		s.validateFault(c, fmt.Sprintf("troubles.%d", i), &s.Troubles[i], zones)
	}
	c.rangeWithin("incidental.count", s.Incidental.Count, 0, 1000)
	if s.Incidental.Count.To > 0 && len(s.Incidental.Candidates) == 0 {
		c.fail("incidental.of", "is empty")
	}
	for i := range s.Incidental.Candidates {
		s.validateFault(c, fmt.Sprintf("incidental.of.%d", i), &s.Incidental.Candidates[i], zones)
	}
}

func (s *Scenario) validateFleet(c *validator, zones []string) {
	if len(s.Kinds) == 0 {
		c.fail("kinds", "at least one kind of backend is needed")
	}
	var kinds []string
	for i, kind := range s.Kinds {
		key := fmt.Sprintf("kinds.%d", i)
		kinds = c.uniqueName(key, kind.Name, kinds)
		if kind.Cores < 1 || kind.Cores > 4096 {
			c.fail(key+".cores", "must lie from 1 to 4096")
		}
		c.rangeWithin(key+".share", kind.FleetShare, 0, maxValue)
		c.rangeWithin(key+".speed", kind.Speed, 1e-3, 1e3)
		c.rangeWithin(key+".speed_cv", kind.SpeedCV, 0, 1)
		c.rangeWithin(key+".weight", kind.Weight, 0, maxValue)
		c.rangeWithin(key+".slots_per_core", kind.SlotsPerCore, .01, 1e4)
		c.rangeWithin(key+".queue_per_core", kind.QueuePerCore, 0, 1e6)
		c.rangeWithin(key+".thrash", kind.Thrash, 0, 100)
		c.rangeWithin(key+".thrash_at", kind.ThrashAt, 0, 1e6)
		c.rangeWithin(key+".cold_from", kind.ColdFrom, .001, 1)
		c.rangeWithin(key+".cold_s", kind.ColdS, 0, 1e6)
		c.rangeWithin(key+".pause_every_s", kind.PauseEveryS, 0, 1e6)
		c.rangeWithin(key+".pause_ms", kind.PauseMS, 0, 1e6)
		c.rangeWithin(key+".error_rate", kind.ErrorRate, 0, 1)
		c.oneOf(key+".cancel", kind.Cancel, cancelModes)
	}
	if len(s.Fleet.Backends) == 0 {
		c.rangeWithin("fleet.size", s.Fleet.Size, 1, 1e6)
	} else if s.Fleet.Size != (Range{}) {
		c.fail("fleet.size", "stands beside fleet.backends; one of them is wanted")
	}
	for i, b := range s.Fleet.Backends {
		key := fmt.Sprintf("fleet.backends.%d", i)
		c.oneOf(key+".kind", b.Kind, kinds)
		c.oneOf(key+".zone", b.Zone, zones)
		if b.Speed != (Range{}) {
			c.rangeWithin(key+".speed", b.Speed, 1e-3, 1e3)
		}
	}
	congestion := &s.Crowded
	c.rangeWithin("crowded.at", congestion.AboveHeld, 0, 1e6)
	if congestion.AboveHeld.To > 0 {
		c.rangeWithin("crowded.slower", congestion.Slowdown, 1, 1e3)
		c.rangeWithin("crowded.most_s", congestion.MaxS, .001, 1e6)
	}
	c.rangeWithin("crowded.over_s", congestion.TriggerS, 0, 1e6)
	c.rangeWithin("crowded.below", congestion.RecoverBelow, 0, 1e6)
	c.rangeWithin("crowded.rest_s", congestion.RecoverS, 0, 1e6)
	n := &s.Conns
	c.rangeWithin("connections.rtts", n.HandshakeRTTs, 0, 100)
	c.rangeWithin("connections.work_us", n.HandshakeWorkUS, 0, 1e7)
	c.rangeWithin("connections.idle_s", n.IdleTimeoutS, 0, 1e6)
	c.rangeWithin("connections.timeout_ms", n.ConnectTimeoutMS, 0, 1e6)
	c.rangeWithin("connections.cap_per_core", n.MaxPerCore, 0, 1e7)
	c.rangeWithin("connections.full_tax", n.FullTableCost, 0, .99)
	for i, f := range s.Reports.Fields {
		c.oneOf(fmt.Sprintf("reports.fields.%d", i), f, reportFieldNames)
	}
	c.rangeWithin("reports.every_ms", s.Reports.IntervalMS, 1, 1e6)
	c.rangeWithin("reports.delay_ms", s.Reports.DelayMS, 0, 1e6)
	c.rangeWithin("reports.noise", s.Reports.Noise, 0, 10)
	d := &s.Discovery
	c.rangeWithin("discovery.notice_s", d.NoticeDelayS, 0, 1e6)
	c.rangeWithin("discovery.silent_notice_s", d.SilentNoticeDelayS, 0, 1e6)
	c.rangeWithin("discovery.add_s", d.AddDelayS, 0, 1e6)
	c.rangeWithin("discovery.every_ms", d.IntervalMS, 1, 1e6)
	c.rangeWithin("discovery.spread_ms", d.SpreadMS, 0, 1e6)
	c.rangeWithin("discovery.lines_per_s", d.LinesPerSecond, 0, maxValue)
	c.rangeWithin("discovery.call_lines", d.CallLines, 0, maxValue)
	c.rangeWithin("discovery.timeout_ms", d.TimeoutMS, 1, 1e6)
}

func (s *Scenario) validateClasses(c *validator) {
	if len(s.Classes) == 0 {
		c.fail("classes", "at least one class is needed")
	}
	var names []string
	for i, class := range s.Classes {
		key := fmt.Sprintf("classes.%d", i)
		names = c.uniqueName(key, class.Name, names)
		c.rangeWithin(key+".share", class.Share, 1e-9, maxValue)
		c.rangeWithin(key+".work_ms", class.WorkMS, 1e-3, 1e7)
		c.rangeWithin(key+".cv", class.CV, 0, 10)
		c.rangeWithin(key+".attempt_noise", class.AttemptNoise, 0, 10)
		c.rangeWithin(key+".aim_ms", class.AimMS, 1e-3, 1e8)
		c.rangeWithin(key+".deadline_ms", class.DeadlineMS, class.AimMS.From, 1e8)
		c.rangeWithin(key+".worth", class.Worth, 1e-9, maxValue)
		c.rangeWithin(key+".late_worth", class.LateWorth, 0, 1)
		c.oneOf(key+".effect", class.Effect, []string{"safe", "keyed", "unsafe"})
		if class.Effect == "keyed" {
			c.oneOf(key+".group", class.Group, []string{"all", "zone", "cell"})
			c.rangeWithin(key+".window_s", class.WindowS, .001, 1e6)
		}
	}
}

func (s *Scenario) validateFault(c *validator, key string, fault *Fault, zones []string) {
	c.oneOf(key+".kind", fault.Kind, FaultKinds)
	if strings.HasPrefix(fault.Kind, "peer_") && s.Peers == (PeerSettings{}) {
		c.fail(key+".kind", "the nodes don't talk: peers is missing")
	}
	c.rangeWithin(key+".at_s", fault.AtS, 0, 1e6)
	c.rangeWithin(key+".for_s", fault.DurationS, 0, 1e6)
	c.rangeWithin(key+".part", fault.Fraction, 0, 1)
	c.rangeWithin(key+".lag_s", fault.RecoveryLagS, 0, 1e6)
	c.rangeWithin(key+".spread_s", fault.RestartSpreadS, 0, 1e6)
	switch fault.Kind {
	case "slow", "shared_slow", "discovery_slow":
		c.rangeWithin(key+".size", fault.Severity, 1, 1e4)
	default:
		c.rangeWithin(key+".size", fault.Severity, 0, 1)
	}
	if fault.Zone != "" {
		c.oneOf(key+".zone", fault.Zone, zones)
	}
	if fault.Kind == "cut" || fault.Kind == "peer_cut" {
		c.oneOf(key+".zone", fault.Zone, zones)
		c.oneOf(key+".to", fault.ToZone, zones)
		if fault.Zone == fault.ToZone {
			c.fail(key+".to", "must be another zone than the one it cuts off")
		}
	} else if fault.ToZone != "" {
		c.fail(key+".to", "belongs to a cut alone")
	}
	for _, n := range fault.Backends {
		if size := max(len(s.Fleet.Backends), int(s.Fleet.Size.From)); n < 0 || n >= size {
			c.fail(key+".on", "%d is no backend of the fleet", n)
		}
	}
}
