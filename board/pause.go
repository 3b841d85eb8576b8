package board

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

// pauses sums up the targets that a choice passed over because of a pause.
type pauses struct {
	// until is the earliest end of a pause; 0 if there is none.
	until clock.Stamp
	// available reports whether a target without a pause was found.
	available bool
}

func (p *pauses) add(s pause.State) {
	if s.Until != 0 && (p.until == 0 || s.Until < p.until) {
		p.until = s.Until
	}
}

// pausedUntil returns the earliest end of a pause if no target is without one, and 0 otherwise.
func (l *lookup) pausedUntil() clock.Stamp {
	if l.totals.Targets > 0 || l.pauses.available {
		return 0
	}
	return l.pauses.until
}

// StartPause records that a target asked to receive nothing for some time. It returns whether the
// target was not paused before.
func (b *Board) StartPause(now clock.Stamp, t *roster.Target, d time.Duration) (first bool) {
	first = b.Pauses.Start(now, pause.InstanceOf(&t.Instance), d)
	b.excludeFromTotals(t)
	return first
}

// RecordLeaving records that a target announced its leaving: it gets no further request. It returns
// whether that is new.
func (b *Board) RecordLeaving(now clock.Stamp, t *roster.Target) (first bool) {
	first = b.Pauses.Leave(now, pause.InstanceOf(&t.Instance))
	b.excludeFromTotals(t)
	return first
}

func (b *Board) excludeFromTotals(t *roster.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.targets[loadKey(t.ID)]; s != nil {
		b.countIndividually(s)
	}
}

// isPaused reports whether a target asked to receive nothing now.
func (b *Board) isPaused(now clock.Stamp, m *indexMember) bool {
	return b.Pauses.State(now, pause.InstanceOf(&m.Instance)).Reason == chestnutstep.ReasonPaused
}

// PausedUntil returns the earliest end of a pause if all targets that can take a request asked for
// one, and 0 otherwise.
func (b *Board) PausedUntil(now clock.Stamp, v *roster.View, service *chestnutstep.Service, criteria Criteria) clock.Stamp {
	criteria.Caller, criteria.Skip = nil, nil
	return b.Choose(now, v, service, criteria, place.Request{}).PausedUntil
}
