package coordinator

import (
	"context"

	"k8s.io/klog/v2"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/servers"
	"pipitmux/internal/station/protocol"
)

// listerDuty is the duty of the lister: the owner of its group holds it, in the epoch of
// its term.
type listerDuty struct{ c *Coordinator }

// Held implements lister.Duty.
func (d *listerDuty) Held() (epoch uint64, ok bool) {
	status, err := d.c.node.Host.Status(protocol.ListerDuty)
	return status.Term, err == nil && status.Settled
}

// Lists implements lister.Duty.
func (d *listerDuty) Lists(partition int) (lists []protocol.ServerList) {
	d.c.node.Host.Peek(protocol.ServiceGroup(partition), func(m host.Machine) {
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
	status, err := d.c.node.Host.Status(protocol.ListerDuty)
	if err != nil {
		return
	}
	for _, id := range status.Members.Voters {
		if id == d.c.node.Self.ID {
			continue
		}
		if err := d.c.node.Host.Handover(protocol.ListerDuty, id); err == nil {
			klog.InfoS("The lister's duty is handed over", "to", id)
			return
		}
	}
}
