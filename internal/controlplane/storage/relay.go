package storage

import (
	"context"
	"time"

	"oakseam/internal/controlplane/replica"
	"oakseam/internal/tier/protocol"
)

// relayTimeout bounds a call that is passed on to a partition's leader. It ends well before the caller's
// own timeout, so that the caller can try another voter.
const relayTimeout = 200 * time.Millisecond

// relayAdmit passes an admission on to the leader for a caller that cannot reach it. If that fails, the
// reply goes on naming the leader.
func (s *turnsService) relayAdmit(args *protocol.AdmitArgs, reply *protocol.AdmitReply) {
	passedOn := *args
	passedOn.Relay, passedOn.Within = false, relayTimeout
	var answer protocol.AdmitReply
	if s.relay(reply.Owner, "Turns.Admit", &passedOn, &answer) {
		*reply = answer
	}
}

// relayFinish passes the end of an attempt on to the leader for a caller that cannot reach it.
func (s *turnsService) relayFinish(args *protocol.FinishArgs, reply *protocol.FinishReply) {
	passedOn := *args
	passedOn.Relay, passedOn.Within = false, relayTimeout
	var answer protocol.FinishReply
	if s.relay(reply.Owner, "Turns.Finish", &passedOn, &answer) {
		*reply = answer
	}
}

// relay calls the leader and reports whether it answered. The call may nevertheless have taken effect.
func (s *turnsService) relay(leader replica.NodeID, method string, args, answer any) bool {
	at, known := s.storage.node.Addresses.Find(leader)
	if !known || leader == s.storage.node.Self.ID {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	return s.storage.node.Pool.Call(ctx, at.Address, method, args, answer) == nil
}
