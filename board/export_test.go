package board

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

// DownMost is the longest time for which a target is left alone, for tests.
const DownMost = downMost

// Candidates lists all targets that may take a request now, in the order of the view: the
// plain version of what Choose looks at.
func (b *Board) Candidates(now clock.Stamp, v *roster.View, service *chestnutstep.Service, need Need) []place.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.expire(now)
	g := b.group(now, v, service)
	l := b.newLook(now, service, &need)
	b.openAreas(&l, g)
	var list []place.Candidate
	for _, t := range v.Services[service.Name] {
		slot, _ := g.ring.Slot(t.ID)
		if c, ok := b.candidate(&l, g.members[slot]); ok {
			list = append(list, c)
		}
	}
	return list
}

// Donor returns the best donor among all targets.
func (b *Board) Donor(now clock.Stamp, v *roster.View, service *chestnutstep.Service, parts []chestnutstep.PromptPart) place.Donor {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	var best place.Donor
	for _, m := range b.group(now, v, service).members {
		if m != nil && !m.state.health.down(now) && now >= m.ColdUntil {
			b.compareDonor(now, &best, m, parts)
		}
	}
	return best
}

// Admit asks for a place at all of the candidates.
func (b *Board) Admit(now clock.Stamp, service string, list []place.Candidate, who Who) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	var sum place.Totals
	for i := range list {
		sum.Add(&list[i])
	}
	return b.admit(now, service, sum.Taken(), who)
}

// Sum adds up the targets as Choose does.
func (b *Board) Sum(now clock.Stamp, v *roster.View, service *chestnutstep.Service, need Need) place.Totals {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	g := b.group(now, v, service)
	b.settle(now, g)
	l := b.newLook(now, service, &need)
	b.sumUp(&l, g)
	return l.sum
}
