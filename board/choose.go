package board

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// sample is how many targets with a place a choice looks at, beside those that hold the
	// prefix: the least loaded of so many is hardly worse than that of all.
	sample = 16
	// holdersMost bounds the holders of a prefix that a choice looks at: parts that many
	// prompts share are in every cache.
	holdersMost = 32
)

// Need says what a request wants of a target.
type Need struct {
	Parts []chestnutstep.PromptPart
	// Domain of the entry.
	Domain string
	// Allowed says whether targets of a failure domain may have the request; nil
	// for all.
	Allowed func(domain string) bool
	// Skip are targets that had the request already.
	Skip []string
	// Suspects may be used when nothing else is left.
	Suspects bool
	// Who asks for a place; nil where the request has one.
	Who *Who
	// Cap is the multiple of the mean load that no target may carry; 0 where none is set.
	Cap float64
	// VerifyHost says that a dead host would cost the request more than a handshake: it may run
	// only once, or has lost time already.
	VerifyHost bool
}

// Choice is the target for a request.
type Choice struct {
	// Target is nil where there is none for the request.
	Target *roster.Target
	place.Candidate
	Ask place.Ask
	// Donor is where the missing prefix is fetched from; the zero Donor for nowhere.
	Donor place.Donor
	// Cost is the expected milliseconds to the first byte.
	Cost float64
	// Fresh says that the request should open a connection, to verify that the host is there.
	Fresh bool
	// Of is the number of targets that might have taken the request.
	Of int
	// Room is what is known of the places; Free where the request did not ask for one.
	Room Room
}

// Cached is the tokens of the prompt that the target need not read.
func (c *Choice) Cached() int { return max(c.Held, c.Donor.Held) }

// look is what holds for all targets during one choice.
type look struct {
	now      clock.Stamp
	service  *chestnutstep.Service
	need     *Need
	hold     time.Duration
	patience time.Duration
	// reach is how many requests each slot of a target may have.
	reach   float64
	sum     place.Totals
	ceiling float64
}

// Choose picks the target for a request. Its cost does not grow with the number of targets,
// but where hardly any of them has a place.
func (b *Board) Choose(now clock.Stamp, v *roster.View, service *chestnutstep.Service, need Need, ask place.Ask) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.expire(now)
	g := b.group(now, v, service)
	b.settle(now, g)
	l := b.newLook(now, service, &need)
	b.sumUp(&l, g)
	if l.sum.Targets == 0 && !need.Suspects {
		need.Suspects = true
		b.sumUp(&l, g)
	}
	c := Choice{Ask: ask, Of: l.sum.Targets, Room: Room{Free: true}}
	if need.Who != nil {
		if c.Room = b.admit(now, service.Name, l.sum.Taken(), *need.Who); !c.Room.Free {
			return c
		}
	}
	var donor place.Donor
	if service.IsEngine {
		donor = b.donor(now, g, need.Parts)
	}
	l.ceiling = l.sum.Ceiling(need.Cap)
	ask.Ceiling = l.ceiling
	list := b.shortlist(&l, g, &ask)
	picked, ok := place.Pick(list, donor, ask)
	if !ok {
		return c
	}
	c.Candidate, c.Cost = list[picked.Index], picked.Cost
	c.Target = v.ByID[c.ID]
	c.Fresh = b.needsHandshake(now, b.state(loadKey(c.ID)), need.VerifyHost)
	if picked.Fetch {
		c.Donor = donor
	}
	return c
}

func (b *Board) newLook(now clock.Stamp, service *chestnutstep.Service, need *Need) look {
	l := look{
		now: now, service: service, need: need,
		hold:     b.usage(service.Name).pace.Mean(),
		patience: time.Duration(patienceShare * float64(service.LatencyObjective)),
	}
	l.reach = admit.Capacity(1, l.hold, l.patience)
	return l
}

// sumUp adds up the targets that may take the request.
func (b *Board) sumUp(l *look, g *group) {
	l.sum = place.Totals{}
	b.openAreas(l, g)
	for _, a := range g.areas {
		if a.open {
			l.addArea(a)
		}
	}
	for _, m := range g.recent {
		if !m.apart && m.area.open {
			l.sum.Unreported += b.unreported(l.now, m.state, l.reach*float64(m.Slots))
		}
	}
	for _, id := range l.need.Skip {
		if s := b.targets[loadKey(id)]; s != nil && s.member != nil && !s.member.apart && s.member.area.open {
			l.skipMember(b, s.member)
		}
	}
	for _, m := range g.apart {
		if c, ok := b.candidate(l, m); ok {
			l.sum.Add(&c)
		}
	}
}

// openAreas notes which failure domains may have the request.
func (b *Board) openAreas(l *look, g *group) {
	for _, a := range g.areas {
		allowed := l.need.Allowed == nil || l.need.Allowed(a.domain)
		a.open = allowed && (l.need.Suspects || !b.domains[a.domain].isUnreachable(l.now))
	}
}

func (l *look) addArea(a *area) {
	l.sum.Targets += a.targets
	l.sum.Warm += a.targets
	l.sum.Running += float64(a.running)
	l.sum.Busy += float64(a.running)
	l.sum.Places += l.reach * float64(a.slots)
	l.sum.Open = l.sum.Open || a.unlimited > 0
}

// skipMember takes a target that had the request already out of the sums.
func (l *look) skipMember(b *Board, m *member) {
	running := float64(b.runningAt(m))
	l.sum.Targets--
	l.sum.Warm--
	l.sum.Running -= running
	l.sum.Busy -= running
	l.sum.Places -= l.reach * float64(m.Slots)
	l.sum.Unreported -= b.unreported(l.now, m.state, l.reach*float64(m.Slots))
}

// shortlist lists the targets worth a closer look: in the order of the request's hash until
// enough of them have a place, and those that hold the prefix. All are listed where few have
// a place. The list is valid until the next call.
func (b *Board) shortlist(l *look, g *group, ask *place.Ask) []place.Candidate {
	g.turn++
	list := b.scratch[:0]
	fit := 0
	g.ring.Walk(ask.Key, func(i int) bool {
		m := g.members[i]
		m.turn = g.turn
		c, ok := b.candidate(l, m)
		if !ok {
			return true
		}
		if len(list) < place.Choices {
			c.Named = len(list) + 1
		}
		list = append(list, c)
		if c.Fits(l.ceiling) {
			fit++
		}
		return fit < sample
	})
	list = b.addHolders(l, g, ask, list)
	b.scratch = list
	return list
}

// addHolders adds the targets that hold enough of the prefix and were not looked at yet.
func (b *Board) addHolders(l *look, g *group, ask *place.Ask, list []place.Candidate) []place.Candidate {
	if ask.Shared <= 0 {
		return list
	}
	left, least := holdersMost, place.HolderTokens(ask.Shared)
	sum := 0
	for _, p := range l.need.Parts {
		if sum += p.Tokens; sum < least {
			continue
		}
		for cache := range b.holds[uint32(p.ID)] {
			if left--; left < 0 {
				break
			}
			m := g.caches[cache]
			if m == nil || m.turn == g.turn {
				continue
			}
			m.turn = g.turn
			if c, ok := b.candidate(l, m); ok {
				list = append(list, c)
			}
		}
		break
	}
	return list
}

// donor returns the target with the longest prefix to fetch from; of several the
// least loaded, as fetches from one run one after the other. One that is leaving
// may give while it still answers: what only it holds is lost otherwise.
func (b *Board) donor(now clock.Stamp, g *group, parts []chestnutstep.PromptPart) place.Donor {
	var best place.Donor
	for i := len(parts) - 1; i >= 0 && best.Held == 0; i-- {
		left := holdersMost
		for cache := range b.holds[uint32(parts[i].ID)] {
			if left--; left < 0 {
				break
			}
			if m := g.caches[cache]; m != nil && !m.state.health.down(now) && now >= m.ColdUntil {
				b.compareDonor(now, &best, m, parts)
			}
		}
	}
	return best
}

// compareDonor puts a target in the place of the best donor if it is better.
func (b *Board) compareDonor(now clock.Stamp, best *place.Donor, m *member, parts []chestnutstep.PromptPart) {
	held := b.held(now, m.cache, parts, true)
	load := float64(b.runningAt(m))
	if held > best.Held || held == best.Held && held > 0 && load < best.Running {
		*best = place.Donor{ID: m.ID, Address: m.Address, Held: held, Running: load}
	}
}
