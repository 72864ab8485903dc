package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/barograph/turns"
	"pipitmux/internal/station/hashing"
	"pipitmux/internal/station/protocol"
)

const (
	simulatedPartitions = 3
	// longKeep is for programs that outlive the simulation, shortKeep for some that don't.
	longKeep, shortKeep = time.Hour, 1200 * time.Millisecond
	// keepLonger is what an owner adds before it has a program forgotten.
	keepLonger = 100 * time.Millisecond
)

// turnsSubject plays the partitions of the turns, and edges that carry turns of programs.
type turnsSubject struct {
	world    *world
	registry *registry
	edges    []*edge
	programs []*program
	attempts int
	tried    []*try
	kept     []*keptTurn // that clients were told are whole, in order
	byID     map[string]*keptTurn
	retired  string
	probing  *probes
}

// program is an agent program, as the simulation knows it.
type program struct {
	name    string
	budget  uint64
	most    uint64 // that one of its turns puts out
	keep    time.Duration
	handed  uint64        // tokens that clients got
	touched time.Duration // when the end of its last whole turn was sent to its partition
	rests   int           // how often it may have rested for as long as it is kept
}

// keptTurn is a turn that a client was told is whole.
type keptTurn struct {
	id      string
	program *program
	text    string // all that was said up to its end
	at      time.Duration
	rests   int // of the program until then
}

func playTurns(seed uint64, defects flaws) *world {
	w := newWorld(seed, protocol.Storage, defects)
	s := &turnsSubject{world: w, byID: map[string]*keptTurn{}}
	w.subject = s
	for range 4 + w.Random.IntN(2) {
		w.addNode()
	}
	s.registry = newRegistry(w)
	s.assign()
	for _, n := range w.nodes {
		s.registry.follow(n.place)
		n.start()
	}
	for i := range 5 {
		s.programs = append(s.programs, s.newProgram(i))
	}
	for i := range 3 {
		e := newEdge(s, firstClient+endpoint(i))
		s.edges = append(s.edges, e)
		s.registry.follow(e.place)
		w.Every(10*time.Millisecond, 250*time.Millisecond, e.next)
		w.Every(300*time.Millisecond, 3*time.Second, e.trouble)
	}
	w.After(w.Between(0, faultyFor), s.retire)
	w.play()
	return w
}

func (s *turnsSubject) newProgram(i int) *program {
	w := s.world
	p := &program{name: fmt.Sprintf("program-%d", i), budget: 1 << 40, most: 5 + w.Random.Uint64N(15), keep: longKeep}
	if w.Chance(0.6) {
		p.budget = p.most * (2 + w.Random.Uint64N(12))
	}
	if w.Chance(0.3) {
		p.keep, p.budget = shortKeep, 1<<40
	}
	return p
}

// assign gives the partitions their first members, as the coordinator does.
func (s *turnsSubject) assign() {
	assignment := &revisions.Assignment{}
	for partition := range simulatedPartitions {
		group := protocol.TurnGroup(partition)
		ranked := hashing.Rank(string(group), s.world.nodes, func(n *machineNode) uint64 { return uint64(n.id) })
		var voters []replica.NodeID
		for _, n := range ranked[:3] {
			voters = append(voters, n.id)
		}
		for _, n := range ranked[:3] {
			n.begin(group, replica.Members{Voters: slices.Clone(voters)})
		}
		assignment.Partitions = append(assignment.Partitions, voters)
	}
	s.registry.apply(&revisions.Command{Assign: assignment})
}

// retire has a storage node emptied, where enough others are there.
func (s *turnsSubject) retire() {
	w := s.world
	if len(w.nodes) < 5 || w.Chance(0.4) {
		return
	}
	name := w.nodes[w.Random.IntN(len(w.nodes))].name()
	if s.registry.apply(&revisions.Command{Retire: &revisions.Retirement{Node: name, Least: 3}}) == revisions.Taken {
		s.retired = name
		w.tally.retired++
	}
}

func (s *turnsSubject) machine(n *machineNode, _ replica.GroupID) machine { return turns.New(n.clock) }

func (s *turnsSubject) applied(*member, uint64, []byte, []byte) {}

func (s *turnsSubject) directory(n *machineNode) protocol.Directory { return s.registry.views[n.place] }

// tend does what a storage node's loops do.
func (s *turnsSubject) tend(n *machineNode) {
	s.registry.stand(n)
	d := s.directory(n)
	for _, m := range n.members {
		status := m.replica.Status(n.clock())
		if !status.LeaderReady {
			continue
		}
		s.forget(m)
		if s.world.Now < m.busyUntil || s.handOver(m, status, d) {
			continue
		}
		next, due := m.plan(status, d, false)
		if partition, _ := protocol.TurnPartitionOf(m.group); !slices.Equal(d.Partitions[partition].Voters, next.Voters) {
			s.report(m, status, d)
		}
		if due {
			s.announce(m, status, d, next)
		}
	}
	s.checkEmptied()
}

// announce has the directory tell who is about to become a voter, and then makes it one.
func (s *turnsSubject) announce(m *member, status replica.Status, d protocol.Directory, next replica.Members) {
	if len(next.Voters) <= len(status.Members.Voters) || s.world.flaws.unannounced {
		m.change(next)
		return
	}
	partition, _ := protocol.TurnPartitionOf(m.group)
	moved := &revisions.Moved{Partition: partition, Change: status.CommitIndex, Ahead: true, Voters: next.Voters}
	if told := d.Partitions[partition]; told.Change == status.CommitIndex {
		moved.Step = told.Step + 1
	}
	m.busyUntil = s.world.Now + submitWithin
	life := m.node.life
	s.registry.submit(&revisions.Command{Moved: moved}, func(result revisions.Result) {
		if m.node.life != life {
			return
		}
		m.node.act(func() {
			m.busyUntil = 0
			now := m.replica.Status(m.node.clock())
			if result == revisions.Taken && now.Term == status.Term && now.MembersIndex == status.MembersIndex {
				m.change(next)
			}
		})
	})
}

func (s *turnsSubject) handOver(m *member, status replica.Status, d protocol.Directory) bool {
	if !slices.Contains(d.Retiring, m.node.name()) {
		return false
	}
	for _, id := range status.Members.Voters {
		n := s.world.withID(id)
		if id == m.node.id || n == nil || status.MatchIndex[id] < status.CommitIndex {
			continue
		}
		return m.replica.TransferLeadership(m.node.clock(), id) == nil
	}
	return false
}

func (s *turnsSubject) report(m *member, status replica.Status, d protocol.Directory) {
	partition, _ := protocol.TurnPartitionOf(m.group)
	if status.ChangePending || slices.Equal(d.Partitions[partition].Voters, status.Members.Voters) {
		return
	}
	moved := &revisions.Moved{Partition: partition, Change: status.CommitIndex, Voters: status.Members.Voters}
	if told := d.Partitions[partition]; told.Change == status.CommitIndex {
		moved.Step = told.Step + 1
	}
	s.registry.submit(&revisions.Command{Moved: moved}, ignore)
}

// checkEmptied holds that a node that is told to be empty is a member of no committed group.
func (s *turnsSubject) checkEmptied() {
	emptied, retiring := s.registry.machine.Emptied(s.retired)
	if s.retired == "" || !emptied || !retiring {
		return
	}
	for _, n := range s.world.running() {
		for _, m := range n.members {
			status := m.replica.Status(n.clock())
			if status.ChangePending || !m.replica.HasLease(n.clock()) {
				continue
			}
			for _, id := range status.Members.Voters {
				if o := s.world.withID(id); o != nil && o.name() == s.retired {
					s.world.Fail("%s is told to be empty, and is a voter of %s: %+v", s.retired, m.group, status)
				}
			}
		}
	}
}

// forget has programs forgotten that are kept no longer. The command may be late.
func (s *turnsSubject) forget(m *member) {
	resting := m.machine.(*turns.Machine).Resting(keepLonger, 64)
	if len(resting) == 0 {
		return
	}
	slices.SortFunc(resting, func(a, b turns.Rest) int { return strings.Compare(a.Program, b.Program) })
	command := turns.Command{Forget: resting}
	text, err := command.Encode()
	if err != nil {
		s.world.Fail("encode: %v", err)
	}
	s.world.tally.forgotten++
	m.node.later(s.world.Between(0, 5*time.Millisecond), func() {
		m.propose(text, time.Second, func(outcome) {})
	})
}

// propose hands a command to a node's member of a partition, as the keeper's calls do.
func (s *turnsSubject) propose(n *machineNode, partition int, c *turns.Command, done func(protocol.TurnOutcome, replica.NodeID)) {
	m := n.member(protocol.TurnGroup(partition))
	if m == nil {
		done(protocol.TurnUnavailable, 0)
		return
	}
	text, err := c.Encode()
	if err != nil {
		s.world.Fail("encode: %v", err)
	}
	m.propose(text, tryWithin, func(o outcome) {
		switch o.kind {
		case notOwner:
			done(protocol.TurnNotOwner, o.owner)
		case unknown:
			done(protocol.TurnUnknown, 0)
		case unavailable:
			done(protocol.TurnUnavailable, 0)
		default:
			done(s.outcomeOf(o.result), 0)
		}
	})
}

func (s *turnsSubject) outcomeOf(text []byte) protocol.TurnOutcome {
	result, err := turns.ReadResult(text)
	if err != nil {
		s.world.Fail("result: %v", err)
	}
	return map[turns.Result]protocol.TurnOutcome{
		turns.Granted: protocol.TurnGranted, turns.Spent: protocol.TurnSpent,
		turns.Missing: protocol.TurnMissing, turns.Closed: protocol.TurnClosed,
	}[result]
}

// recovered tells whether all partitions are kept well, nobody waits, and the books are right.
func (s *turnsSubject) recovered() bool {
	d := s.registry.machine.Directory()
	for partition := range simulatedPartitions {
		if !s.world.keptWell(protocol.TurnGroup(partition), 3, d.Retiring) {
			return false
		}
	}
	if s.retired != "" {
		if emptied, _ := s.registry.machine.Emptied(s.retired); !emptied {
			return false
		}
	}
	for _, e := range s.edges {
		if e.open > 0 {
			return false
		}
	}
	if s.probing == nil {
		s.probing = newProbes(s)
	}
	return s.probing.left == 0
}

func (s *turnsSubject) check() {}
