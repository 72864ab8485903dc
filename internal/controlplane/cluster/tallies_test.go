package cluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/wait"
)

// Bounds of the apart deployments' settings.
const (
	contactBound = 4 * time.Second // contactMs
	mergeBound   = 3 * time.Second // mergeMs
)

// add adds to a tally under a member id, and returns the node that acknowledged it.
func (c *caller) add(t *testing.T, tally, member string, amount int) *coreNode {
	t.Helper()
	body := fmt.Sprintf(`{"memberId":%q,"heldBy":%d}`, member, amount)
	n, _ := c.until(t, contactBound, http.MethodPost, "/api/Tallies.Modify/"+tally, body, http.StatusOK)
	return n
}

// total reads a tally at the first node that answers.
func (c *caller) total(t *testing.T, tally string) int {
	t.Helper()
	_, reply := c.until(t, contactBound, http.MethodGet, "/api/Tallies.Show/"+tally, "", http.StatusOK)
	var shown struct{ Total *int }
	assert.NilError(t, json.Unmarshal(reply, &shown))
	assert.Assert(t, shown.Total != nil, "no total in %s", reply)
	return *shown.Total
}

// awaitTotal checks that a tally reads a total at each of the nodes within a limit, and never more.
func (c *cluster) awaitTotal(tally string, want int, limit time.Duration) {
	c.Helper()
	deadline := time.Now().Add(limit)
	for _, n := range c.nodes {
		at := newCaller(n)
		for {
			total := at.total(c.T, tally)
			assert.Assert(c, total <= want, "%s at %s reads %d, more than the %d that was added", tally, n.name, total, want)
			if total == want {
				break
			}
			assert.Assert(c, time.Now().Before(deadline), "%s at %s reads %d of %d after %v", tally, n.name, total, want, limit)
			wait.For(c.Context(), pollInterval)
		}
	}
}

// An add that one node acknowledged is read at every node; at the one that acknowledged it at once.
func TestAcknowledgedAddIsReadAtEveryNode(t *testing.T) {
	c := startCluster(t, toleratedLosses, nil, zoneNames...)
	assert.Equal(t, newCaller(c.nodes[1]).total(t, "t1"), 0, "a name that is new")
	sum := 0
	for i, n := range c.nodes {
		at := newCaller(n).add(t, "t1", fmt.Sprint("id-", i), i+1)
		sum += i + 1
		assert.Assert(t, newCaller(at).total(t, "t1") >= i+1, "read where it was acknowledged")
	}
	c.awaitTotal("t1", sum, mergeBound)
	assert.Equal(t, newCaller(c.nodes...).total(t, "t2"), 0, "another tally")
}

// Both sides of a cut take adds, and after the heal each node has all of them.
func TestAddsOnBothSidesOfACutAreThereAfterTheHeal(t *testing.T) {
	c := startCluster(t, toleratedLosses, nil, zoneNames...)
	newCaller(c.nodes...).add(t, "t1", "before", 1)
	c.awaitTotal("t1", 1, mergeBound)
	minority, majority := c.nodes[:2], c.nodes[2:]
	c.separate(minority, majority)
	for i, side := range [][]*coreNode{minority, majority} {
		at := newCaller(side...).add(t, "t1", fmt.Sprint("side-", i), 10*(i+1))
		assert.Equal(t, newCaller(at).total(t, "t1"), 1+10*(i+1), "read where it was acknowledged, within the cut")
	}
	c.network.heal()
	c.awaitTotal("t1", 31, mergeBound)
}

// A member id counts once, however often it comes, at whichever nodes, also on both sides of a cut.
func TestRepeatedMemberIDCountsOnce(t *testing.T) {
	c := startCluster(t, toleratedLosses, nil, zoneNames...)
	var adding sync.WaitGroup
	for _, n := range c.nodes {
		adding.Go(func() {
			newCaller(n).call(n, http.MethodPost, "/api/Tallies.Modify/t1", `{"memberId":"twin","heldBy":4}`)
		})
	}
	adding.Wait()
	for range 2 {
		newCaller(c.nodes[0]).add(t, "t1", "twin", 4)
	}
	c.awaitTotal("t1", 4, mergeBound)
	sides := [][]*coreNode{c.nodes[:2], c.nodes[2:]}
	c.separate(sides[0], sides[1])
	for _, side := range sides {
		caller := newCaller(side...)
		caller.add(t, "t1", "twin", 4)
		caller.add(t, "t1", "of the cut", 5)
	}
	c.network.heal()
	c.awaitTotal("t1", 9, mergeBound)
	newCaller(c.nodes[4]).add(t, "t1", "of the cut", 5)
	c.awaitTotal("t1", 9, mergeBound)
}

// An acknowledged add outlives the loss of as many disks as the deployment names while all other
// nodes are killed, and the node that acknowledged it is among those that lose their disk.
func TestAcknowledgedAddOutlivesLostDisks(t *testing.T) {
	c := startCluster(t, toleratedLosses, nil, zoneNames...)
	at := newCaller(c.nodes...).add(t, "t1", "id-1", 7)
	lost := []*coreNode{at}
	for _, n := range c.nodes {
		if n != at && len(lost) < toleratedLosses {
			lost = append(lost, n)
		}
	}
	c.killAll()
	c.restartAll(lost...)
	assert.Equal(t, newCaller(lost...).total(t, "t1"), 7, "where the disk was lost, once it answers")
	c.awaitTotal("t1", 7, mergeBound)
}
