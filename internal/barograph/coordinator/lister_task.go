package coordinator

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/servers"
	"pipitmux/internal/station/protocol"
)

// listerDuty is the duty of the lister: the owner of its group holds it, in the epoch of
// its term.
type listerTask struct{ c *Coordinator }

// heldWithin bounds the look at the duty's group.
const leadershipCheckTimeout = 100 * time.Millisecond

// Held implements lister.Task. The owner holds the duty under its lease only: one that was
// cut off or frozen may not know yet that another holds it.
func (d *listerTask) Held() (epoch uint64, ok bool) {
	status, err := d.c.node.Host.Status(protocol.ListerDuty)
	if err != nil || !status.LeaderReady {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), leadershipCheckTimeout)
	defer cancel()
	err = d.c.node.Host.Read(ctx, protocol.ListerDuty, func(host.StateMachine) {})
	return status.Term, err == nil
}

// Lists implements lister.Task.
func (d *listerTask) Lists(partition int) (lists []protocol.ServerList) {
	d.c.node.Host.ReadLocal(protocol.ServiceGroup(partition), func(m host.StateMachine) {
		lists, _ = m.(*servers.Machine).Lists()
	})
	return lists
}

// Publish implements lister.Task.
func (d *listerTask) Publish(ctx context.Context, partition int, p *servers.Publication) error {
	text, err := p.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	_, err = d.c.node.Submit(ctx, protocol.ServiceGroup(partition), text)
	return err
}

// GiveUp implements lister.Task.
func (d *listerTask) GiveUp() {
	status, err := d.c.node.Host.Status(protocol.ListerDuty)
	if err != nil {
		return
	}
	for _, id := range nextVoters(status.Members.Voters, d.c.node.Self.ID) {
		if err := d.c.node.Host.TransferLeadership(protocol.ListerDuty, id); err == nil {
			klog.InfoS("The lister's duty is handed over", "to", id)
			return
		}
	}
}

// heirs are the other voters, from the one after self on and round: a duty that all hand on
// in this order comes to each of them.
func nextVoters(voters []replica.NodeID, self replica.NodeID) []replica.NodeID {
	at := slices.Index(voters, self)
	return slices.Concat(voters[at+1:], voters[:max(at, 0)])
}
