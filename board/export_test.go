package board

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

// MaxDownTime exports maxDownTime, the longest backoff of a target, for tests.
const MaxDownTime = maxDownTime

// Candidates returns all targets that can take a request now, in the order of the view. It is
// the reference implementation of the selection in Choose.
func (b *Board) Candidates(now clock.Stamp, v *roster.View, service *chestnutstep.Service, criteria Criteria) []place.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	b.expire(now)
	ix := b.serviceIndex(now, v, service)
	l := b.newLookup(now, service, &criteria)
	b.setAllowedDomains(&l, ix)
	var list []place.Candidate
	for _, t := range v.Services[service.Name] {
		slot, _ := ix.ring.Slot(t.ID)
		if c, ok := b.candidate(&l, ix.members[slot]); ok {
			list = append(list, c)
		}
	}
	return list
}

// Donor returns the best donor among all targets.
func (b *Board) Donor(now clock.Stamp, v *roster.View, service *chestnutstep.Service, parts []chestnutstep.PromptPart) place.Donor {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	var best place.Donor
	for _, m := range b.serviceIndex(now, v, service).members {
		if m != nil && !m.state.health.isDown(now) && now >= m.ColdUntil && !b.isPaused(now, m) {
			b.compareDonor(now, &best, m, parts)
		}
	}
	return best
}

// Admit runs admission against the totals of a list of candidates.
func (b *Board) Admit(now clock.Stamp, service string, list []place.Candidate, caller Caller) Admission {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	var sum place.Totals
	for i := range list {
		sum.Add(&list[i])
	}
	return b.admit(now, &lookup{service: &chestnutstep.Service{Name: service}, criteria: &Criteria{Caller: &caller}, totals: sum}, sum.Taken())
}

// Totals returns the totals of the targets as Choose computes them.
func (b *Board) Totals(now clock.Stamp, v *roster.View, service *chestnutstep.Service, criteria Criteria) place.Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	ix := b.serviceIndex(now, v, service)
	b.refreshTotals(now, ix)
	l := b.newLookup(now, service, &criteria)
	b.computeTotals(&l, ix)
	return l.totals
}

// HistoryLen returns the length of the history of a target.
func (b *Board) HistoryLen(id string) int { return len(b.targets[loadKey(id)].history) }

// IndividualCount returns the number of targets of a service that are evaluated individually.
func (b *Board) IndividualCount(service string) int { return len(b.indexes[service].individual) }

// LoadKey exports loadKey for tests.
func LoadKey(id string) uint32 { return loadKey(id) }
