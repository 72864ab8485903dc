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
type listerDuty struct{ c *Coordinator }

// heldWithin bounds the look at the duty's group.
const heldWithin = 100 * time.Millisecond

// Held implements lister.Duty. The owner holds the duty under its lease only: one that was
// cut off or frozen may not know yet that another holds it.
func (d *listerDuty) Held() (epoch uint64, ok bool) {
	status, err := d.c.node.Host.Status(protocol.ListerTask)
	if err != nil || !status.LeaderReady {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), heldWithin)
	defer cancel()
	err = d.c.node.Host.Read(ctx, protocol.ListerTask, func(host.StateMachine) {})
	return status.Term, err == nil
}

// Lists implements lister.Duty.
func (d *listerDuty) Lists(partition int) (lists []protocol.ServerList) {
	d.c.node.Host.ReadLocal(protocol.ServiceGroup(partition), func(m host.StateMachine) {
		lists, _ = m.(*servers.Machine).Lists()
	})
	return lists
}

// Publish implements lister.Duty.
func (d *listerDuty) Publish(ctx context.Context, partition int, p *servers.Publication) error {
	text, err := p.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, submitWithin)
	defer cancel()
	_, err = d.c.node.Submit(ctx, protocol.ServiceGroup(partition), text)
	return err
}

// GiveUp implements lister.Duty.
func (d *listerDuty) GiveUp() {
	status, err := d.c.node.Host.Status(protocol.ListerTask)
	if err != nil {
		return
	}
	for _, id := range heirs(status.Members.Voters, d.c.node.Self.ID) {
		if err := d.c.node.Host.TransferLeadership(protocol.ListerTask, id); err == nil {
			klog.InfoS("The lister's duty is handed over", "to", id)
			return
		}
	}
}

// heirs are the other voters, from the one after self on and round: a duty that all hand on
// in this order comes to each of them.
func heirs(voters []replica.NodeID, self replica.NodeID) []replica.NodeID {
	at := slices.Index(voters, self)
	return slices.Concat(voters[at+1:], voters[:max(at, 0)])
}
