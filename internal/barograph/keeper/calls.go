package keeper

import (
	"context"

	"github.com/go-faster/errors"

	"pipitmux/internal/barograph/host"
	"pipitmux/internal/barograph/node"
	"pipitmux/internal/barograph/replica"
	"pipitmux/internal/barograph/turns"
	"pipitmux/internal/station/protocol"
)

// turnCalls are the calls that data-plane nodes make to a storage node.
type turnCalls struct{ k *Keeper }

// Admit reserves a turn's tokens and tells what was said before.
func (s *turnCalls) Admit(args *protocol.AdmitArgs, reply *protocol.AdmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	group := protocol.TurnGroup(args.Partition)
	admission := &turns.Admission{
		Program: args.Program, Attempt: args.Attempt, Previous: args.Previous, Imported: args.Imported,
		Budget: args.Budget, Most: args.Most, Keep: args.Keep, Token: args.Token,
	}
	result, err := s.k.propose(ctx, group, &turns.Command{Admit: admission})
	if reply.Outcome, reply.Owner = outcomeOf(result, err); reply.Outcome != protocol.TurnGranted {
		return nil
	}
	if args.Previous == "" || args.Imported || args.Known {
		return nil
	}
	found := false
	s.k.node.Host.ReadLocal(group, func(m host.StateMachine) { reply.History, found = m.(*turns.Machine).History(args.Previous) })
	if !found {
		reply.Outcome = protocol.TurnNotFound
	}
	return nil
}

// Finish ends a try, and keeps its turn where that was answered whole.
func (s *turnCalls) Finish(args *protocol.FinishArgs, reply *protocol.FinishReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	group := protocol.TurnGroup(args.Partition)
	ending := &turns.Ending{
		Program: args.Program, Attempt: args.Attempt, Whole: args.Whole, Tokens: args.Tokens, Previous: args.Previous,
		Imported: args.Imported, Input: args.Input, Output: args.Output, Keep: args.Keep, Token: args.Token,
	}
	result, err := s.k.propose(ctx, group, &turns.Command{End: ending})
	reply.Outcome, reply.Owner = outcomeOf(result, err)
	return nil
}

// Find looks for a turn in all partitions that this node surely owns.
func (s *turnCalls) Find(args *protocol.FindArgs, reply *protocol.FindReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	for _, partition := range s.k.partitions() {
		status, err := s.k.node.Host.Status(protocol.TurnGroup(partition))
		if err != nil || !status.LeaderReady {
			continue
		}
		err = s.k.node.Host.Read(ctx, protocol.TurnGroup(partition), func(m host.StateMachine) {
			if history, found := m.(*turns.Machine).History(args.Attempt); found {
				reply.Found, reply.History = true, history
			}
		})
		switch {
		case err != nil:
			continue
		case reply.Found:
			return nil
		}
		reply.Without = append(reply.Without, partition)
	}
	return nil
}

func (k *Keeper) propose(ctx context.Context, group replica.GroupID, command *turns.Command) (turns.Result, error) {
	text, err := command.Encode()
	if err != nil {
		return 0, err
	}
	answer, err := k.node.Host.Propose(ctx, group, text)
	if err != nil {
		return 0, err
	}
	return turns.ReadResult(answer)
}

var results = map[turns.Result]protocol.TurnOutcome{
	turns.Granted: protocol.TurnGranted,
	turns.Spent:   protocol.TurnBudgetExhausted,
	turns.Missing: protocol.TurnNotFound,
	turns.Closed:  protocol.TurnClosed,
}

func outcomeOf(result turns.Result, err error) (protocol.TurnOutcome, replica.NodeID) {
	if err == nil {
		return results[result], 0
	}
	var unread *turns.ResultError
	if errors.As(err, &unread) {
		return protocol.TurnUnavailable, 0
	}
	switch outcome, owner := node.OutcomeOf(err); outcome {
	case protocol.NotOwner:
		return protocol.TurnNotOwner, owner
	case protocol.Unknown:
		return protocol.TurnUnknown, owner
	}
	return protocol.TurnUnavailable, 0
}
