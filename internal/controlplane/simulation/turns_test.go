package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/controlplane/turns"
	"oakseam/internal/tier/hashing"
	"oakseam/internal/tier/protocol"
)

const (
	simulatedPartitions = 3
	// longRetention exceeds the length of a simulation, so programs with it are never deleted.
	longRetention = time.Hour
	// shortRetention passes during a simulation, so programs with it may be deleted.
	shortRetention = 1200 * time.Millisecond
	// extraRetention is what a leader adds to a program's retention before it deletes the program.
	extraRetention = 100 * time.Millisecond
)

// turnsWorkload runs the partitions of the turns, and edges that run turns of programs.
type turnsWorkload struct {
	world         *world
	registry      *registry
	edges         []*edge
	programs      []*program
	attemptCount  int
	attempts      []*turnAttempt
	completed     []*completedTurn // turns that clients were told are complete, in order
	completedByID map[string]*completedTurn
	retired       string
	probes        *probes
}

// program is an agent program.
type program struct {
	name           string
	budget         uint64
	maxTokens      uint64 // maximum number of tokens of one turn
	retention      time.Duration
	tokensStreamed uint64        // tokens that clients received
	lastActivity   time.Duration // when the end of its last complete turn was sent to its partition
	expiries       int           // how often it may have been idle for its retention
}

// completedTurn is a turn that a client was told is complete.
type completedTurn struct {
	id       string
	program  *program
	text     string // the conversation up to its end
	at       time.Duration
	expiries int // of the program at that time
}

func simulateTurns(seed uint64, injected bugs) *world {
	w := newWorld(seed, protocol.Storage, injected)
	s := &turnsWorkload{world: w, completedByID: map[string]*completedTurn{}}
	w.workload = s
	for range 4 + w.Random.IntN(2) {
		w.addNode()
	}
	s.registry = newRegistry(w)
	s.assign()
	for _, n := range w.nodes {
		s.registry.subscribe(n.address)
		n.start()
	}
	for i := range 5 {
		s.programs = append(s.programs, s.newProgram(i))
	}
	for i := range 3 {
		e := newEdge(s, firstClient+endpoint(i))
		s.edges = append(s.edges, e)
		s.registry.subscribe(e.address)
		w.Every(10*time.Millisecond, 250*time.Millisecond, e.startTurn)
		w.Every(300*time.Millisecond, 3*time.Second, e.maybeCrash)
	}
	w.After(w.Between(0, faultDuration), s.retire)
	w.runWithFaults()
	return w
}

func (s *turnsWorkload) newProgram(i int) *program {
	w := s.world
	p := &program{name: fmt.Sprintf("program-%d", i), budget: 1 << 40, maxTokens: 5 + w.Random.Uint64N(15), retention: longRetention}
	if w.Chance(0.6) {
		p.budget = p.maxTokens * (2 + w.Random.Uint64N(12))
	}
	if w.Chance(0.3) {
		p.retention, p.budget = shortRetention, 1<<40
	}
	return p
}

// assign assigns the initial members to the partitions, as the coordinator does.
func (s *turnsWorkload) assign() {
	assignment := &revisions.Assignment{}
	for partition := range simulatedPartitions {
		group := protocol.TurnGroup(partition)
		ranked := hashing.Rank(string(group), s.world.nodes, func(n *simulatedNode) uint64 { return uint64(n.id) })
		var voters []replica.NodeID
		for _, n := range ranked[:3] {
			voters = append(voters, n.id)
		}
		for _, n := range ranked[:3] {
			n.bootstrap(group, replica.Members{Voters: slices.Clone(voters)})
		}
		assignment.Partitions = append(assignment.Partitions, voters)
	}
	s.registry.apply(&revisions.Command{Assign: assignment})
}

// retire starts to move all partitions off a storage node, if there are enough others.
func (s *turnsWorkload) retire() {
	w := s.world
	if len(w.nodes) < 5 || w.Chance(0.4) {
		return
	}
	name := w.nodes[w.Random.IntN(len(w.nodes))].name()
	if s.registry.apply(&revisions.Command{Retire: &revisions.Retirement{Node: name, MinRemaining: 3}}) == revisions.Accepted {
		s.retired = name
		w.tally.retirements++
	}
}

func (s *turnsWorkload) newStateMachine(n *simulatedNode, _ replica.GroupID) stateMachine {
	return turns.New(n.clock)
}

func (s *turnsWorkload) onApplied(*member, uint64, []byte, []byte) {}

func (s *turnsWorkload) directory(n *simulatedNode) protocol.Directory {
	return s.registry.views[n.address]
}

// maintain does what a storage node does periodically.
func (s *turnsWorkload) maintain(n *simulatedNode) {
	s.registry.registerNode(n)
	d := s.directory(n)
	for _, m := range n.members {
		status := m.replica.Status(n.clock())
		if !status.LeaderReady {
			continue
		}
		s.forget(m)
		if s.world.Now < m.announcingUntil || s.transferLeadership(m, status, d) {
			continue
		}
		next, due := m.planMembers(status, d, false)
		if partition, _ := protocol.TurnPartitionOf(m.group); !slices.Equal(d.Partitions[partition].Voters, next.Voters) {
			s.reportMembers(m, status, d)
		}
		if due {
			s.announce(m, status, d, next)
		}
	}
	s.checkEmptied()
}

// announce adds a future voter to the directory before it proposes the membership change.
func (s *turnsWorkload) announce(m *member, status replica.Status, d protocol.Directory, next replica.Members) {
	if len(next.Voters) <= len(status.Members.Voters) || s.world.bugs.unannouncedVoter {
		m.changeMembers(next)
		return
	}
	partition, _ := protocol.TurnPartitionOf(m.group)
	moved := &revisions.MembershipUpdate{Partition: partition, Change: status.CommitIndex, Announced: true, Voters: next.Voters}
	if watchReply := d.Partitions[partition]; watchReply.Change == status.CommitIndex {
		moved.Step = watchReply.Step + 1
	}
	m.announcingUntil = s.world.Now + submitTimeout
	incarnation := m.node.incarnation
	s.registry.submit(&revisions.Command{Membership: moved}, func(result revisions.Result) {
		if m.node.incarnation != incarnation {
			return
		}
		m.node.execute(func() {
			m.announcingUntil = 0
			now := m.replica.Status(m.node.clock())
			if result == revisions.Accepted && now.Term == status.Term && now.MembersIndex == status.MembersIndex {
				m.changeMembers(next)
			}
		})
	})
}

func (s *turnsWorkload) transferLeadership(m *member, status replica.Status, d protocol.Directory) bool {
	if !slices.Contains(d.Retiring, m.node.name()) {
		return false
	}
	for _, id := range status.Members.Voters {
		n := s.world.nodeByID(id)
		if id == m.node.id || n == nil || status.MatchIndex[id] < status.CommitIndex {
			continue
		}
		return m.replica.TransferLeadership(m.node.clock(), id) == nil
	}
	return false
}

func (s *turnsWorkload) reportMembers(m *member, status replica.Status, d protocol.Directory) {
	partition, _ := protocol.TurnPartitionOf(m.group)
	if status.ChangePending || slices.Equal(d.Partitions[partition].Voters, status.Members.Voters) {
		return
	}
	moved := &revisions.MembershipUpdate{Partition: partition, Change: status.CommitIndex, Voters: status.Members.Voters}
	if watchReply := d.Partitions[partition]; watchReply.Change == status.CommitIndex {
		moved.Step = watchReply.Step + 1
	}
	s.registry.submit(&revisions.Command{Membership: moved}, ignoreResult)
}

// checkEmptied verifies that a node that the directory reports as empty is a voter of no group.
func (s *turnsWorkload) checkEmptied() {
	emptied, retiring := s.registry.stateMachine.Emptied(s.retired)
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
				if o := s.world.nodeByID(id); o != nil && o.name() == s.retired {
					s.world.Fail("%s is reported empty, but it is a voter of %s: %+v", s.retired, m.group, status)
				}
			}
		}
	}
}

// forget proposes to delete programs whose retention has passed. The command may be delayed.
func (s *turnsWorkload) forget(m *member) {
	idle := m.stateMachine.(*turns.Machine).IdlePrograms(extraRetention, 64)
	if len(idle) == 0 {
		return
	}
	slices.SortFunc(idle, func(a, b turns.IdleProgram) int { return strings.Compare(a.Program, b.Program) })
	command := turns.Command{Forget: idle}
	text, err := command.Encode()
	if err != nil {
		s.world.Fail("encode: %v", err)
	}
	s.world.tally.forgotten++
	m.node.executeAfter(s.world.Between(0, 5*time.Millisecond), func() {
		m.propose(text, time.Second, func(outcome) {})
	})
}

// propose proposes a command to a node's member of a partition, as package storage does.
func (s *turnsWorkload) propose(n *simulatedNode, partition int, c *turns.Command, done func(protocol.TurnOutcome, replica.NodeID)) {
	m := n.member(protocol.TurnGroup(partition))
	if m == nil {
		done(protocol.TurnUnavailable, 0)
		return
	}
	text, err := c.Encode()
	if err != nil {
		s.world.Fail("encode: %v", err)
	}
	m.propose(text, attemptTimeout, func(o outcome) {
		switch o.kind {
		case notLeader:
			done(protocol.TurnNotOwner, o.leader)
		case outcomeUnknown:
			done(protocol.TurnUnknown, 0)
		case unavailable:
			done(protocol.TurnUnavailable, 0)
		default:
			done(s.outcomeOf(o.result), 0)
		}
	})
}

func (s *turnsWorkload) outcomeOf(text []byte) protocol.TurnOutcome {
	result, err := turns.ReadResult(text)
	if err != nil {
		s.world.Fail("result: %v", err)
	}
	return map[turns.Result]protocol.TurnOutcome{
		turns.Accepted: protocol.TurnGranted, turns.BudgetExhausted: protocol.TurnBudgetExhausted,
		turns.UnknownTurn: protocol.TurnNotFound, turns.AttemptClosed: protocol.TurnClosed,
	}[result]
}

// recovered reports whether all partitions are healthy, no turn is in progress, and all probes have
// been answered.
func (s *turnsWorkload) recovered() bool {
	d := s.registry.stateMachine.Directory()
	for partition := range simulatedPartitions {
		if !s.world.isHealthy(protocol.TurnGroup(partition), 3, d.Retiring) {
			return false
		}
	}
	if s.retired != "" {
		if emptied, _ := s.registry.stateMachine.Emptied(s.retired); !emptied {
			return false
		}
	}
	for _, e := range s.edges {
		if e.openTurns > 0 {
			return false
		}
	}
	if s.probes == nil {
		s.probes = newProbes(s)
	}
	return s.probes.pending == 0
}

func (s *turnsWorkload) check() {}
