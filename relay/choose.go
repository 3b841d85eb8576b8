package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

// next chooses the target for the next try.
func (q *request) next() (*roster.Target, choice, *refusal) {
	now := clock.Now()
	if q.left() || q.callerClosed() {
		q.gone = true
		return nil, choice{}, &refusal{0, chestnutstep.ReasonCanceled, 0}
	}
	if q.ctx.Err() != nil {
		f := q.verdict(q.ctx.Err())
		return nil, choice{}, &f
	}
	// The view may have changed while an earlier attempt ran.
	if v := q.Roster.View(); v != nil {
		q.view = v
	}
	if q.workspace != nil && !q.current() {
		return nil, choice{}, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonVersion, retryUnready}
	}
	if q.Crashes.Quarantined(time.Now(), q.content) {
		return nil, choice{}, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonCondemned, retryCondemned}
	}
	list := q.candidates(now)
	if q.tally.Tries == 0 {
		if refused := q.refuseFull(now, list); refused != nil {
			return nil, choice{}, refused
		}
	}
	var donor place.Donor
	if q.service.Engine {
		donor = q.Board.Donor(now, q.view, q.service, q.ask.Parts)
	}
	want := q.want()
	picked, ok := place.Pick(list, donor, want)
	if !ok {
		return nil, choice{}, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonTarget, retryBusy}
	}
	c := choice{
		candidate: list[picked.Index], held: list[picked.Index].Held, want: want,
		cost: picked.Cost, of: len(list),
	}
	if picked.Fetch {
		c.fetch, c.held = donor.Address, donor.Held
	}
	return q.view.ByID[c.candidate.ID], c, nil
}

// candidates are the targets that may have the request; suspects only where nothing else
// is left.
func (q *request) candidates(now clock.Stamp) []place.Candidate {
	need := board.Need{Parts: q.ask.Parts, Domain: q.Domain, Skip: q.skip, Allowed: q.allowed}
	list := q.Board.Candidates(now, q.view, q.service, need)
	if len(list) > 0 {
		return list
	}
	need.Suspects = true
	return q.Board.Candidates(now, q.view, q.service, need)
}

// refuseFull refuses a request for which the targets have no place left, with the time after
// which it may find one.
func (q *request) refuseFull(now clock.Stamp, list []place.Candidate) *refusal {
	room := q.Board.Admit(now, q.service.Name, list, q.who())
	if room.Free {
		return nil
	}
	q.room = &room
	q.Meters.Refused.Add(1, q.who().Workspace, string(room.Reason))
	return &refusal{http.StatusServiceUnavailable, room.Reason, admit.Back(q.ask.ID, q.route.Objective)}
}

// allowed says whether targets of a failure domain may have the request: where route
// and workspace both name regions, both bind.
func (q *request) allowed(domain string) bool {
	region := q.Regions[domain]
	if len(q.route.Regions) > 0 && !slices.Contains(q.route.Regions, region) {
		return false
	}
	return q.workspace == nil || len(q.workspace.Regions) == 0 || slices.Contains(q.workspace.Regions, region)
}

// choice is a candidate with what decided for it, for the log.
type choice struct {
	candidate place.Candidate
	want      place.Ask
	fetch     string
	held      int
	cost      float64
	of        int
}

// want says what the request asks of its place.
func (q *request) want() place.Ask {
	a := place.Ask{Key: xxhash.Sum64String(q.ask.ID), Cap: q.Bounds().Cap}
	for _, p := range q.ask.Parts {
		a.Tokens += p.Tokens
	}
	if n := len(q.ask.Parts); n > 1 {
		a.Key = q.ask.Parts[n-2].ID
		a.Shared = a.Tokens - q.ask.Parts[n-1].Tokens
	}
	return a
}

// who asks, for the places at targets.
func (q *request) who() board.Who {
	w := board.Who{Urgency: q.urgency(), Objective: q.route.Objective}
	if q.workspace != nil {
		w.Workspace = q.workspace.Name
	}
	return w
}
