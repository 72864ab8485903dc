package cluster

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/wait"
)

// orderBound is how soon an order of the operator must be acknowledged, and then be in force.
const orderBound = 5 * time.Second // ackMs, evacuateMs

// order sends an order about a zone until it is acknowledged.
func (c *caller) order(t *testing.T, order, zone string) {
	t.Helper()
	c.until(t, orderBound, http.MethodPost, "/api/Evacuate."+order+"/"+zone, "", http.StatusOK)
}

// consecutive is how many requests in a row must keep away from a zone that is evacuated.
const consecutive = 40

// awaitAvoided waits until requests are served, and none in a zone.
func (f *follower) awaitAvoided(limit time.Duration, zone string) {
	f.Helper()
	for deadline, avoided := time.Now().Add(limit), 0; avoided < consecutive; {
		switch served := f.send(); served {
		case zone:
			avoided = 0
			assert.Assert(f, time.Now().Before(deadline), "requests are still served in %s after %v", zone, limit)
		case "":
			assert.Assert(f, time.Now().Before(deadline), "requests are not served after %v", limit)
			wait.For(f.Context(), pollInterval)
		default:
			avoided++
		}
	}
}

// Orders are obeyed, also when they are repeated at another node, and no other zone can be named.
func TestEvacuatedZoneGetsNothingUntilItIsTakenBack(t *testing.T) {
	c := startTier(t)
	edge := c.startEdge(evacuated)
	edge.awaitServed(recoveryBound, evacuated)
	operator, other := newCaller(c.nodes...), newCaller(c.nodes[2])
	operator.order(t, "Begin", evacuated)
	edge.awaitAvoided(orderBound, evacuated)
	other.order(t, "Begin", evacuated)
	edge.awaitAvoided(0, evacuated)
	operator.order(t, "Finish", evacuated)
	edge.awaitServed(orderBound, evacuated)
	other.order(t, "Finish", evacuated)
	operator.until(t, orderBound, http.MethodPost, "/api/Evacuate.Begin/nowhere", "", http.StatusNotFound)
	edge.awaitServed(orderBound, evacuated)
}

// An acknowledged evacuation is in force at an edge that knows nothing yet, after all core nodes
// were killed at once.
func TestAcknowledgedEvacuationIsKeptAfterAllCoreNodesRestart(t *testing.T) {
	c := startTier(t)
	operator := newCaller(c.nodes...)
	operator.order(t, "Begin", evacuated)
	c.killAll()
	c.restartAll()
	edge := c.startEdge(evacuated)
	edge.awaitServed(recoveryBound, zoneNames[0])
	edge.awaitAvoided(orderBound, evacuated)
	operator.order(t, "Finish", evacuated)
	edge.awaitServed(orderBound, evacuated)
}

// A node that is cut off with an order in its hands must not have it carried out after the operator
// has turned to others and had the same order, and then the opposite one, acknowledged.
func TestLateBeginDoesNotUndoFinish(t *testing.T) {
	c := startTier(t)
	edge := c.startEdge(evacuated)
	edge.awaitServed(recoveryBound, evacuated)
	cutOff, others := c.nodes[4], c.nodes[:4]
	c.separate([]*coreNode{cutOff}, others)
	late, _ := newCaller(cutOff).call(cutOff, http.MethodPost, "/api/Evacuate.Begin/"+evacuated, "")
	assert.Assert(t, late == 0 || late >= http.StatusInternalServerError, "answered %d without a majority", late)
	operator := newCaller(others...)
	operator.order(t, "Begin", evacuated)
	operator.order(t, "Finish", evacuated)
	c.network.heal()
	// What is still under way of the late order arrives now.
	wait.For(t.Context(), silenceLimit)
	edge.awaitServed(orderBound, evacuated)
}

// cutLength is how long a node is cut off while it reads a zone's version: short enough for the order to
// be young still when the link is back.
const cutLength = 500 * time.Millisecond

// An order whose read of the zone waits while later orders are acknowledged elsewhere must not undo them,
// though it is young and the close of its connection has not arrived.
func TestOrderThatIsOvertakenWhileItWaitsIsNotCarriedOut(t *testing.T) {
	c := startCluster(t, toleratedLosses, nil, zoneNames...)
	waiting, others := c.followerOf(protocol.ConfigurationGroup)
	c.separate([]*coreNode{waiting}, others)
	answered := make(chan int, 1)
	go func() {
		status, _ := newCaller(waiting).call(waiting, http.MethodPost, "/api/Evacuate.Begin/"+zoneNames[0], "")
		answered <- status
	}()
	cut := time.Now()
	wait.For(t.Context(), cutLength/5)
	operator := newCaller(others...)
	operator.order(t, "Begin", zoneNames[0])
	operator.order(t, "Finish", zoneNames[0])
	wait.For(t.Context(), time.Until(cut.Add(cutLength)))
	c.network.heal()
	status := <-answered
	assert.Assert(t, status == 0 || status >= http.StatusInternalServerError, "acknowledged after %v: %d", time.Since(cut), status)
}

// followerOf returns a node that does not lead a group, and the other nodes.
func (c *cluster) followerOf(group replica.GroupID) (follower *coreNode, others []*coreNode) {
	c.Helper()
	for _, n := range c.nodes {
		status, err := n.process.Host.Status(group)
		if err == nil && !status.LeaderReady && follower == nil {
			follower = n
			continue
		}
		others = append(others, n)
	}
	assert.Assert(c, follower != nil)
	return follower, others
}
