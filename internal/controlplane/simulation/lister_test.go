package simulation

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/lister"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/protocol"
)

// listInterval is how often a node checks whether it has to list the platform's servers.
const listInterval = 500 * time.Millisecond

// errPlatformUnreachable: the node cannot reach the platform.
var errPlatformUnreachable = errors.New("the platform cannot be reached")

// listerWorkload runs the lister's singleton task, one partition of the services, and the platform.
type listerWorkload struct {
	world              *world
	registry           *registry
	services           []string
	serverCounts       map[string]int // number of servers by service, as the platform has it
	cutOffFromPlatform map[endpoint]bool
	permanentlyCutOff  bool // after the faults, two of three nodes lose the platform permanently
	serversSettled     bool // the platform's servers no longer change
	listers            map[endpoint]*fakeTask
	newestEpoch        uint64 // the newest epoch in which a node listed
	activeNode         endpoint
	resultByIndex      map[uint64]string
	newestPublished    uint64 // the sender's epoch of the newest publication that took effect
}

// emptyStateMachine is the state machine of a singleton task. The group's leader runs the task, so
// there is no state.
type emptyStateMachine struct{}

func (emptyStateMachine) Apply([]byte) []byte  { return nil }
func (emptyStateMachine) Snapshot() []byte     { return nil }
func (emptyStateMachine) Restore([]byte) error { return nil }

// testedPartition is the partition of the services that the simulation runs.
const testedPartition = 0

func simulateLister(seed uint64, injected bugs) *world {
	w := newWorld(seed, protocol.Core, injected)
	s := &listerWorkload{
		world: w, serverCounts: map[string]int{}, cutOffFromPlatform: map[endpoint]bool{},
		listers: map[endpoint]*fakeTask{}, resultByIndex: map[uint64]string{},
	}
	w.workload = s
	for i := 0; len(s.services) < 3; i++ {
		if name := fmt.Sprintf("service-%d", i); protocol.ServicePartition(name) == testedPartition {
			s.services = append(s.services, name)
			s.serverCounts[name] = 1
		}
	}
	s.startNodes(3 + w.Random.IntN(3))
	w.Every(100*time.Millisecond, 900*time.Millisecond, s.changeServers)
	w.Every(200*time.Millisecond, 4*time.Second, s.cutPlatform)
	w.runWithFaults()
	return w
}

// startNodes starts the nodes with both groups on each.
func (s *listerWorkload) startNodes(count int) {
	w := s.world
	var members replica.Members
	for range count {
		members.Voters = append(members.Voters, w.addNode().id)
	}
	s.registry = newRegistry(w)
	for _, n := range w.nodes {
		n.bootstrap(protocol.ListerTask, members.Clone())
		n.bootstrap(protocol.ServiceGroup(testedPartition), members.Clone())
		s.registry.subscribe(n.address)
		n.start()
		w.Every(listInterval, listInterval+50*time.Millisecond, func() { n.execute(func() { s.listOnce(n) }) })
	}
}

// changeServers changes the number of a service's servers. The last change happens when only one
// node can reach the platform.
func (s *listerWorkload) changeServers() {
	if s.world.faultsEnabled || s.permanentlyCutOff && !s.serversSettled {
		s.serversSettled = s.permanentlyCutOff
		s.serverCounts[s.services[s.world.Random.IntN(len(s.services))]] = 1 + s.world.Random.IntN(9)
	}
}

// cutPlatform cuts a node off from the platform, or reconnects all. After the faults, only one of
// three nodes can reach the platform, and the task must be transferred to it.
func (s *listerWorkload) cutPlatform() {
	w := s.world
	if !w.faultsEnabled && len(w.nodes) == 3 {
		if !s.permanentlyCutOff {
			s.permanentlyCutOff = true
			clear(s.cutOffFromPlatform)
			for _, address := range w.Random.Perm(3)[:2] {
				s.cutOffFromPlatform[endpoint(address)] = true
			}
		}
		return
	}
	clear(s.cutOffFromPlatform)
	if w.faultsEnabled && w.Chance(0.5) {
		s.cutOffFromPlatform[w.nodes[w.Random.IntN(len(w.nodes))].address] = true
	}
}

func (s *listerWorkload) newStateMachine(_ *simulatedNode, group replica.GroupID) stateMachine {
	if group == protocol.ListerTask {
		return emptyStateMachine{}
	}
	return servers.New(nil)
}

func (s *listerWorkload) directory(n *simulatedNode) protocol.Directory {
	return s.registry.views[n.address]
}

func (s *listerWorkload) maintain(n *simulatedNode) {
	s.registry.registerNode(n)
	for _, m := range n.members {
		m.repairMembers(s.directory(n), true)
	}
}

// listOnce runs a node's lister once. The lister's state is lost when the process ends.
func (s *listerWorkload) listOnce(n *simulatedNode) {
	d := s.listers[n.address]
	if d == nil || d.incarnation != n.incarnation {
		d = &fakeTask{workload: s, node: n, incarnation: n.incarnation}
		d.lister = lister.New(d, d, lister.Interval(0))
		s.listers[n.address] = d
	}
	d.lister.ListOnce(context.Background())
}

// fakeTask connects a node's lister with the simulated groups and platform.
type fakeTask struct {
	workload    *listerWorkload
	node        *simulatedNode
	incarnation int
	epoch       uint64
	lister      *lister.Lister
}

// List implements lister.Platform. It verifies that one node lists in each epoch.
func (d *fakeTask) List(context.Context) (map[string][]protocol.Server, error) {
	s, w := d.workload, d.workload.world
	w.tally.listings++
	if d.epoch < s.newestEpoch {
		w.Fail("node %d lists in epoch %d after another node did in %d", d.node.id, d.epoch, s.newestEpoch)
	}
	if d.epoch == s.newestEpoch && d.node.address != s.activeNode {
		w.Fail("nodes at %d and %d both list in epoch %d", s.activeNode, d.node.address, d.epoch)
	}
	s.newestEpoch, s.activeNode = d.epoch, d.node.address
	if s.cutOffFromPlatform[d.node.address] {
		return nil, errPlatformUnreachable
	}
	lists := map[string][]protocol.Server{}
	for _, name := range s.services {
		for i := range s.serverCounts[name] {
			lists[name] = append(lists[name], protocol.Server{ID: strconv.Itoa(i), Zone: strconv.FormatUint(d.epoch, 10)})
		}
	}
	return lists, nil
}

// Held implements lister.Task.
func (d *fakeTask) Held() (uint64, bool) {
	m := d.node.member(protocol.ListerTask)
	if m == nil {
		return 0, false
	}
	status := m.replica.Status(d.node.clock())
	d.epoch = status.Term
	if d.workload.world.bugs.listWithoutLease {
		return d.epoch, status.LeaderReady
	}
	return d.epoch, m.holdsLease()
}

// Lists implements lister.Task. The simulation stores the sender's epoch in the zone of the
// servers. Only their number is the platform's data, so both sides of the lister's comparison get
// the same zone.
func (d *fakeTask) Lists(partition int) []protocol.ServerList {
	m := d.node.member(protocol.ServiceGroup(partition))
	if m == nil {
		return nil
	}
	held, _ := m.stateMachine.(*servers.Machine).Lists()
	lists := slices.Clone(held)
	for i, l := range lists {
		lists[i].Servers = slices.Clone(l.Servers)
		for j := range l.Servers {
			lists[i].Servers[j].Zone = strconv.FormatUint(d.epoch, 10)
		}
	}
	return lists
}

// Publish implements lister.Task.
func (d *fakeTask) Publish(_ context.Context, partition int, p *servers.Publication) error {
	s := d.workload
	s.world.tally.publications++
	group := protocol.ServiceGroup(partition)
	d.node.forwardToLeader(group, submitTimeout, func(at *simulatedNode, answer func(outcome)) {
		m := at.member(group)
		if m == nil {
			answer(outcome{kind: unavailable})
			return
		}
		m.propose(s.encode(m, *p), attemptTimeout, answer)
	}, func(outcome, submitResult) {})
	return nil
}

// encode encodes a publication as its partition's leader receives it. With an injected bug, it gets
// the partition's epoch.
func (s *listerWorkload) encode(m *member, p servers.Publication) []byte {
	if s.world.bugs.epochFromPartition {
		p.Epoch, p.Sequence = 1, m.replica.Status(m.node.clock()).LastIndex+1
	}
	text, err := p.Encode()
	if err != nil {
		s.world.Fail("encode: %v", err)
	}
	return text
}

// Edges implements lister.Task. The simulated servers are never cold.
func (d *fakeTask) Edges() []protocol.EdgeNode { return nil }

// GiveUp implements lister.Task.
func (d *fakeTask) GiveUp() {
	m := d.node.member(protocol.ListerTask)
	if m == nil {
		return
	}
	for _, id := range d.successors(m.replica.Status(d.node.clock()).Members.Voters) {
		if m.replica.TransferLeadership(d.node.clock(), id) == nil {
			d.workload.world.tally.leadershipTransfers++
			return
		}
	}
}

// successors returns the other voters in a cycle that starts after this node.
func (d *fakeTask) successors(voters []replica.NodeID) []replica.NodeID {
	at := slices.Index(voters, d.node.id)
	if d.workload.world.bugs.fixedSuccessor {
		return slices.Delete(slices.Clone(voters), at, at+1)
	}
	return slices.Concat(voters[at+1:], voters[:at])
}

// onApplied verifies that no publication of an earlier epoch takes effect after one of a later
// epoch.
func (s *listerWorkload) onApplied(m *member, index uint64, command, result []byte) {
	if m.group == protocol.ListerTask {
		return
	}
	if known, ok := s.resultByIndex[index]; ok {
		if known != string(result) {
			s.world.Fail("node %d gets a different result for entry %d than the others", m.node.id, index)
		}
		return
	}
	s.resultByIndex[index] = string(result)
	if string(result) != string(servers.Applied) {
		s.world.tally.outdated++
		return
	}
	epoch := s.senderEpoch(m, command)
	if epoch < s.newestPublished {
		s.world.Fail("a publication of epoch %d takes effect after one of %d", epoch, s.newestPublished)
	}
	s.newestPublished = max(s.newestPublished, epoch)
}

// senderEpoch reads the sender's epoch of a publication from the zones of its servers.
func (s *listerWorkload) senderEpoch(m *member, command []byte) uint64 {
	newest := uint64(0)
	lists, _ := m.stateMachine.(*servers.Machine).Lists()
	text := string(command)
	for _, l := range lists {
		if !strings.Contains(text, l.Service) {
			continue
		}
		for _, server := range l.Servers {
			epoch, err := strconv.ParseUint(server.Zone, 10, 64)
			if err != nil {
				s.world.Fail("unexpected zone %q", server.Zone)
			}
			newest = max(newest, epoch)
		}
	}
	return newest
}

// recovered reports whether both groups are healthy and all nodes have the platform's servers.
func (s *listerWorkload) recovered() bool {
	voters := min(3, len(s.world.nodes))
	for _, group := range []replica.GroupID{protocol.ListerTask, protocol.ServiceGroup(testedPartition)} {
		if !s.world.isHealthy(group, voters, nil) {
			return false
		}
	}
	if len(s.world.nodes) == 3 && !s.serversSettled {
		return false
	}
	for _, n := range s.world.nodes {
		m := n.member(protocol.ServiceGroup(testedPartition))
		if m == nil || !s.isCurrent(m) {
			return false
		}
	}
	return true
}

// isCurrent reports whether a node has the platform's servers.
func (s *listerWorkload) isCurrent(m *member) bool {
	lists, _ := m.stateMachine.(*servers.Machine).Lists()
	if len(lists) != len(s.services) {
		return false
	}
	for _, l := range lists {
		if len(l.Servers) != s.serverCounts[l.Service] {
			return false
		}
	}
	return true
}

func (s *listerWorkload) check() {}
