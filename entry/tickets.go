package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// maxTicketCount is the maximum number of tickets in one batch.
	maxTicketCount = 1000
	// maxTicketBody is the maximum size in bytes of the body of a request for tickets.
	maxTicketBody = 4 << 10
)

// ticketsRequest is the body of a request for tickets.
type ticketsRequest struct {
	Profile string `json:"profile"`
	Count   int    `json:"count"`
}

// ticketsReply is the body of the answer to a ticketsRequest.
type ticketsReply struct {
	Tickets []string `json:"tickets"`
}

// serveTickets serves a request for tickets, which non-idempotent requests need.
func (e *Entry) serveTickets(w http.ResponseWriter, r *http.Request) {
	tickets, err := e.issueTickets(w, r)
	if err != nil {
		e.writeRefusal(w, err, Notice{})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ticketsReply{Tickets: tickets})
}

func (e *Entry) issueTickets(w http.ResponseWriter, r *http.Request) ([]string, error) {
	v := e.View()
	if v == nil {
		return nil, &ErrRefused{Reason: chestnutstep.ReasonVersion, Run: chestnutstep.RunNo, RetryAfter: time.Second}
	}
	ws := authenticate(v, r)
	if ws == nil {
		return nil, &ErrRefused{Reason: chestnutstep.ReasonKey, Run: chestnutstep.RunNo}
	}
	in, p, err := e.readTicketsRequest(v, w, r)
	if err != nil {
		return nil, err
	}
	if wait := e.limiter.take(e.Clock(), ws, e.EntryCount()); wait > 0 {
		return nil, &ErrRefused{Reason: chestnutstep.ReasonRate, Run: chestnutstep.RunNo, RetryAfter: wait}
	}
	a := &clientRequest{view: v, workspace: ws, profile: p, id: randomID()}
	return e.mintAtTargets(r.Context(), a, in.Count)
}

func (e *Entry) readTicketsRequest(
	v *chestnutstep.View, w http.ResponseWriter, r *http.Request,
) (ticketsRequest, *chestnutstep.Profile, error) {
	bad := func(detail string) error {
		return &ErrRefused{Reason: chestnutstep.ReasonHeader, Run: chestnutstep.RunNo, Detail: detail}
	}
	var in ticketsRequest
	if r.Method != http.MethodPost {
		return in, nil, bad("tickets are asked for by POST")
	}
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTicketBody))
	d.DisallowUnknownFields()
	if err := d.Decode(&in); err != nil {
		return in, nil, bad("body: " + err.Error())
	}
	if in.Count < 1 || in.Count > maxTicketCount {
		return in, nil, bad("count: is not between 1 and 1000")
	}
	p := v.Profiles[in.Profile]
	if p == nil {
		return in, nil, &ErrRefused{Reason: chestnutstep.ReasonProfile, Run: chestnutstep.RunNo, Detail: in.Profile}
	}
	return in, p, nil
}

// mintAtTargets requests the tickets from the targets in the order of their ranking. The batch's
// random id spreads batches over targets, so that no target gets all actions.
func (e *Entry) mintAtTargets(ctx context.Context, a *clientRequest, count int) ([]string, error) {
	targets := e.Ranker(a.view).Rank(nil, a.rankQuery(e.Region), max(a.profile.MaxAttempts, 1))
	for _, t := range targets {
		reply, err := e.mintAt(ctx, t, a.workspace.Name, count)
		if err == nil {
			return reply.Tickets, nil
		}
		e.Hosts.RecordFailure(e.Clock(), t.Host)
	}
	return nil, &ErrRefused{Reason: chestnutstep.ReasonTarget, Run: chestnutstep.RunNo, RetryAfter: time.Second}
}

func (e *Entry) mintAt(ctx context.Context, t *chestnutstep.Target, workspace string, count int) (*wire.MintReply, error) {
	conn, err := e.Links.Conn(t.Agent)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	return wire.NewAgentClient(conn).Mint(ctx, &wire.MintRequest{Workspace: workspace, Count: uint32(count)})
}
