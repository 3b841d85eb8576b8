package agent

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// maxMintCount is the maximum number of tickets in one batch.
const maxMintCount = 1000

// Mint returns tickets that are valid only for this incarnation of this agent. It fails with
// InvalidArgument for a count out of range and with Unavailable if the target accepts no new work.
func (s *service) Mint(_ context.Context, rq *wire.MintRequest) (*wire.MintReply, error) {
	a := s.Agent
	if rq.Count == 0 || rq.Count > maxMintCount {
		return nil, status.Errorf(codes.InvalidArgument, "count: 1 to %d, not %d", maxMintCount, rq.Count)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if reason := a.mintRefusal(); reason != "" {
		return nil, status.Error(codes.Unavailable, string(reason))
	}
	a.Notify(Notice{Kind: NoticeMinted, Subject: a.Name, Workspace: rq.Workspace, Profile: rq.Profile, Count: int(rq.Count)})
	return &wire.MintReply{
		Tickets: a.Issuer.Mint(a.Clock(), rq.Workspace, int(rq.Count)),
		Target:  a.Name,
	}, nil
}

// mintRefusal returns why no tickets are minted, or "". It prevents tickets from binding actions to
// a target that is about to refuse them.
func (a *Agent) mintRefusal() chestnutstep.Reason {
	if a.View() == nil {
		return chestnutstep.ReasonVersion
	}
	a.applyPublication(a.Clock())
	return a.rejectReason()
}

// Drop writes a tombstone for a ticket that has not run and returns the ticket's run status.
func (s *service) Drop(_ context.Context, rq *wire.DropRequest) (*wire.DropReply, error) {
	a := s.Agent
	a.mu.Lock()
	defer a.mu.Unlock()
	ticketStatus := a.Issuer.Drop(a.Clock(), rq.Ticket, rq.Workspace)
	return &wire.DropReply{Run: string(ticketStatus.Run)}, nil
}
