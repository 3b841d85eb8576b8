package soak

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/stand"
)

const (
	// pauseGrace is the time after an answer that asks for a pause, and leaveGrace after one that
	// announces that the target leaves, from which on no request of the same entry may come.
	pauseGrace = 500 * time.Millisecond
	leaveGrace = 2 * time.Second
	// replaceAfter is how long a target that announces that it leaves stays before its next start.
	replaceAfter = leaveGrace + time.Second
)

// span is a time during which an entry or the way to a target was disturbed; until is zero while it
// lasts.
type span struct{ from, until time.Time }

// disturbances are the spans of one entry or target.
type disturbances struct{ list []span }

// begin records the start of a disturbance and returns the function that records its end.
func (d *disturbances) begin() (end func()) {
	i := len(d.list)
	d.list = append(d.list, span{from: time.Now()})
	return func() { d.list[i].until = time.Now() }
}

// overlaps reports whether there was a disturbance between two times.
func (d *disturbances) overlaps(from, until time.Time) bool {
	for _, s := range d.list {
		if s.from.Before(until) && (s.until.IsZero() || s.until.After(from)) {
			return true
		}
	}
	return false
}

// pauser makes targets ask for pauses, announce that they leave, and send bytes without end. It has random numbers of its own,
// so that the other faults of a seed stay what they are.
type pauser struct {
	soak *Soak
	rand *rand.Rand
	// leaving is the target that announces that it leaves, since leavingAt; nil if there is none.
	leaving   *target
	leavingAt time.Time
}

// inject lets one target ask for a pause, announce that it leaves, or answer a request without end.
func (p *pauser) inject() {
	if p.leaving != nil && time.Since(p.leavingAt) > replaceAfter {
		p.replace()
	}
	x := p.soak.targets[p.rand.IntN(len(p.soak.targets))]
	switch n := p.rand.IntN(4); {
	case n == 0 && p.leaving == nil && x.leavesAt.IsZero():
		x.Leave()
		p.leaving, p.leavingAt = x, time.Now()
	case n == 3:
		x.AddBehaviour(stand.EndlessBehaviours[p.rand.IntN(len(stand.EndlessBehaviours))])
	default:
		x.Rest(time.Duration(700+p.rand.IntN(800)) * time.Millisecond)
	}
}

// replace starts the target that announced its leaving again, as another incarnation.
func (p *pauser) replace() {
	x := p.leaving
	p.leaving = nil
	x.Stay()
	if x.leavesAt.IsZero() {
		p.soak.putTarget(x, "ready")
	}
}

// checkPauses returns an error if an entry sent a request to a target that had asked it for a pause or
// had announced its leaving, unless the entry or the way to the target was disturbed meanwhile, or the answer that
// said so was lost on its way to the entry.
func (s *Soak) checkPauses() error {
	byID := make(map[string]*request, len(s.requests))
	for _, x := range s.requests {
		byID[x.id] = x
	}
	for _, x := range s.targets {
		list := x.Arrivals()
		for i, a := range list {
			if a.Pause == 0 && !a.Leaving || byID[a.ID] == nil || byID[a.ID].result == "broken" {
				continue
			}
			e := byID[a.ID].entry
			if err := x.checkAfter(a, e, list[i+1:], byID); err != nil && !s.lostHead(e, a.ID, x.Name) {
				return err
			}
		}
	}
	return nil
}

// lostHead reports whether an entry logged that an attempt at a target ended before the head of its answer had come.
func (s *Soak) lostHead(e *entry, request, target string) bool {
	raw, err := os.ReadFile(s.logFile(e.number))
	if err != nil {
		return false
	}
	for line := range bytes.Lines(raw) {
		var l struct {
			Event           event.ID
			Request, Target string
			Status          int
		}
		if json.Unmarshal(line, &l) == nil && l.Event == event.RelayFailed && l.Request == request && l.Target == target && l.Status == 0 {
			return true
		}
	}
	return false
}

// checkAfter checks the requests that followed an answer.
func (x *target) checkAfter(a stand.Arrival, e *entry, later []stand.Arrival, byID map[string]*request) error {
	for _, b := range later {
		r := byID[b.ID]
		if r == nil || r.entry != e || b.Start != a.Start || r.sentAt.Before(a.At.Add(pauseGrace)) {
			continue
		}
		if e.disturbances.overlaps(a.At, b.At) || x.disturbances.overlaps(a.At, b.At) {
			return nil
		}
		if a.Pause > 0 && b.At.Before(a.At.Add(a.Pause)) {
			return errors.Newf("%s reached %s %s after that had asked entry %d for %s", b.ID, x.Name, b.At.Sub(a.At), e.number, a.Pause)
		}
		if a.Leaving && b.Leaving && r.sentAt.After(a.At.Add(leaveGrace)) {
			return errors.Newf("%s reached %s %s after that had announced its leaving to entry %d", b.ID, x.Name, b.At.Sub(a.At), e.number)
		}
	}
	return nil
}
