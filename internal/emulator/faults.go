package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"oakseam/logic"
)

// scheduleFaults schedules the faults that the scenario states, and draws and schedules its random
// faults.
func (sim *simulation) scheduleFaults(scenario *Scenario, start time.Duration, rng *rand.Rand) {
	for i := range sim.scenario.Troubles {
		sim.scheduleFault(sim.scenario.Troubles[i], start, rng)
	}
	if len(scenario.Incidental.Candidates) == 0 {
		return
	}
	for range int(scenario.Incidental.Count.draw(rng)) {
		fault := scenario.Incidental.Candidates[rng.IntN(len(scenario.Incidental.Candidates))]
		fault.Fraction, fault.Severity, fault.DurationS = fixedRange(fault.Fraction.draw(rng)), fixedRange(fault.Severity.draw(rng)), fixedRange(fault.DurationS.draw(rng))
		if fault.AtS == (Range{}) { // any time, but so that the fault ends within the run
			fault.AtS = Range{0, max(sim.scenario.Seconds.From-fault.DurationS.From, 0)}
		}
		fault.AtS = fixedRange(fault.AtS.draw(rng))
		sim.scheduleFault(fault, start, rng)
	}
}

// scheduleFault schedules one fault. Its targets are drawn here, so that all policies meet the same
// faults.
func (sim *simulation) scheduleFault(fault Fault, start time.Duration, rng *rand.Rand) {
	var targets []*backend
	for _, number := range fault.Backends {
		if number < len(sim.backends) {
			targets = append(targets, sim.backends[number])
		}
	}
	if len(fault.Backends) == 0 {
		n := len(sim.backends)
		if fault.Fraction.From > 0 {
			n = max(int(math.Round(fault.Fraction.From*float64(n))), 1)
		}
		for _, number := range rng.Perm(len(sim.backends))[:min(n, len(sim.backends))] {
			targets = append(targets, sim.backends[number])
		}
	}
	zone := rng.IntN(len(sim.scenario.Zones))
	if fault.Zone != "" {
		zone = sim.scenario.zoneIndex(fault.Zone)
	}
	at, last := start+fault.AtS.sec(), fault.DurationS.sec()
	run := func(begin, end func()) {
		sim.scheduleAt(at, 0, func() { sim.recordFault(fault.Kind, sim.faultTarget(fault.Kind, targets, zone)); begin() })
		if end != nil {
			sim.scheduleAt(at+last, 0, func() { sim.recordFault(fault.Kind+" over", ""); end() })
		}
	}
	each := func(set func(*backend)) func() {
		return func() {
			for _, b := range targets {
				b.update(func() { set(b) })
			}
		}
	}
	severity := fault.Severity.From
	switch fault.Kind {
	case "vanish":
		run(func() { sim.silenceBackends(targets) }, func() { sim.restartBackends(targets) })
	case "slow", "shared_slow":
		if fault.Kind == "shared_slow" && len(fault.Backends) == 0 {
			targets = sim.backends
		}
		run(each(func(b *backend) { b.slowdown *= severity }), each(func(b *backend) { b.slowdown /= severity }))
	case "hang":
		run(each(func(b *backend) { b.hangs++ }), each(func(b *backend) { b.hangs-- }))
	case "fast_errors":
		run(each(func(b *backend) { b.errorShare = severity }), each(func(b *backend) { b.errorShare = 0 }))
	case "zone_loss":
		sim.zoneLoss(run, zone, severity > .5, fault.RecoveryLagS.sec())
	case "replace":
		sim.replaceBackends(targets, at, last)
	case "restart_nodes":
		run(func() {
			for _, n := range sim.nodes {
				sim.restartNode(n, time.Duration(sim.rng.Float64()*float64(last)))
			}
		}, nil)
	case "power_loss":
		sim.powerLoss(run, fault, rng)
	case "cut":
		run(func() { sim.adjustPartition(zone, sim.scenario.zoneIndex(fault.ToZone), 1) }, func() { sim.adjustPartition(zone, sim.scenario.zoneIndex(fault.ToZone), -1) })
	case "peer_cut":
		to := sim.scenario.zoneIndex(fault.ToZone)
		run(func() { sim.peerNetwork.datagrams.adjustPartition(zone, to, 1) }, func() { sim.peerNetwork.datagrams.adjustPartition(zone, to, -1) })
	case "peer_loss":
		run(func() { sim.peerNetwork.datagrams.addLoss(severity) }, func() { sim.peerNetwork.datagrams.addLoss(-severity) })
	case "discovery_down":
		run(func() { sim.registry.outages++; sim.registry.breakWatches() }, func() { sim.registry.outages-- })
	case "discovery_slow":
		run(func() { sim.registry.slowdown *= severity }, func() { sim.registry.slowdown /= severity })
	}
}

// faultTarget describes the target of a fault for the result.
func (sim *simulation) faultTarget(kind string, targets []*backend, zone int) string {
	switch kind {
	case "zone_loss":
		return sim.scenario.Zones[zone].Name
	case "cut", "peer_cut":
		return "from " + sim.scenario.Zones[zone].Name
	case "power_loss", "shared_slow", "restart_nodes", "discovery_down", "discovery_slow", "peer_loss":
		return ""
	}
	s := ""
	for i, b := range targets {
		if i == 12 {
			return s + " …"
		}
		s += " " + string(b.id)
	}
	return s[min(1, len(s)):]
}

// silenceBackends makes machines stop responding.
func (sim *simulation) silenceBackends(targets []*backend) {
	for _, b := range targets {
		if b.state == Up && !b.retired {
			b.stop(Silent)
			sim.reportChange(b, sim.scenario.Discovery.SilentNoticeDelayS.sec())
		}
	}
}

// restartBackends starts silent machines again, cold.
func (sim *simulation) restartBackends(targets []*backend) {
	for _, b := range targets {
		if b.state == Silent && !b.retired {
			b.restart()
		}
	}
}

// zoneLoss takes a zone down. Either only its backends' processes die or, withNodes, all its machines
// go silent, including the nodes. The backends come back cold, later than the nodes by a lag.
func (sim *simulation) zoneLoss(run func(begin, end func()), zone int, withNodes bool, lag time.Duration) {
	run(func() {
		for _, b := range sim.backends {
			if b.zone != zone || b.state != Up || b.retired {
				continue
			}
			if withNodes {
				b.stop(Silent)
				sim.reportChange(b, sim.scenario.Discovery.SilentNoticeDelayS.sec())
			} else {
				b.stop(Down)
				sim.reportChange(b, sim.scenario.Discovery.NoticeDelayS.sec())
			}
		}
		if withNodes {
			for _, n := range sim.nodes {
				if n.zone == zone && n.alive {
					n.unreachable = true
					n.kill()
					sim.frontend.noticeNode(n)
				}
			}
		}
	}, func() {
		sim.scheduleAfter(lag, func() {
			for _, b := range sim.backends {
				if b.zone == zone && b.state != Up && !b.retired {
					b.restart()
				}
			}
		})
		for _, n := range sim.nodes {
			if n.zone == zone && n.unreachable {
				n.unreachable = false
				n.start()
				sim.frontend.noticeNode(n)
			}
		}
	})
}

// powerLoss makes all machines go silent at once: nodes, backends and the registry. They start cold,
// at the same instant or in random order; the nodes keep the list that they held last.
func (sim *simulation) powerLoss(run func(begin, end func()), fault Fault, rng *rand.Rand) {
	spread := fault.RestartSpreadS.sec()
	starts := make([]time.Duration, len(sim.nodes)+len(sim.backends))
	for i := range starts {
		starts[i] = time.Duration(rng.Float64() * float64(spread))
	}
	var stopped []*backend
	run(func() {
		sim.registry.outages++
		sim.registry.breakWatches()
		for _, b := range sim.backends {
			if b.state == Up && !b.retired {
				b.stop(Silent)
				stopped = append(stopped, b)
			}
		}
		for _, n := range sim.nodes {
			if n.alive {
				n.unreachable = true
				n.kill()
				sim.frontend.noticeNode(n)
			}
		}
	}, func() {
		sim.scheduleAfter(fault.RecoveryLagS.sec(), func() { sim.registry.outages-- })
		for _, b := range stopped {
			sim.scheduleAfter(starts[(len(sim.nodes)+b.number)%len(starts)], b.restart)
		}
		for _, n := range sim.nodes {
			if n.unreachable {
				sim.scheduleAfter(starts[n.number], func() {
					n.unreachable = false
					n.start()
					sim.frontend.noticeNode(n)
				})
			}
		}
	})
}

// adjustPartition starts (1) or heals (-1) a partition: what nodes and backends of a zone send to
// those of another is lost. A handshake needs both directions, so no connection can be opened
// between them whichever direction is cut.
func (sim *simulation) adjustPartition(from, to, by int) {
	sim.partitions[[2]int{from, to}] += by
	if sim.peerNetwork != nil {
		sim.peerNetwork.datagrams.adjustPartition(from, to, by)
	}
	if sim.live == nil || sim.live.environment == nil {
		return
	}
	for _, n := range sim.nodes {
		for _, b := range sim.backends {
			if n.zone != b.zone && (n.zone == from && b.zone == to || n.zone == to && b.zone == from) {
				sim.live.environment.SetPartition(n.number, b.number, sim.partitioned(n.zone, b.zone) || sim.partitioned(b.zone, n.zone))
			}
		}
	}
}

// partitioned reports whether messages from one zone to another are lost now.
func (sim *simulation) partitioned(from, to int) bool { return sim.partitions[[2]int{from, to}] > 0 }

// dropIfPartitioned reports whether a request or response sent now is lost, and counts it.
func (sim *simulation) dropIfPartitioned(from, to int) bool {
	if !sim.partitioned(from, to) {
		return false
	}
	sim.lostInPartitions++
	return true
}

// restartNode kills a node after a delay and starts it without state 500 ms later.
func (sim *simulation) restartNode(n *node, after time.Duration) {
	sim.scheduleAfter(after, func() {
		if !n.alive {
			return
		}
		n.kill()
		sim.frontend.noticeNode(n)
		sim.scheduleAfter(500*time.Millisecond, func() {
			if !n.alive && !n.unreachable {
				n.start()
				sim.frontend.noticeNode(n)
			}
		})
	})
}

// drainDuration is how long a backend that is being replaced finishes its requests.
const drainDuration = 8 * time.Second

// replaceBackends replaces backends, one after the other over a time, by cold ones with new IDs.
func (sim *simulation) replaceBackends(targets []*backend, at, duration time.Duration) {
	sim.scheduleAt(at, 0, func() { sim.recordFault("replace", sim.faultTarget("replace", targets, 0)) })
	for i, old := range targets {
		sim.scheduleAt(at+duration*time.Duration(i)/time.Duration(len(targets)), 0, func() {
			if old.state != Up || old.retired || old.draining {
				return
			}
			old.draining = true
			sim.reportChange(old, sim.scenario.Discovery.NoticeDelayS.sec())
			sim.scheduleAfter(drainDuration+sim.scenario.Discovery.NoticeDelayS.sec(), func() {
				if old.retired {
					return
				}
				old.retired = true
				old.stop(Down)
				sim.registry.recordState(old, logic.Gone)
			})
			b := sim.addBackend(old.kind, old.zone, 1)
			b.speed = old.speed
			b.restart()
		})
	}
}
