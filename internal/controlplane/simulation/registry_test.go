package simulation

import (
	"slices"
	"time"

	"oakseam/internal/controlplane/coordinator"
	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/repair"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/protocol"
)

// registry stands for the directory in simulations that do not run the configuration's group.
// Commands reach it with a delay, and each node sees updates at its own times.
type registry struct {
	world        *world
	stateMachine *revisions.Machine
	views        map[endpoint]protocol.Directory
}

func newRegistry(w *world) *registry {
	r := &registry{world: w, stateMachine: revisions.New(nil), views: map[endpoint]protocol.Directory{}}
	for _, n := range w.nodes {
		r.register(n)
	}
	return r
}

func (r *registry) register(n *simulatedNode) {
	self := n.directoryEntry()
	r.apply(&revisions.Command{Register: &self})
}

func (r *registry) apply(c *revisions.Command) revisions.Result {
	text, err := c.Encode()
	if err != nil {
		r.world.Fail("encode: %v", err)
	}
	result, err := revisions.ReadResult(r.stateMachine.Apply(text))
	if err != nil {
		r.world.Fail("result: %v", err)
	}
	return result
}

// submit sends a command to the registry. The command or its answer may be lost.
func (r *registry) submit(c *revisions.Command, answer func(revisions.Result)) {
	w := r.world
	if w.Chance(0.2) {
		return
	}
	w.After(w.Between(time.Millisecond, 200*time.Millisecond), func() {
		result := r.apply(c)
		if !w.Chance(0.2) {
			w.After(w.Between(time.Millisecond, 50*time.Millisecond), func() { answer(result) })
		}
	})
}

func ignoreResult(revisions.Result) {}

// subscribe updates an endpoint's view of the directory repeatedly.
func (r *registry) subscribe(at endpoint) {
	r.views[at] = r.stateMachine.Directory()
	r.world.Every(20*time.Millisecond, 300*time.Millisecond, func() { r.views[at] = r.stateMachine.Directory() })
}

// registerNode registers a node that its view of the directory does not list.
func (r *registry) registerNode(n *simulatedNode) {
	if !slices.Contains(r.views[n.address].Nodes, n.directoryEntry()) {
		self := n.directoryEntry()
		r.submit(&revisions.Command{Register: &self}, ignoreResult)
	}
}

// planMembers returns the next members of a group as planned by the production code.
func (m *member) planMembers(status replica.Status, d protocol.Directory, everyone bool) (replica.Members, bool) {
	n := m.node
	nodes := coordinator.NodesOfClass(d, n.world.class)
	staying := 0
	for _, o := range nodes {
		if !slices.Contains(d.Retiring, o.Name) {
			staying++
		}
	}
	view := repair.View{
		Status: status, Now: n.clock(), LostAfter: node.MemberLostAfter, Nodes: nodes, Retiring: d.Retiring,
		TargetVoters: coordinator.FeasibleVoters(n.world.toleratedDiskLosses, staying), MaxVoters: coordinator.TargetVoters(n.world.toleratedDiskLosses), AllAsLearners: everyone,
	}
	if m.planner.NeedsVoter(view) {
		view.Alive = n.respondingNodes(nodes)
	}
	return m.planner.Plan(view)
}

// respondingNodes returns those of the nodes that respond to this one.
func (n *simulatedNode) respondingNodes(nodes []protocol.Node) []protocol.Node {
	w := n.world
	return slices.DeleteFunc(slices.Clone(nodes), func(o protocol.Node) bool {
		other := w.nodeByID(o.ID)
		if other == n {
			return false
		}
		return other == nil || !other.up || other.frozen || w.network.cutLinks[link{n.address, other.address}] ||
			w.network.cutLinks[link{other.address, n.address}] || w.Chance(w.network.quality.Loss)
	})
}

// repairMembers makes the leader of a group propose a membership change if one is due.
func (m *member) repairMembers(d protocol.Directory, everyone bool) {
	status := m.replica.Status(m.node.clock())
	if !status.LeaderReady {
		return
	}
	if next, due := m.planMembers(status, d, everyone); due {
		m.changeMembers(next)
	}
}

func (m *member) changeMembers(next replica.Members) {
	if _, _, err := m.replica.ChangeMembers(m.node.clock(), next); err == nil {
		m.node.world.tally.membershipChanges++
	}
}

// isHealthy reports whether a group has a leader under lease and the wanted number of voters, all
// of them running and caught up.
func (w *world) isHealthy(group replica.GroupID, voters int, retiring []string) bool {
	for _, n := range w.running() {
		m := n.member(group)
		if m == nil || !m.replica.IsLeader() || !m.replica.HasLease(n.clock()) {
			continue
		}
		status := m.replica.Status(n.clock())
		if status.ChangePending || status.CommitIndex != status.LastIndex || len(status.Members.Voters) != voters {
			return false
		}
		for _, id := range status.Members.All() {
			if !w.isCaughtUp(group, id, status.CommitIndex) {
				return false
			}
		}
		return !slices.ContainsFunc(status.Members.Voters, func(id replica.NodeID) bool {
			return slices.Contains(retiring, w.nodeByID(id).name())
		})
	}
	return false
}

func (w *world) isCaughtUp(group replica.GroupID, id replica.NodeID, commit uint64) bool {
	n := w.nodeByID(id)
	if n == nil || !n.up {
		return false
	}
	m := n.member(group)
	// Members of turn groups learn the commit index late.
	return m != nil && m.applied <= commit && m.replica.Status(n.clock()).LastIndex >= commit
}
