package simulation

import (
	"slices"
	"time"

	"pipitmux/internal/barograph/coordinator"
	"pipitmux/internal/barograph/node"
	"pipitmux/internal/barograph/repair"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/revisions"
	"pipitmux/internal/station/protocol"
)

// registry is the directory where the configuration's group is not played itself: commands
// take a while to get there, and each node learns of news at times of its own.
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

// submit brings a command to the registry, unless it gets lost. The answer may get lost too.
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

// follow lets an endpoint learn of news again and again.
func (r *registry) subscribe(at endpoint) {
	r.views[at] = r.stateMachine.Directory()
	r.world.Every(20*time.Millisecond, 300*time.Millisecond, func() { r.views[at] = r.stateMachine.Directory() })
}

// stand has a node stand in the directory.
func (r *registry) registerNode(n *simulatedNode) {
	if !slices.Contains(r.views[n.address].Nodes, n.directoryEntry()) {
		self := n.directoryEntry()
		r.submit(&revisions.Command{Register: &self}, ignoreResult)
	}
}

// plan is what production's planner wants a group's members to be next.
func (m *member) planMembers(status replica.Status, d protocol.Directory, everyone bool) (replica.Members, bool) {
	n := m.node
	nodes := coordinator.OfClass(d, n.world.class)
	staying := 0
	for _, o := range nodes {
		if !slices.Contains(d.Retiring, o.Name) {
			staying++
		}
	}
	view := repair.View{
		Status: status, Now: n.clock(), Silent: node.Silent, Nodes: nodes, Retiring: d.Retiring,
		Voters: coordinator.Voters(n.world.toleratedDiskLosses, staying), Everyone: everyone,
	}
	if m.planner.Wanting(view) {
		view.Alive = n.respondingNodes(nodes)
	}
	return m.planner.Plan(view)
}

// alive are those of the nodes that answer this one.
func (n *simulatedNode) respondingNodes(nodes []protocol.Node) []protocol.Node {
	w := n.world
	return slices.DeleteFunc(slices.Clone(nodes), func(o protocol.Node) bool {
		other := w.nodeByID(o.ID)
		if other == n {
			return false
		}
		return other == nil || !other.up || other.frozen || w.network.cutLinks[link{n.address, other.address}] ||
			w.network.cutLinks[link{other.address, n.address}] || w.Chance(w.network.lossRate)
	})
}

// repair has the owner of a group see to its members.
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

// keptWell tells whether a group has an owner under lease, and as many voters as it should,
// all of them there and in step.
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
	// Members of groups of turns learn late what is committed.
	return m != nil && m.applied <= commit && m.replica.Status(n.clock()).LastIndex >= commit
}
