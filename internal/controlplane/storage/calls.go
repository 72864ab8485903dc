package storage

import (
	"context"

	"github.com/go-faster/errors"

	"oakseam/internal/controlplane/host"
	"oakseam/internal/controlplane/node"
	"oakseam/internal/controlplane/replica"
	"oakseam/internal/controlplane/turns"
	"oakseam/internal/tier/protocol"
)

// turnsService serves the calls of data plane nodes to a storage node.
type turnsService struct{ storage *Node }

// Admit reserves a turn's tokens and returns the history it continues.
func (s *turnsService) Admit(args *protocol.AdmitArgs, reply *protocol.AdmitReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	group := protocol.TurnGroup(args.Partition)
	admission := &turns.Admission{
		Program: args.Program, Attempt: args.Attempt, Previous: args.Previous, Imported: args.Imported,
		Budget: args.Budget, MaxTokens: args.Most, Retention: args.Keep, Token: args.Token,
	}
	result, err := s.storage.propose(ctx, group, &turns.Command{Admit: admission})
	reply.Outcome, reply.Owner = outcomeOf(result, err)
	if reply.Outcome == protocol.TurnNotOwner && args.Relay {
		s.relayAdmit(args, reply)
		return nil
	}
	if reply.Outcome != protocol.TurnGranted {
		return nil
	}
	if args.Previous == "" || args.Imported || args.Known {
		return nil
	}
	found := false
	s.storage.node.Host.ReadLocal(group, func(m host.StateMachine) { reply.History, found = m.(*turns.Machine).History(args.Previous) })
	if !found {
		reply.Outcome = protocol.TurnNotFound
	}
	return nil
}

// Finish ends an attempt, and stores its turn if the turn was answered completely.
func (s *turnsService) Finish(args *protocol.FinishArgs, reply *protocol.FinishReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	group := protocol.TurnGroup(args.Partition)
	completion := &turns.Completion{
		Program: args.Program, Attempt: args.Attempt, Complete: args.Whole, Tokens: args.Tokens, Previous: args.Previous,
		Imported: args.Imported, Input: args.Input, Output: args.Output, Retention: args.Keep, Token: args.Token,
	}
	result, err := s.storage.propose(ctx, group, &turns.Command{Finish: completion})
	reply.Outcome, reply.Owner = outcomeOf(result, err)
	if reply.Outcome == protocol.TurnNotOwner && args.Relay {
		s.relayFinish(args, reply)
	}
	return nil
}

// Find looks for a turn in all partitions that this node certainly leads.
func (s *turnsService) Find(args *protocol.FindArgs, reply *protocol.FindReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Within)
	defer cancel()
	for _, partition := range s.storage.partitions() {
		status, err := s.storage.node.Host.Status(protocol.TurnGroup(partition))
		if err != nil || !status.LeaderReady {
			continue
		}
		err = s.storage.node.Host.Read(ctx, protocol.TurnGroup(partition), func(m host.StateMachine) {
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

// propose proposes a command to a partition's group on this node.
func (n *Node) propose(ctx context.Context, group replica.GroupID, command *turns.Command) (turns.Result, error) {
	text, err := command.Encode()
	if err != nil {
		return 0, err
	}
	reply, err := n.node.Host.Propose(ctx, group, text)
	if err != nil {
		return 0, err
	}
	return turns.ReadResult(reply)
}

// turnOutcomes maps results of the state machine to the outcomes sent in replies.
var turnOutcomes = map[turns.Result]protocol.TurnOutcome{
	turns.Accepted:        protocol.TurnGranted,
	turns.BudgetExhausted: protocol.TurnBudgetExhausted,
	turns.UnknownTurn:     protocol.TurnNotFound,
	turns.AttemptClosed:   protocol.TurnClosed,
}

// outcomeOf returns the outcome to send in a reply, and the leader if it is known.
func outcomeOf(result turns.Result, err error) (protocol.TurnOutcome, replica.NodeID) {
	if err == nil {
		return turnOutcomes[result], 0
	}
	var resultError *turns.ResultError
	if errors.As(err, &resultError) {
		return protocol.TurnUnavailable, 0
	}
	switch outcome, leader := node.OutcomeOf(err); outcome {
	case protocol.NotOwner:
		return protocol.TurnNotOwner, leader
	case protocol.Unknown:
		return protocol.TurnUnknown, leader
	}
	return protocol.TurnUnavailable, 0
}
