package cluster

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/controlplane/coordinator"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/wait"
)

var (
	soakSeeds  = flag.Int("soak.seeds", 2, "how many seeds of the soak are played")
	soakFirst  = flag.Uint64("soak.first", 1, "the first of these seeds")
	soakFor    = flag.Duration("soak.for", 3*time.Second, "how long each series of faults takes")
	soakSeries = flag.Int("soak.series", 1, "how many series of faults are played in each seed")
)

const (
	soakTallies   = 2
	maxSoakAmount = 5
	maxSoakPause  = 30 * time.Millisecond // between two calls of an application
	orderPause    = 200 * time.Millisecond
)

// TestSoak plays seeds at the same time: they wait more than they compute.
func TestSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSoak(t, seed)
		})
	}
}

// soak is a cluster under faults, and what its callers know.
type soak struct {
	cluster *cluster
	ledgers []*ledger // by tally
	log     *faultLog

	faultsOver atomic.Bool
	expired    atomic.Bool // no call is repeated any more

	// What the operator had acknowledged last.
	evacuated bool
	revision  int
}

// runSoak plays series of faults while applications and an operator call all the time. After each
// series every node must read what it owes before the next one begins, and have its disk's content
// back: until then it counts among the lost.
func runSoak(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 0))
	s := &soak{cluster: startTier(t), log: &faultLog{lost: map[int][]time.Time{}}, revision: 1}
	for range soakTallies {
		s.ledgers = append(s.ledgers, newLedger(len(s.cluster.nodes)))
	}
	for series := range *soakSeries {
		s.playSeries(random, seed, series)
	}
	s.checkOrders()
}

// playSeries plays a series of faults and checks the nodes after it.
func (s *soak) playSeries(random *rand.Rand, seed uint64, series int) {
	faults := s.cluster.drawFaults(random, *soakFor)
	var callers sync.WaitGroup
	s.faultsOver.Store(false)
	for zone := range s.cluster.nodes {
		name := fmt.Sprintf("%d-%d", series, zone)
		own := rand.New(rand.NewPCG(seed, random.Uint64()))
		callers.Go(func() { s.runApplication(own, zone, name) })
	}
	own := rand.New(rand.NewPCG(seed, random.Uint64()))
	callers.Go(func() { s.runOperator(own) })
	// A failed assert leaves by the Goexit of this goroutine: the callers must end as well.
	defer callers.Wait()
	defer s.expired.Store(true)
	s.playFaults(faults)
	healed := time.Now()
	s.faultsOver.Store(true)
	s.awaitOwed(healed, healed.Add(mergeBound))
	s.awaitCallers(&callers)
	s.awaitOwed(time.Now(), time.Now().Add(mergeBound))
	s.awaitRepaired()
	s.expired.Store(false)
}

// awaitRepaired waits until the voters of each group are the nodes that run now. A node that lost its
// disk has a new id; until that one replaces the old one among the voters, the node counts as lost.
func (s *soak) awaitRepaired() {
	s.cluster.Helper()
	for _, group := range coordinator.Groups() {
		for deadline := time.Now().Add(recoveryBound); !s.repaired(group); wait.For(s.cluster.Context(), pollInterval) {
			assert.Assert(s.cluster, time.Now().Before(deadline), "group %s has other voters than the running nodes after %v", group, recoveryBound)
		}
	}
}

// repaired reports whether a leader of a group has exactly the running nodes as voters.
func (s *soak) repaired(group replica.GroupID) bool {
	for _, n := range s.cluster.nodes {
		status, err := n.process.Host.Status(group)
		if err == nil && status.LeaderReady {
			return s.allVote(status.Members.Voters)
		}
	}
	return false
}

// allVote reports whether these voters are exactly the running nodes.
func (s *soak) allVote(voters []replica.NodeID) bool {
	for _, n := range s.cluster.nodes {
		if !slices.Contains(voters, n.process.Self.ID) {
			return false
		}
	}
	return len(voters) == len(s.cluster.nodes)
}

// awaitCallers waits until all that was begun is acknowledged.
func (s *soak) awaitCallers(callers *sync.WaitGroup) {
	s.cluster.Helper()
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(recoveryBound):
		s.cluster.Fatalf("a call isn't acknowledged %v after the faults", recoveryBound)
	}
}

// newCallerIn returns a caller in the zone of a node. It reaches the nodes as that node does, the
// nearest one first, and keeps its connections open.
func (c *cluster) newCallerIn(zone int) *caller {
	nodes := append(slices.Clone(c.nodes[zone:]), c.nodes[:zone]...)
	dial := func(ctx context.Context, protocol, api string) (net.Conn, error) {
		for _, n := range c.nodes {
			if n.api == api {
				return c.network.dial(ctx, protocol, link{c.nodes[zone].address, n.address}, api)
			}
		}
		return nil, fmt.Errorf("no node serves %s", api)
	}
	return &caller{nodes: nodes, client: http.Client{Timeout: silenceLimit, Transport: &http.Transport{DialContext: dial}}}
}

// runApplication adds and reads until the faults are over. Each add is repeated until it is
// acknowledged, some also after that, as when the answer was lost.
func (s *soak) runApplication(random *rand.Rand, zone int, name string) {
	at := s.cluster.newCallerIn(zone)
	defer at.client.CloseIdleConnections()
	for i := 0; !s.faultsOver.Load(); i++ {
		tally, member, amount := random.IntN(soakTallies), fmt.Sprintf("%s-%d", name, i), 1+random.IntN(maxSoakAmount)
		for try := 0; !s.add(at, zone, try, tally, member, amount) && !s.expired.Load(); try++ {
			wait.For(s.cluster.Context(), pollInterval)
		}
		if random.IntN(8) == 0 {
			s.add(at, zone, random.IntN(len(s.cluster.nodes)), tally, member, amount)
		}
		s.read(at, zone, random.IntN(len(s.cluster.nodes)), tally)
		wait.For(s.cluster.Context(), time.Duration(random.Int64N(int64(maxSoakPause))))
	}
}

// add sends an add once, to the node of a try, and reports whether it was acknowledged.
func (s *soak) add(at *caller, zone, try, tally int, member string, amount int) bool {
	node := (zone + try) % len(s.cluster.nodes)
	sent := time.Now()
	life := s.ledgers[tally].beginAdd(node, member, amount)
	body := fmt.Sprintf(`{"memberId":%q,"heldBy":%d}`, member, amount)
	status, reply := at.call(s.cluster.nodes[node], http.MethodPost, fmt.Sprintf("/api/Tallies.Modify/t%d", tally), body)
	s.ledgers[tally].endAdd(node, life, member, status, sent)
	s.checkStatus("add", node, status, reply)
	return status == http.StatusOK
}

// read reads a tally once, at the node of a try, and checks what it shows.
func (s *soak) read(at *caller, zone, try, tally int) (total int, ok bool) {
	node := (zone + try) % len(s.cluster.nodes)
	begun := s.ledgers[tally].beginRead(node)
	status, reply := at.call(s.cluster.nodes[node], http.MethodGet, fmt.Sprintf("/api/Tallies.Show/t%d", tally), "")
	s.checkStatus("read", node, status, reply)
	if status != http.StatusOK {
		return 0, false
	}
	var shown struct{ Total *int }
	if err := json.Unmarshal(reply, &shown); err != nil || shown.Total == nil {
		s.cluster.Errorf("node %d: no total in %s", node, reply)
		return 0, false
	}
	least, most := s.ledgers[tally].endRead(node, begun)
	if *shown.Total < least {
		s.cluster.Errorf("t%d at node %d reads %d, less than the %d that it acknowledged in this life", tally, node, *shown.Total, least)
	}
	if *shown.Total > most {
		s.cluster.Errorf("t%d at node %d reads %d, more than the %d that could have counted", tally, node, *shown.Total, most)
	}
	return *shown.Total, true
}

// checkStatus reports an answer that no proper call gets, whatever the faults.
func (s *soak) checkStatus(call string, node, status int, reply []byte) {
	if status != 0 && status != http.StatusOK && status != http.StatusTooManyRequests && status < http.StatusInternalServerError {
		s.cluster.Errorf("%s at node %d: status %d: %s", call, node, status, reply)
	}
}

// awaitOwed waits until each node reads every add that was acknowledged before a time and isn't
// excused. A read that is sent after the deadline must show them.
func (s *soak) awaitOwed(before, deadline time.Time) {
	s.cluster.Helper()
	for tally, ledger := range s.ledgers {
		owed, excused := ledger.owed(before, s.log.excused)
		s.cluster.Logf("t%d: %d owed, %d adds excused", tally, owed, excused)
		for node := range s.cluster.nodes {
			s.awaitOwedAt(node, tally, owed, deadline)
		}
	}
}

func (s *soak) awaitOwedAt(node, tally, owed int, deadline time.Time) {
	s.cluster.Helper()
	at := s.cluster.newCallerIn(node)
	defer at.client.CloseIdleConnections()
	for {
		sent := time.Now()
		total, ok := s.read(at, node, 0, tally)
		if ok && total >= owed {
			return
		}
		assert.Assert(s.cluster, sent.Before(deadline), "t%d at node %d reads %d (answered: %v) of %d in time", tally, node, total, ok, owed)
		wait.For(s.cluster.Context(), pollInterval)
	}
}

// runOperator sends orders and configurations until the faults are over, each until it is
// acknowledged. Some orders are repeated at another node after that, whatever its answer.
func (s *soak) runOperator(random *rand.Rand) {
	zone := random.IntN(len(s.cluster.nodes))
	at := s.cluster.newCallerIn(zone)
	defer at.client.CloseIdleConnections()
	for !s.faultsOver.Load() {
		if random.IntN(2) == 0 {
			if s.replaceConfiguration(at) {
				s.revision++
			}
		} else if path := orderPath(!s.evacuated); s.sendUntilAcknowledged(at, path, "") {
			s.evacuated = !s.evacuated
			if random.IntN(2) == 0 {
				at.call(s.cluster.nodes[random.IntN(len(s.cluster.nodes))], http.MethodPost, path, "")
			}
		}
		wait.For(s.cluster.Context(), time.Duration(random.Int64N(int64(orderPause))))
	}
}

// orderPath returns the path of the order that makes a zone evacuated, or not.
func orderPath(evacuate bool) string {
	if evacuate {
		return "/api/Evacuate.Begin/" + evacuated
	}
	return "/api/Evacuate.Finish/" + evacuated
}

// replaceConfiguration sends the next configuration and reports whether it was acknowledged.
func (s *soak) replaceConfiguration(at *caller) bool {
	at.header = http.Header{adminapi.BaseRevisionHeader: {strconv.Itoa(s.revision)}}
	defer func() { at.header = nil }()
	return s.sendUntilAcknowledged(at, "/api/Configuration.Replace", fmt.Sprintf(configurationBody, s.revision+1))
}

// sendUntilAcknowledged sends an operator's call to one node after the other until one acknowledges
// it, and reports whether one did.
func (s *soak) sendUntilAcknowledged(at *caller, path, body string) bool {
	for try := 0; !s.expired.Load(); try++ {
		n := at.nodes[try%len(at.nodes)]
		status, reply := at.call(n, http.MethodPost, path, body)
		if status == http.StatusOK {
			return true
		}
		s.checkStatus(path, slices.Index(s.cluster.nodes, n), status, reply)
		wait.For(s.cluster.Context(), pollInterval)
	}
	return false
}

// checkOrders checks that what the operator had acknowledged last is in force at each node and at an
// edge that knows nothing yet, also after what was still under way has arrived.
func (s *soak) checkOrders() {
	s.cluster.Helper()
	edge := s.cluster.startEdge(evacuated)
	edge.awaitServed(recoveryBound, s.servingZone())
	wait.For(s.cluster.Context(), silenceLimit)
	s.cluster.assertRevision(s.revision)
	if s.evacuated {
		edge.awaitAvoided(orderBound, evacuated)
	} else {
		edge.awaitServed(orderBound, evacuated)
	}
}

// servingZone returns the zone that serves the requests of an edge in the zone of the orders.
func (s *soak) servingZone() string {
	if s.evacuated {
		return zoneNames[0]
	}
	return evacuated
}
