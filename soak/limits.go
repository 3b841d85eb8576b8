package soak

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/stand"
)

const (
	// maxNotRun targets may get a request that none but the last ran (retry.Attempts); routes and entries set the others.
	maxAttempts  = 2
	maxNotRun    = 3
	hedgePercent = 10
	retryRatio   = 0.2
	retrySlack   = 50
	budgetWindow = 10 * time.Second
	// workLimit is the time from a caller's leaving until no target works for it; half of it allows for a busy machine.
	workLimit = time.Second
)

// checkLimits checks what a run with HardLoad adds to check. Each error names what it guards against.
func (s *Soak) checkLimits(runs map[string][]stand.Run) error {
	byID, ran, returns := make(map[string]*request), make(map[string]int), 0
	var sent []time.Time
	for _, x := range s.requests {
		byID[x.id], sent = x, append(sent, x.sentAt)
		ran[x.content] += len(runs[x.id])
		if x.content != x.id {
			returns++
		}
		if (x.kind == "book" || x.kind == "talk/stream") && ran[x.content] > 1 {
			return errors.Newf("unsafe request that runs again when its caller returns: %s (%s)", x.content, x.kind)
		}
		if refusalStatuses[x.status] && len(runs[x.id]) > 0 {
			return errors.Newf("refusal of a request that ran: %s (%s), status %d", x.id, x.kind, x.status)
		}
	}
	arrivals := make(map[string][]time.Time)
	for _, x := range s.targets {
		for _, a := range x.Arrivals() {
			arrivals[a.ID] = append(arrivals[a.ID], a.At)
		}
		if err := s.checkWork(x, byID); err != nil {
			return err
		}
	}
	delete(arrivals, "") // health checks
	var hedges []time.Time
	for id, list := range arrivals {
		slices.SortFunc(list, time.Time.Compare)
		if n := len(list); n > maxNotRun || n > maxAttempts && len(runs[id]) > 1 {
			return errors.Newf("hedge on top of all attempts: %s reached targets %d times", id, n)
		}
		endedBefore := func(r stand.Run) bool { return !r.EndedAt.IsZero() && r.EndedAt.Before(list[1]) }
		if len(runs[id]) > 1 && !slices.ContainsFunc(runs[id], endedBefore) {
			hedges = append(hedges, list[1])
		}
		s.again = append(s.again, list[1:]...)
	}
	if n := s.above(hedgePercent/100., hedges, sent); n > 0 {
		return errors.Newf("hedges above their limit: %d in %s", n, budgetWindow)
	}
	if n := s.above(retryRatio, s.again, sent); n > 0 {
		return errors.Newf("retries and hedges above the retry budget: %d in %s", n, budgetWindow)
	}
	if returns == 0 {
		return errors.New("run without load: no refused caller returned")
	}
	return nil
}

// above returns the number of sends in a window if that is above a ratio of the requests and the slack. An entry that
// starts again has its part of the slack again.
func (s *Soak) above(ratio float64, sends, requests []time.Time) int {
	starts := 0
	for _, e := range s.entries {
		starts += e.starts
	}
	count := func(list []time.Time, end time.Time) (n int) {
		for _, at := range list {
			if !at.After(end) && end.Sub(at) < budgetWindow {
				n++
			}
		}
		return n
	}
	for _, end := range sends {
		n := count(sends, end)
		if float64(n) > ratio*float64(count(requests, end))+retrySlack*float64(starts)/entryCount {
			return n
		}
	}
	return 0
}

// checkWork returns an error if a target worked for a caller that had left, unless the entry or the way to the target
// was disturbed.
func (s *Soak) checkWork(x *target, byID map[string]*request) error {
	for _, r := range x.Runs() {
		q := byID[r.ID]
		if q == nil || q.path != stand.LongPath || q.result != "broken" {
			continue
		}
		limit := q.endedAt.Add(workLimit)
		late := r.EndedAt.IsZero() || r.EndedAt.After(limit)
		if late && !x.disturbances.overlaps(q.sentAt, limit) && !q.entry.disturbances.overlaps(q.sentAt, limit) {
			return errors.Newf("work for a caller that left: %s on %s, %s later", x.Name, q.id, workLimit)
		}
	}
	return nil
}
