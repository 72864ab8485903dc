package audit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"oakseam/logic"
)

const ms = time.Millisecond

var rules = Rules{AnswerSlack: 20 * ms, DrainGrace: 1500 * ms, OverloadMultiple: 2.5, OverloadWindow: 1500 * ms, OverloadSlack: .1,
	Classes: []logic.Class{
		{Name: "unsafe", Effect: logic.Unsafe, Deadline: 2 * time.Second},
		{Name: "keyed", Effect: logic.Keyed, Group: logic.DedupZone, Window: 15 * time.Second, Deadline: 3 * time.Second},
		{Name: "safe", Effect: logic.Safe, Deadline: 3 * time.Second},
	}}

// TestRulesAtTheirLimits guards against an auditor that misses a violation or reports one that isn't:
// each rule is tested with events that just keep it and events that just break it.
func TestRulesAtTheirLimits(t *testing.T) {
	receive := func(a *Auditor, class string) { a.RequestReceived(0, 1, "r", 7, class, time.Second) }
	send := func(a *Auditor, at time.Duration, to, zone string) { a.AttemptSent(at, 1, "r", to, zone, 0) }
	for _, tt := range []struct {
		name   string
		events func(a *Auditor)
		want   Report
	}{
		{"nothing happens", func(a *Auditor) {}, Report{}},
		{"answered at the last moment", func(a *Auditor) { receive(a, "unsafe"); a.RequestAnswered(1020*ms, "r", Failed) }, Report{}},
		{"answered too late", func(a *Auditor) { receive(a, "unsafe"); a.RequestAnswered(1021*ms, "r", Failed) }, Report{Unanswered: 1}},
		{"never answered", func(a *Auditor) { receive(a, "safe") }, Report{Unanswered: 1}},
		{"answered twice", func(a *Auditor) {
			receive(a, "safe")
			a.RequestAnswered(1, "r", Served)
			a.RequestAnswered(2, "r", Served)
		}, Report{Unanswered: 1}},
		{"connection ended", func(a *Auditor) { receive(a, "safe"); a.RequestAnswered(1, "r", NoAnswer) }, Report{Unanswered: 1}},
		{"client left in time", func(a *Auditor) { receive(a, "safe"); a.ClientLeft(999*ms, "r") }, Report{}},
		{"client waited until its timeout", func(a *Auditor) { receive(a, "safe"); a.ClientLeft(1000*ms, "r") }, Report{Unanswered: 1}},
		{"node died with it", func(a *Auditor) { receive(a, "safe"); a.NodeDied(500*ms, 1) }, Report{}},
		{"node died when it was overdue", func(a *Auditor) { receive(a, "safe"); a.NodeDied(1100*ms, 1) }, Report{Unanswered: 1}},
		{"another node died", func(a *Auditor) { receive(a, "safe"); a.NodeDied(500*ms, 2) }, Report{Unanswered: 1}},

		{"sent again after proof that it did not run", func(a *Auditor) {
			receive(a, "unsafe")
			send(a, 1*ms, "x", "a")
			a.AttemptEnded(2*ms, "r", "x", true, "")
			send(a, 3*ms, "y", "b")
			a.RequestAnswered(4*ms, "r", Served)
		}, Report{}},
		{"sent again without proof", func(a *Auditor) {
			receive(a, "unsafe")
			send(a, 1*ms, "x", "a")
			a.AttemptEnded(2*ms, "r", "x", false, "")
			send(a, 3*ms, "y", "a")
			a.RequestAnswered(4*ms, "r", Served)
		}, Report{DuplicateEffects: 1}},
		{"second copy of an unsafe request", func(a *Auditor) {
			receive(a, "unsafe")
			send(a, 1*ms, "x", "a")
			send(a, 2*ms, "y", "a")
			a.RequestAnswered(4*ms, "r", Served)
		}, Report{DuplicateEffects: 1}},
		{"keyed within its zone and window", func(a *Auditor) {
			receive(a, "keyed")
			send(a, 1*ms, "x", "a")
			a.RequestRan(2*ms, 7, "r", "x", "a", 0)
			send(a, 900*ms, "y", "a")
			a.RequestRan(901*ms, 7, "r", "y", "a", 0)
			a.RequestAnswered(902*ms, "r", Served)
		}, Report{}},
		{"keyed in another zone", func(a *Auditor) {
			receive(a, "keyed")
			send(a, 1*ms, "x", "a")
			send(a, 2*ms, "y", "b")
			a.RequestAnswered(902*ms, "r", Served)
		}, Report{DuplicateEffects: 1}},
		{"keyed after its window, by a client retry", func(a *Auditor) {
			receive(a, "keyed")
			send(a, 1*ms, "x", "a")
			a.RequestRan(2*ms, 7, "r", "x", "a", 0)
			a.RequestAnswered(3*ms, "r", Failed)
			a.RequestReceived(16*time.Second, 1, "r2", 7, "keyed", time.Second)
			a.AttemptSent(16*time.Second, 1, "r2", "x", "a", 0)
			a.RequestRan(16*time.Second, 7, "r2", "x", "a", 0)
			a.RequestAnswered(16*time.Second, "r2", Served)
		}, Report{DuplicateEffects: 1}},
		{"safe anywhere", func(a *Auditor) {
			receive(a, "safe")
			send(a, 1*ms, "x", "a")
			send(a, 2*ms, "y", "b")
			a.RequestAnswered(902*ms, "r", Rejected)
		}, Report{}},
		{"rejected though it may have run", func(a *Auditor) {
			receive(a, "unsafe")
			send(a, 1*ms, "x", "a")
			a.RequestAnswered(2*ms, "r", Rejected)
		}, Report{DuplicateEffects: 1}},
		{"rejected without an attempt", func(a *Auditor) { receive(a, "unsafe"); a.RequestAnswered(2*ms, "r", Rejected) }, Report{}},
		{"sent after its answer", func(a *Auditor) { receive(a, "unsafe"); a.RequestAnswered(1, "r", Rejected); send(a, 2, "x", "a") }, Report{DuplicateEffects: 1}},
		{"ran twice unseen by the node", func(a *Auditor) {
			receive(a, "unsafe")
			send(a, 1*ms, "x", "a")
			a.RequestRan(2*ms, 7, "r", "x", "a", 0)
			a.RequestRan(3*ms, 7, "r", "x", "a", 0)
			a.RequestAnswered(4*ms, "r", Served)
		}, Report{DuplicateEffects: 1}},

		{"drain within the grace", func(a *Auditor) { a.BackendListed(0, 1, "x", false); a.AttemptSent(1500*ms, 1, "", "x", "a", 0) }, Report{}},
		{"drain after the grace", func(a *Auditor) { a.BackendListed(0, 1, "x", false); a.AttemptSent(1501*ms, 1, "", "x", "a", 0) }, Report{LateDrainSends: 1}},
		{"grace counts from the first notice of the drain", func(a *Auditor) {
			a.BackendListed(0, 1, "x", false)
			a.BackendListed(1000*ms, 1, "x", false)
			a.AttemptSent(1501*ms, 1, "", "x", "a", 0)
		}, Report{LateDrainSends: 1}},
		{"drain taken back", func(a *Auditor) {
			a.BackendListed(0, 1, "x", false)
			a.BackendListed(1, 1, "x", true)
			a.AttemptSent(2*time.Second, 1, "", "x", "a", 0)
		}, Report{}},
		{"another node was told of the drain", func(a *Auditor) { a.BackendListed(0, 2, "x", false); a.AttemptSent(2*time.Second, 1, "", "x", "a", 0) }, Report{}},

		{"cold backend sent just its limit", func(a *Auditor) { a.WorkArrived(0, "x", 1.9, .5); a.WorkArrived(1499*ms, "x", .07, .5) }, Report{Overshoot: 1.97 / .75}},
		{"cold backend sent more than its limit", func(a *Auditor) {
			a.WorkArrived(0, "x", 1.9, .5)
			a.WorkArrived(1499*ms, "x", .08, .5)
			a.WorkArrived(1499*ms, "x", 9, .5)
		},
			Report{OverloadedBackends: 1, Overshoot: 1.98 / .75}},
		{"cold backend in the next window", func(a *Auditor) { a.WorkArrived(0, "x", 1.9, .5); a.WorkArrived(1500*ms, "x", 1.9, .5) }, Report{Overshoot: 1.9 / .75}},
		{"cold backend restarted", func(a *Auditor) {
			a.WorkArrived(0, "x", 1.9, .5)
			a.BackendStarted("x")
			a.WorkArrived(1, "x", 1.9, .5)
		}, Report{Overshoot: 1.9 / .75}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := New(rules)
			tt.events(a)
			got := *a.Finish(2 * time.Minute)
			if broken := tt.want.Unanswered + tt.want.DuplicateEffects + tt.want.LateDrainSends + tt.want.OverloadedBackends; broken > 0 {
				require.Len(t, got.Violations, 1)
				assert.NotEmpty(t, got.Violations[0].Events)
				assert.NotEmpty(t, got.Violations[0].Why)
			}
			got.Violations, got.Requests = nil, 0
			assert.InDelta(t, tt.want.Overshoot, got.Overshoot, 1e-9)
			got.Overshoot = tt.want.Overshoot
			assert.Equal(t, tt.want, got)
		})
	}
}

// TestOldRequestsAreForgotten guards against an auditor whose memory grows with the length of a run.
func TestOldRequestsAreForgotten(t *testing.T) {
	a := New(rules)
	for i := range 10000 {
		at, id := time.Duration(i)*time.Second, string(rune(i))+"x"
		a.RequestReceived(at, 1, id, uint64(i), "safe", time.Second)
		a.RequestAnswered(at, id, Served)
	}
	assert.Less(t, len(a.operations), 100)
	assert.Less(t, len(a.requests), 100)
	assert.True(t, a.Finish(20000*time.Second).Clean())
}
