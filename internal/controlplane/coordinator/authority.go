package coordinator

import (
	"context"
	"time"

	"oakseam/internal/controlplane/adminapi"
	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/revisions"
	"oakseam/internal/tier/protocol"
	"oakseam/internal/tier/routing"
)

// commandTimeout bounds an operator's call on this node. A caller without an answer for a
// second tries another node.
const commandTimeout = 3 * time.Second

// Replace implements adminapi.Authority.
func (c *Coordinator) Replace(ctx context.Context, base uint64, body []byte) adminapi.ReplaceOutcome {
	configuration, err := routing.Parse(body)
	if err != nil {
		return adminapi.ReplaceOutcome{Result: adminapi.ReplaceInvalid, Reason: err.Error()}
	}
	switch hasReached, err := c.hasReached(ctx, base); {
	case err != nil:
		return adminapi.ReplaceOutcome{Result: adminapi.ReplaceUncertain}
	case !hasReached:
		return adminapi.ReplaceOutcome{Result: adminapi.ReplaceConflict}
	}
	change, err := c.newChange(base, configuration.Revision, body)
	if err != nil {
		return adminapi.ReplaceOutcome{Result: adminapi.ReplaceInvalid, Reason: err.Error()}
	}
	switch c.execute(ctx, &revisions.Command{Change: change}) {
	case revisions.Accepted:
		return adminapi.ReplaceOutcome{Result: adminapi.ReplaceAccepted}
	case revisions.Conflict:
		return adminapi.ReplaceOutcome{Result: adminapi.ReplaceConflict}
	case revisions.StaleRevision:
		return adminapi.ReplaceOutcome{Result: adminapi.ReplaceInvalid, Reason: "configRevision: not above the current one"}
	}
	return adminapi.ReplaceOutcome{Result: adminapi.ReplaceUncertain}
}

// newChange builds the log entry for a change from a base that this node has reached.
func (c *Coordinator) newChange(base, revision uint64, body []byte) (change *revisions.Change, err error) {
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		change, err = m.(*revisions.Machine).NewChange(base, revision, body)
	})
	return change, err
}

// hasReached reports whether a revision is or was in force. A change on a future base must not
// enter the log: a late attempt from a frozen process could then take effect after another
// attempt of the same change was rejected.
func (c *Coordinator) hasReached(ctx context.Context, revision uint64) (bool, error) {
	if c.revision() >= revision {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := c.node.ReadBarrier(ctx, protocol.ConfigurationGroup); err != nil {
		return false, err
	}
	return c.revision() >= revision, nil
}

// revision returns the newest revision that this node has applied.
func (c *Coordinator) revision() (revision uint64) {
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		revision, _ = m.(*revisions.Machine).Configuration()
	})
	return revision
}

// execute submits a command and returns its result, 0 if the result is unknown.
func (c *Coordinator) execute(ctx context.Context, command *revisions.Command) revisions.Result {
	text, err := command.Encode()
	if err != nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	reply, err := c.node.Submit(ctx, protocol.ConfigurationGroup, text)
	if err != nil {
		return 0
	}
	result, err := revisions.ReadResult(reply)
	if err != nil {
		return 0
	}
	return result
}

// Show implements adminapi.Authority.
func (c *Coordinator) Show(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := c.node.ReadBarrier(ctx, protocol.ConfigurationGroup); err != nil {
		return nil, adminapi.ErrUnavailable
	}
	var revision uint64
	var body []byte
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		revision, body = m.(*revisions.Machine).Configuration()
	})
	if revision == 0 {
		return nil, adminapi.ErrNoConfiguration
	}
	return body, nil
}

// RetireBegin implements adminapi.Authority.
func (c *Coordinator) RetireBegin(ctx context.Context, name string, _ time.Duration) adminapi.RetireOutcome {
	retirement := &revisions.Retirement{Node: name, MinRemaining: TargetVoters(c.toleratedLosses)}
	switch c.execute(ctx, &revisions.Command{Retire: retirement}) {
	case revisions.Accepted:
		return adminapi.RetireAccepted
	case revisions.UnknownNode:
		return adminapi.RetireUnknownNode
	case revisions.TooFewNodes:
		return adminapi.RetireTooFew
	}
	return adminapi.RetireUncertain
}

// RetireShow implements adminapi.Authority.
func (c *Coordinator) RetireShow(ctx context.Context, name string) (adminapi.RetireState, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := c.node.ReadBarrier(ctx, protocol.ConfigurationGroup); err != nil {
		return 0, adminapi.ErrUnavailable
	}
	var emptied, retiring bool
	c.node.Host.ReadLocal(protocol.ConfigurationGroup, func(m host.StateMachine) {
		emptied, retiring = m.(*revisions.Machine).Emptied(name)
	})
	switch {
	case !retiring:
		return 0, adminapi.ErrUnknownNode
	case emptied:
		return adminapi.RetireCompleted, nil
	}
	return adminapi.RetireInProgress, nil
}
