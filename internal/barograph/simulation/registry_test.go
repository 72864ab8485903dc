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
	world   *world
	machine *revisions.Machine
	views   map[endpoint]protocol.Directory
}

func newRegistry(w *world) *registry {
	r := &registry{world: w, machine: revisions.New(nil), views: map[endpoint]protocol.Directory{}}
	for _, n := range w.nodes {
		r.register(n)
	}
	return r
}

func (r *registry) register(n *machineNode) {
	self := n.self()
	r.apply(&revisions.Command{Register: &self})
}

func (r *registry) apply(c *revisions.Command) revisions.Result {
	text, err := c.Encode()
	if err != nil {
		r.world.Fail("encode: %v", err)
	}
	result, err := revisions.ReadResult(r.machine.Apply(text))
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

func ignore(revisions.Result) {}

// follow lets an endpoint learn of news again and again.
func (r *registry) follow(at endpoint) {
	r.views[at] = r.machine.Directory()
	r.world.Every(20*time.Millisecond, 300*time.Millisecond, func() { r.views[at] = r.machine.Directory() })
}

// stand has a node stand in the directory.
func (r *registry) stand(n *machineNode) {
	if !slices.Contains(r.views[n.place].Nodes, n.self()) {
		self := n.self()
		r.submit(&revisions.Command{Register: &self}, ignore)
	}
}

// plan is what production's planner wants a group's members to be next.
func (m *member) plan(status replica.Status, d protocol.Directory, everyone bool) (replica.Members, bool) {
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
		Voters: coordinator.Voters(n.world.losses, staying), Everyone: everyone,
	}
	if m.planner.Wanting(view) {
		view.Alive = n.alive(nodes)
	}
	return m.planner.Plan(view)
}

// alive are those of the nodes that answer this one.
func (n *machineNode) alive(nodes []protocol.Node) []protocol.Node {
	w := n.world
	return slices.DeleteFunc(slices.Clone(nodes), func(o protocol.Node) bool {
		other := w.withID(o.ID)
		if other == n {
			return false
		}
		return other == nil || !other.up || other.frozen || w.network.cuts[direction{n.place, other.place}] ||
			w.network.cuts[direction{other.place, n.place}] || w.Chance(w.network.loss)
	})
}

// repair has the owner of a group see to its members.
func (m *member) repair(d protocol.Directory, everyone bool) {
	status := m.replica.Status(m.node.clock())
	if !status.LeaderReady {
		return
	}
	if next, due := m.plan(status, d, everyone); due {
		m.change(next)
	}
}

func (m *member) change(next replica.Members) {
	if _, _, err := m.replica.ChangeMembers(m.node.clock(), next); err == nil {
		m.node.world.tally.changes++
	}
}

// keptWell tells whether a group has an owner under lease, and as many voters as it should,
// all of them there and in step.
func (w *world) keptWell(group replica.GroupID, voters int, retiring []string) bool {
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
			if !w.inStep(group, id, status.CommitIndex) {
				return false
			}
		}
		return !slices.ContainsFunc(status.Members.Voters, func(id replica.NodeID) bool {
			return slices.Contains(retiring, w.withID(id).name())
		})
	}
	return false
}

func (w *world) inStep(group replica.GroupID, id replica.NodeID, commit uint64) bool {
	n := w.withID(id)
	if n == nil || !n.up {
		return false
	}
	m := n.member(group)
	// Members of groups of turns learn late what is committed.
	return m != nil && m.applied <= commit && m.replica.Status(n.clock()).LastIndex >= commit
}
