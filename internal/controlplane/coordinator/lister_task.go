package coordinator

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/servers"
	"oakseam/internal/tier/protocol"
)

// listerTask is the lister's singleton task. The leader of its group holds it, and its epoch is
// the leader's term.
type listerTask struct{ coordinator *Coordinator }

// leadershipCheckTimeout bounds the check whether this node still leads the task's group.
const leadershipCheckTimeout = 100 * time.Millisecond

// Held implements lister.Task. The leader holds the task only under its lease: a node that was
// partitioned or frozen may not know yet that another node holds it.
func (t *listerTask) Held() (epoch uint64, ok bool) {
	status, err := t.coordinator.node.Host.Status(protocol.ListerTask)
	if err != nil || !status.LeaderReady {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), leadershipCheckTimeout)
	defer cancel()
	err = t.coordinator.node.Host.Read(ctx, protocol.ListerTask, func(host.StateMachine) {})
	return status.Term, err == nil
}

// Lists implements lister.Task.
func (t *listerTask) Lists(partition int) (lists []protocol.ServerList) {
	t.coordinator.node.Host.ReadLocal(protocol.ServiceGroup(partition), func(m host.StateMachine) {
		lists, _ = m.(*servers.Machine).Lists()
	})
	return lists
}

// Publish implements lister.Task.
func (t *listerTask) Publish(ctx context.Context, partition int, p *servers.Publication) error {
	text, err := p.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	_, err = t.coordinator.node.Submit(ctx, protocol.ServiceGroup(partition), text)
	return err
}

// Edges implements lister.Task.
func (t *listerTask) Edges() []protocol.EdgeNode { return t.coordinator.edges.all(time.Now()) }

// GiveUp implements lister.Task.
func (t *listerTask) GiveUp() {
	status, err := t.coordinator.node.Host.Status(protocol.ListerTask)
	if err != nil {
		return
	}
	for _, id := range nextVoters(status.Members.Voters, t.coordinator.node.Self.ID) {
		if err := t.coordinator.node.Host.TransferLeadership(protocol.ListerTask, id); err == nil {
			klog.InfoS("Handed the lister's task to another node", "to", id)
			return
		}
	}
}

// nextVoters returns the other voters in order, starting after self and wrapping around. A task
// that is handed on repeatedly in this order reaches every voter.
func nextVoters(voters []replica.NodeID, self replica.NodeID) []replica.NodeID {
	at := slices.Index(voters, self)
	return slices.Concat(voters[at+1:], voters[:max(at, 0)])
}
