package simulation

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/lister"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/servers"
	"pipitmux/internal/station/protocol"
)

// listEvery is how often a node looks whether it is to list.
const listEvery = 500 * time.Millisecond

// errNoPlatform tells that a node can't reach the platform.
var errNoPlatform = errors.New("the platform can't be reached")

// dutiesSubject plays the lister's duty, a partition of the services, and the platform.
type dutiesSubject struct {
	world        *world
	registry     *registry
	services     []string
	truth        map[string]int // the platform's: how many servers a service has
	unreached    map[endpoint]bool
	severed      bool // for good, after the faults
	settledTruth bool // it changes no more
	listers      map[endpoint]*simulatedDuty
	epoch        uint64 // the newest that was acted in
	actor        endpoint
	applieds     map[uint64]string
	newest       uint64 // epoch of the newest publication that took effect, as its sender had it
}

// dutyMachine is the state of a duty: there is none, the group's owner holds it.
type dutyMachine struct{}

func (dutyMachine) Apply([]byte) []byte  { return nil }
func (dutyMachine) Snapshot() []byte     { return nil }
func (dutyMachine) Restore([]byte) error { return nil }

// playedPartition is the partition of the services that is played.
const playedPartition = 0

func playDuties(seed uint64, defects flaws) *world {
	w := newWorld(seed, protocol.Core, defects)
	s := &dutiesSubject{
		world: w, truth: map[string]int{}, unreached: map[endpoint]bool{},
		listers: map[endpoint]*simulatedDuty{}, applieds: map[uint64]string{},
	}
	w.subject = s
	for i := 0; len(s.services) < 3; i++ {
		if name := fmt.Sprintf("service-%d", i); protocol.ServicePartition(name) == playedPartition {
			s.services = append(s.services, name)
			s.truth[name] = 1
		}
	}
	s.found(3 + w.Random.IntN(3))
	w.Every(100*time.Millisecond, 900*time.Millisecond, s.change)
	w.Every(200*time.Millisecond, 4*time.Second, s.severPlatform)
	w.play()
	return w
}

// found starts the nodes, with both groups on each.
func (s *dutiesSubject) found(count int) {
	w := s.world
	var members replica.Members
	for range count {
		members.Voters = append(members.Voters, w.addNode().id)
	}
	s.registry = newRegistry(w)
	for _, n := range w.nodes {
		n.begin(protocol.ListerDuty, members.Clone())
		n.begin(protocol.ServiceGroup(playedPartition), members.Clone())
		s.registry.follow(n.place)
		n.start()
		w.Every(listEvery, listEvery+50*time.Millisecond, func() { n.act(func() { s.list(n) }) })
	}
}

// change has the platform start or stop servers, at last when one node reaches it only.
func (s *dutiesSubject) change() {
	if s.world.faulty || s.severed && !s.settledTruth {
		s.settledTruth = s.severed
		s.truth[s.services[s.world.Random.IntN(len(s.services))]] = 1 + s.world.Random.IntN(9)
	}
}

// severPlatform cuts nodes off from the platform, or lets all reach it. After the faults one
// of three nodes reaches it still: the duty must come to that one.
func (s *dutiesSubject) severPlatform() {
	w := s.world
	if !w.faulty && len(w.nodes) == 3 {
		if !s.severed {
			s.severed = true
			clear(s.unreached)
			for _, place := range w.Random.Perm(3)[:2] {
				s.unreached[endpoint(place)] = true
			}
		}
		return
	}
	clear(s.unreached)
	if w.faulty && w.Chance(0.5) {
		s.unreached[w.nodes[w.Random.IntN(len(w.nodes))].place] = true
	}
}

func (s *dutiesSubject) machine(_ *machineNode, group replica.GroupID) machine {
	if group == protocol.ListerDuty {
		return dutyMachine{}
	}
	return servers.New(nil)
}

func (s *dutiesSubject) directory(n *machineNode) protocol.Directory {
	return s.registry.views[n.place]
}

func (s *dutiesSubject) tend(n *machineNode) {
	s.registry.stand(n)
	for _, m := range n.members {
		m.repair(s.directory(n), true)
	}
}

// list has a node's lister look at its duty once. What it is stays in its process.
func (s *dutiesSubject) list(n *machineNode) {
	d := s.listers[n.place]
	if d == nil || d.life != n.life {
		d = &simulatedDuty{subject: s, node: n, life: n.life}
		d.lister = lister.New(d, d, lister.Pause(0))
		s.listers[n.place] = d
	}
	d.lister.Once(context.Background())
}

// simulatedDuty is a node's standing, and its way to the platform.
type simulatedDuty struct {
	subject *dutiesSubject
	node    *machineNode
	life    int
	epoch   uint64
	lister  *lister.Lister
}

// List implements lister.Platform. To list is to act.
func (d *simulatedDuty) List(context.Context) (map[string][]protocol.Server, error) {
	s, w := d.subject, d.subject.world
	w.tally.acts++
	if d.epoch < s.epoch {
		w.Fail("node %d acts in epoch %d after another did in %d", d.node.id, d.epoch, s.epoch)
	}
	if d.epoch == s.epoch && d.node.place != s.actor {
		w.Fail("nodes at %d and %d both act in epoch %d", s.actor, d.node.place, d.epoch)
	}
	s.epoch, s.actor = d.epoch, d.node.place
	if s.unreached[d.node.place] {
		return nil, errNoPlatform
	}
	lists := map[string][]protocol.Server{}
	for _, name := range s.services {
		for i := range s.truth[name] {
			lists[name] = append(lists[name], protocol.Server{ID: strconv.Itoa(i), Zone: strconv.FormatUint(d.epoch, 10)})
		}
	}
	return lists, nil
}

// Held implements lister.Duty.
func (d *simulatedDuty) Held() (uint64, bool) {
	m := d.node.member(protocol.ListerDuty)
	if m == nil {
		return 0, false
	}
	status := m.replica.Status(d.node.clock())
	d.epoch = status.Term
	if d.subject.world.flaws.dutyWithoutLease {
		return d.epoch, status.LeaderReady
	}
	return d.epoch, m.holdsLease()
}

// Lists implements lister.Duty. Where they come from tells who sent them: only how many there
// are is the platform's word, so both sides are given the same sender.
func (d *simulatedDuty) Lists(partition int) []protocol.ServerList {
	m := d.node.member(protocol.ServiceGroup(partition))
	if m == nil {
		return nil
	}
	held, _ := m.machine.(*servers.Machine).Lists()
	lists := slices.Clone(held)
	for i, l := range lists {
		lists[i].Servers = slices.Clone(l.Servers)
		for j := range l.Servers {
			lists[i].Servers[j].Zone = strconv.FormatUint(d.epoch, 10)
		}
	}
	return lists
}

// Publish implements lister.Duty.
func (d *simulatedDuty) Publish(_ context.Context, partition int, p *servers.Publication) error {
	s := d.subject
	s.world.tally.publications++
	group := protocol.ServiceGroup(partition)
	d.node.seek(group, submitWithin, func(at *machineNode, answer func(outcome)) {
		m := at.member(group)
		if m == nil {
			answer(outcome{kind: unavailable})
			return
		}
		m.propose(s.encode(m, *p), tryWithin, answer)
	}, func(outcome, verdict) {})
	return nil
}

// encode is a publication as its partition's owner takes it. With a flaw, that gives it the
// epoch that the partition is in.
func (s *dutiesSubject) encode(m *member, p servers.Publication) []byte {
	if s.world.flaws.noEpoch {
		p.Epoch, p.Sequence = 1, m.replica.Status(m.node.clock()).LastIndex+1
	}
	text, err := p.Encode()
	if err != nil {
		s.world.Fail("encode: %v", err)
	}
	return text
}

// GiveUp implements lister.Duty.
func (d *simulatedDuty) GiveUp() {
	m := d.node.member(protocol.ListerDuty)
	if m == nil {
		return
	}
	for _, id := range d.heirs(m.replica.Status(d.node.clock()).Members.Voters) {
		if m.replica.TransferLeadership(d.node.clock(), id) == nil {
			d.subject.world.tally.handovers++
			return
		}
	}
}

// heirs are the other voters, from the one after this node on and round.
func (d *simulatedDuty) heirs(voters []replica.NodeID) []replica.NodeID {
	at := slices.Index(voters, d.node.id)
	if d.subject.world.flaws.firstHeir {
		return slices.Delete(slices.Clone(voters), at, at+1)
	}
	return slices.Concat(voters[at+1:], voters[:at])
}

// applied holds that no publication of an earlier epoch takes effect after one of a later.
func (s *dutiesSubject) applied(m *member, index uint64, command, result []byte) {
	if m.group == protocol.ListerDuty {
		return
	}
	if known, ok := s.applieds[index]; ok {
		if known != string(result) {
			s.world.Fail("node %d gets another result of entry %d than others", m.node.id, index)
		}
		return
	}
	s.applieds[index] = string(result)
	if string(result) != string(servers.Applied) {
		s.world.tally.late++
		return
	}
	epoch := s.senderOf(m, command)
	if epoch < s.newest {
		s.world.Fail("a publication of epoch %d takes effect after one of %d", epoch, s.newest)
	}
	s.newest = max(s.newest, epoch)
}

// senderOf reads which epoch a publication was sent in from the servers that it names.
func (s *dutiesSubject) senderOf(m *member, command []byte) uint64 {
	newest := uint64(0)
	lists, _ := m.machine.(*servers.Machine).Lists()
	text := string(command)
	for _, l := range lists {
		if !strings.Contains(text, l.Service) {
			continue
		}
		for _, server := range l.Servers {
			epoch, err := strconv.ParseUint(server.Zone, 10, 64)
			if err != nil {
				s.world.Fail("zone %q", server.Zone)
			}
			newest = max(newest, epoch)
		}
	}
	return newest
}

// recovered tells whether both groups are kept well, and all nodes know what the platform says.
func (s *dutiesSubject) recovered() bool {
	voters := min(3, len(s.world.nodes))
	for _, group := range []replica.GroupID{protocol.ListerDuty, protocol.ServiceGroup(playedPartition)} {
		if !s.world.keptWell(group, voters, nil) {
			return false
		}
	}
	if len(s.world.nodes) == 3 && !s.settledTruth {
		return false
	}
	for _, n := range s.world.nodes {
		m := n.member(protocol.ServiceGroup(playedPartition))
		if m == nil || !s.current(m) {
			return false
		}
	}
	return true
}

// current tells whether a node knows what the platform says.
func (s *dutiesSubject) current(m *member) bool {
	lists, _ := m.machine.(*servers.Machine).Lists()
	if len(lists) != len(s.services) {
		return false
	}
	for _, l := range lists {
		if len(l.Servers) != s.truth[l.Service] {
			return false
		}
	}
	return true
}

func (s *dutiesSubject) check() {}
