package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/stand"
)

// refusalStatuses are the statuses that guarantee that the request has not run and
// never will.
var refusalStatuses = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// minReturned is the number of streams taken up from which the part that went on is
// checked.
const minReturned = 12

// check compares the answers of all requests with the runs recorded by the targets.
// It returns an error for the first broken guarantee, or if fewer than 20 requests
// with a valid key were sent after healed, or fewer than 95% of these were served, or
// if less than half of the streams that callers took up went on.
func (s *Soak) check(healed time.Time) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.violations) > 0 {
		return errors.New(strings.Join(s.violations, "; "))
	}
	runs := make(map[string][]stand.Run)
	for _, x := range s.targets {
		for _, r := range x.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	for _, p := range s.processes {
		list, err := p.Runs()
		if err != nil {
			return err
		}
		for _, r := range list {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	if s.HardLoad {
		if err := s.checkLimits(runs); err != nil {
			return err
		}
	}
	served, expected := 0, 0
	returned, takenUp := 0, 0
	for _, x := range s.requests {
		if err := s.checkRequest(x, runs[x.id]); err != nil {
			return err
		}
		delete(runs, x.id)
		if x.resumes != "" && x.key.revokedAt.IsZero() {
			returned++
			if x.status == http.StatusOK {
				takenUp++
			}
		}
		left := (x.leaves || x.path == stand.LongPath) && x.result == "broken"
		if x.sentAt.After(healed) && x.key.revokedAt.IsZero() && !left {
			expected++
			if x.result == "whole" {
				served++
			}
		}
	}
	for id := range runs {
		return errors.Newf("%s ran but was not sent by any caller", id)
	}
	if err := s.checkPauses(); err != nil {
		return err
	}
	if returned >= minReturned && takenUp*2 < returned {
		return errors.Newf("%d of %d streams that callers took up went on", takenUp, returned)
	}
	if expected < 20 || served*100 < expected*95 {
		return errors.Newf("after the end of all faults %d of %d requests were served", served, expected)
	}
	return nil
}

// Wrong returns a line for each answer that callers must never receive, with the time since the first
// fault, in order.
func (s *Soak) Wrong() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for _, x := range s.requests {
		if strings.HasPrefix(x.result, "wrong") {
			list = append(list, fmt.Sprintf("%.3f s to %.3f s %s at entry %d, after event %d: %s",
				x.sentAt.Sub(s.killer.startedAt).Seconds(), x.endedAt.Sub(s.killer.startedAt).Seconds(), x.id, x.entry.number, x.after, x.result))
		}
	}
	return list
}

// Summary returns the number of requests by kind and class of answer.
func (s *Soak) Summary() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := make(map[string]int)
	for _, x := range s.requests {
		class, _, _ := strings.Cut(x.result, ":")
		if x.content != x.id {
			class = "returned " + class
		}
		count[x.kind+" "+class]++
	}
	var list []string
	for _, name := range slices.Sorted(maps.Keys(count)) {
		list = append(list, fmt.Sprintf("%s %d", name, count[name]))
	}
	return strings.Join(append(list, fmt.Sprintf("second sends %d", len(s.again))), ", ")
}

func (s *Soak) checkRequest(x *request, runs []stand.Run) error {
	atMostOnce := x.kind == "book" || x.kind == "talk/stream"
	switch {
	case strings.HasPrefix(x.result, "wrong"):
		return errors.Newf("%s (%s): %s", x.id, x.kind, x.result)
	case atMostOnce && len(runs) > 1:
		return errors.Newf("%s (%s) ran %d times", x.id, x.kind, len(runs))
	case atMostOnce && refusalStatuses[x.status] && len(runs) > 0:
		return errors.Newf("%s (%s) was refused with status %d but ran", x.id, x.kind, x.status)
	case len(runs) > 2:
		return errors.Newf("%s (%s) ran %d times, maximum is 2", x.id, x.kind, len(runs))
	case !x.key.revokedAt.IsZero() && len(runs) > 0 && x.sentAt.Sub(x.key.revokedAt) > revokeDelay+revokeSlack:
		return errors.Newf("%s (%s) ran although it was sent %s after its key was revoked", x.id, x.kind, x.sentAt.Sub(x.key.revokedAt))
	}
	for _, r := range runs {
		if r.Workspace != "ws" || r.Body != "body of "+x.content {
			return errors.Newf("%s ran as workspace %q with body %q", x.id, r.Workspace, r.Body)
		}
	}
	return nil
}
